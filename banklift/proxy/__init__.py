"""The life of client connections, requests, attempts and links to members, as a machine without I/O."""
