"""Classification of attempt outcomes, against engines that misbehave in defined ways.

A request that is not idempotent may be retried only after an attempt that certainly never ran, so the
different ways in which an attempt can end must not be confused.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from tornado.iostream import IOStream

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.engines import Executor, orca
from saffronlane.engines.flight import FlightStatement, FlightTransport, FlightTransportLimits
from saffronlane.engines.outcomes import NEVER_RAN_REASON, Verdict, classify
from saffronlane.engines.pool import PoolLimits
from saffronlane.http2 import ConnectionLimits, ErrorCode
from saffronlane.http2.transport import Transport, local_sockets
from saffronlane.interface import Outcome, ProgressKind
from saffronlane.proto import flight_pb2 as flight
from saffronlane.proto.orca_pb2 import OrcaLoadReport
from saffronlane.rpc import Code, Ending, Metadata, RpcError, Server, ServerCall, Status
from saffronlane.rpc.status import detailed_status

SERVICE = "/arrow.flight.protocol.FlightService/"
FLIGHT_INFO = flight.FlightInfo(endpoint=[flight.FlightEndpoint(ticket=flight.Ticket(ticket=b"t"))])
Handler = Callable[[ServerCall], Awaitable[None]]


@pytest.mark.parametrize(
    ("ending", "status", "earlier_call_processed", "expected"),
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
def test_call_end_is_classified(
    ending: Ending, status: Status, earlier_call_processed: bool, expected: Verdict
) -> None:
    assert classify(ending, status, earlier_call_processed) == expected


class RecordingDispatcher(dispatch.Dispatcher):
    """A dispatcher that records ends and progress reports of attempts, and does not retry."""

    def __init__(self) -> None:
        settings = api.Settings(
            classes=(api.ClassSettings("only", 1.0, 10.0),),
            machine_types=(api.MachineType("kind", 4.0),),
            limits=api.Limits(can_cancel=True, max_attempts=1),
            report_columns=("active", "cpu"),
        )
        super().__init__(settings, 1)
        self.attempt_ends: list[dispatch.AttemptDone] = []
        self.progress_reports: list[dispatch.AttemptProgress] = []
        self.send_timeout = math.inf  # of the attempts that start from now on

    def step(self, now: float, inputs: list[dispatch.Input]) -> list[dispatch.Effect]:
        self.attempt_ends += [i for i in inputs if isinstance(i, dispatch.AttemptDone)]
        self.progress_reports += [i for i in inputs if isinstance(i, dispatch.AttemptProgress)]
        return [
            replace(effect, send_timeout=self.send_timeout)
            if isinstance(effect, dispatch.StartAttempt)
            else effect
            for effect in super().step(now, inputs)
        ]


class RecordingSink:
    """Records the answer of one request."""

    def __init__(self) -> None:
        self.messages: list[bytes] = []
        self.status: Status | None = None
        self.ended = asyncio.Event()

    async def write(self, message: bytes) -> None:
        self.messages.append(message)

    def write_now(self, message: bytes) -> None:
        self.messages.append(message)

    def end(self, status: Status) -> None:
        assert self.status is None, "two final answers"
        self.status = status
        self.ended.set()

    def on_progress(self, kind: ProgressKind, amount: float) -> None:
        return None


async def send_flight_info(call: ServerCall) -> None:
    await call.read()
    await call.write(FLIGHT_INFO.SerializeToString())


class Harness:
    """One engine with the handlers of a test, and an executor that sends requests to it."""

    def __init__(self, handlers: dict[str, Handler] | None, **limits: Any) -> None:
        self.dispatcher = RecordingDispatcher()
        self.port = 0
        self.server: Server | None = None
        if handlers is not None:
            self.server = Server({SERVICE + name: handler for name, handler in handlers.items()})
            sockets = local_sockets("127.0.0.1", 0)
            self.port = sockets[0].getsockname()[1]
            self.server.listen(sockets)
        pool = limits.pop("pool", PoolLimits(connect_timeout=0.3))
        transport_limits = FlightTransportLimits(
            pool=pool, cancel_ack_timeout=limits.pop("cancel_ack_timeout", 0.3), **limits
        )
        self.executor = Executor(
            self.dispatcher, FlightTransport(transport_limits, lambda _: ("127.0.0.1", self.port))
        )
        entry = api.EngineEntry(b"engine", api.EngineState.READY)
        self.executor.feed(api.EndpointListUpdate(api.EndpointListMode.FULL, 1, (entry,)))

    def submit(
        self, timeout: float = 5.0, statement: FlightStatement | None = None
    ) -> tuple[int, RecordingSink]:
        sink = RecordingSink()
        statement = statement or FlightStatement("SELECT 1")
        return self.executor.submit(statement, sink, lambda number: dispatch.Submit(number, 0, timeout)), sink

    async def first_attempt_end(self) -> dispatch.AttemptDone:
        """Wait until an attempt has ended, and return the first end."""
        async with asyncio.timeout(10.0):
            while not self.dispatcher.attempt_ends:
                await asyncio.sleep(0.005)
        return self.dispatcher.attempt_ends[0]

    def close(self) -> None:
        self.executor.close()
        if self.server is not None:
            self.server.close()


def run(test_body: Callable[[], Awaitable[None]]) -> None:
    async def run_with_timeout() -> None:
        await asyncio.wait_for(test_body(), 20.0)

    asyncio.run(run_with_timeout())


def run_attempt(
    do_get: Handler, get_flight_info: Handler = send_flight_info, timeout: float = 5.0
) -> dispatch.AttemptDone:
    """Run one request whose calls are answered by the given handlers, and return the end of its attempt."""
    attempt_ends: list[dispatch.AttemptDone] = []

    async def test_body() -> None:
        harness = Harness({"GetFlightInfo": get_flight_info, "DoGet": do_get})
        _, sink = harness.submit(timeout)
        attempt_ends.append(await harness.first_attempt_end())
        await sink.ended.wait()
        harness.close()

    run(test_body)
    return attempt_ends[0]


async def send_empty_result(call: ServerCall) -> None:
    await call.read()


def fail_with(status: Status) -> Handler:
    async def handler(call: ServerCall) -> None:
        await call.read()
        raise RpcError(status)

    return handler


def test_load_report_in_trailers_is_reported_with_attempt_end() -> None:
    async def handler(call: ServerCall) -> None:
        await call.read()
        report = OrcaLoadReport(
            cpu_utilization=0.5, named_metrics={"active": 3.0}, request_cost={"work": 0.25, "memory": 7.0}
        )
        call.trailers = ((orca.TRAILER, report.SerializeToString()),)

    end = run_attempt(handler)
    assert (end.outcome, end.work, end.memory_mb, end.load_report) == (Outcome.OK, 0.25, 7.0, (3.0, 0.5))


def test_refused_connection_is_classified_as_connect_failed() -> None:
    async def test_body() -> None:
        harness = Harness(None)
        sockets = local_sockets("127.0.0.1", 0)
        harness.port = sockets[0].getsockname()[1]
        sockets[0].close()
        harness.submit()
        assert (await harness.first_attempt_end()).outcome is Outcome.CONNECT_FAILED
        harness.close()

    run(test_body)


def test_refused_stream_of_first_call_is_classified_as_rejected() -> None:
    async def refuse_stream(call: ServerCall) -> None:
        call.reset(ErrorCode.REFUSED_STREAM)

    assert run_attempt(send_empty_result, get_flight_info=refuse_stream).outcome is Outcome.REJECTED


def test_refused_stream_after_processed_call_is_classified_as_reset() -> None:
    async def refuse_stream(call: ServerCall) -> None:
        call.reset(ErrorCode.REFUSED_STREAM)

    assert run_attempt(refuse_stream).outcome is Outcome.RESET


def test_status_with_never_ran_reason_is_classified_as_rejected() -> None:
    assert (
        run_attempt(fail_with(detailed_status(Code.UNAVAILABLE, "full", NEVER_RAN_REASON, 1.0))).outcome
        is Outcome.REJECTED
    )


def test_reset_stream_is_classified_as_reset() -> None:
    async def reset_stream(call: ServerCall) -> None:
        call.reset(ErrorCode.INTERNAL_ERROR)

    assert run_attempt(reset_stream).outcome is Outcome.RESET


def test_lost_connection_is_classified_as_reset() -> None:
    async def close_connection(call: ServerCall) -> None:
        call._transport.close()

    assert run_attempt(close_connection).outcome is Outcome.RESET
    assert run_attempt(send_empty_result, get_flight_info=close_connection).outcome is Outcome.RESET


def test_unanswered_call_is_classified_as_timeout_or_cancelled() -> None:
    async def never_answer(call: ServerCall) -> None:
        await asyncio.sleep(60.0)

    assert run_attempt(never_answer, timeout=0.3).outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)


@pytest.mark.parametrize(
    ("status", "outcome", "is_query_fault"),
    [
        (Status(Code.INTERNAL, "x"), Outcome.ERROR, False),
        (Status(Code.UNAVAILABLE, "x"), Outcome.ERROR, False),
        (Status(Code.INVALID_ARGUMENT, "x"), Outcome.ERROR, True),
    ],
)
def test_error_status_of_engine_is_classified_as_error_or_query_fault(
    status: Status, outcome: Outcome, is_query_fault: bool
) -> None:
    end = run_attempt(fail_with(status))
    assert (end.outcome, end.is_query_fault) == (outcome, is_query_fault)


def test_invalid_protobuf_in_response_is_classified_as_error() -> None:
    async def send_invalid_protobuf(call: ServerCall) -> None:
        await call.read()
        await call.write(b"\xff\xff\xff")

    assert run_attempt(send_empty_result, get_flight_info=send_invalid_protobuf).outcome is Outcome.ERROR


def test_attempt_withdrawn_before_sending_is_classified_as_not_sent() -> None:
    async def test_body() -> None:
        harness = Harness({"GetFlightInfo": send_flight_info, "DoGet": send_empty_result})
        number, _ = harness.submit()
        # The drain is reported in the event loop turn in which the attempt starts, so nothing may be sent.
        harness.executor._step()
        entry = api.EngineEntry(b"engine", api.EngineState.DRAINING)
        harness.executor.feed(api.EndpointListUpdate(api.EndpointListMode.FULL, 2, (entry,)))
        assert (await harness.first_attempt_end()).outcome is Outcome.NOT_SENT
        assert harness.server is not None and harness.server.open_call_count == 0
        harness.executor.disconnect_client(number)
        harness.close()

    run(test_body)


def test_attempt_in_flight_completes_when_its_engine_drains() -> None:
    async def test_body() -> None:
        call_received, release_call = asyncio.Event(), asyncio.Event()

        async def hold_call(call: ServerCall) -> None:
            call_received.set()
            await release_call.wait()

        harness = Harness({"GetFlightInfo": send_flight_info, "DoGet": hold_call})
        _, sink = harness.submit()
        await call_received.wait()
        entry = api.EngineEntry(b"engine", api.EngineState.DRAINING)
        harness.executor.feed(api.EndpointListUpdate(api.EndpointListMode.FULL, 2, (entry,)))
        await asyncio.sleep(0)
        release_call.set()
        await sink.ended.wait()
        assert sink.status == Status(Code.OK)
        harness.close()

    run(test_body)


def test_cancelled_attempt_ends_only_after_engine_received_the_cancel() -> None:
    """A retry must not overlap with the attempt that it replaces if concurrent attempts are not allowed."""

    async def test_body() -> None:
        cancel_times: list[float] = []
        call_received = asyncio.Event()
        loop = asyncio.get_running_loop()

        async def hold_call(call: ServerCall) -> None:
            call.on_abandoned = lambda: cancel_times.append(loop.time())
            call_received.set()
            await asyncio.sleep(60.0)

        harness = Harness({"GetFlightInfo": send_flight_info, "DoGet": hold_call})
        number, _ = harness.submit()
        await call_received.wait()
        harness.executor.disconnect_client(number)
        end = await harness.first_attempt_end()
        assert end.outcome is Outcome.CANCELLED and cancel_times
        harness.close()

    run(test_body)


def test_unacknowledged_cancel_ends_attempt_after_ack_timeout() -> None:
    async def test_body() -> None:
        loop = asyncio.get_running_loop()
        request_received = asyncio.Event()

        async def ignore_frames(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"\0\0\0\4\0\0\0\0\0")  # an empty SETTINGS frame, and nothing after it
            while await reader.read(65_536):
                request_received.set()

        server = await asyncio.start_server(ignore_frames, "127.0.0.1", 0)
        harness = Harness(None, cancel_ack_timeout=0.2)
        harness.port = server.sockets[0].getsockname()[1]
        number, _ = harness.submit()
        await request_received.wait()
        await asyncio.sleep(0.05)
        cancelled_at = loop.time()
        harness.executor.disconnect_client(number)
        assert (await harness.first_attempt_end()).outcome is Outcome.CANCELLED
        assert 0.19 < loop.time() - cancelled_at < 2.0
        harness.close()
        server.close()

    run(test_body)


def test_attempt_task_cancelled_before_its_first_turn_reports_its_end() -> None:
    """Without the report, the attempt would stay in flight forever and block its ordering key."""

    async def test_body() -> None:
        harness = Harness({"GetFlightInfo": send_flight_info, "DoGet": send_empty_result})
        number, _ = harness.submit()
        harness.executor._step()
        attempt = harness.executor._requests[number].attempts_in_flight[0]
        assert attempt.task is not None
        attempt.task.cancel()
        assert (await harness.first_attempt_end()).outcome is Outcome.NOT_SENT
        harness.executor.disconnect_client(number)
        harness.close()

    run(test_body)


def test_requests_after_goaway_use_a_new_connection() -> None:
    async def test_body() -> None:
        harness = Harness({"GetFlightInfo": send_flight_info, "DoGet": send_empty_result})
        for _ in range(3):
            _, sink = harness.submit()
            await sink.ended.wait()
            assert sink.status == Status(Code.OK)
            assert harness.server is not None
            for connection in list(harness.server.connections):
                connection.transport.http.drain()
                connection.transport.flush()
            await asyncio.sleep(0.02)
        harness.close()

    run(test_body)


def test_progress_reports_reach_dispatcher_and_not_client() -> None:
    async def test_body() -> None:
        async def send_progress_reports(call: ServerCall) -> None:
            await call.read()
            await call.write(orca.encode_progress_report("progress", 0.25))
            await call.write(orca.encode_progress_report("waiting", 1.0))
            await call.write(flight.FlightData(data_header=b"h").SerializeToString())

        harness = Harness({"GetFlightInfo": send_flight_info, "DoGet": send_progress_reports})
        _, sink = harness.submit()
        await sink.ended.wait()
        assert len(sink.messages) == 1
        reports = [(report.kind, report.amount) for report in harness.dispatcher.progress_reports]
        assert reports == [(ProgressKind.PROGRESS, 0.25), (ProgressKind.WAITING, 1.0)]
        harness.close()

    run(test_body)


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
def test_message_that_resembles_progress_report_is_data(message: bytes) -> None:
    assert orca.decode_progress_report(message) is None


def test_invalid_load_report_values_are_zero_and_malformed_reports_are_missing() -> None:
    report = OrcaLoadReport(
        named_metrics={"active": float("nan")}, request_cost={"work": -1.0, "memory": float("inf")}
    )
    trailers = Metadata(((orca.TRAILER, report.SerializeToString()),))
    assert orca.read_load_report(trailers, ("active", "missing")) == orca.LoadReport(0.0, 0.0, (0.0, 0.0))
    assert orca.read_load_report(Metadata(((orca.TRAILER, b"\xff\xff"),)), ("active",)) == orca.LoadReport()
    assert orca.read_load_report(Metadata(), ("active",)) == orca.LoadReport()


def test_concurrent_calls_stay_within_stream_and_connection_limits() -> None:
    """The engine allows two concurrent calls per connection, and the pool opens at most two connections."""

    async def test_body() -> None:
        from saffronlane.http2 import ConnectionLimits

        max_concurrent, concurrent = 0, 0

        async def count_call(call: ServerCall) -> None:
            nonlocal max_concurrent, concurrent
            concurrent += 1
            max_concurrent = max(max_concurrent, concurrent)
            await asyncio.sleep(0.02)
            concurrent -= 1

        harness = Harness(None, pool=PoolLimits(connect_timeout=1.0, max_connections=2))
        server = Server(
            {SERVICE + "GetFlightInfo": send_flight_info, SERVICE + "DoGet": count_call},
            ConnectionLimits(max_streams=2),
        )
        sockets = local_sockets("127.0.0.1", 0)
        harness.port = sockets[0].getsockname()[1]
        server.listen(sockets)
        sinks = [harness.submit()[1] for _ in range(12)]
        for sink in sinks:
            await sink.ended.wait()
        assert [sink.status for sink in sinks] == [Status(Code.OK)] * 12
        assert max_concurrent <= 4
        harness.close()
        server.close()

    run(test_body)


def test_retry_that_waits_for_a_free_stream_is_not_sent_after_its_send_deadline() -> None:
    """Guards against a keyed retry that reaches its engine after the engine has dropped the key."""
    received: list[float] = []

    async def test_body() -> None:
        loop = asyncio.get_running_loop()

        async def hold_first(call: ServerCall) -> None:
            received.append(loop.time())
            if len(received) == 1:
                await asyncio.sleep(0.8)
            await send_flight_info(call)

        async def send_nothing(call: ServerCall) -> None:
            await call.read()

        handlers = {SERVICE + "GetFlightInfo": hold_first, SERVICE + "DoGet": send_nothing}
        server = Server(handlers, ConnectionLimits(max_streams=1))
        sockets = local_sockets("127.0.0.1", 0)
        harness = Harness(None, pool=PoolLimits(connect_timeout=0.3, max_connections=1))
        harness.port = sockets[0].getsockname()[1]
        server.listen(sockets)
        _, first = harness.submit()
        while not received:
            await asyncio.sleep(0.005)
        harness.dispatcher.send_timeout = 0.2
        _, late = harness.submit()
        attempt_end = await harness.first_attempt_end()
        assert attempt_end.outcome is Outcome.NOT_SENT
        await first.ended.wait()
        await late.ended.wait()
        await asyncio.sleep(0.2)
        assert len(received) == 1
        harness.close()
        server.close()

    run(test_body)


def test_transport_waits_until_the_peer_has_read_what_was_queued() -> None:
    """Guards against a retry that lies in the write buffer of a connection whose peer does not read."""

    async def test_body() -> None:
        near, far = socket.socketpair()
        stream = IOStream(near)
        transport = Transport(stream, True, lambda _: None, lambda _: None)
        await transport.wait_until_written()
        unread = stream.write(b"x" * 4_000_000)
        waiting = asyncio.ensure_future(transport.wait_until_written())
        await asyncio.sleep(0.05)
        assert not waiting.done()
        far.setblocking(False)
        loop = asyncio.get_running_loop()
        while not waiting.done():
            await loop.sock_recv(far, 1_000_000)
        await unread
        transport.close()
        far.close()

    run(test_body)


def test_new_connection_is_found_in_the_event_loop_turn_in_which_it_is_established(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pool that blocks the event loop.

    `Pool.channel` spun forever after a connect task had completed but its channel was not registered yet.
    """
    from saffronlane.engines.pool import Pool
    from saffronlane.rpc import Channel

    prune_count, channels = 0, []

    async def test_body() -> None:
        server = Server({})
        sockets = local_sockets("127.0.0.1", 0)
        server.listen(sockets)
        pool = Pool("127.0.0.1", sockets[0].getsockname()[1], PoolLimits())
        connect, prune = Channel.connect, pool._prune

        async def connect_and_schedule_lookup(channel: Channel, *args: Any) -> None:
            await connect(channel, *args)
            # The lookup runs before any callback of the completed connect task.
            asyncio.get_running_loop().call_soon(find_channel)

        def find_channel() -> None:
            with pytest.raises(StopIteration) as caught:
                pool.channel().send(None)
            channels.append(caught.value.value)

        def count_prune() -> None:
            nonlocal prune_count
            prune_count += 1
            assert prune_count < 100, "Pool.channel spins"
            prune()

        monkeypatch.setattr(Channel, "connect", connect_and_schedule_lookup)
        monkeypatch.setattr(pool, "_prune", count_prune)
        channel = await pool.channel()
        assert channels == [channel] and pool._connecting is None
        pool.close()
        server.close()

    run(test_body)


def test_failing_effect_does_not_stop_other_effects() -> None:
    async def test_body() -> None:
        harness = Harness({"GetFlightInfo": send_flight_info, "DoGet": send_empty_result})
        first, second = harness.submit(), harness.submit()
        effect_runner = harness.executor._effect_runner
        start_attempt = effect_runner._start_attempt

        def fail_for_first_request(effect: dispatch.StartAttempt) -> None:
            if effect.request == first[0]:
                raise KeyError("injected fault")
            start_attempt(effect)

        effect_runner._start_attempt = fail_for_first_request  # type: ignore[method-assign]
        await second[1].ended.wait()
        assert second[1].status == Status(Code.OK)
        await first[1].ended.wait()
        assert first[1].status is not None and first[1].status.code is Code.UNAVAILABLE
        harness.close()

    run(test_body)
