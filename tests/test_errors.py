"""Every error type of the package states a remedy, and docs/errors.md lists all error types."""

import importlib
import inspect
import pkgutil
from pathlib import Path

import saffronlane
from saffronlane.errors import SaffronlaneError, error_fields

PAGE = Path(__file__).parent.parent / "docs" / "errors.md"


def error_types() -> list[type[BaseException]]:
    """Return all exception types that the package's modules define."""
    types: set[type[BaseException]] = set()
    for module in pkgutil.walk_packages(saffronlane.__path__, "saffronlane."):
        if module.name.endswith("__main__"):
            continue
        imported = importlib.import_module(module.name)
        for _, error_type in inspect.getmembers(imported, inspect.isclass):
            if issubclass(error_type, BaseException) and error_type.__module__ == module.name:
                types.add(error_type)
    return sorted(types, key=lambda error_type: (error_type.__module__, error_type.__name__))


def package_of(error_type: type) -> str:
    return error_type.__module__.removeprefix("saffronlane.").removesuffix(".errors")


def test_each_error_type_has_a_remedy_of_one_sentence() -> None:
    types = error_types()
    assert len(types) > 20
    for error_type in types:
        assert issubclass(error_type, SaffronlaneError), (
            f"{error_type.__module__}.{error_type.__name__} has no remedy"
        )
        if error_type is not SaffronlaneError:
            assert error_type.remedy.endswith("."), error_type
            assert len(error_type.remedy) > 30, error_type
            assert error_type.__doc__, error_type


def test_page_lists_each_error_type_with_its_remedy() -> None:
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    expected_rows = [
        f"| `{package_of(error_type)}.{error_type.__name__}` | {error_type.remedy} |"
        for error_type in error_types()
        if issubclass(error_type, SaffronlaneError) and error_type is not SaffronlaneError
    ]
    assert rows == expected_rows


def test_error_fields_hold_reason_details_and_remedy() -> None:
    class MissingKey(SaffronlaneError):
        remedy = "Restore the key."

    assert error_fields(MissingKey("the key is missing", place="/keys/3")) == {
        "why": "the key is missing",
        "place": "/keys/3",
        "remedy": "Restore the key.",
    }
    assert error_fields(OSError(28, "No space left on device")) == {
        "why": "[Errno 28] No space left on device"
    }
    assert error_fields(TimeoutError()) == {"why": "TimeoutError()"}
