"""Pure: routers that know one another: who they are, what they agree on, leases, the life of a change of policy."""
