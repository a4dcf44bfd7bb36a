"""Hosts the policy and its learned state, and restarts the policy after an internal error."""

from __future__ import annotations

from dataclasses import replace

from .. import interface as api
from ..learned_state import DURABILITY_TIMEOUT, Checkpointer, PersistedState, PurgeCategory
from ..policy import Gateway
from ..storage import Change
from .answer_reasons import REPEAT_NOT_ALLOWED
from .effects import Effect, FailRequest, Persist, RejectRequest
from .engine_table import EngineTable
from .requests import Attempt, Request, RequestTable


class PolicyHost:
    """One policy instance with the checkpointer of its learned state.

    Args:
        settings: The settings that are passed on to `policy.Gateway`.
        seed: The seed of the policy's random number generator. Each restarted policy uses the next higher
            seed.
        effects: The list that receives log lines and changes to persist.
        persisted_state: The learned state that an earlier run stored, or None if there is none.
        is_persistent: Whether learned state is stored.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        effects: list[Effect],
        persisted_state: PersistedState | None,
        is_persistent: bool,
    ) -> None:
        self._settings = settings
        self._seed = seed
        self._effects = effects
        self._has_engines = False  # the policy has received a list with engines
        # Keys of the entries that this step's attempts wait for. The dict serves as an ordered set.
        self._write_ahead_keys: dict[bytes, None] = {}
        self.fault_count = 0
        self.gateway = Gateway(settings, seed)
        self.checkpointer = Checkpointer(settings, persisted_state, is_persistent)
        self.checkpointer.begin(self.gateway)
        self.first_changes = self.checkpointer.initial_changes(self.gateway) if is_persistent else []

    # --- decisions ---

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Pass events to the policy and return its actions.

        The first endpoint list with engines restores their learned state.
        """
        entries = self._first_endpoint_entries(events)
        if entries:
            self.checkpointer.before_endpoint_list(self.gateway, entries)
        actions = self.gateway.step(now, events)
        if entries:
            self._has_engines = True
            self.checkpointer.after_endpoint_list(self.gateway)
            self._log(self.checkpointer.restored_description)
        return actions

    def _first_endpoint_entries(self, events: list[api.Event]) -> tuple[api.EngineEntry, ...]:
        """Return the entries of the first non-empty endpoint list, or an empty tuple after that list."""
        if self._has_engines:
            return ()
        for event in events:
            if not isinstance(event, api.EndpointListUpdate) or event.mode is api.EndpointListMode.FAILED:
                continue
            if event.entries:
                return event.entries
        return ()

    def _log(self, text: str) -> None:
        if text:
            self._effects.append(api.Log(text))

    # --- restart ---

    def restart(self, now: float, engines: EngineTable) -> list[api.Action]:
        """Replace the policy by a new one that inherits the learned state.

        Returns:
            The actions of the new policy on the current list of engines.
        """
        try:
            return self._replace_policy(
                now, engines, self.checkpointer.snapshot_for_restart(self.gateway, now)
            )
        except Exception as error:  # the failed step may have corrupted the learned state
            self._log(f"learned state discarded: {error!r}")
            return self._replace_policy(now, engines, None)

    def record_fault(self, error: Exception) -> None:
        """Count a failed step, and clear the write-ahead keys of its attempts."""
        self.fault_count += 1
        self._write_ahead_keys.clear()
        self._log(f"policy restarted after an internal error: {error!r}")

    def _replace_policy(
        self, now: float, engines: EngineTable, learned_state: PersistedState | None
    ) -> list[api.Action]:
        self.gateway = Gateway(self._settings, self._seed + self.fault_count)
        previous = self.checkpointer
        self.checkpointer = Checkpointer(self._settings, learned_state, previous.is_enabled)
        self.checkpointer.take_over(previous)
        self.checkpointer.begin(self.gateway)
        self._has_engines = len(engines) > 0
        if not self._has_engines:
            return []
        update = engines.full_update()
        self.checkpointer.before_endpoint_list(self.gateway, update.entries)
        actions = self.gateway.step(now, [update])
        self.checkpointer.after_endpoint_list(self.gateway)
        return actions

    # --- learned state ---

    def validate_restored(self, events: list[api.Event], requests: RequestTable) -> None:
        """Check restored estimates against the answers of this step, and drop those that stay unconfirmed."""
        for event in events:
            if isinstance(event, api.Arrival):
                self.checkpointer.record_request(self.gateway, event.class_index)
            elif isinstance(event, api.AttemptEnded) and event.outcome is api.Outcome.OK:
                request = requests[event.request]
                self._log(
                    self.checkpointer.record_answer(
                        self.gateway,
                        request.class_index,
                        request.estimated_cost,
                        event.elapsed,
                        event.work,
                    )
                )
        for text in self.checkpointer.drop_unconfirmed_estimates(self.gateway):
            self._effects.append(api.Log(text))

    def previous_attempt(self, idempotency_key: bytes, now: float) -> api.PreviousAttempt | None:
        """Return the recorded attempt of an earlier request with the same idempotency key, or None."""
        if not idempotency_key:
            return None
        return self.checkpointer.ledger.previous_attempt(idempotency_key, now)

    def safe_answer(
        self, rejection: RejectRequest, arrival: api.Arrival, now: float
    ) -> RejectRequest | FailRequest:
        """Return the rejection of a request that is not admitted, or a failure if a retry may run it twice.

        Args:
            rejection: The rejection.
            arrival: The request. An earlier request with its idempotency key may have run.
            now: The current time in seconds.
        """
        if arrival.previous_attempt is None:
            return rejection
        max_retry_after = self.gateway.max_retry_after(now, arrival)
        if max_retry_after is None:
            return FailRequest(rejection.request, REPEAT_NOT_ALLOWED)
        return replace(rejection, retry_after=min(max_retry_after, rejection.retry_after))

    def record_attempt_end(self, idempotency_key: bytes, never_ran: bool) -> None:
        """Record in the idempotency ledger that an attempt of a request with this key has ended."""
        if idempotency_key:
            self.checkpointer.ledger.record_attempt_end(idempotency_key, never_ran)

    def record_write_ahead(self, request: Request, attempt: Attempt) -> float:
        """Record which entries must be durable before an attempt starts.

        Returns:
            The seconds that the attempt may wait for these entries, or 0 if there are none.
        """
        keys = self.checkpointer.write_ahead_keys(
            self.gateway, request.id, attempt.number, request.idempotency_key
        )
        if not keys or not self.checkpointer.is_enabled:
            return 0.0
        self._write_ahead_keys.update(dict.fromkeys(keys))
        return DURABILITY_TIMEOUT

    def persist_changes(self, now: float) -> None:
        """Emit write-ahead changes before this step's attempts, and the others if a checkpoint is due."""
        if self._write_ahead_keys:
            changes = self.checkpointer.write_ahead_changes(self.gateway, self._write_ahead_keys)
            self._write_ahead_keys.clear()
            self._effects.insert(0, Persist(tuple(changes), is_write_ahead=True))
        if now < self.checkpointer.next_checkpoint_at:
            return
        changes = self.take_unpersisted_changes()
        if changes:
            self._effects.append(Persist(tuple(changes)))

    def take_unpersisted_changes(self) -> list[Change]:
        """Return all changes of the learned state that have not been emitted yet."""
        return self.checkpointer.collect_changes(self.gateway)

    def attach(self, persisted_state: PersistedState) -> None:
        """Start storing learned state, beginning with everything restored and learned so far."""
        self.first_changes = self.checkpointer.attach(self.gateway, persisted_state)
        self._effects.append(Persist(tuple(self.first_changes)))

    def purge(self, categories: tuple[PurgeCategory, ...]) -> None:
        """Discard learned state of these categories, in memory and in the state directory."""
        self.checkpointer.purge(self.gateway, categories)
