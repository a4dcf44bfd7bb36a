"""Checking JSON against a schema: all errors, each with its JSON pointer (RFC 6901)."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import cache
from importlib import resources
from pathlib import Path
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError, best_match

from .errors import ConfigError


@dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong, and where."""

    pointer: str
    text: str

    def __str__(self) -> str:
        return f"{self.pointer or '/'}: {self.text}"


def pointer(path: list[str | int]) -> str:
    return "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in path)


@cache
def schema(name: str) -> dict[str, Any]:
    text = resources.files(__package__).joinpath(f"{name}.schema.json").read_text("utf-8")
    loaded: dict[str, Any] = json.loads(text)
    return loaded


@cache
def _validator(name: str) -> Draft202012Validator:
    return Draft202012Validator(schema(name), format_checker=Draft202012Validator.FORMAT_CHECKER)


def _tell(error: ValidationError) -> Problem:
    if error.context:
        error = best_match(error.context) or error
    text = error.message
    if len(text) > 200:
        text = text[:200] + "..."
    expected = error.schema.get("description") if isinstance(error.schema, dict) else None
    if expected and error.validator not in ("additionalProperties", "required"):
        text += f" ({expected.rstrip('.')})"
    return Problem(pointer(list(error.absolute_path)), text)


def problems_of(value: object, name: str) -> list[Problem]:
    """All that the schema finds wrong, in the order of the document."""
    errors = _validator(name).iter_errors(value)
    return sorted((_tell(e) for e in errors), key=lambda p: p.pointer)


def _no_doubles(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        names = [name for name, _ in pairs]
        double = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the key {double!r} stands there twice")
    return found


def _no_constant(name: str) -> float:
    raise ValueError(f"{name} is no number of JSON")


def read_json(text: str | bytes, source: str) -> Any:
    """ConfigError where the text is no JSON, with line and column."""
    try:
        return json.loads(text, object_pairs_hook=_no_doubles, parse_constant=_no_constant)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        raise ConfigError(source, [Problem("", f"not JSON: {error.msg} at {place}")]) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(source, [Problem("", f"not JSON: {error}")]) from None


def load_json(path: Path) -> Any:
    """ConfigError where the file cannot be read or is no JSON."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(str(path), [Problem("", f"cannot be read: {error.strerror}")]) from None
    return read_json(data, str(path))
