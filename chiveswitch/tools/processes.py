"""Starts the command's daemons as separate processes, for the measuring tool and for tests.

Only the tools that drive a run use this module; no daemon starts another process.
"""

import itertools
import os
import random
import signal
import socket
import subprocess
import sys

# Ports below the range from which the kernel takes those of outgoing connections: a port from that
# range can be taken between its choice and the start of the process that is to listen on it.
FIRST_PORT = 15_000
LAST_PORT = 31_000
_next_port = itertools.count(random.SystemRandom().randrange(FIRST_PORT, LAST_PORT))


def free_port() -> int:
    """Returns a TCP port of the loopback address that is free now and was not returned before."""
    for number in _next_port:
        port = FIRST_PORT + number % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            # Connections of an earlier run may linger in TIME_WAIT; listeners ignore them.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def free_ports(count: int) -> list:
    """Returns distinct free ports."""
    return [free_port() for _ in range(count)]


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
