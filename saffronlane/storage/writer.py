"""A thread that owns a store, so that no fsync ever delays the event loop.

Changes wait in one map, the newest of each key, so many changes to the same keys take memory once. All
changes that wait form one commit (group commit): while one is being synced, the next one gathers.
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
    """Intervals and sizes of a writer.

    Attributes:
        max_delay: seconds that a change without a callback may wait.
        min_repair_interval: seconds from a failure to the first repair; doubled while repairs fail.
        max_repair_interval: seconds.
        idle_interval: seconds between two turns of the thread without changes.
        max_pending: keys that may wait; more are lost and counted.
    """

    max_delay: float = 0.5
    min_repair_interval: float = 1.0
    max_repair_interval: float = 60.0
    idle_interval: float = 5.0
    max_pending: int = 200_000


@dataclass(frozen=True, slots=True)
class WriterStatus:
    """For metrics and logs.

    Attributes:
        last_sync_at: monotonic seconds.
        sync_duration: seconds, of the last commit.
        lost_changes: changes that were dropped because too many were waiting.
    """

    is_working: bool = False
    failure_reason: str = "not started"
    last_sync_at: float = 0.0
    sync_duration: float = 0.0
    commits: int = 0
    failures: int = 0
    lost_changes: int = 0
    bytes: int = 0
    entries: int = 0


@dataclass(frozen=True, slots=True)
class _Turn:
    """What one turn of the thread has to do."""

    changes: list[Change]
    callbacks: list[DurabilityCallback]
    is_last: bool


class Writer:
    """Takes changes from the event loop's thread and commits them on its own.

    Args:
        store: loaded, not yet begun; belongs to this object from now on.
        on_message: called with a line for the log on failures and repairs, on the writer's thread.
        limits: intervals and sizes.
        before_repair: called on the writer's thread before each repair; may raise OSError.
        after_turn: called there after each commit, and at least every `idle_interval`; raises OSError if the
            store must be repaired.
        clock: returns monotonic seconds.
    """

    def __init__(
        self,
        store: Store,
        on_message: MessageCallback,
        limits: WriterLimits | None = None,
        before_repair: Callable[[], None] | None = None,
        after_turn: Callable[[], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._on_message = on_message
        self._clock = clock
        self._limits = limits or WriterLimits()
        self._before_repair = before_repair
        self._after_turn = after_turn
        self._condition = threading.Condition()
        self._pending: dict[bytes, Entry | None] = {}
        self._pending_since = 0.0
        self._callbacks: list[DurabilityCallback] = []
        self._is_stopping = False
        self._lost_changes = 0
        self._status = WriterStatus()
        self._next_repair_at = 0.0
        self._repair_interval = self._limits.min_repair_interval
        self._thread = threading.Thread(target=self._run, name="storage", daemon=True)

    @property
    def status(self) -> WriterStatus:
        """The status as of now. May be read on any thread."""
        return replace(self._status, lost_changes=self._lost_changes)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def put(self, changes: Iterable[Change], done: DurabilityCallback | None = None) -> None:
        """Commit changes. A disk that hangs delays nothing but what waits for it, and that is bounded.

        Args:
            changes: to commit.
            done: commit at once and call this with whether the changes are durable, mostly on the writer's
                thread.
        """
        lost = 0
        with self._condition:
            if not self._pending:
                self._pending_since = self._clock()
                self._condition.notify()
            for key, entry in changes:
                if key in self._pending or len(self._pending) < self._limits.max_pending:
                    self._pending[key] = entry
                else:
                    lost += 1
            self._lost_changes += lost
            if done is not None and not lost and len(self._callbacks) < self._limits.max_pending:
                self._callbacks.append(done)
                self._condition.notify()
                return
        if done is not None:
            done(False)

    def stop(self, timeout: float) -> bool:
        """Commit what waits, write a last snapshot and end the thread.

        Returns:
            Whether the thread ended within `timeout` seconds.
        """
        with self._condition:
            self._is_stopping = True
            self._condition.notify()
        self._thread.join(timeout)
        return not self._thread.is_alive()

    # --- on the thread ---

    def _run(self) -> None:
        self._begin()
        is_last = False
        while not is_last:
            turn = self._next_turn()
            self._commit(turn)
            self._call_after_turn()
            is_last = turn.is_last
        try:
            if not self._store.has_failed:
                self._store.write_final_snapshot()
        except StoreFailedError as error:
            self._on_failure(error)
        self._store.close()

    def _next_turn(self) -> _Turn:
        """Wait until there is something to do."""
        with self._condition:
            if not self._callbacks and not self._is_stopping:
                self._condition.wait(self._wait_time())
            is_due = self._pending and self._clock() >= self._pending_since + self._limits.max_delay
            turn = _Turn(changes=[], callbacks=self._callbacks, is_last=self._is_stopping)
            if turn.callbacks or turn.is_last or is_due:
                changes = [Change(key, entry) for key, entry in self._pending.items()]
                turn = replace(turn, changes=changes)
                self._pending = {}
                self._callbacks = []
            return turn

    def _wait_time(self) -> float:
        """Return the seconds until there is something to do without a callback. Holds the lock."""
        now = self._clock()
        times = [self._limits.idle_interval]
        if self._pending:
            times.append(self._pending_since + self._limits.max_delay - now)
        if self._store.has_failed:
            times.append(self._next_repair_at - now)
        elif self._store.is_compacting:
            return 0.0
        return max(0.0, min(times))

    def _commit(self, turn: _Turn) -> None:
        if self._store.has_failed and self._clock() >= self._next_repair_at:
            self._begin()
        had_failed = self._store.has_failed
        started_at = self._clock()
        is_durable = self._write(turn, had_failed)
        if is_durable and turn.changes:
            self._record_commit(started_at)
        for callback in turn.callbacks:
            callback(is_durable)

    def _write(self, turn: _Turn, had_failed: bool) -> bool:
        """Commit a turn's changes, or compact while there are none. Returns whether they are durable."""
        try:
            if turn.changes:
                self._store.commit(turn.changes)
            elif not turn.callbacks:
                self._store.compact_step()
        except StoreFailedError as error:
            if not had_failed:
                self._on_failure(error)
            return False
        except Exception as error:  # a fault here must not end the thread: callbacks would wait for ever
            self._store.close()
            self._on_failure(StoreFailedError(repr(error)))
            return False
        return not had_failed

    def _record_commit(self, started_at: float) -> None:
        now = self._clock()
        self._status = replace(
            self._status,
            last_sync_at=now,
            sync_duration=now - started_at,
            commits=self._status.commits + 1,
            bytes=self._store.bytes,
            entries=len(self._store.state),
        )

    def _call_after_turn(self) -> None:
        try:
            if self._after_turn is not None:
                self._after_turn()
        except OSError as error:
            if not self._store.has_failed:
                self._store.close()
                self._on_failure(error)

    def _begin(self) -> None:
        """Begin or repair the store."""
        try:
            if self._status.failures and self._before_repair is not None:
                self._before_repair()
            self._store.begin()
        except (StoreFailedError, OSError) as error:
            self._on_failure(error)
            return
        if self._status.failures:
            self._on_message("knowledge is kept again")
        self._repair_interval = self._limits.min_repair_interval
        self._status = replace(self._status, is_working=True, failure_reason="", last_sync_at=self._clock())

    def _on_failure(self, error: Exception) -> None:
        if self._status.is_working or not self._status.failures:
            self._on_message(f"knowledge is not kept any more: {error}")
        self._status = replace(
            self._status, is_working=False, failure_reason=str(error), failures=self._status.failures + 1
        )
        self._next_repair_at = self._clock() + self._repair_interval
        self._repair_interval = min(self._limits.max_repair_interval, 2.0 * self._repair_interval)
