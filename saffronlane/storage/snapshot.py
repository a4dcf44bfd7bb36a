"""Writing of snapshot files, slice by slice."""

from __future__ import annotations

from collections.abc import Generator, Iterator

from . import format as fmt
from .files import Files

TEMPORARY_SUFFIX = "new"  # of a file that is not yet complete
CHANGE_OVERHEAD = 8  # bytes of an entry beside its key and value


def write_snapshot(
    files: Files, state: fmt.StoredMap, sequence: int, slice_bytes: int
) -> Generator[None, None, int]:
    """Write a snapshot; the file gets its name only when it is complete and durable.

    Args:
        files: of the directory.
        state: the map to write.
        sequence: of the last change in it.
        slice_bytes: written and synced at a time, since a sync of the whole file would delay commits.

    Yields:
        None after each slice.

    Returns:
        The size of the file in bytes.
    """
    name = fmt.FileName(fmt.SNAPSHOT, fmt.FORMAT, sequence)
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
    """Return the bytes of a snapshot, in parts of about `slice_bytes`."""
    number = 1
    part = fmt.encode_header(fmt.SNAPSHOT, sequence)
    batch: list[fmt.Change] = []
    batch_size = 0
    for key, entry in state.items():
        batch.append(fmt.Change(key, entry))
        batch_size += len(key) + len(entry.value) + CHANGE_OVERHEAD
        if batch_size >= slice_bytes:
            yield part + fmt.encode_record(number, fmt.ENTRIES, fmt.pack_changes(batch))
            number += 1
            part = b""
            batch = []
            batch_size = 0
    if batch:
        part += fmt.encode_record(number, fmt.ENTRIES, fmt.pack_changes(batch))
        number += 1
    yield part + fmt.encode_record(number, fmt.END, len(state).to_bytes(8, "big"))
