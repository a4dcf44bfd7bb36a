"""What a gateway keeps of engines, requests and attempts. State only: nothing here decides or is tuned."""

from .batch import Batch
from .engines import Engine
from .fleet import Fleet, OwnWork
from .records import ClassRecord
from .requests import NEVER_RAN, Attempt, Job, Overdue, Owed, Turns
from .told import Told, ToldBoard
from .windows import Bucket, Ration, Recent, Window, sane

__all__ = [
    "NEVER_RAN",
    "Attempt",
    "Batch",
    "Bucket",
    "ClassRecord",
    "Engine",
    "Fleet",
    "Job",
    "Overdue",
    "Owed",
    "OwnWork",
    "Ration",
    "Recent",
    "Told",
    "ToldBoard",
    "Turns",
    "Window",
    "sane",
]
