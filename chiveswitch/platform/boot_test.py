"""Tests that the platform's settings file is decoded and that errors in it are reported."""

from chiveswitch.core import codes
from chiveswitch.platform import boot

SETTINGS_FILE = """
node-name = "n1"
ip = "10.0.0.1"
zone = "z"
region = "r"
internal-port-range = [7200, 7215]
seeds = ["10.0.0.1:8748", "10.0.0.2:8748"]
bootstrap = true
data-dir = "/data/n"
serves = ["front", "control"]
heartbeat-ms = 1200
new-field = 7
[listen]
front = "10.0.0.1:8740"
ready = "10.0.0.1:8749"
control = "10.0.0.1:8748"
[limits]
cpu-share = 0.688
cores = 2
memory-mb = 160
max-fds = 4100
link-mbps = 5.0
[fault-tolerance]
machines = 2
[bounds]
grace-s = 8
retry-budget-ratio = 0.8
budget-slack = 150
budget-window-s = 10
"""


def read_settings_text(tmp_path, text, **environment):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    variables = {boot.FILE_VARIABLE: str(path), boot.SECRET_VARIABLE: "s", **environment}
    return boot.read_settings(variables)


def test_settings_file_is_decoded(tmp_path):
    # Guards against fields that are lost or converted wrongly, such as the port of a seed.
    settings = read_settings_text(tmp_path, SETTINGS_FILE, CHIVESWITCH_METRICS="9105/metrics").ok
    assert settings.peer_address == "10.0.0.1:7200"
    assert settings.seeds == ["10.0.0.1:7200", "10.0.0.2:7200"]
    assert (settings.losses, settings.first_start, settings.heartbeat_s) == (2, True, 1.2)
    assert (settings.metrics_address, settings.metrics_path) == ("10.0.0.1:9105", "/metrics")
    assert settings.directory_address == ""
    assert settings.link_bytes_per_s == 625_000.0
    assert (settings.memory_bytes, settings.max_descriptors) == (160_000_000, 4100)
    assert settings.processors == 1.376
    assert settings.rollout is None
    limits = settings.retry
    assert (limits.ratio, limits.slack, limits.window_s) == (0.8, 150, 10)


def test_bounds_of_rollouts_are_read_where_operators_order_them(tmp_path):
    # Guards against roll-outs on a deployment that does not know them.
    text = SETTINGS_FILE.replace("new-field = 7", 'contracts = ["base", "rollout"]')
    settings = read_settings_text(tmp_path, text + "canary-share = 0.2\nrollback-ms = 4000\n").ok
    rollout = settings.rollout
    assert (rollout.share, rollout.slack, rollout.rollback_s) == (0.2, 50, 4.0)
    errors = read_settings_text(tmp_path, text + "canary-share = 0.0\n").error
    assert [error.code for error in errors] == [codes.Code.SETTING_INVALID]


def test_every_error_is_returned(tmp_path):
    # Guards against a check that stops at the first of several errors.
    text = SETTINGS_FILE.replace('front = "10.0.0.1:8740"', 'front = "host:x"').replace("1200", "0")
    errors = read_settings_text(tmp_path, text, CHIVESWITCH_OPERATOR_SECRET="").error
    assert {error.code for error in errors} == {codes.Code.SETTING_INVALID}
    assert len(errors) == 3


def test_unusable_files_are_refused(tmp_path):
    # Guards against an exception for an empty, malformed, mistyped or missing file.
    assert read_settings_text(tmp_path, "").is_error()
    assert read_settings_text(tmp_path, "node-name = ").is_error()
    assert read_settings_text(tmp_path, SETTINGS_FILE.replace("[7200, 7215]", "7200")).is_error()
    assert boot.read_settings({}).is_error()
