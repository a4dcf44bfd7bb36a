"""Rule 4: what an engine that has just started can take."""

from ...state import Engine, Request, StepContext
from ..estimation.workload_estimates import WorkloadEstimates

UTILIZATION_LIMIT = 0.85  # share of busy cores at which an engine does what it can
BUDGET_MARGIN = 0.85  # use only this share of a cold engine's budget: a query's work is but estimated
TURN_MARGIN = 0.42  # the same where a part is less than a query: two turns' worth may fall into a window
MAX_REQUEST_RATIO = 0.33  # largest query for a cold engine, of its budget: all turns and one more fit


def has_slow_start_capacity(
    batch: StepContext, classes: WorkloadEstimates, engine: Engine, job: Request
) -> bool:
    """Rule 4: our part of a cold engine's budget, which grows as it warms, whatever becomes of the work sent.

    Small ones count as the mean, whose number needs no margin: the budget is one of calls. Where a part is
    less, they leave in turns of one window, spread by position: all whose turns meet it fit.
    """
    rules, now, settings = batch.guarantees, batch.now, batch.settings
    if not rules.slow_start_overload_factor or not engine.is_warming_up(now, rules.slow_start_duration):
        return True
    least, window, start = (
        BUDGET_MARGIN * UTILIZATION_LIMIT * classes.mean_query()[0],
        rules.slow_start_overload_window,
        engine.warmup_started_at(now),
    )
    work = max(classes.work(job), least)
    if (
        start < batch.started_at and now < batch.started_at + window
    ):  # sends before a restart are not remembered
        return False
    bears, span = (
        UTILIZATION_LIMIT * rules.slow_start_overload_factor,
        engine.effective_cores(now - window, rules) * window,
    )
    part = BUDGET_MARGIN * bears * span / settings.gateway_count
    if work <= part:
        since = now - window - settings.min_step_interval
        return work + sum(max(other, least) for at, other in engine.recent_dispatches if at >= since) <= part
    pace = settings.gateway_count / (TURN_MARGIN * bears)  # core seconds between turns, for a second of work
    done, (last, before) = (
        engine.warmup_core_seconds(now, rules),
        engine.recent_dispatches[-1] if engine.recent_dispatches else (start, 0.0),
    )
    rested = done >= engine.warmup_core_seconds(last, rules) + pace * (before and max(before, least)) - span
    turn = done / (pace * work) - engine.hash_fraction - settings.gateway_index / settings.gateway_count
    return rested and work <= MAX_REQUEST_RATIO * bears * span and turn % 1.0 * pace * work < span
