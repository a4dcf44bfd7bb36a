"""Drivers that others wrote against the daemon: ADBC, pyarrow.flight, and grpcio for what they cannot say."""

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
from gateways import House, house
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
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[House]:
    with house(tmp_path_factory.mktemp("house")) as built:
        yield built


def connect(house: House, **headers: str) -> Any:
    prefix = "adbc.flight.sql.rpc.call_header."
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        return adbc.connect(house.url, {prefix + k: v for k, v in headers.items()}, autocommit=True)


def packed(message: Message) -> bytes:
    box = AnyMessage()
    box.Pack(message)
    return box.SerializeToString()


def descriptor(message: Message) -> flight.FlightDescriptor:
    return flight.FlightDescriptor(type=flight.FlightDescriptor.CMD, cmd=packed(message))


class Raw:
    """grpcio, with our messages."""

    def __init__(self, house: House) -> None:
        self.channel = grpc.insecure_channel(f"127.0.0.1:{house.daemon.port}")

    def one(self, method: str, request: Message, kind: type[Message], **options: Any) -> Any:
        call = self.channel.unary_unary(SERVICE + method)
        return kind.FromString(call(request.SerializeToString(), timeout=10, **options))

    def many(self, method: str, request: Message, timeout: float = 10.0, **options: Any) -> list[bytes]:
        call = self.channel.unary_stream(SERVICE + method)
        return list(call(request.SerializeToString(), timeout=timeout, **options))

    def put(self, message: Message, *parts: bytes, **options: Any) -> list[bytes]:
        first = flight.FlightData(flight_descriptor=descriptor(message)).SerializeToString()
        call = self.channel.stream_stream(SERVICE + "DoPut")
        return list(call(iter([first, *parts]), timeout=10, **options))

    def act(self, kind: str, body: bytes, **options: Any) -> list[bytes]:
        action = flight.Action(type=kind, body=body)
        return [flight.Result.FromString(r).body for r in self.many("DoAction", action, **options)]

    def ticket(self, query: str, **options: Any) -> flight.Ticket:
        asked = descriptor(sql.CommandStatementQuery(query=query))
        info = self.one("GetFlightInfo", asked, flight.FlightInfo, **options)
        return info.endpoint[0].ticket


def fails(code: grpc.StatusCode, text: str, work: Any, *args: Any, **options: Any) -> Status:
    with pytest.raises(grpc.RpcError) as caught:
        work(*args, **options)
    error = caught.value
    assert error.code() is code, error.details()
    assert text in error.details()
    raw = dict(error.trailing_metadata()).get("grpc-status-details-bin", b"")
    return Status(Code.UNKNOWN, error.details(), raw)


# --- drivers ---


def test_an_adbc_cursor_gets_its_rows(shared: House) -> None:
    with connect(shared) as connection, connection.cursor() as cursor:
        cursor.execute("SELECT * FROM plays /* lab rows=3 */")
        assert cursor.fetchall() == [(0, "row 0"), (1, "row 1"), (2, "row 2")]


def test_adbc_binds_parameters_and_runs_an_update(shared: House) -> None:
    with connect(shared) as connection, connection.cursor() as cursor:
        cursor.execute("SELECT * FROM plays WHERE id = ? /* lab rows=2 */", (7,))
        assert len(cursor.fetchall()) == 2
        cursor.adbc_statement.set_sql_query("INSERT INTO plays VALUES (1) /* lab rows=5 */")
        assert cursor.adbc_statement.execute_update() == 5


def test_adbc_reads_who_it_talks_to(shared: House) -> None:
    with connect(shared) as connection:
        assert connection.adbc_get_info()["vendor_name"] == "saffronlane"


def test_adbc_sees_a_refusal_as_an_error_with_its_text(shared: House) -> None:
    wrong = pytest.raises(adbc_driver_manager.Error, match="does not parse")
    with connect(shared) as connection, connection.cursor() as cursor, wrong:
        cursor.execute("SELEC nothing FRM")


def test_pyarrow_reads_a_stream_of_batches(shared: House) -> None:
    with paf.FlightClient(shared.url) as client:
        asked = packed(sql.CommandStatementQuery(query="SELECT * FROM t /* lab rows=1000 batches=50 */"))
        info = client.get_flight_info(paf.FlightDescriptor.for_command(asked))
        table = client.do_get(info.endpoints[0].ticket).read_all()
        assert table.num_rows == 50_000
        assert {a.type for a in client.list_actions()} >= {"CloseSession", "CancelFlightInfo"}


def test_many_clients_at_once_get_their_own_answers(shared: House) -> None:
    got: dict[int, int] = {}

    def work(number: int) -> None:
        with connect(shared) as connection, connection.cursor() as cursor:
            for _ in range(5):
                cursor.execute(f"SELECT {number} FROM t /* lab rows={number} */")
                got[number] = len(cursor.fetchall())

    threads = [threading.Thread(target=work, args=(n,)) for n in range(1, 9)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20.0)
    assert got == {n: n for n in range(1, 9)}
    shared.until(lambda: shared.daemon.dispatcher.pending_count == 0 and not shared.daemon.executor._requests)


# --- sessions ---


def test_a_session_keeps_its_options_by_cookie(shared: House) -> None:
    raw = Raw(shared)
    request = flight.SetSessionOptionsRequest()
    request.session_options["class"].string_value = "report"
    request.session_options["tenant"].string_value = "nobody"
    request.session_options["colour"].string_value = "red"
    action = flight.Action(type="SetSessionOptions", body=request.SerializeToString())
    call = raw.channel.unary_stream(SERVICE + "DoAction")(action.SerializeToString())
    cookie = dict(call.initial_metadata())["set-cookie"].split(";")[0]
    result = flight.SetSessionOptionsResult.FromString(flight.Result.FromString(next(call)).body)
    assert {n: e.value for n, e in result.errors.items()} == {
        "colour": flight.SetSessionOptionsResult.INVALID_NAME,
        "tenant": flight.SetSessionOptionsResult.INVALID_VALUE,
    }
    held = (("cookie", cookie),)
    (body,) = raw.act("GetSessionOptions", b"", metadata=held)
    options = flight.GetSessionOptionsResult.FromString(body).session_options
    assert {n: v.string_value for n, v in options.items()} == {"class": "report"}
    assert raw.act("CloseSession", b"", metadata=held)
    status = fails(grpc.StatusCode.UNAUTHENTICATED, "ended", raw.ticket, "SELECT 1", metadata=held)
    assert status.reason() == "SESSION_UNKNOWN"


def test_an_idle_session_ends(tmp_path: Path) -> None:
    with house(tmp_path, sessions={"idle_s": 0.05}) as built:
        raw = Raw(built)
        call = raw.channel.stream_stream(SERVICE + "Handshake")(iter([b""]))
        token = dict(call.initial_metadata())["authorization"]
        raw.ticket("SELECT 1", metadata=(("authorization", token),))
        time.sleep(0.1)
        fails(
            grpc.StatusCode.UNAUTHENTICATED,
            "ended",
            raw.ticket,
            "SELECT 1",
            metadata=(("authorization", token),),
        )


def test_sessions_are_bounded(tmp_path: Path) -> None:
    with house(tmp_path, sessions={"most": 2}) as built:
        raw = Raw(built)
        shake = raw.channel.stream_stream(SERVICE + "Handshake")
        for _ in range(2):
            list(shake(iter([b""])))
        fails(grpc.StatusCode.RESOURCE_EXHAUSTED, "2 sessions", lambda: list(shake(iter([b""]))))


def test_adbc_logs_in_and_its_user_is_matched(tmp_path: Path) -> None:
    matchers = [{"user": "curator", "class": "report"}, {"kind": "write", "class": "change"}]
    with house(tmp_path, matchers=matchers) as built, warnings.catch_warnings():
        warnings.simplefilter("ignore")
        options = {"username": "curator", "password": "x"}
        with adbc.connect(built.url, options, autocommit=True) as connection, connection.cursor() as cursor:
            cursor.execute("SELECT * FROM plays")
            assert len(cursor.fetchall()) == 1
        learned = built.daemon.dispatcher.gateway.workload_estimates.estimators
        assert [k.answer_count for k in learned] == [0, 1, 0]


# --- polling and cancelling ---


def test_a_polled_query_tells_its_progress_and_keeps_its_result(tmp_path: Path) -> None:
    with house(tmp_path, note_period=0.05) as built:
        raw = Raw(built)
        asked = descriptor(sql.CommandStatementQuery(query="SELECT 1 /* lab work=0.8 rows=4 */"))
        seen = []
        while True:
            poll = raw.one("PollFlightInfo", asked, flight.PollInfo)
            seen.append(poll.progress)
            if not poll.HasField("flight_descriptor"):
                break
            asked = poll.flight_descriptor
        assert seen == sorted(seen) and 0.0 < max(seen[:-1]) < 1.0 and seen[-1] == 1.0
        data = raw.many("DoGet", poll.info.endpoint[0].ticket)
        assert len(data) == 2
        assert len(built.seen("ran")) == 1
        ticket = poll.info.endpoint[0].ticket
        assert len(raw.many("DoGet", ticket)) == 2  # the ticket is whole: a second DoGet is a new request
        assert len(built.seen("ran")) == 2


def test_a_polled_query_larger_than_what_is_held_back_is_fetched_whole(tmp_path: Path) -> None:
    with house(tmp_path, connections={"hold_back_bytes": 10_000}) as built:
        raw = Raw(built)
        asked = descriptor(sql.CommandStatementQuery(query="SELECT 1 /* lab rows=500 batches=60 */"))
        poll = raw.one("PollFlightInfo", asked, flight.PollInfo)
        while poll.HasField("flight_descriptor"):
            poll = raw.one("PollFlightInfo", poll.flight_descriptor, flight.PollInfo)
        assert len(raw.many("DoGet", poll.info.endpoint[0].ticket)) == 61
        built.until(lambda: built.daemon.dispatcher.pending_count == 0)


def test_a_polled_query_that_fails_says_so_once(tmp_path: Path) -> None:
    with house(tmp_path) as built:
        for engine in built.engines.values():
            built.call(lambda engine=engine: setattr(engine.faults, "error", 1.0))  # type: ignore[misc]
        raw = Raw(built)
        asked = descriptor(sql.CommandStatementQuery(query="SELECT 1"))

        def poll_on() -> None:
            at = asked
            for _ in range(100):
                at = raw.one("PollFlightInfo", at, flight.PollInfo).flight_descriptor

        fails(grpc.StatusCode.UNAVAILABLE, "fault of the engine", poll_on)


def test_cancel_flight_info_ends_the_query_at_its_engine(tmp_path: Path) -> None:
    with house(tmp_path) as built:
        raw = Raw(built)
        ticket = raw.ticket("SELECT 1 /* lab work=60 */")
        call = raw.channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())
        built.until(lambda: bool(built.seen("ran")))
        info = flight.FlightInfo(endpoint=[flight.FlightEndpoint(ticket=ticket)])
        request = flight.CancelFlightInfoRequest(info=info).SerializeToString()
        (body,) = raw.act("CancelFlightInfo", request)
        assert flight.CancelFlightInfoResult.FromString(body).status == flight.CANCEL_STATUS_CANCELLED
        fails(grpc.StatusCode.CANCELLED, "cancelled", lambda: list(call))
        built.until(lambda: bool(built.seen("stopped")))
        (body,) = raw.act("CancelFlightInfo", request)
        assert flight.CancelFlightInfoResult.FromString(body).status == flight.CANCEL_STATUS_NOT_CANCELLABLE


def test_a_client_that_goes_away_stops_its_query(tmp_path: Path) -> None:
    with house(tmp_path) as built:
        raw = Raw(built)
        call = raw.channel.unary_stream(SERVICE + "DoGet")(
            raw.ticket("SELECT 1 /* lab work=60 */").SerializeToString()
        )
        built.until(lambda: bool(built.seen("ran")))
        call.cancel()
        built.until(lambda: bool(built.seen("stopped")))
        built.until(
            lambda: not built.daemon.executor._requests and not built.daemon.flight_service._running_requests
        )


def test_the_clients_time_ends_a_query_before_the_client_gives_up(tmp_path: Path) -> None:
    with house(tmp_path) as built:
        raw = Raw(built)
        ticket = raw.ticket("SELECT 1 /* lab work=60 */")
        began = time.monotonic()
        status = fails(grpc.StatusCode.UNAVAILABLE, "in time", lambda: raw.many("DoGet", ticket, timeout=0.5))
        assert time.monotonic() - began < 0.5 and status.retry_after() is not None
        built.until(lambda: bool(built.seen("stopped")))


# --- bad input: a clear status, and nobody else is disturbed ---


def wrong_ticket(raw: Raw) -> None:
    raw.many("DoGet", flight.Ticket(ticket=b"\xff\xfe nonsense"))


def forged_handle(raw: Raw) -> None:
    handle = bytearray(handles.pack(handles.make("SELECT 1")))
    handle[-1] ^= 1
    raw.many("DoGet", flight.Ticket(ticket=packed(sql.TicketStatementQuery(statement_handle=bytes(handle)))))


def unknown_command(raw: Raw) -> None:
    raw.one("GetFlightInfo", descriptor(flight.Ticket()), flight.FlightInfo)


def path_descriptor(raw: Raw) -> None:
    raw.one("GetFlightInfo", flight.FlightDescriptor(path=["a"]), flight.FlightInfo)


def transaction(raw: Raw) -> None:
    raw.one(
        "GetFlightInfo", descriptor(sql.CommandStatementQuery(query="SELECT 1", transaction_id=b"t")), Message
    )


@pytest.mark.parametrize(
    ("work", "code", "text"),
    [
        (wrong_ticket, grpc.StatusCode.INVALID_ARGUMENT, "Ticket.ticket cannot be decoded"),
        (forged_handle, grpc.StatusCode.NOT_FOUND, "ticket is invalid: its digest does not match"),
        (unknown_command, grpc.StatusCode.UNIMPLEMENTED, "Ticket"),
        (path_descriptor, grpc.StatusCode.UNIMPLEMENTED, "command"),
        (transaction, grpc.StatusCode.UNIMPLEMENTED, "transactions"),
        (lambda raw: raw.act("BeginTransaction", b""), grpc.StatusCode.UNIMPLEMENTED, "BeginTransaction"),
        (lambda raw: raw.act("CreatePreparedStatement", b"x"), grpc.StatusCode.INVALID_ARGUMENT, "Prepared"),
        (lambda raw: raw.ticket("SELECT (("), grpc.StatusCode.INVALID_ARGUMENT, "line 1"),
        (lambda raw: raw.ticket(" "), grpc.StatusCode.INVALID_ARGUMENT, "empty"),
        (lambda raw: raw.ticket("SELECT 'open"), grpc.StatusCode.INVALID_ARGUMENT, "does not parse"),
        (lambda raw: raw.ticket("SELECT " + "(" * 5_000), grpc.StatusCode.INVALID_ARGUMENT, "does not parse"),
        (
            lambda raw: raw.ticket("SELECT 1", metadata=(("saffronlane-class", "nothing"),)),
            grpc.StatusCode.INVALID_ARGUMENT,
            "header saffronlane-class",
        ),
        (
            lambda raw: raw.ticket("SELECT 1", metadata=(("saffronlane-cost", "nan"),)),
            grpc.StatusCode.INVALID_ARGUMENT,
            "header saffronlane-cost",
        ),
        (
            lambda raw: raw.ticket("DELETE FROM t", metadata=(("saffronlane-class", "lookup"),)),
            grpc.StatusCode.FAILED_PRECONDITION,
            "may repeat it",
        ),
        (
            lambda raw: raw.ticket("SELECT 1", metadata=(("cookie", "arrow_flight_session_id=gone"),)),
            grpc.StatusCode.UNAUTHENTICATED,
            "session",
        ),
        (
            lambda raw: raw.ticket("SELECT 1", metadata=(("authorization", "Basic ???"),)),
            grpc.StatusCode.UNAUTHENTICATED,
            "authorization",
        ),
        (lambda raw: raw.put(flight.Ticket()), grpc.StatusCode.UNIMPLEMENTED, "DoPut"),
        (
            lambda raw: raw.many("ListFlights", flight.Criteria()),
            grpc.StatusCode.UNIMPLEMENTED,
            "ListFlights",
        ),
    ],
)
def test_bad_input_has_a_clear_status(shared: House, work: Any, code: grpc.StatusCode, text: str) -> None:
    raw = Raw(shared)
    fails(code, text, work, raw)
    assert len(raw.many("DoGet", raw.ticket("SELECT 1"))) == 2


def test_a_query_that_the_engine_finds_wrong_fails_with_its_word(tmp_path: Path) -> None:
    with house(tmp_path, sql={"strict": False}) as built:
        raw = Raw(built)
        headers = (("saffronlane-class", "change"),)
        ticket = raw.ticket("this is no SQL at all", metadata=headers)
        assert (
            len(raw.many("DoGet", ticket, metadata=headers)) == 2
        )  # passed on as it is, to a class for writes


# --- results ---


def test_batches_pass_through_as_bytes(shared: House) -> None:
    raw = Raw(shared)
    data = raw.many("DoGet", raw.ticket("SELECT 1 /* lab rows=10 batches=3 */"))
    from saffronlane.lab.engine import result_of

    assert data == result_of(10, 3)


def test_a_large_result_is_passed_on_without_being_gathered(tmp_path: Path) -> None:
    """A client that does not read holds the engine back; the gateway keeps a bounded part."""
    with house(tmp_path, engines=1) as built:
        raw = Raw(built)
        ticket = raw.ticket("SELECT 1 /* lab rows=20000 batches=400 */")  # about 150 MB
        call = raw.channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())
        first = next(call)
        time.sleep(0.5)
        (connection,) = built.daemon.server.connections
        http = connection.transport.http
        kept = sum(http.queued_bytes(stream) for stream in list(http.streams))
        assert kept < 4_000_000
        assert not built.seen("answered")  # the engine waits
        size = len(first) + sum(len(m) for m in call)
        assert size > 100_000_000
        built.until(lambda: bool(built.seen("answered")) and built.daemon.dispatcher.pending_count == 0)


def test_a_result_half_passed_on_ends_in_an_error_when_its_engine_dies(tmp_path: Path) -> None:
    with house(tmp_path, engines=2) as built:
        raw = Raw(built)
        ticket = raw.ticket("SELECT 1 /* lab rows=20000 batches=400 */")
        call = raw.channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())
        next(call)
        busy = built.seen("ran")[0]["engine"]
        built.call(built.engines[busy].crash)
        fails(grpc.StatusCode.UNAVAILABLE, "", lambda: list(call))
        assert len(built.seen("ran")) == 1  # a byte had left: no other attempt
        built.until(lambda: built.daemon.dispatcher.in_flight_count == 0)


def test_an_answer_that_goes_missing_is_found_elsewhere(tmp_path: Path) -> None:
    with house(
        tmp_path, engines=2, note_period=0.1, signals={"note_period_s": 0.1, "work_told": True}
    ) as built:
        raw = Raw(built)
        built.call(lambda: setattr(built.engines["e0"].faults, "lose", 1.0))
        for _ in range(6):
            assert len(raw.many("DoGet", raw.ticket("SELECT * FROM t /* lab work=0.01 */"))) == 2
        lost = {e["request"]: e["at"] for e in built.seen("lost")}
        for request, at in lost.items():
            repeats = [e for e in built.seen("sent") if e["request"] == request and e["attempt"] == "1"]
            assert len(repeats) == 1 and repeats[0]["at"] > at


def test_gzip_clients_are_served(shared: House) -> None:
    channel = grpc.insecure_channel(f"127.0.0.1:{shared.daemon.port}", compression=grpc.Compression.Gzip)
    asked = descriptor(sql.CommandStatementQuery(query="SELECT 1"))
    answer = channel.unary_unary(SERVICE + "GetFlightInfo")(asked.SerializeToString())
    assert flight.FlightInfo.FromString(answer).endpoint


def test_tickets_survive_a_restart_of_the_gateway(tmp_path: Path) -> None:
    with house(tmp_path) as first:
        ticket = Raw(first).ticket("SELECT 1")
    with house(tmp_path) as second:
        assert len(Raw(second).many("DoGet", ticket)) == 2


def test_pyarrow_reads_the_same_arrow_types(shared: House) -> None:
    with connect(shared) as connection, connection.cursor() as cursor:
        cursor.execute("SELECT 1 /* lab rows=1 */")
        assert cursor.fetch_arrow_table().schema == pa.schema([("id", pa.int64()), ("name", pa.string())])


def test_a_polled_result_that_nobody_fetches_is_given_up(tmp_path: Path) -> None:
    with house(tmp_path, front={"poll_keep_s": 0.1}, connections={"hold_back_bytes": 1_000}) as built:
        raw = Raw(built)
        query = "SELECT 1 /* lab rows=500 batches=60 */"
        raw.one("PollFlightInfo", descriptor(sql.CommandStatementQuery(query=query)), flight.PollInfo)
        built.until(
            lambda: not built.daemon.flight_service._polled_queries and not built.daemon.executor._requests
        )
        assert built.daemon.dispatcher.pending_count == 0


def test_the_pool_of_an_engine_that_left_while_it_worked_goes_too(tmp_path: Path) -> None:
    with house(tmp_path, engines=1) as built:
        raw = Raw(built)
        ticket = raw.ticket("SELECT 1 /* lab work=0.3 */")
        call = raw.channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())
        built.until(lambda: bool(built.seen("ran")))
        del built.states["e0"]
        built.call(built.publish)
        built.until(lambda: not list(built.daemon.view.snapshot))
        assert len(list(call)) == 2
        built.until(lambda: not built.daemon.transport._pools)


def test_an_engines_endless_error_still_reaches_the_client_as_a_status(tmp_path: Path) -> None:
    """Clients turn away trailers past 8 KB, and would see no status at all."""
    with house(tmp_path, engines=1) as built:
        words = "wrong " * 2_000

        async def wrong(*_: object) -> None:
            raise RpcError(detailed_status(Code.INVALID_ARGUMENT, words, "WRONG", None))

        def install() -> None:
            server = built.engines["e0"]._server
            assert server is not None
            server.handlers[SERVICE + "DoGet"] = wrong

        built.call(install)
        raw = Raw(built)
        ticket = raw.ticket("SELECT 1")
        fails(grpc.StatusCode.INVALID_ARGUMENT, "wrong wrong", lambda: raw.many("DoGet", ticket))


def test_a_header_that_cannot_be_passed_on_is_left_out() -> None:
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
