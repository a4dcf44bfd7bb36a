"""Runs attempts at compute nodes: which connection carries one, and how it ended."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

import structlog

from ... import dispatch as d
from ...engines.executor import Executor
from ...engines.transport import Attempt, Request
from ...interface import Outcome, ProbeResult
from ...resp import command
from ..config import Address
from ..descriptors import Shortage
from .attempt import Sending
from .client import client_of
from .connection import MOST_SPENT, NodeConnection
from .limits import LinkLimits
from .response_assembler import Answers

log = structlog.get_logger()
IDLE_SHARE = 0.7  # of the time after which nodes close idle connections, when ours close
LINGER_MOST = 8  # connections that may linger while new ones begin: the reserve has room for them
LOOK_EVERY = 0.25


class Links:
    """Runs attempts at compute nodes.

    Args:
        limits: of connections.
        address: of a node by its id; None: it is not listed (any more).
        shortage: told where the system gives no descriptor.
    """

    def __init__(
        self, limits: LinkLimits, address: Callable[[bytes], Address | None], shortage: Shortage
    ) -> None:
        self.limits, self._address, self._shortage = limits, address, shortage
        self._loop = asyncio.get_running_loop()
        self._executor: Executor
        self.by_node: dict[bytes, list[NodeConnection]] = {}
        self._answers = Answers(self.ended)
        self._tag = 0
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)

    def bind(self, executor: Executor) -> None:
        self._executor = executor

    # --- what the executor asks for ---

    def create_attempt(self, request: Request, effect: d.StartAttempt, started_at: float) -> Attempt:
        return Sending(request, effect.attempt, effect.engine, effect, started_at)

    def begin(self, attempt: Attempt) -> None:
        assert isinstance(attempt, Sending)
        statement, effect = attempt.statement, attempt.effect
        link = self._link(attempt.engine, statement.id)
        if link is None:
            self.ended(attempt, Outcome.NOT_SENT)
            return
        attempt.link = link
        link.open[statement.id] = attempt
        attempt.timer = self._loop.call_at(attempt.started_at + effect.timeout, self._on_timeout, attempt)
        told = [b"c=" + statement.cls, b"w=%d" % max(1, round(effect.timeout * 1000.0))]
        if statement.token:
            told.append(b"i=" + statement.token)
        if effect.grant_mb >= 1.0:
            told.append(b"allot=%d" % round(effect.grant_mb))
        link.write(command(b"fetch", statement.id, b",".join(told), statement.body), attempt)

    def relink(self, sending: Sending) -> None:
        """Begin again, once, on another connection to its node: nothing of it has left."""
        sending.relinked = True
        if sending.timer is not None:
            sending.timer.cancel()
        self.begin(sending)

    def cancel(self, attempt: Attempt) -> None:
        assert isinstance(attempt, Sending)
        self._give_up(attempt, Outcome.CANCELLED)

    def discard(self, attempt: Attempt) -> None:
        """It may not be stopped where it runs; where it has not left it never does.

        Guards against an attempt that waits for its connection and is sent after its client has gone, where
        the settings forbid cancelling.
        """
        self.withdraw(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        assert isinstance(attempt, Sending)
        if not attempt.left_at:
            self._give_up(attempt, Outcome.NOT_SENT)

    def commit(self, attempt: Attempt) -> None:
        """Results are whole before they are told; nothing waits for this."""

    def complete(self, request: Request, attempt: Attempt, is_query_fault: bool) -> None:
        assert isinstance(attempt, Sending)
        client_of(request).served(attempt.result())

    def reject(self, request: Request, retry_after: float, reason: str) -> None:
        client_of(request).refused(retry_after)

    def fail(self, request: Request, reason: str) -> None:
        client_of(request).failed(reason)

    def probe(self, engine: bytes) -> None:
        self._tag += 1
        tag = b"p%d" % self._tag
        link = self._link(engine, tag)
        if link is None:
            self._executor.feed(ProbeResult(engine, Outcome.NOT_SENT, 0.0))
            return
        link.probes[tag] = self._loop.time()
        word = b"stats" if self._executor.dispatcher.settings.report_columns else b"alive"
        link.write(command(word, tag))
        self._loop.call_later(self.limits.connect_timeout, self._on_probe_timeout, link, tag)

    def close_idle(self, engine: bytes) -> None:
        for link in list(self.by_node.get(engine, ())):
            if link.life.takes and not link.owed:
                link.drain("idle")

    def on_attempt_released(self, attempt: Attempt) -> None:
        if self._address(attempt.engine) is None:
            self.forget_engine(attempt.engine)

    def forget_engine(self, engine: bytes) -> None:
        """A node has gone from the list: nothing of it stays once its last attempt has ended."""
        for link in list(self.by_node.get(engine, ())):
            link.guarded(functools.partial(link.drain, "its node has gone"))

    def close(self) -> None:
        """End at once."""
        self._look.cancel()
        for link in self._all():
            link.abort("closed")

    # --- connections ---

    def _all(self) -> list[NodeConnection]:
        return [link for links in self.by_node.values() for link in links]

    @property
    def in_use(self) -> int:
        """Connections, but for the few that only wait for their node to close."""
        links = self._all()
        lingering = sum(link.life.closing for link in links)
        return len(links) - min(lingering, LINGER_MOST)

    def _link(self, engine: bytes, request_id: bytes) -> NodeConnection | None:
        """The least busy connection that may carry it, or a new one; None: no address, or no room."""
        address = self._address(engine)
        if address is None:
            return None
        for link in list(self.by_node.get(engine, ())):
            if link.address != address:
                link.drain("its node has moved")
        most = self.limits.max_streams or 32
        able = [link for link in self.by_node.get(engine, ()) if link.takes(request_id, most)]
        if able:
            return min(able, key=lambda link: (not link.came_up, len(link.open)))
        if self.in_use >= self.limits.most_links and not self._make_room():
            return None
        return self._open(engine, address)

    def _open(self, engine: bytes, address: Address) -> NodeConnection | None:
        for _ in range(2):
            try:
                link = NodeConnection(self, engine, address)
            except OSError as error:
                if not self._shortage.met(error, "connect"):
                    log.error("no socket", why=str(error))
                if not self._make_room():
                    return None
            else:
                self.by_node.setdefault(engine, []).append(link)
                link.start()
                return link
        return None

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest; whether there was one.

        Guards against more nodes than connections: each node once used would keep its own until it has been
        idle for long, and an attempt at one more would find no way there.
        """
        links = self._all()
        lingering = [link for link in links if link.life.closing]
        for link in lingering[: max(0, len(lingering) + 1 - LINGER_MOST)]:  # their descriptors are needed
            link.abort("room for another")
        idle = [link for link in links if link.life.takes and not link.owed]
        longest = min(idle, key=lambda link: link.idle_since, default=None)
        if longest is not None:
            longest.drain("room for another")
        return longest is not None

    def dropped(self, link: NodeConnection) -> None:
        """A connection is closed."""
        links = self.by_node.get(link.engine)
        if links is not None and link in links:
            links.remove(link)
            if not links:
                del self.by_node[link.engine]

    def _on_look(self) -> None:
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)  # first: no fault is its last
        now, idle_most = self._loop.time(), IDLE_SHARE * self.limits.idle_close
        for link in self._all():
            link.guarded(functools.partial(link.look, now, idle_most))

    # --- answers ---

    def on_answer(self, link: NodeConnection, words: list[bytes]) -> None:
        """One whole answer. Under an id that is not open here it belongs to nothing, and is dropped."""
        sending = link.open.get(words[0])
        if sending is None or not sending.left_at:
            self._on_probe_answer(link, words)
            return
        self._answers.take(link, sending, words)

    # --- ends ---

    def _on_timeout(self, sending: Sending) -> None:
        if not sending.left_at:
            self._give_up(sending, Outcome.CONNECT_FAILED)
        else:
            self._give_up(sending, Outcome.TIMEOUT)

    def _give_up(self, sending: Sending, outcome: Outcome) -> None:
        """End an attempt from this side; what never left ends as that."""
        link = sending.link
        if sending.over or link is None:
            return
        if not sending.left_at:
            link.take_back(sending)
            failed = outcome is Outcome.CONNECT_FAILED and not link.came_up
            self.ended(sending, outcome if failed else Outcome.NOT_SENT)
            return
        link.write(command(b"abort", sending.statement.id))
        quiet = self._loop.time() - sending.left_at
        self.ended(sending, outcome)
        # Guards against a machine that has vanished or a link that was cut: open connections stay open and
        # say nothing. A new connection finds out, and an answer in between proves the old one well.
        silent = link.heard_at <= sending.left_at and quiet > self.limits.connect_timeout
        if silent or len(link.spent) > MOST_SPENT:
            link.drain("silent" if silent else "left for another")

    def _on_probe_answer(self, link: NodeConnection, words: list[bytes]) -> None:
        if words[0] in link.probes and len(words) > 1 and words[1] in (b"FIT", b"UNFIT"):
            outcome = Outcome.OK if words[1] == b"FIT" else Outcome.ERROR
            self._end_probe(link, words[0], outcome)

    def _on_probe_timeout(self, link: NodeConnection, tag: bytes) -> None:
        if tag in link.probes:
            self._end_probe(link, tag, Outcome.TIMEOUT)

    def _end_probe(self, link: NodeConnection, tag: bytes, outcome: Outcome) -> None:
        self.probed(link, tag, outcome, link.probes.pop(tag))
        link.rest()

    def probed(self, link: NodeConnection, tag: bytes, outcome: Outcome, since: float) -> None:
        self._executor.feed(ProbeResult(link.engine, outcome, self._loop.time() - since))

    def ended(self, sending: Sending, outcome: Outcome) -> None:
        """The one place where an attempt ends."""
        if sending.over:
            return
        sending.over = True
        for timer in (sending.timer, sending.pages_timer):
            if timer is not None:
                timer.cancel()
        elapsed = self._loop.time() - (sending.left_at or sending.started_at)
        link = sending.link
        if link is not None and sending.left_at and outcome is not Outcome.OK:
            link.spent.add(sending.statement.id)
        self._executor.finish_attempt(sending, outcome, elapsed, sending.work, sending.memory_mb)
        if link is not None:
            link.release(sending)
