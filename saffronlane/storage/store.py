"""The store: a map whose committed changes survive a crash at any byte.

A commit appends one record to the log and syncs it. From time to time the map is written as a snapshot, in
slices between commits; once that is durable, the log before it is removed. The snapshot before the newest one
stays with its log, so that one unreadable file doesn't cost everything. docs/knowledge.md has the reasons.

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
from .snapshot import TEMPORARY_SUFFIX, write_snapshot

SEQUENCE_GAP = 1 << 32  # sequences; more than one log file can hold
KEPT_SNAPSHOTS = 2


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Sizes in bytes.

    Attributes:
        segment_bytes: of a log file, past which the next one is begun.
        log_bytes: of all log files since the newest snapshot, at which the next one is begun.
        slice_bytes: of a snapshot, written and synced at a time.
        max_total_bytes: of all files, past which commits fail.
    """

    segment_bytes: int = 4_194_304
    log_bytes: int = 16_777_216
    slice_bytes: int = 262_144
    max_total_bytes: int = 1_073_741_824


class Store:
    """The owner's view. `load`, then `begin`; then `commit` and `compact_step` in any order.

    After StoreFailedError no file that was open is written or synced again: a failed fsync may have dropped
    pages and marked them clean, so a second one would report success (fsync(2), ERRORS).

    Args:
        files: of the directory.
        limits: sizes.

    Attributes:
        state: the map with all changes, also those that are not durable.
        sequence: of the last change.
        has_failed: until `begin` has succeeded, and after each error.
    """

    def __init__(self, files: Files, limits: StoreLimits | None = None) -> None:
        self.files = files
        self.limits = limits or StoreLimits()
        self.state: fmt.StoredMap = HashTrieMap()
        self.sequence = 0
        self.has_failed = True
        self._segment: Handle | None = None
        self._segment_base = 0
        self._segment_size = 0
        self._logs: dict[int, int] = {}  # bytes by first sequence
        self._snapshots: dict[int, int] = {}  # bytes by sequence
        self._compaction: Iterator[None] | None = None

    @property
    def bytes(self) -> int:
        """Bytes of all files."""
        return sum(self._logs.values()) + sum(self._snapshots.values())

    @property
    def is_compacting(self) -> bool:
        """Whether a snapshot is being written."""
        return self._compaction is not None

    def load(self) -> Recovery:
        """Recover the directory's content. Raises OSError if the directory cannot be read."""
        found = recover(self.files)
        self.state = found.state
        self.sequence = found.sequence
        # A file that could not be read on to, of a newer version or behind damage, may hold sequences that
        # are not known: ours count on from beyond them, or a later recovery would mix the two.
        if found.newer_files or found.highest_sequence > found.sequence + 1:
            self.sequence = max(found.highest_sequence, found.sequence) + SEQUENCE_GAP
        for name, size in found.sizes.items():
            self._sizes(name.kind)[name.sequence] = size
        return found

    def begin(self) -> None:
        """Prepare for commits, or repair: write a snapshot of the state, and begin a new log.

        What was recovered may have been read from the page cache that a loss of power takes, so it is written
        anew before anything builds on it.

        Raises:
            StoreFailedError: the files cannot be written.
        """
        try:
            self._remove_temporary_files()
            for _ in self._write_snapshot(self.state, self.sequence):
                pass
            self._start_segment()
            self.has_failed = False
            self._remove_obsolete_files()
        except OSError as error:
            raise self._fail(error) from error

    repair = begin

    def commit(self, changes: Sequence[fmt.Change]) -> int:
        """Make changes durable, all or none, and return their sequence.

        They count in `state` in either case, so that a repair keeps them.

        Raises:
            StoreFailedError: they may be lost.
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
            log_size = self._log_size_since_snapshot()
            threshold = self._compaction_threshold()
            if self._compaction is None and log_size >= threshold:
                self._start_compaction()
            elif self._compaction is not None and log_size >= 2 * threshold:
                self.compact_step()  # a flood of changes must not outrun the snapshot that bounds the log
        except OSError as error:
            raise self._fail(error) from error
        return self.sequence

    def compact_step(self) -> bool:
        """Write one slice of a snapshot. Returns whether there is more to do. Raises StoreFailedError."""
        if self._compaction is None or self.has_failed:
            return False
        try:
            if next(self._compaction, True):  # slices give None
                self._compaction = None
                self._remove_obsolete_files()
        except OSError as error:
            raise self._fail(error) from error
        return self._compaction is not None

    def write_final_snapshot(self) -> None:
        """Write a last snapshot, so that the next start reads one file. Raises StoreFailedError."""
        self._compaction = None
        self.begin()

    def close(self) -> None:
        """Close the log file. The store counts as failed from then on."""
        self.has_failed = True
        if self._segment is not None:
            segment, self._segment = self._segment, None
            with contextlib.suppress(OSError):
                segment.close()

    # --- inside ---

    def _fail(self, error: OSError) -> StoreFailedError:
        self.close()
        self._compaction = None
        return StoreFailedError(error.strerror or str(error))

    def _log_size_since_snapshot(self) -> int:
        newest = max(self._snapshots, default=0)
        return sum(size for base, size in self._logs.items() if base > newest)

    def _compaction_threshold(self) -> int:
        """Return the size of the log at which to compact: at least that of the last snapshot."""
        return max(self.limits.log_bytes, self._snapshots.get(max(self._snapshots, default=0), 0))

    def _start_segment(self) -> None:
        """Begin the next log file. All commits before are synced already."""
        base = self.sequence + 1
        name = fmt.FileName(fmt.LOG, fmt.FORMAT, base)
        temporary_name = f"{name}.{TEMPORARY_SUFFIX}"
        data = fmt.encode_header(fmt.LOG, base)
        handle = self.files.create(temporary_name)
        try:
            handle.write(data)
            handle.sync()
            self.files.rename(temporary_name, str(name))
            self.files.sync_folder()
        except OSError:
            handle.close()
            raise
        if self._segment is not None:
            self._segment.close()
        self._segment = handle
        self._segment_base = base
        self._segment_size = len(data)
        self._logs[base] = len(data)

    def _start_compaction(self) -> None:
        """Begin a snapshot, and a new log for the changes that it does not cover."""
        self._start_segment()
        self._compaction = self._write_snapshot(self.state, self.sequence)

    def _write_snapshot(self, state: fmt.StoredMap, sequence: int) -> Iterator[None]:
        """Write a snapshot slice by slice."""
        size = yield from write_snapshot(self.files, state, sequence, self.limits.slice_bytes)
        self._snapshots[sequence] = size

    def _remove_temporary_files(self) -> None:
        for text in self.files.names():
            stem, _, suffix = text.rpartition(".")
            if (
                suffix == TEMPORARY_SUFFIX
                and (name := fmt.FileName.parse(stem))
                and name.format <= fmt.FORMAT
            ):
                self.files.remove(text)

    def _remove_obsolete_files(self) -> None:
        """Remove what neither the newest snapshot nor the one before it needs."""
        names = [name for text in self.files.names() if (name := fmt.FileName.parse(text)) is not None]
        known = [name for name in names if name.format <= fmt.FORMAT]
        sequences = sorted((name.sequence for name in known if name.kind == fmt.SNAPSHOT), reverse=True)
        oldest_kept = sequences[:KEPT_SNAPSHOTS][-1]
        for name in known:
            is_covered_log = name.kind == fmt.LOG and name.sequence == oldest_kept
            if name.sequence < oldest_kept or is_covered_log:
                self.files.remove(str(name))
                self._sizes(name.kind).pop(name.sequence, None)

    def _sizes(self, kind: int) -> dict[int, int]:
        return self._logs if kind == fmt.LOG else self._snapshots
