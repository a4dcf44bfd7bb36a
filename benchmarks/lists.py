"""Measures the costs of long endpoint lists with 1,024 peers: start, update, query, message and memory.

python benchmarks/lists.py
"""

from __future__ import annotations

import json
import resource
import subprocess
import sys
import time
from typing import Any

SIZES = (10, 80, 300, 1024)
PEER_COUNT = 1024


def config(nodes: int) -> bytes:
    members = [
        {"id": f"s-{n:08x}", "host_port": f"10.1.{n // 250}.{n % 250 + 1}:4100", "flavor": "std", "size": 8}
        for n in range(nodes)
    ]
    settings: dict[str, Any] = {
        "fleetSize": PEER_COUNT,
        "position": 3,
        "kinds": ["std"],
        "extra": {"kindCores": [8], "sizeMb": [1024], "parallelism": [1, 3], "costInAnswers": True},
        "limits": {"cancel": True, "peers": True, "sendCap": 3, "connectTimeout": 0.25},
        "services": [
            {"name": "ask", "aim": 0.5, "deadline": 4.0, "effect": "retryable"},
            {"name": "report", "aim": 2.0, "deadline": 20.0, "effect": "retryable"},
        ],
    }
    endpoint_list = {"revision": 1, "complete": True, "members": members}
    peers = [f"10.0.{n // 250}.{n % 250 + 1}:7946" for n in range(PEER_COUNT)]
    return json.dumps(
        {
            "name": "n3",
            "listen": "127.0.0.1:4100",
            "feed": "127.0.0.1:7070",
            "seed": "1",
            "peers": peers,
            "known": {"n": 1, "events": [{"n": 1, "members": endpoint_list}]},
            "settings": settings,
        }
    ).encode()


def measure(nodes: int) -> None:
    """Prints the costs for one number of nodes. Needs its own process, since it measures the peak memory."""
    from saffronlane import dispatch
    from saffronlane import gossip_messages as messages
    from saffronlane import interface as api
    from saffronlane.platform.config import EndpointList, ListedEngine, parse_config
    from saffronlane.platform.discovery.endpoints import EndpointTable

    base_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    data = config(nodes)
    started_at = time.process_time()
    parsed = parse_config(data)
    table = EndpointTable(parsed.settings, time.monotonic, time.time)
    core = dispatch.Dispatcher(parsed.settings, parsed.seed)
    for known_list in parsed.known_events:
        core.step(0.0, [table.apply(known_list)[0]])
    start_cost = time.process_time() - started_at

    now, rounds = 1.0, 50
    started_at = time.process_time()
    for n in range(rounds):
        now += 0.01
        engine_state = ("draining", "up")[n % 2]
        engine_id = f"s-{n // 2 % nodes:08x}"
        listed_engine = ListedEngine(engine_id, "10.1.0.1:4100", machine_type="std", state=engine_state)
        endpoint_list = EndpointList([listed_engine])
        core.step(now, [table.apply(endpoint_list)[0]])
    update_cost = (time.process_time() - started_at) / rounds

    def query_cost(count: int, table_groups: int) -> float:
        nonlocal now
        started_at = time.process_time()
        for n in range(count):
            now += 0.01
            request = core.new_request()
            effects = core.step(
                now,
                [dispatch.Submit(request, 0, 4.0, estimated_cost=0.1, table_group=float(n % table_groups))],
            )
            for effect in effects:
                if isinstance(effect, dispatch.StartAttempt):
                    done = dispatch.AttemptDone(request, effect.attempt, api.Outcome.OK, 0.1, 0.1)
                    core.step(now, [done])
        return (time.process_time() - started_at) / count

    new_group_cost, known_group_cost = query_cost(200, 200), query_cost(2000, 50)
    engine_digest = messages.engine_digest(b"s-00000001")
    started_at = time.process_time()
    for n in range(4000):
        message = messages.GossipMessage(n % 256, 3, False, 7, 2.0, 0.01, engine_digest)
        core.step(now, [api.PeerMessage(n % 900 + 10, messages.encode(message))])
    message_cost = (time.process_time() - started_at) / 4000
    growth_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0 - base_mb
    costs = (
        f"{start_cost * 1e3:.0f} ms | {update_cost * 1e3:.2f} ms"
        f" | {new_group_cost * 1e6:.0f} us | {known_group_cost * 1e6:.0f} us"
    )
    print(f"| {nodes} | {costs} | {message_cost * 1e6:.0f} us | +{growth_mb:.1f} MB over {base_mb:.0f} |")


if __name__ == "__main__":
    if len(sys.argv) > 1:
        measure(int(sys.argv[1]))
    else:
        print("| nodes | start | one update | query, new table group | query | message | memory |")
        for size in SIZES:
            subprocess.run([sys.executable, __file__, str(size)], check=True)
