"""What a client is too slow with, decided without a socket."""

from __future__ import annotations

from dataclasses import replace

import pytest

from saffronlane.platform.downstream.client_timeouts import (
    FIRST_MESSAGE_TIMEOUT,
    IDLE_TIMEOUT,
    ClientActivity,
    Overdue,
    find_overdue,
)

START = 100.0  # seconds
IDLE = ClientActivity(
    accepts_work=True,
    stall_duration=None,
    is_within_message=False,
    is_message_overdue=False,
    has_sent_message=True,
    has_pending_work=False,
    opened_at=START,
    idle_since=START,
)


@pytest.mark.parametrize(
    ("changes", "seconds", "overdue"),
    [
        ({}, IDLE_TIMEOUT - 0.1, None),
        ({}, IDLE_TIMEOUT + 0.1, Overdue.REQUEST),
        ({"has_sent_message": False}, FIRST_MESSAGE_TIMEOUT - 0.1, None),
        ({"has_sent_message": False}, FIRST_MESSAGE_TIMEOUT + 0.1, Overdue.REQUEST),
        ({"has_sent_message": False, "has_pending_work": True}, FIRST_MESSAGE_TIMEOUT + 0.1, None),
        ({"is_within_message": True}, IDLE_TIMEOUT + 0.1, None),
        ({"is_within_message": True, "is_message_overdue": True}, 0.1, Overdue.MESSAGE),
        ({"stall_duration": 4.9}, IDLE_TIMEOUT + 0.1, None),
        ({"stall_duration": 5.1}, 0.1, Overdue.READING),
        ({"stall_duration": 5.1, "accepts_work": False}, 0.1, Overdue.READING),
        ({"accepts_work": False}, IDLE_TIMEOUT + 0.1, None),
    ],
)
def test_a_client_is_overdue_only_with_what_it_has_to_do_next(
    changes: dict[str, object], seconds: float, overdue: Overdue | None
) -> None:
    assert find_overdue(replace(IDLE, **changes), START + seconds) is overdue
