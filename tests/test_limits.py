"""Limits on the size and form of the decision module, banklift/balance.py."""

from pathlib import Path

LINES = Path(__file__).parent.parent.joinpath("banklift/balance.py").read_text().splitlines()


def test_module_is_short() -> None:
    assert len(LINES) <= 550


def test_lines_are_narrow() -> None:
    assert max(map(len, LINES)) <= 110


def test_module_names_its_interface_file_at_the_top() -> None:
    assert "interface.py" in LINES[0]
