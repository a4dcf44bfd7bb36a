"""The state directory of a running gateway, with its lock, store, writer thread and heartbeats."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from . import __version__
from .config import Config
from .dispatch import Dispatcher
from .durability_futures import DurabilityFutures
from .errors import error_fields
from .learned_state import PersistedState, PurgeCategory, Timestamp, records
from .purge_requests import take_purge_request
from .storage import (
    Change,
    DirectoryBusyError,
    DirectoryLock,
    Entry,
    RealFiles,
    Store,
    StoreLimits,
    Writer,
    WriterStatus,
)

log = structlog.get_logger()

RETRY_INTERVAL = 1.0  # seconds between attempts to open a directory that is in use or unreadable
HEARTBEAT_INTERVAL = 1.0  # seconds
REPORT_INTERVAL = 60.0  # seconds between two status reports in the log
STOP_TIMEOUT = 2.0  # seconds that shutdown waits for the final commit and snapshot
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")  # random(4)


def boot_id() -> str:
    """Return the id of this boot of the machine, or an empty string if the system provides none."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


class StateDirectory:
    """The state directory of one gateway. If it fails, the gateway logs the error and runs without it.

    Args:
        config: The configuration of the gateway, which has the path of the directory.
        loop: The event loop on which all methods are called.

    Attributes:
        path: The path of the directory.
        restored_state: The persisted state read when the directory was opened. None until then.
        last_error: The error of the last failed attempt to open the directory. Empty if none has failed.
        on_attach: Called with the restored state when the directory is opened after the gateway has started.
        unsaved_count: Returns the number of attempts sent before their write-ahead records were durable.
        on_purge: Called with the categories of learned state that an operator has requested to purge.
    """

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        assert config.state_directory_path is not None
        self.path = config.state_directory_path
        self._config = config
        self._loop = loop
        self._boot_id = boot_id()
        self.last_error = ""
        self._lock: DirectoryLock | None = None
        self._files: RealFiles | None = None
        self._writer: Writer | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.on_purge: Callable[[tuple[PurgeCategory, ...]], None] | None = None
        self.on_attach: Callable[[PersistedState], None] | None = None
        self.unsaved_count: Callable[[], int] = lambda: 0
        self.restored_state: PersistedState | None = None
        self._durability_futures = DurabilityFutures(loop)
        self._has_started_writer = False
        self._next_report_at = loop.time() + REPORT_INTERVAL
        self._try_open()

    def _try_open(self) -> None:
        """Open the directory. An error is logged unless it equals the one of the previous attempt."""
        try:
            self.restored_state = PersistedState(self._open(), self._timestamp())
        except (OSError, DirectoryBusyError) as error:
            if str(error) != self.last_error:
                log.error(
                    "state directory unavailable: learned state is not persisted",
                    folder=str(self.path),
                    **error_fields(error),
                )
            self.last_error = str(error)
            self._release()

    def _retry_open(self) -> None:
        """Try again to open a directory that was unreadable, or in use during an overlapping restart."""
        self._try_open()
        if self.restored_state is None:
            self._timer = self._loop.call_later(RETRY_INTERVAL, self._retry_open)
        elif self.on_attach is not None:
            self.on_attach(self.restored_state)

    def _open(self) -> tuple[tuple[bytes, Entry], ...]:
        started_at = time.monotonic()
        self._lock = DirectoryLock(self.path)
        self._files = RealFiles(self.path)
        store = Store(self._files, StoreLimits(max_total_bytes=self._config.max_state_bytes))
        recovery = store.load()
        for problem in recovery.problems:
            log.warning("persisted data skipped", folder=str(self.path), what=problem)
        if recovery.newer_files:
            log.warning("files of a newer format version ignored", files=recovery.newer_files)
        self._writer = Writer(
            store, self._on_writer_message, before_repair=self._reopen, after_iteration=self._check_directory
        )
        log.info(
            "state directory read",
            folder=str(self.path),
            entries=len(recovery.state),
            bytes=sum(recovery.file_sizes.values()),
            took_s=round(time.monotonic() - started_at, 4),
        )
        return tuple(recovery.state.items())

    def _reopen(self) -> None:
        """Reopen and lock the directory before a repair if it was replaced. Runs on the writer's thread."""
        assert self._files is not None
        if self._files.reopen():
            lock, self._lock = self._lock, None
            if lock is not None:
                lock.release()
            try:
                self._lock = DirectoryLock(self.path)
            except DirectoryBusyError as error:
                raise OSError(str(error)) from error

    def _check_directory(self) -> None:
        """Check that the path still refers to the directory, and process a purge request.

        Runs on the writer's thread.
        """
        if self._files is not None and self._files.has_moved():
            raise FileNotFoundError(errno.ENOENT, "the state directory was removed or replaced")
        with contextlib.suppress(OSError):
            categories = take_purge_request(self.path)
            if categories and self.on_purge is not None:
                log.warning("learned state purge requested", what=[category.value for category in categories])
                with contextlib.suppress(RuntimeError):  # the loop is closed
                    self._loop.call_soon_threadsafe(self.on_purge, categories)

    def _on_writer_message(self, message: str) -> None:
        log.error(message, folder=str(self.path))

    def _timestamp(self) -> Timestamp:
        directory_id = self._lock.directory_id if self._lock is not None else ""
        return Timestamp(self._loop.time(), time.time(), self._boot_id, directory_id)

    def _heartbeat_change(self, ended_cleanly: bool = False) -> Change:
        now, settings = self._timestamp(), self._config.settings
        run = records.RunRecord(
            now.monotonic_s,
            now.wall_s,
            now.boot_id,
            now.directory_id,
            __version__,
            settings.gateway_index,
            settings.gateway_count,
            ended_cleanly,
        )
        return records.make_change(records.RUN, run)

    @property
    def status(self) -> WriterStatus:
        """The status of the writer, or a failed status while the directory is not open."""
        return (
            self._writer.status
            if self._writer is not None
            else WriterStatus(failure_reason="the state directory is not open")
        )

    def start(self, dispatcher: Dispatcher) -> None:
        """Start the writer with one commit of the restored records and the first heartbeat.

        The times in the restored records are converted to the clock of this run. If the directory is not
        open, another attempt to open it is scheduled instead.
        """
        summary = dispatcher.checkpointer.summary
        if self.restored_state is None:
            self._timer = self._loop.call_later(RETRY_INTERVAL, self._retry_open)
            return
        if self.restored_state.entries:
            log.info(
                "learned state restored",
                age_s=round(summary.age, 3),
                exact=summary.has_complete_ledgers,
                requests=summary.idempotency_keys,
                orders=summary.ordering_keys,
            )
        for note in summary.notes:
            log.warning("restored state incomplete or discounted", note=note)
        self.persist(tuple(dispatcher.first_changes), is_write_ahead=False)

    def _on_heartbeat(self) -> None:
        assert self._writer is not None
        self._writer.put([self._heartbeat_change()])
        self._timer = self._loop.call_later(HEARTBEAT_INTERVAL, self._on_heartbeat)
        if self._loop.time() >= self._next_report_at:
            self._next_report_at = self._loop.time() + REPORT_INTERVAL
            self.report()

    def report(self) -> None:
        """Log the status of the store."""
        status = self.status
        log.info(
            "state directory status",
            working=status.is_working,
            why=status.failure_reason,
            since_sync_s=round(self._loop.time() - status.last_sync_at, 3),
            sync_ms=round(status.sync_duration * 1000.0, 2),
            commits=status.commits,
            failures=status.failures,
            lost=status.lost_changes,
            unsaved=self.unsaved_count(),
            bytes=status.bytes,
            entries=status.entries,
        )

    def persist(self, changes: tuple[Change, ...], is_write_ahead: bool) -> asyncio.Future[bool] | None:
        """Queue changes for the writer. The first call starts the writer.

        Args:
            changes: The changes to write.
            is_write_ahead: Whether to commit the changes without a delay and return a future.

        Returns:
            A future that resolves to whether the changes are durable. None if `is_write_ahead` is False or
            the directory is not open.
        """
        if self._writer is None:
            return None
        if not self._has_started_writer:
            self._has_started_writer = True
            self._writer.put([*changes, self._heartbeat_change()])
            self._writer.start()
            self._timer = self._loop.call_later(HEARTBEAT_INTERVAL, self._on_heartbeat)
            changes = ()
        if not is_write_ahead:
            self._writer.put(changes)
            return None
        future = self._durability_futures.create()
        self._writer.put(changes, lambda is_durable: self._durability_futures.resolve(future, is_durable))
        return future

    def stop(self, dispatcher: Dispatcher) -> None:
        """Commit the unpersisted changes, write a final snapshot and release the directory."""
        if self._timer is not None:
            self._timer.cancel()
        if self._writer is not None and self._has_started_writer:
            self._writer.put(
                [*dispatcher.take_unpersisted_changes(), self._heartbeat_change(ended_cleanly=True)]
            )
            if not self._writer.stop(STOP_TIMEOUT):
                log.error("final snapshot timed out", folder=str(self.path))
            self.report()
            self._writer = None
        self._release()

    def _release(self) -> None:
        if self._files is not None:
            self._files.close()
        if self._lock is not None:
            self._lock.release()
        self._files = self._lock = None
