"""Pure: the agreement between the members of a fleet: voters, leases, and changes of policy."""
