"""Decisions beside the balancer, without I/O: changes of settings, queue limits, replication offsets."""
