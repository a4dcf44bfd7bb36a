"""Graceful shutdown: all requests are answered, then connections are closed, then the process ends."""

from __future__ import annotations

import asyncio

import structlog

from .. import dispatch
from ..engines import Executor
from .downstream import DownstreamServer
from .lifecycle import Phase, ProcessLifecycle
from .lifecycle.process import OutstandingWork

log = structlog.get_logger()
CHECK_INTERVAL = 0.02  # seconds


class GracefulShutdown:
    """Drives the process from the first signal to its end.

    Args:
        process: The state machine that decides the phases.
        dispatcher: The dispatcher, which counts pending requests.
        executor: The executor, which is fed `FinishDrain` to answer all pending requests.
        downstream: The server of client connections, which is drained.
    """

    def __init__(
        self,
        process: ProcessLifecycle,
        dispatcher: dispatch.Dispatcher,
        executor: Executor,
        downstream: DownstreamServer,
    ) -> None:
        self._process = process
        self._dispatcher = dispatcher
        self._executor = executor
        self._downstream = downstream
        self._loop = asyncio.get_running_loop()
        self._is_expediting = False
        self._task: asyncio.Task[None] | None = None
        self.ended = asyncio.Event()

    def request(self) -> None:
        """Start the shutdown. A second call answers all pending requests immediately."""
        self._process.terminate(self._loop.time())
        log.info(
            "shutdown requested",
            pending=self._dispatcher.pending_count,
            expedited=self._process.is_expedited,
        )
        if self._task is None:
            self._task = self._loop.create_task(self._run())
        self._expedite_if_due()

    def close(self) -> None:
        """Stop driving the shutdown."""
        if self._task is not None:
            self._task.cancel()

    def _expedite_if_due(self) -> None:
        """Answer all pending requests if the shutdown is expedited; later calls do nothing."""
        if self._process.is_expedited and not self._is_expediting:
            self._is_expediting = True
            log.warning("shutdown expedited", pending=self._dispatcher.pending_count)
            self._executor.feed(dispatch.FinishDrain())

    async def _run(self) -> None:
        try:
            while self._process.phase is not Phase.ENDED:
                await asyncio.sleep(CHECK_INTERVAL)
                # After two more iterations of the event loop, the reader tasks have received all input that
                # has arrived by now, or are scheduled to resume with it.
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                self._advance()
        except Exception:
            log.exception("shutdown failed")
        finally:  # the process must end even if its shutdown fails
            self.ended.set()

    def _advance(self) -> None:
        """Enter the next phase if it is due; the event loop does not run between the check and the drain."""
        phase_before = self._process.phase
        phase = self._process.advance(self._loop.time(), self._outstanding_work())
        if phase is Phase.CLOSING and phase_before is not Phase.CLOSING:
            self._downstream.drain()
        self._expedite_if_due()

    def _outstanding_work(self) -> OutstandingWork:
        downstream = self._downstream
        is_pending = bool(
            self._dispatcher.pending_count
            or self._executor.has_unprocessed_input
            or downstream.has_unsent_replies
        )
        is_drained = self._process.phase is Phase.DRAINING and not is_pending
        has_unread = is_drained and downstream.has_unread_input()
        # While the listener is paused for lack of capacity, connections may wait in the listen backlog. The
        # kernel has accepted them, so their requests must be answered.
        awaits_capacity = downstream.listener.is_paused and not self._process.is_expedited
        return OutstandingWork(
            downstream.last_request_at,
            is_pending,
            has_unread or awaits_capacity,
            len(downstream.clients),
        )
