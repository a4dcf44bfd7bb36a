"""Connections to compute nodes: attempts in RESP, many on a connection, and how exactly each ended.

A transport of `engines.Executor`. Whole results are small here: their pages are joined and checked before a
byte goes to the client, so that a spoilt page is the end of an attempt and never the client's.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import structlog
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from .. import dispatch as d
from ..engines.executor import Attempt, Executor, Request
from ..interface import Outcome, ProbeResult
from ..resp import Parser, command
from .config import Address
from .errors import Spoilt

log = structlog.get_logger()
CHUNK = 65_536
MOST_WORD = 8_192  # bytes of a word: a page has 6,000 at most
MOST_PAGE, MOST_RESULT = 6_000, 48_000  # bytes, as the protocol has it
AHEAD = 8  # pages asked for at once: a result is about that many
MOST_UNSENT = 262_144  # bytes that a node may leave unread before its connection takes nothing more
MOST_ABANDONED = 512  # requests given up on one connection; past it, it is left for a new one
SPREAD = (
    2  # connections to a node in use: a break takes half of what is out, and the rest tells that it lives
)
PAGE_WAIT, PAGE_WAIT_MOST = (
    0.1,
    0.8,
)  # seconds without a page until those missing are asked for again; doubled
STALL = 0.5  # seconds that an answer may stand half written: nodes write one at once
IDLE_SHARE = 0.7  # of the time after which nodes close idle connections, when ours close
LOOK_EVERY = 0.25
_CONTENTS = bytes(byte for byte in range(256) if byte not in b"\t\n")


class Client(Protocol):
    """Where an answer goes."""

    def served(self, body: bytes) -> None: ...

    def refused(self, retry_after: float) -> None: ...

    def failed(self, why: str) -> None: ...


@dataclass(frozen=True, slots=True)
class Statement:
    """What an attempt sends: all of it as the client sent it."""

    id: bytes
    cls: bytes
    body: bytes
    token: bytes = b""


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Counts and seconds."""

    max_streams: int = 32
    connect_timeout: float = 0.25
    idle_close: float = 30.0
    most_links: int = 64  # to all nodes together


@dataclass(slots=True, eq=False)
class _Sent(Attempt):
    """One attempt under way."""

    link: _Link | None = None
    left_at: float = 0.0  # 0: nothing of it has left
    over: bool = False
    timer: asyncio.TimerHandle | None = None
    pages: dict[int, bytes] = field(default_factory=dict)
    sheets: int = 0  # pages of the whole result; 0: its first one has not come
    asked: int = 0
    size: int = 0
    pages_timer: asyncio.TimerHandle | None = None
    work: float = 0.0
    memory_mb: float = 0.0

    @property
    def statement(self) -> Statement:
        statement: Statement = self.request.work
        return statement


def _fields(word: bytes) -> dict[bytes, bytes]:
    if word in (b"-", b""):
        return {}
    return dict(part.partition(b"=")[::2] for part in word.split(b","))


def _count(value: bytes | None, most: int) -> int:
    if value is None or not value.isdigit() or len(value) > 9 or int(value) > most:
        raise Spoilt(f"no count: {value!r}")
    return int(value)


def _figure(value: bytes | None) -> float:
    """A figure that teaches; what makes no sense teaches nothing."""
    try:
        number = float(value or b"0")
    except ValueError:
        return 0.0
    return number if 0.0 <= number < math.inf else 0.0


def _check_page(page: bytes) -> None:
    """Whole rows of three columns, as text. What is left of them without the columns' contents tells."""
    marks = page.translate(None, _CONTENTS)
    if len(page) > MOST_PAGE or marks != b"\t\t\n" * (len(marks) // 3) or page[-1:] not in (b"\n", b""):
        raise Spoilt("a page that is no whole rows")
    try:
        page.decode()
    except UnicodeDecodeError:
        raise Spoilt("a page that is no text") from None


class _Link:
    """One connection to a node. What has not been written can still be taken back."""

    def __init__(self, owner: Links, engine: bytes, address: Address) -> None:
        self.owner, self.engine, self.address = owner, engine, address
        self.loop = asyncio.get_running_loop()
        self.open: dict[bytes, _Sent] = {}
        self.abandoned: set[bytes] = set()  # a late answer to one must not pass for another attempt's
        self.probes: dict[bytes, float] = {}
        self.up = self.closed = self.retired = False
        self.heard_at = self.idle_since = self.partial_since = self.loop.time()
        self._out: list[tuple[_Sent | None, bytes]] = []
        self._flushing = False
        self._parser = Parser(4, MOST_WORD)
        self._stream = IOStream(
            socket.socket(), max_buffer_size=1_048_576, read_chunk_size=CHUNK, max_write_buffer_size=1_048_576
        )
        self._task = self.loop.create_task(self._run())

    @property
    def busy(self) -> bool:
        return bool(self.open or self.probes)

    def takes(self, request_id: bytes, most: int) -> bool:
        # The stream knows of a break before the reader's turn comes: its write buffer is gone by then.
        return not (
            self.closed
            or self._stream.closed()
            or self.retired
            or len(self.open) >= most
            or request_id in self.open
            or request_id in self.abandoned
            or len(self._stream._write_buffer) > MOST_UNSENT
        )

    def write(self, data: bytes, sent: _Sent | None = None) -> None:
        """Leaves at the end of this turn of the loop with all else that does, in one piece."""
        self._out.append((sent, data))
        if not self._flushing:
            self._flushing = True
            self.loop.call_soon(self._flush)

    def take_back(self, sent: _Sent) -> None:
        self._out = [(other, data) for other, data in self._out if other is not sent]

    def _flush(self) -> None:
        self._flushing = False
        if not self.up or self.closed or not self._out:
            return
        out, self._out = self._out, []
        try:
            self._stream.write(b"".join(data for _, data in out))
        except (StreamClosedError, StreamBufferFullError) as error:
            # None of these has left. Answers that came before the break are still the reader's to take.
            for sent, _ in out:
                if sent is not None and not sent.left_at:
                    self.owner.ended(sent, Outcome.CONNECT_FAILED)
            if isinstance(error, StreamBufferFullError):
                self.end(repr(error))
            return
        now = self.loop.time()
        for sent, _ in out:
            if sent is not None and not sent.left_at:
                sent.left_at = now

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(self.owner.limits.connect_timeout):
                await self._stream.connect(self.address)
            self._stream.set_nodelay(True)
            self.up = True
            self.heard_at = self.loop.time()
            self._flush()
            while not self.closed:
                self._take(await self._stream.read_bytes(CHUNK, partial=True))
        except (OSError, StreamClosedError, TimeoutError) as error:
            self.end(repr(error))
        except Exception as error:
            log.exception("link failed", engine=self.engine.decode("utf-8", "replace"))
            self.end(repr(error))

    def _take(self, data: bytes) -> None:
        self.heard_at = self.partial_since = self.loop.time()
        answers, error = self._parser.feed(data)
        for words in answers:
            if self.closed:
                return
            self.owner.on_answer(self, words)
        if error is not None:
            self.end(str(error))

    def look(self, now: float, idle_most: float) -> None:
        """What only the absence of bytes can tell."""
        if self._parser.pending and now > self.partial_since + STALL:
            self.end("an answer stopped short")
        elif self.up and not self.busy and now > self.idle_since + idle_most:
            self.end("idle")

    def release(self, sent: _Sent) -> None:
        """An attempt has ended."""
        self.open.pop(sent.statement.id, None)
        if not self.busy:
            self.idle_since = self.loop.time()
            if self.retired:
                self.end("left for another")

    def retire(self) -> None:
        """Take nothing new; close once nothing is open."""
        self.retired = True
        if not self.busy:
            self.end("left for another")

    def end(self, why: str) -> None:
        """Close, and tell of each attempt what its bytes prove."""
        if not self.closed:
            self._flush()  # an abort is still worth sending; a write that fails comes back here
        if self.closed:
            return
        self.closed = True
        if self.busy:
            log.info(
                "link broke", engine=self.engine.decode("utf-8", "replace"), open=len(self.open), why=why
            )
        self.owner.dropped(self)
        self._stream.close()
        for sent in list(self.open.values()):
            self.owner.ended(sent, Outcome.RESET if sent.left_at else Outcome.CONNECT_FAILED)
        for tag, since in self.probes.items():
            self.owner.probed(self, tag, Outcome.RESET if self.up else Outcome.CONNECT_FAILED, since)
        self.probes.clear()
        if asyncio.current_task() is not self._task:
            self._task.cancel()


class Links:
    """Runs attempts at compute nodes.

    Args:
        limits: of connections.
        address: of a node by its id; None: it is not listed (any more).
    """

    def __init__(self, limits: LinkLimits, address: Callable[[bytes], Address | None]) -> None:
        self.limits, self._address = limits, address
        self._loop = asyncio.get_running_loop()
        self._executor: Executor
        self._links: dict[bytes, list[_Link]] = {}
        self._count = 0
        self._tag = 0
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)

    def bind(self, executor: Executor) -> None:
        self._executor = executor

    # --- what the executor asks for ---

    def start(self, request: Request, effect: d.StartAttempt, started: float) -> Attempt:
        return _Sent(request, effect.attempt, effect.engine, effect, started)

    def begin(self, attempt: Attempt) -> None:
        assert isinstance(attempt, _Sent)
        statement, effect = attempt.statement, attempt.effect
        link = self._link(attempt.engine, statement.id)
        if link is None:
            self.ended(attempt, Outcome.MOOT)
            return
        attempt.link = link
        link.open[statement.id] = attempt
        attempt.timer = self._loop.call_at(attempt.started + effect.timeout, self._on_timeout, attempt)
        fields = [b"c=" + statement.cls, b"w=%d" % max(1, round(effect.timeout * 1000.0))]
        if statement.token:
            fields.append(b"i=" + statement.token)
        if effect.grant_mb >= 1.0:
            fields.append(b"allot=%d" % round(effect.grant_mb))
        link.write(command(b"fetch", statement.id, b",".join(fields), statement.body), attempt)

    def _link(self, engine: bytes, request_id: bytes) -> _Link | None:
        """The least busy connection that may carry it, or a new one; None: no address, or no room."""
        address = self._address(engine)
        if address is None:
            return None
        links = list(self._links.get(engine, ()))
        for link in links:
            if link.address != address:
                link.retire()
        most = self.limits.max_streams or 32
        able = [link for link in links if link.takes(request_id, most)]
        if able:
            return min(able, key=lambda link: (not link.up, len(link.open)))
        if self._count >= self.limits.most_links and not self._make_room():
            return None
        link = _Link(self, engine, address)
        self._links.setdefault(engine, []).append(link)  # a link that retires may just have emptied the entry
        self._count += 1
        return link

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest.

        Guards against more nodes than connections: each node once used would keep its own until it has been
        idle for long, and an attempt at one more would find no way there.
        """
        idle = [link for links in self._links.values() for link in links if not link.busy]
        longest = min(idle, key=lambda link: link.idle_since, default=None)
        if longest is not None:
            longest.end("room for another")
        return longest is not None

    def cancel(self, attempt: Attempt) -> None:
        assert isinstance(attempt, _Sent)
        self._give_up(attempt, Outcome.CANCELLED)

    def discard(self, attempt: Attempt) -> None:
        """It runs on; the dispatcher heeds nothing that it brings."""

    def recall(self, attempt: Attempt) -> None:
        assert isinstance(attempt, _Sent)
        if not attempt.left_at:
            self._give_up(attempt, Outcome.MOOT)

    def commit(self, attempt: Attempt) -> None:
        """Results are whole before they are told; nothing waits for this."""

    def serve(self, request: Request, attempt: Attempt, fault: bool) -> None:
        assert isinstance(attempt, _Sent)
        client: Client = request.sink
        client.served(b"".join(attempt.pages[n] for n in range(attempt.sheets)))

    def refuse(self, request: Request, retry_after: float, why: str) -> None:
        client: Client = request.sink
        client.refused(retry_after)

    def fail(self, request: Request, why: str) -> None:
        client: Client = request.sink
        client.failed(why)

    def probe(self, engine: bytes) -> None:
        self._tag += 1
        tag = b"p%d" % self._tag
        link = self._link(engine, tag)
        if link is None:
            self._executor.feed(ProbeResult(engine, Outcome.MOOT, 0.0))
            return
        link.probes[tag] = self._loop.time()
        word = b"stats" if self._executor.dispatcher.settings.report_columns else b"alive"
        link.write(command(word, tag))
        self._loop.call_later(self.limits.connect_timeout, self._on_probe_timeout, link, tag)

    def close_idle(self, engine: bytes) -> None:
        for link in list(self._links.get(engine, ())):
            if not link.busy:
                link.end("idle")

    def forgotten(self, attempt: Attempt) -> None:
        if self._address(attempt.engine) is None:
            self.forget_engine(attempt.engine)

    def forget_engine(self, engine: bytes) -> None:
        """A node has gone from the list: nothing of it stays once its last attempt has ended."""
        for link in list(self._links.get(engine, ())):
            link.retire()
        if not self._links.get(engine, True):
            del self._links[engine]

    def close(self) -> None:
        self._look.cancel()
        for links in list(self._links.values()):
            for link in list(links):
                link.end("closed")

    # --- what connections tell ---

    def on_answer(self, link: _Link, words: list[bytes]) -> None:
        """One whole answer. Under an id that is not open here it belongs to nothing, and is dropped."""
        sent = link.open.get(words[0])
        if sent is None or not sent.left_at:
            if words[0] in link.probes and len(words) > 1 and words[1] in (b"FIT", b"UNFIT"):
                outcome = Outcome.OK if words[1] == b"FIT" else Outcome.ERROR
                self.probed(link, words[0], outcome, link.probes.pop(words[0]))
            return
        try:
            if len(words) != 4:
                raise Spoilt(f"an answer of {len(words)} words")
            self._on_word(sent, words[1], _fields(words[2]), words[3])
        except Spoilt as error:
            # Guards against a good answer's look-alike: what comes after it on this connection cannot be
            # trusted either, so that the others on it end now and not by their time-outs.
            sent.request.last_error = str(error)
            self.ended(sent, Outcome.ERROR)
            link.end(f"spoilt answer: {error}")

    def _on_word(self, sent: _Sent, word: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        if word == b"DONE":
            if not sent.sheets:
                self._on_first(sent, fields, body)
        elif word == b"MORE":
            self._on_page(sent, _count(fields.get(b"sheet"), MOST_RESULT), body)
        elif word in (b"WAIT", b"PAST"):
            self.ended(sent, Outcome.ERROR if sent.sheets else Outcome.REJECTED)
        elif word == b"BROKE":
            self.ended(sent, Outcome.ERROR)
        else:
            raise Spoilt(f"unknown word {word[:20]!r}")

    def _on_first(self, sent: _Sent, fields: dict[bytes, bytes], body: bytes) -> None:
        sheets = _count(fields.get(b"sheets", b"1"), MOST_RESULT)
        if not sheets or (sheets > 1 and not body):
            raise Spoilt(f"{sheets} pages")
        _check_page(body)
        sent.work, sent.memory_mb = _figure(fields.get(b"toil")) / 1000.0, _figure(fields.get(b"room"))
        sent.sheets, sent.asked = sheets, 1
        if sheets > 1:
            self._expect_pages(sent, PAGE_WAIT)
        self._keep(sent, 0, body)

    def _expect_pages(self, sent: _Sent, wait: float) -> None:
        sent.pages_timer = self._loop.call_later(wait, self._on_pages_late, sent, len(sent.pages), wait)

    def _on_pages_late(self, sent: _Sent, had: int, wait: float) -> None:
        """Ask again for pages that have not come: the result stands at its node, and nothing runs twice.

        Guards against a page that is lost while its connection lives: the attempt would wait for its own
        limit, or the whole request would run again.
        """
        if len(sent.pages) > max(had, 1):  # they come, only slowly
            self._expect_pages(sent, PAGE_WAIT)
            return
        link = sent.link
        assert link is not None
        for number in range(1, sent.asked):
            if number not in sent.pages:
                link.write(command(b"more", sent.statement.id, b"%d" % number))
        self._expect_pages(sent, min(PAGE_WAIT_MOST, 2.0 * wait))

    def _on_page(self, sent: _Sent, number: int, body: bytes) -> None:
        if number in sent.pages or not 0 < number < sent.asked:
            return  # a second copy, or one that nobody asked for
        _check_page(body)
        if not body:
            raise Spoilt("an empty page")
        self._keep(sent, number, body)

    def _keep(self, sent: _Sent, number: int, body: bytes) -> None:
        sent.pages[number] = body
        sent.size += len(body)
        if sent.size > MOST_RESULT:
            raise Spoilt("a result of more bytes than any has")
        link, name = sent.link, sent.statement.id
        assert link is not None
        if len(sent.pages) == sent.sheets:
            if sent.sheets > 1:
                link.write(command(b"done", name))
            self.ended(sent, Outcome.OK)
            return
        while sent.asked < sent.sheets and sent.asked - len(sent.pages) < AHEAD:
            link.write(command(b"more", name, b"%d" % sent.asked))
            sent.asked += 1

    def _on_timeout(self, sent: _Sent) -> None:
        if not sent.left_at:
            self._give_up(sent, Outcome.CONNECT_FAILED)
        else:
            self._give_up(sent, Outcome.TIMEOUT)

    def _give_up(self, sent: _Sent, outcome: Outcome) -> None:
        """End an attempt from this side; what never left ends as that."""
        link = sent.link
        if sent.over or link is None:
            return
        if not sent.left_at:
            link.take_back(sent)
            self.ended(sent, Outcome.MOOT if outcome is not Outcome.CONNECT_FAILED or link.up else outcome)
            return
        name = sent.statement.id
        link.abandoned.add(name)
        link.write(command(b"abort", name))
        quiet = self._loop.time() - sent.left_at
        self.ended(sent, outcome)
        # Guards against a machine that has vanished or a link that was cut: open connections stay open and
        # say nothing. A new connection finds out, and an answer in between proves the old one well.
        silent = link.heard_at <= sent.left_at and quiet > self.limits.connect_timeout
        if not link.closed and (silent or len(link.abandoned) > MOST_ABANDONED):
            link.retire()

    def _on_probe_timeout(self, link: _Link, tag: bytes) -> None:
        if tag in link.probes:
            self.probed(link, tag, Outcome.TIMEOUT, link.probes.pop(tag))

    def probed(self, link: _Link, tag: bytes, outcome: Outcome, since: float) -> None:
        self._executor.feed(ProbeResult(link.engine, outcome, self._loop.time() - since))

    def ended(self, sent: _Sent, outcome: Outcome) -> None:
        """The one place where an attempt ends."""
        if sent.over:
            return
        sent.over = True
        for timer in (sent.timer, sent.pages_timer):
            if timer is not None:
                timer.cancel()
        elapsed = self._loop.time() - (sent.left_at or sent.started)
        self._executor.done(sent, outcome, elapsed, sent.work, sent.memory_mb)
        if sent.link is not None:
            sent.link.release(sent)

    def dropped(self, link: _Link) -> None:
        """A connection is closed."""
        links = self._links.get(link.engine)
        if links is not None and link in links:
            links.remove(link)
            self._count -= 1
            if not links:
                del self._links[link.engine]

    def _on_look(self) -> None:
        now = self._loop.time()
        for links in list(self._links.values()):
            for link in list(links):
                link.look(now, IDLE_SHARE * self.limits.idle_close)
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)
