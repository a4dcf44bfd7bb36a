"""Clients of the engines: pooled connections, attempts, and how exactly each attempt ended. No decision."""

from .executor import Executor, ExecutorLimits, Sink, Work

__all__ = ["Executor", "ExecutorLimits", "Sink", "Work"]
