"""A daemon and its state directory: disk errors fail no query, and the daemon reports them."""

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
from saffronlane.learned_state import records
from saffronlane.storage import Change, Entry, RealFiles, Recovery, Store, recover
from saffronlane.storage import files as files_module

STATE_DIRECTORY_CONFIG = {"knowledge": {"folder": "kept"}}


@pytest.fixture(autouse=True)
def separate_logs() -> Iterator[None]:
    """Write the logs of the gateway in this process to stderr, not into the captured output of a command."""
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(file=sys.__stderr__))
    yield
    structlog.reset_defaults()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    return tmp_path / "kept"


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[GatewayHarness]:
    harness = GatewayHarness(tmp_path, 2, STATE_DIRECTORY_CONFIG, 0.0)
    yield harness
    harness.close()


def read_directory(folder: Path) -> Recovery:
    return recover(RealFiles(folder, create_missing=False))


def run_queries(harness: GatewayHarness, count: int = 1) -> None:
    with connect(harness) as connection, connection.cursor() as cursor:
        for _ in range(count):
            cursor.execute("SELECT 1 /* lab work=0.01 */")
            assert cursor.fetchall()


def run_write(harness: GatewayHarness, key: str) -> None:
    headers = {"saffronlane-class": "change", "saffronlane-key": key}
    with connect(harness, **headers) as connection, connection.cursor() as cursor:
        cursor.adbc_statement.set_sql_query("INSERT INTO plays VALUES (1) /* lab work=0.01 */")
        assert cursor.adbc_statement.execute_update() == 1


def start_daemon(harness: GatewayHarness) -> Daemon:
    def start() -> Daemon:
        daemon = Daemon(parse_config(harness.settings, "test", harness.directory))
        daemon.start()
        return daemon

    return harness.call_in_loop(start)


def stop_daemon(harness: GatewayHarness) -> None:
    harness.call_in_loop(harness.daemon.stop)
    harness.run_coroutine(harness.daemon.run())


def wait_for_store(harness: GatewayHarness, is_working: bool = True) -> None:
    harness.wait_until(
        lambda: (
            harness.daemon.state_directory is not None
            and harness.daemon.state_directory.status.is_working is is_working
        )
    )


def test_restarted_daemon_restores_its_learned_state(harness: GatewayHarness, folder: Path) -> None:
    run_queries(harness, 30)
    stop_daemon(harness)
    class_record = records.decode(
        records.CLASS + b"lookup", read_directory(folder).state[records.CLASS + b"lookup"]
    )
    assert isinstance(class_record, records.ClassRecord) and class_record.answer_count == 30
    harness.daemon = start_daemon(harness)
    summary = harness.daemon.dispatcher.checkpointer.summary
    assert summary.has_complete_ledgers and summary.classes["lookup"] > 10.0 and summary.engines == 2
    run_queries(harness)


def test_queries_succeed_during_disk_errors_and_the_store_is_repaired_afterwards(
    harness: GatewayHarness, folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    wait_for_store(harness)
    for code in (errno.ENOSPC, errno.EIO):

        def fail_write(self: object, data: bytes, code: int = code) -> None:
            raise OSError(code, os.strerror(code))

        with monkeypatch.context() as patched:
            patched.setattr(files_module._RealHandle, "write", fail_write)
            run_write(harness, f"key {code}")
            wait_for_store(harness, False)
            run_queries(harness, 3)
            assert (
                harness.daemon.state_directory is not None
                and os.strerror(code) in harness.daemon.state_directory.status.failure_reason
            )
        wait_for_store(harness)
    run_write(harness, "after")
    stop_daemon(harness)
    # Changes that could not be written during the errors were written by the repair.
    assert sum(key.startswith(records.IDEMPOTENCY) for key in dict(read_directory(folder).state.items())) == 3
    harness.daemon = start_daemon(harness)


def test_queries_succeed_if_the_state_directory_path_is_a_file(tmp_path: Path) -> None:
    (tmp_path / "kept").write_text("a file")
    harness = GatewayHarness(tmp_path, 2, STATE_DIRECTORY_CONFIG, 0.0)
    try:
        run_write(harness, "x")
        run_queries(harness, 3)
        assert not harness.daemon.state_directory.status.is_working  # type: ignore[union-attr]
    finally:
        harness.close()
    assert (tmp_path / "kept").read_text() == "a file"


def test_removed_state_directory_is_recreated_with_all_records(harness: GatewayHarness, folder: Path) -> None:
    """Guards against writing to unlinked files, which reports no error although the data is lost."""
    run_queries(harness, 20)
    run_write(harness, "before")
    wait_for_store(harness)
    shutil.rmtree(folder)
    run_write(harness, "after")
    harness.wait_until(lambda: folder.exists() and read_directory(folder).has_snapshot)
    wait_for_store(harness)
    kinds = {records.kind_of(key) for key in dict(read_directory(folder).state.items())}
    assert {records.CLASS, records.ENGINE, records.IDEMPOTENCY, records.RUN} <= kinds
    run_queries(harness, 3)


def test_hanging_disk_blocks_no_query_and_the_write_is_counted_as_non_durable(
    harness: GatewayHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    wait_for_store(harness)
    sync_gate = threading.Event()
    with monkeypatch.context() as patched:
        patched.setattr(files_module._RealHandle, "sync", lambda self: sync_gate.wait(30.0))
        run_write(harness, "hangs")
        run_queries(harness, 3)
        assert harness.daemon.executor.non_durable_count == 1
        sync_gate.set()
    wait_for_store(harness)


def test_second_daemon_opens_the_state_directory_after_the_first_has_stopped(
    harness: GatewayHarness, folder: Path
) -> None:
    run_queries(harness, 20)
    run_write(harness, "mine")
    wait_for_store(harness)
    second, first = start_daemon(harness), harness.daemon
    assert second.state_directory is not None and not second.state_directory.status.is_working
    assert "in use by process" in second.state_directory.last_error
    stop_daemon(harness)
    harness.daemon = second
    wait_for_store(harness)
    assert first.state_directory is not None and first.state_directory._lock is None
    ledger = second.dispatcher.checkpointer.ledger
    harness.wait_until(lambda: len(ledger) == 1)  # the second daemon has restored the record of the write
    run_queries(harness, 3)


def test_each_worker_has_its_own_state_directory() -> None:
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


def run_command(*arguments: object) -> tuple[int, str]:
    """Run a `knowledge` command without logs in its output. Returns its exit status and output."""
    with patch("saffronlane.logging_setup.set_up"):
        result = CliRunner().invoke(main, ["knowledge", *map(str, arguments)])
    return result.exit_code, result.output


def test_show_check_and_export_work_during_and_after_use_by_a_gateway(
    harness: GatewayHarness, folder: Path
) -> None:
    run_queries(harness, 20)
    run_write(harness, "mine")
    harness.wait_until(lambda: records.CLASS + b"lookup" in dict(read_directory(folder).state.items()))
    for expected_holder in (str(os.getpid()), ""):
        code, output = run_command("show", folder, "--json")
        summary = json.loads(output)
        assert code == 0 and summary["used_by"] == expected_holder
        assert (
            summary["last_sign"]["clean"] is (expected_holder == "")
            and summary["requests"] == 1
            and summary["engines"] == 2
        )
        assert "c/lookup: " in run_command("show", folder)[1]
        lines = [json.loads(line) for line in run_command("export", folder)[1].splitlines()]
        assert {"c/lookup", "e/e0", "run"} <= {line["key"] for line in lines}
        code, output = run_command("check", folder)
        assert (code, output.splitlines()[-1]) == (0, "whole")
        if expected_holder:
            stop_daemon(harness)
    harness.daemon = start_daemon(harness)


def test_check_reports_damage_newer_files_and_the_weight_of_learned_state_after_a_restart(
    harness: GatewayHarness, folder: Path
) -> None:
    run_queries(harness, 20)
    stop_daemon(harness)
    (harness.directory / "gateway.json").write_text(json.dumps(harness.settings))
    code, output = run_command("check", folder, "--config", harness.directory / "gateway.json")
    assert code == 0 and "exact True, weight 1" in output
    log_file = max(path for path in folder.iterdir() if path.name.startswith("log"))
    log_file.write_bytes(log_file.read_bytes() + b"\0" * 30)
    newer_file = folder / "snap-v7-00000000000000ff"
    newer_file.write_bytes(b"later")
    code, output = run_command("check", folder)
    assert (
        code == 1
        and log_file.name in output
        and "byte 24" in output
        and f"{newer_file.name}: of a newer version" in output
    )
    harness.daemon = start_daemon(harness)
    run_queries(harness)
    assert newer_file.read_bytes() == b"later"


def test_forget_removes_records_from_an_unused_directory(harness: GatewayHarness, folder: Path) -> None:
    run_queries(harness, 20)
    run_write(harness, "mine")
    stop_daemon(harness)
    assert run_command("forget", folder, "classes")[0] == 0
    state = dict(read_directory(folder).state.items())
    assert not [key for key in state if key.startswith(records.CLASS)] and [
        key for key in state if key.startswith(records.IDEMPOTENCY)
    ]
    assert run_command("forget", folder, "all")[0] == 0
    assert not len(read_directory(folder).state)
    harness.daemon = start_daemon(harness)


def test_forget_all_leaves_no_purged_bytes_in_an_unused_directory(tmp_path: Path) -> None:
    """Guards against older files that still contain the purged records, such as a retained snapshot."""
    class_name = b"purged-class-name"

    def files_with_class_name() -> list[str]:
        return [path.name for path in tmp_path.iterdir() if class_name in path.read_bytes()]

    files = RealFiles(tmp_path)
    store = Store(files)
    store.begin()
    store.commit([Change(records.CLASS + class_name, Entry(1, b"estimates"))])
    store.write_final_snapshot()
    store.close()
    files.close()
    assert files_with_class_name()
    assert run_command("forget", tmp_path, "all")[0] == 0
    assert not files_with_class_name()


def test_forget_requests_a_purge_of_categories_but_not_of_all_records_from_a_running_gateway(
    harness: GatewayHarness, folder: Path
) -> None:
    run_queries(harness, 20)
    harness.wait_until(lambda: records.CLASS + b"lookup" in dict(read_directory(folder).state.items()))
    code, output = run_command("forget", folder, "all")
    assert code == 2 and "stop that gateway first" in output
    code, output = run_command("forget", folder, "classes", "engines")
    assert (code, output.strip()) == (0, "the running gateway has accepted the purge request")
    harness.wait_until(
        lambda: harness.daemon.dispatcher.gateway.workload_estimates.estimators[0].answer_count == 0
    )
    harness.wait_until(lambda: records.CLASS + b"lookup" not in dict(read_directory(folder).state.items()))


def test_missing_directory_and_missing_category_are_errors() -> None:
    assert run_command("show", "/nowhere/at/all")[0] == 2
    assert run_command("forget", "/tmp")[0] == 2
