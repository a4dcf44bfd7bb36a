"""`saffronlane knowledge`: inspects the state directory of a gateway, and purges learned state."""

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
PURGE_TIMEOUT = 5.0  # seconds that a running gateway has to take a request


@click.group()
def knowledge() -> None:
    """Look at what a gateway keeps, or make it forget."""


def _read(folder: Path) -> Recovery:
    """Read the directory, or exit with status 2."""
    try:
        files = RealFiles(folder, make=False)
        try:
            return recover(files)
        finally:
            files.close()
    except OSError as error:
        click.echo(f"{folder}: {error.strerror}", err=True)
        sys.exit(2)


def _decode(found: Recovery) -> tuple[dict[bytes, records.Record], list[str]]:
    values, problems = {}, []
    for key, value in records.decode_all(sorted(found.state.items())):
        if isinstance(value, UnreadableRecordError):
            problems.append(str(value))
        else:
            values[key] = value
    return values, problems


def lock_holder(folder: Path) -> str:
    """Return the id of the process that uses the directory, or an empty string. Keeps no lock."""
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
    try:
        directory_id = directory_id_of((folder / LOCK_NAME).stat())
    except OSError:
        directory_id = ""
    return Timestamp(time.monotonic(), time.time(), boot_id(), directory_id)


def _describe(folder: Path, found: Recovery) -> dict[str, Any]:
    """Return what `show` prints with `--json`."""
    values, problems = _decode(found)
    now = _now(folder)
    description: dict[str, Any] = {
        "folder": str(folder),
        "used_by": lock_holder(folder),
        "sequence": found.sequence,
        "entries": len(found.state),
        "bytes": sum(found.sizes.values()),
        "dropped": found.dropped + problems,
        "newer": found.newer_files,
    }
    run = values.get(records.RUN)
    if isinstance(run, records.RunRecord):
        last = Timestamp(run.monotonic_s, run.wall_s, run.boot_id, run.directory_id)
        gap = gap_between(last, now)
        description["last_sign"] = {
            "seconds_ago": round(gap.max_seconds, 3),
            "sure": gap.is_certain,
            "clean": run.ended_cleanly,
            "program": run.program,
            "gateway": f"{run.gateway_index} of {run.gateway_count}",
        }
    kinds = {
        "classes": records.CLASS,
        "engines": records.ENGINE,
        "requests": records.IDEMPOTENCY,
        "orders": records.ORDERING,
    }
    for name, kind in kinds.items():
        description[name] = sum(records.kind_of(key) == kind for key in values)
    return description


@knowledge.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def show(folder: Path, as_json: bool) -> None:
    """What the folder holds, whether a gateway uses it or not."""
    found = _read(folder)
    description = _describe(folder, found)
    if as_json:
        click.echo(json.dumps(description, indent=2))
        return
    for name, value in description.items():
        click.echo(f"{name:>10}  {value if not isinstance(value, list) else '; '.join(value) or '-'}")
    values, _ = _decode(found)
    run = values.get(records.RUN)
    age = description.get("last_sign", {}).get("seconds_ago", float("inf"))
    for key, value in values.items():
        if isinstance(value, records.ClassRecord):
            since = age + (run.monotonic_s - value.updated_at if isinstance(run, records.RunRecord) else 0.0)
            click.echo(f"{records.name_of(key)}: {_describe_class(value, since)}")
        elif isinstance(value, records.EngineRecord):
            click.echo(f"{records.name_of(key)}: {_describe_engine(value)}")


def _describe_class(record: records.ClassRecord, age: float) -> str:
    """Return a line of `show` on a class whose last answer is so many seconds old."""
    samples = confidence.effective_samples(record.effective_samples, age, 1.0)
    return (
        f"{record.effective_samples:.1f} answers, {samples:.1f} by now; "
        f"latency {record.latency_per_cost:.4g} s, work {record.work_per_cost:.4g} s "
        f"a unit of cost {record.mean_estimated_cost:.4g}"
    )


def _describe_engine(record: records.EngineRecord) -> str:
    """Return a line of `show` on an engine."""
    state = "silent" if record.is_unresponsive else "ill" if record.is_ejected else "well"
    dispatches = len(record.recent_dispatches)
    return f"{state}, failures {record.failure_ratio:.2f}, {dispatches} sent while cold"


@knowledge.command()
@click.argument("folder", type=FOLDER)
@click.option("--config", "settings", type=click.Path(dir_okay=False, path_type=Path))
def check(folder: Path, settings: Path | None) -> None:
    """Whether all of it is whole; with the gateway's settings, what it counts for now. Exit 1: damage."""
    found = _read(folder)
    _, problems = _decode(found)
    for text in [
        *found.dropped,
        *problems,
        *(f"{name}: of a newer version, left alone" for name in found.newer_files),
    ]:
        click.echo(text)
    if settings is not None:
        try:
            config = load_config(settings)
        except ConfigError as error:
            click.echo(str(error), err=True)
            sys.exit(2)
        state = PersistedState(tuple(found.state.items()), _now(folder))
        restorer = StateRestorer(config.settings, state)
        directory = restorer.confidence
        summary = restorer.summary
        click.echo(
            f"age {summary.age:.1f} s, exact {directory.has_complete_ledgers}, weight {directory.weight:g}"
        )
        for note in summary.notes:
            click.echo(note)
    click.echo("whole" if not (found.dropped or problems) else "not all of it could be read")
    sys.exit(1 if found.dropped or problems else 0)


@knowledge.command()
@click.argument("folder", type=FOLDER)
def export(folder: Path) -> None:
    """All entries as JSON, one a line."""
    values, _ = _decode(_read(folder))
    for key, value in values.items():
        click.echo(json.dumps({"key": records.name_of(key)} | records.exported_fields(value), default=_text))


def _text(value: object) -> str:
    return value.decode("utf-8", "backslashreplace") if isinstance(value, bytes) else str(value)


@knowledge.command()
@click.argument("folder", type=FOLDER)
@click.argument("what", type=click.Choice([w.value for w in PurgeCategory]), nargs=-1, required=True)
def forget(folder: Path, what: tuple[str, ...]) -> None:
    """Forget CLASSES (times, needs), ENGINES (health) or ALL. A running gateway is asked to, but for ALL."""
    chosen = [PurgeCategory(w) for w in what]
    try:
        lock = DirectoryLock(folder)
    except DirectoryBusyError as error:
        _request_purge(folder, chosen, str(error))
        return
    except OSError as error:
        click.echo(f"{folder}: {error.strerror}", err=True)
        sys.exit(2)
    try:
        store = Store(RealFiles(folder))
        store.load()
        changes = purge_entries(store.state.items(), chosen)
        store.begin()
        if changes:
            store.commit(changes)
        store.write_final_snapshot()  # twice: the generation before it goes too
        store.write_final_snapshot()
    except (OSError, StoreFailedError) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(2)
    finally:
        lock.release()
    click.echo(f"{len(changes)} entries changed")


def _request_purge(folder: Path, chosen: Iterable[PurgeCategory], busy: str) -> None:
    """Have the gateway that uses the directory purge these, and wait until it has taken the request."""
    if PurgeCategory.ALL in chosen:
        click.echo(f"{busy}; rules stand on its ledgers, so stop it first to forget all", err=True)
        sys.exit(2)
    request = write_purge_request(folder, chosen)
    end = time.monotonic() + PURGE_TIMEOUT
    while request.exists():
        if time.monotonic() > end:
            request.unlink(missing_ok=True)
            click.echo(f"{busy}, and it did not take the request in {PURGE_TIMEOUT:g} s", err=True)
            sys.exit(2)
        time.sleep(POLL_INTERVAL)
    click.echo("the running gateway forgets them")
