"""`saffronlane serve` on a disk that fails or lies: it serves on, and what it left starts the next one."""

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
from saffronlane.lab.fleet.launch import Child
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


def until(child: Child, event: str, runs: int = 1, seconds: float = 20.0) -> dict[str, object]:
    """The line of the log with that event, of that run. Fails where the process ends before."""
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        found = [line for line in child.lines() if line.get("event") == event]
        if len(found) >= runs:
            return found[-1]
        assert child.running, child.log.read_text("utf-8", "replace")[-600:]
        time.sleep(0.02)
    raise AssertionError(f"no {event!r} in {seconds} s: {child.log.read_text('utf-8', 'replace')[-600:]}")


@pytest.fixture(scope="module")
def engine(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    """A stand-in engine as a process; its address."""
    tmp_path = tmp_path_factory.mktemp("engine")
    (tmp_path / "engine.json").write_text(json.dumps({"id": "e0", "cores": 4}))
    command = [sys.executable, "-m", "saffronlane", "lab", "engine", str(tmp_path / "engine.json")]
    child = Child("engine", command, {}, tmp_path)
    child.start()
    try:
        limit = time.monotonic() + 20.0
        while not (told := [line for line in child.lines() if "address" in line]):
            assert child.running and time.monotonic() < limit
            time.sleep(0.02)
        yield str(told[0]["address"])
    finally:
        child.kill()


def met(child: Child, fault: DiskFault) -> bool:
    """Whether the fault has shown, where it is one that the gateway can see and tell."""
    told = any(line.get("level") == "error" for line in child.lines())
    return told or fault.kind not in ("half", "eio", "enospc")


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f"{f.kind}-{f.op}")
def test_a_gateway_serves_on_whatever_its_disk_does_and_starts_from_what_that_left(
    tmp_path: Path, engine: str, fault: DiskFault
) -> None:
    """Guards against a disk that ends a gateway, holds queries, or leaves a folder nothing starts from."""
    write_list(tmp_path / "engines.json", [{"id": "e0", "address": engine}], 1)
    config = write_config(tmp_path, knowledge={"folder": "kept"})
    (tmp_path / "faults.json").write_bytes(msgspec.json.encode([fault]))
    entry = [sys.executable, "-m", "saffronlane.lab.fleet.disks", str(tmp_path / "faults.json")]
    struck = Child("struck", [*entry, "serve", str(config)], {}, tmp_path)
    well = Child("well", [sys.executable, "-m", "saffronlane", "serve", str(config)], {}, tmp_path)
    try:
        for child, query_count in ((struck, 12), (well, 3)):
            queries = query_count
            child.start()
            port = until(child, "listening")["port"]
            with adbc.connect(f"grpc://127.0.0.1:{port}", autocommit=True) as connection:
                limit = time.monotonic() + 20.0
                # A commit gathers what came meanwhile: how many queries make one is the machine's pace, so
                # that the queries go on until the fault is met and not for a count of them.
                while queries > 0 or (child is struck and not met(struck, fault)):
                    assert time.monotonic() < limit, "the disk's faults met nothing"
                    with connection.cursor() as cursor:
                        cursor.execute("SELECT 1 /* lab work=0.01 rows=3 */")
                        assert len(cursor.fetchall()) == 3
                    queries -= 1
                    time.sleep(0.05)  # several commits, not one; no verdict hangs on it
            assert child.running
            child.kill()
    finally:
        struck.kill()
        well.kill()


def test_a_disk_counts_operations_and_refuses_kinds_that_there_are_not() -> None:
    disk = Disk([DiskFault("lie", "sync", after=1, count=2)])
    assert [disk.meets("sync") for _ in range(4)] == ["", "lie", "lie", ""]
    assert disk.meets("write") == ""
    with pytest.raises(OSError, match="space"):
        Disk([DiskFault("enospc", "write")]).meets("write")
    with pytest.raises(ValueError, match="melts"):
        Disk([DiskFault("melts", "sync")])
