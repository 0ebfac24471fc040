"""Tests of the command line's settings and help."""

import subprocess
import sys

import pytest


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "chiveswitch.tools.main", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_all_errors_of_the_settings_are_reported_at_once(tmp_path):
    # Guards against a daemon that reports only the first wrong setting, or ends with a traceback.
    (tmp_path / "bundle.json").write_text("{}")
    result = run(
        *("gateway", "--listen", "host:1", "--policy", "best", "--detector", "none"),
        *("--copies", "2", "--log-level", "loud", "--statsd", "x"),
        *("--bundle-file", str(tmp_path / "bundle.json")),
    )
    assert result.returncode == 2
    for name in ("listen", "policy", "detector", "copies", "log-level", "statsd", "gateway-id"):
        assert f"8001 SETTING_INVALID --{name}: " in result.stderr
    assert "8001 SETTING_INVALID --bundle-file: models: is missing" in result.stderr
    assert "Traceback" not in result.stderr


@pytest.mark.parametrize("command", ["gateway", "control", "engine", "service", "bundle", "demo"])
def test_help_is_shown(command):
    result = run(command, "--help")
    assert result.returncode == 0
    assert "Usage: chiveswitch" in result.stdout
