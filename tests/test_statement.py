"""The parser of statements: what it refuses, and what it needs for the largest ones."""

from __future__ import annotations

import tracemalloc

import pytest

from banklift.pg.statement import VALUE_LIMIT, BadStatement, parse
from tests.platform_site import Site

LARGE_VALUE = "9f" * VALUE_LIMIT  # the largest value, in hexadecimal digits


def test_parsing_the_largest_write_takes_little_more_memory_than_its_text() -> None:
    """A pattern that repeats a group of two digits took 13 MB for one statement, as its matcher kept each step."""
    text = Site().write(value=LARGE_VALUE).encode()
    tracemalloc.start()
    try:
        statement = parse(text)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert statement.writes and len(statement.before_timeout) > 2 * VALUE_LIMIT
    assert peak < 2 * len(text)


@pytest.mark.parametrize("digits", ["9", "9f0", "9g", "0x", LARGE_VALUE + "0"])
def test_a_value_that_is_not_whole_bytes_is_refused(digits: str) -> None:
    with pytest.raises(BadStatement) as error:
        parse(Site().write(value=digits).encode())
    assert error.value.code == "42601"
