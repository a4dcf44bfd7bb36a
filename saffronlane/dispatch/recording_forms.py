"""The names under which a recording stores settings, inputs and effects.

They are independent of the names in the code, so that renaming a class or field does not change the stored
data. Each form lists the stored names of a class's fields in the order of their declaration. A field that is
added at the end of a class needs a name here. A field that is added elsewhere, or removed, needs a new
version of the recording format. A field without a stored name (None) is not recorded.
"""

from __future__ import annotations

from typing import NamedTuple

from .. import interface as api
from ..learned_state import PersistedState, Timestamp
from ..storage import Change, Entry
from . import effects, inputs


class RecordForm(NamedTuple):
    """The stored name of a class, and the stored names of its fields in order."""

    name: str
    fields: tuple[str | None, ...]


_SETTINGS = {
    api.ClassSettings: RecordForm(
        "ClassSettings",
        (
            "name",
            "aim",
            "deadline",
            "value",
            "late_value",
            "aim_stretch",
            "threads",
            "effect",
            "group",
            "key_ttl",
            "ordered",
            "stream",
            "is_load",
            "waits_for_loads",
            "zones_only",
            "kinds_only",
        ),
    ),
    api.MachineType: RecordForm("KindSettings", ("name", "cores", "memory_mb")),
    api.TenantSettings: RecordForm("TenantSettings", ("name", "allowance", "share")),
    api.Guarantees: RecordForm(
        "Guarantees",
        (
            "answer_slack",
            "drain_grace",
            "fall_multiple",
            "fall_window",
            "cold_share",
            "cold_time",
            "order_settle",
            "budget_free",
            "budget_ratio",
            "budget_window",
            "ask_within",
        ),
    ),
    api.Limits: RecordForm(
        "Limits",
        (
            "cancel",
            "second_copies",
            "probing",
            "probe_price",
            "peers",
            "retry_after",
            "max_attempts",
            "max_retry_after",
            "connect_timeout",
            "max_streams",
        ),
    ),
    api.Settings: RecordForm(
        "Settings",
        (
            "classes",
            "kinds",
            "gateways",
            "position",
            "zone",
            "zones",
            "tenants",
            "guarantees",
            "limits",
            "grants_heeded",
            "priorities_heeded",
            "largest_grant_share",
            "memory_short",
            "note_period",
            "work_told",
            "over_share_worth",
            "ask_for_list",
            "report_columns",
            "zone_price",
            "tick",
        ),
    ),
}
_STORED = {
    Change: RecordForm("Change", ("key", "entry")),
    Entry: RecordForm("Entry", ("version", "value")),
    PersistedState: RecordForm("Memory", ("entries", "now")),
    Timestamp: RecordForm("Moment", ("mono", "wall", "boot", "place")),
}
_INPUTS = {
    inputs.Submit: RecordForm(
        "Submit",
        (
            "request",
            "cls",
            "remaining",
            "tenant",
            "key",
            "cost",
            "memory_mb",
            "tables",
            "repeat",
            "write",
            "identity",
        ),
    ),
    inputs.ResultReady: RecordForm("ResultReady", ("request", "attempt")),
    inputs.AttemptDone: RecordForm(
        "AttemptDone", ("request", "attempt", "outcome", "elapsed", "work", "memory_mb", "report", "fault")
    ),
    inputs.AttemptProgress: RecordForm("AttemptNote", ("request", "attempt", "kind", "amount")),
    inputs.ClientDisconnected: RecordForm("ClientLeft", ("request",)),
    inputs.AttachLearnedState: RecordForm("Attach", ("memory",)),
    inputs.PurgeLearnedState: RecordForm("Forget", ("what",)),
    inputs.BeginDrain: RecordForm("StopTaking", ("grace",)),
    inputs.FinishDrain: RecordForm("StopNow", ()),
    api.EngineEntry: RecordForm(
        "EngineEntry", ("engine", "state", "started", "zone", "kind", "cell", "weight")
    ),
    api.EndpointListUpdate: RecordForm("ListUpdate", ("mode", "version", "entries")),
    api.ProbeResult: RecordForm("ProbeResult", ("engine", "outcome", "elapsed", "report")),
    api.PeerMessage: RecordForm("PeerMessage", ("sender", "data")),
}
_EFFECTS = {
    effects.StartAttempt: RecordForm(
        "StartAttempt",
        ("request", "attempt", "engine", "timeout", "grant_mb", "priority", "ahead", None, None),
    ),
    effects.Persist: RecordForm("Keep", ("changes", "ahead")),
    effects.CancelAttempt: RecordForm("CancelAttempt", ("request", "attempt")),
    effects.DiscardAttempt: RecordForm("DiscardAttempt", ("request", "attempt")),
    effects.WithdrawAttempt: RecordForm("RecallAttempt", ("request", "attempt")),
    effects.Commit: RecordForm("Commit", ("request", "attempt")),
    effects.CompleteRequest: RecordForm("Serve", ("request", "attempt", "fault")),
    effects.RejectRequest: RecordForm("RefuseRequest", ("request", "retry_after", "why")),
    effects.FailRequest: RecordForm("FailRequest", ("request", "why")),
    api.ProbeLoad: RecordForm("Probe", ("engine",)),
    api.CloseIdleConnections: RecordForm("CloseIdle", ("engine",)),
    api.SendGossip: RecordForm("Tell", ("peer", "data")),
    api.PollEndpoints: RecordForm("FetchList", ()),
    api.Subscribe: RecordForm("Subscribe", ("on",)),
    api.Log: RecordForm("Log", ("text",)),
}

FORMS: dict[type, RecordForm] = {**_SETTINGS, **_STORED, **_INPUTS, **_EFFECTS}
INPUT_BY_NAME: dict[str, type] = {form.name: input_type for input_type, form in _INPUTS.items()}
