"""Gossip between gateways about heavy attempts and full engines."""

from ... import gossip_messages as messages
from ... import interface as api
from ...state import Attempt, Engine, EngineRegistry, GossipExpiry, PeerLoadTable, StepContext
from ..estimation.workload_estimates import HEAVY_WORK_RATIO, WorkloadEstimates
from ..routing.eligibility import REJECTION_COOLDOWN

BUSY_PEER_ATTEMPTS = 512  # peers' attempts above which only heavier requests are reported; limits messages
REPORT_LIFETIME_RATIO = 3.0  # ratio of a report's lifetime to the expected run time; it ends with the attempt
RENEWAL_RATIO = 2.0  # ratio of a renewed report's lifetime to the time since the dispatch
MAX_SENDERS_RATIO = 2  # multiple of the gateway count that bounds sender indices; the count may be outdated
GOSSIP_NUMBERS = 256  # number of distinct attempt numbers in messages; they are reused after that


class LoadGossip:
    """Reports the heavy attempts of this gateway to its peers and stores their reports."""

    def __init__(
        self,
        step_context: StepContext,
        engine_registry: EngineRegistry,
        workload_estimates: WorkloadEstimates,
    ) -> None:
        self.step_context = step_context
        self.engine_registry = engine_registry
        self.workload_estimates = workload_estimates
        self.peer_load = PeerLoadTable()
        self.last_gossip_number = 0

    def broadcast(self, message: messages.GossipMessage) -> None:
        """Send a message to all peers."""
        self.step_context.emit(api.SendGossip(None, messages.encode(message)))

    def on_attempt_started(self, attempt: Attempt) -> None:
        """Report an attempt if its request is heavy."""
        if not self.step_context.limits.gossip_enabled or not self._should_report(attempt):
            return
        self.last_gossip_number = (self.last_gossip_number + 1) % GOSSIP_NUMBERS
        attempt.gossip_number = self.last_gossip_number
        request = attempt.request
        estimator = self.workload_estimates.estimators[request.class_index]
        lifetime_work = REPORT_LIFETIME_RATIO * self.workload_estimates.work(request)
        lifetime = lifetime_work / request.class_settings.threads * estimator.baseline_inflation
        self.report_attempt(attempt, lifetime)

    def _should_report(self, attempt: Attempt) -> bool:
        """Return whether the request is heavy enough; the threshold rises with the peers' attempts."""
        request = attempt.request
        if request.class_settings.is_bulk_load:
            return True
        if not self.workload_estimates.is_heavy(request):
            return False
        busy_ratio = len(self.peer_load.entries) / BUSY_PEER_ATTEMPTS
        min_work = busy_ratio * HEAVY_WORK_RATIO * self.workload_estimates.mean_query().work
        return self.workload_estimates.work(request) >= min_work

    def report_attempt(self, attempt: Attempt, lifetime: float) -> None:
        """Report an attempt to the peers.

        Args:
            attempt: An attempt that has a gossip number.
            lifetime: Seconds after which the report expires unless it is renewed.
        """
        request = attempt.request
        engine = attempt.engine
        memory_ratio = attempt.memory_grant_mb / engine.memory_mb if engine.memory_mb else 0.0
        message = messages.start_message(
            attempt.gossip_number or 0,
            attempt.threads,
            request.class_settings.is_bulk_load,
            request.table_group,
            lifetime,
            memory_ratio,
            engine.id,
        )
        self.broadcast(message)
        renewal_at = self.step_context.now + lifetime
        attempt.gossip_timer = self.step_context.schedule(renewal_at, GossipExpiry(attempt))

    def renew_report(self, attempt: Attempt) -> None:
        """Renew the expired report of an attempt that is still in flight.

        Otherwise the peers would consider congested engines idle.
        """
        if attempt.outcome is None:
            self.report_attempt(attempt, RENEWAL_RATIO * (self.step_context.now - attempt.sent_at))

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Report the end of an attempt whose start was reported."""
        if attempt.gossip_number is not None:
            self.step_context.cancel_timer(attempt.gossip_timer)
            self.broadcast(messages.GossipMessage(attempt.gossip_number))

    def report_rejection(self, engine: Engine) -> None:
        """Report a full engine, so that the peers avoid it before it rejects their requests."""
        if not self.step_context.limits.gossip_enabled:
            return
        if engine.last_rejection_at <= self.step_context.now - REJECTION_COOLDOWN / 2.0:
            digest = messages.engine_digest(engine.id)
            self.broadcast(messages.GossipMessage(0, duration=REJECTION_COOLDOWN, engine_digest=digest))

    def on_peer_message(self, event: api.PeerMessage) -> None:
        """Process a message from a peer; invalid messages are ignored."""
        message = messages.decode(event.data)
        max_senders = MAX_SENDERS_RATIO * self.step_context.settings.gateway_count
        if message is None or not 0 <= event.sender < max_senders:
            return
        engine = self.engine_registry.engine_by_digest.get(message.engine_digest)
        if message.reports_full:
            if engine is not None:
                self._avoid_full_engine(engine)
            return
        key = (event.sender, message.number)
        self.peer_load.remove(key)  # the attempt ended, or its number is reused
        is_from_itself = event.sender == self.step_context.settings.gateway_index
        if message.duration and engine is not None and not is_from_itself:
            expires_at = self.step_context.now + message.duration
            self.peer_load.add(key, expires_at, engine, message)

    def _avoid_full_engine(self, engine: Engine) -> None:
        """Avoid a full engine for a random time, so that the gateways don't return to it all at once."""
        cooldown_offset = self.step_context.random.random() * REJECTION_COOLDOWN
        rejected_at = self.step_context.now + cooldown_offset
        engine.last_rejection_at = max(engine.last_rejection_at, rejected_at)
