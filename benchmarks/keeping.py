"""Measures the cost of persistence: commits, overload, recovery, and gateways with and without state on disk.

    python benchmarks/keeping.py [--seconds 4] [--rounds 5] [--no-gateway]

Writes to the disk of the temporary directory. TMPDIR selects another one.
"""

from __future__ import annotations

import argparse
import multiprocessing as mp
import tempfile
import threading
import time
from pathlib import Path
from random import Random
from typing import Any

import numpy as np
from throughput import engine, free_port, gateway, measure

from saffronlane.storage import Change, Entry, RealFiles, Store, Writer, recover


def commits(folder: Path, callers: int, seconds: float) -> tuple[float, float, float, float]:
    """Returns changes per second, the p50 and p99 of their latency in ms, and changes per commit.

    Each of the callers waits for the commit of its change before it makes the next one.
    """
    writer = Writer(Store(RealFiles(folder)), print)
    writer.start()
    latencies: list[float] = []
    end = time.monotonic() + seconds

    def call(number: int) -> None:
        change_count = 0
        while (started_at := time.monotonic()) < end:
            done = threading.Event()
            change_count += 1
            entry = Entry(1, bytes(100))
            writer.put(
                [Change(b"%d.%d" % (number, change_count % 500), entry)], lambda _, done=done: done.set()
            )
            done.wait()
            latencies.append(time.monotonic() - started_at)

    threads = [threading.Thread(target=call, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    commit_count = writer.status.commits
    writer.stop(10.0)
    p50, p99 = np.percentile(latencies, [50, 99]) * 1e3
    return len(latencies) / seconds, float(p50), float(p99), len(latencies) / max(1, commit_count)


def flood(folder: Path, rate_mb_per_s: float, seconds: float) -> tuple[float, float, float, float]:
    """Writes changes of 50,000 keys at a constant rate without waiting for their commits.

    Meanwhile, one caller makes single changes and waits for the commit of each.

    Returns:
        The size of all changes of the 50,000 keys in MB, the maximum size on disk in MB, and the 50th and
        99th percentile of the waiting caller's latency in ms.
    """
    store = Store(RealFiles(folder))
    writer = Writer(store, print)
    writer.start()
    random, written_bytes, max_size = Random(1), 0, 0
    latencies: list[float] = []
    started_at = time.monotonic()
    while (now := time.monotonic()) < started_at + seconds:
        while written_bytes < rate_mb_per_s * 1e6 * (now - started_at):
            writer.put([Change(b"k%d" % random.randrange(50_000), Entry(1, random.randbytes(1000)))])
            written_bytes += 1000
        done = threading.Event()
        sent_at = time.monotonic()
        writer.put([Change(b"asked", Entry(1, bytes(100)))], lambda _, done=done: done.set())
        done.wait()
        latencies.append(time.monotonic() - sent_at)
        max_size = max(max_size, sum(p.stat().st_size for p in folder.iterdir()))
    writer.stop(30.0)
    p50, p99 = np.percentile(latencies, [50, 99]) * 1e3
    return written_bytes / 1e6, max_size / 1e6, float(p50), float(p99)


def recovery(folder: Path, megabytes: int) -> tuple[float, float]:
    """Returns the seconds to read a store, and to write the snapshot that precedes its first commit."""
    store = Store(RealFiles(folder))
    store.begin()
    random = Random(1)
    for part in range(megabytes):
        changes = [Change(b"%d.%d" % (part, n), Entry(1, random.randbytes(1000))) for n in range(1000)]
        store.commit(changes)
        store.compact_step()
    store.close()
    started_at = time.monotonic()
    reopened = Store(RealFiles(folder))
    reopened.load()
    loaded_at = time.monotonic()
    assert len(reopened.state) == 1000 * megabytes == len(recover(RealFiles(folder)).state)
    begin_started_at = time.monotonic()
    reopened.begin()
    return loaded_at - started_at, time.monotonic() - begin_started_at


def gateways(folder: Path, seconds: float, rounds: int, threads: int) -> None:
    context = mp.get_context("spawn")
    engines = [free_port() for _ in range(3)]
    children: list[Any] = [context.Process(target=engine, args=(p,), daemon=True) for p in engines]
    for child in children:
        child.start()
    time.sleep(3.0)
    gateway_without, port_without = gateway(folder / "off", engines, 1)
    gateway_with, port_with = gateway(folder / "on", engines, 1, is_persistent=True)
    print(f"{'class':>8}{'threads':>8}{'state':>8}{'per s':>9}{'p50 ms':>9}{'p99 ms':>9}{'to off':>8}")
    for cls in ("lookup", "change"):
        for thread_count in (1, threads):
            results: dict[str, list[dict[str, float]]] = {"off": [], "on": []}
            for round_number in range(rounds):  # alternates which variant comes first
                variants = [("off", port_without), ("on", port_with)]
                for variant, port in variants if round_number % 2 else variants[::-1]:
                    results[variant].append(measure(port, thread_count, seconds, cls))
            for variant, measurements in results.items():
                medians = {key: float(np.median([m[key] for m in measurements])) for key in measurements[0]}
                pairs = zip(measurements, results["off"], strict=True)
                ratio = float(np.median([run["per_s"] / baseline["per_s"] for run, baseline in pairs]))
                print(
                    f"{cls:>8}{thread_count:8}{variant:>8}{medians['per_s']:9.0f}{medians['p50_ms']:9.2f}"
                    f"{medians['p99_ms']:9.2f}{ratio:8.3f}",
                    flush=True,
                )
    for process in (gateway_without, gateway_with):
        process.terminate()
        process.wait(10)
    for child in children:
        child.kill()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--threads", type=int, default=16)
    parser.add_argument("--no-gateway", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = Path(temporary_folder)
        for callers in (1, 16, 64):
            per_s, p50, p99, per_commit = commits(folder / f"commits-{callers}", callers, options.seconds)
            latency = f"p50 {p50:.2f} ms, p99 {p99:.2f} ms"
            print(f"{callers:3} callers: {per_s:7.0f} changes/s, {latency}, {per_commit:.1f} per commit")
        written_mb, max_size_mb, p50, p99 = flood(folder / "flood", 10.0, 2.0 * options.seconds)
        latency = f"p50 {p50:.2f} ms, p99 {p99:.2f} ms"
        print(
            f"overload of {written_mb:.0f} MB: at most {max_size_mb:.0f} MB on disk; waiting caller {latency}"
        )
        for size in (1, 100):
            load_s, begin_s = recovery(folder / f"size-{size}", size)
            print(f"{size:4} MB: read in {load_s:.3f} s, first snapshot written in {begin_s:.3f} s")
        if not options.no_gateway:
            gateways(folder, options.seconds, options.rounds, options.threads)


if __name__ == "__main__":
    main()
