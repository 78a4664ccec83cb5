"""The example in README.md runs and sends the request that it shows."""

from pathlib import Path
from typing import Any

from banklift import Send


def test_the_example_of_the_readme_runs() -> None:
    text = Path(__file__).parent.parent.joinpath("README.md").read_text()
    code = text.split("<!-- example -->\n```python\n")[1].split("```")[0]
    names: dict[str, Any] = {}
    exec(code, names)
    assert [(send.request, send.member) for send in names["sends"]] == [(1, "a:1")]
    assert all(not isinstance(action, Send) for action in names["actions"])
