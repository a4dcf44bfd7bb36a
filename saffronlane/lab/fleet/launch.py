"""Starts processes of the real program. The kernel kills them if the parent process exits."""

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


def _kill_with_parent() -> None:
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """A process that can be restarted. The output of all its runs is appended to one log file."""

    def __init__(self, name: str, command: list[str], env: dict[str, str], folder: Path) -> None:
        self.name, self.command, self.env = name, command, env
        self.log_path = folder / f"{name}.log"
        self.popen: subprocess.Popen[bytes] | None = None
        self.is_paused = False  # stopped by SIGSTOP

    def start(self) -> None:
        """Starts the process."""
        with self.log_path.open("ab") as log_file:
            self.popen = subprocess.Popen(
                self.command,
                env=os.environ | self.env,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                preexec_fn=_kill_with_parent,  # noqa: PLW1509 - no other threads run yet
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.popen is not None and self.is_running:
            self.popen.send_signal(signal_number)
            self.is_paused = signal_number is signal.SIGSTOP or (
                self.is_paused and signal_number is not signal.SIGCONT
            )

    def kill(self) -> None:
        """Kills the process and waits for its exit."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()
            self.is_paused = False

    def cpu_seconds(self) -> float:
        """Returns the CPU time used so far in seconds, or 0 if the process does not run."""
        try:
            fields = Path(f"/proc/{self.popen.pid if self.popen else 0}/stat").read_text().split()
        except OSError:
            return 0.0
        # utime and stime, in clock ticks
        return (int(fields[13]) + int(fields[14])) / float(os.sysconf("SC_CLK_TCK"))

    def log_records(self) -> list[dict[str, object]]:
        """Returns the log records of all runs. A line that is not JSON becomes the `event` of a record."""
        records: list[dict[str, object]] = []
        for line in self.log_path.read_bytes().splitlines() if self.log_path.exists() else ():
            try:
                records.append(msgspec.json.decode(line, type=dict[str, object]))
            except msgspec.DecodeError:
                records.append({"event": line.decode("utf-8", "replace"), "level": "raw"})
        return records


def dispatcher_process(name: str, config: Path, folder: Path) -> ChildProcess:
    """Returns a dispatcher process with the command that an operator uses. Does not start it."""
    command = [sys.executable, "-m", "saffronlane.platform"]
    package_root = str(Path(__file__).parents[3])  # this checkout, even if another version is installed
    return ChildProcess(name, command, {"BALANCER_CONFIG": str(config), "PYTHONPATH": package_root}, folder)
