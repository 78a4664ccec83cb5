"""RESP by the public specification: frames, command knowledge, hash slots, how answers read. Pure."""
