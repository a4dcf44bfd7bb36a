"""KNOWN-RED.txt lists only existing tests, and exactly the listed tests may fail."""

from __future__ import annotations

import ast

import pytest
from known_red import ROOT, is_listed, parse_node_ids, read_known_red

ENTRY = """Tests that fail because of a known fault.

tests/test_x.py::test_y[1-2]
    command: pytest tests/test_x.py --seed 3
    seen: 2 answers; issue 31
"""


def function_names(file: str) -> set[str]:
    tree = ast.parse((ROOT / file).read_text())
    return {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)}


def test_every_entry_names_an_existing_test() -> None:
    for node_id in read_known_red():
        file, *_, function = node_id.split("::")
        assert function.split("[")[0] in function_names(file), node_id


def test_parser_returns_the_node_ids_of_entries() -> None:
    assert parse_node_ids(ENTRY) == ["tests/test_x.py::test_y[1-2]"]


def test_only_listed_tests_and_cases_may_fail() -> None:
    listed_ids = parse_node_ids(ENTRY)
    assert is_listed("tests/test_x.py::test_y[1-2]", listed_ids)
    assert not is_listed("tests/test_x.py::test_y[1-3]", listed_ids)
    assert is_listed("tests/test_x.py::test_z[4]", ["tests/test_x.py::test_z"])


def test_listed_test_that_passes_is_an_error(pytester: pytest.Pytester) -> None:
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
