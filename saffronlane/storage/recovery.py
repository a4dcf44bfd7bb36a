"""Recovery of a directory after a crash, from the newest complete snapshot and the log files after it.

Recovery writes nothing. It reads a file up to the first damaged record and reports all data that it skips.
Files of a newer format version are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rpds import HashTrieMap

from . import format as fmt
from .errors import DamagedFileError
from .files import Files

MAX_ATTEMPTS = 4  # a concurrent compaction may remove a file after it was listed


@dataclass(slots=True)
class Recovery:
    """The content recovered from a directory.

    Attributes:
        state: The map as of `sequence`, or an empty map if there is no complete snapshot.
        sequence: The sequence of the last batch that `state` includes, or 0 if there is none.
        highest_sequence: The greatest sequence in any file name, including files of a newer format version.
        problems: One message for each piece of data that was skipped, with the reason.
        newer_files: The names of the ignored files of a newer format version.
        file_sizes: The size in bytes of each file that was read.
        has_snapshot: Whether a complete snapshot was found.
    """

    state: fmt.StoredMap = field(default_factory=HashTrieMap)
    sequence: int = 0
    highest_sequence: int = 0
    problems: list[str] = field(default_factory=list)
    newer_files: list[str] = field(default_factory=list)
    file_sizes: dict[fmt.FileName, int] = field(default_factory=dict)
    has_snapshot: bool = False


def recover(files: Files) -> Recovery:
    """Read a directory. Damaged files are reported in `Recovery.problems`.

    Raises:
        OSError: The directory cannot be listed.
    """
    for _ in range(MAX_ATTEMPTS):
        try:
            return _Reader(files).read()
        except FileNotFoundError:
            continue  # a compaction removed a file after it was listed
    return _Reader(files, must_find_files=False).read()


class _Reader:
    """Reads a directory once.

    Args:
        files: The files of the directory.
        must_find_files: Whether a file that is removed after it was listed raises FileNotFoundError.
    """

    def __init__(self, files: Files, must_find_files: bool = True) -> None:
        self._files = files
        self._must_find_files = must_find_files
        self._recovery = Recovery()

    def read(self) -> Recovery:
        """Read the newest complete snapshot and the log files after it."""
        names = [name for text in self._files.names() if (name := fmt.FileName.parse(text)) is not None]
        self._recovery.highest_sequence = max((name.sequence for name in names), default=0)
        self._recovery.newer_files = sorted(
            str(name) for name in names if name.format_version > fmt.FORMAT_VERSION
        )
        readable_names = [name for name in names if name.format_version <= fmt.FORMAT_VERSION]
        self._read_newest_snapshot([name for name in readable_names if name.kind == fmt.SNAPSHOT])
        self._read_logs([name for name in readable_names if name.kind == fmt.LOG])
        return self._recovery

    def _read_newest_snapshot(self, names: list[fmt.FileName]) -> None:
        for name in sorted(names, key=lambda name: -name.sequence):
            if self._read_snapshot(name):
                return

    def _read_logs(self, names: list[fmt.FileName]) -> None:
        """Read all log files that follow the snapshot without a gap."""
        recovery = self._recovery
        for name in sorted(names, key=lambda name: name.sequence):
            next_sequence = recovery.sequence + 1
            if not recovery.has_snapshot:
                recovery.problems.append(f"{name}: skipped because there is no complete snapshot")
            elif name.sequence > next_sequence:
                recovery.problems.append(
                    f"{name}: starts at sequence {name.sequence}, but {next_sequence} is missing"
                )
                return
            elif name.sequence == next_sequence:
                self._read_log(name)

    def _parse(self, name: fmt.FileName) -> fmt.ParsedFile | None:
        """Parse a file up to the first damaged record. Returns None if nothing of it is usable."""
        try:
            data = self._files.read(str(name))
        except FileNotFoundError:
            if self._must_find_files:
                raise
            return None
        except OSError as error:
            self._recovery.problems.append(f"{name}: cannot be read: {error.strerror}")
            return None
        self._recovery.file_sizes[name] = len(data)
        try:
            parsed = fmt.parse_file(data)
        except DamagedFileError as error:
            self._recovery.problems.append(f"{name}: {error}")
            return None
        if parsed.format_version > fmt.FORMAT_VERSION:
            self._recovery.newer_files.append(str(name))
            return None
        if (parsed.kind, parsed.sequence) != (name.kind, name.sequence):
            self._recovery.problems.append(f"{name}: the header does not match the file name")
            return None
        if parsed.problem:
            skipped_bytes = len(data) - parsed.valid_bytes
            self._recovery.problems.append(f"{name}: {parsed.problem}; {skipped_bytes} bytes skipped")
        return parsed

    def _read_snapshot(self, name: fmt.FileName) -> bool:
        """Read a snapshot. Returns whether it is complete and undamaged."""
        parsed = self._parse(name)
        if parsed is None:
            return False
        *entries, end = parsed.records or [fmt.Record(0, 0, 0, b"")]
        if parsed.problem or end.type != fmt.END:
            self._recovery.problems.append(f"{name}: snapshot is incomplete")
            return False
        state: fmt.StoredMap = HashTrieMap()
        try:
            for record in entries:
                state = fmt.apply_changes(state, fmt.unpack_changes(record.payload))
        except DamagedFileError as error:
            self._recovery.problems.append(f"{name}: {error}")
            return False
        if end.payload != len(state).to_bytes(8, "big"):
            self._recovery.problems.append(
                f"{name}: has {len(state)} entries, which differs from the count in its END record"
            )
            return False
        self._recovery.state = state
        self._recovery.sequence = name.sequence
        self._recovery.has_snapshot = True
        return True

    def _read_log(self, name: fmt.FileName) -> None:
        """Apply a log file up to the first record that is out of sequence or damaged."""
        parsed = self._parse(name)
        recovery = self._recovery
        for record in parsed.records if parsed is not None else ():
            if record.sequence != recovery.sequence + 1:
                recovery.problems.append(
                    f"{name}: sequence {record.sequence} does not follow sequence {recovery.sequence}"
                )
                return
            if record.type == fmt.BATCH:  # record types that a later version may add are skipped
                try:
                    changes = list(fmt.unpack_changes(record.payload))
                except DamagedFileError as error:
                    recovery.problems.append(f"{name}: record {record.sequence}: {error}")
                    return
                recovery.state = fmt.apply_changes(recovery.state, changes)
            recovery.sequence = record.sequence
