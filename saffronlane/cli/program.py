"""The command line."""

from __future__ import annotations

import asyncio
import gc
import sys
from pathlib import Path
from typing import Any

import click

from .. import __version__
from .. import logging_setup as logs
from ..config import Config, ConfigError, load_config, schema_text
from .learned_state import knowledge

FILE = click.Path(dir_okay=False, path_type=Path)


class Program(click.Group):
    """Says what is missing where the laboratory's extra is not installed."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except ModuleNotFoundError as error:
            click.echo(
                f"{error.name} is missing; the laboratory needs: pip install 'saffronlane[lab]'", err=True
            )
            sys.exit(2)


@click.group(cls=Program)
@click.version_option(__version__)
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def main(log_level: str) -> None:
    """Saffronlane admits queries and routes them to analytic engines."""
    logs.set_up(log_level)


def _load(path: Path) -> Config:
    try:
        return load_config(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)


@main.command()
@click.argument("config", type=FILE)
@click.option("--worker", type=int, hidden=True)
@click.option("--port", type=int, hidden=True)
@click.pass_context
def serve(context: click.Context, config: Path, worker: int | None, port: int | None) -> None:
    """Run the gateway until SIGTERM, which drains it; a second one ends it at once."""
    from ..daemon import serve as run
    from ..supervisor import as_worker, supervise

    loaded = _load(config)
    level = context.find_root().params["log_level"]
    if loaded.workers > 1 and worker is None:
        work = supervise(config, level)
    else:
        loaded = loaded if worker is None else as_worker(loaded, worker, port or loaded.port)
        work = run(loaded, share_port=worker is not None)
    gc.freeze()
    gc.set_threshold(50_000, 20, 20)  # many long-lived objects: the default looks at them all too often
    try:
        asyncio.run(work)
    except OSError as error:
        click.echo(f"{config}: /listen: {error}", err=True)
        sys.exit(2)


@main.group("config")
def config_group() -> None:
    """Look at settings."""


@config_group.command()
@click.argument("config", type=FILE)
def check(config: Path) -> None:
    """Check a settings file, and the engine list that it names if that is there."""
    from ..config import parse_engines
    from ..config.check import load_json

    loaded = _load(config)
    try:
        if loaded.engine_file.exists():
            parse_engines(load_json(loaded.engine_file), loaded, str(loaded.engine_file))
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(f"{config}: good")


@config_group.command()
def schema() -> None:
    """Print the JSON Schema of the settings."""
    click.echo(schema_text())


@main.command()
@click.argument("record", type=FILE)
def replay(record: Path) -> None:
    """Play a record of a gateway's core through the library, and compare what it does."""
    from ..dispatch.errors import RecordingError
    from ..dispatch.recording import replay as play

    steps = 0
    try:
        for step in play(record):
            if not step.is_equal:
                click.echo(f"step {steps} at {step.time:.6f} differs:")
                click.echo(f" recorded {step.recorded}\n made     {step.replayed}")
                sys.exit(1)
            steps += 1
    except (RecordingError, OSError) as error:
        click.echo(f"{record}: {error}", err=True)
        sys.exit(2)
    click.echo(f"{steps} steps, all the same")


@main.group()
def lab() -> None:
    """Stand-in engines and scripted days."""


@lab.command()
@click.argument("config", type=FILE)
def engine(config: Path) -> None:
    """Run one stand-in engine."""
    from ..config.check import load_json
    from ..lab.engine import read_engine_config
    from ..lab.up import run_engine

    try:
        shape = read_engine_config(load_json(config), config.stem)
    except (ConfigError, ValueError, TypeError) as error:
        click.echo(f"{config}: {error}", err=True)
        sys.exit(2)
    asyncio.run(run_engine(shape))


@lab.command()
@click.option("--engines", default=3, show_default=True, type=click.IntRange(1, 100))
@click.option("--gateways", default=1, show_default=True, type=click.IntRange(1, 16))
def up(engines: int, gateways: int) -> None:
    """Engines and a gateway on loopback until SIGINT or SIGTERM."""
    from ..lab.up import run_up

    asyncio.run(run_up(engines, gateways))


@lab.command()
@click.argument("day", type=FILE)
@click.option(
    "--report", type=click.Path(file_okay=False, path_type=Path), help="Leave record and result here."
)
@click.option("--seed", type=int, help="In place of the day's own.")
def day(day: Path, report: Path | None, seed: int | None) -> None:
    """Play a scripted bad day (a file or a shipped name) on real sockets; exit 1 if a rule broke."""
    from ..lab.day import load_day, run_day, summary, table
    from ..lab.days import shipped

    path = day if day.exists() or day.suffix else shipped(day.name)
    try:
        loaded = load_day(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if seed is not None:
        loaded.raw["seed"] = seed
    outcome = run_day(loaded, report)
    click.echo(table(outcome))
    breaches = summary(outcome)["breaches"]
    for breach in breaches:
        click.echo(breach)
    bad = [code for code in outcome.exit_codes if code]
    if bad:
        click.echo(f"gateways ended with exit codes {bad}")
    click.echo("no rule broke" if not breaches else f"{len(breaches)} breaches")
    sys.exit(1 if breaches or bad else 0)


@lab.command()
def days() -> None:
    """Name the days that ship with the program."""
    from ..lab.days import names

    for name in names():
        click.echo(name)


@main.command()
@click.option("--seed", type=int, default=1)
def demo(seed: int) -> None:
    """A short day with faults, asked by the ADBC driver and by ours, and what came of each class."""
    from ..lab.day import load_day, run_day, summary, table
    from ..lab.days import shipped

    loaded = load_day(shipped("demo"))
    loaded.raw["seed"] = seed
    click.echo(loaded.raw["about"])
    outcome = run_day(loaded)
    click.echo(table(outcome))
    breaches = summary(outcome)["breaches"]
    click.echo("\n".join(breaches) if breaches else "no rule broke")
    sys.exit(1 if breaches else 0)


main.add_command(knowledge)

if __name__ == "__main__":
    main()
