"""Input and output with anyio: performs on sockets and files the actions that the pure state machines return."""
