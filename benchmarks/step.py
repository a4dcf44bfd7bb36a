"""The cost of a decision: one query through `dispatch.Dispatcher`, from 9 to 45 engines, and with many held.

python benchmarks/step.py
"""

from __future__ import annotations

import time
from random import Random

from saffronlane import dispatch
from saffronlane import interface as api

QUERIES = 3_000


def fleet(engines: int, gateways: int) -> dispatch.Dispatcher:
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


def busy(engines: int) -> float:
    """Microseconds a query, both its steps, with twenty queries out at any time."""
    core, random, out, now = fleet(engines, 1), Random(1), [], 0.0
    began = time.perf_counter()
    for _ in range(QUERIES):
        now += 0.002
        request = core.new_request()
        submit = dispatch.Submit(
            request, int(random.random() < 0.15), 20.0, table_group=float(random.randrange(50))
        )
        effects = core.step(now, [submit])
        out += [e for e in effects if isinstance(e, dispatch.StartAttempt)]
        if len(out) > 20:
            done = out.pop(0)
            end = dispatch.AttemptDone(done.request, done.attempt, api.Outcome.OK, 0.05, 0.05, 10.0, (3.0,))
            out += [e for e in core.step(now, [end]) if isinstance(e, dispatch.StartAttempt)]
    return (time.perf_counter() - began) / QUERIES * 1e6


def held(engines: int, number: int) -> float:
    """Milliseconds a step while so many queries are held."""
    core = fleet(engines, 1)
    core.gateway.concurrency_limit.limit = 20.0
    core.step(1.0, [dispatch.Submit(core.new_request(), n % 2, 30.0) for n in range(number)])
    began = time.perf_counter()
    for n in range(20):
        core.step(1.0 + n / 100, [dispatch.Submit(core.new_request(), 0, 30.0)])
    return (time.perf_counter() - began) / 20 * 1e3


def main() -> None:
    for engines in (9, 18, 32, 45):
        print(f"{engines:3} engines: {busy(engines):6.0f} us a query (arrival and end)")
    for number in (100, 1_000, 10_000):
        print(f"{number:6} held: {held(9, number):7.2f} ms a step")


if __name__ == "__main__":
    main()
