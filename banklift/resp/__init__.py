"""RESP, by the public specification: framing, commands, hash slots, routing, clients and links. Does no I/O."""
