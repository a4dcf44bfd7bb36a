"""Reading a folder after whatever happened: the newest whole snapshot, and the log behind it.

Nothing is written here, and nothing guessed: reading stops at the first byte that is not good, and what was
left out is told. Files of a newer format are left alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rpds import HashTrieMap

from . import format as fmt
from .errors import DamagedFileError
from .files import Files

MAX_ATTEMPTS = 4  # a live folder may be compacted while it is read


@dataclass(slots=True)
class Recovery:
    """What a folder holds.

    Attributes:
        state: the map as of `sequence`; empty if there is no whole snapshot.
        sequence: of the last change in it; 0: none.
        highest: the greatest sequence in the name of a file, of any format.
        dropped: what was not read and why, for people.
        newer: files of a newer format, untouched.
        sizes: bytes of each file of ours that could be read.
        found: whether there was a whole snapshot.
    """

    state: fmt.StoredMap = field(default_factory=HashTrieMap)
    sequence: int = 0
    highest_sequence: int = 0
    dropped: list[str] = field(default_factory=list)
    newer_files: list[str] = field(default_factory=list)
    sizes: dict[fmt.FileName, int] = field(default_factory=dict)
    has_snapshot: bool = False


def recover(files: Files) -> Recovery:
    """Read what is there. OSError where the folder itself cannot be read; a bad file is only dropped."""
    for _ in range(MAX_ATTEMPTS):
        try:
            return _Reader(files).read()
        except FileNotFoundError:
            continue  # compacted away between the listing and the reading
    return _Reader(files, patient=False).read()


class _Reader:
    def __init__(self, files: Files, patient: bool = True) -> None:
        self._files, self._patient = files, patient
        self._out = Recovery()

    def read(self) -> Recovery:
        out = self._out
        names = [n for text in self._files.names() if (n := fmt.FileName.parse(text)) is not None]
        out.highest_sequence = max((n.sequence for n in names), default=0)
        out.newer_files = sorted(str(n) for n in names if n.format > fmt.FORMAT)
        ours = [n for n in names if n.format <= fmt.FORMAT]
        snapshots = sorted((n for n in ours if n.kind == fmt.SNAPSHOT), key=lambda n: -n.sequence)
        for name in snapshots:
            if self._take_snapshot(name):
                break
        logs = sorted((n for n in ours if n.kind == fmt.LOG), key=lambda n: n.sequence)
        for name in logs:
            if not out.has_snapshot:
                out.dropped.append(f"{name}: no whole snapshot to build on")
            elif name.sequence > out.sequence + 1:
                out.dropped.append(f"{name}: begins at {name.sequence}, {out.sequence + 1} is missing")
                break
            elif name.sequence == out.sequence + 1:
                self._take_log(name)
        return out

    def _parse(self, name: fmt.FileName) -> fmt.ParsedFile | None:
        try:
            data = self._files.read(str(name))
        except FileNotFoundError:
            if self._patient:
                raise
            return None
        except OSError as error:
            self._out.dropped.append(f"{name}: cannot be read: {error.strerror}")
            return None
        self._out.sizes[name] = len(data)
        try:
            parsed = fmt.parse_file(data)
        except DamagedFileError as error:
            self._out.dropped.append(f"{name}: {error}")
            return None
        if parsed.format > fmt.FORMAT:
            self._out.newer_files.append(str(name))
            return None
        if (parsed.kind, parsed.sequence) != (name.kind, name.sequence):
            self._out.dropped.append(f"{name}: the header tells of another file")
            return None
        if parsed.problem:
            left = len(data) - parsed.valid_bytes
            self._out.dropped.append(f"{name}: {parsed.problem}; {left} bytes left out")
        return parsed

    def _take_snapshot(self, name: fmt.FileName) -> bool:
        parsed = self._parse(name)
        if parsed is None:
            return False
        *entries, end = parsed.records or [fmt.Record(0, 0, 0, b"")]
        if parsed.problem or end.type != fmt.END:
            self._out.dropped.append(f"{name}: not whole")
            return False
        state: fmt.StoredMap = HashTrieMap()
        try:
            for one in entries:
                state = fmt.apply_changes(state, fmt.unpack_changes(one.payload))
        except DamagedFileError as error:
            self._out.dropped.append(f"{name}: {error}")
            return False
        if end.payload != len(state).to_bytes(8, "big"):
            self._out.dropped.append(f"{name}: holds {len(state)} entries, its end says otherwise")
            return False
        self._out.state, self._out.sequence, self._out.has_snapshot = state, name.sequence, True
        return True

    def _take_log(self, name: fmt.FileName) -> None:
        parsed, out = self._parse(name), self._out
        for one in parsed.records if parsed is not None else ():
            if one.sequence != out.sequence + 1:
                out.dropped.append(f"{name}: {one.sequence} follows {out.sequence}")
                return
            if one.type == fmt.BATCH:  # types of a later minor version are passed over
                try:
                    changes = list(fmt.unpack_changes(one.payload))
                except DamagedFileError as error:
                    out.dropped.append(f"{name}: record {one.sequence}: {error}")
                    return
                out.state = fmt.apply_changes(out.state, changes)
            out.sequence = one.sequence
