"""PostgreSQL's wire protocol, version 3, with simple queries: codec, statements, links to clients and to members."""
