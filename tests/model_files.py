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
    """Implements `storage.Files`. A crash may undo any subset of the unsynced directory operations.

    Attributes:
        visible_files: Files by name, as a running process sees them.
        durable_files: Files by name, as of the last sync of the folder.
        unsynced_operations: Directory operations (link, rename, remove) since the last sync of the folder:
            operation, name and inode.
        on_operation: Called after each operation except `names` and `read`, with the name of the operation. A
            test may simulate a crash there.
        before_operation: Called with the operation and the file name before each operation. It may block, or
            raise an OSError.
        should_skip: Called with the operation and the file name before each rename and sync. If it returns
            True, the operation has no effect.
        operation_count: Number of operations so far, except `names` and `read`.
    """

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.visible_files: dict[str, Inode] = {}
        for name, data in (files or {}).items():
            self.visible_files[name] = Inode([data], 1)
        self.durable_files: dict[str, Inode] = dict(self.visible_files)
        self.unsynced_operations: list[tuple[str, str, Inode | None]] = []
        self.on_operation: Callable[[str], None] = lambda operation: None
        self.before_operation: Callable[[str, str], None] = lambda operation, name: None
        self.should_skip: Callable[[str, str], bool] = lambda operation, name: False
        self.operation_count = 0

    def _after_operation(self, operation: str) -> None:
        self.operation_count += 1
        self.on_operation(operation)

    def names(self) -> list[str]:
        self.before_operation("names", "")
        return list(self.visible_files)

    def read(self, name: str) -> bytes:
        self.before_operation("read", name)
        if name not in self.visible_files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.visible_files[name].content()

    def create(self, name: str) -> ModelHandle:
        self.before_operation("create", name)
        inode = self.visible_files[name] = Inode()
        self.unsynced_operations.append(("link", name, inode))
        self._after_operation("create")
        return ModelHandle(self, inode, name)

    def rename(self, old: str, new: str) -> None:
        self.before_operation("rename", new)
        if self.should_skip("rename", new):
            return
        inode = self.visible_files.pop(old)
        self.visible_files[new] = inode
        self.unsynced_operations += [("rename", f"{old}\0{new}", inode)]
        self._after_operation("rename")

    def remove(self, name: str) -> None:
        self.before_operation("remove", name)
        del self.visible_files[name]
        self.unsynced_operations.append(("remove", name, None))
        self._after_operation("remove")

    def sync_folder(self) -> None:
        self.before_operation("sync_folder", "")
        if not self.should_skip("sync_folder", ""):
            self.durable_files, self.unsynced_operations = dict(self.visible_files), []
        self._after_operation("sync_folder")

    # --- crashes ---

    def state_after_crash(self, rng: random.Random, mode: str) -> dict[str, bytes]:
        """Return the content of the files in one state that a crash at this point may leave.

        Args:
            rng: Random number generator for the mode `mixed`.
            mode: `all` keeps every write, as after a killed process. `least` keeps synced data only. `mixed`
                keeps or loses each unsynced directory operation and write at random, and may truncate
                a write.
        """
        if mode == "all":
            return {name: inode.content() for name, inode in self.visible_files.items()}
        names = dict(self.durable_files)
        for operation, name, inode in self.unsynced_operations if mode == "mixed" else ():
            if rng.random() < 0.5:
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
        return {name: self._content_after_crash(inode, rng, mode) for name, inode in names.items()}

    @staticmethod
    def _content_after_crash(inode: Inode, rng: random.Random, mode: str) -> bytes:
        synced_data = b"".join(inode.writes[: inode.synced])
        unsynced_writes = inode.writes[inode.synced :]
        if mode == "least" or not unsynced_writes:
            return synced_data
        damage = rng.randrange(4)
        if damage == 0:  # a prefix, which may end within a write
            data = b"".join(unsynced_writes)
            return synced_data + data[: rng.randint(0, len(data))]
        surviving_writes = []
        # Writes reach the disk in any order. A lost write leaves zeros or old bytes in its place.
        for write in unsynced_writes:
            if rng.random() < 0.5:
                surviving_writes.append(write)
            else:
                surviving_writes.append(bytes(len(write)) if damage < 3 else rng.randbytes(len(write)))
        return synced_data + b"".join(surviving_writes)


class ModelHandle:
    """An open file of `ModelFiles`."""

    def __init__(self, files: ModelFiles, inode: Inode, name: str) -> None:
        self._files, self._inode, self._name = files, inode, name
        self.closed = False

    def write(self, data: bytes) -> None:
        assert not self.closed, "write to a closed file"
        self._files.before_operation("write", self._name)
        self._inode.writes.append(bytes(data))
        self._files._after_operation("write")

    def sync(self) -> None:
        assert not self.closed, "sync of a closed file"
        self._files.before_operation("sync", self._name)
        if not self._files.should_skip("sync", self._name):
            self._inode.synced = len(self._inode.writes)
        self._files._after_operation("sync")

    def close(self) -> None:
        self.closed = True
