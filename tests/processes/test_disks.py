"""`saffronlane serve` keeps serving on a faulty disk, and the next process starts from the files it left."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import adbc_driver_flightsql.dbapi as adbc
import msgspec
import pytest
from gateways import write_config

from saffronlane.lab.fleet.disks import Disk, DiskFault
from saffronlane.lab.fleet.launch import ChildProcess
from saffronlane.lab.up import write_list

FAULTS = [
    DiskFault("lie", "sync", after=2),
    DiskFault("half", "write", after=3),
    DiskFault("eio", "sync", after=2, count=3),
    DiskFault("enospc", "write", after=2),
    DiskFault("enospc", "create"),
    DiskFault("eio", "rename", count=1),
    DiskFault("slow", "sync", after=1, count=2),
    DiskFault("flip", "write", after=3),
    DiskFault("flip", "read"),
]


def wait_for_event(
    process: ChildProcess, event: str, min_occurrences: int = 1, timeout_s: float = 20.0
) -> dict[str, object]:
    """Waits until the log has enough records of this event; returns the last. Fails if the process exits."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        records = [line for line in process.log_records() if line.get("event") == event]
        if len(records) >= min_occurrences:
            return records[-1]
        assert process.is_running, process.log_path.read_text("utf-8", "replace")[-600:]
        time.sleep(0.02)
    raise AssertionError(
        f"event {event!r} was not logged within {timeout_s} s:"
        f" {process.log_path.read_text('utf-8', 'replace')[-600:]}"
    )


@pytest.fixture(scope="module")
def engine(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    """Starts a stand-in engine as a process and yields its address."""
    tmp_path = tmp_path_factory.mktemp("engine")
    (tmp_path / "engine.json").write_text(json.dumps({"id": "e0", "cores": 4}))
    command = [sys.executable, "-m", "saffronlane", "lab", "engine", str(tmp_path / "engine.json")]
    process = ChildProcess("engine", command, {}, tmp_path)
    process.start()
    try:
        deadline = time.monotonic() + 20.0
        while not (records := [line for line in process.log_records() if "address" in line]):
            assert process.is_running and time.monotonic() < deadline
            time.sleep(0.02)
        yield str(records[0]["address"])
    finally:
        process.kill()


def has_fault_shown(process: ChildProcess, fault: DiskFault) -> bool:
    """Whether the gateway has logged the fault, or cannot detect faults of this kind."""
    has_logged_error = any(line.get("level") == "error" for line in process.log_records())
    return has_logged_error or fault.kind not in ("half", "eio", "enospc")


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: f"{fault.kind}-{fault.op}")
def test_gateway_keeps_serving_with_disk_faults_and_restarts_from_the_files_they_left(
    tmp_path: Path, engine: str, fault: DiskFault
) -> None:
    """Guards against disk faults that stop a gateway, block queries, or prevent the next start."""
    write_list(tmp_path / "engines.json", [{"id": "e0", "address": engine}], 1)
    config = write_config(tmp_path, knowledge={"folder": "kept"})
    (tmp_path / "faults.json").write_bytes(msgspec.json.encode([fault]))
    faulty_command = [sys.executable, "-m", "saffronlane.lab.fleet.disks", str(tmp_path / "faults.json")]
    faulty_gateway = ChildProcess("faulty", [*faulty_command, "serve", str(config)], {}, tmp_path)
    healthy_gateway = ChildProcess(
        "healthy", [sys.executable, "-m", "saffronlane", "serve", str(config)], {}, tmp_path
    )
    try:
        for process, query_count in ((faulty_gateway, 12), (healthy_gateway, 3)):
            remaining_queries = query_count
            process.start()
            port = wait_for_event(process, "listening")["port"]
            with adbc.connect(f"grpc://127.0.0.1:{port}", autocommit=True) as connection:
                deadline = time.monotonic() + 20.0
                # A commit batches the changes since the last one, so that the number of queries per commit
                # depends on the speed of the machine. Queries are therefore sent until the fault occurs.
                while remaining_queries > 0 or (
                    process is faulty_gateway and not has_fault_shown(faulty_gateway, fault)
                ):
                    assert time.monotonic() < deadline, "the disk fault did not occur"
                    with connection.cursor() as cursor:
                        cursor.execute("SELECT 1 /* lab work=0.01 rows=3 */")
                        assert len(cursor.fetchall()) == 3
                    remaining_queries -= 1
                    time.sleep(0.05)  # spreads the queries over several commits; no assertion depends on it
            assert process.is_running
            process.kill()
    finally:
        faulty_gateway.kill()
        healthy_gateway.kill()


def test_disk_applies_faults_by_operation_count_and_rejects_unknown_kinds() -> None:
    disk = Disk([DiskFault("lie", "sync", after=1, count=2)])
    assert [disk.next_fault("sync") for _ in range(4)] == ["", "lie", "lie", ""]
    assert disk.next_fault("write") == ""
    with pytest.raises(OSError, match="space"):
        Disk([DiskFault("enospc", "write")]).next_fault("write")
    with pytest.raises(ValueError, match="melts"):
        Disk([DiskFault("melts", "sync")])
