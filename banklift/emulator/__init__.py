"""Emulated servers for tests, trials and the `stand` command: RESP members that replicate by PSYNC, PostgreSQL members,
the platform's catalogue of members, and a network and clock in virtual time."""
