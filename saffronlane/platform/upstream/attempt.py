"""One attempt at a compute node."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...engines.transport import Attempt
from ..statement import Statement
from . import protocol
from .paged_result import PagedResult

if TYPE_CHECKING:
    from .connection import UpstreamConnection


@dataclass(slots=True, eq=False)
class UpstreamAttempt(Attempt):
    """One attempt, queued or in flight.

    Attributes:
        connection: The connection that carries the attempt; None until one is selected.
        sent_at: The event loop's time, in seconds, at which the kernel accepted the first byte of the
            command; 0 while it is queued.
        end_offset: The offset in the connection's output at which this attempt's command ends, in bytes.
        is_ended: Whether the outcome has been reported.
        deferral_count: How often sending was deferred until the client's input was processed.
        was_reassigned: Whether the attempt moved to a second connection because the first closed before
            sending.
        timeout_timer: The timer that ends the attempt.
        send_timer: The timer that withdraws the attempt if it has not been sent.
        arrival_timer: The timer that takes the attempt back if its command has not arrived.
        result: The pages received so far.
        page_timer: The timer that requests missing pages again.
        work_s: The work that the compute node measured, in core-seconds.
        memory_mb: The memory that the compute node measured, in MB.
    """

    connection: UpstreamConnection | None = None
    sent_at: float = 0.0
    end_offset: int = 0
    is_ended: bool = False
    deferral_count: int = 0
    was_reassigned: bool = False
    timeout_timer: asyncio.TimerHandle | None = None
    send_timer: asyncio.TimerHandle | None = None
    arrival_timer: asyncio.TimerHandle | None = None
    result: PagedResult = field(default_factory=PagedResult)
    page_timer: asyncio.TimerHandle | None = None
    work_s: float = 0.0
    memory_mb: float = 0.0

    @property
    def statement(self) -> Statement:
        """The statement that the compute node executes."""
        statement: Statement = self.request.statement
        return statement

    @property
    def deadline(self) -> float:
        """The time of the event loop at which the attempt times out."""
        return self.started_at + self.effect.timeout

    def encode(self, now: float) -> list[bytes]:
        """Encode the command that starts the attempt, in parts, with the timeout that remains at `now`."""
        return protocol.execute_command(self.statement, self.deadline - now, self.effect.grant_mb)

    @property
    def unwritten_bytes(self) -> int:
        """The bytes of the statement that are kept since the compute node has read only a part of them."""
        is_partly_written = bool(self.sent_at) and not self.may_have_run
        return len(self.statement.body) if is_partly_written else 0

    @property
    def may_have_run(self) -> bool:
        """Whether the compute node may have received the whole command and thus may have executed it."""
        if not self.sent_at or self.connection is None:
            return False
        return self.connection.stream.bytes_written >= self.end_offset

    @property
    def must_be_taken_back(self) -> bool:
        """Whether the rest of the command must not arrive any more once the attempt has ended.

        A command that arrives after its idempotency key was forgotten would be executed a second time.
        """
        is_keyed = self.effect.arrival_timeout < math.inf
        return is_keyed and bool(self.sent_at) and not self.has_arrived

    @property
    def has_arrived(self) -> bool:
        """Whether the system of the compute node has confirmed the whole command."""
        if not self.sent_at or self.connection is None:
            return False
        return self.connection.stream.bytes_acknowledged >= self.end_offset

    def cancel_timers(self) -> None:
        """Cancel the timers of this attempt."""
        for timer in (self.timeout_timer, self.send_timer, self.arrival_timer, self.page_timer):
            if timer is not None:
                timer.cancel()
