"""A daemon and its folder: whatever is wrong with the disk, every query is answered, and the log says so."""

from __future__ import annotations

import errno
import json
import os
import shutil
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from unittest.mock import patch

import pytest
import structlog
from click.testing import CliRunner
from gateways import GatewayHarness
from test_flight import connect

from saffronlane.cli import main
from saffronlane.config import parse_config
from saffronlane.daemon import Daemon
from saffronlane.learned_state import records as k
from saffronlane.storage import RealFiles, Recovery, recover
from saffronlane.storage import files as files_module

KEPT = {"knowledge": {"folder": "kept"}}


@pytest.fixture(autouse=True)
def logs_apart() -> Iterator[None]:
    """Logs of the gateway in this process go to a stream of their own, never into a command's output."""
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(file=sys.__stderr__))
    yield
    structlog.reset_defaults()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    return tmp_path / "kept"


@pytest.fixture
def house(tmp_path: Path) -> Iterator[GatewayHarness]:
    house = GatewayHarness(tmp_path, 2, KEPT, 0.0)
    yield house
    house.close()


def read(folder: Path) -> Recovery:
    return recover(RealFiles(folder, create_missing=False))


def ask(house: GatewayHarness, count: int = 1) -> None:
    with connect(house) as connection, connection.cursor() as cursor:
        for _ in range(count):
            cursor.execute("SELECT 1 /* lab work=0.01 */")
            assert cursor.fetchall()


def change(house: GatewayHarness, key: str) -> None:
    headers = {"saffronlane-class": "change", "saffronlane-key": key}
    with connect(house, **headers) as connection, connection.cursor() as cursor:
        cursor.adbc_statement.set_sql_query("INSERT INTO plays VALUES (1) /* lab work=0.01 */")
        assert cursor.adbc_statement.execute_update() == 1


def begin(house: GatewayHarness) -> Daemon:
    def start() -> Daemon:
        daemon = Daemon(parse_config(house.settings, "test", house.directory))
        daemon.start()
        return daemon

    return house.call_in_loop(start)


def end(house: GatewayHarness) -> None:
    house.call_in_loop(house.daemon.stop)
    house.run_coroutine(house.daemon.run())


def working(house: GatewayHarness, yes: bool = True) -> None:
    house.wait_until(
        lambda: (
            house.daemon.state_directory is not None and house.daemon.state_directory.status.is_working is yes
        )
    )


def test_a_daemon_that_comes_back_knows_what_it_knew(house: GatewayHarness, folder: Path) -> None:
    ask(house, 30)
    end(house)
    kept = k.decode(k.CLASS + b"lookup", read(folder).state[k.CLASS + b"lookup"])
    assert isinstance(kept, k.ClassRecord) and kept.answer_count == 30
    house.daemon = begin(house)
    summary = house.daemon.dispatcher.checkpointer.summary
    assert summary.has_complete_ledgers and summary.classes["lookup"] > 10.0 and summary.engines == 2
    ask(house)


def test_a_full_or_broken_disk_harms_no_query_and_is_left_when_it_is_well(
    house: GatewayHarness, folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    working(house)
    for code in (errno.ENOSPC, errno.EIO):

        def fails(self: object, data: bytes, code: int = code) -> None:
            raise OSError(code, os.strerror(code))

        with monkeypatch.context() as broken:
            broken.setattr(files_module._RealHandle, "write", fails)
            change(house, f"key {code}")
            working(house, False)
            ask(house, 3)
            assert (
                house.daemon.state_directory is not None
                and os.strerror(code) in house.daemon.state_directory.status.failure_reason
            )
        working(house)
    change(house, "after")
    end(house)
    # What nobody could write at the time was written once it could be.
    assert sum(key.startswith(k.IDEMPOTENCY) for key in dict(read(folder).state.items())) == 3
    house.daemon = begin(house)


def test_a_path_that_is_no_folder_is_told_and_harms_nothing(tmp_path: Path) -> None:
    (tmp_path / "kept").write_text("a file")
    house = GatewayHarness(tmp_path, 2, KEPT, 0.0)
    try:
        change(house, "x")
        ask(house, 3)
        assert not house.daemon.state_directory.status.is_working  # type: ignore[union-attr]
    finally:
        house.close()
    assert (tmp_path / "kept").read_text() == "a file"


def test_a_folder_that_vanishes_is_made_again_with_all_that_is_known(
    house: GatewayHarness, folder: Path
) -> None:
    """Guards against going on with files that have no name any more: nothing would tell."""
    ask(house, 20)
    change(house, "before")
    working(house)
    shutil.rmtree(folder)
    change(house, "after")
    house.wait_until(lambda: folder.exists() and read(folder).has_snapshot)
    working(house)
    names = {k.kind_of(key) for key in dict(read(folder).state.items())}
    assert {k.CLASS, k.ENGINE, k.IDEMPOTENCY, k.RUN} <= names
    ask(house, 3)


def test_a_disk_that_hangs_holds_an_unsafe_query_up_for_a_moment_and_others_not_at_all(
    house: GatewayHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    working(house)
    gate = threading.Event()
    with monkeypatch.context() as hangs:
        hangs.setattr(files_module._RealHandle, "sync", lambda self: gate.wait(30.0))
        change(house, "hangs")
        ask(house, 3)
        assert house.daemon.executor.non_durable_count == 1
        gate.set()
    working(house)


def test_a_second_daemon_on_a_folder_goes_without_until_the_first_has_ended(
    house: GatewayHarness, folder: Path
) -> None:
    ask(house, 20)
    change(house, "mine")
    working(house)
    second, first = begin(house), house.daemon
    assert second.state_directory is not None and not second.state_directory.status.is_working
    assert "in use by process" in second.state_directory.last_error
    end(house)
    house.daemon = second
    working(house)
    assert first.state_directory is not None and first.state_directory._lock is None
    ledger = second.dispatcher.checkpointer.ledger
    house.wait_until(lambda: len(ledger) == 1)  # the first one's unsafe query is known to the second
    ask(house, 3)


def test_each_worker_has_a_folder_of_its_own() -> None:
    from saffronlane.supervisor import as_worker

    raw = {
        "listen": {"port": 0},
        "engines": {"file": "e"},
        "kinds": [{"name": "k", "cores": 1}],
        "classes": [{"name": "c", "aim_s": 1, "deadline_s": 2}],
        "gateway": {"count": 2, "workers": 2},
        "knowledge": {"folder": "kept"},
    }
    config = parse_config(raw, "test", Path("/somewhere"))
    folders = [as_worker(config, n, 1).state_directory_path for n in range(2)]
    assert folders == [Path("/somewhere/kept/worker-0"), Path("/somewhere/kept/worker-1")]


# --- the command line ---


def run(*words: object) -> tuple[int, str]:
    """Run a command; the logs of the gateway in this process stay out of its output."""
    with patch("saffronlane.logging_setup.set_up"):
        result = CliRunner().invoke(main, ["knowledge", *map(str, words)])
    return result.exit_code, result.output


def test_show_check_and_export_on_a_folder_in_use_and_after(house: GatewayHarness, folder: Path) -> None:
    ask(house, 20)
    change(house, "mine")
    house.wait_until(lambda: k.CLASS + b"lookup" in dict(read(folder).state.items()))
    for used in (str(os.getpid()), ""):
        code, out = run("show", folder, "--json")
        told = json.loads(out)
        assert code == 0 and told["used_by"] == used
        assert told["last_sign"]["clean"] is (used == "") and told["requests"] == 1 and told["engines"] == 2
        assert "c/lookup: " in run("show", folder)[1]
        lines = [json.loads(line) for line in run("export", folder)[1].splitlines()]
        assert {"c/lookup", "e/e0", "run"} <= {line["key"] for line in lines}
        code, out = run("check", folder)
        assert (code, out.splitlines()[-1]) == (0, "whole")
        if used:
            end(house)
    house.daemon = begin(house)


def test_check_names_what_is_damaged_and_what_it_would_count_for(house: GatewayHarness, folder: Path) -> None:
    ask(house, 20)
    end(house)
    (house.directory / "gateway.json").write_text(json.dumps(house.settings))
    code, out = run("check", folder, "--config", house.directory / "gateway.json")
    assert code == 0 and "exact True, weight 1" in out
    log = max(p for p in folder.iterdir() if p.name.startswith("log"))
    log.write_bytes(log.read_bytes() + b"\0" * 30)
    newer = folder / "snap-v7-00000000000000ff"
    newer.write_bytes(b"later")
    code, out = run("check", folder)
    assert code == 1 and log.name in out and "byte 24" in out and f"{newer.name}: of a newer version" in out
    house.daemon = begin(house)
    ask(house)
    assert newer.read_bytes() == b"later"


def test_forget_in_a_folder_that_is_free(house: GatewayHarness, folder: Path) -> None:
    ask(house, 20)
    change(house, "mine")
    end(house)
    assert run("forget", folder, "classes")[0] == 0
    state = dict(read(folder).state.items())
    assert not [key for key in state if key.startswith(k.CLASS)] and [
        key for key in state if key.startswith(k.IDEMPOTENCY)
    ]
    assert run("forget", folder, "all")[0] == 0
    assert not len(read(folder).state)
    house.daemon = begin(house)


def test_forget_asks_a_running_gateway_and_never_for_its_ledgers(house: GatewayHarness, folder: Path) -> None:
    ask(house, 20)
    house.wait_until(lambda: k.CLASS + b"lookup" in dict(read(folder).state.items()))
    code, out = run("forget", folder, "all")
    assert code == 2 and "stop it first" in out
    code, out = run("forget", folder, "classes", "engines")
    assert (code, out.strip()) == (0, "the running gateway has accepted the purge request")
    house.wait_until(
        lambda: house.daemon.dispatcher.gateway.workload_estimates.estimators[0].answer_count == 0
    )
    house.wait_until(lambda: k.CLASS + b"lookup" not in dict(read(folder).state.items()))


def test_no_folder_and_no_choice_are_told() -> None:
    assert run("show", "/nowhere/at/all")[0] == 2
    assert run("forget", "/tmp")[0] == 2
