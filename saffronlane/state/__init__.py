"""The state of a gateway: engines, requests and attempts. This package contains no decision logic."""

from .class_statistics import ClassStatistics
from .engine_registry import EngineRegistry
from .engines import Engine, RecentDispatch
from .in_flight import InFlightWork
from .peer_load import PeerAttempt, PeerLoadTable
from .pending import OrderingQueues, PendingRequests
from .requests import NEVER_RAN, Attempt, GossipExpiry, Request
from .step import StepContext
from .windows import DecayingRate, RetryBudgetWindow, SlidingWindow, TokenBucket, clamp

__all__ = [
    "NEVER_RAN",
    "Attempt",
    "ClassStatistics",
    "DecayingRate",
    "Engine",
    "EngineRegistry",
    "GossipExpiry",
    "InFlightWork",
    "OrderingQueues",
    "PeerAttempt",
    "PeerLoadTable",
    "PendingRequests",
    "RecentDispatch",
    "Request",
    "RetryBudgetWindow",
    "SlidingWindow",
    "StepContext",
    "TokenBucket",
    "clamp",
]
