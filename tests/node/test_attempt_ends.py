"""The outcomes of attempts at compute nodes, and how the connections to them end."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec
import pytest
from platform_world import (
    ROWS,
    SETTINGS,
    ComputeNode,
    ComputeNodeConnection,
    Harness,
    Script,
    answer_fetches,
    member,
)

from saffronlane.interface import Outcome
from saffronlane.platform.upstream import connection as connection_module

from .support import (
    REQUEST_ID,
    assume_default_open_descriptors,
    never_answer,
    on_first_request,
    record_outcomes,
    request_id,
    run_with_harness,
)


async def failed_status(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send(command[1], b"BROKE", b"-", b"")


async def not_run_status(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send(command[1], b"PAST", b"-", b"")


async def rejected_status(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send(command[1], b"WAIT", b"-", b"")


async def abort_connection(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.abort()


async def invalid_protocol(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send_raw(b"\x00\xff noise \r\n" * 3)


async def oversized_element(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send_raw(
        b"*4\r\n$16\r\n" + command[1] + b"\r\n$4\r\nDONE\r\n$1\r\n-\r\n$3000000000\r\nxxxxxxx"
    )


async def wrong_column_count(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send_result(command[1], b"only\ttwo\n")


async def invalid_utf8(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send_result(command[1], b"a\t\xff\xfe\tc\n")


async def incomplete_row(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send_result(command[1], b"a\tb\tc\na\tb")


async def invalid_page_count(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send(command[1], b"DONE", b"sheets=-3", ROWS)


async def unknown_status(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send(command[1], b"MAYBE", b"-", ROWS)


async def abort_between_pages(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    if command[0] == b"fetch":
        connection.send_result(command[1], ROWS, 3)
    else:
        connection.abort()


async def failed_page(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    if command[0] == b"fetch":
        connection.send_result(command[1], ROWS, 3)
    elif command[0] == b"more":
        connection.send(command[1], b"BROKE", b"-", b"")


async def oversized_result(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    page = b"a\tb\t%b\n" % (b"c" * 5900)
    if command[0] == b"fetch":
        connection.send_result(command[1], page, 9)
    elif command[0] == b"more":
        connection.send(command[1], b"MORE", b"sheet=" + command[2], page)


async def stalled_response(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    connection.send_raw(b"*4\r\n$16\r\n" + command[1][:5])


OUTCOMES_BY_SCRIPT = [
    (failed_status, Outcome.ERROR),
    (not_run_status, Outcome.REJECTED),
    (rejected_status, Outcome.REJECTED),
    (abort_connection, Outcome.RESET),
    (invalid_protocol, Outcome.RESET),
    (oversized_element, Outcome.RESET),
    (stalled_response, Outcome.RESET),
    (wrong_column_count, Outcome.ERROR),
    (invalid_utf8, Outcome.ERROR),
    (incomplete_row, Outcome.ERROR),
    (invalid_page_count, Outcome.ERROR),
    (unknown_status, Outcome.ERROR),
    (abort_between_pages, Outcome.RESET),
    (failed_page, Outcome.ERROR),
    (oversized_result, Outcome.ERROR),
]


@pytest.mark.parametrize(
    ("script", "outcome"), OUTCOMES_BY_SCRIPT, ids=lambda x: getattr(x, "__name__", None)
)
def test_failed_attempt_has_expected_outcome_and_retry_succeeds(script: Script, outcome: Outcome) -> None:
    """A failed or invalid response ends the attempt, not the request: the request is retried and answered."""

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        client = await harness.client()
        assert await client.read_answer(client.call("ask", REQUEST_ID)) == (None, [ROWS, {}])
        assert outcomes == [outcome, Outcome.OK]
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    shared_script = on_first_request(script)
    run_with_harness(scenario, shared_script, shared_script)


async def _send_unsafe_request(harness: Harness, timeout: float = 5.0) -> tuple[list[Outcome], Any]:
    """Send a request of an unsafe class; return the outcomes of its attempts, and its answer."""
    outcomes = record_outcomes(harness)
    client = await harness.client()
    return outcomes, await client.read_answer(client.call("frail", REQUEST_ID), timeout)


def test_unsafe_request_is_rejected_if_connections_are_refused() -> None:
    async def scenario(harness: Harness) -> None:
        harness.compute_nodes[0].close()
        outcomes, (error, _) = await _send_unsafe_request(harness)
        assert set(outcomes) == {Outcome.CONNECT_FAILED}
        assert error[0] == "Shed"  # an unsafe request may be rejected only if it certainly did not run

    run_with_harness(scenario)


def test_unsafe_request_fails_if_its_connection_is_reset() -> None:
    async def scenario(harness: Harness) -> None:
        outcomes, (error, _) = await _send_unsafe_request(harness)
        assert outcomes == [Outcome.RESET] and error[0] == "Fault"

    run_with_harness(scenario, abort_connection)


def test_unanswered_attempt_ends_at_its_timeout_and_its_connection_closes() -> None:
    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        client = await harness.client()
        error, _ = await client.read_answer(client.call("ask", REQUEST_ID, budget="600"))
        assert error[0] in ("Shed", "Fault")
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"abort"))
        await harness.wait_until(lambda: outcomes)
        assert outcomes[0] in (Outcome.TIMEOUT, Outcome.CANCELLED)
        # Nothing was received since the attempt was sent: the connection accepts no new attempt and closes.
        upstream = harness.server.upstream
        assert not any(
            connection.has_capacity(b"x", 32)
            for connection in upstream.pool.connections_by_engine.get(b"node-0", ())
        )
        await harness.wait_until(lambda: not upstream.pool.connections_by_engine)

    run_with_harness(scenario, never_answer)


def test_late_response_to_cancelled_attempt_is_dropped() -> None:
    first_fetches: list[tuple[ComputeNodeConnection, bytes]] = []

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch" and not first_fetches:
            first_fetches.append((connection, command[1]))
        elif command[0] == b"abort":
            first_fetches[0][0].send_result(command[1], b"late\t\t\n")
        elif command[0] == b"fetch":
            connection.send_result(command[1])

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        # Another attempt is answered before the cancellation, so the connection stays in use.
        first = client.call("ask", request_id(1))
        await harness.wait_until(lambda: first_fetches)
        second = client.call("ask", request_id(2))
        assert (await client.read_answer(second))[0] is None
        client.send_raw(msgspec.msgpack.encode([2, "forget", [first]]))
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"abort"))
        third = client.call("ask", request_id(3))
        assert await client.read_answer(third) == (None, [ROWS, {}])
        # The retry of the cancelled request is sent on a connection other than that of the late response.
        retry = client.call("ask", request_id(1))
        assert await client.read_answer(retry) == (None, [ROWS, {}])
        assert first not in client.answers
        assert len(harness.compute_nodes[0].connections) == 2

    run_with_harness(scenario, script)


def test_responses_with_unknown_ids_do_not_close_the_connection() -> None:
    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            connection.send_result(b"ffffffffffffffff")
            connection.send_result(command[1])
            connection.send_result(command[1], b"a second copy\t\t\n")

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        for n in range(5):
            assert await client.read_answer(client.call("ask", request_id(n))) == (None, [ROWS, {}])
        assert len(harness.compute_nodes[0].connections) == 1

    run_with_harness(scenario, script)


def test_invalid_response_ends_other_attempts_on_its_connection_immediately() -> None:
    """Guards against attempts that wait for their timeouts although their connection is unusable."""
    fetched_ids: list[bytes] = []

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] != b"fetch":
            return
        fetched_ids.append(command[1])
        if len(fetched_ids) == 2:
            connection.send_result(command[1], b"no row")
        elif len(fetched_ids) > 2:
            connection.send_result(command[1])

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        client = await harness.client()
        message_ids = [client.call("ask", request_id(n)) for n in range(2)]
        for message_id in message_ids:
            assert (await client.read_answer(message_id, 1.5))[0] is None
        assert sorted(outcomes) == sorted([Outcome.ERROR, Outcome.RESET, Outcome.OK, Outcome.OK])

    run_with_harness(scenario, script)


def test_attempt_that_waits_for_its_connection_is_withdrawn_if_the_compute_node_drains() -> None:
    """The control feed lists the compute node as draining while the attempt waits for its connection."""

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        upstream, real_run = harness.server.upstream, connection_module.UpstreamConnection._run

        async def delayed_run(connection: Any) -> None:
            await may_connect.wait()
            await real_run(connection)

        may_connect = asyncio.Event()
        connection_module.UpstreamConnection._run = delayed_run  # type: ignore[method-assign]
        try:
            message_id = client.call("ask", REQUEST_ID)
            await harness.wait_until(lambda: upstream.pool.connections_by_engine)
            name = next(iter(upstream.pool.connections_by_engine)).decode()
            port = harness.compute_nodes[int(name[-1])].port
            harness.feed.send_event(2, [member(name, port, "draining")])
            await harness.wait_until(lambda: Outcome.NOT_SENT in outcomes)
        finally:
            connection_module.UpstreamConnection._run = real_run  # type: ignore[method-assign]
            may_connect.set()
        assert (await client.read_answer(message_id))[0] is None
        assert not harness.compute_nodes[int(name[-1])].commands(b"fetch")

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_request_succeeds_if_the_connection_broke_before_the_reader_noticed() -> None:
    """Guards against the use of a broken connection before its reader task runs again.

    Its stream is already closed, so starting an attempt on it failed.
    """

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        connection = next(iter(harness.server.upstream.pool.connections_by_engine.values()))[0]
        connection.stream.close()
        assert not connection.has_capacity(b"x", 32)
        assert await client.read_answer(client.call("ask", request_id(2))) == (None, [ROWS, {}])
        assert outcomes == [Outcome.OK, Outcome.OK]

    run_with_harness(scenario)


@pytest.mark.parametrize("is_listening", [True, False])
def test_attempt_moves_to_a_new_connection_if_the_first_closes_before_sending(is_listening: bool) -> None:
    """The attempt succeeds if the compute node accepts the new connection.

    Otherwise, the refused connection proves that the request did not run.
    """

    async def scenario(harness: Harness) -> None:
        outcomes, compute_node = record_outcomes(harness), harness.compute_nodes[0]
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        connection = next(iter(harness.server.upstream.pool.connections_by_engine.values()))[0]
        harness.server.executor.transport.begin = lambda attempt, begin=harness.server.upstream.begin: (  # type: ignore
            begin(attempt),
            connection.stream.close(),
        )
        if not is_listening:
            assert compute_node.server is not None
            compute_node.server.close()
        client.call("frail", request_id(2))
        await harness.wait_until(lambda: len(outcomes) > 1)
        assert outcomes[1] is (Outcome.OK if is_listening else Outcome.CONNECT_FAILED)
        assert len(compute_node.commands(b"fetch")) == (2 if is_listening else 1)

    run_with_harness(scenario)


def test_connection_established_while_the_event_loop_was_blocked_is_usable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connect timeout and the established connection are due in the same event-loop iteration.

    Guards against treating the connection as refused, which made its compute node appear unhealthy.
    """
    real_connect = connection_module.Stream.connect

    def connect(stream: connection_module.Stream, address: Any) -> Any:
        connect_future = real_connect(stream, address)
        time.sleep(0.3)  # blocks the event loop for longer than the connect timeout
        return connect_future

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        monkeypatch.setattr(connection_module.Stream, "connect", connect)
        client = await harness.client()
        assert await client.read_answer(client.call("frail", request_id(1))) == (None, [ROWS, {}])
        assert outcomes == [Outcome.OK]

    run_with_harness(scenario)


def test_compute_node_whose_address_changed_is_reached_only_at_the_new_address() -> None:
    """Guards against untracked connections.

    The pool's entry was removed with the last connection to the old address, although new connections were
    listed in it.
    """

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        moved_node = ComputeNode()
        await moved_node.start()
        harness.compute_nodes.append(moved_node)
        harness.feed.send_event(2, [member("node-0", moved_node.port)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        for n in range(2, 5):
            assert (await client.read_answer(client.call("ask", request_id(n))))[0] is None
        assert len(moved_node.commands(b"fetch")) == 3 and len(moved_node.connections) == 1
        assert [
            connection.address[1]
            for connection in harness.server.upstream.pool.connections_by_engine[b"node-0"]
        ] == [moved_node.port]

    run_with_harness(scenario)


def test_idle_connections_close_before_the_compute_node_closes_them() -> None:
    limits = SETTINGS["limits"] | {"idleClose": 0.3}

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        await client.read_answer(client.call("ask", REQUEST_ID))
        await harness.wait_until(lambda: not harness.server.upstream.pool.connections_by_engine)

    run_with_harness(scenario, settings=SETTINGS | {"limits": limits})


def test_all_attempts_succeed_with_more_compute_nodes_than_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against attempts that end unsent because idle connections use up the connection limit."""

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        client = await harness.client()
        for n in range(60):
            message_id = client.call("ask", request_id(n), b"SELECT 1 FROM s_%d.t" % n)
            assert await client.read_answer(message_id) == (None, [ROWS, {}])
        upstream = harness.server.upstream
        assert (
            sum(bool(compute_node.received_commands) for compute_node in harness.compute_nodes)
            > upstream.pool.limits.max_connections
        )
        assert upstream.pool.connections_in_use <= upstream.pool.limits.max_connections
        assert outcomes == [Outcome.OK] * 60

    assume_default_open_descriptors(monkeypatch)
    run_with_harness(scenario, *[answer_fetches] * 24, limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})


def test_elapsed_time_runs_from_the_write_to_the_last_byte() -> None:
    """Guards against counting the wait for a connection as the compute node's latency."""
    elapsed_times: list[float] = []

    async def scenario(harness: Harness) -> None:
        real_run = connection_module.UpstreamConnection._run

        async def delayed_run(connection: Any) -> None:
            await asyncio.sleep(0.15)
            await real_run(connection)

        finish_attempt = harness.server.executor.finish_attempt

        def record(attempt: Any, outcome: Outcome, elapsed: float, *measurements: Any) -> None:
            elapsed_times.append(elapsed)
            finish_attempt(attempt, outcome, elapsed, *measurements)

        harness.server.executor.finish_attempt = record  # type: ignore[method-assign]
        connection_module.UpstreamConnection._run = delayed_run  # type: ignore[method-assign]
        try:
            client = await harness.client()
            await client.read_answer(client.call("ask", REQUEST_ID))
        finally:
            connection_module.UpstreamConnection._run = real_run  # type: ignore[method-assign]
        assert elapsed_times[0] < 0.15

    run_with_harness(scenario)
