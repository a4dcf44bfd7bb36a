"""The store on a model file system: recovery is correct in every state that a crash may leave."""

from __future__ import annotations

import contextlib
import errno
import os
import random
import signal
import struct
import subprocess
import sys
import threading
import time

import google_crc32c
import pytest
from model_files import ModelFiles

from saffronlane.storage import (
    Change,
    DirectoryBusyError,
    DirectoryLock,
    Entry,
    RealFiles,
    Store,
    StoreFailedError,
    StoreLimits,
    Writer,
    recover,
)
from saffronlane.storage import format as fmt
from saffronlane.storage import store as store_module
from saffronlane.storage.writer import WriterLimits

# With these limits, a few commits are enough for new log files, snapshots and removals of old files.
SMALL_LIMITS = StoreLimits(segment_bytes=220, log_bytes=400, slice_bytes=90)
MapContent = dict[bytes, Entry]


def as_dict(state: fmt.StoredMap) -> MapContent:
    return dict(state.items())


class CrashChecker:
    """Runs a store. After each operation, checks the recovery of possible crash states.

    A recovered map must equal the one after the last acknowledged commit or a later attempted commit.

    Args:
        files: The file system of the store.
        seed: Seed of the random changes and crash states.
        mixed_crash_count: Number of random crash states (mode `mixed`) that are checked after each operation.
    """

    def __init__(self, files: ModelFiles, seed: int, mixed_crash_count: int = 1) -> None:
        self.files, self.rng, self.mixed_crash_count = files, random.Random(seed), mixed_crash_count
        self.states: dict[int, MapContent] = {}
        self.acknowledged: MapContent = {}
        self.acknowledged_index = 0  # index in `history` of the last acknowledged commit
        self.history: list[MapContent] = [{}]  # map after each attempted commit
        self.checked_state_count = 0
        self.violations: list[str] = []
        files.on_operation = self.check_crash_states

    def check_crash_states(self, operation: str) -> None:
        for mode in ("all", "least", *["mixed"] * self.mixed_crash_count):
            files_after_crash = self.files.state_after_crash(self.rng, mode)
            recovered = as_dict(recover(ModelFiles(files_after_crash)).state)
            self.checked_state_count += 1
            if recovered not in self.history[self.acknowledged_index :]:
                self.violations.append(
                    f"after {operation} {self.files.operation_count} ({mode}): {sorted(recovered)}"
                )

    def random_change(self) -> Change:
        key = b"k%d" % self.rng.randrange(8)
        is_removal = self.rng.random() < 0.2
        return Change(key, None if is_removal else Entry(1, self.rng.randbytes(self.rng.randrange(1, 40))))

    def commit(self, store: Store) -> None:
        changes = [self.random_change() for _ in range(self.rng.randrange(1, 4))]
        content = as_dict(fmt.apply_changes(store.state, changes))
        self.history.append(content)
        store.commit(changes)
        self.acknowledged_index = len(self.history) - 1

    def run(self, commit_count: int = 30) -> None:
        store = Store(self.files, SMALL_LIMITS)
        store.load()
        store.begin()
        for _ in range(commit_count):
            self.commit(store)
            if self.rng.random() < 0.6:
                store.compact_step()
        store.write_final_snapshot()
        store.close()


def test_every_crash_state_recovers_to_a_map_no_older_than_the_last_acknowledged_commit():
    """Covers power loss after any operation: unsynced writes and names may be lost, torn or reordered."""
    checked_state_count = 0
    for seed in range(24):
        checker = CrashChecker(ModelFiles(), seed, mixed_crash_count=6)
        checker.run(50)
        assert not checker.violations, f"seed {seed}: {checker.violations[:3]}"
        checked_state_count += checker.checked_state_count
    assert checked_state_count > 30_000, checked_state_count


def test_acknowledged_commits_survive_repeated_crashes():
    """Guards against new commits that depend on recovered data which was never synced.

    A killed process may leave the last writes in the page cache only. Its successor reads them, and a later
    power loss may still drop them.
    """
    checked_state_count = 0
    for seed in range(60):
        rng = random.Random(seed)
        files = ModelFiles()
        history: list[MapContent] = [{}]
        acknowledged_index = 0
        for run_number in range(4):
            checker = CrashChecker(files, seed * 10 + run_number)
            checker.history, checker.acknowledged_index = history, acknowledged_index
            stop_at = files.operation_count + rng.randrange(1, 60)

            class StopRun(Exception):
                pass

            def check_and_stop(
                operation: str,
                checker: CrashChecker = checker,
                stop_at: int = stop_at,
                stop_run: type = StopRun,
            ) -> None:
                checker.check_crash_states(operation)
                if checker.files.operation_count >= stop_at:
                    raise stop_run

            files.on_operation = check_and_stop
            with contextlib.suppress(StopRun):
                checker.run(20)
            assert not checker.violations, f"seed {seed}, run {run_number}: {checker.violations[:3]}"
            checked_state_count += checker.checked_state_count
            mode = rng.choice(["all", "least", "mixed"])
            if mode == "all":  # The process was killed: unsynced data is readable but may still be lost.
                files.on_operation = lambda operation: None
                history, acknowledged_index = checker.history, checker.acknowledged_index
                recovered = as_dict(recover(files).state)
            else:
                files = ModelFiles(files.state_after_crash(rng, mode))
                recovered = as_dict(recover(files).state)
                history, acknowledged_index = [recovered], 0
            assert recovered in checker.history[checker.acknowledged_index :], (
                f"seed {seed}, run {run_number}"
            )
            if mode == "all":
                history = [*history, recovered]
                # The next run starts from the recovered map. Its crash states may still be older maps, as
                # long as no acknowledged commit is missing.
    assert checked_state_count > 5_000, checked_state_count


MUTATIONS = {
    "log not synced": lambda operation, name: operation == "sync" and name.startswith("log"),
    "snapshot not synced": lambda operation, name: operation == "sync" and name.startswith("snap"),
    "folder not synced": lambda operation, name: operation == "sync_folder",
}


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_omitted_sync_is_detected(mutation):
    """Checks that the model file system reveals the faults that it is meant to reveal."""
    violation_count = 0
    for seed in range(6):
        files = ModelFiles()
        files.should_skip = MUTATIONS[mutation]
        checker = CrashChecker(files, seed, mixed_crash_count=6)
        checker.run()
        violation_count += len(checker.violations)
    assert violation_count


def test_swapped_steps_of_a_snapshot_are_detected(monkeypatch):
    """Covers a snapshot that is renamed before its data is written, and a too early removal of old files."""

    def rename_before_write(self, state, sequence):
        name = fmt.FileName(fmt.SNAPSHOT, fmt.FORMAT_VERSION, sequence)
        handle = self.files.create(f"{name}.new")
        self.files.rename(f"{name}.new", str(name))
        self.files.sync_folder()
        for file_name in self.files.names():
            existing_name = fmt.FileName.parse(file_name)
            if existing_name is not None and existing_name.sequence < sequence:
                self.files.remove(file_name)
        yield
        handle.write(fmt.encode_header(fmt.SNAPSHOT, sequence))
        batch = [Change(key, entry) for key, entry in state.items()]
        data = fmt.encode_record(1, fmt.ENTRIES, fmt.pack_changes(batch)) if batch else b""
        handle.write(data + fmt.encode_record(2, fmt.END, len(state).to_bytes(8, "big")))
        handle.sync()
        self._snapshot_sizes[sequence] = 1

    def remove_before_write(self, state, sequence):
        for file_name in self.files.names():
            existing_name = fmt.FileName.parse(file_name)
            if existing_name is not None and existing_name.sequence < sequence + 1:
                self.files.remove(file_name)
        yield from original(self, state, sequence)

    original = Store._write_snapshot
    for mutant in (rename_before_write, remove_before_write):
        monkeypatch.setattr(store_module.Store, "_write_snapshot", mutant)
        violation_count = 0
        for seed in range(6):
            checker = CrashChecker(ModelFiles(), seed, mixed_crash_count=6)
            with contextlib.suppress(OSError, KeyError):  # the mutant may access files that it has removed
                checker.run()
            violation_count += len(checker.violations)
        assert violation_count, mutant.__name__


def failing_operations(operations: str):
    def fail(operation: str, name: str) -> None:
        if operation in operations.split():
            raise OSError(errno.EIO, "input/output error")

    return fail


@pytest.mark.parametrize("operation", ["write", "sync", "create", "rename", "sync_folder", "remove"])
def test_failed_operation_fails_commits_until_a_repair_with_new_files(operation):
    """Guards against a second fsync of a file whose first fsync failed.

    The failed fsync may have dropped the data, and the second one then wrongly succeeds.
    """
    for successful_calls in range(200):
        files = ModelFiles()
        store = Store(files, SMALL_LIMITS)
        store.load()
        store.begin()
        checker = CrashChecker(files, successful_calls)
        calls = 0

        def fail(called_operation: str, name: str, successful_calls: int = successful_calls) -> None:
            nonlocal calls
            if called_operation == operation:
                calls += 1
                if calls > successful_calls:
                    raise OSError(errno.EIO, "input/output error")

        files.before_operation = fail
        has_failed = False
        for _ in range(20):
            try:
                checker.commit(store)
                store.compact_step()
            except StoreFailedError:
                has_failed = True
                break
        assert not checker.violations, checker.violations[:3]
        if not has_failed:
            break
        with pytest.raises(StoreFailedError):
            checker.commit(store)
        files.before_operation = lambda called_operation, name: None
        store.repair()
        checker.acknowledged_index = len(checker.history) - 1
        checker.check_crash_states("repair")
        assert as_dict(store.state) == checker.history[-1]
        checker.commit(store)
        assert not checker.violations, checker.violations[:3]
    else:
        pytest.fail("the commits failed even after 200 successful calls of the operation")


def test_damaged_or_truncated_file_never_recovers_to_a_map_that_was_not_committed():
    files = ModelFiles()
    checker = CrashChecker(files, 5)
    files.on_operation = lambda operation: None
    store = Store(files, SMALL_LIMITS)
    store.begin()
    for _ in range(12):
        checker.commit(store)
        store.compact_step()
    undamaged = files.state_after_crash(random.Random(0), "all")
    rng = random.Random(7)
    for name, data in undamaged.items():
        for offset in range(len(data)):
            flipped = bytearray(data)
            flipped[offset] ^= 1 << rng.randrange(8)
            for damaged in (bytes(flipped), data[:offset], data[:offset] + bytes(len(data) - offset)):
                recovered = as_dict(recover(ModelFiles(undamaged | {name: damaged})).state)
                assert recovered in checker.history, (name, offset)


def test_damage_is_reported_with_file_name_and_byte_offset():
    files = ModelFiles()
    store = Store(files, SMALL_LIMITS)
    store.begin()
    store.commit([Change(b"a", Entry(1, b"one"))])
    log_name = next(file_name for file_name in files.names() if file_name.startswith("log"))
    data = files.read(log_name)
    recovery = recover(
        ModelFiles(
            {file_name: files.read(file_name) for file_name in files.names()} | {log_name: data + b"xyz"}
        )
    )
    assert as_dict(recovery.state) == {b"a": Entry(1, b"one")}
    assert (
        len(recovery.problems) == 1
        and log_name in recovery.problems[0]
        and f"byte {len(data)}" in recovery.problems[0]
    )


def test_files_of_a_newer_version_stay_unchanged_and_new_sequences_exceed_theirs():
    """Guards against ambiguity after a downgrade that is followed by an upgrade.

    The state that was written last must have the greater sequence.
    """
    newer_files = {
        "snap-v2-00000000000000ff": b"what a later version wrote",
        "log-v2-0000000000000100": b"more",
    }
    files = ModelFiles(dict(newer_files))
    store = Store(files, SMALL_LIMITS)
    recovery = store.load()
    assert sorted(recovery.newer_files) == sorted(newer_files) and not recovery.has_snapshot
    store.begin()
    for number in range(60):
        store.commit([Change(b"a", Entry(1, b"%d" % number))])
        store.compact_step()
    assert store.sequence > 0x100
    for name, data in newer_files.items():
        assert files.read(name) == data


def test_file_with_a_newer_version_in_its_header_is_ignored_despite_its_name():
    header_fields = struct.pack(">8sHHQ", fmt.MAGIC, 9, fmt.SNAPSHOT, 5)
    data = header_fields + struct.pack(">I", google_crc32c.value(header_fields)) + b"of the future"
    recovery = recover(ModelFiles({"snap-v1-0000000000000005": data}))
    assert not recovery.has_snapshot and recovery.newer_files == ["snap-v1-0000000000000005"]


def test_unreadable_newest_snapshot_loses_nothing_if_the_previous_one_and_its_log_are_intact():
    files = ModelFiles()
    store = Store(files, SMALL_LIMITS)
    store.begin()
    for number in range(200):
        store.commit([Change(b"k%d" % (number % 9), Entry(1, b"%03d" % number))])
        store.compact_step()
    undamaged = {name: files.read(name) for name in files.names()}
    newest = max(name for name in undamaged if name.startswith("snap") and not name.endswith("new"))
    recovery = recover(ModelFiles(undamaged | {newest: b"rotten"}))
    assert as_dict(recovery.state) == as_dict(store.state)
    assert any(newest in problem for problem in recovery.problems)


def test_log_files_after_a_damaged_one_are_never_mixed_with_new_commits():
    """Guards against an old log file that follows a gap and is replayed as the continuation of a new one."""
    files = ModelFiles()
    store = Store(files, StoreLimits(segment_bytes=220))
    store.begin()
    for number in range(40):
        store.commit([Change(b"k", Entry(1, b"old %d" % number))])
    files_by_name = {name: files.read(name) for name in files.names()}
    logs = sorted(name for name in files_by_name if name.startswith("log"))
    assert len(logs) > 3
    files_by_name[logs[1]] = b"gone"
    files = ModelFiles(files_by_name)
    store = Store(files, StoreLimits())
    recovery = store.load()
    assert recovery.problems
    store.begin()
    recovered = {}
    for number in range(60):
        store.commit([Change(b"k", Entry(1, b"new %d" % number))])
        recovered = as_dict(recover(files).state)
        assert recovered == {b"k": Entry(1, b"new %d" % number)}


def test_disk_usage_is_bounded_under_continuous_commits():
    files = ModelFiles()
    store = Store(files, StoreLimits(segment_bytes=20_000, log_bytes=50_000, slice_bytes=4_000))
    store.begin()
    rng = random.Random(3)
    max_bytes = 0
    for _ in range(1500):
        store.commit([Change(b"k%d" % rng.randrange(50), Entry(1, rng.randbytes(400)))])
        store.compact_step()
        max_bytes = max(max_bytes, sum(len(inode.content()) for inode in files.visible_files.values()))
    assert max_bytes < 6 * 50_000, max_bytes
    assert store.bytes == sum(len(files.read(name)) for name in files.names() if not name.endswith("new"))


def test_commit_fails_if_the_files_would_exceed_the_size_limit():
    store = Store(ModelFiles(), StoreLimits(max_total_bytes=5_000))
    store.begin()
    with pytest.raises(StoreFailedError, match="5000 bytes"):
        for number in range(100):
            store.commit([Change(b"k%d" % number, Entry(1, bytes(200)))])


def test_directory_lock_excludes_a_second_holder(tmp_path):
    first = DirectoryLock(tmp_path)
    with pytest.raises(DirectoryBusyError, match=str(os.getpid())):
        DirectoryLock(tmp_path)
    directory_id = first.directory_id
    first.release()
    second = DirectoryLock(tmp_path)
    assert second.directory_id == directory_id  # the same directory, not a copy
    second.release()


def test_store_on_real_files_recovers_the_last_commit(tmp_path):
    files = RealFiles(tmp_path)
    store = Store(files, SMALL_LIMITS)
    store.begin()
    checker = CrashChecker(ModelFiles(), 11)
    for _ in range(50):
        checker.commit(store)
        store.compact_step()
    assert as_dict(recover(files).state) == checker.history[-1]
    store.write_final_snapshot()
    assert as_dict(recover(RealFiles(tmp_path)).state) == checker.history[-1]


# --- the writer's thread ---


class BlockingFiles(ModelFiles):
    """A file system that blocks syncs of log files until `gate` is set, as on a disk that hangs."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = threading.Event()
        self.gate.set()
        self.before_operation = lambda operation, name: (
            self.gate.wait(20.0) if operation == "sync" and name.startswith("log") else None
        )


def wait_until(condition, timeout: float = 10.0) -> None:
    deadline = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.002)


def test_changes_queued_during_a_sync_form_one_commit():
    files = BlockingFiles()
    writer = Writer(Store(files, SMALL_LIMITS), lambda message: None)
    writer.start()
    wait_until(lambda: writer.status.is_working)
    files.gate.clear()
    results: list[bool] = []
    writer.put([Change(b"first", Entry(1, b"1"))], results.append)
    time.sleep(0.05)  # the first change may be committed alone or with the others; both are allowed
    for number in range(50):
        writer.put([Change(b"k%d" % number, Entry(1, b"x"))], results.append)
    assert not results  # no callback is called before the sync has ended
    files.gate.set()
    wait_until(lambda: len(results) == 51)
    assert all(results) and writer.status.commits <= 2
    assert writer.stop(10.0)
    assert len(recover(files).state) == 51


def test_failed_store_reports_failed_commits_at_once_and_is_repaired():
    files, messages = ModelFiles(), []
    writer = Writer(
        Store(files, SMALL_LIMITS),
        messages.append,
        WriterLimits(max_delay=0.01, min_repair_interval=0.01, max_repair_interval=0.02),
    )
    writer.start()
    wait_until(lambda: writer.status.is_working)
    files.before_operation = failing_operations("write sync create")
    results: list[bool] = []
    writer.put([Change(b"a", Entry(1, b"1"))], results.append)
    wait_until(lambda: results == [False])
    assert not writer.status.is_working and "input/output" in writer.status.failure_reason
    writer.put([Change(b"b", Entry(1, b"2"))])
    files.before_operation = lambda operation, name: None
    wait_until(lambda: writer.status.is_working)
    writer.put([Change(b"c", Entry(1, b"3"))], results.append)
    wait_until(lambda: results == [False, True])
    # The repair also stores the changes of failed commits.
    assert set(recover(files).state) == {b"a", b"b", b"c"}
    assert writer.stop(10.0)
    assert messages == [
        "store failed: changes are no longer durable: input/output error",
        "store repaired: changes are durable again",
    ]


def test_pending_changes_are_bounded_while_the_disk_hangs():
    files = BlockingFiles()
    writer = Writer(
        Store(files, SMALL_LIMITS), lambda message: None, WriterLimits(max_delay=0.0, max_pending=10)
    )
    writer.start()
    wait_until(lambda: writer.status.is_working)
    files.gate.clear()
    writer.put([Change(b"x", Entry(1, b"1"))], lambda is_durable: None)
    results: list[bool] = []
    for number in range(100):
        writer.put([Change(b"k%d" % number, Entry(1, b"1"))], results.append)
    assert results.count(False) >= 80 and writer.status.lost_changes >= 80
    files.gate.set()
    assert writer.stop(10.0)


COMMIT_FOREVER_SCRIPT = """
import sys
from pathlib import Path
from saffronlane.storage import Change, Entry, RealFiles, Store, StoreLimits
files = RealFiles(Path(sys.argv[1]))
store = Store(files, StoreLimits(segment_bytes=3000, log_bytes=9000, slice_bytes=500))
recovery = store.load()
store.begin()
n = int.from_bytes(recovery.state[b"n"].value, "big") if b"n" in recovery.state else 0
while True:
    n += 1
    value = Entry(1, n.to_bytes(8, "big"))
    store.commit([Change(b"n", value), Change(b"k%d" % (n % 40), Entry(1, bytes(60))), Change(b"m", value)])
    sys.stdout.write("%d\\n" % n)
    sys.stdout.flush()
    store.compact_step()
"""


def test_sigkill_during_commits_loses_no_acknowledged_commit(tmp_path):
    """After SIGKILL at any moment, all acknowledged commits are recovered and no commit is partial."""
    kill_count = int(os.environ.get("SAFFRONLANE_KILLS", "12"))
    rng, last_acknowledged = random.Random(1), 0
    for _ in range(kill_count):
        process = subprocess.Popen(
            [sys.executable, "-c", COMMIT_FOREVER_SCRIPT, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        assert process.stdout is not None
        for _ in range(rng.randrange(1, 150)):
            last_acknowledged = int(process.stdout.readline())
        process.send_signal(signal.SIGKILL)
        remaining_lines = process.stdout.read().split("\n")  # the last line may be truncated
        last_acknowledged = max([last_acknowledged, *(int(line) for line in remaining_lines[:-1])])
        process.wait()
        recovery = recover(RealFiles(tmp_path))
        assert recovery.state[b"n"] == recovery.state[b"m"]
        assert int.from_bytes(recovery.state[b"n"].value, "big") >= last_acknowledged
        last_acknowledged = int.from_bytes(recovery.state[b"n"].value, "big")


def test_discarded_history_leaves_two_snapshots_without_earlier_state():
    """Guards against two snapshots of one sequence: the second replaces the first, not an older one."""
    files = ModelFiles()
    store = Store(files)
    store.begin()
    for number in range(3):
        store.commit([Change(b"purged-%d" % number, Entry(1, b"purged"))])
        store.write_final_snapshot()
    removals = [Change(b"purged-%d" % number, None) for number in range(3)]
    store.commit([*removals, Change(b"kept", Entry(1, b"1"))])
    store.discard_history()
    store.commit([Change(b"later", Entry(1, b"2"))])
    assert sum(name.startswith("snap") for name in files.names()) == 2
    assert not [name for name in files.names() if b"purged" in files.read(name)]
    assert as_dict(recover(files).state) == {b"kept": Entry(1, b"1"), b"later": Entry(1, b"2")}


def test_every_crash_state_while_history_is_discarded_recovers_to_the_last_commit():
    for seed in range(8):
        checker = CrashChecker(ModelFiles(), seed, mixed_crash_count=6)
        checker.run(10)
        store = Store(checker.files, SMALL_LIMITS)
        store.load()
        store.begin()
        checked_state_count = checker.checked_state_count
        store.discard_history()
        assert checker.checked_state_count > checked_state_count + 50
        assert not checker.violations, f"seed {seed}: {checker.violations[:3]}"
