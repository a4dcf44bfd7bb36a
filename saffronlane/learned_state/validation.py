"""Finds out soon whether recalled knowledge is wrong, by the first answers after a restart.

Old knowledge counts as a few answers, and so fades as new ones come. Where it is far off, that is too slow:
every answer until then is judged by it. So each recalled class is on trial: the log ratios of its first
answers to what was recalled are summed, and once chance does not explain their mean the class begins anew.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..policy.estimation.run_time_estimator import DECAY, RunTimeEstimator
from . import confidence as weigh
from .records import ClassRecord
from .restore import Sums, recalled_sums, unteach

LEAST = 8.0  # answers from which a scatter is told
TRIAL = 32  # answers; what has stood so many has mostly been replaced by them


@dataclass(slots=True)
class Scatter:
    """How far the logarithms of one class's answers lie apart; the old ones fade as in `Learned`."""

    mean: float = 0.0
    square: float = 0.0
    answers: float = 0.0

    def add(self, value: float) -> None:
        self.answers = self.answers * DECAY + 1.0
        step = 1.0 / self.answers
        apart = value - self.mean
        self.mean += step * apart
        self.square += step * (apart * (value - self.mean) - self.square)

    @property
    def deviation(self) -> float:
        """0: too few answers to tell."""
        return math.sqrt(max(1e-4, self.square)) if self.answers >= LEAST else 0.0


@dataclass(slots=True)
class _Trial:
    kept: ClassRecord
    sums: Sums  # recalled, without seeds
    total: float = 0.0
    answers: int = 0
    asked: float = math.inf  # first


class Wash:
    """The trials under way, by class."""

    def __init__(self) -> None:
        self._trials: dict[int, _Trial] = {}

    @property
    def under_way(self) -> int:
        return len(self._trials)

    def begin(self, index: int, kept: ClassRecord, mass: float) -> None:
        self._trials[index] = _Trial(kept, recalled_sums(kept, mass))

    def asked(self, index: int, now: float) -> None:
        """A query of a class has come."""
        trial = self._trials.get(index)
        if trial is not None:
            trial.asked = min(trial.asked, now)

    def unheard(self, learned: list[RunTimeEstimator], now: float) -> list[str]:
        """Drop what may itself be the reason that no answer comes; words for the log."""
        said = []
        for index, trial in list(self._trials.items()):
            known = learned[index]
            if not trial.answers and weigh.unheard(trial.asked, now, known.class_settings.deadline):
                del self._trials[index]
                unteach(known, trial.kept.cost, trial.sums, 0)
                said.append(
                    f"class {known.class_settings.name}: no answer confirms the restored estimate; dropped"
                )
        return said

    def answered(self, index: int, known: RunTimeEstimator, cost: float, elapsed: float, work: float) -> str:
        """One answer of a class, after it was learned from. Returns words for the log if the class fails."""
        trial = self._trials.get(index)
        if trial is None:
            return ""
        seen, expected = (work, trial.kept.work) if work > 0.0 else (elapsed, trial.kept.latency)
        trial.total += math.log(max(1e-6, seen) / max(1e-9, expected * cost))
        trial.answers += 1
        if weigh.wrong(trial.total, trial.answers, trial.kept.scatter):
            del self._trials[index]
            answers = known.answer_count - known.recalled_count
            unteach(known, cost, trial.sums, answers)
            factor = math.exp(trial.total / trial.answers)
            name = known.class_settings.name
            return f"class {name}: restored estimate is off by {factor:.2g}, and is dropped"
        if trial.answers >= TRIAL:
            del self._trials[index]
        return ""
