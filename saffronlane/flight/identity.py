"""Determines the query class, tenant, keys and estimates of a request.

A call header takes precedence over a session option. Without either, query class and tenant are assigned by
the matchers of the settings. If no matcher assigns them, the first class and the first tenant are used.

A request may have two keys. The option `key` is the idempotency key, by which engines discard repeats of the
request. The option `order` is the ordering key. Requests of an ordered class with the same ordering key run
one after another.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from hashlib import blake2b

from ..config import Config
from ..interface import Idempotency
from ..rpc import Code, Metadata
from ..rpc.status import rpc_error
from .sessions import OptionValue, Session
from .sql import Statement

HEADER_PREFIX = "saffronlane-"
OPTIONS = ("class", "tenant", "key", "order", "cost", "memory-mb", "deadline-s")
NUMERIC_OPTIONS = ("cost", "memory-mb", "deadline-s")


@dataclass(frozen=True, slots=True)
class Identity:
    """The properties of a request on which scheduling depends.

    Attributes:
        class_index: The index of the query class in the settings.
        tenant_index: The index of the tenant in the settings.
        idempotency_key: The key by which engines recognize repeats of the request. Empty if it has none.
        ordering_key: The ordering key, or 0 if the request has none.
        estimated_cost: The client's estimate of the work in seconds, or 0 if it gave none.
        estimated_memory_mb: The client's estimate of the memory, or 0 if it gave none.
        timeout: The seconds for which the client waits for an answer.
    """

    class_index: int
    tenant_index: int
    idempotency_key: str
    ordering_key: int
    estimated_cost: float
    estimated_memory_mb: float
    timeout: float


class IdentityResolver:
    """Determines the identity of requests from headers, session options and matchers.

    Args:
        config: The configuration of the gateway.
    """

    def __init__(self, config: Config) -> None:
        self._config = config
        self._class_names = [c.name for c in config.settings.classes]
        self._tenant_names = [t.name for t in config.settings.tenants]

    def check_option(self, name: str, value: OptionValue) -> str:
        """Check the value of a session option.

        Returns:
            The reason why the value is invalid, or an empty string if it is valid.

        Raises:
            KeyError: There is no option of this name.
        """
        if name not in OPTIONS:
            raise KeyError(name)
        text = str(value)
        if isinstance(value, (bool, tuple)):
            return "expected text or a number"
        if name == "class" and text not in self._class_names:
            return f"unknown class {text!r}; expected one of: {', '.join(self._class_names)}"
        if name == "tenant" and text not in self._tenant_names:
            return (
                f"unknown tenant {text!r}; expected one of: {', '.join(self._tenant_names) or '(no tenants)'}"
            )
        if name in NUMERIC_OPTIONS and _parse_number(text) is None:
            return f"expected a finite number of at least 0, got {text!r}"
        return ""

    def identify(
        self, statement: Statement, session: Session | None, metadata: Metadata, user: str
    ) -> Identity:
        """Return the identity of a request.

        Raises:
            RpcError: INVALID_ARGUMENT if a header is invalid or a request of a keyed class has no key, and
                FAILED_PRECONDITION for a write in a class whose queries may be repeated.
        """
        values = {name: str(value) for name, value in session.options.items()} if session is not None else {}
        for name in OPTIONS:
            text = metadata.text(HEADER_PREFIX + name)
            if text:
                problem = self.check_option(name, text)
                if problem:
                    raise rpc_error(
                        Code.INVALID_ARGUMENT, f"header {HEADER_PREFIX}{name}: {problem}", "HEADER"
                    )
                values[name] = text
        class_index = self._class_names.index(values["class"]) if "class" in values else None
        tenant_index = self._tenant_names.index(values["tenant"]) if "tenant" in values else None
        for matcher in self._config.matchers:
            if class_index is not None and tenant_index is not None:
                break
            if matcher.user is not None and matcher.user != user:
                continue
            if matcher.statement_kind is not None and matcher.statement_kind != statement.kind:
                continue
            if matcher.tables and not matcher.tables & statement.tables:
                continue
            if matcher.pattern is not None and not matcher.pattern.search(statement.text):
                continue
            class_index = matcher.class_index if class_index is None else class_index
            tenant_index = matcher.tenant_index if tenant_index is None else tenant_index
        effective_class_index = class_index or 0
        class_settings = self._config.settings.classes[effective_class_index]
        key = values.get("key", "")
        if class_settings.idempotency is Idempotency.KEYED and not key:
            text = f"class {class_settings.name} is keyed: header {HEADER_PREFIX}key or option key is missing"
            raise rpc_error(Code.INVALID_ARGUMENT, text, "KEY_NEEDED")
        if statement.is_write and class_settings.idempotency is Idempotency.SAFE:
            # Queries of a safe class may be executed more than once, which could apply the write twice.
            text = (
                f"the statement writes, but class {class_settings.name} is safe, "
                "so the gateway may repeat it: use a keyed or unsafe class"
            )
            raise rpc_error(Code.FAILED_PRECONDITION, text, "WRITE_IN_SAFE_CLASS")
        return Identity(
            effective_class_index,
            tenant_index or 0,
            _digest(class_settings.name, key).hex() if key else "",
            int.from_bytes(_digest("", values["order"])[:7], "big") if values.get("order") else 0,
            _parse_number(values.get("cost", "")) or 0.0,
            _parse_number(values.get("memory-mb", "")) or 0.0,
            _parse_number(values.get("deadline-s", "")) or class_settings.deadline,
        )


def _digest(scope: str, text: str) -> bytes:
    return blake2b(f"{scope}\0{text}".encode(), digest_size=16).digest()


def _parse_number(text: str) -> float | None:
    """Return the number in a text, or None if the text is not a finite number of at least 0."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < math.inf else None
