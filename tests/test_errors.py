"""Every error type of the program says what an operator can do, and the page for operators lists them all."""

import importlib
import inspect
import pkgutil
from pathlib import Path

import saffronlane
from saffronlane.errors import SaffronlaneError, error_fields

PAGE = Path(__file__).parent.parent / "docs" / "errors.md"


def error_types() -> list[type[BaseException]]:
    """All exception types that the package's modules define."""
    found: set[type[BaseException]] = set()
    for module in pkgutil.walk_packages(saffronlane.__path__, "saffronlane."):
        if module.name.endswith("__main__"):
            continue
        loaded = importlib.import_module(module.name)
        for _, one in inspect.getmembers(loaded, inspect.isclass):
            if issubclass(one, BaseException) and one.__module__ == module.name:
                found.add(one)
    return sorted(found, key=lambda one: (one.__module__, one.__name__))


def package(one: type) -> str:
    return one.__module__.removeprefix("saffronlane.").removesuffix(".errors")


def test_each_error_type_has_a_remedy_of_one_sentence() -> None:
    types = error_types()
    assert len(types) > 20
    for one in types:
        assert issubclass(one, SaffronlaneError), f"{one.__module__}.{one.__name__} has no remedy"
        if one is not SaffronlaneError:
            assert one.remedy.endswith("."), one
            assert len(one.remedy) > 30, one
            assert one.__doc__, one


def test_the_page_lists_each_error_type_with_its_remedy() -> None:
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    wanted = [
        f"| `{package(one)}.{one.__name__}` | {one.remedy} |"
        for one in error_types()
        if issubclass(one, SaffronlaneError) and one is not SaffronlaneError
    ]
    assert rows == wanted


def test_a_log_line_says_why_where_and_what_to_do() -> None:
    class Lost(SaffronlaneError):
        remedy = "Look for it."

    assert error_fields(Lost("the key is gone", place="/keys/3")) == {
        "why": "the key is gone",
        "place": "/keys/3",
        "remedy": "Look for it.",
    }
    assert error_fields(OSError(28, "No space left on device")) == {
        "why": "[Errno 28] No space left on device"
    }
    assert error_fields(TimeoutError()) == {"why": "TimeoutError()"}
