"""The core of the dispatcher, without I/O: it maps timestamped inputs to effects."""

from .core import Dispatcher
from .effects import (
    CancelAttempt,
    Commit,
    CompleteRequest,
    DiscardAttempt,
    Effect,
    FailRequest,
    Persist,
    RejectRequest,
    StartAttempt,
    WithdrawAttempt,
)
from .inputs import (
    AttachLearnedState,
    AttemptDone,
    AttemptProgress,
    BeginDrain,
    ClientDisconnected,
    FinishDrain,
    Input,
    PurgeLearnedState,
    ResultReady,
    Submit,
)

__all__ = [
    "AttachLearnedState",
    "AttemptDone",
    "AttemptProgress",
    "BeginDrain",
    "CancelAttempt",
    "ClientDisconnected",
    "Commit",
    "CompleteRequest",
    "DiscardAttempt",
    "Dispatcher",
    "Effect",
    "FailRequest",
    "FinishDrain",
    "Input",
    "Persist",
    "PurgeLearnedState",
    "RejectRequest",
    "ResultReady",
    "StartAttempt",
    "Submit",
    "WithdrawAttempt",
]
