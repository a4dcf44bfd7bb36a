"""The store: a map whose committed changes survive a crash at any byte.

A commit appends one record to the log and syncs it. From time to time the map is written as a snapshot, in
slices between commits; once that is durable, the log before it goes. The snapshot before the newest one stays
with its log, so that one unreadable file does not cost everything. docs/knowledge.md has the reasons.

Nothing here is shared between threads: one owner (`writer.Writer`) calls it.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from rpds import HashTrieMap

from . import format as fmt
from .errors import StoreFailedError
from .files import Files, Handle
from .recovery import Recovery, recover

TEMPORARY_SUFFIX = "new"  # suffix of a file that is not yet whole
SEQUENCE_GAP = 1 << 32  # more sequences than one log file can hold


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Bytes."""

    segment_bytes: int = 4_194_304  # of a log file, past which the next one is begun
    log_bytes: int = 16_777_216  # of log behind the newest snapshot, at which the next snapshot is begun
    slice_bytes: int = 262_144  # of a snapshot, written and synced at a time
    max_total_bytes: int = 1_073_741_824  # of all files; past it the store fails, and says so


class Store:
    """The owner's view. `load`, then `begin`; then `commit` and `work` in any order.

    After StoreFailed no file that was open is written or synced again: a failed fsync may have dropped pages
    and marked them clean, so a second one would lie (PostgreSQL's finding of 2018, fsync(2) ERRORS).
    """

    def __init__(self, files: Files, limits: StoreLimits | None = None) -> None:
        self.files, self.limits = files, limits or StoreLimits()
        self.state: fmt.StoredMap = HashTrieMap()
        self.sequence = 0
        self.has_failed = True  # until `begin` has laid the ground
        self._segment: Handle | None = None
        self._segment_base = self._segment_size = 0
        self._logs: dict[int, int] = {}  # bytes by first sequence
        self._snapshots: dict[int, int] = {}
        self._compaction: Iterator[None] | None = None

    @property
    def bytes(self) -> int:
        return sum(self._logs.values()) + sum(self._snapshots.values())

    @property
    def is_compacting(self) -> bool:
        return self._compaction is not None

    def load(self) -> Recovery:
        """Read what is there and start from it. OSError if the folder cannot be read."""
        found = recover(self.files)
        self.state, self.sequence = found.state, found.sequence
        # A file that could not be read on to, of a newer version or behind damage, may hold sequences that
        # are not known: ours count on from beyond them, or a later recovery would mix the two.
        if found.newer_files or found.highest_sequence > found.sequence + 1:
            self.sequence = max(found.highest_sequence, found.sequence) + SEQUENCE_GAP
        for name, size in found.sizes.items():
            (self._logs if name.kind == fmt.LOG else self._snapshots)[name.sequence] = size
        return found

    def begin(self) -> None:
        """Lay the ground for commits: a snapshot of what is known, and a fresh log behind it.

        What was recovered may have been read from memory that a loss of power takes, so that it is not built
        upon before it is written anew. StoreFailed if that cannot be done.
        """
        try:
            self._forget_temps()
            for _ in self._write_snapshot(self.state, self.sequence):
                pass
            self._start_segment()
            self.has_failed = False
            self._clean()
        except OSError as error:
            raise self._broken(error) from error

    repair = begin

    def commit(self, changes: Sequence[fmt.Change]) -> int:
        """Make the changes durable, all or none. Returns their sequence. StoreFailed: they may be lost.

        They count in `state` in either case, so that a repair keeps them.
        """
        payload = fmt.pack_changes(changes)
        data = fmt.encode_record(self.sequence + 1, fmt.BATCH, payload)
        self.state = fmt.apply_changes(self.state, changes)
        self.sequence += 1
        if self.has_failed or self._segment is None:
            raise StoreFailedError("the store has failed and is not yet repaired")
        try:
            if self.bytes + len(data) > self.limits.max_total_bytes:
                raise OSError(f"{self.limits.max_total_bytes} bytes are taken")
            self._segment.write(data)
            self._segment.sync()
            self._segment_size += len(data)
            self._logs[self._segment_base] += len(data)
            if self._segment_size >= self.limits.segment_bytes:
                self._start_segment()
            if self._compaction is None and self._log_behind() >= self._worth_compacting():
                self._start_compaction()
            elif self._compaction is not None and self._log_behind() >= 2 * self._worth_compacting():
                self.compact_step()  # a flood of changes must not outrun the snapshot that bounds the log
        except OSError as error:
            raise self._broken(error) from error
        return self.sequence

    def compact_step(self) -> bool:
        """Do one slice of the snapshot under way; whether there is more to do. StoreFailed."""
        if self._compaction is None or self.has_failed:
            return False
        try:
            if next(self._compaction, True):  # slices give None
                self._compaction = None
                self._clean()
        except OSError as error:
            raise self._broken(error) from error
        return self._compaction is not None

    def write_final_snapshot(self) -> None:
        """A last snapshot, so that the next start reads one file. StoreFailed."""
        self._compaction = None
        self.begin()

    def close(self) -> None:
        self.has_failed = True
        if self._segment is not None:
            segment, self._segment = self._segment, None
            with contextlib.suppress(OSError):
                segment.close()

    # --- inside ---

    def _broken(self, error: OSError) -> StoreFailedError:
        self.close()
        self._compaction = None
        return StoreFailedError(error.strerror or str(error))

    def _log_behind(self) -> int:
        newest = max(self._snapshots, default=0)
        return sum(size for base, size in self._logs.items() if base > newest)

    def _worth_compacting(self) -> int:
        """A log as large as the map itself: what is written in all is then at most twice what changes."""
        return max(self.limits.log_bytes, self._snapshots.get(max(self._snapshots, default=0), 0))

    def _start_segment(self) -> None:
        """Begin the next log file. What was committed before is synced already."""
        base = self.sequence + 1
        name = fmt.FileName(fmt.LOG, fmt.FORMAT, base)
        temp = f"{name}.{TEMPORARY_SUFFIX}"
        data = fmt.encode_header(fmt.LOG, base)
        handle = self.files.create(temp)
        try:
            handle.write(data)
            handle.sync()
            self.files.rename(temp, str(name))
            self.files.sync_folder()
        except OSError:
            handle.close()
            raise
        if self._segment is not None:
            self._segment.close()
        self._segment, self._segment_base, self._segment_size = handle, base, len(data)
        self._logs[base] = len(data)

    def _start_compaction(self) -> None:
        """From here on changes go to a log of their own, which the snapshot does not cover."""
        self._start_segment()
        self._compaction = self._write_snapshot(self.state, self.sequence)

    def _write_snapshot(self, state: fmt.StoredMap, sequence: int) -> Iterator[None]:
        """Write, slice by slice; the file has its name only when it is whole and durable."""
        name = fmt.FileName(fmt.SNAPSHOT, fmt.FORMAT, sequence)
        temp = f"{name}.{TEMPORARY_SUFFIX}"
        handle = self.files.create(temp)
        try:
            size, number = 0, 1
            part, part_size = fmt.encode_header(fmt.SNAPSHOT, sequence), 0
            batch: list[fmt.Change] = []
            for key, entry in state.items():
                batch.append(fmt.Change(key, entry))
                part_size += len(key) + len(entry.value) + 8
                if part_size >= self.limits.slice_bytes:
                    part += fmt.encode_record(number, fmt.ENTRIES, fmt.pack_changes(batch))
                    handle.write(part)
                    handle.sync()  # small syncs: one of the whole file would hold commits up
                    size, number = size + len(part), number + 1
                    part, part_size, batch = b"", 0, []
                    yield
            if batch:
                part += fmt.encode_record(number, fmt.ENTRIES, fmt.pack_changes(batch))
                number += 1
            part += fmt.encode_record(number, fmt.END, len(state).to_bytes(8, "big"))
            handle.write(part)
            handle.sync()
            yield
            self.files.rename(temp, str(name))
            self.files.sync_folder()
            self._snapshots[sequence] = size + len(part)
        finally:
            handle.close()

    def _forget_temps(self) -> None:
        for text in self.files.names():
            stem, _, suffix = text.rpartition(".")
            if (
                suffix == TEMPORARY_SUFFIX
                and (name := fmt.FileName.parse(stem))
                and name.format <= fmt.FORMAT
            ):
                self.files.remove(text)

    def _clean(self) -> None:
        """Remove what neither the newest snapshot nor the one before it needs."""
        names = [n for text in self.files.names() if (n := fmt.FileName.parse(text)) is not None]
        ours = [n for n in names if n.format <= fmt.FORMAT]
        kept = sorted((n.sequence for n in ours if n.kind == fmt.SNAPSHOT), reverse=True)[:2]
        for name in ours:
            if name.sequence < kept[-1] or (name.kind == fmt.LOG and name.sequence == kept[-1]):
                self.files.remove(str(name))
                (self._logs if name.kind == fmt.LOG else self._snapshots).pop(name.sequence, None)
