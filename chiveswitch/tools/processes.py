"""Starts the command's daemons as separate processes, for the measuring tool and for tests.

Only the tools that drive a run use this module; no daemon starts another process.
"""

import os
import signal
import socket
import subprocess
import sys


def free_port() -> int:
    """Returns a TCP port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_ports(count: int) -> list:
    """Returns distinct free ports."""
    probes = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        probes.append(probe)
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Fleet:
    """Processes started by a run, by name. Each is ended by its own process id.

    Attributes:
        process_by_name: The running processes.
    """

    def __init__(self, log_folder: str = ""):
        self.process_by_name = {}
        self._log_folder = log_folder
        self._log_files = []

    def start(self, name: str, *arguments: str, interpreter=()):
        """Starts `chiveswitch`.

        Args:
            name: Name of the process.
            arguments: Arguments of the command.
            interpreter: Arguments of the interpreter before the command's module.
        """
        output = subprocess.DEVNULL
        if self._log_folder:
            output = open(os.path.join(self._log_folder, f"{name}.log"), "ab")
            self._log_files.append(output)
        self.process_by_name[name] = subprocess.Popen(
            [sys.executable, *interpreter, "-m", "chiveswitch.tools.main", *arguments],
            stdout=output,
            stderr=output,
            stdin=subprocess.DEVNULL,
        )

    def signal(self, name: str, number: int):
        """Sends a signal to a process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str):
        """Kills a process and waits for its end."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def close(self):
        """Ends all processes."""
        for process in self.process_by_name.values():
            # A stopped process takes SIGKILL only after it is continued on some kernels.
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.process_by_name.clear()
        for output in self._log_files:
            output.close()
