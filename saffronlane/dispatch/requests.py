"""The table of requests and their attempts. It emits exactly one final answer per request."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from .effects import CancelAttempt, Commit, DiscardAttempt, Effect
from .errors import DuplicateRequestError


class ResourceGrant(NamedTuple):
    """The resources that the policy grants to an attempt."""

    memory_mb: float = 0.0
    priority: int | None = None


NO_GRANT = ResourceGrant()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an engine."""

    number: int
    engine: bytes
    is_cancelled: bool = False
    has_ended: bool = False


@dataclass(slots=True, eq=False)
class Request:
    """One request. It is in the table until it is answered and all its attempts have ended."""

    id: int
    class_index: int = 0
    estimated_cost: float = 0.0
    idempotency_key: bytes = b""
    is_repeated: bool = False  # an earlier request with its idempotency key may have run
    next_grant: ResourceGrant = NO_GRANT
    attempts: list[Attempt] = field(default_factory=list)
    committed_attempt: int | None = None
    is_answered: bool = False

    @property
    def in_flight(self) -> list[Attempt]:
        """The attempts that have not ended."""
        return [attempt for attempt in self.attempts if not attempt.has_ended]

    def add_attempt(self, engine: bytes) -> Attempt:
        """Append an attempt at an engine."""
        attempt = Attempt(len(self.attempts), engine)
        self.attempts.append(attempt)
        return attempt

    def take_grant(self) -> ResourceGrant:
        """Return the grant of the next attempt, and reset it, since a grant is valid for one attempt only."""
        grant = self.next_grant
        self.next_grant = NO_GRANT
        return grant


class AttemptInFlight(NamedTuple):
    """An attempt that has not ended, with its request."""

    request: Request
    attempt: Attempt


class RequestTable:
    """All requests that are unanswered or have attempts in flight.

    Args:
        effects: The list that receives answers, commits and cancels.
        can_cancel: Whether engines support cancels. If not, the result of a cancelled attempt is discarded.
    """

    def __init__(self, effects: list[Effect], can_cancel: bool) -> None:
        self._effects = effects
        self._can_cancel = can_cancel
        self._requests: dict[int, Request] = {}
        self._releasable: set[int] = set()  # answered requests to be checked by `release_answered`
        self.pending_count = 0  # requests without a final answer

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._requests.values())

    @property
    def in_flight_count(self) -> int:
        """The number of attempts in flight, including those of answered requests."""
        return sum(len(request.in_flight) for request in self._requests.values())

    def add(self, request: Request) -> None:
        """Add an unanswered request.

        Raises:
            DuplicateRequestError: A request with this number is in the table.
        """
        if request.id in self._requests:
            raise DuplicateRequestError(f"request {request.id} was submitted before")
        self._requests[request.id] = request
        self.pending_count += 1

    def __getitem__(self, request_id: int) -> Request:
        return self._requests[request_id]

    def get(self, request_id: int) -> Request | None:
        """Return a request, or None if it has ended."""
        return self._requests.get(request_id)

    def find_in_flight(self, request_id: int, attempt_number: int) -> AttemptInFlight | None:
        """Return an attempt with its request, or None if the attempt is unknown or has ended."""
        request = self._requests.get(request_id)
        if request is None or not 0 <= attempt_number < len(request.attempts):
            return None
        attempt = request.attempts[attempt_number]
        return None if attempt.has_ended else AttemptInFlight(request, attempt)

    def answer(self, request: Request, answer: Effect | None) -> None:
        """Emit the final answer of a request, unless it has been answered.

        All final answers are emitted here.

        Args:
            request: The request.
            answer: The final answer, or None if the client has disconnected and gets no answer.
        """
        if request.is_answered:
            return
        request.is_answered = True
        self.pending_count -= 1
        self._releasable.add(request.id)
        if answer is not None:
            self._effects.append(answer)

    def commit(self, request: Request, attempt: Attempt) -> None:
        """Commit a request to the result of one attempt, and cancel its other attempts."""
        request.committed_attempt = attempt.number
        self._effects.append(Commit(request.id, attempt.number))
        for other in request.in_flight:
            if other is not attempt:
                self.cancel(request, other)

    def cancel(self, request: Request, attempt: Attempt) -> None:
        """Cancel an attempt, or discard it if engines do not support cancels. Its result is not used."""
        if attempt.has_ended or attempt.is_cancelled:
            return
        attempt.is_cancelled = True
        effect_type = CancelAttempt if self._can_cancel else DiscardAttempt
        self._effects.append(effect_type(request.id, attempt.number))

    def mark_releasable(self, request: Request) -> None:
        """Have `release_answered` check an answered request at the end of this step."""
        self._releasable.add(request.id)

    def release(self, request: Request) -> None:
        """Cancel the attempts in flight of an answered request, and remove it if none are in flight."""
        for attempt in request.in_flight:
            self.cancel(request, attempt)
        if not request.in_flight:
            self._requests.pop(request.id, None)
            self._releasable.discard(request.id)

    def release_answered(self) -> None:
        """Release the requests that were answered, or had an attempt end after their answer, in this step."""
        for request_id in sorted(self._releasable):
            self.release(self._requests[request_id])
        self._releasable.clear()
