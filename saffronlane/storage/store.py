"""A map whose committed changes survive a crash at any byte of a write.

A commit appends one record to the current log file, the segment, and syncs it. When the log has grown past
a threshold, the map is written as a snapshot, in slices between commits. Once the snapshot is durable, older
log files are removed. The second-newest snapshot and the log files after it are retained, so that the map can
be recovered if the newest snapshot is unreadable. docs/knowledge.md explains the design.

The store is not thread-safe; one owner (`writer.Writer`) calls it.
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

SEQUENCE_GAP = 1 << 32  # more sequences than one log file can contain
RETAINED_SNAPSHOTS = 2


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Size limits in bytes.

    Attributes:
        segment_bytes: The size of a log file at which the next log file is started.
        log_bytes: The next snapshot is started when the log files after the newest snapshot reach this total
            size, or the size of that snapshot if it is larger.
        slice_bytes: The approximate size of the part of a snapshot that is written and synced at a time.
        max_total_bytes: The total size of all files above which commits fail.
    """

    segment_bytes: int = 4_194_304
    log_bytes: int = 16_777_216
    slice_bytes: int = 262_144
    max_total_bytes: int = 1_073_741_824


class Store:
    """A crash-safe map. Call `load`, then `begin`, then `commit` and `compact_step` in any order.

    After a StoreFailedError, files that were open are neither written nor synced again. A failed fsync may
    have dropped dirty pages and marked them clean, so a second fsync would wrongly report success (fsync(2),
    ERRORS).

    Args:
        files: The files of the directory.
        limits: The size limits.

    Attributes:
        state: The map with all changes, including those that are not durable.
        sequence: The sequence of the last batch.
        has_failed: Whether commits fail. True until `begin` has succeeded, and again after each I/O error.
    """

    def __init__(self, files: Files, limits: StoreLimits | None = None) -> None:
        self.files = files
        self.limits = limits or StoreLimits()
        self.state: fmt.StoredMap = HashTrieMap()
        self.sequence = 0
        self.has_failed = True
        self._segment: Handle | None = None
        self._segment_first_sequence = 0
        self._segment_size = 0
        self._log_sizes: dict[int, int] = {}  # in bytes by first sequence
        self._snapshot_sizes: dict[int, int] = {}  # in bytes by sequence
        self._compaction: Iterator[None] | None = None

    @property
    def bytes(self) -> int:
        """The total size in bytes of the files that the store has read or written and not removed."""
        return sum(self._log_sizes.values()) + sum(self._snapshot_sizes.values())

    @property
    def is_compacting(self) -> bool:
        """Whether a snapshot is being written."""
        return self._compaction is not None

    def load(self) -> Recovery:
        """Recover the directory's content. Raises OSError if the directory cannot be read."""
        recovery = recover(self.files)
        self.state = recovery.state
        self.sequence = recovery.sequence
        # Skipped files, which have a newer format version or follow damage, may contain unknown sequences.
        # New sequences start beyond those, or a later recovery would mix old and new changes.
        if recovery.newer_files or recovery.highest_sequence > recovery.sequence + 1:
            self.sequence = max(recovery.highest_sequence, recovery.sequence) + SEQUENCE_GAP
        for name, size in recovery.file_sizes.items():
            self._file_sizes(name.kind)[name.sequence] = size
        return recovery

    def begin(self) -> None:
        """Prepare for commits, or repair a failed store.

        Writes a snapshot of the state and starts a new log file. Recovered data may have been read from the
        page cache without being durable. It is therefore written again before new changes depend on it.

        Raises:
            StoreFailedError: The files cannot be written.
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
        """Make changes durable atomically, and return their sequence.

        The changes are applied to `state` even if the commit fails, so that a repair writes them.

        Raises:
            StoreFailedError: The changes may not be durable.
        """
        payload = fmt.pack_changes(changes)
        data = fmt.encode_record(self.sequence + 1, fmt.BATCH, payload)
        self.state = fmt.apply_changes(self.state, changes)
        self.sequence += 1
        if self.has_failed or self._segment is None:
            raise StoreFailedError("the store has failed and has not been repaired yet")
        try:
            if self.bytes + len(data) > self.limits.max_total_bytes:
                raise OSError(f"the files would exceed the limit of {self.limits.max_total_bytes} bytes")
            self._segment.write(data)
            self._segment.sync()
            self._segment_size += len(data)
            self._log_sizes[self._segment_first_sequence] += len(data)
            if self._segment_size >= self.limits.segment_bytes:
                self._start_segment()
            log_size = self._log_size_since_snapshot()
            threshold = self._compaction_threshold()
            if self._compaction is None and log_size >= threshold:
                self._start_compaction()
            elif self._compaction is not None and log_size >= 2 * threshold:
                self.compact_step()  # Keeps the log bounded if changes arrive faster than slices are written.
        except OSError as error:
            raise self._fail(error) from error
        return self.sequence

    def compact_step(self) -> bool:
        """Write one slice of the snapshot in progress.

        Returns:
            Whether there are slices left to write.

        Raises:
            StoreFailedError: The files cannot be written or removed.
        """
        if self._compaction is None or self.has_failed:
            return False
        try:
            if next(self._compaction, True):  # None after a slice, True when the generator has ended
                self._compaction = None
                self._remove_obsolete_files()
        except OSError as error:
            raise self._fail(error) from error
        return self._compaction is not None

    def write_final_snapshot(self) -> None:
        """Write a snapshot before shutdown, so that the next start has no log to replay.

        Raises:
            StoreFailedError: The files cannot be written.
        """
        self._compaction = None
        self.begin()

    def discard_history(self) -> None:
        """Write the present state again, and remove all files that contain an earlier one.

        Raises:
            StoreFailedError: The files cannot be written or removed.
        """
        for _ in range(RETAINED_SNAPSHOTS):
            self.commit([])  # a snapshot with the sequence of the one before it would only replace that one
            self.write_final_snapshot()

    def close(self) -> None:
        """Close the log file and mark the store as failed."""
        self.has_failed = True
        if self._segment is not None:
            segment, self._segment = self._segment, None
            with contextlib.suppress(OSError):
                segment.close()

    def _fail(self, error: OSError) -> StoreFailedError:
        self.close()
        self._compaction = None
        return StoreFailedError(error.strerror or str(error))

    def _log_size_since_snapshot(self) -> int:
        newest_snapshot = max(self._snapshot_sizes, default=0)
        return sum(
            size for first_sequence, size in self._log_sizes.items() if first_sequence > newest_snapshot
        )

    def _compaction_threshold(self) -> int:
        """Return the log size at which to compact, which is at least the size of the newest snapshot."""
        return max(self.limits.log_bytes, self._snapshot_sizes.get(max(self._snapshot_sizes, default=0), 0))

    def _start_segment(self) -> None:
        """Start the next log file. All earlier commits are already synced."""
        first_sequence = self.sequence + 1
        name = fmt.FileName(fmt.LOG, fmt.FORMAT_VERSION, first_sequence)
        temporary_name = f"{name}.{TEMPORARY_SUFFIX}"
        data = fmt.encode_header(fmt.LOG, first_sequence)
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
        self._segment_first_sequence = first_sequence
        self._segment_size = len(data)
        self._log_sizes[first_sequence] = len(data)

    def _start_compaction(self) -> None:
        """Start a snapshot, and a new log file for the changes that the snapshot does not include."""
        self._start_segment()
        self._compaction = self._write_snapshot(self.state, self.sequence)

    def _write_snapshot(self, state: fmt.StoredMap, sequence: int) -> Iterator[None]:
        """Write a snapshot, and yield after each slice."""
        size = yield from write_snapshot(self.files, state, sequence, self.limits.slice_bytes)
        self._snapshot_sizes[sequence] = size

    def _remove_temporary_files(self) -> None:
        for text in self.files.names():
            stem, _, suffix = text.rpartition(".")
            if (
                suffix == TEMPORARY_SUFFIX
                and (name := fmt.FileName.parse(stem))
                and name.format_version <= fmt.FORMAT_VERSION
            ):
                self.files.remove(text)

    def _remove_obsolete_files(self) -> None:
        """Remove all files that precede the oldest retained snapshot."""
        names = [name for text in self.files.names() if (name := fmt.FileName.parse(text)) is not None]
        removable_names = [name for name in names if name.format_version <= fmt.FORMAT_VERSION]
        sequences = sorted(
            (name.sequence for name in removable_names if name.kind == fmt.SNAPSHOT), reverse=True
        )
        oldest_retained = sequences[:RETAINED_SNAPSHOTS][-1]
        for name in removable_names:
            is_covered_log = name.kind == fmt.LOG and name.sequence == oldest_retained
            if name.sequence < oldest_retained or is_covered_log:
                self.files.remove(str(name))
                self._file_sizes(name.kind).pop(name.sequence, None)

    def _file_sizes(self, kind: int) -> dict[int, int]:
        return self._log_sizes if kind == fmt.LOG else self._snapshot_sizes
