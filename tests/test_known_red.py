"""KNOWN-RED.txt lists tests that exist, and lets exactly those fail."""

from __future__ import annotations

import ast

import pytest
from known_red import ROOT, is_listed, known_red, read_known_red

ENTRY = """Tests that fail because of a known fault.

tests/test_x.py::test_y[1-2]
    command: pytest tests/test_x.py --seed 3
    seen: 2 answers; issue 31
"""


def functions_of(file: str) -> set[str]:
    tree = ast.parse((ROOT / file).read_text())
    return {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)}


def test_every_entry_names_a_test_that_exists() -> None:
    for node_id in read_known_red():
        file, *_, function = node_id.split("::")
        assert function.split("[")[0] in functions_of(file), node_id


def test_entries_are_read_by_their_node_ids() -> None:
    assert known_red(ENTRY) == ["tests/test_x.py::test_y[1-2]"]


def test_only_listed_cases_may_fail() -> None:
    listed = known_red(ENTRY)
    assert is_listed("tests/test_x.py::test_y[1-2]", listed)
    assert not is_listed("tests/test_x.py::test_y[1-3]", listed)
    assert is_listed("tests/test_x.py::test_z[4]", ["tests/test_x.py::test_z"])


def test_a_listed_test_that_passes_is_an_error(pytester: pytest.Pytester) -> None:
    pytester.makeconftest(
        """
import pytest

def pytest_collection_modifyitems(items):
    for item in items:
        item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))
"""
    )
    pytester.makepyfile("def test_passes(): pass\ndef test_fails(): assert False")
    pytester.runpytest().assert_outcomes(failed=1, xfailed=1)
