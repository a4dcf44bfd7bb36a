"""Measures the load that all dispatchers together send to a cold node, relative to the allowed load.

    python benchmarks/cold.py [--dispatchers 20] [--nodes 12] [--cold 3] [--seeds 200]
        [--restarted 0.1] [--failing 1]

Runs in virtual time. The dispatchers make their real decisions, and everything else is random. If the budget
of a cold node allows N calls in an overload window, up to N + 2 sqrt(N) + 2 calls are attributed to chance.
For the ratios of calls and of work to this number, prints the median, the 99th percentile, the maximum and
the number of seeds with a ratio above 1. Also prints the mean number of calls that a cold node received and
the mean work of these calls.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor

from saffronlane.lab.fleet.cold import ColdNodeLoad, ColdNodeScenario, simulate


def summarize(name: str, ratios: list[float]) -> str:
    ratios = sorted(ratios)
    p99 = ratios[min(len(ratios) - 1, int(0.99 * len(ratios)))]
    count_above_1 = sum(ratio > 1.0 for ratio in ratios)
    return (
        f"{name}: median {ratios[len(ratios) // 2]:.2f}, p99 {p99:.2f}, max {ratios[-1]:.2f},"
        f" above 1 for {count_above_1}"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--dispatchers", type=int, default=20)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--cold", type=int, default=3)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--restarted", type=float, default=0.1)
    parser.add_argument("--failing", type=float, default=1.0)
    parser.add_argument("--processes", type=int, default=None)
    options = parser.parse_args()
    scenarios = [
        ColdNodeScenario(
            options.dispatchers,
            options.nodes,
            options.cold,
            n,
            restarted_share=options.restarted,
            failure_factor=options.failing,
        )
        for n in range(options.seeds)
    ]
    with ProcessPoolExecutor(options.processes) as pool:
        results: list[ColdNodeLoad] = list(pool.map(simulate, scenarios))
    print(
        f"{options.dispatchers} dispatchers, {options.nodes} nodes, {options.cold} cold,"
        f" {options.seeds} seeds;"
        f" {summarize('calls', [result.call_ratio for result in results])};"
        f" {summarize('work', [result.work_ratio for result in results])};"
        f" a cold node received {sum(result.calls_per_node for result in results) / len(results):.0f} calls,"
        f" {sum(result.work_per_node for result in results) / len(results):.1f} core seconds of work"
    )


if __name__ == "__main__":
    main()
