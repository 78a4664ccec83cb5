"""Limits on the size and form of the decision module, banklift/balance.py."""

import ast
from pathlib import Path

TEXT = Path(__file__).parent.parent.joinpath("banklift/balance.py").read_text()
LINES = TEXT.splitlines()
MAX_STATEMENTS = 550  # docstrings, comments and line breaks don't count


def is_docstring(statement: ast.stmt) -> bool:
    return isinstance(statement, ast.Expr) and isinstance(statement.value, ast.Constant)


def test_module_is_short() -> None:
    statements = [node for node in ast.walk(ast.parse(TEXT)) if isinstance(node, ast.stmt)]
    assert sum(not is_docstring(statement) for statement in statements) <= MAX_STATEMENTS


def test_lines_are_narrow() -> None:
    assert max(map(len, LINES)) <= 110


def test_module_names_its_interface_file_at_the_top() -> None:
    assert "interface.py" in LINES[0]
