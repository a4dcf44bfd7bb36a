"""Attempts that end immediately when their connection breaks while commands are sent."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from saffronlane.interface import Outcome
from saffronlane.platform.upstream.command_sender import CommandSender


class BrokenConnection:
    """A connection whose stream has accepted 100 bytes before and breaks at the next write."""

    def __init__(self) -> None:
        self.loop = SimpleNamespace(time=lambda: 7.0)
        self.stream = SimpleNamespace(
            bytes_accepted=100, writing=lambda: False, peek=lambda: None, closed=lambda: True
        )

    def write_to_stream(self, data: bytes) -> bool:
        return False


class RecordingListener:
    def __init__(self) -> None:
        self.ended_attempts: list[tuple[Any, Outcome]] = []

    def on_attempt_ended(self, attempt: Any, outcome: Outcome) -> None:
        self.ended_attempts.append((attempt, outcome))


@pytest.mark.parametrize("may_have_run", [False, True])
def test_attempt_ends_at_a_break_only_if_it_cannot_have_run(may_have_run: bool) -> None:
    client = SimpleNamespace(has_unprocessed_input=False)
    request = SimpleNamespace(is_answered=False, responder=client, sink=client)
    attempt = SimpleNamespace(
        may_have_run=may_have_run, sent_at=0.0, end_offset=0, deferral_count=3, request=request
    )
    listener = RecordingListener()
    sender = CommandSender(BrokenConnection(), listener)  # type: ignore[arg-type]
    sender.enqueue(b"fetch", attempt)  # type: ignore[arg-type]
    sender.flush()
    assert (attempt.sent_at, attempt.end_offset) == (7.0, 105)
    assert listener.ended_attempts == ([] if may_have_run else [(attempt, Outcome.CONNECT_FAILED)])
