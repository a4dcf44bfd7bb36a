"""KNOWN-RED.txt: the list of tests that may fail because of a known fault that is not yet fixed.

An entry begins with the test's node id at the start of a line, `tests/test_x.py::test_y` or, for one case,
`tests/test_x.py::test_y[case]`. Indented lines follow with the command and seed with which it fails, the
observed failure and the issue.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).parent.parent
FILE = ROOT / "KNOWN-RED.txt"
NODE_ID_START = "tests/"


def parse_node_ids(text: str) -> list[str]:
    """Return the node ids of the entries in a text."""
    return [line.split()[0] for line in text.splitlines() if line.startswith(NODE_ID_START)]


def read_known_red() -> list[str]:
    """Return the node ids of the entries in KNOWN-RED.txt, or none if the file is missing."""
    return parse_node_ids(FILE.read_text()) if FILE.exists() else []


def is_listed(node_id: str, listed_ids: Iterable[str]) -> bool:
    """Return whether an entry names this test, or the test function that it is a case of."""
    return node_id in listed_ids or node_id.split("[", maxsplit=1)[0] in listed_ids
