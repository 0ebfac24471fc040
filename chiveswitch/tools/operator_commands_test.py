"""Tests of the operators' commands: a full rollout, exit codes, errors and the operation id."""

import io

import cappa
import orjson
import pytest
from starlette import applications, routing

from chiveswitch.callers import app as callers_app
from chiveswitch.core import codes
from chiveswitch.operators import app_test, rollout, rollout_test
from chiveswitch.tools import main, operator_commands, sample

COMMANDS = "BundleCommand Check Write Approve Roll Show Audit Status Addresses"
COMMAND_BY_NAME = {
    name.lower().removesuffix("command"): getattr(operator_commands, name)
    for name in COMMANDS.split()
}
running = app_test.running
system = app_test.system


@pytest.fixture
def run(system, monkeypatch, capsys):
    """Runs a command line; returns (exit code, standard output, standard error)."""
    monkeypatch.setenv("CHIVESWITCH_CONTROL", system.address)
    monkeypatch.setattr("sys.stdin", io.StringIO())

    def run_command(*arguments, name="", is_full_command=False):
        command = main.Chiveswitch
        # Parsing the whole command line takes cappa 0.2 s, mostly to read doc comments from the
        # source, so that most tests invoke the subcommand's class directly.
        while not is_full_command and arguments and arguments[0] in COMMAND_BY_NAME:
            command, arguments = COMMAND_BY_NAME[arguments[0]], arguments[1:]
        if name:
            monkeypatch.setenv("CHIVESWITCH_API_KEY", f"{name}-key")
        code = 0
        try:
            cappa.invoke(command, argv=[str(argument) for argument in arguments])
        except SystemExit as end:
            code = end.code or 0
        output = capsys.readouterr()
        return code, output.out, output.err

    return run_command


@pytest.fixture
def files(tmp_path):
    (tmp_path / "1.json").write_bytes(app_test.content(1))
    (tmp_path / "amos").write_text(sample.private_key("amos").hex())
    (tmp_path / "amos").chmod(0o600)
    return tmp_path


def test_write_approve_and_roll_put_a_bundle_in_force(run, files):
    """Guards against commands that do not put a bundle in force or report another result."""
    code, out, err = run("bundle", "write", files / "1.json", name="wren", is_full_command=True)
    assert code == 0 and out.startswith("written: version 1") and "operation id: " in err
    code, out, err = run("bundle", "approve", 1, "--key-file", files / "amos", name="amos")
    digest = app_test.digest_of(app_test.content(1))
    assert code == 0 and out.startswith(f"version 1 digest {digest}\n")
    assert "+ services report\n" in out and out.endswith(f"approved: version 1 digest {digest}\n")
    code, out, err = run("bundle", "roll", 1, name="olga")
    assert (code, out) == (0, f"rolled: version 1 serial 1 digest {digest}\n")
    code, out, err = run("bundle", "show")
    assert "serial 1\n" in out and "approved by amos in force" in out
    for version in (1, "in-force"):
        code, out, err = run("bundle", "show", version, "--json")
        assert orjson.loads(out)["content"]["version"] == 1
    code, out, err = run("audit")
    changes = [line.split()[1:3] for line in out.splitlines()]
    assert changes[1:] == [["wren", "write"], ["amos", "approve"], ["olga", "roll"]]
    for digest, name in (("ab" * 32, "VERSION_CONFLICT"), ("", "BUNDLE_UNKNOWN")):
        code, out, _ = run("bundle", "roll", 1 if digest else 2, "--digest", digest, "--json")
        assert code == 1 and orjson.loads(out)["name"] == name
    code, out, err = run("bundle", "roll", 1, "--json")
    assert code == 1 and orjson.loads(out)["name"] == "STALE_SERIAL"


def test_check_lists_every_error(run, files):
    """Guards against a check that omits errors or accepts an invalid bundle."""
    code, out, _ = run("bundle", "check", files / "1.json")
    assert code == 0 and out.startswith("valid: version 1 digest ")
    content = orjson.loads(app_test.content(1))
    content["format"] = 9
    content["models"][0]["engines"] = -1
    (files / "wrong.json").write_bytes(orjson.dumps(content))
    code, out, err = run("bundle", "check", files / "wrong.json")
    assert code == 1 and not out
    assert "\nformat: is not one of 1\nmodels[0].engines: is not between" in err
    code, out, err = run("bundle", "check", files / "none.json")
    assert code == 2 and "8001 SETTING_INVALID" in err


def test_all_wrong_settings_are_listed(run, files, monkeypatch):
    """Guards against a command that reports only the first of several wrong settings."""
    monkeypatch.setenv("CHIVESWITCH_CONTROL", "localhost:1,10.0.0.1")
    code, _, err = run("bundle", "approve", 1)
    assert code == 2 and "--key-file: is required" in err
    (files / "amos").chmod(0o644)
    arguments = ("--key-file", files / "amos", "--operation-id", "a b", "--deadline", 0)
    code, out, err = run("bundle", "approve", 0, *arguments)
    assert code == 2 and not out and len(err.splitlines()) == 7
    for flag in ("key-file", "control", "api-key", "deadline", "operation-id"):
        assert f"--{flag}:" in err


def test_resend_with_the_printed_operation_id(run, files, system):
    """Guards against an operation id that is printed after the first send or is not reused.

    If no majority confirms a write, its outcome is unknown. A resend under the printed id must
    return its result without a second write.
    """
    system.control.applied_results = [codes.failure(codes.Code.MAY_HAVE_RUN, "No majority.")] * 99
    code, out, err = run("bundle", "write", files / "1.json", "--deadline", 0.3, name="wren")
    assert code == 3 and "4001 MAY_HAVE_RUN" in err
    first = err.splitlines()[0]
    assert first.startswith("operation id: ")
    operation_id = first.split()[-1]
    system.control.applied_results = []
    arguments = ("--operation-id", operation_id, "--json")
    code, out, _ = run("bundle", "write", files / "1.json", *arguments)
    assert code == 0 and orjson.loads(out)["operation_id"] == operation_id
    assert len(system.control.state.audit) == 2
    assert {record.operation_id for record in system.control.proposed} == {operation_id}


def test_conflict_names_the_winner(run, files, system):
    """Guards against a conflict message without the winning writer and the next free version."""
    system.write(1, "will", "resources")
    code, _, err = run("bundle", "write", files / "1.json", name="wren")
    assert code == 1 and "version 1 was written by will" in err and "version is 2" in err


def test_approval_covers_only_the_shown_content(run, files, system, monkeypatch):
    """Guards against a signature over a digest that does not belong to the shown content."""
    system.write(1)
    approve = ("bundle", "approve", 1, "--key-file", files / "amos")
    code, _, err = run(*approve, "--digest", "ab" * 32, name="amos")
    assert code == 1 and "VERSION_CONFLICT" in err
    system.control.state.bundle_by_version[1].content = app_test.content(1, "resources")
    code, _, err = run(*approve)
    assert code == 1 and "BUNDLE_INVALID" in err
    assert [type(record).__name__ for record in system.control.proposed] == ["WriteBundle"]


def test_approval_asks_at_a_terminal(run, files, system, monkeypatch):
    """Guards against a signature without confirmation when a person runs the command."""
    system.write(1)
    answers = io.StringIO("no\nyes\n")
    answers.isatty = lambda: True
    monkeypatch.setattr("sys.stdin", answers)
    approve = ("bundle", "approve", 1, "--key-file", files / "amos")
    code, _, err = run(*approve, name="amos")
    assert (
        code == 1 and "not signed" in err and not system.control.state.bundle_by_version[1].approver
    )
    assert run(*approve)[0] == 0


def test_roll_waits_for_the_gateways(run, system, monkeypatch):
    """Guards against a roll that is reported as in force while a gateway lacks its serial."""
    monkeypatch.setattr(rollout.wait_for_gateways, "__defaults__", (4.0, 0.05))
    system.write(1)
    system.approve(1)
    later = [(0, True), (1, True)]
    slow_gateway = rollout_test.Gateway(system.background, 0, later=later)
    outdated_gateway = rollout_test.Gateway(system.background, 0)
    system.control.gateways = [{"id": "g1", "address": slow_gateway.address}, {"address": "bad"}]
    roll = ("bundle", "roll", 1, "--wait", "--operation-id", "roll-1")
    code, out, err = run(*roll, name="olga")
    assert code == 0 and "in force: serial 1 at 1 gateways" in out
    monkeypatch.setattr(rollout.wait_for_gateways, "__defaults__", (0.3, 0.05))
    code, out, err = run(*roll, "--gateways", f"{slow_gateway.address},{outdated_gateway.address}")
    assert code == 4 and f"{outdated_gateway.address}: it has serial 0" in err and "serial 1" in err
    assert slow_gateway.address not in err and system.control.state.serial == 1
    system.control.gateways = []
    code, out, err = run(*roll)
    assert code == 4 and "no gateways are known" in err


def test_status_and_addresses(run, system, monkeypatch):
    """Guards against a status that omits processes or requires an API key."""
    gateway = rollout_test.Gateway(system.background, 0)

    async def answer(request):
        value = {"addresses": [callers_app.bearer_token(request)], "valid_seconds": 10.0}
        return callers_app.json_response(value)

    route = routing.Route("/v1/addresses", answer)
    addresses = system.background.serve(applications.Starlette(routes=[route]))
    system.control.gateways = [{"id": "g1", "address": gateway.address}]
    code, out, _ = run("status")
    assert code == 0 and f"control {system.address}: role=leader serial=0" in out
    assert f"gateway {gateway.address}: serial=0 admits=True" in out
    code, out, _ = run("status", "--json", "--gateways", addresses)
    value = orjson.loads(out)
    assert code == 1 and "error" in value["gateways"][addresses]
    code, out, _ = run("addresses", "--gateways", addresses, "--account-key", "desk-key")
    assert (code, out) == (0, "desk-key\nvalid for 10.0 s\n")
    monkeypatch.delenv("CHIVESWITCH_CONTROL")
    code, _, err = run("status")
    assert code == 2 and "--control: or --gateways is required" in err


def test_help_names_the_variables(run):
    """Guards against commands and environment variables that are missing in the help."""
    code, out, _ = run("--help", is_full_command=True)
    listed = [line.split()[0] for line in out.splitlines() if line.strip()]
    assert {"bundle", "audit", "status", "addresses"} <= set(listed)
    for command in ("write", "approve", "roll"):
        code, out, _ = run("bundle", command, "--help")
        assert code == 0
        for variable in ("CONTROL", "API_KEY", "OPERATION_ID"):
            assert f"CHIVESWITCH_{variable}" in out
