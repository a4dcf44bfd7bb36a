"""Runs the program with injected disk faults.

    python -m saffronlane.lab.fleet.disks FAULTS.json serve CONFIG.json

runs `saffronlane serve CONFIG.json` and injects the disk faults listed in `FAULTS.json`. They are injected by
replacing the file operations of `storage.files`, so that the program itself needs no switch for them.
Written data reaches the real disk only at a successful sync, so that a killed process leaves the same files
as a power failure.
"""

from __future__ import annotations

import errno
import os
import runpy
import sys
import time
from pathlib import Path

import msgspec

from ... import state_directory
from ...storage import Handle, RealFiles

FAULT_KINDS = ("lie", "half", "eio", "enospc", "slow", "flip")
SLOW_OPERATION_S = 2.0


class DiskFault(msgspec.Struct, frozen=True):
    """A fault of one file operation: create, write, sync, rename, remove, read or sync_folder.

    Attributes:
        kind: `lie` reports success without storing anything. `half` performs half of a write and then fails.
            `eio` and `enospc` raise an OSError with this error code. `slow` takes two seconds. `flip` inverts
            one bit.
        op: The name of the operation.
        after: The number of operations of this name that succeed before the fault begins.
        count: The number of operations that the fault affects; by default, all that follow.
    """

    kind: str
    op: str
    after: int = 0
    count: int = 1_000_000_000


class Disk:
    """Counts the operations by name and selects the fault that applies to each operation.

    Raises:
        ValueError: If a fault is of an unknown kind.
    """

    def __init__(self, faults: list[DiskFault]) -> None:
        for fault in faults:
            if fault.kind not in FAULT_KINDS:
                raise ValueError(
                    f"unknown kind of disk fault {fault.kind!r}, expected one of {', '.join(FAULT_KINDS)}"
                )
        self._faults, self._counts = faults, dict.fromkeys((fault.op for fault in faults), 0)

    def next_fault(self, op: str) -> str:
        """Counts one operation and returns the kind of fault that applies to it, or an empty string.

        Sleeps first if the fault is `slow`.

        Raises:
            OSError: If the fault is `eio` or `enospc`.
        """
        if op not in self._counts:
            return ""
        number, self._counts[op] = self._counts[op], self._counts[op] + 1
        for fault in self._faults:
            if fault.op == op and fault.after <= number < fault.after + fault.count:
                if fault.kind in ("eio", "enospc"):
                    code = errno.EIO if fault.kind == "eio" else errno.ENOSPC
                    raise OSError(code, os.strerror(code))
                if fault.kind == "slow":
                    time.sleep(SLOW_OPERATION_S)
                return fault.kind
        return ""


class _FaultyHandle:
    """Buffers written data until a successful sync."""

    def __init__(self, real_handle: Handle, disk: Disk) -> None:
        self._real_handle, self._disk, self._unsynced = real_handle, disk, bytearray()

    def write(self, data: bytes) -> None:
        kind = self._disk.next_fault("write")
        if kind == "flip" and data:
            data = bytes([data[0] ^ 1]) + data[1:]
        if kind == "half":
            self._unsynced += data[: len(data) // 2]
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        self._unsynced += data

    def sync(self) -> None:
        if self._disk.next_fault("sync") != "lie":
            self._real_handle.write(bytes(self._unsynced))
            self._unsynced.clear()
            self._real_handle.sync()

    def close(self) -> None:
        self._real_handle.close()


def faulty_files(disk: Disk) -> type[RealFiles]:
    """Returns file operations that access the real disk and apply the faults of `disk`."""

    class FaultyFiles(RealFiles):
        def read(self, name: str) -> bytes:
            data = super().read(name)
            if disk.next_fault("read") == "flip" and data:
                middle = len(data) // 2
                data = data[:middle] + bytes([data[middle] ^ 16]) + data[middle + 1 :]
            return data

        def create(self, name: str) -> Handle:
            disk.next_fault("create")
            return _FaultyHandle(super().create(name), disk)

        def rename(self, old: str, new: str) -> None:
            if disk.next_fault("rename") != "lie":
                super().rename(old, new)

        def remove(self, name: str) -> None:
            if disk.next_fault("remove") != "lie":
                super().remove(name)

        def sync_folder(self) -> None:
            disk.next_fault("sync_folder")
            super().sync_folder()

    return FaultyFiles


def main(arguments: list[str]) -> None:
    """Runs the program with the disk faults listed in the file `arguments[0]` and the remaining arguments."""
    faults = msgspec.json.decode(Path(arguments[0]).read_bytes(), type=list[DiskFault])
    setattr(state_directory, "RealFiles", faulty_files(Disk(faults)))  # noqa: B010
    sys.argv = ["saffronlane", *arguments[1:]]
    runpy.run_module("saffronlane", run_name="__main__")  # the same entry point that an operator uses


if __name__ == "__main__":
    main(sys.argv[1:])
