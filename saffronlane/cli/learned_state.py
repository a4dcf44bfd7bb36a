"""The `saffronlane knowledge` commands, which inspect a state directory and purge learned state."""

from __future__ import annotations

import fcntl
import json
import os
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click

from ..config import ConfigError, load_config
from ..learned_state import PersistedState, StateRestorer, Timestamp, confidence, records
from ..learned_state.clock import gap_between
from ..learned_state.errors import UnreadableRecordError
from ..learned_state.purge import PurgeCategory, purge_entries
from ..purge_requests import write_purge_request
from ..state_directory import boot_id
from ..storage import DirectoryBusyError, DirectoryLock, RealFiles, Recovery, Store, StoreFailedError, recover
from ..storage.files import LOCK_NAME, directory_id_of

FOLDER = click.Path(file_okay=False, exists=True, path_type=Path)
POLL_INTERVAL = 0.05  # seconds
PURGE_TIMEOUT = 5.0  # seconds to wait for a running gateway to accept a purge request


@click.group()
def knowledge() -> None:
    """Inspect the state directory of a gateway, or purge its learned state."""


def _read(folder: Path) -> Recovery:
    """Read the directory. Exits with status 2 if it cannot be read."""
    try:
        files = RealFiles(folder, create_missing=False)
        try:
            return recover(files)
        finally:
            files.close()
    except OSError as error:
        click.echo(f"{folder}: {error.strerror}", err=True)
        sys.exit(2)


def _decode(recovery: Recovery) -> tuple[dict[bytes, records.Record], list[str]]:
    """Return the readable records by key, and one message for each unreadable record."""
    decoded, problems = {}, []
    for key, record in records.decode_all(sorted(recovery.state.items())):
        if isinstance(record, UnreadableRecordError):
            problems.append(str(record))
        else:
            decoded[key] = record
    return decoded, problems


def lock_holder(folder: Path) -> str:
    """Return the id of the process that has locked the directory, or an empty string. Acquires no lock."""
    try:
        fd = os.open(folder / LOCK_NAME, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return ""
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return os.pread(fd, 32, 0).decode("ascii", "replace").strip() or "unknown"
    except OSError:
        return ""
    finally:
        os.close(fd)
    return ""


def _now(folder: Path) -> Timestamp:
    """Return the present time together with the identity of the directory."""
    try:
        directory_id = directory_id_of((folder / LOCK_NAME).stat())
    except OSError:
        directory_id = ""
    return Timestamp(time.monotonic(), time.time(), boot_id(), directory_id)


def _describe(folder: Path, recovery: Recovery) -> dict[str, Any]:
    """Return the summary that `show` prints, as an object for `--json`."""
    decoded, problems = _decode(recovery)
    now = _now(folder)
    description: dict[str, Any] = {
        "folder": str(folder),
        "used_by": lock_holder(folder),
        "sequence": recovery.sequence,
        "entries": len(recovery.state),
        "bytes": sum(recovery.file_sizes.values()),
        "dropped": recovery.problems + problems,
        "newer": recovery.newer_files,
    }
    run = decoded.get(records.RUN)
    if isinstance(run, records.RunRecord):
        last_heartbeat = Timestamp(run.monotonic_s, run.wall_s, run.boot_id, run.directory_id)
        gap = gap_between(last_heartbeat, now)
        description["last_sign"] = {
            "seconds_ago": round(gap.max_seconds, 3),
            "sure": gap.is_certain,
            "clean": run.ended_cleanly,
            "program": run.program,
            "gateway": f"{run.gateway_index} of {run.gateway_count}",
        }
    kinds_by_name = {
        "classes": records.CLASS,
        "engines": records.ENGINE,
        "requests": records.IDEMPOTENCY,
        "orders": records.ORDERING,
    }
    for name, kind in kinds_by_name.items():
        description[name] = sum(records.kind_of(key) == kind for key in decoded)
    return description


@knowledge.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON.")
def show(folder: Path, as_json: bool) -> None:
    """Print a summary of the state directory, also while a gateway uses it."""
    recovery = _read(folder)
    description = _describe(folder, recovery)
    if as_json:
        click.echo(json.dumps(description, indent=2))
        return
    for name, value in description.items():
        click.echo(f"{name:>10}  {value if not isinstance(value, list) else '; '.join(value) or '-'}")
    decoded, _ = _decode(recovery)
    run = decoded.get(records.RUN)
    heartbeat_age = description.get("last_sign", {}).get("seconds_ago", float("inf"))
    for key, record in decoded.items():
        if isinstance(record, records.ClassRecord):
            age = heartbeat_age + (
                run.monotonic_s - record.updated_at if isinstance(run, records.RunRecord) else 0.0
            )
            click.echo(f"{records.printable_key(key)}: {_describe_class(record, age)}")
        elif isinstance(record, records.EngineRecord):
            click.echo(f"{records.printable_key(key)}: {_describe_engine(record)}")


def _describe_class(record: records.ClassRecord, age: float) -> str:
    """Return the text that `show` prints about a query class.

    Args:
        record: The persisted record of the class.
        age: The seconds since the record was updated.
    """
    samples = confidence.effective_samples(record.effective_samples, age, 1.0)
    return (
        f"{record.effective_samples:.1f} effective samples, {samples:.1f} after aging; "
        f"latency {record.latency_per_cost:.4g} s and work {record.work_per_cost:.4g} s "
        f"per unit of cost, mean estimated cost {record.mean_estimated_cost:.4g}"
    )


def _describe_engine(record: records.EngineRecord) -> str:
    """Return the text that `show` prints about an engine."""
    state = "silent" if record.is_unresponsive else "ill" if record.is_ejected else "well"
    dispatches = len(record.recent_dispatches)
    return f"{state}, failures {record.failure_ratio:.2f}, {dispatches} slow-start dispatches"


@knowledge.command()
@click.argument("folder", type=FOLDER)
@click.option("--config", "settings", type=click.Path(dir_okay=False, path_type=Path))
def check(folder: Path, settings: Path | None) -> None:
    """Check the state directory for damage. Exits with status 1 if some data cannot be read.

    With the gateway's settings (--config), also print the weight that the gateway would give its learned
    state if it restarted now.
    """
    recovery = _read(folder)
    _, problems = _decode(recovery)
    for message in [
        *recovery.problems,
        *problems,
        *(f"{name}: of a newer version, ignored" for name in recovery.newer_files),
    ]:
        click.echo(message)
    if settings is not None:
        try:
            config = load_config(settings)
        except ConfigError as error:
            click.echo(str(error), err=True)
            sys.exit(2)
        state = PersistedState(tuple(recovery.state.items()), _now(folder))
        restorer = StateRestorer(config.settings, state)
        confidence_in_state = restorer.confidence
        summary = restorer.summary
        click.echo(
            f"age {summary.age:.1f} s, exact {confidence_in_state.has_complete_ledgers}, "
            f"weight {confidence_in_state.weight:g}"
        )
        for note in summary.notes:
            click.echo(note)
    click.echo("whole" if not (recovery.problems or problems) else "some data could not be read")
    sys.exit(1 if recovery.problems or problems else 0)


@knowledge.command()
@click.argument("folder", type=FOLDER)
def export(folder: Path) -> None:
    """Print all entries as JSON, one per line."""
    decoded, _ = _decode(_read(folder))
    for key, record in decoded.items():
        click.echo(
            json.dumps(
                {"key": records.printable_key(key)} | records.exported_fields(record), default=_as_text
            )
        )


def _as_text(value: object) -> str:
    """Return the text of a value that has no JSON type."""
    return value.decode("utf-8", "backslashreplace") if isinstance(value, bytes) else str(value)


@knowledge.command()
@click.argument("folder", type=FOLDER)
@click.argument(
    "what", type=click.Choice([category.value for category in PurgeCategory]), nargs=-1, required=True
)
def forget(folder: Path, what: tuple[str, ...]) -> None:
    """Purge learned state: classes (estimates), engines (health and load reports) or all.

    A running gateway purges classes and engines on request. To purge all, stop the gateway first, because its
    guarantees depend on the ledgers.
    """
    categories = [PurgeCategory(category) for category in what]
    try:
        lock = DirectoryLock(folder)
    except DirectoryBusyError as error:
        _request_purge(folder, categories, str(error))
        return
    except OSError as error:
        click.echo(f"{folder}: {error.strerror}", err=True)
        sys.exit(2)
    try:
        store = Store(RealFiles(folder))
        store.load()
        changes = purge_entries(store.state.items(), categories)
        store.begin()
        if changes:
            store.commit(changes)
        store.discard_history()
    except (OSError, StoreFailedError) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(2)
    finally:
        lock.release()
    click.echo(f"{len(changes)} entries changed")


def _request_purge(folder: Path, categories: Iterable[PurgeCategory], busy_message: str) -> None:
    """Request a purge from the gateway that uses the directory, and wait until it has accepted the request.

    Args:
        folder: The state directory.
        categories: The categories to purge.
        busy_message: The error message that names the process that uses the directory.
    """
    if PurgeCategory.ALL in categories:
        click.echo(
            f"{busy_message}; stop that gateway first, because its guarantees depend on the ledgers", err=True
        )
        sys.exit(2)
    request = write_purge_request(folder, categories)
    deadline = time.monotonic() + PURGE_TIMEOUT
    while request.exists():
        if time.monotonic() > deadline:
            request.unlink(missing_ok=True)
            click.echo(
                f"{busy_message}; the gateway did not accept the request within {PURGE_TIMEOUT:g} s", err=True
            )
            sys.exit(2)
        time.sleep(POLL_INTERVAL)
    click.echo("the running gateway has accepted the purge request")
