"""What one gateway tells the others of its work and of full engines, and what it makes of theirs."""

from ... import gossip_messages as messages
from ... import interface as api
from ...state import Attempt, Engine, EngineRegistry, GossipExpiry, PeerLoadTable, StepContext
from ..estimation.workload_estimates import HEAVY_WORK_RATIO, WorkloadEstimates
from ..routing.eligibility import REJECTION_COOLDOWN

BUSY_PEER_ATTEMPTS = (
    512  # told queries open at once past which the bar rises: each message costs all gateways time
)
REPORT_LIFETIME_RATIO = 3.0  # what has no end told counts for this x its expected span: a message may be lost
MAX_SENDERS_RATIO = 2  # senders up to this x the gateway count are known: it may be a little out of date


class LoadGossip:
    def __init__(self, batch: StepContext, fleet: EngineRegistry, classes: WorkloadEstimates) -> None:
        self.step_context, self.engine_registry, self.workload_estimates = batch, fleet, classes
        self.peer_load, self.last_gossip_number = PeerLoadTable(), 0

    def broadcast(self, message: messages.GossipMessage) -> None:
        self.step_context.emit(api.SendGossip(None, messages.encode(message)))

    def on_attempt_started(self, attempt: Attempt) -> None:
        job, classes, work = (
            attempt.request,
            self.workload_estimates,
            self.workload_estimates.work(attempt.request),
        )
        bar = len(self.peer_load.entries) / BUSY_PEER_ATTEMPTS * HEAVY_WORK_RATIO * classes.mean_query()[0]
        if (
            self.step_context.limits.gossip
            and classes.is_heavy(job)
            and (work >= bar or job.class_settings.is_bulk_load)
        ):
            self.last_gossip_number = attempt.gossip_number = (self.last_gossip_number + 1) % 256
            self.report_attempt(
                attempt,
                REPORT_LIFETIME_RATIO
                * work
                / job.class_settings.threads
                * classes.estimators[job.class_index].baseline_inflation,
            )

    def report_attempt(self, attempt: Attempt, span: float) -> None:
        job, engine = attempt.request, attempt.engine
        share = attempt.memory_grant_mb / engine.memory_mb if engine.memory_mb else 0.0
        what = (
            attempt.gossip_number or 0,
            attempt.threads,
            job.class_settings.is_bulk_load,
            job.table_group,
            span,
            share,
            engine.id,
        )
        self.broadcast(messages.start_message(*what))
        self.step_context.schedule(self.step_context.now + span, GossipExpiry(attempt))

    def renew_report(self, attempt: Attempt) -> None:
        """Still out: told again, for twice as long. Guards against engines that look empty while they jam."""
        if attempt.outcome is None:
            self.report_attempt(attempt, 2.0 * (self.step_context.now - attempt.sent_at))

    def on_attempt_ended(self, attempt: Attempt) -> None:
        if attempt.gossip_number is not None:
            self.broadcast(messages.GossipMessage(attempt.gossip_number))

    def report_rejection(self, engine: Engine) -> None:
        """Spare the others a rejection each. Guards against herds of all at an engine that is full."""
        if (
            self.step_context.limits.gossip
            and engine.last_rejection_at <= self.step_context.now - REJECTION_COOLDOWN / 2.0
        ):
            self.broadcast(
                messages.GossipMessage(
                    0, duration=REJECTION_COOLDOWN, engine_digest=messages.engine_digest(engine.id)
                )
            )

    def on_peer_message(self, event: api.PeerMessage) -> None:
        batch, message, sender = self.step_context, messages.decode(event.data), event.sender
        if message is None or not 0 <= sender < MAX_SENDERS_RATIO * batch.settings.gateway_count:
            return
        engine = self.engine_registry.engine_by_digest.get(message.engine_digest)
        if message.reports_full:
            if engine is not None:  # all come back, each at a time of its own
                engine.last_rejection_at = max(
                    engine.last_rejection_at, batch.now + batch.random.random() * REJECTION_COOLDOWN
                )
            return
        self.peer_load.remove((sender, message.number))  # ended, or the sender counts anew after a restart
        if message.duration and engine is not None and sender != batch.settings.gateway_index:
            self.peer_load.add((sender, message.number), batch.now + message.duration, engine, message)
