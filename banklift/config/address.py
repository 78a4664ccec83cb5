"""Addresses as the operator's file has them: host:port."""

from __future__ import annotations

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Errors: `ValueError` unless it is host:port."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)
