"""A thread that owns a store, so that no fsync ever holds up the loop.

Changes wait in one map, the newest of each key: a flood of changes to the same keys costs memory once. All
that waits is one commit (group commit): while one is being synced, the next one gathers.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from .errors import StoreFailedError
from .format import Change, Entry
from .store import Store

DurabilityCallback = Callable[[bool], None]
MessageCallback = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class WriterLimits:
    """Seconds and entries."""

    max_delay: float = 0.5  # that a change nobody waits for may wait
    min_repair_interval: float = (
        1.0  # from a failure to the first try with fresh files; doubled while tries fail
    )
    max_repair_interval: float = 60.0
    idle_interval: float = 5.0
    max_pending: int = 200_000  # keys that wait; more are not kept, which is told


@dataclass(frozen=True, slots=True)
class WriterStatus:
    """For metrics and logs; times are monotonic seconds."""

    is_working: bool = False
    failure_reason: str = "not started"
    last_sync_at: float = 0.0
    sync_duration: float = 0.0  # seconds, of the last commit
    commits: int = 0
    failures: int = 0
    lost_changes: int = 0  # changes that found no room to wait
    bytes: int = 0
    entries: int = 0


class Writer:
    """Takes changes from the loop's thread and commits them on its own.

    Args:
        store: loaded, not yet begun; belongs to this object from now on.
        tell: hears in words of failures and repairs; called on the writer's thread.
        before_repair: called there before each try to go on with fresh files; may raise OSError.
        each_turn: called there after each commit, and at least every `idle` seconds; OSError: the store is
            not fit for use, and to be repaired.
    """

    def __init__(
        self,
        store: Store,
        tell: MessageCallback,
        limits: WriterLimits | None = None,
        before_repair: Callable[[], None] | None = None,
        each_turn: Callable[[], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store, self._tell, self._clock = store, tell, clock
        self._limits = limits or WriterLimits()
        self._before_repair, self._each_turn = before_repair, each_turn
        self._wake = threading.Condition()
        self._waiting: dict[bytes, Entry | None] = {}
        self._since = 0.0  # when the oldest of them came
        self._askers: list[DurabilityCallback] = []
        self._stopping, self._lost = False, 0
        self._status = WriterStatus()
        self._repair_at, self._repair_gap = 0.0, self._limits.min_repair_interval
        self._thread = threading.Thread(target=self._run, name="storage", daemon=True)

    @property
    def status(self) -> WriterStatus:
        return replace(self._status, lost_changes=self._lost)

    def start(self) -> None:
        self._thread.start()

    def put(self, changes: Iterable[Change], done: DurabilityCallback | None = None) -> None:
        """Keep these. With `done`: at once, and it hears whether they are durable, mostly on the thread here.

        A disk that hangs holds up nothing but what waits for it, and that is bounded.
        """
        lost = 0
        with self._wake:
            if not self._waiting:
                self._since = self._clock()
                self._wake.notify()
            for key, entry in changes:
                if key in self._waiting or len(self._waiting) < self._limits.max_pending:
                    self._waiting[key] = entry
                else:
                    lost += 1
            if lost:
                self._lost += lost
            if done is not None and not lost and len(self._askers) < self._limits.max_pending:
                self._askers.append(done)
                self._wake.notify()
                return
        if done is not None:
            done(False)

    def stop(self, timeout: float) -> bool:
        """Commit what waits, leave a last snapshot, end. False if the disk does not let it end in time."""
        with self._wake:
            self._stopping = True
            self._wake.notify()
        self._thread.join(timeout)
        return not self._thread.is_alive()

    # --- on the thread ---

    def _run(self) -> None:
        self._begin()
        while True:
            with self._wake:
                if not self._askers and not self._stopping:
                    self._wake.wait(self._patience())
                stopping = self._stopping
                due = self._waiting and self._clock() >= self._since + self._limits.max_delay
                changes, askers = [], self._askers
                if askers or stopping or due:
                    changes = [Change(key, entry) for key, entry in self._waiting.items()]
                    self._waiting, self._askers = {}, []
            self._turn(changes, askers)
            try:
                if self._each_turn is not None:
                    self._each_turn()
            except OSError as error:
                if not self._store.has_failed:
                    self._store.close()
                    self._fell(error)
            if stopping:
                break
        try:
            if not self._store.has_failed:
                self._store.write_final_snapshot()
        except StoreFailedError as error:
            self._fell(error)
        self._store.close()

    def _patience(self) -> float:
        """Seconds until there is something to do though nobody asks. Holds the lock."""
        now, waits = self._clock(), [self._limits.idle_interval]
        if self._waiting:
            waits.append(self._since + self._limits.max_delay - now)
        if self._store.has_failed:
            waits.append(self._repair_at - now)
        elif self._store.is_compacting:
            return 0.0
        return max(0.0, min(waits))

    def _turn(self, changes: list[Change], askers: list[DurabilityCallback]) -> None:
        if self._store.has_failed and self._clock() >= self._repair_at:
            self._begin()
        kept = not self._store.has_failed
        began = self._clock()
        try:
            if changes:
                self._store.commit(changes)
            elif not askers:
                self._store.compact_step()
        except StoreFailedError as error:
            if kept:
                self._fell(error)
            kept = False
        except (
            Exception
        ) as error:  # guards against a fault here ending the thread: askers would wait for ever
            self._store.close()
            self._fell(StoreFailedError(repr(error)))
            kept = False
        if kept and changes:
            now = self._clock()
            self._status = replace(
                self._status,
                last_sync_at=now,
                sync_duration=now - began,
                commits=self._status.commits + 1,
                bytes=self._store.bytes,
                entries=len(self._store.state),
            )
        for done in askers:
            done(kept)

    def _begin(self) -> None:
        try:
            if self._status.failures and self._before_repair is not None:
                self._before_repair()
            self._store.begin()
        except (StoreFailedError, OSError) as error:
            self._fell(error)
        else:
            if self._status.failures:
                self._tell("knowledge is kept again")
            self._repair_gap = self._limits.min_repair_interval
            self._status = replace(
                self._status, is_working=True, failure_reason="", last_sync_at=self._clock()
            )

    def _fell(self, error: Exception) -> None:
        if self._status.is_working or not self._status.failures:
            self._tell(f"knowledge is not kept any more: {error}")
        self._status = replace(
            self._status, is_working=False, failure_reason=str(error), failures=self._status.failures + 1
        )
        self._repair_at = self._clock() + self._repair_gap
        self._repair_gap = min(self._limits.max_repair_interval, 2.0 * self._repair_gap)
