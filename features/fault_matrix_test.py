"""The fault matrix: every fault at every step of every path, singly and in a sample of pairs.

Guards against: any violation of the guarantees under faults, a response that never comes, and a
step of the code that no run reaches.
"""

import concurrent.futures
import os
import random

import pytest

from chiveswitch.core import gateway_messages as outward
from chiveswitch.tools import gateway as daemon
from features import fakes, faults, oracle

PAIR_SEED = 20
PAIR_COUNT = 1000
# Steps that no run reaches, each with its reason.
NOT_REACHED = {
    "owner:HolderLost": "the gateway reports lost holders by GatewaysChanged",
    "owner:TokensReceived": "the gateway calls Owner.append directly",
    "takeover:GatewaysChanged": "the next scan tells the new owner the live gateways instead",
    "call:UnrepeatableCall.new": "left by the first event, before any fault can strike",
}


def run_case(case):
    """Runs one case; returns plain data for the parent process."""
    path_name, strikes, seed = case
    try:
        run = faults.Run(path_name, strikes, seed)
    except Exception as error:
        # A crash ends the main task of a gateway; the case belongs into the message.
        return [f"crash: {error!r}"], [], False, [], 0
    incomplete = [(each.name, len(each.tokens), each.codes[-2:]) for each in run.incomplete]
    return run.violations, incomplete, run.is_excused, list(run.reached), len(run.faults)


def run_all(cases):
    """Runs cases on some processors; the order of results is that of the cases."""
    workers = max(1, min(6, (os.cpu_count() or 2) // 2))
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_case, cases, chunksize=25))


def single_cases():
    """Returns the cases and the number of (step, fault) pairs that they stand for.

    Steps of one call of the decision code are one case: a fault strikes after the call and before
    its first action, so that the runs would be equal.
    """
    cases, covered, seen = [], 0, set()
    for path_name in faults.PATH_BY_NAME:
        step_by_point = {}
        for step, point in faults.Run(path_name).reached.items():
            # This path takes 30 s of virtual time, so it runs only for the steps that it adds.
            if path_name == "lost target" and step in seen:
                continue
            seen.add(step)
            covered += len(faults.FAULT_BY_NAME)
            step_by_point.setdefault(point, step)
        for step in step_by_point.values():
            cases += [(path_name, ((step, name),), 1) for name in faults.FAULT_BY_NAME]
    return cases, covered


def judge(name, cases, results, reached):
    failed, excused = [], 0
    for case, (violations, incomplete, is_excused, steps, _) in zip(cases, results, strict=True):
        reached.update(steps)
        if violations:
            failed.append((case, violations))
        elif incomplete and is_excused:
            excused += 1
        elif incomplete:
            failed.append((case, incomplete))
    struck = sum(result[4] for result in results)
    print(f"{name}: {len(cases)} runs, {struck} faults struck, {excused} excused as unanswered")
    return failed


def test_single_faults_and_pairs(capsys):
    """Guards against violations, lost responses and uncovered steps; see the module."""
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
        failed = judge("single faults", singles, results[: len(singles)], reached)
        failed += judge("pairs", pairs, results[len(singles) :], reached)
        possible = sum(
            sum(case[0] == path_name for case in singles) ** 2 for path_name in faults.PATH_BY_NAME
        )
        print(f"pairs left out: {possible - len(pairs)}; steps reached: {len(reached)}")
    assert not failed, (len(failed), failed[:5])
    missing = faults.registered_steps() - reached
    assert missing == set(NOT_REACHED), sorted(missing ^ set(NOT_REACHED))


def test_fakes_execute_every_action_of_the_daemon():
    """Guards against an action that the daemon executes and the matrix leaves out."""
    assert set(fakes.EXECUTE_BY_ACTION) == set(daemon.HANDLER_BY_ACTION)


def test_same_seed_gives_the_same_run():
    """Guards against a run that depends on anything but its seed, such as a clock or a hash."""
    strikes = (("action:ReaderTokens", "kill"),)
    first, second = (faults.Run("takeover", strikes, 7) for _ in range(2))
    assert first.world.callers[0].events == second.world.callers[0].events


def test_undisturbed_paths_reconnect_nobody():
    """Guards against a path that works only because its caller reconnects."""
    for path_name in ("streamed", "whole", "holder change", "drain", "leaving target"):
        run = faults.Run(path_name)
        assert not run.violations
        assert [caller.reconnects for caller in run.world.callers] == [0] * len(run.world.callers)


def test_drained_owner_is_replaced_as_holder_once():
    """Guards against an owner that drains and joins its own journal's holders over and over."""
    run = faults.Run("drain")
    versions = [
        held.config.version
        for each in run.world.gateways
        for held in each.core.store.journal_by_key.values()
    ]
    assert max(versions) <= 5


def holders_of(world, caller):
    key = (caller.account, caller.request_id)
    owner = faults.owner_of(world, caller)
    return set(owner.core.open_by_key[key].owner.config.holders)


def live_holders(world):
    return {each.core.epochs.holder for each in world.gateways if each.state == "up"}


def test_journal_admitted_on_a_dead_gateway_gets_a_live_holder():
    """Guards against a dead holder that is kept because it died just before the admission."""
    for seed in range(1, 9):
        world = fakes.World(seed, encodes=False)
        world.gateways[0].kill()
        world.run(1.6)
        caller = fakes.Caller(world, "report", "a prompt", 120)
        caller.next_gateway = world.gateways[1]
        caller.connect()
        world.run(2.5)
        holders = holders_of(world, caller)
        assert len(holders) == 3 and holders <= live_holders(world), (seed, holders)


def test_journal_admitted_right_after_a_pause_gets_all_its_copies():
    """Guards against a journal with one copy, admitted while the gateway's view is still old."""
    world = fakes.World(3, encodes=False)
    first = world.gateways[0]
    caller = fakes.Caller(world, "report", "a prompt", 120)
    caller.next_gateway = first
    first.pause(2.9)
    caller.connect()
    world.run(4.5)
    assert len(holders_of(world, caller)) == 3


def test_takeover_learns_of_a_holder_lost_meanwhile():
    """Guards against an owner that keeps a holder which died while it took over."""
    world = fakes.World(5, encodes=False)
    caller = fakes.Caller(world, "report", "a prompt", 150)
    caller.connect()
    world.run(0.5, until=lambda: len(caller.tokens) >= 6)
    owner = faults.owner_of(world, caller)
    others = [each for each in world.gateways if each is not owner]
    others[0].pause(60.0)
    world.run(1.3)
    caller.next_gateway = others[1]
    caller.drop()
    world.run(3.0)
    holders = holders_of(world, caller)
    assert len(holders) == 3 and holders <= live_holders(world), holders


def test_cancels_end_with_the_target():
    """Guards against a cancel that is sent for good to a target that will never answer."""
    run = faults.Run("lost target")
    assert "generation:TargetLost" in run.reached
    for each in run.world.gateways:
        for request in each.core.open_by_key.values():
            assert request.machine.targets() == set()


def test_takeover_keeps_the_committed_attempt_note():
    """Guards against a crash of the owner when its first note commits during the takeover."""
    strikes = (("takeover:Start", "target paused"), ("gateway:Attach", "one-way cut"))
    run = faults.Run("durable", strikes, 227)
    assert not run.violations and not run.incomplete


def test_caller_that_leaves_while_control_is_asked():
    """Guards against a crash of the gateway when a caller leaves before control has answered."""
    world = fakes.World(2, encodes=False)
    world.control.pause()
    caller = fakes.Caller(world, "digest", "a prompt", chosen=True)
    caller.connect()
    world.run(0.1)
    caller.drop()
    world.run(20.0, until=lambda: caller.finished)
    assert caller.complete and not oracle.judge(world)


def test_restarted_gateway_does_not_call_a_held_request_unknown():
    """Guards against a restarted gateway that answers before it knows any other gateway."""
    strikes = (("gateway:Tick", "lost disk"),)
    run = faults.Run("takeover", strikes)
    world = fakes.World(4, encodes=False)
    caller = fakes.Caller(world, "report", "a prompt", 60)
    caller.connect()
    world.run(0.5)
    other = next(each for each in world.gateways if each is not caller.gateway)
    other.kill(back_after=0.05)
    world.run(0.0501)
    caller.next_gateway = other
    caller.drop(0.0)
    world.run(20.0, until=lambda: caller.finished)
    assert caller.complete and not run.violations and not run.incomplete
    assert 2008 not in [int(code) for _, code in caller.codes]


def test_returning_owner_delivers_nothing_more():
    """Guards against a paused gateway that goes on as owner after it was replaced."""
    run = faults.Run("streamed", (("action:ReaderTokens", "long pause and return"),), after=8.0)
    assert not run.violations and not run.incomplete
    owners = [
        each.name
        for each in run.world.gateways
        for request in each.core.open_by_key.values()
        if request.machine.outcome is None
    ]
    assert owners == []


def test_target_chosen_before_it_began_to_leave_gets_no_late_work():
    """Guards against an attempt on a target that was chosen long before its number committed."""
    strikes = (("stream:ReaderRead", "cut"), ("action:ReaderEnd", "lost disk"))
    run = faults.Run("leaving target", strikes, 27)
    assert not run.violations and not run.incomplete


def test_event_id_of_another_answer_continues_nothing():
    """Guards against tokens joined to those of another answer with the same generation number."""
    world = fakes.World(6, encodes=False)
    first = fakes.Caller(world, "report", "a prompt", 60)
    first.connect()
    world.run(0.5)
    second = fakes.Caller(world, "report", "a prompt", 60)
    second.request_id, second.next_gateway = first.request_id, first.gateway
    second.name_of_answer, second.tokens, second._posted = "1.ffff", ["x "] * 6, True
    second.connect()
    world.run(10.0, until=lambda: second.finished)
    assert second.complete and not oracle.judge(world)


def test_minority_of_a_lost_journal_does_not_block_the_next_generation():
    """Guards against a durable request that cannot run again because one old copy is left."""
    strikes = (("gateway:BundleConfirmed", "kill"), ("holder:Tick", "kill"))
    run = faults.Run("durable", strikes, 926)
    assert not run.violations and not run.incomplete


@pytest.mark.parametrize(
    ("strikes", "seed"),
    [
        ((("action:OpenStream", "kill"), ("action:ReaderFail", "long pause and return")), 179),
        (
            (("stream:ReaderRead", "cut"), ("generation:ReaderDisconnected", "silent connection")),
            607,
        ),
    ],
)
def test_repeated_cancel_after_an_incomplete_release(strikes, seed):
    """Guards against a caller that never learns the outcome of its cancel."""
    run = faults.Run("cancel", strikes, seed)
    assert not run.violations and not run.incomplete


def test_refused_resend_of_a_call_that_ran_is_not_called_not_run():
    """Guards against "not run" for a call that an earlier submission has run elsewhere."""
    strikes = (
        ("call:IdempotentCall.writing", "long pause and return"),
        ("gateway:BundleConfirmed", "long pause and return"),
    )
    run = faults.Run("idempotent call", strikes, 430)
    assert not run.violations and not run.incomplete


@pytest.mark.parametrize(
    ("strikes", "seed"),
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
def test_request_whose_holders_are_all_out_of_reach_is_not_called_unknown(strikes, seed):
    """Guards against a caller that gives up a request that paused gateways still hold."""
    run = faults.Run("holder change", strikes, seed)
    assert not run.violations and not run.incomplete


def test_request_that_only_its_cut_off_owner_holds_is_submitted_anew():
    """Guards against a caller without any token that waits for holders that are out of reach."""
    strikes = (("action:SendJournal", "cut"), ("gateway:Tick", "kill"))
    run = faults.Run("takeover", strikes, 914)
    assert not run.violations and not run.incomplete


def test_gateway_that_is_cut_off_does_not_run_a_durable_request_again():
    """Guards against a rerun with one copy that replaces a copy of the journal still held."""
    strikes = (("reply:Accepted", "cut"), ("action:ReattachStream", "lost disk"))
    run = faults.Run("cancel", strikes, 477)
    assert not run.violations and not run.incomplete


def test_actions_of_the_gateway_are_messages():
    """Guards against an action type that has no name in the step list."""
    for action in fakes.EXECUTE_BY_ACTION:
        assert issubclass(action, outward.Message)
