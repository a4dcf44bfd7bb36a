"""The state directory of a running gateway: lock, writer thread and clocks around its store."""

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

RETRY_INTERVAL = 1.0  # seconds between attempts to open a directory that is in use or cannot be read
HEARTBEAT_INTERVAL = 1.0  # seconds
REPORT_INTERVAL = 60.0  # seconds between two reports in the log
STOP_TIMEOUT = 2.0  # seconds that shutdown waits for the last commit
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")  # random(4)


def boot_id() -> str:
    """Return the name of this boot of the machine, or an empty string if the system has none."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


class StateDirectory:
    """The state directory of one gateway. Where it fails, the gateway runs on without and logs it.

    Args:
        config: of the gateway; it names the directory.
        loop: on which all methods are called.

    Attributes:
        restored_state: what was read, for the dispatcher; None while the directory is not open.
        last_error: why the directory could not be opened; empty if it could.
        on_attach: called once the directory is open, if it was not at the start.
        unsaved_count: returns how many attempts left before their write-ahead records were durable.
        on_purge: called with what an operator wants purged.
    """

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        assert config.knowledge is not None
        self.path = config.knowledge
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
        self._durability = DurabilityFutures(loop)
        self._has_started_writer = False
        self._report_at = loop.time() + REPORT_INTERVAL
        self._try_open()

    def _try_open(self) -> None:
        """Open the directory if no other process has it."""
        try:
            self.restored_state = PersistedState(self._open(), self._timestamp())
        except (OSError, DirectoryBusyError) as error:
            if str(error) != self.last_error:
                log.error("knowledge is not kept", folder=str(self.path), **error_fields(error))
            self.last_error = str(error)
            self._release()

    def _retry_open(self) -> None:
        """Open a directory that was in use, as in an overlapping restart, or unreadable."""
        self._try_open()
        if self.restored_state is None:
            self._timer = self._loop.call_later(RETRY_INTERVAL, self._retry_open)
        elif self.on_attach is not None:
            self.on_attach(self.restored_state)

    def _open(self) -> tuple[tuple[bytes, Entry], ...]:
        began = time.monotonic()
        self._lock = DirectoryLock(self.path)
        self._files = RealFiles(self.path)
        store = Store(self._files, StoreLimits(max_total_bytes=self._config.knowledge_most))
        found = store.load()
        for text in found.dropped:
            log.warning("knowledge left out", folder=str(self.path), what=text)
        if found.newer_files:
            log.warning("files of a newer version left alone", files=found.newer_files)
        self._writer = Writer(
            store, self._on_writer_message, before_repair=self._reopen, after_turn=self._check_directory
        )
        log.info(
            "knowledge read",
            folder=str(self.path),
            entries=len(found.state),
            bytes=sum(found.sizes.values()),
            took_s=round(time.monotonic() - began, 4),
        )
        return tuple(found.state.items())

    def _reopen(self) -> None:
        """Lock the directory anew if it was replaced, before a repair. On the writer's thread."""
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
        """Check that the directory is still there, and for a purge request. On the writer's thread."""
        if self._files is not None and self._files.has_moved():
            raise FileNotFoundError(errno.ENOENT, "the folder has vanished")
        with contextlib.suppress(OSError):
            categories = take_purge_request(self.path)
            if categories and self.on_purge is not None:
                log.warning("learned state purged", what=[category.value for category in categories])
                with contextlib.suppress(RuntimeError):  # the loop has been closed meanwhile
                    self._loop.call_soon_threadsafe(self.on_purge, categories)

    def _on_writer_message(self, text: str) -> None:
        log.error(text, folder=str(self.path))

    def _timestamp(self) -> Timestamp:
        directory_id = self._lock.directory_id if self._lock is not None else ""
        return Timestamp(self._loop.time(), time.time(), self._boot_id, directory_id)

    def _heartbeat_change(self, clean: bool = False) -> Change:
        now, settings = self._timestamp(), self._config.settings
        run = records.RunRecord(
            now.monotonic_s,
            now.wall_s,
            now.boot_id,
            now.directory_id,
            __version__,
            settings.gateway_index,
            settings.gateway_count,
            clean,
        )
        return records.make_change(records.RUN, run)

    @property
    def status(self) -> WriterStatus:
        return (
            self._writer.status
            if self._writer is not None
            else WriterStatus(failure_reason="the folder is not in use")
        )

    def start(self, dispatcher: Dispatcher) -> None:
        """Begin to write: what was restored, on this run's clock, in one commit with the first heartbeat."""
        summary = dispatcher.checkpointer.summary
        if self.restored_state is None:
            self._timer = self._loop.call_later(RETRY_INTERVAL, self._retry_open)
            return
        if self.restored_state.entries:
            log.info(
                "knowledge recalled",
                age_s=round(summary.age, 3),
                exact=summary.has_complete_ledgers,
                requests=summary.requests,
                orders=summary.ordering_keys,
            )
        for note in summary.notes:
            log.warning("knowledge", note=note)
        self.persist(tuple(dispatcher.first_changes), ahead=False)

    def _on_heartbeat(self) -> None:
        assert self._writer is not None
        self._writer.put([self._heartbeat_change()])
        self._timer = self._loop.call_later(HEARTBEAT_INTERVAL, self._on_heartbeat)
        if self._loop.time() >= self._report_at:
            self._report_at = self._loop.time() + REPORT_INTERVAL
            self.report()

    def report(self) -> None:
        """Log the status of the store."""
        status = self.status
        log.info(
            "knowledge kept",
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

    def persist(self, changes: tuple[Change, ...], ahead: bool) -> asyncio.Future[bool] | None:
        """Write changes.

        Args:
            changes: to write.
            ahead: write them at once, and return a future of whether they are durable.
        """
        if self._writer is None:
            return None
        if not self._has_started_writer:
            self._has_started_writer = True
            self._writer.put([*changes, self._heartbeat_change()])
            self._writer.start()
            self._timer = self._loop.call_later(HEARTBEAT_INTERVAL, self._on_heartbeat)
            changes = ()
        if not ahead:
            self._writer.put(changes)
            return None
        future = self._durability.create()
        self._writer.put(changes, lambda is_durable: self._durability.resolve(future, is_durable))
        return future

    def stop(self, dispatcher: Dispatcher) -> None:
        """Write a last snapshot and release the directory."""
        if self._timer is not None:
            self._timer.cancel()
        if self._writer is not None and self._has_started_writer:
            self._writer.put([*dispatcher.take_unpersisted_changes(), self._heartbeat_change(clean=True)])
            if not self._writer.stop(STOP_TIMEOUT):
                log.error("last snapshot timed out", folder=str(self.path))
            self.report()
            self._writer = None
        self._release()

    def _release(self) -> None:
        if self._files is not None:
            self._files.close()
        if self._lock is not None:
            self._lock.release()
        self._files = self._lock = None
