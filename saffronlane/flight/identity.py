"""What a request is to the decisions: its class, tenant, keys and told cost.

A call header counts before a session option, and that before the settings' matchers. Two keys are told apart:
`key` names the request itself, so that engines discard its repeats; `order` names what it is about, so that
requests of an ordered class that share it run one after another.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from hashlib import blake2b

from ..config import Config
from ..interface import Idempotency
from ..rpc import Code, Metadata
from ..rpc.status import error
from .sessions import Option, Session
from .sql import Statement

PREFIX = "saffronlane-"
NAMES = ("class", "tenant", "key", "order", "cost", "memory-mb", "deadline-s")
NUMBERS = ("cost", "memory-mb", "deadline-s")


@dataclass(frozen=True, slots=True)
class Identity:
    cls: int
    tenant: int
    key: str  # that engines know the request by; empty: none
    order: int  # 0: none
    cost: float  # told work in seconds; 0: not told
    memory_mb: float
    deadline: float  # seconds that the client waits


class Identifier:
    """Reads headers, session and matchers."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self._classes = [c.name for c in config.settings.classes]
        self._tenants = [t.name for t in config.settings.tenants]

    def check_option(self, name: str, value: Option) -> str:
        """What is wrong with a session option's value; empty: nothing. KeyError: there is no such option."""
        if name not in NAMES:
            raise KeyError(name)
        text = str(value)
        if isinstance(value, (bool, tuple)):
            return "is neither text nor a number"
        if name == "class" and text not in self._classes:
            return f"{text!r} is none of {', '.join(self._classes)}"
        if name == "tenant" and text not in self._tenants:
            return f"{text!r} is none of {', '.join(self._tenants) or 'the settings (there are none)'}"
        if name in NUMBERS and _number(text) is None:
            return f"{text!r} is no number of 0 or more"
        return ""

    def identify(
        self, statement: Statement, session: Session | None, metadata: Metadata, user: str
    ) -> Identity:
        """RpcError INVALID_ARGUMENT names the header or option that makes no sense."""
        said = {name: str(value) for name, value in session.options.items()} if session is not None else {}
        for name in NAMES:
            text = metadata.text(PREFIX + name)
            if text:
                fault = self.check_option(name, text)
                if fault:
                    raise error(Code.INVALID_ARGUMENT, f"header {PREFIX}{name}: {fault}", "HEADER")
                said[name] = text
        cls = self._classes.index(said["class"]) if "class" in said else None
        tenant = self._tenants.index(said["tenant"]) if "tenant" in said else None
        for matcher in self._config.matchers:
            if cls is not None and tenant is not None:
                break
            if matcher.user is not None and matcher.user != user:
                continue
            if matcher.kind is not None and matcher.kind != statement.kind:
                continue
            if matcher.tables and not matcher.tables & statement.tables:
                continue
            if matcher.pattern is not None and not matcher.pattern.search(statement.text):
                continue
            cls = matcher.cls if cls is None else cls
            tenant = matcher.tenant if tenant is None else tenant
        index = cls or 0
        known = self._config.settings.classes[index]
        key = said.get("key", "")
        if known.idempotency is Idempotency.KEYED and not key:
            text = f"class {known.name} is keyed: header {PREFIX}key or session option key is needed"
            raise error(Code.INVALID_ARGUMENT, text, "KEY_NEEDED")
        if statement.writes and known.idempotency is Idempotency.SAFE:
            # Guards against an effect done twice: a class whose queries may be repeated is no place for one.
            text = f"the statement writes, and class {known.name} may repeat it: use a keyed or unsafe class"
            raise error(Code.FAILED_PRECONDITION, text, "WRITE_IN_SAFE_CLASS")
        return Identity(
            index,
            tenant or 0,
            _digest(known.name, key).hex() if key else "",
            int.from_bytes(_digest("", said["order"])[:7], "big") if said.get("order") else 0,
            _number(said.get("cost", "")) or 0.0,
            _number(said.get("memory-mb", "")) or 0.0,
            _number(said.get("deadline-s", "")) or known.deadline,
        )


def _digest(scope: str, text: str) -> bytes:
    return blake2b(f"{scope}\0{text}".encode(), digest_size=16).digest()


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < math.inf else None
