"""Runs attempts at compute nodes: which connection carries one, and how it ended."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

import structlog

from ... import dispatch as d
from ...engines.executor import Attempt, Executor, Request
from ...interface import Outcome, ProbeResult
from ...resp import encode_command
from ..config import Address
from ..descriptors import Shortage
from .attempt import UpstreamAttempt
from .client import response_sink
from .connection import MAX_RETIRED_IDS, UpstreamConnection
from .limits import UpstreamLimits
from .response_assembler import ResponseAssembler

log = structlog.get_logger()
IDLE_SHARE = 0.7  # of the time after which nodes close idle connections, when ours close
LINGER_MOST = 8  # connections that may linger while new ones begin: the reserve has room for them
LOOK_EVERY = 0.25


class UpstreamPool:
    """Runs attempts at compute nodes.

    Args:
        limits: of connections.
        address: of a node by its id; None: it is not listed (any more).
        shortage: told where the system gives no descriptor.
    """

    def __init__(
        self, limits: UpstreamLimits, address: Callable[[bytes], Address | None], shortage: Shortage
    ) -> None:
        self.limits, self._address_of, self._shortage = limits, address, shortage
        self._loop = asyncio.get_running_loop()
        self._executor: Executor
        self.connections_by_engine: dict[bytes, list[UpstreamConnection]] = {}
        self._answers = ResponseAssembler(self.end_attempt)
        self._tag = 0
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)

    def bind(self, executor: Executor) -> None:
        self._executor = executor

    # --- what the executor asks for ---

    def start(self, request: Request, effect: d.StartAttempt, started: float) -> Attempt:
        return UpstreamAttempt(request, effect.attempt, effect.engine, effect, started)

    def begin(self, attempt: Attempt) -> None:
        assert isinstance(attempt, UpstreamAttempt)
        statement, effect = attempt.statement, attempt.effect
        link = self._select_connection(attempt.engine, statement.id)
        if link is None:
            self.end_attempt(attempt, Outcome.NOT_SENT)
            return
        attempt.connection = link
        link.attempts[statement.id] = attempt
        attempt.timeout_timer = self._loop.call_at(
            attempt.started + effect.timeout, self._on_timeout, attempt
        )
        told = [b"c=" + statement.cls, b"w=%d" % max(1, round(effect.timeout * 1000.0))]
        if statement.token:
            told.append(b"i=" + statement.token)
        if effect.grant_mb >= 1.0:
            told.append(b"allot=%d" % round(effect.grant_mb))
        link.enqueue(encode_command(b"fetch", statement.id, b",".join(told), statement.body), attempt)

    def reassign(self, sending: UpstreamAttempt) -> None:
        """Begin again, once, on another connection to its node: nothing of it has left."""
        sending.was_reassigned = True
        if sending.timeout_timer is not None:
            sending.timeout_timer.cancel()
        self.begin(sending)

    def cancel(self, attempt: Attempt) -> None:
        assert isinstance(attempt, UpstreamAttempt)
        self._give_up(attempt, Outcome.CANCELLED)

    def discard(self, attempt: Attempt) -> None:
        """It may not be stopped where it runs; where it has not left it never does.

        Guards against an attempt that waits for its connection and is sent after its client has gone, where
        the settings forbid cancelling.
        """
        self.recall(attempt)

    def recall(self, attempt: Attempt) -> None:
        assert isinstance(attempt, UpstreamAttempt)
        if not attempt.sent_at:
            self._give_up(attempt, Outcome.NOT_SENT)

    def commit(self, attempt: Attempt) -> None:
        """Results are whole before they are told; nothing waits for this."""

    def serve(self, request: Request, attempt: Attempt, fault: bool) -> None:
        assert isinstance(attempt, UpstreamAttempt)
        response_sink(request).send_result(attempt.result())

    def refuse(self, request: Request, retry_after: float, why: str) -> None:
        response_sink(request).send_rejection(retry_after)

    def fail(self, request: Request, why: str) -> None:
        response_sink(request).send_failure(why)

    def probe(self, engine: bytes) -> None:
        self._tag += 1
        tag = b"p%d" % self._tag
        link = self._select_connection(engine, tag)
        if link is None:
            self._executor.feed(ProbeResult(engine, Outcome.NOT_SENT, 0.0))
            return
        link.probes[tag] = self._loop.time()
        word = b"stats" if self._executor.dispatcher.settings.report_columns else b"alive"
        link.enqueue(encode_command(word, tag))
        self._loop.call_later(self.limits.connect_timeout, self._on_probe_timeout, link, tag)

    def close_idle(self, engine: bytes) -> None:
        for link in list(self.connections_by_engine.get(engine, ())):
            if link.lifecycle.accepts_work and not link.has_pending_work:
                link.drain("idle")

    def forgotten(self, attempt: Attempt) -> None:
        if self._address_of(attempt.engine) is None:
            self.remove_engine(attempt.engine)

    def remove_engine(self, engine: bytes) -> None:
        """A node has gone from the list: nothing of it stays once its last attempt has ended."""
        for link in list(self.connections_by_engine.get(engine, ())):
            link.run_isolated(functools.partial(link.drain, "its node has gone"))

    def close(self) -> None:
        """End at once."""
        self._look.cancel()
        for link in self._all():
            link.abort("closed")

    # --- connections ---

    def _all(self) -> list[UpstreamConnection]:
        return [link for links in self.connections_by_engine.values() for link in links]

    @property
    def connections_in_use(self) -> int:
        """Connections, but for the few that only wait for their node to close."""
        links = self._all()
        lingering = sum(link.lifecycle.is_closing for link in links)
        return len(links) - min(lingering, LINGER_MOST)

    def _select_connection(self, engine: bytes, request_id: bytes) -> UpstreamConnection | None:
        """The least busy connection that may carry it, or a new one; None: no address, or no room."""
        address = self._address_of(engine)
        if address is None:
            return None
        for link in list(self.connections_by_engine.get(engine, ())):
            if link.address != address:
                link.drain("its node has moved")
        most = self.limits.max_streams or 32
        able = [
            link for link in self.connections_by_engine.get(engine, ()) if link.has_capacity(request_id, most)
        ]
        if able:
            return min(able, key=lambda link: (not link.is_established, len(link.attempts)))
        if self.connections_in_use >= self.limits.max_connections and not self._make_room():
            return None
        return self._open(engine, address)

    def _open(self, engine: bytes, address: Address) -> UpstreamConnection | None:
        for _ in range(2):
            try:
                link = UpstreamConnection(self, engine, address)
            except OSError as error:
                if not self._shortage.met(error, "connect"):
                    log.error("no socket", why=str(error))
                if not self._make_room():
                    return None
            else:
                self.connections_by_engine.setdefault(engine, []).append(link)
                link.start()
                return link
        return None

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest; whether there was one.

        Guards against more nodes than connections: each node once used would keep its own until it has been
        idle for long, and an attempt at one more would find no way there.
        """
        links = self._all()
        lingering = [link for link in links if link.lifecycle.is_closing]
        for link in lingering[: max(0, len(lingering) + 1 - LINGER_MOST)]:  # their descriptors are needed
            link.abort("room for another")
        idle = [link for link in links if link.lifecycle.accepts_work and not link.has_pending_work]
        longest = min(idle, key=lambda link: link.idle_since, default=None)
        if longest is not None:
            longest.drain("room for another")
        return longest is not None

    def remove_connection(self, link: UpstreamConnection) -> None:
        """A connection is closed."""
        links = self.connections_by_engine.get(link.engine)
        if links is not None and link in links:
            links.remove(link)
            if not links:
                del self.connections_by_engine[link.engine]

    def _on_look(self) -> None:
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)  # first: no fault is its last
        now, idle_most = self._loop.time(), IDLE_SHARE * self.limits.idle_timeout
        for link in self._all():
            link.run_isolated(functools.partial(link.check_timeouts, now, idle_most))

    # --- answers ---

    def on_response(self, link: UpstreamConnection, words: list[bytes]) -> None:
        """One whole answer. Under an id that is not open here it belongs to nothing, and is dropped."""
        sending = link.attempts.get(words[0])
        if sending is None or not sending.sent_at:
            self._on_probe_answer(link, words)
            return
        self._answers.receive(link, sending, words)

    # --- ends ---

    def _on_timeout(self, sending: UpstreamAttempt) -> None:
        if not sending.sent_at:
            self._give_up(sending, Outcome.CONNECT_FAILED)
        else:
            self._give_up(sending, Outcome.TIMEOUT)

    def _give_up(self, sending: UpstreamAttempt, outcome: Outcome) -> None:
        """End an attempt from this side; what never left ends as that."""
        link = sending.connection
        if sending.is_ended or link is None:
            return
        if not sending.sent_at:
            link.withdraw(sending)
            failed = outcome is Outcome.CONNECT_FAILED and not link.is_established
            self.end_attempt(sending, outcome if failed else Outcome.NOT_SENT)
            return
        link.enqueue(encode_command(b"abort", sending.statement.id))
        quiet = self._loop.time() - sending.sent_at
        self.end_attempt(sending, outcome)
        # Guards against a machine that has vanished or a link that was cut: open connections stay open and
        # say nothing. A new connection finds out, and an answer in between proves the old one well.
        silent = link.last_response_at <= sending.sent_at and quiet > self.limits.connect_timeout
        if silent or len(link.retired_ids) > MAX_RETIRED_IDS:
            link.drain("silent" if silent else "left for another")

    def _on_probe_answer(self, link: UpstreamConnection, words: list[bytes]) -> None:
        if words[0] in link.probes and len(words) > 1 and words[1] in (b"FIT", b"UNFIT"):
            outcome = Outcome.OK if words[1] == b"FIT" else Outcome.ERROR
            self._end_probe(link, words[0], outcome)

    def _on_probe_timeout(self, link: UpstreamConnection, tag: bytes) -> None:
        if tag in link.probes:
            self._end_probe(link, tag, Outcome.TIMEOUT)

    def _end_probe(self, link: UpstreamConnection, tag: bytes, outcome: Outcome) -> None:
        self.probed(link, tag, outcome, link.probes.pop(tag))
        link.release_if_idle()

    def probed(self, link: UpstreamConnection, tag: bytes, outcome: Outcome, since: float) -> None:
        self._executor.feed(ProbeResult(link.engine, outcome, self._loop.time() - since))

    def end_attempt(self, sending: UpstreamAttempt, outcome: Outcome) -> None:
        """The one place where an attempt ends."""
        if sending.is_ended:
            return
        sending.is_ended = True
        for timer in (sending.timeout_timer, sending.page_timer):
            if timer is not None:
                timer.cancel()
        elapsed = self._loop.time() - (sending.sent_at or sending.started)
        link = sending.connection
        if link is not None and sending.sent_at and outcome is not Outcome.OK:
            link.retired_ids.add(sending.statement.id)
        self._executor.done(sending, outcome, elapsed, sending.work_s, sending.memory_mb)
        if link is not None:
            link.release(sending)
