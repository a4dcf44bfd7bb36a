"""Parses JSON and validates it against a schema. Each error has the JSON pointer (RFC 6901) of its place."""

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
    """An error in a document.

    Attributes:
        pointer: The JSON pointer of the invalid value. Empty for the whole document.
        text: The description of the error.
    """

    pointer: str
    text: str

    def __str__(self) -> str:
        return f"{self.pointer or '/'}: {self.text}"


def pointer(path: list[str | int]) -> str:
    """Return the JSON pointer of a path of keys and indices."""
    return "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in path)


@cache
def schema(name: str) -> dict[str, Any]:
    """Return a JSON Schema of this package.

    Args:
        name: The name of its file, without `.schema.json`.
    """
    text = resources.files(__package__).joinpath(f"{name}.schema.json").read_text("utf-8")
    loaded: dict[str, Any] = json.loads(text)
    return loaded


@cache
def _validator(name: str) -> Draft202012Validator:
    return Draft202012Validator(schema(name), format_checker=Draft202012Validator.FORMAT_CHECKER)


def _problem_from(error: ValidationError) -> Problem:
    if error.context:
        error = best_match(error.context) or error
    text = error.message
    if len(text) > 200:
        text = text[:200] + "..."
    description = error.schema.get("description") if isinstance(error.schema, dict) else None
    if description and error.validator not in ("additionalProperties", "required"):
        text += f" ({description.rstrip('.')})"
    return Problem(pointer(list(error.absolute_path)), text)


def problems_of(value: object, name: str) -> list[Problem]:
    """Return all violations of a schema, sorted by JSON pointer.

    Args:
        value: The parsed document.
        name: The name of the schema's file, without `.schema.json`.
    """
    errors = _validator(name).iter_errors(value)
    return sorted((_problem_from(error) for error in errors), key=lambda problem: problem.pointer)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value_by_key = dict(pairs)
    if len(value_by_key) < len(pairs):
        keys = [key for key, _ in pairs]
        duplicate = next(key for key in keys if keys.count(key) > 1)
        raise ValueError(f"duplicate key {duplicate!r}")
    return value_by_key


def _reject_constant(name: str) -> float:
    """Reject NaN and Infinity, which Python's parser accepts beyond the JSON standard."""
    raise ValueError(f"{name} is not a JSON number")


def read_json(text: str | bytes, source: str) -> Any:
    """Parse JSON.

    Args:
        text: The JSON text.
        source: The name of the text in error messages.

    Raises:
        ConfigError: The text is not valid JSON, an object has a duplicate key, or a number is not finite.
    """
    try:
        return json.loads(text, object_pairs_hook=_reject_duplicate_keys, parse_constant=_reject_constant)
    except json.JSONDecodeError as error:
        position = f"line {error.lineno}, column {error.colno}"
        raise ConfigError(source, [Problem("", f"not JSON: {error.msg} at {position}")]) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(source, [Problem("", f"not JSON: {error}")]) from None


def load_json(path: Path) -> Any:
    """Read and parse a JSON file.

    Raises:
        ConfigError: The file cannot be read or is not valid JSON.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(str(path), [Problem("", f"cannot be read: {error.strerror}")]) from None
    return read_json(data, str(path))
