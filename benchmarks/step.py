"""Measures the cost of a query in `dispatch.Dispatcher`, by the number of engines and of queued queries.

python benchmarks/step.py
"""

from __future__ import annotations

import time
from random import Random

from saffronlane import dispatch
from saffronlane import interface as api

QUERIES = 3_000


def make_dispatcher(engines: int, gateways: int) -> dispatch.Dispatcher:
    settings = api.Settings(
        classes=(api.ClassSettings("lookup", 1.0, 30.0), api.ClassSettings("report", 3.0, 60.0, threads=4)),
        machine_types=(api.MachineType("any", 8.0, 32_768.0),),
        gateway_count=gateways,
        limits=api.Limits(can_cancel=True, max_attempts=3, sends_retry_after=True, max_retry_after=2.0),
        guarantees=api.Guarantees(retry_budget_base=3.0, retry_budget_ratio=0.2, retry_budget_window=10.0),
        report_columns=("active",),
        reports_work=True,
        progress_interval=1.0,
    )
    core = dispatch.Dispatcher(settings, 1)
    entries = tuple(api.EngineEntry(b"e%d" % n, api.EngineState.READY) for n in range(engines))
    core.step(0.0, [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, entries)])
    return core


def query_cost(engines: int) -> float:
    """Returns the microseconds per query for submission and end, while 20 attempts are in flight."""
    core, random, in_flight, now = make_dispatcher(engines, 1), Random(1), [], 0.0
    started_at = time.perf_counter()
    for _ in range(QUERIES):
        now += 0.002
        request = core.new_request()
        submit = dispatch.Submit(
            request, int(random.random() < 0.15), 20.0, table_group=float(random.randrange(50))
        )
        effects = core.step(now, [submit])
        in_flight += [effect for effect in effects if isinstance(effect, dispatch.StartAttempt)]
        if len(in_flight) > 20:
            finished_attempt = in_flight.pop(0)
            end = dispatch.AttemptDone(
                finished_attempt.request, finished_attempt.attempt, api.Outcome.OK, 0.05, 0.05, 10.0, (3.0,)
            )
            in_flight += [
                effect for effect in core.step(now, [end]) if isinstance(effect, dispatch.StartAttempt)
            ]
    return (time.perf_counter() - started_at) / QUERIES * 1e6


def step_cost_with_queue(engines: int, queue_length: int) -> float:
    """Returns the milliseconds per step while a number of queries is queued."""
    core = make_dispatcher(engines, 1)
    core.gateway.concurrency_limit.limit = 20.0
    core.step(1.0, [dispatch.Submit(core.new_request(), n % 2, 30.0) for n in range(queue_length)])
    started_at = time.perf_counter()
    for n in range(20):
        core.step(1.0 + n / 100, [dispatch.Submit(core.new_request(), 0, 30.0)])
    return (time.perf_counter() - started_at) / 20 * 1e3


def main() -> None:
    for engines in (9, 18, 32, 45):
        print(f"{engines:3} engines: {query_cost(engines):6.0f} us per query (submission and end)")
    for queue_length in (100, 1_000, 10_000):
        print(f"{queue_length:6} queued: {step_cost_with_queue(9, queue_length):7.2f} ms per step")


if __name__ == "__main__":
    main()
