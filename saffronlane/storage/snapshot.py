"""Writing of snapshot files in slices."""

from __future__ import annotations

from collections.abc import Generator, Iterator

from . import format as fmt
from .files import Files

TEMPORARY_SUFFIX = "new"  # suffix of the name of a file that is not yet complete
CHANGE_OVERHEAD = 8  # bytes of an encoded entry in addition to its key and value


def write_snapshot(
    files: Files, state: fmt.StoredMap, sequence: int, slice_bytes: int
) -> Generator[None, None, int]:
    """Write a snapshot. The file has a temporary name until it is complete and durable.

    Args:
        files: The files of the directory.
        state: The map to write.
        sequence: The sequence of the last batch that `state` includes.
        slice_bytes: The approximate number of bytes to write and sync at a time. One sync of the whole file
            would delay commits.

    Yields:
        None after each slice.

    Returns:
        The size of the file in bytes.
    """
    name = fmt.FileName(fmt.SNAPSHOT, fmt.FORMAT_VERSION, sequence)
    temporary_name = f"{name}.{TEMPORARY_SUFFIX}"
    handle = files.create(temporary_name)
    try:
        size = 0
        for part in _slices(state, sequence, slice_bytes):
            handle.write(part)
            handle.sync()
            size += len(part)
            yield
        files.rename(temporary_name, str(name))
        files.sync_folder()
        return size
    finally:
        handle.close()


def _slices(state: fmt.StoredMap, sequence: int, slice_bytes: int) -> Iterator[bytes]:
    """Yield the bytes of a snapshot in parts of about `slice_bytes`."""
    record_number = 1
    part = fmt.encode_header(fmt.SNAPSHOT, sequence)
    batch: list[fmt.Change] = []
    batch_size = 0
    for key, entry in state.items():
        batch.append(fmt.Change(key, entry))
        batch_size += len(key) + len(entry.value) + CHANGE_OVERHEAD
        if batch_size >= slice_bytes:
            yield part + fmt.encode_record(record_number, fmt.ENTRIES, fmt.pack_changes(batch))
            record_number += 1
            part = b""
            batch = []
            batch_size = 0
    if batch:
        part += fmt.encode_record(record_number, fmt.ENTRIES, fmt.pack_changes(batch))
        record_number += 1
    yield part + fmt.encode_record(record_number, fmt.END, len(state).to_bytes(8, "big"))
