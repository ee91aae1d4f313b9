"""The README's embedding example runs as it is printed."""

import re
from pathlib import Path


def test_embedding_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})
