"""One attempt under way at a compute node."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...engines.transport import Attempt
from ..statement import Statement
from .paged_result import PagedResult

if TYPE_CHECKING:
    from .connection import UpstreamConnection


@dataclass(slots=True, eq=False)
class UpstreamAttempt(Attempt):
    """One attempt under way.

    Attributes:
        connection: that carries it; None until one was selected.
        sent_at: when it was handed to its connection's stream, in seconds; 0 while it is queued.
        end_offset: bytes of its connection up to and including its last one.
        is_ended: its outcome has been reported.
        deferral_count: times that it waited for its client's input to be processed.
        was_reassigned: its first connection closed before it was sent.
        timeout_timer: ends it.
        result: the pages received so far.
        page_timer: requests missing pages again.
        work_s: measured by the compute node, in seconds of one core.
        memory_mb: measured by the compute node.
    """

    connection: UpstreamConnection | None = None
    sent_at: float = 0.0
    end_offset: int = 0
    is_ended: bool = False
    deferral_count: int = 0
    was_reassigned: bool = False
    timeout_timer: asyncio.TimerHandle | None = None
    result: PagedResult = field(default_factory=PagedResult)
    page_timer: asyncio.TimerHandle | None = None
    work_s: float = 0.0
    memory_mb: float = 0.0

    @property
    def statement(self) -> Statement:
        """What is sent."""
        statement: Statement = self.request.statement
        return statement

    @property
    def may_have_run(self) -> bool:
        """Whether its compute node may have received all of it: only then can it have run there."""
        if not self.sent_at or self.connection is None:
            return False
        return self.connection.stream.bytes_written >= self.end_offset

    def cancel_timers(self) -> None:
        """Stop what is still scheduled for it."""
        for timer in (self.timeout_timer, self.page_timer):
            if timer is not None:
                timer.cancel()
