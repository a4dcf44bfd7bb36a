"""Recovery of a directory after a crash: the newest complete snapshot, and the log files since.

Nothing is written here. Reading stops at the first byte that is not good, and what was left out is reported.
Files of a newer format are left alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rpds import HashTrieMap

from . import format as fmt
from .errors import DamagedFileError
from .files import Files

MAX_ATTEMPTS = 4  # a directory in use may be compacted while it is read


@dataclass(slots=True)
class Recovery:
    """What a directory holds.

    Attributes:
        state: the map as of `sequence`; empty without a complete snapshot.
        sequence: of the last change in it; 0 if there is none.
        highest_sequence: the greatest in the name of a file, of any format.
        dropped: lines for the log on what was not read, and why.
        newer_files: names of files of a newer format, which are left alone.
        sizes: bytes of each file of a known format that could be read.
        has_snapshot: whether there was a complete snapshot.
    """

    state: fmt.StoredMap = field(default_factory=HashTrieMap)
    sequence: int = 0
    highest_sequence: int = 0
    dropped: list[str] = field(default_factory=list)
    newer_files: list[str] = field(default_factory=list)
    sizes: dict[fmt.FileName, int] = field(default_factory=dict)
    has_snapshot: bool = False


def recover(files: Files) -> Recovery:
    """Read a directory. Raises OSError if it cannot be listed; a damaged file is only reported."""
    for _ in range(MAX_ATTEMPTS):
        try:
            return _Reader(files).read()
        except FileNotFoundError:
            continue  # compacted away between the listing and the reading
    return _Reader(files, must_find_files=False).read()


class _Reader:
    def __init__(self, files: Files, must_find_files: bool = True) -> None:
        self._files = files
        self._must_find_files = must_find_files
        self._found = Recovery()

    def read(self) -> Recovery:
        """Read the newest complete snapshot and the log files since."""
        names = [name for text in self._files.names() if (name := fmt.FileName.parse(text)) is not None]
        self._found.highest_sequence = max((name.sequence for name in names), default=0)
        self._found.newer_files = sorted(str(name) for name in names if name.format > fmt.FORMAT)
        known = [name for name in names if name.format <= fmt.FORMAT]
        self._read_newest_snapshot([name for name in known if name.kind == fmt.SNAPSHOT])
        self._read_logs([name for name in known if name.kind == fmt.LOG])
        return self._found

    def _read_newest_snapshot(self, names: list[fmt.FileName]) -> None:
        for name in sorted(names, key=lambda name: -name.sequence):
            if self._read_snapshot(name):
                return

    def _read_logs(self, names: list[fmt.FileName]) -> None:
        """Read all log files that follow the snapshot without a gap."""
        found = self._found
        for name in sorted(names, key=lambda name: name.sequence):
            next_sequence = found.sequence + 1
            if not found.has_snapshot:
                found.dropped.append(f"{name}: no whole snapshot to build on")
            elif name.sequence > next_sequence:
                found.dropped.append(f"{name}: begins at {name.sequence}, {next_sequence} is missing")
                return
            elif name.sequence == next_sequence:
                self._read_log(name)

    def _parse(self, name: fmt.FileName) -> fmt.ParsedFile | None:
        """Parse a file as far as it is good; None if nothing of it can be used."""
        try:
            data = self._files.read(str(name))
        except FileNotFoundError:
            if self._must_find_files:
                raise
            return None
        except OSError as error:
            self._found.dropped.append(f"{name}: cannot be read: {error.strerror}")
            return None
        self._found.sizes[name] = len(data)
        try:
            parsed = fmt.parse_file(data)
        except DamagedFileError as error:
            self._found.dropped.append(f"{name}: {error}")
            return None
        if parsed.format > fmt.FORMAT:
            self._found.newer_files.append(str(name))
            return None
        if (parsed.kind, parsed.sequence) != (name.kind, name.sequence):
            self._found.dropped.append(f"{name}: the header tells of another file")
            return None
        if parsed.problem:
            left = len(data) - parsed.valid_bytes
            self._found.dropped.append(f"{name}: {parsed.problem}; {left} bytes left out")
        return parsed

    def _read_snapshot(self, name: fmt.FileName) -> bool:
        """Read a snapshot. Returns whether it is complete."""
        parsed = self._parse(name)
        if parsed is None:
            return False
        *entries, end = parsed.records or [fmt.Record(0, 0, 0, b"")]
        if parsed.problem or end.type != fmt.END:
            self._found.dropped.append(f"{name}: not whole")
            return False
        state: fmt.StoredMap = HashTrieMap()
        try:
            for record in entries:
                state = fmt.apply_changes(state, fmt.unpack_changes(record.payload))
        except DamagedFileError as error:
            self._found.dropped.append(f"{name}: {error}")
            return False
        if end.payload != len(state).to_bytes(8, "big"):
            self._found.dropped.append(f"{name}: holds {len(state)} entries, its end says otherwise")
            return False
        self._found.state = state
        self._found.sequence = name.sequence
        self._found.has_snapshot = True
        return True

    def _read_log(self, name: fmt.FileName) -> None:
        """Apply a log file up to the first record that is out of sequence or damaged."""
        parsed = self._parse(name)
        found = self._found
        for record in parsed.records if parsed is not None else ():
            if record.sequence != found.sequence + 1:
                found.dropped.append(f"{name}: {record.sequence} follows {found.sequence}")
                return
            if record.type == fmt.BATCH:  # types of a later minor version are passed over
                try:
                    changes = list(fmt.unpack_changes(record.payload))
                except DamagedFileError as error:
                    found.dropped.append(f"{name}: record {record.sequence}: {error}")
                    return
                found.state = fmt.apply_changes(found.state, changes)
            found.sequence = record.sequence
