"""The size of a fleet, its traffic, and the settings of its dispatchers."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

# A cold node is overloaded by more work in one window than this factor times its capacity in that time. The
# capacity grows linearly from the initial ratio to the whole during the slow start.
OVERLOAD_FACTOR, OVERLOAD_WINDOW_S, INITIAL_CAPACITY_RATIO, SLOW_START_S = 4.0, 3.0, 0.35, 8.0
MEMORY_MB = 4096.0


@dataclass(frozen=True, slots=True)
class QueryClass:
    """One class of queries. Times and work are in seconds.

    Attributes:
        name: The name of the class.
        share: The share of the requests.
        work: The mean work of a query in core seconds.
        latency_objective: The fixed part of the latency objective.
        deadline: The deadline of a request.
        threads: The number of threads that a query uses.
        priority_weight: The priority weight of a request that is answered in time.
        late_priority_weight: The priority weight of a request that is answered late.
        latency_objective_per_work: The addition to the latency objective per core second of each thread.
        has_idempotency_key: Whether requests carry an idempotency key and an ordering key.
    """

    name: str
    share: float
    work: float
    latency_objective: float
    deadline: float
    threads: int = 1
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    latency_objective_per_work: float = 2.0
    has_idempotency_key: bool = False


QUERY_CLASSES = (
    QueryClass("look-up", 0.82, 0.06, 0.6, 4.0),
    QueryClass("report", 0.13, 0.6, 1.5, 10.0, threads=3, priority_weight=10.0, late_priority_weight=0.4),
    QueryClass(
        "load",
        0.05,
        0.5,
        2.0,
        10.0,
        threads=2,
        priority_weight=12.0,
        late_priority_weight=0.5,
        has_idempotency_key=True,
    ),
)
# Few large queries carry most of the work, so that one bad placement causes a backlog.
HEAVY_QUERY_CLASSES = (
    QueryClass("look-up", 0.82, 0.13, 0.75, 4.0, latency_objective_per_work=1.5),
    QueryClass("report", 0.13, 3.0, 2.0, 20.0, threads=3, priority_weight=10.0, late_priority_weight=0.4),
    QueryClass(
        "load",
        0.05,
        4.0,
        4.0,
        25.0,
        threads=2,
        priority_weight=12.0,
        late_priority_weight=0.5,
        has_idempotency_key=True,
    ),
)


@dataclass(frozen=True, slots=True)
class FleetShape:
    """The size and traffic of a fleet.

    Attributes:
        dispatchers: The number of dispatchers.
        nodes: The number of nodes.
        cores: The number of cores of each node.
        load: The requested share of the cores of all nodes.
        table_group_count: The number of table groups.
        seed: The seed of all random numbers.
        sockets: The maximum number of sockets of each dispatcher.
        query_classes: The classes of the traffic.
    """

    dispatchers: int = 8
    nodes: int = 6
    cores: float = 4.0
    load: float = 0.5
    table_group_count: int = 40
    seed: int = 1
    sockets: int = 256
    query_classes: tuple[QueryClass, ...] = QUERY_CLASSES

    @property
    def mean_work(self) -> float:
        """The mean work of a query in core seconds."""
        return sum(query_class.share * query_class.work for query_class in self.query_classes)

    @property
    def request_rate(self) -> float:
        """The number of requests per second at all dispatchers together."""
        return self.load * self.nodes * self.cores / self.mean_work


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request, generated in advance so that two versions of the program get the same traffic.

    Attributes:
        at: The time at which the client sends the request, in seconds.
        dispatcher: The position of the dispatcher that receives the request.
        query_class: The class of the query.
        request_id: The id of the request.
        work: The work of the query in core seconds.
        table_group: The table group of the query.
        key: The ordering key in hexadecimal, or an empty string.
        cancel_after: The seconds after which the client cancels the request, or 0 if it does not.
    """

    at: float
    dispatcher: int
    query_class: QueryClass
    request_id: str
    work: float
    table_group: int
    key: str = ""
    cancel_after: float = 0.0


# The share of the requests that clients cancel, and the longest time until they do.
CANCELLED_SHARE, MAX_CANCEL_DELAY_S = 0.04, 0.3


def draw_traffic(shape: FleetShape, seconds: float) -> list[PlannedRequest]:
    """Generates Poisson arrivals with lognormal work.

    The request rates of two dispatchers differ by a factor of up to four. The popularity of table groups
    follows Zipf's law with exponent 0.7.
    """
    random, cancellations = Random(f"traffic {shape.seed}"), Random(f"leaving {shape.seed}")
    dispatcher_weights = [random.choice((0.5, 1.0, 1.0, 2.0)) for _ in range(shape.dispatchers)]
    table_group_weights = [1.0 / (rank + 1) ** 0.7 for rank in range(shape.table_group_count)]
    requests, at = [], random.expovariate(shape.request_rate)
    while at < seconds:
        query_class = random.choices(
            shape.query_classes, [query_class.share for query_class in shape.query_classes]
        )[0]
        requests.append(
            PlannedRequest(
                at,
                random.choices(range(shape.dispatchers), dispatcher_weights)[0],
                query_class,
                f"{random.getrandbits(64):016x}",
                query_class.work * random.lognormvariate(-0.3, 0.77),
                random.choices(range(shape.table_group_count), table_group_weights)[0],
                f"{random.randrange(1, 50):016x}" if query_class.has_idempotency_key else "",
                cancellations.uniform(0.0, MAX_CANCEL_DELAY_S)
                if cancellations.random() < CANCELLED_SHARE
                else 0.0,
            )
        )
        at += random.expovariate(shape.request_rate)
    return requests


def dispatcher_settings(shape: FleetShape, position: int) -> dict[str, Any]:
    """Returns the settings of the dispatcher at this position in the platform's format."""
    return {
        "fleetSize": shape.dispatchers,
        "position": position,
        "kinds": ["std"],
        "zones": ["here"],
        "tick": 0.005,
        "extra": {
            "kindCores": [shape.cores],
            "sizeMb": [MEMORY_MB],
            "parallelism": [query_class.threads for query_class in shape.query_classes],
            "costInAnswers": True,
            "grantsCount": True,
        },
        "guarantees": {
            "answerSlack": 0.05,
            "stopSendingWithin": 0.5,
            "fallMultiple": OVERLOAD_FACTOR,
            "fall": OVERLOAD_WINDOW_S,
            "coldFrom": INITIAL_CAPACITY_RATIO,
            "cold": SLOW_START_S,
            "lookBack": 10.0,
            "extraFree": 3.0,
            "repeatRatio": 0.2,
        },
        "limits": {
            "cancel": True,
            "secondCopies": True,
            "retryAfter": True,
            "peers": True,
            "sendCap": 3,
            "maxRetryAfter": 0.5,
            "connectTimeout": 0.25,
            "idleClose": 30.0,
            "maxStreams": 32,
        },
        "services": [
            {
                "name": query_class.name,
                "aim": query_class.latency_objective,
                "deadline": query_class.deadline,
                "value": query_class.priority_weight,
                "lateValue": query_class.late_priority_weight,
                "aimStretch": query_class.latency_objective_per_work,
                "effect": "dedup" if query_class.has_idempotency_key else "retryable",
                "keyTtl": 25.0 if query_class.has_idempotency_key else 0.0,
                "sequential": query_class.has_idempotency_key,
            }
            for query_class in shape.query_classes
        ],
        "tenants": [{"name": "acme", "allowancePerS": 1e6, "share": 1.0}],
    }
