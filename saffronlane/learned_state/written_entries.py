"""The entries last passed to the store, for comparison with current records."""

from __future__ import annotations

from collections.abc import Container, Mapping

from ..storage import Change, Entry
from . import records
from .persisted_state import PersistedState

TRANSIENT_KINDS = (records.ORDERING, records.ENGINE)  # entries without a current record are removed


class WrittenEntries:
    """The entries that the store holds once all changes are written, by key."""

    def __init__(self) -> None:
        self._entries: dict[bytes, Entry] = {}
        # Keys of transient kinds. A dict is ordered, as deterministic replay needs, and allows fast removal.
        self._transient_keys: dict[bytes, None] = {}

    @classmethod
    def from_state(cls, state: PersistedState) -> WrittenEntries:
        """Create an instance from the entries of a state directory."""
        instance = cls()
        instance._entries = {key: entry for key, entry in state.entries if key != records.RUN}
        instance._transient_keys = dict.fromkeys(key for key in instance._entries if _is_transient(key))
        return instance

    def keys_of(self, kind: bytes) -> list[bytes]:
        """Return the keys of one kind of record."""
        return [key for key in self._entries if records.kind_of(key) == kind]

    def transient_keys(self) -> list[bytes]:
        """Return the keys of entries that are removed once they have no current record."""
        return list(self._transient_keys)

    def update(
        self, values: Mapping[bytes, records.Record | None], protected_keys: Container[bytes]
    ) -> list[Change]:
        """Update the entries and return the changes that bring the store up to date.

        Args:
            values: New records by key; None removes an entry.
            protected_keys: Keys that are never removed, because a newer version of the program wrote them.
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
            self._transient_keys[key] = None

    def _remove(self, key: bytes) -> None:
        self._entries.pop(key, None)
        self._transient_keys.pop(key, None)


def _is_transient(key: bytes) -> bool:
    return records.kind_of(key) in TRANSIENT_KINDS
