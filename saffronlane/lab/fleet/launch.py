"""Processes of the real program, ended by their ids whatever happens to the one that started them."""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """One process. Its words go to a file, one run after another."""

    def __init__(self, name: str, command: list[str], env: dict[str, str], folder: Path) -> None:
        self.name, self.command, self.env = name, command, env
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.stopped = False  # by SIGSTOP

    def start(self) -> None:
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                self.command,
                env=os.environ | self.env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                preexec_fn=_die_with_parent,  # noqa: PLW1509 - no threads run here yet
            )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.running:
            self.process.send_signal(number)
            self.stopped = number is signal.SIGSTOP or (self.stopped and number is not signal.SIGCONT)

    def kill(self) -> None:
        """End it at once, and wait until it is gone."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.stopped = False

    def cpu_seconds(self) -> float:
        """Used so far; 0 once it has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid if self.process else 0}/stat").read_text().split()
        except OSError:
            return 0.0
        return (int(fields[13]) + int(fields[14])) / float(os.sysconf("SC_CLK_TCK"))

    def lines(self) -> list[dict[str, object]]:
        """What it has logged, over all its runs. A line that is no JSON stands under `event`."""
        found: list[dict[str, object]] = []
        for line in self.log.read_bytes().splitlines() if self.log.exists() else ():
            try:
                found.append(msgspec.json.decode(line, type=dict[str, object]))
            except msgspec.DecodeError:
                found.append({"event": line.decode("utf-8", "replace"), "level": "raw"})
        return found


def dispatcher(name: str, config: Path, folder: Path) -> Child:
    """One dispatcher, started as an operator would."""
    command = [sys.executable, "-m", "saffronlane.platform"]
    where = str(Path(__file__).parents[3])  # this very program, whatever else is installed
    return Child(name, command, {"BALANCER_CONFIG": str(config), "PYTHONPATH": where}, folder)
