"""How exactly an attempt ended: each distinction of rule 2, against peers that misbehave on order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.engines import Executor, orca
from saffronlane.engines.flight import FlightStatement, FlightTransport, FlightTransportLimits
from saffronlane.engines.outcomes import NEVER_RAN_REASON, Verdict, classify
from saffronlane.engines.pool import PoolLimits
from saffronlane.http2 import ErrorCode
from saffronlane.http2.transport import local_sockets
from saffronlane.interface import Outcome, ProgressKind
from saffronlane.proto import flight_pb2 as flight
from saffronlane.proto.orca_pb2 import OrcaLoadReport
from saffronlane.rpc import Code, Ending, Metadata, RpcError, Server, ServerCall, Status
from saffronlane.rpc.status import detailed_status

SERVICE = "/arrow.flight.protocol.FlightService/"
INFO = flight.FlightInfo(endpoint=[flight.FlightEndpoint(ticket=flight.Ticket(ticket=b"t"))])
Handler = Callable[[ServerCall], Awaitable[None]]


@pytest.mark.parametrize(
    ("ending", "status", "heard", "expected"),
    [
        (Ending.STATUS, Status(Code.OK), False, Verdict(Outcome.OK)),
        (Ending.UNPROCESSED, Status(Code.UNAVAILABLE), False, Verdict(Outcome.REJECTED)),
        (Ending.UNPROCESSED, Status(Code.UNAVAILABLE), True, Verdict(Outcome.RESET)),
        (Ending.RESET, Status(Code.UNAVAILABLE), False, Verdict(Outcome.RESET)),
        (Ending.LOST, Status(Code.UNAVAILABLE), False, Verdict(Outcome.RESET)),
        (Ending.CANCELLED, Status(Code.CANCELLED), False, Verdict(Outcome.CANCELLED)),
        (Ending.STATUS, Status(Code.UNAVAILABLE, "busy"), False, Verdict(Outcome.ERROR)),
        (Ending.STATUS, Status(Code.INTERNAL), False, Verdict(Outcome.ERROR)),
        (Ending.STATUS, Status(Code.RESOURCE_EXHAUSTED), False, Verdict(Outcome.ERROR)),
        (Ending.STATUS, Status(Code.CANCELLED), False, Verdict(Outcome.ERROR)),
        (Ending.STATUS, Status(Code.DEADLINE_EXCEEDED), False, Verdict(Outcome.TIMEOUT)),
        (Ending.STATUS, Status(Code.INVALID_ARGUMENT), False, Verdict(Outcome.ERROR, is_query_fault=True)),
        (Ending.STATUS, Status(Code.NOT_FOUND), False, Verdict(Outcome.ERROR, is_query_fault=True)),
        (
            Ending.STATUS,
            detailed_status(Code.UNAVAILABLE, "no", NEVER_RAN_REASON, None),
            True,
            Verdict(Outcome.REJECTED),
        ),
        (Ending.STATUS, detailed_status(Code.UNAVAILABLE, "no", "OTHER", 1.0), False, Verdict(Outcome.ERROR)),
    ],
)
def test_the_table(ending: Ending, status: Status, heard: bool, expected: Verdict) -> None:
    assert classify(ending, status, heard) == expected


class Recorder(dispatch.Dispatcher):
    """A dispatcher that keeps the ends of attempts, and repeats nothing."""

    def __init__(self) -> None:
        settings = api.Settings(
            classes=(api.ClassSettings("only", 1.0, 10.0),),
            machine_types=(api.MachineType("kind", 4.0),),
            limits=api.Limits(can_cancel=True, max_attempts=1),
            report_columns=("active", "cpu"),
        )
        super().__init__(settings, 1)
        self.ends: list[dispatch.AttemptDone] = []
        self.notes: list[dispatch.AttemptProgress] = []

    def step(self, now: float, inputs: list[dispatch.Input]) -> list[dispatch.Effect]:
        self.ends += [i for i in inputs if isinstance(i, dispatch.AttemptDone)]
        self.notes += [i for i in inputs if isinstance(i, dispatch.AttemptProgress)]
        return super().step(now, inputs)


class Answer:
    def __init__(self) -> None:
        self.messages: list[bytes] = []
        self.status: Status | None = None
        self.over = asyncio.Event()

    async def write(self, message: bytes) -> None:
        self.messages.append(message)

    def write_now(self, message: bytes) -> None:
        self.messages.append(message)

    def end(self, status: Status) -> None:
        assert self.status is None, "two final answers"
        self.status = status
        self.over.set()

    def on_progress(self, kind: ProgressKind, amount: float) -> None:
        return None


async def info(call: ServerCall) -> None:
    await call.read()
    await call.write(INFO.SerializeToString())


class Peer:
    """One engine with handlers made for a test, an executor, and a request on its way."""

    def __init__(self, handlers: dict[str, Handler] | None, **limits: Any) -> None:
        self.core = Recorder()
        self.port = 0
        self.server: Server | None = None
        if handlers is not None:
            self.server = Server({SERVICE + name: h for name, h in handlers.items()})
            sockets = local_sockets("127.0.0.1", 0)
            self.port = sockets[0].getsockname()[1]
            self.server.listen(sockets)
        pool = limits.pop("pool", PoolLimits(connect_timeout=0.3))
        bounds = FlightTransportLimits(
            pool=pool, cancel_ack_timeout=limits.pop("cancel_ack_timeout", 0.3), **limits
        )
        self.executor = Executor(self.core, FlightTransport(bounds, lambda _: ("127.0.0.1", self.port)))
        entry = api.EngineEntry(b"engine", api.EngineState.READY)
        self.executor.feed(api.EndpointListUpdate(api.EndpointListMode.FULL, 1, (entry,)))

    def ask(self, remaining: float = 5.0, work: FlightStatement | None = None) -> tuple[int, Answer]:
        answer = Answer()
        work = work or FlightStatement("SELECT 1")
        return self.executor.submit(work, answer, lambda n: dispatch.Submit(n, 0, remaining)), answer

    async def end(self) -> dispatch.AttemptDone:
        """The first end of an attempt."""
        async with asyncio.timeout(10.0):
            while not self.core.ends:
                await asyncio.sleep(0.005)
        return self.core.ends[0]

    def close(self) -> None:
        self.executor.close()
        if self.server is not None:
            self.server.close()


def run(work: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(work(), 20.0)

    asyncio.run(bounded())


def outcome_of(do_get: Handler, get_info: Handler = info, remaining: float = 5.0) -> dispatch.AttemptDone:
    found: list[dispatch.AttemptDone] = []

    async def work() -> None:
        peer = Peer({"GetFlightInfo": get_info, "DoGet": do_get})
        _, answer = peer.ask(remaining)
        found.append(await peer.end())
        await answer.over.wait()
        peer.close()

    run(work)
    return found[0]


async def empty(call: ServerCall) -> None:
    await call.read()


def ends_with(status: Status) -> Handler:
    async def handler(call: ServerCall) -> None:
        await call.read()
        raise RpcError(status)

    return handler


def test_an_answer_with_its_load_report() -> None:
    async def handler(call: ServerCall) -> None:
        await call.read()
        report = OrcaLoadReport(
            cpu_utilization=0.5, named_metrics={"active": 3.0}, request_cost={"work": 0.25, "memory": 7.0}
        )
        call.trailers = ((orca.TRAILER, report.SerializeToString()),)

    end = outcome_of(handler)
    assert (end.outcome, end.work, end.memory_mb, end.load_report) == (Outcome.OK, 0.25, 7.0, (3.0, 0.5))


def test_a_refused_connection_never_ran() -> None:
    async def work() -> None:
        peer = Peer(None)
        sockets = local_sockets("127.0.0.1", 0)
        peer.port = sockets[0].getsockname()[1]
        sockets[0].close()
        peer.ask()
        assert (await peer.end()).outcome is Outcome.CONNECT_FAILED
        peer.close()

    run(work)


def test_an_engine_that_refuses_the_stream_never_ran_it() -> None:
    async def refuses(call: ServerCall) -> None:
        call.reset(ErrorCode.REFUSED_STREAM)

    assert outcome_of(empty, get_info=refuses).outcome is Outcome.REJECTED


def test_a_refused_second_call_is_no_proof_since_the_first_was_taken_in() -> None:
    async def refuses(call: ServerCall) -> None:
        call.reset(ErrorCode.REFUSED_STREAM)

    assert outcome_of(refuses).outcome is Outcome.RESET


def test_the_engines_explicit_word() -> None:
    assert (
        outcome_of(ends_with(detailed_status(Code.UNAVAILABLE, "full", NEVER_RAN_REASON, 1.0))).outcome
        is Outcome.REJECTED
    )


def test_a_stream_that_is_reset() -> None:
    async def resets(call: ServerCall) -> None:
        call.reset(ErrorCode.INTERNAL_ERROR)

    assert outcome_of(resets).outcome is Outcome.RESET


def test_a_connection_that_breaks() -> None:
    async def breaks(call: ServerCall) -> None:
        call._transport.close()

    assert outcome_of(breaks).outcome is Outcome.RESET
    assert outcome_of(empty, get_info=breaks).outcome is Outcome.RESET


def test_time_that_runs_out() -> None:
    async def never(call: ServerCall) -> None:
        await asyncio.sleep(60.0)

    assert outcome_of(never, remaining=0.3).outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)


@pytest.mark.parametrize(
    ("status", "outcome", "fault"),
    [
        (Status(Code.INTERNAL, "x"), Outcome.ERROR, False),
        (Status(Code.UNAVAILABLE, "x"), Outcome.ERROR, False),
        (Status(Code.INVALID_ARGUMENT, "x"), Outcome.ERROR, True),
    ],
)
def test_an_engines_error(status: Status, outcome: Outcome, fault: bool) -> None:
    end = outcome_of(ends_with(status))
    assert (end.outcome, end.is_query_fault) == (outcome, fault)


def test_what_is_no_protobuf_is_an_error_of_the_engine() -> None:
    async def odd(call: ServerCall) -> None:
        await call.read()
        await call.write(b"\xff\xff\xff")

    assert outcome_of(empty, get_info=odd).outcome is Outcome.ERROR


def test_an_attempt_recalled_before_it_left_is_moot() -> None:
    async def work() -> None:
        peer = Peer({"GetFlightInfo": info, "DoGet": empty})
        number, _ = peer.ask()
        # The drain is told in the turn in which the attempt starts: nothing of it may leave.
        peer.executor._step()
        entry = api.EngineEntry(b"engine", api.EngineState.DRAINING)
        peer.executor.feed(api.EndpointListUpdate(api.EndpointListMode.FULL, 2, (entry,)))
        assert (await peer.end()).outcome is Outcome.NOT_SENT
        assert peer.server is not None and peer.server.open_call_count == 0
        peer.executor.disconnect_client(number)
        peer.close()

    run(work)


def test_an_attempt_on_its_way_when_a_drain_is_told_may_end() -> None:
    async def work() -> None:
        inside, go = asyncio.Event(), asyncio.Event()

        async def waits(call: ServerCall) -> None:
            inside.set()
            await go.wait()

        peer = Peer({"GetFlightInfo": info, "DoGet": waits})
        _, answer = peer.ask()
        await inside.wait()
        entry = api.EngineEntry(b"engine", api.EngineState.DRAINING)
        peer.executor.feed(api.EndpointListUpdate(api.EndpointListMode.FULL, 2, (entry,)))
        await asyncio.sleep(0)
        go.set()
        await answer.over.wait()
        assert answer.status == Status(Code.OK)
        peer.close()

    run(work)


def test_a_cancel_is_told_only_once_the_engine_has_taken_it_in() -> None:
    """A repeat must not overlap the attempt that it replaces, where copies are not allowed."""

    async def work() -> None:
        gone: list[float] = []
        inside = asyncio.Event()
        loop = asyncio.get_running_loop()

        async def waits(call: ServerCall) -> None:
            call.on_abandoned = lambda: gone.append(loop.time())
            inside.set()
            await asyncio.sleep(60.0)

        peer = Peer({"GetFlightInfo": info, "DoGet": waits})
        number, _ = peer.ask()
        await inside.wait()
        peer.executor.disconnect_client(number)
        end = await peer.end()
        assert end.outcome is Outcome.CANCELLED and gone
        peer.close()

    run(work)


def test_a_cancel_that_nobody_acknowledges_waits_its_time_and_no_longer() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        taken = asyncio.Event()

        async def deaf(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"\0\0\0\4\0\0\0\0\0")  # SETTINGS, and never a word again
            while await reader.read(65_536):
                taken.set()

        server = await asyncio.start_server(deaf, "127.0.0.1", 0)
        peer = Peer(None, cancel_ack_timeout=0.2)
        peer.port = server.sockets[0].getsockname()[1]
        number, _ = peer.ask()
        await taken.wait()
        await asyncio.sleep(0.05)
        began = loop.time()
        peer.executor.disconnect_client(number)
        assert (await peer.end()).outcome is Outcome.CANCELLED
        assert 0.19 < loop.time() - began < 2.0
        peer.close()
        server.close()

    run(work)


def test_a_task_cancelled_before_its_first_turn_still_tells_its_end() -> None:
    """Else its attempt would be out for ever, and its request's key with it."""

    async def work() -> None:
        peer = Peer({"GetFlightInfo": info, "DoGet": empty})
        number, _ = peer.ask()
        peer.executor._step()
        running = peer.executor._requests[number].attempts_in_flight[0]
        assert running.task is not None
        running.task.cancel()
        assert (await peer.end()).outcome is Outcome.NOT_SENT
        peer.executor.disconnect_client(number)
        peer.close()

    run(work)


def test_an_engine_that_says_goaway_gets_a_new_connection() -> None:
    async def work() -> None:
        peer = Peer({"GetFlightInfo": info, "DoGet": empty})
        for _ in range(3):
            _, answer = peer.ask()
            await answer.over.wait()
            assert answer.status == Status(Code.OK)
            assert peer.server is not None
            for connection in list(peer.server.connections):
                connection.transport.http.drain()
                connection.transport.flush()
            await asyncio.sleep(0.02)
        peer.close()

    run(work)


def test_notes_reach_the_dispatcher_and_not_the_client() -> None:
    async def work() -> None:
        async def notes(call: ServerCall) -> None:
            await call.read()
            await call.write(orca.encode_progress_report("progress", 0.25))
            await call.write(orca.encode_progress_report("waiting", 1.0))
            await call.write(flight.FlightData(data_header=b"h").SerializeToString())

        peer = Peer({"GetFlightInfo": info, "DoGet": notes})
        _, answer = peer.ask()
        await answer.over.wait()
        assert len(answer.messages) == 1
        told = [(n.kind, n.amount) for n in peer.core.notes]
        assert told == [(ProgressKind.PROGRESS, 0.25), (ProgressKind.WAITING, 1.0)]
        peer.close()

    run(work)


@pytest.mark.parametrize(
    "message",
    [
        b"",
        b"\x1a",
        b"\x1a\x02{}",
        b"\x1a\x05[1,2]",
        b'\x1a\x09{"note":1}',
        flight.FlightData(app_metadata=b'{"note":"unheard-of"}').SerializeToString(),
        flight.FlightData(app_metadata=b'{"note":"progress"}', data_body=b"x").SerializeToString(),
        flight.FlightData(app_metadata=b"x" * 500).SerializeToString(),
    ],
)
def test_what_only_looks_like_a_note_is_data(message: bytes) -> None:
    assert orca.decode_progress_report(message) is None


def test_absurd_reports_are_no_reports() -> None:
    odd = OrcaLoadReport(
        named_metrics={"active": float("nan")}, request_cost={"work": -1.0, "memory": float("inf")}
    )
    trailers = Metadata(((orca.TRAILER, odd.SerializeToString()),))
    assert orca.read_load_report(trailers, ("active", "missing")) == orca.LoadReport(0.0, 0.0, (0.0, 0.0))
    assert orca.read_load_report(Metadata(((orca.TRAILER, b"\xff\xff"),)), ("active",)) == orca.LoadReport()
    assert orca.read_load_report(Metadata(), ("active",)) == orca.LoadReport()


def test_a_stream_shared_by_many_calls_stays_within_what_the_engine_takes() -> None:
    """The engine allows two calls at once on a connection, and there may be two connections."""

    async def work() -> None:
        from saffronlane.http2 import ConnectionLimits

        most, now = 0, 0

        async def counted(call: ServerCall) -> None:
            nonlocal most, now
            now += 1
            most = max(most, now)
            await asyncio.sleep(0.02)
            now -= 1

        peer = Peer(None, pool=PoolLimits(connect_timeout=1.0, max_connections=2))
        server = Server(
            {SERVICE + "GetFlightInfo": info, SERVICE + "DoGet": counted}, ConnectionLimits(max_streams=2)
        )
        sockets = local_sockets("127.0.0.1", 0)
        peer.port = sockets[0].getsockname()[1]
        server.listen(sockets)
        answers = [peer.ask()[1] for _ in range(12)]
        for answer in answers:
            await answer.over.wait()
        assert [a.status for a in answers] == [Status(Code.OK)] * 12
        assert most <= 4
        peer.close()
        server.close()

    run(work)


def test_a_connection_that_is_just_up_is_seen_by_who_looks_in_the_same_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A done connect whose channel was not entered yet made the search spin, and the loop with it."""
    from saffronlane.engines.pool import Pool
    from saffronlane.rpc import Channel

    looks, found = 0, []

    async def work() -> None:
        server = Server({})
        sockets = local_sockets("127.0.0.1", 0)
        server.listen(sockets)
        pool = Pool("127.0.0.1", sockets[0].getsockname()[1], PoolLimits())
        connect, prune = Channel.connect, pool._prune

        async def connect_and_look(channel: Channel, *args: Any) -> None:
            await connect(channel, *args)
            asyncio.get_running_loop().call_soon(look)  # before anything that follows from the connect's end

        def look() -> None:
            with pytest.raises(StopIteration) as caught:
                pool.channel().send(None)
            found.append(caught.value.value)

        def counted() -> None:
            nonlocal looks
            looks += 1
            assert looks < 100, "it spins"
            prune()

        monkeypatch.setattr(Channel, "connect", connect_and_look)
        monkeypatch.setattr(pool, "_prune", counted)
        channel = await pool.channel()
        assert found == [channel] and pool._connecting is None
        pool.close()
        server.close()

    run(work)


def test_an_effect_that_fails_takes_no_other_with_it() -> None:
    async def work() -> None:
        peer = Peer({"GetFlightInfo": info, "DoGet": empty})
        first, second = peer.ask(), peer.ask()
        effects = peer.executor._effect_runner
        start = effects._start_attempt

        def faulty(effect: dispatch.StartAttempt) -> None:
            if effect.request == first[0]:
                raise KeyError("a fault of ours")
            start(effect)

        effects._start_attempt = faulty  # type: ignore[method-assign]
        await second[1].over.wait()
        assert second[1].status == Status(Code.OK)
        await first[1].over.wait()
        assert first[1].status is not None and first[1].status.code is Code.UNAVAILABLE
        peer.close()

    run(work)
