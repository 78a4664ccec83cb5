"""Discovery of members: a client of the platform's catalogue over HTTP."""
