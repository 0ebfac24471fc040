"""The fault matrix: every fault at every step of every path, alone and in a sample of pairs.

The tests detect violations of the guarantees under faults, responses that never arrive, and steps
of the code that no run reaches.
"""

import concurrent.futures
import os
import random

import pytest

from chiveswitch.core import gateway_messages
from chiveswitch.tools import gateway as daemon
from features import fakes, faults, oracle

PAIR_SEED = 20
PAIR_COUNT = 1000
# Steps that no run reaches, with the reason for each.
NOT_REACHED = {
    "owner:HolderLost": "the gateway reports lost holders by GatewaysChanged",
    "owner:TokensReceived": "the gateway calls Owner.append directly",
    "takeover:GatewaysChanged": "the next scan passes the live gateways to the new owner instead",
    "call:UnrepeatableCall.new": "the first event ends this state, before a fault can be injected",
}


def run_case(case):
    """Runs one case; returns plain data for the parent process."""
    path_name, injections, seed = case
    try:
        run = faults.Run(path_name, injections, seed)
    except Exception as error:
        # An exception would end the main task of a gateway. It is returned, so that the failure
        # message names the case.
        return [f"crash: {error!r}"], [], False, [], 0
    incomplete = [(each.name, len(each.tokens), each.codes[-2:]) for each in run.incomplete]
    return run.violations, incomplete, run.is_excused, list(run.reached), len(run.faults)


def run_all(cases):
    """Runs cases in parallel processes; returns the results in the order of the cases."""
    workers = max(1, min(6, (os.cpu_count() or 2) // 2))
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_case, cases, chunksize=25))


def single_cases():
    """Returns the cases and the number of (step, fault) pairs that they cover.

    All steps of one wake-up of a state machine share a case: a fault takes effect after the wake-up
    and before its first action, so that the runs would be equal.
    """
    cases, covered, seen = [], 0, set()
    for path_name in faults.PATH_BY_NAME:
        step_by_point = {}
        for step, point in faults.Run(path_name).reached.items():
            # This path takes 30 s of virtual time, so it runs only for steps that no earlier path
            # reaches.
            if path_name == "lost target" and step in seen:
                continue
            seen.add(step)
            covered += len(faults.FAULT_BY_NAME)
            step_by_point.setdefault(point, step)
        for step in step_by_point.values():
            cases += [(path_name, ((step, name),), 1) for name in faults.FAULT_BY_NAME]
    return cases, covered


def summarise_results(name, cases, results, reached):
    failed, excused = [], 0
    for case, (violations, incomplete, is_excused, steps, _) in zip(cases, results, strict=True):
        reached.update(steps)
        if violations:
            failed.append((case, violations))
        elif incomplete and is_excused:
            excused += 1
        elif incomplete:
            failed.append((case, incomplete))
    injected = sum(result[4] for result in results)
    print(f"{name}: {len(cases)} runs, {injected} faults injected, {excused} excused as unanswered")
    return failed


def test_single_faults_and_pairs(capsys):
    """Guards against violations, lost responses and steps that no run reaches."""
    reached = set()
    singles, covered = single_cases()
    rng = random.Random(PAIR_SEED)
    pairs = []
    while len(pairs) < PAIR_COUNT:
        first, second = rng.choice(singles), rng.choice(singles)
        if first[0] == second[0]:
            pairs.append((first[0], first[1] + second[1], rng.randrange(1, 1000)))
    results = run_all(singles + pairs)
    with capsys.disabled():
        print(f"\n{covered} single faults at steps are {len(singles)} different runs")
        failed = summarise_results("single faults", singles, results[: len(singles)], reached)
        failed += summarise_results("pairs", pairs, results[len(singles) :], reached)
        possible = sum(
            sum(case[0] == path_name for case in singles) ** 2 for path_name in faults.PATH_BY_NAME
        )
        print(f"pairs left out: {possible - len(pairs)}; steps reached: {len(reached)}")
    assert not failed, (len(failed), failed[:5])
    missing = faults.registered_steps() - reached
    assert missing == set(NOT_REACHED), sorted(missing ^ set(NOT_REACHED))


def test_fakes_execute_every_action_of_the_daemon():
    """Guards against an action that the daemon executes and the fakes do not."""
    assert set(fakes.EXECUTE_BY_ACTION) == set(daemon.HANDLER_BY_ACTION)


def test_same_seed_gives_the_same_run():
    """Guards against a run that depends on more than its seed, such as a clock or hash order."""
    injections = (("action:ReaderTokens", "kill"),)
    first, second = (faults.Run("takeover", injections, 7) for _ in range(2))
    assert first.world.callers[0].events == second.world.callers[0].events


def test_undisturbed_paths_reconnect_nobody():
    """Guards against a path that succeeds only because its caller reconnects."""
    for path_name in ("streamed", "whole", "holder change", "drain", "leaving target"):
        run = faults.Run(path_name)
        assert not run.violations
        assert [caller.reconnects for caller in run.world.callers] == [0] * len(run.world.callers)


def test_drained_owner_is_replaced_as_holder_once():
    """Guards against a draining owner that is removed and added as a holder again and again."""
    run = faults.Run("drain")
    versions = [
        held.config.version
        for each in run.world.gateways
        for held in each.core.store.journal_by_key.values()
    ]
    assert max(versions) <= 5


def find_holders(world, caller):
    key = (caller.account, caller.request_id)
    owner = faults.find_owner(world, caller)
    return set(owner.core.open_by_key[key].owner.config.holders)


def find_live_holders(world):
    return {each.core.epochs.holder for each in world.gateways if each.state == "up"}


def test_journal_admitted_on_a_dead_gateway_gets_a_live_holder():
    """Guards against a dead holder that is never replaced, since it died before the admission."""
    for seed in range(1, 9):
        world = fakes.World(seed, encodes_messages=False)
        world.gateways[0].kill()
        world.run(1.6)
        caller = fakes.Caller(world, "report", "a prompt", 120)
        caller.next_gateway = world.gateways[1]
        caller.connect()
        world.run(2.5)
        holders = find_holders(world, caller)
        assert len(holders) == 3 and holders <= find_live_holders(world), (seed, holders)


def test_journal_admitted_right_after_a_pause_gets_all_its_copies():
    """Guards against a journal with a single copy.

    After a pause the gateway admits a request while its view of the other gateways is outdated.
    """
    world = fakes.World(3, encodes_messages=False)
    first = world.gateways[0]
    caller = fakes.Caller(world, "report", "a prompt", 120)
    caller.next_gateway = first
    first.pause(2.9)
    caller.connect()
    world.run(4.5)
    assert len(find_holders(world, caller)) == 3


def test_takeover_learns_of_a_holder_lost_meanwhile():
    """Guards against a new owner that keeps a holder which died during the takeover."""
    world = fakes.World(5, encodes_messages=False)
    caller = fakes.Caller(world, "report", "a prompt", 150)
    caller.connect()
    world.run(0.5, until=lambda: len(caller.tokens) >= 6)
    owner = faults.find_owner(world, caller)
    others = [each for each in world.gateways if each is not owner]
    others[0].pause(60.0)
    world.run(1.3)
    caller.next_gateway = others[1]
    caller.reconnect()
    world.run(3.0)
    holders = find_holders(world, caller)
    assert len(holders) == 3 and holders <= find_live_holders(world), holders


def test_cancels_end_with_the_target():
    """Guards against a cancel that is sent forever to a target that will never answer."""
    run = faults.Run("lost target")
    assert "generation:TargetLost" in run.reached
    for each in run.world.gateways:
        for request in each.core.open_by_key.values():
            assert request.machine.targets() == set()


def test_takeover_keeps_the_committed_attempt_note():
    """Guards against a crash of the owner when its first journal note commits in the takeover."""
    injections = (("takeover:Start", "target paused"), ("gateway:Attach", "one-way cut"))
    run = faults.Run("durable", injections, 227)
    assert not run.violations and not run.incomplete


def test_caller_that_disconnects_before_control_answers_gets_its_response():
    """Guards against a crash of the gateway when a caller disconnects before control answers."""
    world = fakes.World(2, encodes_messages=False)
    world.control.pause()
    caller = fakes.Caller(world, "digest", "a prompt", may_be_resend=True)
    caller.connect()
    world.run(0.1)
    caller.reconnect()
    world.run(20.0, until=lambda: caller.finished)
    assert caller.complete and not oracle.find_violations(world)


def test_restarted_gateway_does_not_call_a_held_request_unknown():
    """Guards against a false "unknown request" (code 2008) from a restarted gateway.

    It must not answer before it has learned of any other gateway.
    """
    injections = (("gateway:Tick", "lost disk"),)
    run = faults.Run("takeover", injections)
    world = fakes.World(4, encodes_messages=False)
    caller = fakes.Caller(world, "report", "a prompt", 60)
    caller.connect()
    world.run(0.5)
    other = next(each for each in world.gateways if each is not caller.gateway)
    other.kill(restart_after=0.05)
    world.run(0.0501)
    caller.next_gateway = other
    caller.reconnect(0.0)
    world.run(20.0, until=lambda: caller.finished)
    assert caller.complete and not run.violations and not run.incomplete
    assert 2008 not in [int(code) for _, code in caller.codes]


def test_returning_owner_delivers_nothing_more():
    """Guards against a paused gateway that still acts as owner after it was replaced."""
    run = faults.Run(
        "streamed", (("action:ReaderTokens", "long pause and return"),), settle_seconds=8.0
    )
    assert not run.violations and not run.incomplete
    owners = [
        each.name
        for each in run.world.gateways
        for request in each.core.open_by_key.values()
        if request.machine.outcome is None
    ]
    assert owners == []


def test_target_chosen_before_it_began_to_leave_gets_no_late_work():
    """Guards against work for a leaving target.

    The target began to leave after it was chosen, long before the number of the attempt committed.
    """
    injections = (("stream:ReaderRead", "cut"), ("action:ReaderEnd", "lost disk"))
    run = faults.Run("leaving target", injections, 27)
    assert not run.violations and not run.incomplete


def test_event_id_of_another_answer_continues_nothing():
    """Guards against tokens that are appended to those of another response.

    Both responses have the same generation number, and differ in the rest of the event id.
    """
    world = fakes.World(6, encodes_messages=False)
    first = fakes.Caller(world, "report", "a prompt", 60)
    first.connect()
    world.run(0.5)
    second = fakes.Caller(world, "report", "a prompt", 60)
    second.request_id, second.next_gateway = first.request_id, first.gateway
    second.generation_name, second.tokens, second._was_submitted = "1.ffff", ["x "] * 6, True
    second.connect()
    world.run(10.0, until=lambda: second.finished)
    assert second.complete and not oracle.find_violations(world)


def test_minority_of_a_lost_journal_does_not_block_the_next_generation():
    """Guards against a durable request that cannot run again because one old copy remains."""
    injections = (("gateway:BundleConfirmed", "kill"), ("holder:Tick", "kill"))
    run = faults.Run("durable", injections, 926)
    assert not run.violations and not run.incomplete


@pytest.mark.parametrize(
    ("injections", "seed"),
    [
        ((("action:OpenStream", "kill"), ("action:ReaderFail", "long pause and return")), 179),
        (
            (("stream:ReaderRead", "cut"), ("generation:ReaderDisconnected", "silent connection")),
            607,
        ),
    ],
)
def test_repeated_cancel_after_an_incomplete_release(injections, seed):
    """Guards against a caller that never learns the outcome of its cancel."""
    run = faults.Run("cancel", injections, seed)
    assert not run.violations and not run.incomplete


def test_refused_resend_of_a_call_that_ran_is_not_called_not_run():
    """Guards against the answer "not run" for a call that ran after an earlier submission."""
    injections = (
        ("call:IdempotentCall.writing", "long pause and return"),
        ("gateway:BundleConfirmed", "long pause and return"),
    )
    run = faults.Run("idempotent call", injections, 430)
    assert not run.violations and not run.incomplete


@pytest.mark.parametrize(
    ("injections", "seed"),
    [
        (
            (
                ("generation:StreamFailed", "long pause and return"),
                ("action:Count", "long pause and return"),
            ),
            444,
        ),
        ((("generation:StreamEnded", "long pause and return"), ("action:Count", "cut")), 259),
    ],
)
def test_request_whose_holders_are_all_out_of_reach_is_not_called_unknown(injections, seed):
    """Guards against a caller that abandons a request which paused gateways still hold."""
    run = faults.Run("holder change", injections, seed)
    assert not run.violations and not run.incomplete


def test_request_that_only_its_cut_off_owner_holds_is_submitted_anew():
    """Guards against a caller without tokens that waits for unreachable holders."""
    injections = (("action:SendJournal", "cut"), ("gateway:Tick", "kill"))
    run = faults.Run("takeover", injections, 914)
    assert not run.violations and not run.incomplete


def test_gateway_that_is_cut_off_does_not_run_a_durable_request_again():
    """Guards against a rerun by an isolated gateway, whose single copy replaces a live journal."""
    injections = (("reply:Accepted", "cut"), ("action:ReattachStream", "lost disk"))
    run = faults.Run("cancel", injections, 477)
    assert not run.violations and not run.incomplete


def test_actions_of_the_gateway_are_messages():
    """Guards against an action that is not a message type and so has no step name."""
    for action in fakes.EXECUTE_BY_ACTION:
        assert issubclass(action, gateway_messages.Message)
