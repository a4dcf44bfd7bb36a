"""A file system in memory that knows what each operation has made durable, and what a crash may leave."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(eq=False)
class Inode:
    """Writes in order; those up to `synced` survive."""

    writes: list[bytes] = field(default_factory=list)
    synced: int = 0

    def content(self) -> bytes:
        return b"".join(self.writes)


@dataclass
class Disk:
    """What a crash left: plain files. Also a `Files`, so that a store can go on from it."""

    files: dict[str, bytes]


class ModelFiles:
    """Implements `storage.Files`. Names that are not synced may each be lost at a crash, also out of order.

    `watch` is called after every operation, which is where a crash may come. `fail` may raise an OSError
    before an operation: it is given its name and the file's.
    """

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.now: dict[str, Inode] = {}
        for name, data in (files or {}).items():
            self.now[name] = Inode([data], 1)
        self.durable: dict[str, Inode] = dict(self.now)
        self.unsynced: list[tuple[str, str, Inode | None]] = []  # (operation, name, inode)
        self.watch: Callable[[str], None] = lambda operation: None
        self.fail: Callable[[str, str], None] = lambda operation, name: None
        self.skip: Callable[[str, str], bool] = lambda operation, name: False  # a mutation: do nothing
        self.operations = 0

    def _did(self, operation: str) -> None:
        self.operations += 1
        self.watch(operation)

    def names(self) -> list[str]:
        self.fail("names", "")
        return list(self.now)

    def read(self, name: str) -> bytes:
        self.fail("read", name)
        if name not in self.now:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.now[name].content()

    def create(self, name: str) -> ModelHandle:
        self.fail("create", name)
        inode = self.now[name] = Inode()
        self.unsynced.append(("link", name, inode))
        self._did("create")
        return ModelHandle(self, inode, name)

    def rename(self, old: str, new: str) -> None:
        self.fail("rename", new)
        if self.skip("rename", new):
            return
        inode = self.now.pop(old)
        self.now[new] = inode
        self.unsynced += [("rename", f"{old}\0{new}", inode)]
        self._did("rename")

    def remove(self, name: str) -> None:
        self.fail("remove", name)
        del self.now[name]
        self.unsynced.append(("remove", name, None))
        self._did("remove")

    def sync_folder(self) -> None:
        self.fail("sync_folder", "")
        if not self.skip("sync_folder", ""):
            self.durable, self.unsynced = dict(self.now), []
        self._did("sync_folder")

    # --- crashes ---

    def crash(self, draw: random.Random, mode: str) -> dict[str, bytes]:
        """One state that the disk may be in if the power goes now.

        Modes: `all` (as a killed process leaves it), `least` (only what was synced), `mixed` (each name
        operation and each write that was not synced survives or not; the last write of a file may be torn).
        """
        if mode == "all":
            return {name: inode.content() for name, inode in self.now.items()}
        names = dict(self.durable)
        for operation, name, inode in self.unsynced if mode == "mixed" else ():
            if draw.random() < 0.5:
                continue
            if operation == "remove":
                names.pop(name, None)
            elif operation == "link":
                assert inode is not None
                names[name] = inode
            else:
                assert inode is not None
                old, new = name.split("\0")
                if names.get(old) is inode:
                    del names[old]
                names[new] = inode
        return {name: self._left(inode, draw, mode) for name, inode in names.items()}

    @staticmethod
    def _left(inode: Inode, draw: random.Random, mode: str) -> bytes:
        kept = b"".join(inode.writes[: inode.synced])
        loose = inode.writes[inode.synced :]
        if mode == "least" or not loose:
            return kept
        how = draw.randrange(4)
        if how == 0:  # a prefix, torn within a write
            data = b"".join(loose)
            return kept + data[: draw.randint(0, len(data))]
        parts = []
        for part in loose:  # writes reach the disk in any order: a lost one leaves zeros or old bytes
            if draw.random() < 0.5:
                parts.append(part)
            else:
                parts.append(bytes(len(part)) if how < 3 else draw.randbytes(len(part)))
        return kept + b"".join(parts)


class ModelHandle:
    def __init__(self, files: ModelFiles, inode: Inode, name: str) -> None:
        self._files, self._inode, self._name = files, inode, name
        self.closed = False

    def write(self, data: bytes) -> None:
        assert not self.closed, "written after it was closed"
        self._files.fail("write", self._name)
        self._inode.writes.append(bytes(data))
        self._files._did("write")

    def sync(self) -> None:
        assert not self.closed, "synced after it was closed"
        self._files.fail("sync", self._name)
        if not self._files.skip("sync", self._name):
            self._inode.synced = len(self._inode.writes)
        self._files._did("sync")

    def close(self) -> None:
        self.closed = True
