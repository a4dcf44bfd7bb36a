"""Settings, inputs and effects as the plain values and texts that a recording holds."""

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

RECORDING_VERSION = 1
ValueT = TypeVar("ValueT")


def _names_in_code(kind: Any) -> tuple[str, ...]:
    """Return the names of a class's fields, in order. TypeError if its form has another number of them."""
    names = getattr(kind, "_fields", None) or tuple(field.name for field in dataclasses.fields(kind))
    if len(names) != len(FORMS[kind].fields):
        raise TypeError(f"the record form of {kind.__name__} has {len(FORMS[kind].fields)} names for {names}")
    return tuple(names)


_FIELD_NAMES: dict[type, tuple[str, ...]] = {kind: _names_in_code(kind) for kind in FORMS}
_TYPE_HINTS: dict[type, dict[str, Any]] = {kind: typing.get_type_hints(kind) for kind in FORMS}


def encode(value: object) -> object:
    """Return settings, an input or a part of one as plain values under the names of the disk."""
    if type(value) in FORMS:
        values = [encode(getattr(value, name)) for name in _FIELD_NAMES[type(value)]]
        if isinstance(value, tuple):
            return values
        return dict(zip(FORMS[type(value)].fields, values, strict=True))
    if isinstance(value, tuple):
        return [encode(part) for part in value]
    return value.value if isinstance(value, Enum) else value


def encode_input(value: inputs.Input) -> list[object]:
    """Return an input with the name of its kind."""
    return [FORMS[type(value)].name, encode(value)]


def decode(plain: object, kind: type[ValueT]) -> ValueT:
    """Read what `encode` wrote. Raises `msgspec.ValidationError` where it does not fit the type."""
    return msgspec.convert(_renamed(plain, kind), kind)


def decode_input(name: str, plain: object) -> inputs.Input:
    """Read an input by the name of its kind.

    Raises:
        KeyError: the kind is not known.
        msgspec.ValidationError: a field is missing or of another type.
    """
    return typing.cast(inputs.Input, decode(plain, INPUT_BY_NAME[name]))


def describe(effect: object) -> str:
    """Return an effect as text with the names of the disk; equal effects read alike."""
    if type(effect) in FORMS:
        form = FORMS[type(effect)]
        values = [describe(getattr(effect, name)) for name in _FIELD_NAMES[type(effect)]]
        pairs = zip(form.fields, values, strict=True)
        return f"{form.name}({', '.join(f'{name}={value}' for name, value in pairs)})"
    if isinstance(effect, tuple):
        return f"({', '.join(map(describe, effect))}{',' if len(effect) == 1 else ''})"
    return repr(effect)


def without_log_texts(effects: Iterable[str]) -> list[str]:
    """Reduce described log lines to their presence: their wording is no part of what a dispatcher does."""
    log = FORMS[api.Log].name
    return [log if effect.startswith(f"{log}(") else effect for effect in effects]


def _renamed(plain: Any, annotation: Any) -> Any:
    """Replace the names of the disk by those of the code, as deep as the type reaches."""
    if plain is None:
        return None
    if annotation in FORMS:
        return _renamed_fields(plain, annotation)
    arguments = [a for a in typing.get_args(annotation) if a not in (type(None), Ellipsis)]
    origin = typing.get_origin(annotation)
    if origin is tuple and isinstance(plain, list):
        repeated = len(arguments) == 1
        return [_renamed(part, arguments[0 if repeated else n]) for n, part in enumerate(plain)]
    if origin in (typing.Union, types.UnionType):
        return _renamed(plain, arguments[0])
    return plain


def _renamed_fields(plain: Any, kind: type) -> Any:
    hints, names = _TYPE_HINTS[kind], _FIELD_NAMES[kind]
    if isinstance(plain, list):
        return [_renamed(part, hints[name]) for name, part in zip(names, plain, strict=False)]
    if not isinstance(plain, dict):
        return plain
    code_names: dict[str, str] = dict(zip(FORMS[kind].fields, names, strict=True))
    renamed: dict[str, Any] = {}
    for name, part in plain.items():
        code_name = str(code_names.get(name, name))
        renamed[code_name] = _renamed(part, hints.get(code_name))
    return renamed
