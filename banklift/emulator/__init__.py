"""Stand-ins for members: RESP nodes with a log and replication by PSYNC."""
