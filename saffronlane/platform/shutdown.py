"""Graceful shutdown: every request is answered, then connections are closed, then the process ends."""

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
        process: decides the phases.
        dispatcher: counts pending requests.
        executor: takes the command to answer all of them.
        downstream: is drained.
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
        """Begin the shutdown. A second call answers all pending requests at once."""
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
        """Answer all pending requests, once, when there is no more time for them."""
        if self._process.is_expedited and not self._is_expediting:
            self._is_expediting = True
            log.warning("shutdown expedited", pending=self._dispatcher.pending_count)
            self._executor.feed(dispatch.FinishDrain())

    async def _run(self) -> None:
        try:
            while self._process.phase is not Phase.ENDED:
                await asyncio.sleep(CHECK_INTERVAL)
                # Two more turns of the loop: what had arrived by now is read, or handed over to be.
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                self._advance()
        except Exception:
            log.exception("shutdown failed")
        finally:  # a process that was told to end must end
            self.ended.set()

    def _advance(self) -> None:
        """Go on to the next phase where it is due, without a turn of the loop between check and drain."""
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
        # Connections in the system's backlog were accepted by it, and their requests are to be answered.
        awaits_capacity = downstream.listener.is_paused and not self._process.is_expedited
        return OutstandingWork(
            downstream.last_request_at,
            is_pending,
            has_unread or awaits_capacity,
            len(downstream.clients),
        )
