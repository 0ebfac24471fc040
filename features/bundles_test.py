"""Steps of the operators' scenarios, which use the HTTP application through its client."""

import asyncio

import pytest_bdd
from pytest_bdd import parsers

from chiveswitch.core import codes
from chiveswitch.operators import app_test, client_test

pytest_bdd.scenarios("bundles.feature")
running = app_test.running
system = app_test.system


def run_operation(system, name, method, *arguments, **options):
    """Runs one operation of an operator through the client and returns its result."""
    operator = system.client(name, **options)
    return system.background.run(getattr(operator, method)(*arguments))


@pytest_bdd.given("a system with version 1 in force", target_fixture="answers")
def put_version_1_in_force(system):
    system.put_into_force(1)
    return []


@pytest_bdd.when(
    "wren and will write different contents of version 2 at the same time", target_fixture="race"
)
def race_writers(system):
    contents = {"wren": app_test.content(2), "will": app_test.content(2, "resources")}

    async def write_both():
        writes = [system.client(name).write(data, f"{name}-2") for name, data in contents.items()]
        return dict(zip(contents, await asyncio.gather(*writes), strict=True))

    return contents, system.background.run(write_both())


def winner_and_loser(results):
    winners = [name for name, result in results.items() if result.is_ok()]
    losers = [name for name, result in results.items() if result.is_error()]
    assert len(winners) == len(losers) == 1
    return winners[0], losers[0]


@pytest_bdd.then("exactly one of them succeeds")
def check_one_winner(race):
    winner_and_loser(race[1])


@pytest_bdd.then("the other gets the winner's name and digest")
def check_loser_result(race):
    contents, results = race
    winner, loser = winner_and_loser(results)
    refusal = results[loser].error
    assert refusal.code is codes.Code.VERSION_CONFLICT
    assert refusal.details["winner"]["writer"] == winner
    assert refusal.details["winner"]["digest"] == app_test.digest_of(contents[winner])


@pytest_bdd.then("version 2 has the winner's content at every later read")
def check_winner_kept(system, race):
    contents, results = race
    winner, loser = winner_and_loser(results)
    assert run_operation(system, loser, "write", contents[loser], "again").is_error()
    shown = run_operation(system, loser, "show", 2).ok
    assert shown["digest"] == app_test.digest_of(contents[winner])


@pytest_bdd.when("the answer to wren's write of version 2 is lost")
def lose_answer(system, answers):
    relay = client_test.Relay(system.background, system.address)
    relay.responses_to_lose = 1
    operator = system.client("wren", relay.address)
    answers.append(system.background.run(operator.write(app_test.content(2), "wren-2")))
    assert relay.requests == 2


@pytest_bdd.then("wren gets the first result for the same operation id")
def check_first_result(answers):
    value = answers[-1].ok
    assert (value["result"], value["operation_id"]) == ("written", "wren-2")


@pytest_bdd.then("the audit trail has one write of version 2")
def check_one_write(system):
    entries = [(entry.action, entry.version) for entry in system.control.state.audit]
    assert entries.count(("write", 2)) == 1


@pytest_bdd.when(parsers.parse("{name} writes version {version:d}"))
def write_version(system, answers, name, version):
    answers.append(
        run_operation(system, name, "write", app_test.content(version), f"{name}-w{version}")
    )


@pytest_bdd.when(parsers.parse("{name} approves version {version:d}"))
def approve_version(system, answers, name, version):
    digest = app_test.digest_of(app_test.content(version))
    signature = app_test.sign(name, digest)
    operation_id = f"{name}-a{version}"
    answers.append(run_operation(system, name, "approve", version, digest, signature, operation_id))


@pytest_bdd.when(
    parsers.parse('{name} rolls version {version:d} with the operation id "{operation_id}"')
)
def roll_version(system, answers, name, version, operation_id):
    if version > system.control.state.latest_version:
        write_version(system, [], "wren", version)
        approve_version(system, [], "amos", version)
    digest = app_test.digest_of(app_test.content(version))
    answers.append(run_operation(system, name, "roll", version, digest, operation_id))


@pytest_bdd.then(parsers.parse("the last answer is {code}"))
def check_last_answer(answers, code):
    result = answers[-1]
    assert (codes.Code.OK if result.is_ok() else result.error.code) is codes.Code[code]


@pytest_bdd.then(parsers.parse("the last answer carries serial {serial:d}"))
def check_last_serial(answers, serial):
    assert answers[-1].ok["serial"] == serial


@pytest_bdd.then(parsers.parse("version {version:d} is in force with serial {serial:d}"))
def check_in_force(system, version, serial):
    shown = run_operation(system, "wren", "show", "in-force").ok
    assert (shown["version"], shown["serial"]) == (version, serial)
