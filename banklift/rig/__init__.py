"""Test rig for fleets: real processes or virtual time, fault injection on links, disks and clocks, and invariants
that are checked from outside the routers."""
