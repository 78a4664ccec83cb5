"""The router's core: a state machine without I/O for client connections, requests, attempts and links to members."""
