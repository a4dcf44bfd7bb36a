"""The entries that the store holds, to find out which records differ from them."""

from __future__ import annotations

from collections.abc import Container, Mapping

from ..storage import Change, Entry
from . import records
from .persisted_state import PersistedState

TRANSIENT_KINDS = (records.ORDERING, records.ENGINE)  # their entries are removed once no record replaces them


class WrittenEntries:
    """What was given out to be written, by key."""

    def __init__(self) -> None:
        self._entries: dict[bytes, Entry] = {}
        # Keys of transient kinds. In order, so that a replay writes alike; a dict, since there may be many.
        self._transient: dict[bytes, None] = {}

    @classmethod
    def of_state(cls, state: PersistedState) -> WrittenEntries:
        """Return the entries that a directory holds."""
        written = cls()
        written._entries = {key: entry for key, entry in state.entries if key != records.RUN}
        written._transient = dict.fromkeys(key for key in written._entries if _is_transient(key))
        return written

    def keys_of(self, kind: bytes) -> list[bytes]:
        """Return the keys of one kind of record."""
        return [key for key in self._entries if records.kind_of(key) == kind]

    def transient_keys(self) -> list[bytes]:
        """Return the keys of records that are removed once nothing replaces them."""
        return list(self._transient)

    def update(
        self, values: Mapping[bytes, records.Record | None], protected_keys: Container[bytes]
    ) -> list[Change]:
        """Take over new records and return the changes that bring the store up to date.

        Args:
            values: by key; None removes an entry.
            protected_keys: entries that are never removed, since a later version of the program wrote them.
        """
        changes = []
        for key, value in values.items():
            change = records.make_change(key, value)
            if change.entry == self._entries.get(key):
                continue
            if change.entry is None:
                if key in protected_keys:
                    continue
                self._remove(key)
            else:
                self._set(key, change.entry)
            changes.append(change)
        return changes

    def _set(self, key: bytes, entry: Entry) -> None:
        self._entries[key] = entry
        if _is_transient(key):
            self._transient[key] = None

    def _remove(self, key: bytes) -> None:
        self._entries.pop(key, None)
        self._transient.pop(key, None)


def _is_transient(key: bytes) -> bool:
    return records.kind_of(key) in TRANSIENT_KINDS
