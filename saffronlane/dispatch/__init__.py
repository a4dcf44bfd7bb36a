"""The core of the dispatcher: a library without I/O. Events go in with their time, effects come out."""

from .core import Dispatcher
from .effects import (
    CancelAttempt,
    Commit,
    DiscardAttempt,
    Effect,
    FailRequest,
    Keep,
    RecallAttempt,
    RefuseRequest,
    Serve,
    StartAttempt,
)
from .inputs import (
    Attach,
    AttemptDone,
    AttemptNote,
    ClientLeft,
    Forget,
    Input,
    ResultReady,
    StopNow,
    StopTaking,
    Submit,
)

__all__ = [
    "Attach",
    "AttemptDone",
    "AttemptNote",
    "CancelAttempt",
    "ClientLeft",
    "Commit",
    "DiscardAttempt",
    "Dispatcher",
    "Effect",
    "FailRequest",
    "Forget",
    "Input",
    "Keep",
    "RecallAttempt",
    "RefuseRequest",
    "ResultReady",
    "Serve",
    "StartAttempt",
    "StopNow",
    "StopTaking",
    "Submit",
]
