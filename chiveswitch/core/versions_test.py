"""Tests of the choice among versions during roll-outs, and of the evidence about their answers."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from chiveswitch.core import node_settings, rollouts, target_table, versions

LIMITS = node_settings.RolloutLimits(0.1, 50, 5.0)
RUNNING, COMPLETED, ROLLED_BACK = (
    rollouts.RUNNING,
    rollouts.COMPLETED,
    rollouts.ROLLED_BACK,
)


def make_targets(**count_by_version):
    """Returns ready targets with the given number for each version."""
    targets = []
    for version, count in count_by_version.items():
        for number in range(count):
            targets.append(
                target_table.Target(
                    target_table.Report(
                        target_id=f"{version}-{number}",
                        service="s",
                        address=f"10.0.0.1:{len(targets)}",
                        availability_zone="ab"[number % 2],
                        slots=4,
                        state=target_table.READY,
                        born_ms=int(version[1:]),
                        sequence=1,
                        overdue=False,
                        version=version,
                    )
                )
            )
    return targets


def order(version="v2", state=RUNNING, serial=5, step=1, share=0.1, moves=False, valid_for_s=3.0):
    return rollouts.RolloutState("s", version, state, serial, step, share, moves, valid_for_s)


def make_policy(*states, seed=1, limits=LIMITS):
    policy = versions.VersionPolicy(limits, random.Random(seed))
    policy.apply_rollouts(list(states), 0.0)
    return policy


def chosen(policy, targets, now=0.0, draw=None):
    """Returns the versions among which a request's target is chosen."""
    draw = policy.draw() if draw is None else draw
    eligible = policy.eligible("s", targets, now, draw)
    return "+".join(sorted({target.report.version for target in eligible}))


OLD, NEW = versions.NO_SHARE_DRAW, 0.0


def test_without_limits_every_target_gets_requests_and_nothing_is_recorded():
    # Guards against cost and changes on deployments whose operators order no roll-outs.
    policy = make_policy(order(), limits=None)
    targets = make_targets(v1=1, v2=9)
    assert policy.eligible("s", targets, 0.0, policy.draw()) is targets
    assert policy.copy_targets("s", targets, 0.0) is targets
    assert policy.may_resume("s", "v2") and not policy.must_move_copy("s", "v1")
    policy.record_sent("s", "v1", "r")
    policy.record_answer("s", "v1", "r", True)
    assert policy.take_evidence(0.0) == []


def test_a_version_gets_its_share_over_all_gateways_from_the_first_request_on():
    # Load: 60 gateways that have just learned of an order send 25 requests each. None has a count
    # of its own that would hold the share for so few.
    targets = make_targets(v1=20, v2=20)
    sent = 0
    for seed in range(60):
        policy = make_policy(order(), seed=seed)
        sent += sum(chosen(policy, targets) == "v2" for _ in range(25))
    assert 0.07 * 1500 < sent < 0.1 * 1500 + LIMITS.slack


def test_few_new_targets_get_no_more_than_others():
    # Load: one new target among 40 would run 10 % of the requests, and look slow without a fault.
    policy = make_policy(order())
    targets = make_targets(v1=39, v2=1)
    sent = sum(chosen(policy, targets) == "v2" for _ in range(4000))
    assert 50 < sent < 200


def test_a_repeat_goes_to_accepted_versions():
    # Failure: a bad version fails a request; its repeat there would fail the caller.
    policy = make_policy(order(share=0.9))
    targets = make_targets(v1=2, v2=2)
    assert chosen(policy, targets, draw=NEW) == "v2"
    assert chosen(policy, targets, draw=OLD) == "v1"


@pytest.mark.parametrize("old_count, new_count", [(3, 2), (2, 2)])
def test_a_gateway_that_has_not_heard_of_orders_keeps_to_the_version_of_most(old_count, new_count):
    # Failure: a gateway starts while control is not reachable and an order is in force.
    policy = versions.VersionPolicy(LIMITS, random.Random(1))
    targets = make_targets(v1=old_count, v2=new_count)
    assert {chosen(policy, targets, now) for now in (0.0, 20.0, 100.0)} == {"v1"}


def test_a_gateway_that_learned_of_new_targets_first_sends_nothing_beyond_the_share():
    # Failure: a gateway starts, and the hub with the announcements of the old targets answers last.
    policy = versions.VersionPolicy(LIMITS, random.Random(1))
    assert chosen(policy, make_targets(v2=3)) == "v2"
    policy.apply_rollouts([order()], 0.1)
    assert chosen(policy, make_targets(v2=3), 0.2, OLD) == ""
    assert chosen(policy, make_targets(v1=3, v2=3), 0.3, OLD) == "v1"


def test_without_word_from_control_a_running_version_gets_nothing():
    # Failure: a gateway is cut off from control while the version is found to be bad.
    policy = make_policy(order())
    targets = make_targets(v1=2, v2=2)
    assert chosen(policy, targets, 2.9, NEW) == "v2"
    policy.apply_rollouts([order()], 2.9)
    assert chosen(policy, targets, 5.8, NEW) == "v2"
    assert chosen(policy, targets, 6.0, NEW) == "v1"


@hypothesis.given(strategies.permutations(range(6)), strategies.integers(0, 5))
def test_gateways_agree_whatever_order_the_steps_arrive_in(arrivals, repeated):
    # Failure: hubs lag behind each other, and answers of several hubs overtake each other or arrive
    # twice; a gateway would send to a version that others have left.
    steps = [
        order(step=1),
        order(step=2, state=ROLLED_BACK, share=0.0),
        order("v3", serial=8, step=1),
        order("v3", serial=8, step=2, share=0.5),
        order("v3", serial=8, step=3, share=1.0, moves=True),
        order("v3", serial=8, step=4, state=COMPLETED, share=1.0),
    ]
    policy = make_policy()
    targets = make_targets(v1=5, v2=4, v3=3)
    chosen(policy, make_targets(v1=5))
    rolled_back = False
    for at in (*arrivals, repeated):
        policy.apply_rollouts([steps[at]], 0.0)
        rolled_back |= at == 1
        versions_now = {chosen(policy, targets, 0.1, draw) for draw in (NEW, OLD)}
        assert not (rolled_back and "v2" in versions_now)
    assert versions_now == {"v3"}


def test_an_older_step_changes_nothing():
    # Failure: a hub that lags sends the running step after another one has sent the roll-back.
    policy = make_policy(order())
    targets = make_targets(v1=2, v2=2)
    policy.apply_rollouts([order(state=ROLLED_BACK, step=2, share=0.0)], 1.0)
    policy.apply_rollouts([order()], 1.1)
    assert chosen(policy, targets, 1.2, NEW) == "v1"
    # A later order for the same version starts anew.
    policy.apply_rollouts([order(serial=9)], 2.0)
    assert chosen(policy, targets, 2.1, NEW) == "v2"


def test_an_old_step_does_not_prolong_a_share():
    # Failure: a hub that is cut off from control repeats a step that others have left behind.
    policy = make_policy(order(step=2))
    policy.apply_rollouts([order(step=1)], 2.9)
    assert chosen(policy, make_targets(v1=2, v2=2), 3.1, NEW) == "v1"


def test_a_rolled_back_version_gets_nothing_even_alone():
    # Failure: all old targets are lost after the roll-back of a version that answers wrongly.
    policy = make_policy(order(state=ROLLED_BACK))
    assert chosen(policy, make_targets(v1=1, v2=5), 1.0, NEW) == "v1"
    assert chosen(policy, make_targets(v2=5), 60.0, NEW) == ""
    assert not policy.may_resume("s", "v2")


def test_a_completed_version_gets_everything():
    # Failure: the old targets are stopped at once, and some are still listed.
    policy = make_policy(order())
    targets = make_targets(v1=5, v2=2)
    chosen(policy, targets)
    policy.apply_rollouts([order(state=COMPLETED, step=2, share=1.0)], 1.0)
    assert chosen(policy, targets, 1.1, OLD) == "v2"
    assert not policy.may_resume("s", "v1")
    assert chosen(policy, targets, 1.2 + versions.UNORDERED_SECONDS, OLD) == "v2"
    # The next order starts from the completed version.
    policy.apply_rollouts([order("v3", serial=9)], 2.0)
    assert chosen(policy, make_targets(v1=1, v2=2, v3=2), 2.1, OLD) == "v2"


def test_old_targets_get_nothing_at_a_share_of_one_unless_the_new_ones_are_lost():
    # Failure: the zone with the new targets is lost just before the completion.
    policy = make_policy(order(share=1.0, moves=True))
    targets = make_targets(v1=3, v2=2)
    assert chosen(policy, targets, 0.1, OLD) == "v2"
    for target in targets[3:]:
        target.avoided_until = 2.0
    assert chosen(policy, targets, 0.2, OLD) == "v1"
    assert chosen(policy, targets[3:], 0.3, OLD) == "v2"


def test_a_sound_version_stands_in_for_lost_targets_also_without_word_from_control():
    # Failure: a gateway is cut off from control before the completion stops the old targets.
    policy = make_policy(order(share=1.0))
    targets = make_targets(v1=3, v2=2)
    assert chosen(policy, targets, 9.0, OLD) == "v1"
    for target in targets[:3]:
        target.avoided_until = 10.0
    assert chosen(policy, targets, 9.1, OLD) == "v2"


def test_a_share_is_kept_beside_a_lost_zone_of_old_targets():
    # Failure: a zone is lost with most of the old targets; the rest must not be relieved by a
    # version that may be bad.
    policy = make_policy(order())
    targets = make_targets(v1=3, v2=4)
    for target in targets[:3]:
        target.avoided_until = 2.0
    assert chosen(policy, targets, 0.1, OLD) == "v1"


def test_a_version_under_an_order_takes_over_once_no_other_target_is_left():
    # Failure: an operator has stopped the old targets before the order was completed.
    policy = make_policy(order())
    chosen(policy, make_targets(v1=2, v2=2))
    policy.apply_rollouts([order()], 9.0)
    assert chosen(policy, make_targets(v1=2, v2=2), 9.0, OLD) == "v1"
    assert chosen(policy, make_targets(v2=2), 9.1, OLD) == ""
    assert chosen(policy, make_targets(v2=2), 9.0 + versions.ALONE_SECONDS, OLD) == "v2"


@pytest.mark.parametrize("states", [(), (order("v3", share=0.05, valid_for_s=99.0),)])
def test_stopped_targets_do_not_keep_requests_from_the_version_that_replaced_them(states):
    # Failure: a gateway has missed a whole roll-out; the old targets were stopped without leaving,
    # and their last announcements are still listed.
    policy = make_policy()
    chosen(policy, make_targets(v1=2))
    targets = make_targets(v1=2, v2=2)
    assert chosen(policy, targets, 1.0) == "v1"
    policy.apply_rollouts(list(states), 2.0)
    for target in targets[:2]:
        target.report.overdue = True
    assert "v2" in chosen(policy, targets, 2.0, OLD)


def test_a_version_under_an_order_takes_over_from_targets_that_stopped_without_leaving():
    # Failure: as before, but the old targets' last announcements are still listed.
    policy = make_policy(order(valid_for_s=99.0))
    targets = make_targets(v1=2, v2=2)
    chosen(policy, targets)
    for target in targets[:2]:
        target.report.overdue = True
    assert chosen(policy, targets, 2.9, OLD) == "v1"
    assert chosen(policy, targets, versions.ALONE_SECONDS, OLD) == "v2"


def test_an_order_for_the_only_version_refuses_nothing():
    # Failure: an operator orders the version that all targets have already.
    policy = make_policy()
    for now in (0.0, 5.0):
        assert chosen(policy, make_targets(v1=2), now) == "v1"
    policy.apply_rollouts([order("v1", share=0.05)], 5.0)
    assert chosen(policy, make_targets(v1=2), 5.1, OLD) == "v1"


def test_a_version_without_an_order_waits_for_one():
    # Failure: new targets are announced before the order has reached this gateway.
    policy = make_policy()
    chosen(policy, make_targets(v1=4))
    targets = make_targets(v1=4, v2=4)
    assert chosen(policy, targets, 1.0) == "v1"
    assert not policy.may_resume("s", "v2") and policy.count_held() == 1
    assert chosen(policy, targets, versions.UNORDERED_SECONDS, NEW) == "v1"
    policy.apply_rollouts([order(valid_for_s=99.0)], 20.0)
    assert chosen(policy, targets, 100.0, OLD) == "v1"


def test_targets_that_are_replaced_without_an_order_keep_their_capacity():
    # Load: an operator replaces the targets one after the other by those of another version; the
    # last old ones would get all requests.
    policy = make_policy()
    assert chosen(policy, make_targets(v1=4)) == "v1"
    assert chosen(policy, make_targets(v1=4, v2=1), 1.0) == "v1"
    assert chosen(policy, make_targets(v1=3, v2=1), 2.0) == "v1"
    assert chosen(policy, make_targets(v1=2, v2=2), 2.0) == "v1+v2"
    assert chosen(policy, make_targets(v2=4), 3.0) == "v2"


def test_a_version_without_an_order_is_accepted_in_the_end():
    # Load: targets are added in a new version for good, without an order.
    policy = make_policy()
    chosen(policy, make_targets(v1=4))
    targets = make_targets(v1=4, v2=4)
    assert chosen(policy, targets, 1.0) == "v1"
    assert chosen(policy, targets, 1.0 + versions.UNORDERED_SECONDS) == "v1+v2"


def test_copies_move_to_the_version_that_takes_over():
    # Failure: the old targets stop at the completion with streams that run there.
    policy = make_policy(order(share=1.0))
    targets = make_targets(v1=3, v2=2)
    chosen(policy, targets)
    assert not policy.must_move_copy("s", "v1")
    policy.apply_rollouts([order(step=2, share=1.0, moves=True)], 0.1)
    held_by = {target.report.version for target in policy.copy_targets("s", targets, 0.2)}
    assert held_by == {"v2"}
    assert policy.must_move_copy("s", "v1") and not policy.must_move_copy("s", "v2")
    assert policy.may_resume("s", "v1") and policy.may_resume("s", "v2")
    # The copies go ahead of the requests.
    policy.apply_rollouts([order(step=3, share=0.5, moves=True)], 0.3)
    held_by = {target.report.version for target in policy.copy_targets("s", targets, 0.4)}
    assert held_by == {"v2"}


def test_copies_of_streams_stay_at_accepted_versions_under_a_share():
    # Failure: the engine of a stream is lost while a version gets a share; the stream would
    # continue at a version that may be bad.
    policy = make_policy(order())
    targets = make_targets(v1=3, v2=2)
    held_by = {target.report.version for target in policy.copy_targets("s", targets, 0.2)}
    assert held_by == {"v1"} and not policy.may_resume("s", "v2")


def test_evidence_is_counted_for_each_version_and_route_until_it_is_sent():
    # Failure: a report of evidence does not reach the control leader.
    policy = make_policy(order())
    chosen(policy, make_targets(v1=2, v2=2))
    for failed, seconds in ((False, 0.001), (False, 0.0029), (True, None), (False, None)):
        policy.record_sent("s", "v2", "r")
        policy.record_answer("s", "v2", "r", failed, seconds)
    policy.record_sent("s", "v1", "r")
    taken = policy.take_evidence(1.0)
    assert [(each.version, each.requests, each.failures) for each in taken] == [
        ("v2", 4, 1),
        ("v1", 1, 0),
    ]
    policy.record_sent("s", "v2", "r")
    policy.restore_evidence(taken)
    again = {each.version: each for each in policy.take_evidence(2.0)}
    assert (again["v2"].requests, again["v2"].failures, again["v1"].requests) == (5, 1, 1)
    assert [again["v2"].latencies[bucket] for bucket in (0, 4)] == [1, 1]
    assert policy.take_evidence(3.0) == []


def test_evidence_is_bounded_and_only_counted_for_services_with_versions_to_compare():
    # Load: many routes, and control that takes no evidence for a long time.
    policy = make_policy()
    chosen(policy, make_targets(v1=2))
    policy.record_sent("s", "v1", "r")
    assert policy.take_evidence(0.0) == []
    chosen(policy, make_targets(v1=2, v2=1))
    for number in range(2 * versions.MAX_EVIDENCE):
        policy.record_sent("s", "v1", f"r{number}")
    assert len(policy.take_evidence(0.0)) == versions.MAX_EVIDENCE


@pytest.mark.parametrize(
    "seconds, bucket", [(0.0, 0), (0.001, 0), (0.0012, 1), (0.002, 2), (0.0021, 3), (1e9, 39)]
)
def test_times_are_counted_in_the_bucket_that_holds_them(seconds, bucket):
    # Guards against evidence that control reads as other times.
    assert versions.bucket_of(seconds) == bucket


def test_an_order_for_the_only_version_of_a_service_takes_no_target_away():
    # Failure: the first order names the version that runs already, and is rolled back.
    policy, targets = make_policy(), make_targets(v1=2)
    for now in (0.0, 4.0):
        assert chosen(policy, targets, now) == "v1"
    policy.apply_rollouts([order("v1")], 5.0)
    policy.apply_rollouts([order("v1", ROLLED_BACK, step=2, share=0.0)], 8.0)
    assert chosen(policy, targets, 9.0) == "v1"
    # It ends when another version is there to serve.
    assert chosen(policy, make_targets(v1=2, v2=2), 10.0) == "v2"


def test_a_paused_target_of_a_new_version_takes_no_request_from_the_others():
    # Load: the only target of the new version has asked this gateway for a pause.
    policy, targets = make_policy(order()), make_targets(v1=2, v2=1)
    targets[-1].paused_until = 60.0
    assert chosen(policy, targets, 1.0, NEW) == "v1"


def test_a_version_that_was_gone_for_long_is_held_again():
    policy, targets = make_policy(), make_targets(v1=3)
    assert chosen(policy, make_targets(v1=3, v2=1), 0.0) == "v1"
    assert chosen(policy, targets, 1.0) == "v1"
    assert chosen(policy, make_targets(v1=3, v2=1), 1000.0) == "v1"


def test_the_loss_of_one_of_two_targets_accepts_no_other_version():
    # Failure: one of two targets is lost beside a version whose order has not arrived yet.
    policy = make_policy()
    assert chosen(policy, make_targets(v1=2), 0.0) == "v1"
    assert chosen(policy, make_targets(v1=2, v2=2), 1.0) == "v1"
    assert chosen(policy, make_targets(v1=1, v2=2), 2.0) == "v1"
