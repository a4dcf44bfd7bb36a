"""The folder in which a running gateway keeps what it knows: thread, clocks and lock around it."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

import structlog

from . import __version__
from .config import Config
from .dispatch import Dispatcher
from .errors import told
from .learned_state import PersistedState, PurgeCategory, Timestamp
from .learned_state import records as k
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
RETRY_INTERVAL = 1.0  # seconds between tries of a folder that is not free
HEARTBEAT_INTERVAL = 1.0  # seconds between two signs of life
REPORT_INTERVAL = 60.0  # seconds between two reports in the log
STOP_TIMEOUT = 2.0  # seconds that the end of the process waits for its last commit
PURGE_REQUEST_NAME = "forget"  # file by which an operator asks a running gateway
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")  # random(4)


def boot_id() -> str:
    """Names this boot of the machine; empty where the system does not tell."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


class StateDirectory:
    """One folder of one gateway. Whatever is wrong with it, the gateway goes on without, and says so.

    Attributes:
        memory: what was read, for the dispatcher; None: the folder is not in use (yet).
        on_attach: told once it is, where it was not at the start.
        unsaved: tells how many attempts left though what must be on disk before them was not.
        on_forget: told what an operator wants forgotten.
    """

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        assert config.knowledge is not None
        self.path = config.knowledge
        self._config, self._loop = config, loop
        self._boot = boot_id()
        self._why = ""
        self._lock: DirectoryLock | None = None
        self._files: RealFiles | None = None
        self._writer: Writer | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.on_purge: Callable[[tuple[PurgeCategory, ...]], None] | None = None
        self.on_attach: Callable[[PersistedState], None] | None = None
        self.unsaved_count: Callable[[], int] = lambda: 0
        self.restored_state: PersistedState | None = None
        self._settled: deque[tuple[asyncio.Future[bool], bool]] = deque()
        self._settling = False
        self._begun = False  # the first commit has been given to the writer
        self._report_at = loop.time() + REPORT_INTERVAL
        self._try()

    def _try(self) -> None:
        """Take the folder in use if it is free."""
        try:
            self.restored_state = PersistedState(self._open(), self._moment())
        except (OSError, DirectoryBusyError) as error:
            if str(error) != self._why:
                log.error("knowledge is not kept", folder=str(self.path), **told(error))
            self._why = str(error)
            self._release()

    def _try_again(self) -> None:
        """Another process had the folder, as in a restart that overlaps, or it could not be read."""
        self._try()
        if self.restored_state is None:
            self._timer = self._loop.call_later(RETRY_INTERVAL, self._try_again)
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
            log.warning("knowledge of a newer version is left alone", files=found.newer_files)
        self._writer = Writer(store, self._tell, before_repair=self._reopen, each_turn=self._look)
        log.info(
            "knowledge read",
            folder=str(self.path),
            entries=len(found.state),
            bytes=sum(found.sizes.values()),
            took_s=round(time.monotonic() - began, 4),
        )
        return tuple(found.state.items())

    def _reopen(self) -> None:
        """Before a repair: the folder may have vanished and be there again. On the writer's thread."""
        assert self._files is not None
        if self._files.reopen():
            lock, self._lock = self._lock, None
            if lock is not None:
                lock.release()
            try:
                self._lock = DirectoryLock(self.path)
            except DirectoryBusyError as error:
                raise OSError(str(error)) from None

    def _look(self) -> None:
        """Whether the folder is still there, and an operator left a request. On the writer's thread."""
        if self._files is not None and self._files.has_moved():
            raise FileNotFoundError(errno.ENOENT, "the folder has vanished")
        request = self.path / PURGE_REQUEST_NAME
        with contextlib.suppress(OSError):
            if request.exists():
                self._take(request)

    def _take(self, request: Path) -> None:
        try:
            what = tuple(PurgeCategory(w) for w in json.loads(request.read_bytes()))
        except (ValueError, TypeError) as error:
            log.error("request not understood", file=str(request), why=str(error))
            what = ()
        request.unlink()
        if PurgeCategory.ALL in what:
            log.error("ledgers of a running gateway are not forgotten", file=str(request))
        elif what and self.on_purge is not None:
            log.warning("an operator has knowledge forgotten", what=[w.value for w in what])
            with contextlib.suppress(RuntimeError):
                self._loop.call_soon_threadsafe(self.on_purge, what)

    def _tell(self, text: str) -> None:
        log.error(text, folder=str(self.path))

    def _moment(self) -> Timestamp:
        place = self._lock.directory_id if self._lock is not None else ""
        return Timestamp(self._loop.time(), time.time(), self._boot, place)

    def _sign(self, clean: bool = False) -> Change:
        now, settings = self._moment(), self._config.settings
        run = k.RunRecord(
            now.monotonic_s,
            now.wall_s,
            now.boot_id,
            now.directory_id,
            __version__,
            settings.gateway_index,
            settings.gateway_count,
            clean,
        )
        return k.make_change(k.RUN, run)

    @property
    def status(self) -> WriterStatus:
        return (
            self._writer.status
            if self._writer is not None
            else WriterStatus(failure_reason="the folder is not in use")
        )

    def start(self, dispatcher: Dispatcher) -> None:
        """Begin to write: all that was recalled, on this run's clock, in one commit with its first sign."""
        summary = dispatcher.checkpointer.summary
        if self.restored_state is None:
            self._timer = self._loop.call_later(RETRY_INTERVAL, self._try_again)
            return
        if self.restored_state.entries:
            log.info(
                "knowledge recalled",
                age_s=round(summary.age, 3),
                exact=summary.has_complete_ledgers,
                requests=summary.requests,
                orders=summary.orders,
            )
        for note in summary.notes:
            log.warning("knowledge", note=note)
        self.persist(tuple(dispatcher.first_changes), ahead=False)

    def _beat(self) -> None:
        assert self._writer is not None
        self._writer.put([self._sign()])
        self._timer = self._loop.call_later(HEARTBEAT_INTERVAL, self._beat)
        if self._loop.time() >= self._report_at:
            self._report_at = self._loop.time() + REPORT_INTERVAL
            self.report()

    def report(self) -> None:
        """A line for the log, of how the store fares."""
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
        """Write these; with `ahead`, at once, and the future tells whether they are durable."""
        if self._writer is None:
            return None
        if not self._begun:
            self._begun = True
            self._writer.put([*changes, self._sign()])
            self._writer.start()
            self._timer = self._loop.call_later(HEARTBEAT_INTERVAL, self._beat)
            changes = ()
        if not ahead:
            self._writer.put(changes)
            return None
        future: asyncio.Future[bool] = self._loop.create_future()

        self._writer.put(changes, lambda kept: self._durable(future, kept))
        return future

    def _durable(self, future: asyncio.Future[bool], kept: bool) -> None:
        """On the writer's thread. One wake of the loop for all of a commit: each wake is a system call."""
        self._settled.append((future, kept))
        if not self._settling:
            self._settling = True
            with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
                self._loop.call_soon_threadsafe(self._settle)

    def _settle(self) -> None:
        self._settling = False  # before the list is emptied: who appends from now on wakes the loop again
        while self._settled:
            future, kept = self._settled.popleft()
            if not future.done():
                future.set_result(kept)

    def stop(self, dispatcher: Dispatcher) -> None:
        """Leave a last snapshot, and give the folder free."""
        if self._timer is not None:
            self._timer.cancel()
        if self._writer is not None and self._begun:
            self._writer.put([*dispatcher.take_unpersisted_changes(), self._sign(clean=True)])
            if not self._writer.stop(STOP_TIMEOUT):
                log.error("the last of what was known is not kept: the disk hangs", folder=str(self.path))
            self.report()
            self._writer = None
        self._release()

    def _release(self) -> None:
        if self._files is not None:
            self._files.close()
        if self._lock is not None:
            self._lock.release()
        self._files = self._lock = None
