"""The anyio shell: carries out on sockets what the pure machine decides."""
