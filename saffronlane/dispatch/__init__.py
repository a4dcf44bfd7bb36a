"""The core of the dispatcher: a library without I/O. Events go in with their time, effects come out."""

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
    "CancelAttempt",
    "ClientDisconnected",
    "Commit",
    "DiscardAttempt",
    "Dispatcher",
    "Effect",
    "FailRequest",
    "PurgeLearnedState",
    "Input",
    "Persist",
    "WithdrawAttempt",
    "RejectRequest",
    "ResultReady",
    "CompleteRequest",
    "StartAttempt",
    "FinishDrain",
    "BeginDrain",
    "Submit",
]
