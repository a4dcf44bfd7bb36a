"""The gateway with Flight SQL clients: the ADBC driver, pyarrow.flight, and grpcio for other messages.

A comment such as `/* lab work=0.8 rows=4 */` in a query sets its work in seconds and the number of rows in
each batch that the stand-in engine returns.
"""

from __future__ import annotations

import threading
import time
import warnings
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import adbc_driver_flightsql.dbapi as adbc
import adbc_driver_manager
import grpc
import pyarrow as pa
import pyarrow.flight as paf
import pytest
from gateways import GatewayHarness, running_harness
from google.protobuf.any_pb2 import Any as AnyMessage
from google.protobuf.message import Message

from saffronlane.flight import handles
from saffronlane.flight.service import _forwarded_headers
from saffronlane.proto import flight_pb2 as flight
from saffronlane.proto import flight_sql_pb2 as sql
from saffronlane.rpc import Code, Metadata, RpcError, ServerCall, Status
from saffronlane.rpc.status import detailed_status

SERVICE = "/arrow.flight.protocol.FlightService/"


@pytest.fixture(scope="module")
def shared_harness(tmp_path_factory: pytest.TempPathFactory) -> Iterator[GatewayHarness]:
    with running_harness(tmp_path_factory.mktemp("gateway")) as harness:
        yield harness


def connect(harness: GatewayHarness, **headers: str) -> Any:
    """Open an ADBC connection that sends headers with each call."""
    prefix = "adbc.flight.sql.rpc.call_header."
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        return adbc.connect(
            harness.url, {prefix + name: value for name, value in headers.items()}, autocommit=True
        )


def encode_any(message: Message) -> bytes:
    wrapper = AnyMessage()
    wrapper.Pack(message)
    return wrapper.SerializeToString()


def descriptor(message: Message) -> flight.FlightDescriptor:
    return flight.FlightDescriptor(type=flight.FlightDescriptor.CMD, cmd=encode_any(message))


class GrpcClient:
    """Sends Flight messages of its caller's choice, also invalid ones, through grpcio."""

    def __init__(self, harness: GatewayHarness) -> None:
        self.channel = grpc.insecure_channel(f"127.0.0.1:{harness.daemon.port}")

    def call_unary(self, method: str, request: Message, response_type: type[Message], **options: Any) -> Any:
        call = self.channel.unary_unary(SERVICE + method)
        return response_type.FromString(call(request.SerializeToString(), timeout=10, **options))

    def call_stream(
        self, method: str, request: Message, timeout: float = 10.0, **options: Any
    ) -> list[bytes]:
        call = self.channel.unary_stream(SERVICE + method)
        return list(call(request.SerializeToString(), timeout=timeout, **options))

    def do_put(self, message: Message, *data: bytes, **options: Any) -> list[bytes]:
        first_message = flight.FlightData(flight_descriptor=descriptor(message)).SerializeToString()
        call = self.channel.stream_stream(SERVICE + "DoPut")
        return list(call(iter([first_message, *data]), timeout=10, **options))

    def do_action(self, action_type: str, body: bytes, **options: Any) -> list[bytes]:
        action = flight.Action(type=action_type, body=body)
        return [
            flight.Result.FromString(result).body
            for result in self.call_stream("DoAction", action, **options)
        ]

    def get_ticket(self, query: str, **options: Any) -> flight.Ticket:
        command = descriptor(sql.CommandStatementQuery(query=query))
        info = self.call_unary("GetFlightInfo", command, flight.FlightInfo, **options)
        return info.endpoint[0].ticket


def assert_fails(code: grpc.StatusCode, text: str, function: Any, *args: Any, **options: Any) -> Status:
    """Check that a call fails with a code and a text in the message, and return its status."""
    with pytest.raises(grpc.RpcError) as caught:
        function(*args, **options)
    error = caught.value
    assert error.code() is code, error.details()
    assert text in error.details()
    details = dict(error.trailing_metadata()).get("grpc-status-details-bin", b"")
    return Status(Code.UNKNOWN, error.details(), details)


# --- drivers ---


def test_adbc_cursor_fetches_the_rows_of_its_query(shared_harness: GatewayHarness) -> None:
    with connect(shared_harness) as connection, connection.cursor() as cursor:
        cursor.execute("SELECT * FROM plays /* lab rows=3 */")
        assert cursor.fetchall() == [(0, "row 0"), (1, "row 1"), (2, "row 2")]


def test_adbc_binds_parameters_and_runs_an_update(shared_harness: GatewayHarness) -> None:
    with connect(shared_harness) as connection, connection.cursor() as cursor:
        cursor.execute("SELECT * FROM plays WHERE id = ? /* lab rows=2 */", (7,))
        assert len(cursor.fetchall()) == 2
        cursor.adbc_statement.set_sql_query("INSERT INTO plays VALUES (1) /* lab rows=5 */")
        assert cursor.adbc_statement.execute_update() == 5


def test_adbc_reads_the_vendor_name_from_sql_info(shared_harness: GatewayHarness) -> None:
    with connect(shared_harness) as connection:
        assert connection.adbc_get_info()["vendor_name"] == "saffronlane"


def test_adbc_raises_the_message_of_a_rejected_statement(shared_harness: GatewayHarness) -> None:
    raises_message = pytest.raises(adbc_driver_manager.Error, match="does not parse")
    with connect(shared_harness) as connection, connection.cursor() as cursor, raises_message:
        cursor.execute("SELEC nothing FRM")


def test_pyarrow_reads_a_stream_of_batches(shared_harness: GatewayHarness) -> None:
    with paf.FlightClient(shared_harness.url) as client:
        command = encode_any(
            sql.CommandStatementQuery(query="SELECT * FROM t /* lab rows=1000 batches=50 */")
        )
        info = client.get_flight_info(paf.FlightDescriptor.for_command(command))
        table = client.do_get(info.endpoints[0].ticket).read_all()
        assert table.num_rows == 50_000
        assert {action.type for action in client.list_actions()} >= {"CloseSession", "CancelFlightInfo"}


def test_concurrent_clients_get_their_own_answers(shared_harness: GatewayHarness) -> None:
    row_counts: dict[int, int] = {}

    def run_queries(number: int) -> None:
        with connect(shared_harness) as connection, connection.cursor() as cursor:
            for _ in range(5):
                cursor.execute(f"SELECT {number} FROM t /* lab rows={number} */")
                row_counts[number] = len(cursor.fetchall())

    threads = [threading.Thread(target=run_queries, args=(number,)) for number in range(1, 9)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20.0)
    assert row_counts == {number: number for number in range(1, 9)}
    shared_harness.wait_until(
        lambda: (
            shared_harness.daemon.dispatcher.pending_count == 0
            and not shared_harness.daemon.executor._requests
        )
    )


# --- sessions ---


def test_session_cookie_keeps_options_until_the_session_is_closed(shared_harness: GatewayHarness) -> None:
    client = GrpcClient(shared_harness)
    request = flight.SetSessionOptionsRequest()
    request.session_options["class"].string_value = "report"
    request.session_options["tenant"].string_value = "nobody"
    request.session_options["colour"].string_value = "red"
    action = flight.Action(type="SetSessionOptions", body=request.SerializeToString())
    call = client.channel.unary_stream(SERVICE + "DoAction")(action.SerializeToString())
    cookie = dict(call.initial_metadata())["set-cookie"].split(";")[0]
    result = flight.SetSessionOptionsResult.FromString(flight.Result.FromString(next(call)).body)
    assert {name: error.value for name, error in result.errors.items()} == {
        "colour": flight.SetSessionOptionsResult.INVALID_NAME,
        "tenant": flight.SetSessionOptionsResult.INVALID_VALUE,
    }
    metadata = (("cookie", cookie),)
    (body,) = client.do_action("GetSessionOptions", b"", metadata=metadata)
    options = flight.GetSessionOptionsResult.FromString(body).session_options
    assert {name: value.string_value for name, value in options.items()} == {"class": "report"}
    assert client.do_action("CloseSession", b"", metadata=metadata)
    status = assert_fails(
        grpc.StatusCode.UNAUTHENTICATED, "ended", client.get_ticket, "SELECT 1", metadata=metadata
    )
    assert status.reason() == "SESSION_UNKNOWN"


def test_idle_session_ends(tmp_path: Path) -> None:
    with running_harness(tmp_path, sessions={"idle_s": 0.05}) as harness:
        client = GrpcClient(harness)
        call = client.channel.stream_stream(SERVICE + "Handshake")(iter([b""]))
        token = dict(call.initial_metadata())["authorization"]
        client.get_ticket("SELECT 1", metadata=(("authorization", token),))
        time.sleep(0.1)
        assert_fails(
            grpc.StatusCode.UNAUTHENTICATED,
            "ended",
            client.get_ticket,
            "SELECT 1",
            metadata=(("authorization", token),),
        )


def test_session_beyond_the_limit_is_rejected(tmp_path: Path) -> None:
    with running_harness(tmp_path, sessions={"most": 2}) as harness:
        client = GrpcClient(harness)
        handshake = client.channel.stream_stream(SERVICE + "Handshake")
        for _ in range(2):
            list(handshake(iter([b""])))
        assert_fails(grpc.StatusCode.RESOURCE_EXHAUSTED, "2 sessions", lambda: list(handshake(iter([b""]))))


def test_matcher_assigns_a_class_by_the_adbc_user(tmp_path: Path) -> None:
    matchers = [{"user": "curator", "class": "report"}, {"kind": "write", "class": "change"}]
    with running_harness(tmp_path, matchers=matchers) as harness, warnings.catch_warnings():
        warnings.simplefilter("ignore")
        options = {"username": "curator", "password": "x"}
        with adbc.connect(harness.url, options, autocommit=True) as connection, connection.cursor() as cursor:
            cursor.execute("SELECT * FROM plays")
            assert len(cursor.fetchall()) == 1
        estimators = harness.daemon.dispatcher.gateway.workload_estimates.estimators
        assert [estimator.answer_count for estimator in estimators] == [0, 1, 0]


# --- polling and cancellation ---


def test_polled_query_reports_progress_and_its_result_can_be_fetched(tmp_path: Path) -> None:
    with running_harness(tmp_path, note_period=0.05) as harness:
        client = GrpcClient(harness)
        poll_descriptor = descriptor(sql.CommandStatementQuery(query="SELECT 1 /* lab work=0.8 rows=4 */"))
        progress = []
        while True:
            poll = client.call_unary("PollFlightInfo", poll_descriptor, flight.PollInfo)
            progress.append(poll.progress)
            if not poll.HasField("flight_descriptor"):
                break
            poll_descriptor = poll.flight_descriptor
        assert progress == sorted(progress) and 0.0 < max(progress[:-1]) < 1.0 and progress[-1] == 1.0
        data = client.call_stream("DoGet", poll.info.endpoint[0].ticket)
        assert len(data) == 2
        assert len(harness.events_of_kind("ran")) == 1
        ticket = poll.info.endpoint[0].ticket
        # The ticket contains the statement, so another DoGet runs it again.
        assert len(client.call_stream("DoGet", ticket)) == 2
        assert len(harness.events_of_kind("ran")) == 2


def test_polled_result_larger_than_the_buffer_is_fetched_completely(tmp_path: Path) -> None:
    with running_harness(tmp_path, connections={"hold_back_bytes": 10_000}) as harness:
        client = GrpcClient(harness)
        poll_descriptor = descriptor(
            sql.CommandStatementQuery(query="SELECT 1 /* lab rows=500 batches=60 */")
        )
        poll = client.call_unary("PollFlightInfo", poll_descriptor, flight.PollInfo)
        while poll.HasField("flight_descriptor"):
            poll = client.call_unary("PollFlightInfo", poll.flight_descriptor, flight.PollInfo)
        assert len(client.call_stream("DoGet", poll.info.endpoint[0].ticket)) == 61
        harness.wait_until(lambda: harness.daemon.dispatcher.pending_count == 0)


def test_failure_of_a_polled_query_is_reported_by_a_poll(tmp_path: Path) -> None:
    with running_harness(tmp_path) as harness:
        for engine in harness.engines.values():
            harness.call_in_loop(lambda engine=engine: setattr(engine.faults, "error", 1.0))  # type: ignore[misc]
        client = GrpcClient(harness)
        poll_descriptor = descriptor(sql.CommandStatementQuery(query="SELECT 1"))

        def poll_until_failure() -> None:
            next_descriptor = poll_descriptor
            for _ in range(100):
                next_descriptor = client.call_unary(
                    "PollFlightInfo", next_descriptor, flight.PollInfo
                ).flight_descriptor

        assert_fails(grpc.StatusCode.UNAVAILABLE, "fault of the engine", poll_until_failure)


def test_cancel_flight_info_stops_the_query_at_its_engine(tmp_path: Path) -> None:
    with running_harness(tmp_path) as harness:
        client = GrpcClient(harness)
        ticket = client.get_ticket("SELECT 1 /* lab work=60 */")
        call = client.channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())
        harness.wait_until(lambda: bool(harness.events_of_kind("ran")))
        info = flight.FlightInfo(endpoint=[flight.FlightEndpoint(ticket=ticket)])
        request = flight.CancelFlightInfoRequest(info=info).SerializeToString()
        (body,) = client.do_action("CancelFlightInfo", request)
        assert flight.CancelFlightInfoResult.FromString(body).status == flight.CANCEL_STATUS_CANCELLED
        assert_fails(grpc.StatusCode.CANCELLED, "cancelled", lambda: list(call))
        harness.wait_until(lambda: bool(harness.events_of_kind("stopped")))
        (body,) = client.do_action("CancelFlightInfo", request)
        assert flight.CancelFlightInfoResult.FromString(body).status == flight.CANCEL_STATUS_NOT_CANCELLABLE


def test_cancelled_call_stops_its_query(tmp_path: Path) -> None:
    with running_harness(tmp_path) as harness:
        client = GrpcClient(harness)
        call = client.channel.unary_stream(SERVICE + "DoGet")(
            client.get_ticket("SELECT 1 /* lab work=60 */").SerializeToString()
        )
        harness.wait_until(lambda: bool(harness.events_of_kind("ran")))
        call.cancel()
        harness.wait_until(lambda: bool(harness.events_of_kind("stopped")))
        harness.wait_until(
            lambda: (
                not harness.daemon.executor._requests and not harness.daemon.flight_service._running_requests
            )
        )


def test_query_is_answered_before_the_deadline_of_its_call(tmp_path: Path) -> None:
    with running_harness(tmp_path) as harness:
        client = GrpcClient(harness)
        ticket = client.get_ticket("SELECT 1 /* lab work=60 */")
        started_at = time.monotonic()
        status = assert_fails(
            grpc.StatusCode.UNAVAILABLE, "in time", lambda: client.call_stream("DoGet", ticket, timeout=0.5)
        )
        assert time.monotonic() - started_at < 0.5 and status.retry_after() is not None
        harness.wait_until(lambda: bool(harness.events_of_kind("stopped")))


# --- invalid requests ---


def send_invalid_ticket(client: GrpcClient) -> None:
    client.call_stream("DoGet", flight.Ticket(ticket=b"\xff\xfe nonsense"))


def send_forged_handle(client: GrpcClient) -> None:
    handle = bytearray(handles.pack(handles.make("SELECT 1")))
    handle[-1] ^= 1
    client.call_stream(
        "DoGet", flight.Ticket(ticket=encode_any(sql.TicketStatementQuery(statement_handle=bytes(handle))))
    )


def send_unknown_command(client: GrpcClient) -> None:
    client.call_unary("GetFlightInfo", descriptor(flight.Ticket()), flight.FlightInfo)


def send_path_descriptor(client: GrpcClient) -> None:
    client.call_unary("GetFlightInfo", flight.FlightDescriptor(path=["a"]), flight.FlightInfo)


def send_transaction(client: GrpcClient) -> None:
    client.call_unary(
        "GetFlightInfo", descriptor(sql.CommandStatementQuery(query="SELECT 1", transaction_id=b"t")), Message
    )


@pytest.mark.parametrize(
    ("send_request", "code", "text"),
    [
        (send_invalid_ticket, grpc.StatusCode.INVALID_ARGUMENT, "Ticket.ticket cannot be decoded"),
        (send_forged_handle, grpc.StatusCode.NOT_FOUND, "ticket is invalid: its digest does not match"),
        (send_unknown_command, grpc.StatusCode.UNIMPLEMENTED, "Ticket"),
        (send_path_descriptor, grpc.StatusCode.UNIMPLEMENTED, "command"),
        (send_transaction, grpc.StatusCode.UNIMPLEMENTED, "transactions"),
        (
            lambda client: client.do_action("BeginTransaction", b""),
            grpc.StatusCode.UNIMPLEMENTED,
            "BeginTransaction",
        ),
        (
            lambda client: client.do_action("CreatePreparedStatement", b"x"),
            grpc.StatusCode.INVALID_ARGUMENT,
            "Prepared",
        ),
        (lambda client: client.get_ticket("SELECT (("), grpc.StatusCode.INVALID_ARGUMENT, "line 1"),
        (lambda client: client.get_ticket(" "), grpc.StatusCode.INVALID_ARGUMENT, "empty"),
        (
            lambda client: client.get_ticket("SELECT 'open"),
            grpc.StatusCode.INVALID_ARGUMENT,
            "does not parse",
        ),
        (
            lambda client: client.get_ticket("SELECT " + "(" * 5_000),
            grpc.StatusCode.INVALID_ARGUMENT,
            "does not parse",
        ),
        (
            lambda client: client.get_ticket("SELECT 1", metadata=(("saffronlane-class", "nothing"),)),
            grpc.StatusCode.INVALID_ARGUMENT,
            "header saffronlane-class",
        ),
        (
            lambda client: client.get_ticket("SELECT 1", metadata=(("saffronlane-cost", "nan"),)),
            grpc.StatusCode.INVALID_ARGUMENT,
            "header saffronlane-cost",
        ),
        (
            lambda client: client.get_ticket("DELETE FROM t", metadata=(("saffronlane-class", "lookup"),)),
            grpc.StatusCode.FAILED_PRECONDITION,
            "may repeat it",
        ),
        (
            lambda client: client.get_ticket(
                "SELECT 1", metadata=(("cookie", "arrow_flight_session_id=gone"),)
            ),
            grpc.StatusCode.UNAUTHENTICATED,
            "session",
        ),
        (
            lambda client: client.get_ticket("SELECT 1", metadata=(("authorization", "Basic ???"),)),
            grpc.StatusCode.UNAUTHENTICATED,
            "authorization",
        ),
        (lambda client: client.do_put(flight.Ticket()), grpc.StatusCode.UNIMPLEMENTED, "DoPut"),
        (
            lambda client: client.call_stream("ListFlights", flight.Criteria()),
            grpc.StatusCode.UNIMPLEMENTED,
            "ListFlights",
        ),
    ],
)
def test_invalid_request_is_rejected_and_the_gateway_keeps_serving(
    shared_harness: GatewayHarness, send_request: Any, code: grpc.StatusCode, text: str
) -> None:
    client = GrpcClient(shared_harness)
    assert_fails(code, text, send_request, client)
    assert len(client.call_stream("DoGet", client.get_ticket("SELECT 1"))) == 2


def test_unparsable_statement_is_forwarded_if_sql_is_not_strict(tmp_path: Path) -> None:
    """The class must allow writes, because the gateway cannot tell whether the statement writes."""
    with running_harness(tmp_path, sql={"strict": False}) as harness:
        client = GrpcClient(harness)
        headers = (("saffronlane-class", "change"),)
        ticket = client.get_ticket("this is no SQL at all", metadata=headers)
        assert len(client.call_stream("DoGet", ticket, metadata=headers)) == 2


# --- results ---


def test_result_batches_are_forwarded_unchanged(shared_harness: GatewayHarness) -> None:
    client = GrpcClient(shared_harness)
    data = client.call_stream("DoGet", client.get_ticket("SELECT 1 /* lab rows=10 batches=3 */"))
    from saffronlane.lab.engine import result_of

    assert data == result_of(10, 3)


def test_large_result_is_streamed_with_a_bounded_buffer(tmp_path: Path) -> None:
    """While the client does not read, the rest of the result stays at the engine."""
    with running_harness(tmp_path, engines=1) as harness:
        client = GrpcClient(harness)
        ticket = client.get_ticket("SELECT 1 /* lab rows=20000 batches=400 */")  # about 150 MB
        call = client.channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())
        first_message = next(call)
        time.sleep(0.5)
        (connection,) = harness.daemon.server.connections
        http = connection.transport.http
        queued_bytes = sum(http.queued_bytes(stream) for stream in list(http.streams))
        assert queued_bytes < 4_000_000
        assert not harness.events_of_kind("answered")  # the engine waits for flow-control credit
        size = len(first_message) + sum(len(message) for message in call)
        assert size > 100_000_000
        harness.wait_until(
            lambda: bool(harness.events_of_kind("answered")) and harness.daemon.dispatcher.pending_count == 0
        )


def test_engine_crash_during_streaming_fails_the_call_without_another_attempt(tmp_path: Path) -> None:
    with running_harness(tmp_path, engines=2) as harness:
        client = GrpcClient(harness)
        ticket = client.get_ticket("SELECT 1 /* lab rows=20000 batches=400 */")
        call = client.channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())
        next(call)
        busy_engine = harness.events_of_kind("ran")[0]["engine"]
        harness.call_in_loop(harness.engines[busy_engine].crash)
        assert_fails(grpc.StatusCode.UNAVAILABLE, "", lambda: list(call))
        # The request is not retried, because a part of the result has reached the client.
        assert len(harness.events_of_kind("ran")) == 1
        harness.wait_until(lambda: harness.daemon.dispatcher.in_flight_count == 0)


def test_lost_answer_is_retried_at_another_engine(tmp_path: Path) -> None:
    with running_harness(
        tmp_path, engines=2, note_period=0.1, signals={"note_period_s": 0.1, "work_told": True}
    ) as harness:
        client = GrpcClient(harness)
        harness.call_in_loop(lambda: setattr(harness.engines["e0"].faults, "lose", 1.0))
        for _ in range(6):
            assert (
                len(client.call_stream("DoGet", client.get_ticket("SELECT * FROM t /* lab work=0.01 */")))
                == 2
            )
        lost_at = {event["request"]: event["at"] for event in harness.events_of_kind("lost")}
        for request, time_of_loss in lost_at.items():
            retries = [
                event
                for event in harness.events_of_kind("sent")
                if event["request"] == request and event["attempt"] == "1"
            ]
            assert len(retries) == 1 and retries[0]["at"] > time_of_loss


def test_gzip_compressed_request_is_accepted(shared_harness: GatewayHarness) -> None:
    channel = grpc.insecure_channel(
        f"127.0.0.1:{shared_harness.daemon.port}", compression=grpc.Compression.Gzip
    )
    command = descriptor(sql.CommandStatementQuery(query="SELECT 1"))
    answer = channel.unary_unary(SERVICE + "GetFlightInfo")(command.SerializeToString())
    assert flight.FlightInfo.FromString(answer).endpoint


def test_ticket_is_valid_after_a_restart_of_the_gateway(tmp_path: Path) -> None:
    with running_harness(tmp_path) as first:
        ticket = GrpcClient(first).get_ticket("SELECT 1")
    with running_harness(tmp_path) as second:
        assert len(GrpcClient(second).call_stream("DoGet", ticket)) == 2


def test_adbc_reads_the_arrow_schema_of_the_engine(shared_harness: GatewayHarness) -> None:
    with connect(shared_harness) as connection, connection.cursor() as cursor:
        cursor.execute("SELECT 1 /* lab rows=1 */")
        assert cursor.fetch_arrow_table().schema == pa.schema([("id", pa.int64()), ("name", pa.string())])


def test_polled_result_that_is_not_fetched_is_discarded(tmp_path: Path) -> None:
    with running_harness(
        tmp_path, front={"poll_keep_s": 0.1}, connections={"hold_back_bytes": 1_000}
    ) as harness:
        client = GrpcClient(harness)
        query = "SELECT 1 /* lab rows=500 batches=60 */"
        client.call_unary(
            "PollFlightInfo", descriptor(sql.CommandStatementQuery(query=query)), flight.PollInfo
        )
        harness.wait_until(
            lambda: (
                not harness.daemon.flight_service._polled_queries and not harness.daemon.executor._requests
            )
        )
        assert harness.daemon.dispatcher.pending_count == 0


def test_connection_pool_of_a_removed_engine_is_closed_after_its_last_attempt(tmp_path: Path) -> None:
    with running_harness(tmp_path, engines=1) as harness:
        client = GrpcClient(harness)
        ticket = client.get_ticket("SELECT 1 /* lab work=0.3 */")
        call = client.channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())
        harness.wait_until(lambda: bool(harness.events_of_kind("ran")))
        del harness.engine_states["e0"]
        harness.call_in_loop(harness.publish_list)
        harness.wait_until(lambda: not list(harness.daemon.engine_list_view.snapshot))
        assert len(list(call)) == 2
        harness.wait_until(lambda: not harness.daemon.transport._pools)


def test_long_error_message_of_an_engine_reaches_the_client_as_a_status(tmp_path: Path) -> None:
    """Clients reject trailers above 8 KB and would see no status at all, so the message is truncated."""
    with running_harness(tmp_path, engines=1) as harness:
        message = "wrong " * 2_000

        async def fail(*_: object) -> None:
            raise RpcError(detailed_status(Code.INVALID_ARGUMENT, message, "WRONG", None))

        def install_handler() -> None:
            server = harness.engines["e0"]._server
            assert server is not None
            server.handlers[SERVICE + "DoGet"] = fail

        harness.call_in_loop(install_handler)
        client = GrpcClient(harness)
        ticket = client.get_ticket("SELECT 1")
        assert_fails(
            grpc.StatusCode.INVALID_ARGUMENT, "wrong wrong", lambda: client.call_stream("DoGet", ticket)
        )


def test_header_with_an_invalid_value_is_not_forwarded() -> None:
    items = (
        ("x-good", "1"),
        ("x-odd", "caf\u00e9"),
        ("x-raw-bin", b"\xff"),
        ("other", "2"),
        ("traceparent", "3"),
    )
    call = ServerCall.__new__(ServerCall)
    call.metadata = Metadata(items)
    assert _forwarded_headers(call) == (("x-good", "1"), ("x-raw-bin", b"\xff"), ("traceparent", "3"))
