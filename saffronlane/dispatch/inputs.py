"""What the world tells the dispatcher. Times are seconds on one monotonic clock, memory is in MB."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..learned_state import Memory, What


@dataclass(frozen=True, slots=True)
class Submit:
    """A client's request; `request` comes from `Dispatcher.new_request`."""

    request: int
    cls: int
    remaining: float
    tenant: int = 0
    key: int = 0
    cost: float = 0.0
    memory_mb: float = 0.0
    tables: float = 0.0
    repeat: bool = False
    write: bool = False
    identity: bytes = b""  # the key that the client knows the request by; empty: none


@dataclass(frozen=True, slots=True)
class ResultReady:
    """An attempt has as much of its result as is held back; its bytes may leave only after a Commit."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """An attempt is over, told once. `fault` says that the query itself is wrong, whoever runs it."""

    request: int
    attempt: int
    outcome: api.Outcome
    elapsed: float
    work: float = 0.0
    memory_mb: float = 0.0
    report: tuple[float, ...] = ()
    fault: bool = False


@dataclass(frozen=True, slots=True)
class AttemptNote:
    request: int
    attempt: int
    kind: api.ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class Forget:
    """An operator wants what was learned forgotten."""

    what: tuple[What, ...]


@dataclass(frozen=True, slots=True)
class Attach:
    """A folder that was not free at the start is, and this is what it holds."""

    memory: Memory


@dataclass(frozen=True, slots=True)
class ClientLeft:
    request: int


@dataclass(frozen=True, slots=True)
class StopTaking:
    """New requests are turned away from now on; what is taken has so many seconds to end."""

    grace: float


@dataclass(frozen=True, slots=True)
class StopNow:
    """Everything that is still owed an answer gets one now."""


Input = (
    Submit
    | ResultReady
    | AttemptDone
    | AttemptNote
    | ClientLeft
    | Forget
    | Attach
    | StopTaking
    | StopNow
    | api.EndpointListUpdate
    | api.ProbeResult
    | api.PeerMessage
)
INPUT_TYPES: tuple[type[Input], ...] = (
    Submit,
    ResultReady,
    AttemptDone,
    AttemptNote,
    ClientLeft,
    Attach,
    Forget,
    StopTaking,
    StopNow,
    api.EndpointListUpdate,
    api.ProbeResult,
    api.PeerMessage,
)
