"""An in-memory file system that models which data is durable and which states a crash may leave."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(eq=False)
class Inode:
    """A file as a list of writes, of which the first `synced` survive a crash."""

    writes: list[bytes] = field(default_factory=list)
    synced: int = 0

    def content(self) -> bytes:
        return b"".join(self.writes)


@dataclass
class Disk:
    """The content of the files after a crash, from which a store can recover."""

    files: dict[str, bytes]


class ModelFiles:
    """Implements `storage.Files`. A crash may undo any subset of the name operations that are not synced.

    Attributes:
        now: Files by name, as a running process sees them.
        durable: Files by name, as of the last sync of the folder.
        unsynced: Name operations since the last sync of the folder: operation, name and inode.
        watch: Called with the operation after each operation, where a test may crash the file system.
        fail: Called with the operation and the file name before each operation; it may raise an OSError.
        skip: Called with the operation and the file name; if it returns True, the operation has no effect.
        operations: Number of operations so far.
    """

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.now: dict[str, Inode] = {}
        for name, data in (files or {}).items():
            self.now[name] = Inode([data], 1)
        self.durable: dict[str, Inode] = dict(self.now)
        self.unsynced: list[tuple[str, str, Inode | None]] = []
        self.watch: Callable[[str], None] = lambda operation: None
        self.fail: Callable[[str, str], None] = lambda operation, name: None
        self.skip: Callable[[str, str], bool] = lambda operation, name: False
        self.operations = 0

    def _after_operation(self, operation: str) -> None:
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
        self._after_operation("create")
        return ModelHandle(self, inode, name)

    def rename(self, old: str, new: str) -> None:
        self.fail("rename", new)
        if self.skip("rename", new):
            return
        inode = self.now.pop(old)
        self.now[new] = inode
        self.unsynced += [("rename", f"{old}\0{new}", inode)]
        self._after_operation("rename")

    def remove(self, name: str) -> None:
        self.fail("remove", name)
        del self.now[name]
        self.unsynced.append(("remove", name, None))
        self._after_operation("remove")

    def sync_folder(self) -> None:
        self.fail("sync_folder", "")
        if not self.skip("sync_folder", ""):
            self.durable, self.unsynced = dict(self.now), []
        self._after_operation("sync_folder")

    # --- crashes ---

    def crash(self, draw: random.Random, mode: str) -> dict[str, bytes]:
        """Return one state in which the disk may be after a crash at this point.

        Args:
            draw: Source of randomness for the mode `mixed`.
            mode: `all` keeps every write, as after a killed process; `least` keeps synced data only; `mixed`
                keeps or loses each unsynced name operation and write at random, and may tear the last write.
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
        return {name: self._content_after_crash(inode, draw, mode) for name, inode in names.items()}

    @staticmethod
    def _content_after_crash(inode: Inode, draw: random.Random, mode: str) -> bytes:
        synced_data = b"".join(inode.writes[: inode.synced])
        unsynced_writes = inode.writes[inode.synced :]
        if mode == "least" or not unsynced_writes:
            return synced_data
        damage = draw.randrange(4)
        if damage == 0:  # a prefix, which may end within a write
            data = b"".join(unsynced_writes)
            return synced_data + data[: draw.randint(0, len(data))]
        surviving_writes = []
        # Writes reach the disk in any order; a lost one leaves zeros or old bytes.
        for write in unsynced_writes:
            if draw.random() < 0.5:
                surviving_writes.append(write)
            else:
                surviving_writes.append(bytes(len(write)) if damage < 3 else draw.randbytes(len(write)))
        return synced_data + b"".join(surviving_writes)


class ModelHandle:
    """An open file of `ModelFiles`."""

    def __init__(self, files: ModelFiles, inode: Inode, name: str) -> None:
        self._files, self._inode, self._name = files, inode, name
        self.closed = False

    def write(self, data: bytes) -> None:
        assert not self.closed, "write to a closed file"
        self._files.fail("write", self._name)
        self._inode.writes.append(bytes(data))
        self._files._after_operation("write")

    def sync(self) -> None:
        assert not self.closed, "sync of a closed file"
        self._files.fail("sync", self._name)
        if not self._files.skip("sync", self._name):
            self._inode.synced = len(self._inode.writes)
        self._files._after_operation("sync")

    def close(self) -> None:
        self.closed = True
