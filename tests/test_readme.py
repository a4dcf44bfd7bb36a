"""The README's example runs as it stands."""

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_readme_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    exec(compile(example, "README.md", "exec"), {})
