"""Starts `chiveswitch` daemons as separate processes, for the measuring tool and for tests.

Only tools and tests that drive a run use this module; daemons start no other processes.
"""

import atexit
import errno
import os
import random
import signal
import socket
import subprocess
import sys

# Ports below the kernel's ephemeral range. An outgoing connection could take an ephemeral port
# between its choice and the start of the process that is to listen on it.
FIRST_PORT = 15_000
LAST_PORT = 31_000
# A process takes its ports from blocks that no other process takes ports from at the same time.
BLOCK_PORTS = 250


class PortBlocks:
    """Hands out ports of blocks that belong to this process until it ends.

    Several test runs, or workers of one run, choose ports at the same time on one machine. A port
    that is chosen but not bound yet, or that must stay unused, seems free to the others.

    Args:
        rng: Chooses the first block to try.
    """

    def __init__(self, rng: random.Random):
        starts = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
        first = rng.randrange(len(starts))
        self._starts = iter(starts[first:] + starts[:first])
        self._guards = []
        self._ports = iter(())

    def next_port(self) -> int:
        """Returns a port that was not returned before; claims another block if necessary.

        Raises:
            OSError: All blocks belong to this or other processes.
        """
        port = next(self._ports, None)
        while port is None:
            start = next(self._starts, None)
            if start is None:
                raise OSError(errno.EADDRINUSE, "no block of free ports is left")
            guard = socket.socket()
            try:
                # The kernel gives the block's first port to one process and frees it at its end.
                guard.bind(("127.0.0.1", start))
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            self._ports = iter(range(start + 1, min(start + BLOCK_PORTS, LAST_PORT)))
            port = next(self._ports)
        return port

    def close(self):
        """Gives the blocks back."""
        for guard in self._guards:
            guard.close()
        self._guards.clear()
        self._ports = iter(())


_blocks = PortBlocks(random.SystemRandom())
atexit.register(_blocks.close)


def free_port() -> int:
    """Returns a TCP port of the loopback address that is free now and was not returned before."""
    while True:
        port = _blocks.next_port()
        with socket.socket() as probe:
            # Without this option, connections of an earlier run in TIME_WAIT would make the port
            # seem taken, although a listener can use it.
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
    """The processes of a test or measurement, by name. Each is ended by its own process id.

    Attributes:
        process_by_name: `subprocess.Popen` of each running process.
    """

    def __init__(self, log_folder: str = ""):
        self.process_by_name = {}
        self._log_folder = log_folder
        self._log_files = []

    def start(self, name: str, *arguments: str, interpreter=()):
        """Starts a process of the command `chiveswitch`.

        Args:
            name: Name of the process.
            arguments: Command-line arguments, beginning with the subcommand.
            interpreter: Arguments of the Python interpreter before `-m`.
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
        """Kills a process with SIGKILL and waits for its end."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def close(self):
        """Kills all processes and closes their log files."""
        for process in self.process_by_name.values():
            # On some kernels a stopped process receives SIGKILL only after it is continued.
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.process_by_name.clear()
        for output in self._log_files:
            output.close()
