"""What of a gateway's knowledge is to be written, and when. Pure: changes go out, nobody here writes them.

Two ways lead to the disk. What a rule depends on after a crash goes ahead: it is durable before the attempt
leaves, which costs that attempt one fsync. All else lags, by LAG at most, and costs nobody anything.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .. import interface as api
from ..policy import Gateway
from ..storage import Change, Entry
from . import export
from . import records as k
from .clock import Timestamp
from .ledger import Ledger
from .purge import PurgeCategory, in_gateway
from .restore import PersistedState, StateRestorer, Summary
from .validation import Scatter, Wash

LAG = 0.5  # seconds between two looks at what has changed
DURABILITY_TIMEOUT = (
    0.25  # seconds that an attempt waits for a disk that hangs; then it goes, and that is told
)
FADING = (k.ORDER, k.ENGINE)  # kinds whose entries go when nothing speaks for them any more
SEEN = 60.0  # seconds; how exactly it is kept when an engine was last listed


class Checkpointer:
    """The memory of one gateway, beside its decisions.

    Args:
        settings: of the gateway.
        memory: what an earlier run left; None: nothing.
        keeping: whether what it finds changed goes anywhere.
    """

    def __init__(
        self, settings: api.Settings, memory: PersistedState | None = None, keeping: bool = False
    ) -> None:
        self.settings, self.keeping = settings, keeping
        self.ledger = Ledger()
        self.summary = Summary()
        self.wash = Wash()
        self._recall = StateRestorer(settings, memory) if memory is not None else None
        self._written: dict[bytes, Entry] = {}
        # Keys that fade when nothing speaks for them; requests are told by the ledger, and may be many.
        self._fading: dict[bytes, None] = {}  # in order, so that a replay writes alike
        if memory is not None and keeping:
            self._hold(memory)
        self._scatters = [Scatter() for _ in settings.classes]
        self._newer = self._recall.newer if self._recall is not None else frozenset()
        self._counts: dict[str, int] = {}  # by class, at its last writing
        self._next = -math.inf
        self._touched = False
        self._dropped: list[bytes] = []  # keys to be removed at the next look
        self._listed = False

    # --- at the start ---

    def begin(self, gateway: Gateway) -> None:
        """Before the first event."""
        if self._recall is not None:
            self.summary = self._recall.summary
            self._recall.begin(gateway, self.ledger)

    def before_list(self, gateway: Gateway, entries: tuple[api.EngineEntry, ...]) -> None:
        """Before the gateway takes its first list."""
        if self._recall is not None and not self._listed:
            self._recall.listed(gateway, entries)
            self._try_out(self._recall)
        self._listed = True

    def _try_out(self, recall: StateRestorer) -> None:
        """Put on trial what was recalled of classes."""
        for index, mass in recall.masses.items():
            kept = recall.class_named(self.settings.classes[index].name)
            assert kept is not None
            self.wash.begin(index, kept, mass)

    def _hold(self, memory: PersistedState) -> None:
        """What a folder holds is what has been written."""
        self._written = {key: entry for key, entry in memory.entries if key != k.RUN}
        self._fading = dict.fromkeys(key for key in self._written if k.kind_of(key) in FADING)

    @property
    def recalled(self) -> str:
        """Words for the log on what came of an earlier run's knowledge; empty: nothing."""
        known = self.summary
        if not (known.classes or known.engines):
            return ""
        classes = ", ".join(f"{name} as {mass:g} answers" for name, mass in known.classes.items())
        return f"recalled {known.engines} engines; classes: {classes or 'none'}"

    def after_list(self, gateway: Gateway) -> None:
        if self._recall is not None:
            self._recall.tell(gateway)

    def forget(self, gateway: Gateway, what: Iterable[PurgeCategory]) -> None:
        """Begin anew with what an operator names, here and on disk."""
        in_gateway(gateway, what)
        if PurgeCategory.CLASSES in what:
            self.wash, self._counts = Wash(), {}
            if self._recall is not None:
                self._recall.masses.clear()
            self._dropped = [key for key in self._written if k.kind_of(key) == k.CLASS]
        self.touch()

    # --- as requests come and go ---

    def asked(self, gateway: Gateway, cls: int) -> None:
        self.wash.asked(cls, gateway.batch.now)

    def unheard(self, gateway: Gateway) -> list[str]:
        """Words for the log on classes that were dropped because no answer came."""
        return (
            self.wash.unheard(gateway.workload_estimates.estimators, gateway.batch.now)
            if self.wash.under_way
            else []
        )

    def answered(self, gateway: Gateway, cls: int, cost: float, elapsed: float, work: float) -> str:
        """One answer that was learned from; words for the log, or none."""
        self._scatters[cls].add(math.log(max(1e-6, work if work > 0.0 else elapsed) / (cost or 1.0)))
        if not self.wash.under_way:
            return ""
        said = self.wash.answered(cls, gateway.workload_estimates.estimators[cls], cost or 1.0, elapsed, work)
        if said and self._recall is not None:
            self._recall.masses.pop(cls, None)
        return said

    def ahead(self, gateway: Gateway, request: int, attempt: int, identity: bytes) -> list[bytes]:
        """What must be on disk before an attempt leaves that the gateway has just sent: keys of entries."""
        sent = gateway.in_flight.attempts.get((request, attempt))
        if sent is None:
            return []
        job, rules, found = sent.request, gateway.batch.guarantees, []
        if identity and job.class_settings.idempotency is not api.Idempotency.SAFE:
            self.ledger.sent(identity, job.class_settings, gateway.batch.now, export.entry(sent.engine))
            found.append(k.SENT + identity)
        if job.class_settings.is_ordered and job.ordering_key:
            found.append(k.ORDER + export.order_name(job.ordering_key))
        if attempt and rules.retry_budget_base is not None:
            found.append(k.BUDGET)
        if rules.slow_start_overload_factor and sent.engine.warmup_remaining(
            gateway.batch.now, gateway.batch.guarantees.slow_start_duration
        ):
            found.append(k.ENGINE + sent.engine.id)
        return found

    # --- what to write ---

    def changes_ahead(self, gateway: Gateway, keys: Iterable[bytes]) -> list[Change]:
        """The entries that `ahead` named."""
        return self._differing({key: self._value(gateway, key) for key in keys})

    def touch(self) -> None:
        """Something has happened: there may be changes at the next look."""
        self._touched = self.keeping

    @property
    def next_look(self) -> float:
        return self._next if self._touched else math.inf

    def first(self, gateway: Gateway) -> list[Change]:
        """What goes with this run's first sign of life: all that was recalled, on this run's clock."""
        values: dict[bytes, k.Record | None] = dict(self._recall.rebased) if self._recall is not None else {}
        for key in self._written:
            if k.kind_of(key) == k.SENT:
                values[key] = self.ledger.get(key[2:])
        return self._differing(values | {k.FLEET: export.fleet(gateway)})

    def attach(self, gateway: Gateway, memory: PersistedState) -> list[Change]:
        """Take a folder in that another process had until now, and begin to keep. Gives the first commit."""
        self._recall = recall = StateRestorer(self.settings, memory)
        self.keeping, self._newer, self.summary = True, recall.newer, recall.summary
        self._hold(memory)
        recall.attach(gateway, self.ledger)
        self._try_out(recall)
        self._counts.clear()
        self.ledger.changed.update(dict.fromkeys(self.ledger.identities()))
        return self._differing({**recall.rebased, **self._all(gateway)})

    def changes(self, gateway: Gateway) -> list[Change]:
        """All that has changed since the last look."""
        self._next, self._touched = gateway.batch.now + LAG, False
        self.ledger.forget_until(gateway.batch.now)
        return self._differing(self._all(gateway))

    def entries(self, gateway: Gateway) -> tuple[tuple[bytes, Entry], ...]:
        """All of it, for a gateway that takes over in this very process."""
        values: dict[bytes, k.Record | None] = {
            k.SENT + i: self.ledger.get(i) for i in self.ledger.identities()
        }
        values |= self._all(gateway, every=True)
        made = [k.change(key, value) for key, value in values.items() if value is not None]
        return tuple((one.key, one.entry) for one in made if one.entry is not None)

    def anew(self, gateway: Gateway, now: float) -> PersistedState:
        """A memory for a gateway that begins in the place of this one."""
        run = k.RunRecord(
            now, 0.0, "here", "here", "", self.settings.gateway_index, self.settings.gateway_count, True
        )
        made = k.change(k.RUN, run).entry
        assert made is not None
        return PersistedState((*self.entries(gateway), (k.RUN, made)), Timestamp(now, 0.0, "here", "here"))

    def succeed(self, before: Checkpointer) -> None:
        """Go on in the place of another one: what it gave out to be written is what the disk holds."""
        self._written, self._fading = before._written, before._fading

    def _all(self, gateway: Gateway, every: bool = False) -> dict[bytes, k.Record | None]:
        masses = self._recall.masses if self._recall is not None else {}
        found: dict[bytes, k.Record | None] = dict.fromkeys(self._dropped)
        self._dropped = []
        for name, one in export.classes(gateway, masses, self._deviations()).items():
            if every or self._counts.get(one.mark) != one.count:
                self._counts[one.mark] = one.count
                found[k.CLASS + name] = one
        for engine in gateway.fleet.engines.values():
            if engine.state is not api.EngineState.REMOVED:
                found[k.ENGINE + engine.id] = export.engine(gateway, engine, self._seen(gateway))
        if self._recall is not None:
            for identity, old in self._recall.unlisted().items():
                found[k.ENGINE + identity] = old
        found[k.BUDGET], found[k.FLEET] = export.budget(gateway), export.fleet(gateway)
        found[k.TOLD] = export.told(gateway)
        for order, state in export.orders(gateway).items():
            found[k.ORDER + order] = state
        for identity in self.ledger.changed:
            found[k.SENT + identity] = self.ledger.get(identity)
        self.ledger.changed.clear()
        gone = (key for key in self._fading if key not in found)
        return found | {key: None for key in gone if self._listed or k.kind_of(key) == k.ORDER}

    def _deviations(self) -> list[float]:
        """Each class's scatter; what was recalled of it stands until enough is known."""
        found = []
        for cls, scatter in zip(self.settings.classes, self._scatters, strict=True):
            old = self._recall.class_named(cls.name) if self._recall is not None else None
            found.append(scatter.deviation or (old.scatter if old is not None else 0.0))
        return found

    def _value(self, gateway: Gateway, key: bytes) -> k.Record | None:
        kind = k.kind_of(key)
        if kind == k.SENT:
            return self.ledger.get(key[2:])
        if kind == k.ORDER:
            return k.OrderingRecord(True, 0.0)
        if kind == k.ENGINE:
            return export.engine(gateway, gateway.fleet.engines[key[2:]], self._seen(gateway))
        return export.budget(gateway)

    @staticmethod
    def _seen(gateway: Gateway) -> float:
        return math.floor(gateway.batch.now / SEEN) * SEEN

    def _differing(self, values: dict[bytes, k.Record | None]) -> list[Change]:
        found = []
        for key, value in values.items():
            made = k.change(key, value)
            if made.entry == self._written.get(key):
                continue
            if made.entry is None and key in self._newer:
                continue  # not ours to remove: a later version may come back to it
            if made.entry is None:
                self._written.pop(key, None)
                self._fading.pop(key, None)
            else:
                self._written[key] = made.entry
                if k.kind_of(key) in FADING:
                    self._fading[key] = None
            found.append(made)
        return found
