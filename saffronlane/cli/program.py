"""The command line `saffronlane`."""

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


class CommandGroup(click.Group):
    """A command group that reports a missing optional dependency without a traceback."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command. Exits with status 2 if a module that it needs is not installed."""
        try:
            return super().invoke(ctx)
        except ModuleNotFoundError as error:
            click.echo(
                f"module {error.name} is not installed; install the lab commands with: "
                "pip install 'saffronlane[lab]'",
                err=True,
            )
            sys.exit(2)


@click.group(cls=CommandGroup)
@click.version_option(__version__)
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def main(log_level: str) -> None:
    """Saffronlane admits queries and routes them to analytic engines."""
    logs.set_up(log_level)


def _load(path: Path) -> Config:
    """Return the loaded settings file. Exits with status 2 if it is invalid."""
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
    """Run the gateway. SIGTERM drains it, and a second SIGTERM stops it at once."""
    from ..daemon import serve as run
    from ..supervisor import as_worker, supervise

    loaded_config = _load(config)
    log_level = context.find_root().params["log_level"]
    if loaded_config.workers > 1 and worker is None:
        main_coroutine = supervise(config, log_level)
    else:
        loaded_config = (
            loaded_config if worker is None else as_worker(loaded_config, worker, port or loaded_config.port)
        )
        main_coroutine = run(loaded_config, share_port=worker is not None)
    gc.freeze()
    gc.set_threshold(50_000, 20, 20)  # The defaults scan the many long-lived objects too often.
    try:
        asyncio.run(main_coroutine)
    except OSError as error:
        click.echo(f"{config}: /listen: {error}", err=True)
        sys.exit(2)


@main.group("config")
def config_group() -> None:
    """Check settings files and print their JSON Schema."""


@config_group.command()
@click.argument("config", type=FILE)
def check(config: Path) -> None:
    """Check a settings file, and its engine list if that file exists."""
    from ..config import parse_engines
    from ..config.check import load_json

    loaded_config = _load(config)
    try:
        if loaded_config.engine_file.exists():
            parse_engines(load_json(loaded_config.engine_file), loaded_config, str(loaded_config.engine_file))
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(f"{config}: valid")


@config_group.command()
def schema() -> None:
    """Print the JSON Schema of the settings."""
    click.echo(schema_text())


@main.command()
@click.argument("record", type=FILE)
def replay(record: Path) -> None:
    """Replay a recording of a gateway's dispatcher, and compare its effects with the recorded ones.

    Exits with status 1 at the first difference.
    """
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
    """Run stand-in engines and scripted days of load and faults."""


@lab.command()
@click.argument("config", type=FILE)
def engine(config: Path) -> None:
    """Run one stand-in engine."""
    from ..config.check import load_json
    from ..lab.engine import read_engine_config
    from ..lab.up import run_engine

    try:
        engine_config = read_engine_config(load_json(config), config.stem)
    except (ConfigError, ValueError, TypeError) as error:
        click.echo(f"{config}: {error}", err=True)
        sys.exit(2)
    asyncio.run(run_engine(engine_config))


@lab.command()
@click.option("--engines", default=3, show_default=True, type=click.IntRange(1, 100))
@click.option("--gateways", default=1, show_default=True, type=click.IntRange(1, 16))
def up(engines: int, gateways: int) -> None:
    """Run stand-in engines and gateways on loopback until SIGINT or SIGTERM."""
    from ..lab.up import run_up

    asyncio.run(run_up(engines, gateways))


@lab.command()
@click.argument("day", type=FILE)
@click.option(
    "--report",
    type=click.Path(file_okay=False, path_type=Path),
    help="Write the record and the report to this directory.",
)
@click.option("--seed", type=int, help="Random seed that replaces the one in the day file.")
def day(day: Path, report: Path | None, seed: int | None) -> None:
    """Play a scripted day of load and faults on real sockets.

    Exits with status 1 if a rule is breached or a gateway ends with an error. DAY is a file
    or the name of a day that ships with the program.
    """
    from ..lab.day import load_day, run_day, summary, table
    from ..lab.days import shipped

    path = day if day.exists() or day.suffix else shipped(day.name)
    try:
        loaded_day = load_day(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if seed is not None:
        loaded_day.raw["seed"] = seed
    outcome = run_day(loaded_day, report)
    click.echo(table(outcome))
    breaches = summary(outcome)["breaches"]
    for breach in breaches:
        click.echo(breach)
    failed_exit_codes = [code for code in outcome.exit_codes if code]
    if failed_exit_codes:
        click.echo(f"gateways ended with exit codes {failed_exit_codes}")
    click.echo("no rule was breached" if not breaches else f"{len(breaches)} breaches")
    sys.exit(1 if breaches or failed_exit_codes else 0)


@lab.command()
def days() -> None:
    """List the days that ship with the program."""
    from ..lab.days import names

    for name in names():
        click.echo(name)


@main.command()
@click.option("--seed", type=int, default=1)
def demo(seed: int) -> None:
    """Play a short day with faults, and print the results of each query class.

    Queries are sent by the ADBC driver and by our own client.
    """
    from ..lab.day import load_day, run_day, summary, table
    from ..lab.days import shipped

    loaded_day = load_day(shipped("demo"))
    loaded_day.raw["seed"] = seed
    click.echo(loaded_day.raw["about"])
    outcome = run_day(loaded_day)
    click.echo(table(outcome))
    breaches = summary(outcome)["breaches"]
    click.echo("\n".join(breaches) if breaches else "no rule was breached")
    sys.exit(1 if breaches else 0)


main.add_command(knowledge)

if __name__ == "__main__":
    main()
