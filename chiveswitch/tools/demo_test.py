"""Test of the demo as a user runs it."""

import subprocess
import sys

import pytest

pytestmark = pytest.mark.processes


def test_the_demo_passes_and_leaves_no_connections_open():
    # Guards against connections that outlive the event loop, whose finalizers print tracebacks
    # after the demo has passed.
    command = "from chiveswitch.tools import main; main.main()"
    result = subprocess.run(
        [sys.executable, "-c", command, "demo"], capture_output=True, text=True, timeout=60
    )
    assert result.returncode == 0
    assert result.stdout.endswith("The demo passed.\n")
    assert result.stderr == ""
