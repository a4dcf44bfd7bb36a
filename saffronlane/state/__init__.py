"""What a gateway keeps of engines, requests and attempts. State only: nothing here decides or is tuned."""

from .class_statistics import ClassStatistics
from .engine_registry import EngineRegistry, InFlightWork
from .engines import Engine
from .peer_load import PeerAttempt, PeerLoadTable
from .requests import NEVER_RAN, Attempt, GossipExpiry, OrderingQueues, PendingRequests, Request
from .step import StepContext
from .windows import DecayingRate, RetryBudgetWindow, SlidingWindow, TokenBucket, clamp

__all__ = [
    "NEVER_RAN",
    "Attempt",
    "StepContext",
    "TokenBucket",
    "ClassStatistics",
    "Engine",
    "EngineRegistry",
    "Request",
    "GossipExpiry",
    "PendingRequests",
    "InFlightWork",
    "RetryBudgetWindow",
    "DecayingRate",
    "PeerAttempt",
    "PeerLoadTable",
    "OrderingQueues",
    "SlidingWindow",
    "clamp",
]
