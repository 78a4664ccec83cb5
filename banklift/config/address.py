"""Addresses in the operator's file: host:port."""

from __future__ import annotations

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """The host and port of an address. Errors: `ValueError` unless it is host:port with a port up to `MAX_PORT`."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)
