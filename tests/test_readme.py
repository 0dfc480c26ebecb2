"""The example in README.md runs without errors."""

from __future__ import annotations

import re
from pathlib import Path

README = Path(__file__).parents[1] / "README.md"


def test_the_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})
