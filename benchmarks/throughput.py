"""Measures queries per second and latency: directly to an engine, through a proxy and through the gateway.

All variants run side by side. The engines are pyarrow (C++) Flight servers, each in its own process. The
clients are pyarrow clients in separate processes. Each query is a GetFlightInfo and a DoGet with a small
result. The proxy uses grpcio.aio and selects engines in round-robin order. Prints medians over the rounds. In
each round, the variants are measured one after the other.

    python benchmarks/throughput.py [--seconds 4] [--threads 16] [--workers 4]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing as mp
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import numpy as np

METHODS = "/arrow.flight.protocol.FlightService/"
QUERY = "SELECT * FROM plays WHERE id = 7"
CLIENT_PROCESSES = 4


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def engine(port: int) -> None:
    import pyarrow as pa
    import pyarrow.flight as paf

    table = pa.table({"id": [1, 2, 3], "name": ["a", "b", "c"]})

    class Engine(paf.FlightServerBase):
        def get_flight_info(self, context: Any, descriptor: Any) -> Any:
            endpoint = paf.FlightEndpoint(b"ticket", [])
            return paf.FlightInfo(table.schema, descriptor, [endpoint], -1, -1)

        def do_get(self, context: Any, ticket: Any) -> Any:
            return paf.RecordBatchStream(table)

    Engine(f"grpc://127.0.0.1:{port}").serve()


def proxy(port: int, engines: list[int]) -> None:
    """Runs a minimal grpcio.aio proxy that forwards messages as bytes to the engines in round-robin order."""
    import itertools

    import grpc
    import grpc.aio

    async def main() -> None:
        channels = [grpc.aio.insecure_channel(f"127.0.0.1:{p}") for p in engines]
        round_robin = itertools.cycle(channels)

        class ForwardingHandler(grpc.GenericRpcHandler):
            def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler:
                method = details.method

                async def forward(request: bytes, context: Any) -> Any:
                    async for message in next(round_robin).unary_stream(method)(request):
                        yield message

                return grpc.unary_stream_rpc_method_handler(forward)

        server = grpc.aio.server(handlers=[ForwardingHandler()])
        server.add_insecure_port(f"127.0.0.1:{port}")
        await server.start()
        await server.wait_for_termination()

    asyncio.run(main())


def client(port: int, threads: int, seconds: float, results: Any, cls: str = "lookup") -> None:
    import itertools
    import os
    import threading

    import pyarrow.flight as paf
    from google.protobuf.any_pb2 import Any as AnyMessage

    from saffronlane.proto import flight_sql_pb2 as sql

    command = AnyMessage()
    command.Pack(sql.CommandStatementQuery(query=QUERY))
    descriptor = paf.FlightDescriptor.for_command(command.SerializeToString())
    latencies: list[float] = []
    errors = [0]
    key_numbers = itertools.count()
    warm_up_end = time.monotonic() + 0.7
    end = warm_up_end + seconds

    def run_queries() -> None:
        with paf.FlightClient(f"grpc://127.0.0.1:{port}") as flight_client:
            while (started_at := time.monotonic()) < end:
                headers = [(b"saffronlane-class", cls.encode())]
                if cls != "lookup":  # a unique key, which the gateway stores before it dispatches the query
                    headers.append((b"saffronlane-key", b"%d.%d" % (os.getpid(), next(key_numbers))))
                options = paf.FlightCallOptions(headers=headers)
                try:
                    info = flight_client.get_flight_info(descriptor, options)
                    flight_client.do_get(info.endpoints[0].ticket, options).read_all()
                except paf.FlightError:
                    errors[0] += 1
                    continue
                if started_at >= warm_up_end:
                    latencies.append(time.monotonic() - started_at)

    workers = [threading.Thread(target=run_queries) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    results.put((latencies, errors[0]))


def measure(port: int, threads: int, seconds: float, cls: str = "lookup") -> dict[str, float]:
    context = mp.get_context("spawn")
    results: Any = context.Queue()
    processes = min(CLIENT_PROCESSES, threads)
    thread_counts = [threads // processes + (n < threads % processes) for n in range(processes)]
    clients = [context.Process(target=client, args=(port, n, seconds, results, cls)) for n in thread_counts]
    for process in clients:
        process.start()
    client_results = [results.get(timeout=seconds + 60) for _ in clients]
    for process in clients:
        process.join()
    latencies = np.array([latency for part, _ in client_results for latency in part])
    return {
        "per_s": len(latencies) / seconds,
        "p50_ms": float(np.percentile(latencies, 50)) * 1e3,
        "p99_ms": float(np.percentile(latencies, 99)) * 1e3,
        "errors": float(sum(errors for _, errors in client_results)),
    }


def gateway(
    folder: Path, engines: list[int], workers: int, is_persistent: bool = False
) -> tuple[subprocess.Popen[str], int]:
    folder.mkdir()
    endpoints = [{"id": f"e{n}", "address": f"127.0.0.1:{p}"} for n, p in enumerate(engines)]
    (folder / "engines.json").write_text(json.dumps({"engines": endpoints}))
    settings = {
        "listen": {"port": 0},
        "engines": {"file": "engines.json"},
        "gateway": {"count": workers, "workers": workers, "grace_s": 1},
        "kinds": [{"name": "any", "cores": 8}],
        "classes": [
            {"name": "lookup", "aim_s": 1.0, "deadline_s": 10.0},
            {"name": "change", "aim_s": 1.0, "deadline_s": 10.0, "effect": "unsafe"},
        ],
        **({"knowledge": {"folder": "kept"}} if is_persistent else {}),
    }
    (folder / "gateway.json").write_text(json.dumps(settings))
    command = [sys.executable, "-m", "saffronlane", "serve", str(folder / "gateway.json")]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None
    listening_workers, port = 0, 0
    for line in process.stderr:
        record = json.loads(line)
        if record["event"] == "listening":
            listening_workers, port = listening_workers + 1, record["port"]
            if listening_workers == workers:
                return process, port
    raise SystemExit("the gateway exited before all of its workers were listening")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--threads", type=int, default=16)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    context = mp.get_context("spawn")
    engines = [free_port() for _ in range(3)]
    children: list[Any] = [context.Process(target=engine, args=(p,), daemon=True) for p in engines]
    proxy_port = free_port()
    children.append(context.Process(target=proxy, args=(proxy_port, engines), daemon=True))
    for child in children:
        child.start()
    time.sleep(3.0)
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = Path(temporary_folder)
        single_process, single_port = gateway(folder / "one", engines, 1)
        multi_process, multi_port = gateway(folder / "many", engines, options.workers)
        variant_ports = {
            "direct": engines[0],
            "grpcio.aio proxy": proxy_port,
            "saffronlane, 1 process": single_port,
            f"saffronlane, {options.workers} processes": multi_port,
        }
        print(
            f"{'variant':28}{'threads':>8}{'per s':>9}{'p50 ms':>9}{'p99 ms':>9}{'errors':>8}{'to proxy':>10}"
        )
        for threads in (1, 4, options.threads):
            rounds: dict[str, list[dict[str, float]]] = {variant: [] for variant in variant_ports}
            for _ in range(options.rounds):  # interleaves the variants, so that a disturbance affects all
                for variant, port in variant_ports.items():
                    rounds[variant].append(measure(port, threads, options.seconds))
            for variant, measurements in rounds.items():
                medians = {k: float(np.median([m[k] for m in measurements])) for k in measurements[0]}
                pairs = zip(measurements, rounds["grpcio.aio proxy"], strict=True)
                ratio = float(np.median([run["per_s"] / baseline["per_s"] for run, baseline in pairs]))
                print(
                    f"{variant:28}{threads:8}{medians['per_s']:9.0f}"
                    f"{medians['p50_ms']:9.2f}{medians['p99_ms']:9.2f}"
                    f"{medians['errors']:8.0f}{ratio:10.2f}",
                    flush=True,
                )
        for process in (single_process, multi_process):
            process.terminate()
            process.wait(10)
    for child in children:
        child.kill()


if __name__ == "__main__":
    main()
