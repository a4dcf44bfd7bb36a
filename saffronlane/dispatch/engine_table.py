"""The table of the engines that discovery currently lists."""

from __future__ import annotations

from .. import interface as api


class EngineTable:
    """Entries of the endpoint list by engine id, kept current by endpoint list updates."""

    def __init__(self) -> None:
        self._entries: dict[bytes, api.EngineEntry] = {}
        self._version = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __getitem__(self, engine: bytes) -> api.EngineEntry:
        return self._entries[engine]

    @property
    def ids(self) -> list[bytes]:
        """The ids of all listed engines."""
        return list(self._entries)

    def apply(self, update: api.EndpointListUpdate) -> None:
        """Apply a full or partial endpoint list.

        Entries are applied in order: of several entries for the same engine, the last one wins.
        """
        if update.mode is not api.EndpointListMode.DELTA:
            self._entries.clear()
        for entry in update.entries:
            if entry.state is api.EngineState.REMOVED:
                self._entries.pop(entry.engine, None)
            else:
                self._entries[entry.engine] = entry
        self._version = update.version

    def is_ready(self, engine: bytes) -> bool:
        """Return whether an engine is listed and accepts new attempts."""
        entry = self._entries.get(engine)
        return entry is not None and entry.state is api.EngineState.READY

    def full_update(self) -> api.EndpointListUpdate:
        """Return the whole table as a full update, for a policy that has received no endpoint list yet."""
        entries = tuple(self._entries.values())
        return api.EndpointListUpdate(api.EndpointListMode.FULL, self._version, entries)
