"""The public face of saffronlane: settings, events and actions of one gateway.

A dispatcher builds a `Settings`, hands batches of events to `policy.Gateway.step` and carries out
the actions it returns. Times are seconds on the dispatcher's own monotonic clock, memory is in MB,
work is the seconds that one thread would take. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 1
    ERROR = 2
    REJECTED = 3  # turned away unseen; certainly never ran
    TIMEOUT = 4
    CONNECT_FAILED = 5  # certainly never ran
    RESET = 6
    CANCELLED = 7
    MOOT = 8  # never sent; certainly never ran


class EngineState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListMode(IntEnum):
    DELTA = 0
    FULL = 2
    CACHED = 3
    FAILED = 4


class NoteKind(IntEnum):
    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


class Effect(Enum):
    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class MemoryShort(Enum):
    """What an engine does when the grants pass its memory."""

    WAIT = "wait"  # the query waits in a line
    SHRINK = "shrink"  # it gets what is left
    PAGE = "page"  # it is let in, and all slow down once memory in use passes what there is


class Group(Enum):
    """Which engines discard the repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


# --- settings -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ClassSettings:
    name: str
    aim: float  # an answer inside aim + aim_stretch x work / threads earns the full worth
    deadline: float
    value: float = 1.0
    late_value: float = 0.0
    aim_stretch: float = 0.0
    threads: int = 1
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    key_ttl: float = 0.0
    ordered: bool = False
    stream: bool = False
    is_load: bool = False  # holds its table group on its engine while it runs
    waits_for_loads: bool = False
    zones_only: tuple[int, ...] | None = None
    kinds_only: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class KindSettings:
    name: str
    cores: float
    memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantSettings:
    name: str
    allowance: float = 0.0  # requests a second over all gateways
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Guarantees:
    answer_slack: float = 0.02
    drain_grace: float = 0.0
    fall_multiple: float = 0.0  # 0: engines do not fall over
    fall_window: float = 0.0
    cold_share: float = 1.0
    cold_time: float = 0.0
    order_settle: float = 0.0
    budget_free: float | None = None  # None: further attempts are not rationed
    budget_ratio: float = 0.0
    budget_window: float = 0.0
    ask_within: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    cancel: bool = False
    second_copies: bool = False
    probing: bool = False
    probe_price: float = 0.0  # points of service for one probe a query
    peers: bool = False
    retry_after: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    max_streams: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[ClassSettings, ...]
    kinds: tuple[KindSettings, ...]
    gateways: int = 1
    position: int = 0
    zone: int = 0
    zones: tuple[str, ...] = ()
    tenants: tuple[TenantSettings, ...] = ()
    guarantees: Guarantees = field(default_factory=Guarantees)
    limits: Limits = field(default_factory=Limits)
    grants_heeded: bool = False
    priorities_heeded: bool = False
    largest_grant_share: float = 1.0
    memory_short: MemoryShort = MemoryShort.WAIT
    note_period: float = 0.0  # 0: no notes of progress
    work_told: bool = False  # answers tell work and memory
    over_share_worth: float = 1.0
    ask_for_list: bool = False  # the engine list must be subscribed to
    report_columns: tuple[str, ...] = ()
    zone_price: float = 0.0  # points of service for each query crossing zones once
    tick: float = 0.0  # least time between two batches

    def __post_init__(self) -> None:
        if not self.classes or not self.kinds or self.gateways < 1:
            raise ValueError("settings need at least one class, one machine kind and one gateway")
        if any(kind.cores <= 0 for kind in self.kinds) or any(c.threads < 1 for c in self.classes):
            raise ValueError("every kind needs cores and every class at least one thread")

    @property
    def largest_grant(self) -> float:
        """Memory that one query gets at most; 0: not known."""
        return max(kind.memory_mb for kind in self.kinds) * self.largest_grant_share


# --- events ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EngineEntry:
    engine: bytes
    state: EngineState
    started: float = 0.0  # 0: long ago
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ListUpdate:
    mode: ListMode
    version: int = 0
    entries: tuple[EngineEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Earlier:
    """An attempt of the same request that may have run, from before it arrived here (again)."""

    engine: bytes
    sent: float
    zone: int = 0
    kind: int = 0
    cell: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    request: int
    cls: int
    remaining: float  # until the client gives up this try
    tenant: int = 0
    key: int = 0
    cost: float = 0.0  # told estimate of the work; 0: none
    memory_mb: float = 0.0  # told estimate of the memory; 0: none
    tables: float = 0.0
    repeat: bool = False
    write: bool = False
    earlier: Earlier | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: int
    attempt: int
    engine: bytes
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: int
    attempt: int
    engine: bytes
    outcome: Outcome
    elapsed: float
    final: bool = False  # the request is over; nothing is owed any more
    work: float = 0.0  # seconds; 0: not told
    memory_mb: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    request: int


@dataclass(frozen=True, slots=True)
class Note:
    request: int
    attempt: int
    engine: bytes
    kind: NoteKind
    amount: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class Stop:
    """The gateway ends now: everything that it owes gets its final answer."""


@dataclass(frozen=True, slots=True)
class ProbeResult:
    engine: bytes
    outcome: Outcome
    elapsed: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    data: bytes


Event = (
    ListUpdate
    | Arrival
    | StreamStarted
    | AttemptEnded
    | ClientGone
    | Note
    | TimerFired
    | ProbeResult
    | PeerMessage
    | Stop
)


# --- actions --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; those of a request are numbered 0, 1, 2 ... in the order sent."""

    request: int
    engine: bytes
    timeout: float


@dataclass(frozen=True, slots=True)
class SetTerms:
    """Grant (0: the engine's choice) and priority (0 to 3) of the request's next send."""

    request: int
    grant_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, safe to try again after the advised wait."""

    request: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no word on whether it took effect."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    at: float


@dataclass(frozen=True, slots=True)
class Probe:
    engine: bytes


@dataclass(frozen=True, slots=True)
class CloseIdle:
    engine: bytes


@dataclass(frozen=True, slots=True)
class Tell:
    """Send at most 256 bytes to the gateway at a position; None: to all."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = (
    Send
    | SetTerms
    | Cancel
    | Refuse
    | Fail
    | SetTimer
    | Probe
    | CloseIdle
    | Tell
    | Subscribe
    | FetchList
    | Log
)
