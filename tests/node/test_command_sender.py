"""Attempts whose command meets a broken connection, or a compute node that does not read."""

from __future__ import annotations

import math
from types import SimpleNamespace
from typing import Any

import pytest

from saffronlane.interface import Outcome
from saffronlane.platform.memory_budget import MemoryBudget
from saffronlane.platform.upstream.command_sender import CommandSender


class BrokenConnection:
    """A connection whose stream has accepted 100 bytes before and breaks at the next write."""

    def __init__(self) -> None:
        self.loop = SimpleNamespace(time=lambda: 7.0)
        self.stream = SimpleNamespace(
            bytes_accepted=100,
            writing=lambda: False,
            peek=lambda: None,
            send_now=lambda parts: 0,
            closed=lambda: True,
        )

    def write_to_stream(self, data: bytes | memoryview) -> bool:
        return False


class RecordingListener:
    def __init__(self) -> None:
        self.ended_attempts: list[tuple[Any, Outcome]] = []

    def on_attempt_ended(self, attempt: Any, outcome: Outcome) -> None:
        self.ended_attempts.append((attempt, outcome))

    def on_attempt_expired(self, attempt: Any) -> None:
        self.on_attempt_ended(attempt, Outcome.NOT_SENT)

    def on_attempt_sent(self, attempt: Any) -> None:
        """Ignored: the tests look at the attempt itself."""


def make_attempt(**changes: Any) -> Any:
    client = SimpleNamespace(has_unprocessed_input=False, close_if_left=lambda: False)
    fields = {
        "may_have_run": False,
        "sent_at": 0.0,
        "end_offset": 0,
        "deferral_count": 3,
        "request": SimpleNamespace(is_answered=False, responder=client, sink=client),
        "send_deadline": math.inf,
        "encode": lambda now: [b"fetch"],
        "unwritten_bytes": 0,
    }
    return SimpleNamespace(**(fields | changes))


@pytest.mark.parametrize("may_have_run", [False, True])
def test_attempt_ends_at_a_break_only_if_it_cannot_have_run(may_have_run: bool) -> None:
    attempt = make_attempt(may_have_run=may_have_run)
    listener = RecordingListener()
    sender = CommandSender(BrokenConnection(), listener, MemoryBudget(1e6))  # type: ignore[arg-type]
    sender.enqueue_attempt(attempt)
    sender.flush()
    assert (attempt.sent_at, attempt.end_offset) == (7.0, 105)
    assert listener.ended_attempts == ([] if may_have_run else [(attempt, Outcome.CONNECT_FAILED)])


class UnreadConnection:
    """A connection to a compute node that does not read: the kernel accepts no byte."""

    def __init__(self) -> None:
        self.now = 7.0
        self.loop = SimpleNamespace(time=lambda: self.now)
        self.flush_count = 0
        self.writable_callbacks: list[Any] = []
        self.stream = SimpleNamespace(
            bytes_accepted=100,
            writing=lambda: False,
            peek=lambda: None,
            send_now=lambda parts: None,
            call_when_writable=self.writable_callbacks.append,
        )

    def flush_and_settle(self) -> None:
        self.flush_count += 1


def test_attempt_of_which_the_kernel_accepts_nothing_can_be_withdrawn() -> None:
    """Guards against an attempt in the stream's write buffer, which leaves whatever happens meanwhile."""
    connection = UnreadConnection()
    sender = CommandSender(connection, RecordingListener(), MemoryBudget(1e6))  # type: ignore[arg-type]
    attempt = make_attempt()
    sender.enqueue_attempt(attempt)
    sender.flush()
    assert attempt.sent_at == 0.0 and sender.has_queued
    connection.writable_callbacks[0]()
    assert connection.flush_count == 1
    sender.withdraw(attempt)
    assert not sender.has_queued


def test_attempt_whose_send_deadline_has_passed_ends_as_not_sent() -> None:
    """Guards against a retry that a late event loop sends after what it was decided on has changed."""
    connection, listener = UnreadConnection(), RecordingListener()
    sender = CommandSender(connection, listener, MemoryBudget(1e6))  # type: ignore[arg-type]
    in_time, late = make_attempt(send_deadline=7.5), make_attempt(send_deadline=7.2)
    sender.enqueue_attempt(in_time)
    sender.enqueue_attempt(late)
    connection.now = 7.3
    sender.flush()
    assert listener.ended_attempts == [(late, Outcome.NOT_SENT)]
    assert sender.has_queued
