"""Entries of KNOWN-RED.txt: tests that may fail because of a fault that is known and not yet fixed.

An entry begins with the test's node id at the start of a line, `tests/test_x.py::test_y` or, for one case,
`tests/test_x.py::test_y[case]`. What follows, indented, says with which command and seed it fails, what was
seen and which issue it belongs to.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).parent.parent
FILE = ROOT / "KNOWN-RED.txt"
NODE_ID_START = "tests/"


def known_red(text: str) -> list[str]:
    """Return the node ids that a text lists."""
    return [line.split()[0] for line in text.splitlines() if line.startswith(NODE_ID_START)]


def read_known_red() -> list[str]:
    """Return the node ids that KNOWN-RED.txt lists; none without the file."""
    return known_red(FILE.read_text()) if FILE.exists() else []


def is_listed(node_id: str, listed: Iterable[str]) -> bool:
    """Whether an entry names this test, or the function of which it is a case."""
    return node_id in listed or node_id.split("[", maxsplit=1)[0] in listed
