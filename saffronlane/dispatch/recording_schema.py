"""Conversion of settings, inputs and effects to and from the values and texts in a recording."""

from __future__ import annotations

import dataclasses
import types
import typing
from collections.abc import Iterable
from enum import Enum
from typing import Any, TypeVar

import msgspec

from .. import interface as api
from . import inputs
from .recording_forms import FORMS, INPUT_BY_NAME

FIRST_RECORDING_VERSION = 1
RECORDING_VERSION = 2
ValueT = TypeVar("ValueT")


def _code_field_names(record_type: Any) -> tuple[str, ...]:
    """Return the names of a class's fields in the code, in order of declaration.

    Raises:
        TypeError: The class and its form have different numbers of fields.
    """
    names = getattr(record_type, "_fields", None) or tuple(
        field.name for field in dataclasses.fields(record_type)
    )
    if len(names) != len(FORMS[record_type].fields):
        raise TypeError(
            f"{record_type.__name__}: expected {len(FORMS[record_type].fields)} fields, found {names}"
        )
    return tuple(names)


_CODE_FIELD_NAMES: dict[type, tuple[str, ...]] = {
    record_type: _code_field_names(record_type) for record_type in FORMS
}
# The names of each recorded field: the stored one and the one in the code.
_RECORDED_FIELDS: dict[type, list[tuple[str, str]]] = {
    record_type: [
        (stored, name)
        for stored, name in zip(form.fields, _CODE_FIELD_NAMES[record_type], strict=True)
        if stored is not None
    ]
    for record_type, form in FORMS.items()
}
_TYPE_HINTS: dict[type, dict[str, Any]] = {
    record_type: typing.get_type_hints(record_type) for record_type in FORMS
}


def encode(value: object) -> object:
    """Return settings, an input or a part of one as plain values with the stored names."""
    if type(value) in FORMS:
        values = {stored: encode(getattr(value, name)) for stored, name in _RECORDED_FIELDS[type(value)]}
        return list(values.values()) if isinstance(value, tuple) else values
    if isinstance(value, tuple):
        return [encode(part) for part in value]
    return value.value if isinstance(value, Enum) else value


def encode_input(value: inputs.Input) -> list[object]:
    """Return the stored name of an input's type, and its encoded fields."""
    return [FORMS[type(value)].name, encode(value)]


def decode(encoded: object, record_type: type[ValueT]) -> ValueT:
    """Decode a value that `encode` returned.

    Raises:
        msgspec.ValidationError: The value does not fit the type.
    """
    return msgspec.convert(_with_code_names(encoded, record_type), record_type)


def decode_input(name: str, encoded: object) -> inputs.Input:
    """Decode an input by the stored name of its type.

    Raises:
        KeyError: No input type has this name.
        msgspec.ValidationError: A field is missing or has the wrong type.
    """
    return typing.cast(inputs.Input, decode(encoded, INPUT_BY_NAME[name]))


def describe(effect: object) -> str:
    """Return an effect as text with the stored names. Equal effects give equal texts."""
    if type(effect) in FORMS:
        pairs = [
            f"{stored}={describe(getattr(effect, name))}" for stored, name in _RECORDED_FIELDS[type(effect)]
        ]
        return f"{FORMS[type(effect)].name}({', '.join(pairs)})"
    if isinstance(effect, tuple):
        return f"({', '.join(map(describe, effect))}{',' if len(effect) == 1 else ''})"
    return repr(effect)


def without_log_texts(effects: Iterable[str]) -> list[str]:
    """Replace each described log line by its type name, since the wording of log lines may change."""
    log = FORMS[api.Log].name
    return [log if effect.startswith(f"{log}(") else effect for effect in effects]


def _with_code_names(encoded: Any, annotation: Any) -> Any:
    """Replace the stored names by the names in the code, at every level of the annotated type."""
    if encoded is None:
        return None
    if annotation in FORMS:
        return _fields_with_code_names(encoded, annotation)
    arguments = [a for a in typing.get_args(annotation) if a not in (type(None), Ellipsis)]
    origin = typing.get_origin(annotation)
    if origin is tuple and isinstance(encoded, list):
        is_homogeneous = len(arguments) == 1
        return [
            _with_code_names(part, arguments[0 if is_homogeneous else n]) for n, part in enumerate(encoded)
        ]
    if origin in (typing.Union, types.UnionType):
        return _with_code_names(encoded, arguments[0])
    return encoded


def _fields_with_code_names(encoded: Any, record_type: type) -> Any:
    hints, names = _TYPE_HINTS[record_type], _CODE_FIELD_NAMES[record_type]
    if isinstance(encoded, list):
        return [_with_code_names(part, hints[name]) for name, part in zip(names, encoded, strict=False)]
    if not isinstance(encoded, dict):
        return encoded
    code_names = dict(_RECORDED_FIELDS[record_type])
    fields_by_code_name: dict[str, Any] = {}
    for name, part in encoded.items():
        code_name = str(code_names.get(name, name))
        fields_by_code_name[code_name] = _with_code_names(part, hints.get(code_name))
    return fields_by_code_name
