"""The store on a model file system: in every state that a crash may leave, recovery tells no lie."""

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

SMALL = StoreLimits(
    segment_bytes=220, log_bytes=400, slice_bytes=90
)  # bytes: a few commits go through all that a store does
Snapshot = dict[bytes, Entry]


def plain(state: fmt.StoredMap) -> Snapshot:
    return dict(state.items())


class Life:
    """Drives a store, and checks every crash state after every operation against what was committed."""

    def __init__(self, files: ModelFiles, seed: int, tries: int = 1) -> None:
        self.files, self.draw, self.tries = files, random.Random(seed), tries
        self.states: dict[int, Snapshot] = {}
        self.acknowledged: Snapshot = {}
        self.promised = 0  # commits acknowledged
        self.history: list[Snapshot] = [{}]  # state after each commit that was tried
        self.checked = 0
        self.lies: list[str] = []
        files.watch = self.check

    def check(self, operation: str) -> None:
        for mode in ("all", "least", *["mixed"] * self.tries):
            left = self.files.crash(self.draw, mode)
            found = plain(recover(ModelFiles(left)).state)
            self.checked += 1
            if found not in self.history[self.promised :]:
                self.lies.append(f"after {operation} {self.files.operations} ({mode}): {sorted(found)}")

    def change(self) -> Change:
        key = b"k%d" % self.draw.randrange(8)
        gone = self.draw.random() < 0.2
        return Change(key, None if gone else Entry(1, self.draw.randbytes(self.draw.randrange(1, 40))))

    def commit(self, store: Store) -> None:
        changes = [self.change() for _ in range(self.draw.randrange(1, 4))]
        after = plain(fmt.apply_changes(store.state, changes))
        self.history.append(after)
        store.commit(changes)
        self.promised = len(self.history) - 1

    def run(self, commits: int = 30) -> None:
        store = Store(self.files, SMALL)
        store.load()
        store.begin()
        for _ in range(commits):
            self.commit(store)
            if self.draw.random() < 0.6:
                store.compact_step()
        store.write_final_snapshot()
        store.close()


def test_every_crash_state_recovers_to_a_committed_map_no_older_than_acknowledged():
    """Power loss at any operation, with writes and names lost, torn and reordered between syncs."""
    checked = 0
    for seed in range(24):
        life = Life(ModelFiles(), seed, tries=6)
        life.run(50)
        assert not life.lies, f"seed {seed}: {life.lies[:3]}"
        checked += life.checked
    assert checked > 30_000, checked


def test_a_second_life_after_any_crash_keeps_what_the_first_was_promised():
    """Guards against building on what was read from memory only: the first life's tail was never synced."""
    checked = 0
    for seed in range(60):
        draw = random.Random(seed)
        files = ModelFiles()
        history: list[Snapshot] = [{}]
        promised = 0
        for life_number in range(4):
            life = Life(files, seed * 10 + life_number)
            life.history, life.promised = history, promised
            stop_at = files.operations + draw.randrange(1, 60)

            class Stop(Exception):
                pass

            def watch(operation: str, life: Life = life, stop_at: int = stop_at, stop: type = Stop) -> None:
                life.check(operation)
                if life.files.operations >= stop_at:
                    raise stop

            files.watch = watch
            with contextlib.suppress(Stop):
                life.run(20)
            assert not life.lies, f"seed {seed}, life {life_number}: {life.lies[:3]}"
            checked += life.checked
            mode = draw.choice(["all", "least", "mixed"])
            if mode == "all":  # killed, and the machine went on: what was not synced may still be lost
                files.watch = lambda operation: None
                history, promised = life.history, life.promised
                found = plain(recover(files).state)
            else:
                files = ModelFiles(files.crash(draw, mode))
                found = plain(recover(files).state)
                history, promised = [found], 0
            assert found in life.history[life.promised :], f"seed {seed}, life {life_number}"
            if mode == "all":
                history = [*history, found]
                # What was read is the start of the next life; until its first snapshot the old promise holds.
    assert checked > 5_000, checked


MUTATIONS = {
    "log not synced": lambda operation, name: operation == "sync" and name.startswith("log"),
    "snapshot not synced": lambda operation, name: operation == "sync" and name.startswith("snap"),
    "folder not synced": lambda operation, name: operation == "sync_folder",
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_leaving_out_any_kind_of_sync_is_caught(name):
    """The model is worth something only if it sees the mistakes that it is there for."""
    lies = 0
    for seed in range(6):
        files = ModelFiles()
        files.skip = MUTATIONS[name]
        life = Life(files, seed, tries=6)
        life.run()
        lies += len(life.lies)
    assert lies


def test_swapping_two_steps_is_caught(monkeypatch):
    """Old files removed before the new snapshot has its name for good; the name given before the data."""

    def early_name(self, state, sequence):
        name = fmt.FileName(fmt.SNAPSHOT, fmt.FORMAT_VERSION, sequence)
        handle = self.files.create(f"{name}.new")
        self.files.rename(f"{name}.new", str(name))
        self.files.sync_folder()
        for text in self.files.names():
            other = fmt.FileName.parse(text)
            if other is not None and other.sequence < sequence:
                self.files.remove(text)
        yield
        handle.write(fmt.encode_header(fmt.SNAPSHOT, sequence))
        batch = [Change(k, e) for k, e in state.items()]
        data = fmt.encode_record(1, fmt.ENTRIES, fmt.pack_changes(batch)) if batch else b""
        handle.write(data + fmt.encode_record(2, fmt.END, len(state).to_bytes(8, "big")))
        handle.sync()
        self._snapshot_sizes[sequence] = 1

    def removes_first(self, state, sequence):
        for text in self.files.names():
            other = fmt.FileName.parse(text)
            if other is not None and other.sequence < sequence + 1:
                self.files.remove(text)
        yield from original(self, state, sequence)

    original = Store._write_snapshot
    for mutant in (early_name, removes_first):
        monkeypatch.setattr(store_module.Store, "_write_snapshot", mutant)
        lies = 0
        for seed in range(6):
            life = Life(ModelFiles(), seed, tries=6)
            with contextlib.suppress(OSError, KeyError):  # the mutant trips over its own removals
                life.run()
            lies += len(life.lies)
        assert lies, mutant.__name__


def full(of: str):
    def fail(operation: str, name: str) -> None:
        if operation in of.split():
            raise OSError(errno.EIO, "input/output error")

    return fail


@pytest.mark.parametrize("operation", ["write", "sync", "create", "rename", "sync_folder", "remove"])
def test_after_a_failed_operation_nothing_open_is_used_again_and_repair_keeps_all(operation):
    """A failed fsync may have thrown the data away and say yes the next time: only fresh files count."""
    for at in range(200):
        files = ModelFiles()
        store = Store(files, SMALL)
        store.load()
        store.begin()
        life = Life(files, at)
        calls = 0

        def fail(op: str, name: str, at: int = at) -> None:
            nonlocal calls
            if op == operation:
                calls += 1
                if calls > at:
                    raise OSError(errno.EIO, "input/output error")

        files.fail = fail
        failed = False
        for _ in range(20):
            try:
                life.commit(store)
                store.compact_step()
            except StoreFailedError:
                failed = True
                break
        assert not life.lies, life.lies[:3]
        if not failed:
            break
        with pytest.raises(StoreFailedError):
            life.commit(store)
        files.fail = lambda op, name: None
        store.repair()
        life.promised = len(life.history) - 1
        life.check("repair")
        assert plain(store.state) == life.history[-1]
        life.commit(store)
        assert not life.lies, life.lies[:3]
    else:
        pytest.fail("the operation failed 200 times and the store never came to its end")


def test_no_byte_changed_or_cut_off_anywhere_gives_a_map_that_was_not_committed():
    files = ModelFiles()
    life = Life(files, 5)
    files.watch = lambda operation: None
    store = Store(files, SMALL)
    store.begin()
    for _ in range(12):
        life.commit(store)
        store.compact_step()
    whole = files.crash(random.Random(0), "all")
    draw = random.Random(7)
    for name, data in whole.items():
        for at in range(len(data)):
            broken = bytearray(data)
            broken[at] ^= 1 << draw.randrange(8)
            for changed in (bytes(broken), data[:at], data[:at] + bytes(len(data) - at)):
                found = plain(recover(ModelFiles(whole | {name: changed})).state)
                assert found in life.history, (name, at)


def test_damage_is_told_by_file_and_byte():
    files = ModelFiles()
    store = Store(files, SMALL)
    store.begin()
    store.commit([Change(b"a", Entry(1, b"one"))])
    name = next(n for n in files.names() if n.startswith("log"))
    data = files.read(name)
    found = recover(ModelFiles({n: files.read(n) for n in files.names()} | {name: data + b"xyz"}))
    assert plain(found.state) == {b"a": Entry(1, b"one")}
    assert len(found.problems) == 1 and name in found.problems[0] and f"byte {len(data)}" in found.problems[0]


def test_files_of_a_newer_version_are_left_as_they_are_and_ours_count_on_from_beyond_them():
    """Guards a downgrade, and the upgrade after it: whose state is the later one must stay clear."""
    newer = {"snap-v2-00000000000000ff": b"what a later version wrote", "log-v2-0000000000000100": b"more"}
    files = ModelFiles(dict(newer))
    store = Store(files, SMALL)
    found = store.load()
    assert sorted(found.newer_files) == sorted(newer) and not found.has_snapshot
    store.begin()
    for n in range(60):
        store.commit([Change(b"a", Entry(1, b"%d" % n))])
        store.compact_step()
    assert store.sequence > 0x100
    for name, data in newer.items():
        assert files.read(name) == data


def test_a_header_of_a_newer_format_is_ignored_whatever_the_name_says():
    start = struct.pack(">8sHHQ", fmt.MAGIC, 9, fmt.SNAPSHOT, 5)
    data = start + struct.pack(">I", google_crc32c.value(start)) + b"of the future"
    found = recover(ModelFiles({"snap-v1-0000000000000005": data}))
    assert not found.has_snapshot and found.newer_files == ["snap-v1-0000000000000005"]


def test_an_unreadable_newest_snapshot_costs_nothing_while_the_one_before_and_its_log_are_there():
    files = ModelFiles()
    store = Store(files, SMALL)
    store.begin()
    for n in range(200):
        store.commit([Change(b"k%d" % (n % 9), Entry(1, b"%03d" % n))])
        store.compact_step()
    whole = {n: files.read(n) for n in files.names()}
    newest = max(n for n in whole if n.startswith("snap") and not n.endswith("new"))
    found = recover(ModelFiles(whole | {newest: b"rotten"}))
    assert plain(found.state) == plain(store.state)
    assert any(newest in text for text in found.problems)


def test_sequences_behind_damage_are_never_mixed_with_new_ones():
    """Guards against an old log that lies behind a gap being taken for the continuation of a new one."""
    files = ModelFiles()
    store = Store(files, StoreLimits(segment_bytes=220))
    store.begin()
    for n in range(40):
        store.commit([Change(b"k", Entry(1, b"old %d" % n))])
    whole = {n: files.read(n) for n in files.names()}
    logs = sorted(n for n in whole if n.startswith("log"))
    assert len(logs) > 3
    whole[logs[1]] = b"gone"
    files = ModelFiles(whole)
    store = Store(files, StoreLimits())
    before = store.load()
    assert before.problems
    store.begin()
    last = {}
    for n in range(60):
        store.commit([Change(b"k", Entry(1, b"new %d" % n))])
        last = plain(recover(files).state)
        assert last == {b"k": Entry(1, b"new %d" % n)}


def test_disk_use_is_bounded_in_a_flood_of_changes():
    files = ModelFiles()
    store = Store(files, StoreLimits(segment_bytes=20_000, log_bytes=50_000, slice_bytes=4_000))
    store.begin()
    draw = random.Random(3)
    most = 0
    for _ in range(1500):
        store.commit([Change(b"k%d" % draw.randrange(50), Entry(1, draw.randbytes(400)))])
        store.compact_step()
        most = max(most, sum(len(i.content()) for i in files.now.values()))
    assert most < 6 * 50_000, most
    assert store.bytes == sum(len(files.read(n)) for n in files.names() if not n.endswith("new"))


def test_a_store_past_its_bound_fails_rather_than_fills_the_disk():
    store = Store(ModelFiles(), StoreLimits(max_total_bytes=5_000))
    store.begin()
    with pytest.raises(StoreFailedError, match="5000 bytes"):
        for n in range(100):
            store.commit([Change(b"k%d" % n, Entry(1, bytes(200)))])


def test_one_folder_is_used_by_one_at_a_time(tmp_path):
    first = DirectoryLock(tmp_path)
    with pytest.raises(DirectoryBusyError, match=str(os.getpid())):
        DirectoryLock(tmp_path)
    place = first.directory_id
    first.release()
    again = DirectoryLock(tmp_path)
    assert again.directory_id == place  # the same folder, not a copy
    again.release()


def test_the_real_folder_does_what_the_model_does(tmp_path):
    files = RealFiles(tmp_path)
    store = Store(files, SMALL)
    store.begin()
    life = Life(ModelFiles(), 11)
    for _ in range(50):
        life.commit(store)
        store.compact_step()
    assert plain(recover(files).state) == life.history[-1]
    store.write_final_snapshot()
    assert plain(recover(RealFiles(tmp_path)).state) == life.history[-1]


# --- the writer's thread ---


class Slow(ModelFiles):
    """Syncs of logs wait for a gate, as a disk that hangs would."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = threading.Event()
        self.gate.set()
        self.fail = lambda operation, name: (
            self.gate.wait(20.0) if operation == "sync" and name.startswith("log") else None
        )


def until(true, timeout: float = 10.0) -> None:
    end = time.monotonic() + timeout
    while not true():
        assert time.monotonic() < end
        time.sleep(0.002)


def test_what_waits_together_is_one_commit():
    files = Slow()
    writer = Writer(Store(files, SMALL), lambda text: None)
    writer.start()
    until(lambda: writer.status.is_working)
    files.gate.clear()
    heard: list[bool] = []
    writer.put([Change(b"first", Entry(1, b"1"))], heard.append)
    time.sleep(0.05)  # decides nothing: the first may be on its way alone, or go with the others
    for n in range(50):
        writer.put([Change(b"k%d" % n, Entry(1, b"x"))], heard.append)
    assert not heard  # nobody is told before the disk has it
    files.gate.set()
    until(lambda: len(heard) == 51)
    assert all(heard) and writer.status.commits <= 2
    assert writer.stop(10.0)
    assert len(recover(files).state) == 51


def test_a_store_that_fails_says_no_at_once_and_is_repaired_with_fresh_files():
    files, said = ModelFiles(), []
    writer = Writer(
        Store(files, SMALL),
        said.append,
        WriterLimits(max_delay=0.01, min_repair_interval=0.01, max_repair_interval=0.02),
    )
    writer.start()
    until(lambda: writer.status.is_working)
    files.fail = full("write sync create")
    heard: list[bool] = []
    writer.put([Change(b"a", Entry(1, b"1"))], heard.append)
    until(lambda: heard == [False])
    assert not writer.status.is_working and "input/output" in writer.status.failure_reason
    writer.put([Change(b"b", Entry(1, b"2"))])
    files.fail = lambda operation, name: None
    until(lambda: writer.status.is_working)
    writer.put([Change(b"c", Entry(1, b"3"))], heard.append)
    until(lambda: heard == [False, True])
    assert set(recover(files).state) == {b"a", b"b", b"c"}  # what nobody was promised is kept all the same
    assert writer.stop(10.0)
    assert said == [
        "store failed: changes are no longer durable: input/output error",
        "store repaired: changes are durable again",
    ]


def test_what_waits_for_a_disk_that_hangs_is_bounded():
    files = Slow()
    writer = Writer(Store(files, SMALL), lambda text: None, WriterLimits(max_delay=0.0, max_pending=10))
    writer.start()
    until(lambda: writer.status.is_working)
    files.gate.clear()
    writer.put([Change(b"x", Entry(1, b"1"))], lambda kept: None)
    heard: list[bool] = []
    for n in range(100):
        writer.put([Change(b"k%d" % n, Entry(1, b"1"))], heard.append)
    assert heard.count(False) >= 80 and writer.status.lost_changes >= 80
    files.gate.set()
    assert writer.stop(10.0)


KILLED = """
import sys
from pathlib import Path
from saffronlane.storage import Change, Entry, RealFiles, Store, StoreLimits
files = RealFiles(Path(sys.argv[1]))
store = Store(files, StoreLimits(segment_bytes=3000, log_bytes=9000, slice_bytes=500))
found = store.load()
store.begin()
n = int.from_bytes(found.state[b"n"].value, "big") if b"n" in found.state else 0
while True:
    n += 1
    value = Entry(1, n.to_bytes(8, "big"))
    store.commit([Change(b"n", value), Change(b"k%d" % (n % 40), Entry(1, bytes(60))), Change(b"m", value)])
    sys.stdout.write("%d\\n" % n)
    sys.stdout.flush()
    store.compact_step()
"""


def test_processes_killed_while_they_write_leave_a_whole_map(tmp_path):
    """SIGKILL at any moment: what was acknowledged is there, and no commit is there by half."""
    kills = int(os.environ.get("SAFFRONLANE_KILLS", "12"))
    draw, last = random.Random(1), 0
    for _ in range(kills):
        process = subprocess.Popen(
            [sys.executable, "-c", KILLED, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        assert process.stdout is not None
        for _ in range(draw.randrange(1, 150)):
            last = int(process.stdout.readline())
        process.send_signal(signal.SIGKILL)
        rest = process.stdout.read().split("\n")  # the last line may be cut off
        last = max([last, *(int(line) for line in rest[:-1])])
        process.wait()
        found = recover(RealFiles(tmp_path))
        assert found.state[b"n"] == found.state[b"m"]
        assert int.from_bytes(found.state[b"n"].value, "big") >= last
        last = int.from_bytes(found.state[b"n"].value, "big")
