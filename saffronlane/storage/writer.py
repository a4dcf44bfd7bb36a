"""A thread that owns a store, so that no fsync delays the event loop.

Pending changes are queued in one map with the newest entry of each key, which bounds the memory for repeated
changes of the same key. All pending changes form one commit (group commit); changes that arrive while it is
being synced form the next commit.
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
        max_delay: The seconds after which pending changes are committed even without a callback.
        min_repair_interval: The seconds from a failure to the first repair. The interval doubles after each
            failed repair.
        max_repair_interval: The maximum seconds between two repairs.
        idle_interval: The maximum seconds between two iterations of the thread while there are no changes.
        max_pending: The maximum number of pending keys, and of pending callbacks. Changes of further keys are
            dropped and counted.
    """

    max_delay: float = 0.5
    min_repair_interval: float = 1.0
    max_repair_interval: float = 60.0
    idle_interval: float = 5.0
    max_pending: int = 200_000


@dataclass(frozen=True, slots=True)
class WriterStatus:
    """The status of a writer, for metrics and logs.

    Attributes:
        is_working: Whether commits succeed at present.
        failure_reason: Why commits fail. Empty if they succeed.
        last_sync_at: The time of the last commit or repair in monotonic seconds.
        sync_duration: The duration of the last commit in seconds.
        commits: The number of successful commits.
        failures: The number of failures, including failed repairs.
        lost_changes: The number of changes that were dropped because too many keys were pending.
        bytes: The total size of all files of the store.
        entries: The number of keys in the store.
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
class _Batch:
    """The work of one iteration of the thread.

    Attributes:
        changes: The changes to commit.
        callbacks: The callbacks to call after the commit.
        is_last: Whether the thread ends after this iteration.
    """

    changes: list[Change]
    callbacks: list[DurabilityCallback]
    is_last: bool


class Writer:
    """Accepts changes from other threads and commits them on its own thread.

    Args:
        store: The store, after `load` and before `begin`. The writer becomes its only user.
        on_message: Called with a message for the log after failures and repairs, on the writer's thread.
        limits: The intervals and sizes.
        before_repair: Called on the writer's thread before each repair. May raise OSError.
        after_iteration: Called on the writer's thread after each iteration, at least every `idle_interval`.
            Raises OSError if the store must be repaired.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        store: Store,
        on_message: MessageCallback,
        limits: WriterLimits | None = None,
        before_repair: Callable[[], None] | None = None,
        after_iteration: Callable[[], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._on_message = on_message
        self._clock = clock
        self._limits = limits or WriterLimits()
        self._before_repair = before_repair
        self._after_iteration = after_iteration
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

    def put(self, changes: Iterable[Change], on_complete: DurabilityCallback | None = None) -> None:
        """Queue changes for a commit. Does not wait for the disk. The queue is bounded by `max_pending`.

        Args:
            changes: The changes to commit.
            on_complete: Called with whether the changes are durable. If a callback is given, the changes are
                committed without a delay. It is called on the writer's thread, or on the caller's thread with
                False if the queue is full.
        """
        lost_count = 0
        with self._condition:
            if not self._pending:
                self._pending_since = self._clock()
                self._condition.notify()
            for key, entry in changes:
                if key in self._pending or len(self._pending) < self._limits.max_pending:
                    self._pending[key] = entry
                else:
                    lost_count += 1
            self._lost_changes += lost_count
            if on_complete is not None and not lost_count and len(self._callbacks) < self._limits.max_pending:
                self._callbacks.append(on_complete)
                self._condition.notify()
                return
        if on_complete is not None:
            on_complete(False)

    def stop(self, timeout: float) -> bool:
        """Commit the pending changes, write a final snapshot and end the thread.

        Returns:
            Whether the thread ended within `timeout` seconds.
        """
        with self._condition:
            self._is_stopping = True
            self._condition.notify()
        self._thread.join(timeout)
        return not self._thread.is_alive()

    # The methods below run on the writer's thread.

    def _run(self) -> None:
        self._begin()
        is_last = False
        while not is_last:
            batch = self._next_batch()
            self._commit(batch)
            self._call_after_iteration()
            is_last = batch.is_last
        try:
            if not self._store.has_failed:
                self._store.write_final_snapshot()
        except StoreFailedError as error:
            self._on_failure(error)
        self._store.close()

    def _next_batch(self) -> _Batch:
        """Wait for work or until the next iteration is due, and return a batch, which may be empty."""
        with self._condition:
            if not self._callbacks and not self._is_stopping:
                self._condition.wait(self._wait_time())
            is_due = self._pending and self._clock() >= self._pending_since + self._limits.max_delay
            batch = _Batch(changes=[], callbacks=self._callbacks, is_last=self._is_stopping)
            if batch.callbacks or batch.is_last or is_due:
                changes = [Change(key, entry) for key, entry in self._pending.items()]
                batch = replace(batch, changes=changes)
                self._pending = {}
                self._callbacks = []
            return batch

    def _wait_time(self) -> float:
        """Return the maximum seconds until the next iteration. The caller holds the lock."""
        now = self._clock()
        times = [self._limits.idle_interval]
        if self._pending:
            times.append(self._pending_since + self._limits.max_delay - now)
        if self._store.has_failed:
            times.append(self._next_repair_at - now)
        elif self._store.is_compacting:
            return 0.0
        return max(0.0, min(times))

    def _commit(self, batch: _Batch) -> None:
        if self._store.has_failed and self._clock() >= self._next_repair_at:
            self._begin()
        had_failed = self._store.has_failed
        started_at = self._clock()
        is_durable = self._write(batch, had_failed)
        if is_durable and batch.changes:
            self._record_commit(started_at)
        for callback in batch.callbacks:
            callback(is_durable)

    def _write(self, batch: _Batch, had_failed: bool) -> bool:
        """Commit the changes of a batch, or compact if it is empty. Returns whether they are durable."""
        try:
            if batch.changes:
                self._store.commit(batch.changes)
            elif not batch.callbacks:
                self._store.compact_step()
        except StoreFailedError as error:
            if not had_failed:
                self._on_failure(error)
            return False
        except Exception as error:  # The thread must not end, or callbacks would never be called.
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

    def _call_after_iteration(self) -> None:
        try:
            if self._after_iteration is not None:
                self._after_iteration()
        except OSError as error:
            if not self._store.has_failed:
                self._store.close()
                self._on_failure(error)

    def _begin(self) -> None:
        """Start or repair the store."""
        try:
            if self._status.failures and self._before_repair is not None:
                self._before_repair()
            self._store.begin()
        except (StoreFailedError, OSError) as error:
            self._on_failure(error)
            return
        if self._status.failures:
            self._on_message("store repaired: changes are durable again")
        self._repair_interval = self._limits.min_repair_interval
        self._status = replace(self._status, is_working=True, failure_reason="", last_sync_at=self._clock())

    def _on_failure(self, error: Exception) -> None:
        if self._status.is_working or not self._status.failures:
            self._on_message(f"store failed: changes are no longer durable: {error}")
        self._status = replace(
            self._status, is_working=False, failure_reason=str(error), failures=self._status.failures + 1
        )
        self._next_repair_at = self._clock() + self._repair_interval
        self._repair_interval = min(self._limits.max_repair_interval, 2.0 * self._repair_interval)
