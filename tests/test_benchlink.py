"""The simulator's wire protocol: documented layouts, invalid input, and stopped and restarted instances."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from saffronlane import interface as api
from saffronlane.simulator import adapter

ROOT = Path(__file__).parent.parent
SETTINGS_LINES = """domainType=queries
unknown.setting=whatever
fleetSize=2
kinds=a,b
zones=x,y
extra.kindCores=8,4
extra.parallelism=1,4
extra.notePeriod=1.0
guarantees.lookBack=10.0
guarantees.extraFree=3
limits.cancel=true
limits.sendCap=3
services.count=2
services.0.name=short
services.0.aim=1.0
services.0.deadline=5.0
services.1.name=long
services.1.aim=2.0
services.1.deadline=20.0
services.1.effect=dedup
services.1.group=zone
services.1.zonesOpen=y
services.1.sequential=true
"""
ENGINE = bytes.fromhex("0a124a071f93")


def record(layout: str, *values: object) -> bytes:
    return struct.pack(layout, *values).ljust(56, b"\0")


def batch(now: float, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(records) + tail
    return struct.pack(">IId", len(body) + 12, len(records), now) + body


def instance_start(
    instance: int = 3, settings_lines: str = SETTINGS_LINES, mode: int = 3
) -> tuple[list[bytes], bytes]:
    """Return the records that start an instance with one ready engine, and the tail they refer to."""
    entry = struct.pack(">dBHH6sfB", 0.0, 0, 0, 0, ENGINE, 1.0, 1)
    text = settings_lines.encode()
    return [
        record(">HHII", 1060, 0, 0, 1),
        record(">HIQII", 1100, instance, 99, len(entry), len(text)),
        record(">HIBIH", 1040, instance, mode, 41, 0),
    ], entry + text


def arrival(instance: int = 3, request: int = 0xCD1FC5D3A91C4) -> bytes:
    fields = (0, 0, 0, 4.0, 0.1, 384.0, 11.0, 1)
    return record(">HIQHIQddffB", 1090, instance, request, *fields)


def run_batches(data: bytes) -> list[tuple[list[bytes], bytes]]:
    """Serve batches and return the 32-byte records and the tail of each reply."""
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(data), sink)
    output, replies = sink.getvalue(), []
    while output:
        count, length = struct.unpack_from(">II", output)
        body, output = output[8 : 8 + length], output[8 + length :]
        replies.append(([body[i * 32 : i * 32 + 32] for i in range(count)], body[count * 32 :]))
    return replies


def action_codes(records: list[bytes]) -> list[int]:
    return [struct.unpack_from(">H", item)[0] for item in records]


def test_an_empty_batch_gets_the_documented_reply() -> None:
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(bytes.fromhex("0000000c000000004020d3126e978d50")), sink)
    assert sink.getvalue() == bytes(8)


def test_a_request_is_dispatched_in_the_documented_layout() -> None:
    records, tail = instance_start()
    (reply,) = run_batches(batch(8.0, [*records, arrival()], tail))
    (dispatch,) = [item for item in reply[0] if item[:2] == b"\x04\x24"]
    assert dispatch[:14].hex() == "042400000003000cd1fc5d3a91c4"
    (timeout,) = struct.unpack_from(">d", dispatch, 14)
    assert 0.0 < timeout < 4.0
    assert dispatch[22:28] == ENGINE and dispatch[28:] == bytes(4)


def test_documented_event_bytes_are_decoded() -> None:
    events = {
        "0406 00000003 000cd1fc5d3a91c4 0a124a07 1f93 3f82f1a9fbe76c8b 00": api.StreamStarted(
            0xCD1FC5D3A91C4, 0, ENGINE, struct.unpack(">d", bytes.fromhex("3f82f1a9fbe76c8b"))[0]
        ),
        "041a 00000003 000cd1fc5d3a91c4 00 0a124a07 1f93 01 3f000000": api.ProgressReport(
            0xCD1FC5D3A91C4, 0, ENGINE, api.ProgressKind.PROGRESS, 0.5
        ),
        "0456 00000003 000cd1fc5d3a91c4": api.ClientDisconnected(0xCD1FC5D3A91C4),
        "042e 00000003 000000000000004d": api.TimerFired(77),
    }
    for text, expected in events.items():
        data = bytes.fromhex(text.replace(" ", "")).ljust(56, b"\0")
        (code,) = struct.unpack_from(">H", data)
        assert adapter.EVENT_READERS[code](data, b"") == (3, expected)


def test_documented_outcome_bytes_are_decoded() -> None:
    text = (
        "03fc 00000003 000cd1fc5d3a91c4 00 0a124a07 1f93 0001 3f92f1a9fbe76c8b 01 00011060 04 40e00000"
        " 40400000 3ecccccd 3fa00000"
    )
    data = bytes.fromhex(text.replace(" ", "")).ljust(56, b"\0")
    instance, event = adapter.EVENT_READERS[1020](data, b"")
    assert instance == 3 and event.outcome is api.Outcome.OK and event.is_final
    assert event.work == pytest.approx(0.017) and event.memory_mb == 96 * 4.0
    assert event.load_report[:2] == (7.0, 3.0)


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (api.SetTimer(0x4D, 8.912), "0406 00000003 000000000000004d 4021d2f1a9fbe76d"),
        (api.Cancel(0xCD1FC5D3A91C4, 0), "0460 00000003 000cd1fc5d3a91c4 00"),
        (api.Reject(0xF346C0E6F2B19, 0.25), "03f2 00000003 000f346c0e6f2b19 3fd0000000000000"),
        (api.Fail(0xF346C0E6F2B19), "041a 00000003 000f346c0e6f2b19"),
        (api.SetResourceGrant(0xCD1FC5D3A91C4, 640.0, 2), "0438 00000003 000cd1fc5d3a91c4 44200000 02"),
        (api.ProbeLoad(ENGINE), "042e 00000003 0a124a071f93"),
        (api.CloseIdleConnections(ENGINE), "0410 00000003 0a124a071f93"),
        (api.Subscribe(True), "0442 00000003 01"),
        (api.PollEndpoints(), "0456 00000003"),
        (api.SendGossip(None, b"hi 7"), "03e8 00000003 ffffffff 00000000 00000004"),
        (api.Log("two servers known"), "044c 00000003 00000000 00000011"),
    ],
)
def test_actions_are_encoded_as_documented(action: api.Action, text: str) -> None:
    writer = adapter.ReplyWriter()
    writer.add(3, action)
    frame = writer.frame()
    assert frame[8:40] == bytes.fromhex(text.replace(" ", "")).ljust(32, b"\0")


def test_settings_are_read_and_unknown_settings_are_ignored() -> None:
    settings = adapter.read_settings(SETTINGS_LINES)
    assert [machine_type.cores for machine_type in settings.machine_types] == [8.0, 4.0]
    assert (
        settings.classes[1].idempotency is api.Idempotency.KEYED
        and settings.classes[1].deduplication_scope is api.DeduplicationScope.ZONE
    )
    assert settings.classes[1].allowed_zones == (1,) and settings.classes[0].allowed_zones is None
    assert settings.classes[1].is_ordered and settings.classes[1].threads == 4
    assert settings.guarantees.retry_budget_base == 3.0


def test_settings_of_load_reports_memory_and_prices_are_read() -> None:
    extra = """extra.memoryShort=page
report.via=probe
report.columns=cpu,active
limits.probing=true
prices.probe=0.01
prices.crossZone=0.04
services.0.effect=fragile
tenants.count=1
tenants.0.name=one
tenants.0.allowancePerS=12.5
"""
    settings = adapter.read_settings(SETTINGS_LINES + extra)
    assert settings.memory_overcommit is api.MemoryOvercommit.PAGE
    assert settings.report_columns == ("cpu", "active") and settings.limits.load_probe_price == 0.01
    assert settings.cross_zone_price == 0.04 and settings.tenants[0].rate_limit == 12.5
    assert settings.classes[0].idempotency is api.Idempotency.UNSAFE
    defaults = adapter.read_settings(SETTINGS_LINES)
    assert defaults.memory_overcommit is api.MemoryOvercommit.WAIT and defaults.report_columns == ()
    assert adapter.read_settings(SETTINGS_LINES + extra.replace("via=probe", "via=none")).report_columns == ()


def test_a_restart_within_one_batch_drops_the_requests() -> None:
    records, tail = instance_start()
    first = batch(8.0, [*records, arrival()], tail)
    stop = record(">HI", 1010, 3)
    disconnection = record(">HIQ", 1110, 3, 0xCD1FC5D3A91C4)
    replies = run_batches(
        first + batch(9.0, [stop, *records, disconnection], tail) + batch(20.0, [arrival(request=7)])
    )
    assert 1010 not in action_codes(replies[1][0]) and 1060 not in action_codes(replies[1][0])
    assert 1060 in action_codes(replies[2][0])


def test_a_stopped_instance_returns_no_actions() -> None:
    records, tail = instance_start()
    (reply,) = run_batches(batch(8.0, [*records, arrival(), record(">HI", 1010, 3)], tail))
    assert reply == ([], b"")


def test_endpoints_record_uses_the_endpoint_table_sent_before_it() -> None:
    """A later table with the same number does not change the earlier record."""
    records, tail = instance_start(3)
    removed_entry = struct.pack(">dBHH6sfB", 0.0, 0, 0, 0, ENGINE, 1.0, 0)
    replacement = record(">HHII", 1060, 0, len(tail), 1)
    (reply,) = run_batches(batch(8.0, [*records, replacement, arrival()], tail + removed_entry))
    assert 1060 in action_codes(reply[0])


def test_an_exception_in_the_gateway_is_reported_as_a_panic(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_step(self: object, now: float, events: list) -> list:
        raise IndexError("index out of range")

    monkeypatch.setattr(adapter.Gateway, "step", failing_step)
    records, tail = instance_start()
    ((reply, text),) = run_batches(batch(8.0, records, tail))
    assert action_codes(reply) == [1020] and b"index out of range" in text


def run_adapter(data: bytes) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "saffronlane.simulator.adapter"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, timeout=30, check=False)


def batch_without(setting: str) -> bytes:
    lines = [line for line in SETTINGS_LINES.splitlines() if not line.startswith(setting + "=")]
    records, tail = instance_start(settings_lines="\n".join(lines))
    return batch(1.0, records, tail)


@pytest.mark.parametrize(
    ("data", "expected_text"),
    [
        (b"\0\0\0", "batch header"),
        (batch(1.0, [])[:-2], "batch header"),
        (struct.pack(">IId", 100, 1, 1.0) + bytes(10), "inside a batch"),
        (struct.pack(">IId", 12, 4, 1.0), "too short"),
        (struct.pack(">I", 3) + bytes(12), "too short"),
        (batch(1.0, [record(">HI", 4242, 3)]), "4242"),
        (batch(1.0, [record(">HIQ", 1070, 3, 1)]), "instance 3"),
        (batch(1.0, [record(">HHII", 1060, 0, 5, 9)]), "list"),
        (batch_without("services.0.aim"), "services.0.aim"),
        (batch_without("extra.kindCores"), "extra.kindCores"),
        (batch_without("fleetSize"), "fleetSize"),
        (
            batch(1.0, *instance_start(settings_lines=SETTINGS_LINES.replace("fleetSize=2", "fleetSize=0"))),
            "invalid settings",
        ),
        (
            batch(1.0, *instance_start(settings_lines=SETTINGS_LINES.replace("aim=1.0", "aim=soon"))),
            "services.0.aim",
        ),
        (
            batch(1.0, *instance_start(settings_lines=SETTINGS_LINES + "extra.memoryShort=melt\n")),
            "extra.memoryShort",
        ),
    ],
)
def test_invalid_input_ends_with_a_one_line_error(data: bytes, expected_text: str) -> None:
    result = run_adapter(data)
    assert result.returncode != 0
    assert len(result.stderr.decode().splitlines()) == 1 and expected_text in result.stderr.decode()


def test_the_adapter_exits_cleanly_at_the_end_of_input() -> None:
    records, tail = instance_start()
    result = run_adapter(batch(1.0, [*records, arrival()], tail))
    assert result.returncode == 0 and result.stderr == b""
