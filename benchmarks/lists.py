"""Cost of long lists: configuration with 1,024 peers, list of nodes, one update, one decision, one message.

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
PEERS = 1024


def config(nodes: int) -> bytes:
    members = [
        {"id": f"s-{n:08x}", "host_port": f"10.1.{n // 250}.{n % 250 + 1}:4100", "flavor": "std", "size": 8}
        for n in range(nodes)
    ]
    settings: dict[str, Any] = {
        "fleetSize": PEERS,
        "position": 3,
        "kinds": ["std"],
        "extra": {"kindCores": [8], "sizeMb": [1024], "parallelism": [1, 3], "costInAnswers": True},
        "limits": {"cancel": True, "peers": True, "sendCap": 3, "connectTimeout": 0.25},
        "services": [
            {"name": "ask", "aim": 0.5, "deadline": 4.0, "effect": "retryable"},
            {"name": "report", "aim": 2.0, "deadline": 20.0, "effect": "retryable"},
        ],
    }
    told = {"revision": 1, "complete": True, "members": members}
    peers = [f"10.0.{n // 250}.{n % 250 + 1}:7946" for n in range(PEERS)]
    return json.dumps(
        {
            "name": "n3",
            "listen": "127.0.0.1:4100",
            "feed": "127.0.0.1:7070",
            "seed": "1",
            "peers": peers,
            "known": {"n": 1, "events": [{"n": 1, "members": told}]},
            "settings": settings,
        }
    ).encode()


def measure(nodes: int) -> None:
    """In a process of its own, so that the memory is this size's."""
    from saffronlane import dispatch
    from saffronlane import gossip_messages as messages
    from saffronlane import interface as api
    from saffronlane.platform.config import EndpointList, ListedEngine, parse_config
    from saffronlane.platform.discovery.endpoints import EndpointTable

    base = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    data = config(nodes)
    began = time.process_time()
    read = parse_config(data)
    fleet = EndpointTable(read.settings, time.monotonic, time.time)
    core = dispatch.Dispatcher(read.settings, read.seed)
    for members in read.known_events:
        core.step(0.0, [fleet.apply(members)[0]])
    start = time.process_time() - began

    now, rounds = 1.0, 50
    began = time.process_time()
    for n in range(rounds):
        now += 0.01
        phase = ("draining", "up")[n % 2]
        engine = f"s-{n // 2 % nodes:08x}"
        listed = ListedEngine(engine, "10.1.0.1:4100", machine_type="std", state=phase)
        one = EndpointList([listed])
        core.step(now, [fleet.apply(one)[0]])
    update = (time.process_time() - began) / rounds

    def queries(count: int, tables: int) -> float:
        nonlocal now
        began = time.process_time()
        for n in range(count):
            now += 0.01
            number = core.new_request()
            effects = core.step(
                now, [dispatch.Submit(number, 0, 4.0, estimated_cost=0.1, table_group=float(n % tables))]
            )
            for effect in effects:
                if isinstance(effect, dispatch.StartAttempt):
                    done = dispatch.AttemptDone(number, effect.attempt, api.Outcome.OK, 0.1, 0.1)
                    core.step(now, [done])
        return (time.process_time() - began) / count

    first, again = queries(200, 200), queries(2000, 50)
    engine = messages.engine_digest(b"s-00000001")
    began = time.process_time()
    for n in range(4000):
        message = messages.GossipMessage(n % 256, 3, False, 7, 2.0, 0.01, engine)
        core.step(now, [api.PeerMessage(n % 900 + 10, messages.encode(message))])
    message_cost = (time.process_time() - began) / 4000
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0 - base
    spans = f"{start * 1e3:.0f} ms | {update * 1e3:.2f} ms | {first * 1e6:.0f} us | {again * 1e6:.0f} us"
    print(f"| {nodes} | {spans} | {message_cost * 1e6:.0f} us | +{grown:.1f} MB over {base:.0f} |")


if __name__ == "__main__":
    if len(sys.argv) > 1:
        measure(int(sys.argv[1]))
    else:
        print("| nodes | start | one update | query, new tables | query | message | memory |")
        for size in SIZES:
            subprocess.run([sys.executable, __file__, str(size)], check=True)
