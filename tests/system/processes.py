"""Starts, signals and stops the processes of a test cell."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path

REPOSITORY = Path(__file__).parents[2]


def free_ports(count: int) -> list[int]:
    """Finds a run of consecutive free ports on 127.0.0.1."""
    # Below the ephemeral range, so that no outgoing connection uses one. The
    # process id gives concurrent test runs different ranges.
    first = 10_000 + (os.getpid() * 97) % 14_000
    for base in range(first, first + 8_000, count):
        ports = list(range(base, base + count))
        if all(_is_free(port) for port in ports):
            return ports
    raise RuntimeError('no run of free ports on 127.0.0.1')


def _is_free(port: int) -> bool:
    with closing(socket.socket()) as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


class Processes:
    """Named child processes, each with a log file."""

    def __init__(self, log_folder: Path) -> None:
        self._log_folder = log_folder
        self._children: dict[str, subprocess.Popen[bytes]] = {}
        log_folder.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, *arguments: str) -> None:
        """Starts `python -m` with these arguments."""
        path = f'{REPOSITORY / "src"}{os.pathsep}{REPOSITORY}'
        with (self._log_folder / f'{name}.log').open('ab') as log:
            self._children[name] = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=log,
                stderr=log,
                cwd=REPOSITORY,
                env={**os.environ, 'PYTHONPATH': path},
            )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self._children[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        child = self._children[name]
        child.kill()
        child.wait()

    def freeze(self, name: str) -> None:
        """Pauses a process."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a paused process."""
        self.signal(name, signal.SIGCONT)

    def is_running(self, name: str) -> bool:
        """Returns whether a process still runs."""
        return self._children[name].poll() is None

    def pid(self, name: str) -> int:
        """Returns the process id."""
        return self._children[name].pid

    def names(self) -> Iterator[str]:
        """Iterates over the names of all started processes."""
        return iter(self._children)

    def stop_all(self) -> None:
        """Kills all processes that still run."""
        for child in self._children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self._children.values():
            child.wait()
