"""Effects that the runner carries out through a transport."""

from __future__ import annotations

import asyncio
from typing import Any

from saffronlane import dispatch
from saffronlane.engines.effect_runner import EffectRunner
from saffronlane.engines.request_ledger import RequestLedger
from saffronlane.engines.transport import Attempt, Request


class RecordingTransport:
    """Records which attempts are started and withdrawn."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, int]] = []

    def create_attempt(self, request: Request, effect: dispatch.StartAttempt, started_at: float) -> Attempt:
        return Attempt(request, effect.attempt, effect.engine, effect, started_at)

    def begin(self, attempt: Attempt) -> None:
        self.calls.append(("begin", attempt.number))

    def withdraw(self, attempt: Attempt) -> None:
        self.calls.append(("withdraw", attempt.number))


def test_an_attempt_that_still_waits_is_withdrawn_when_another_one_of_its_request_starts() -> None:
    """Guards against a keyed statement that runs twice: its first attempt left after the hedged one."""

    async def scenario() -> None:
        transport: Any = RecordingTransport()
        ledger = RequestLedger(lambda _: None)
        dispatcher: Any = None
        runner = EffectRunner(dispatcher, transport, ledger, lambda _: None, None, None)
        ledger.add(1, "statement", "sink", "")
        ledger.add(2, "statement", "sink", "")
        effects = [
            dispatch.StartAttempt(1, 0, b"a", 3.0),
            dispatch.StartAttempt(2, 0, b"a", 3.0),
            dispatch.StartAttempt(1, 1, b"b", 3.0),
        ]
        runner.run(effects)
        assert transport.calls == [("begin", 0), ("begin", 0), ("withdraw", 0), ("begin", 1)]

    asyncio.run(scenario())
