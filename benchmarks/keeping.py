"""What keeping costs: commits, a flood, recovery, and a gateway with and without a folder side by side.

    python benchmarks/keeping.py [--seconds 4] [--rounds 5] [--no-gateway]

The disk is that of the temporary folder (TMPDIR chooses another one).
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


def commits(folder: Path, askers: int, seconds: float) -> tuple[float, float, float, float]:
    """Changes a second, their 50th and 99th percentile in ms, and changes in a commit."""
    writer = Writer(Store(RealFiles(folder)), print)
    writer.start()
    took: list[float] = []
    end = time.monotonic() + seconds

    def ask(number: int) -> None:
        n = 0
        while (began := time.monotonic()) < end:
            done = threading.Event()
            n += 1
            entry = Entry(1, bytes(100))
            writer.put([Change(b"%d.%d" % (number, n % 500), entry)], lambda kept, done=done: done.set())
            done.wait()
            took.append(time.monotonic() - began)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(askers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    count = writer.status.commits
    writer.stop(10.0)
    p50, p99 = np.percentile(took, [50, 99]) * 1e3
    return len(took) / seconds, float(p50), float(p99), len(took) / max(1, count)


def flood(folder: Path, megabytes: float, seconds: float) -> tuple[float, float, float, float]:
    """Changes of so many MB a second that nobody waits for, over 50,000 keys, and one asker beside them.

    MB given, largest size on disk in MB, and the asker's 50th and 99th percentile in ms.
    """
    store = Store(RealFiles(folder))
    writer = Writer(store, print)
    writer.start()
    draw, given, largest = Random(1), 0, 0
    took: list[float] = []
    began = time.monotonic()
    while (now := time.monotonic()) < began + seconds:
        while given < megabytes * 1e6 * (now - began):
            writer.put([Change(b"k%d" % draw.randrange(50_000), Entry(1, draw.randbytes(1000)))])
            given += 1000
        done = threading.Event()
        asked = time.monotonic()
        writer.put([Change(b"asked", Entry(1, bytes(100)))], lambda kept, done=done: done.set())
        done.wait()
        took.append(time.monotonic() - asked)
        largest = max(largest, sum(p.stat().st_size for p in folder.iterdir()))
    writer.stop(30.0)
    p50, p99 = np.percentile(took, [50, 99]) * 1e3
    return given / 1e6, largest / 1e6, float(p50), float(p99)


def recovery(folder: Path, megabytes: int) -> tuple[float, float]:
    """Seconds to read so much, and to lay the ground anew, which is the first commit's wait."""
    store = Store(RealFiles(folder))
    store.begin()
    draw = Random(1)
    for part in range(megabytes):
        values = [Change(b"%d.%d" % (part, n), Entry(1, draw.randbytes(1000))) for n in range(1000)]
        store.commit(values)
        store.compact_step()
    store.close()
    began = time.monotonic()
    fresh = Store(RealFiles(folder))
    fresh.load()
    read = time.monotonic()
    assert len(fresh.state) == 1000 * megabytes == len(recover(RealFiles(folder)).state)
    laid = time.monotonic()
    fresh.begin()
    return read - began, time.monotonic() - laid


def gateways(folder: Path, seconds: float, rounds: int, threads: int) -> None:
    context = mp.get_context("spawn")
    engines = [free_port() for _ in range(3)]
    children: list[Any] = [context.Process(target=engine, args=(p,), daemon=True) for p in engines]
    for child in children:
        child.start()
    time.sleep(3.0)
    off, off_port = gateway(folder / "off", engines, 1)
    on, on_port = gateway(folder / "on", engines, 1, kept=True)
    print(f"{'class':>8}{'threads':>8}{'folder':>8}{'per s':>9}{'p50 ms':>9}{'p99 ms':>9}{'to off':>8}")
    for cls in ("lookup", "change"):
        for count in (1, threads):
            found: dict[str, list[dict[str, float]]] = {"off": [], "on": []}
            for number in range(rounds):  # in turns, and each first in half of the rounds
                ways = [("off", off_port), ("on", on_port)]
                for way, port in ways if number % 2 else ways[::-1]:
                    found[way].append(measure(port, count, seconds, cls))
            for way, measured in found.items():
                middle = {key: float(np.median([m[key] for m in measured])) for key in measured[0]}
                pairs = zip(measured, found["off"], strict=True)
                ratio = float(np.median([mine["per_s"] / other["per_s"] for mine, other in pairs]))
                print(
                    f"{cls:>8}{count:8}{way:>8}{middle['per_s']:9.0f}{middle['p50_ms']:9.2f}"
                    f"{middle['p99_ms']:9.2f}{ratio:8.3f}",
                    flush=True,
                )
    for process in (off, on):
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
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for askers in (1, 16, 64):
            per_s, p50, p99, each = commits(folder / f"commits-{askers}", askers, options.seconds)
            latency = f"p50 {p50:.2f} ms, p99 {p99:.2f} ms"
            print(f"{askers:3} askers: {per_s:7.0f} changes/s, {latency}, {each:.1f} a commit")
        given, largest, p50, p99 = flood(folder / "flood", 10.0, 2.0 * options.seconds)
        beside = f"p50 {p50:.2f} ms, p99 {p99:.2f} ms"
        print(f"flood of {given:.0f} MB: at most {largest:.0f} MB on disk; beside it {beside}")
        for size in (1, 100):
            read, laid = recovery(folder / f"size-{size}", size)
            print(f"{size:4} MB: read in {read:.3f} s, ground laid anew in {laid:.3f} s")
        if not options.no_gateway:
            gateways(folder, options.seconds, options.rounds, options.threads)


if __name__ == "__main__":
    main()
