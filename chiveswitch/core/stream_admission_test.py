"""Tests of the admission of streams, without a network."""

import collections
import random

import pytest

from chiveswitch.core import rank, routing, stream_admission, target_table
from chiveswitch.core import target_table_test

ENGINE = routing.Engine(
    slots=12, memory_tokens=88_000, copies=True, copy_kept_s=4.0, event_tokens=9
)
PROMPT, TOKENS = 8_000, 9_200
PRIORITIES = (0, 2)
ORDER = routing.ServiceOrder(((1, 0), (1, 2)), 4.0)
EQUAL = routing.ServiceOrder(((1, 2),), 10.0)
THREE = routing.ServiceOrder(((1, 0), (1, 2), (1, 4)), 4.0)
URGENT_S, PATIENT_S, DEADLINE_S = 4.0, 10.0, 25.0
NOW = 100.0
PLACE, WAIT, REFUSE = stream_admission.Verdict


def engines(per_zone=12):
    table = target_table.TargetTable()
    for zone in "abcd":
        target_table_test.add_zone(table, zone, per_zone)
    return sorted(table.ready_targets("s"), key=lambda each: each.target_id)


def reading(targets, count=1):
    """Returns loads of engines that each have some unread prompts."""
    return {each.target_id: (count, count * TOKENS, count * PROMPT) for each in targets}


def candidate(name="r", priority=2, account="a", arrived_at=NOW, is_begun=False):
    objective_s = URGENT_S if priority == 0 else PATIENT_S
    return stream_admission.Candidate(
        stream_id=name,
        account=account,
        rank=rank.Rank(1, priority, is_begun, arrived_at + objective_s),
        tokens=TOKENS,
        deadline=arrived_at + DEADLINE_S,
        least_s=4.0,
    )


def decide(queue, stream, targets, loads, now=NOW, order=ORDER):
    return queue.decide(stream, order, targets, loads, ENGINE, now)


def make_queue(seed=1):
    return stream_admission.StreamQueue(random.Random(seed))


def test_nothing_waits_in_calm():
    # Calm load: a third of the engines have two prompts to read. Guards against first events that
    # come later although other engines are free.
    targets = engines()
    loads = reading(targets[::3], 2)
    queue = make_queue()
    for number in range(200):
        decision = decide(queue, candidate(f"r{number}"), targets, loads)
        assert decision.verdict == PLACE
        assert {each.target_id for each in decision.targets} == {
            each.target_id for each in targets if each.target_id not in loads
        }


def test_equal_priorities_are_placed_as_before():
    # A crowd on a service whose requests all have the same priority: no request waits or is refused
    # here, and every engine may be chosen.
    targets = engines()
    queue = make_queue()
    for now in (NOW, NOW + 24.0):
        decision = decide(queue, candidate(), targets, reading(targets, 9), now, EQUAL)
        assert (decision.verdict, decision.targets) == (PLACE, targets)


def test_accounts_of_equal_objectives_do_not_wait_for_each_other():
    # A crowd on a service whose accounts differ in priority, but not its routes in objective.
    # Guards against a wait that no request has slack for; the engines order these streams.
    targets = engines()
    order = routing.ServiceOrder(((0, 2), (1, 2)), PATIENT_S)
    decision = decide(make_queue(), candidate(), targets, reading(targets, 3), order=order)
    assert (decision.verdict, decision.targets) == (PLACE, targets)


def test_the_most_urgent_account_does_not_wait_on_a_patient_route():
    # A crowd, and a caller of the most urgent account on a route with a long objective. Guards
    # against streams that wait although no more urgent ones can come.
    targets = engines()
    order = routing.ServiceOrder(((1, 2), (2, 0), (2, 2)), URGENT_S)
    decision = decide(make_queue(), candidate(), targets, reading(targets, 3), order=order)
    assert (decision.verdict, decision.targets) == (PLACE, targets)


def test_a_crowd_of_patient_callers_waits_and_urgent_ones_do_not():
    # A crowd of patient callers beside urgent ones while every engine has prompts to read. Guards
    # against urgent streams that queue behind patient ones.
    targets = engines()
    loads = reading(targets, 3)
    queue = make_queue()
    for number in range(20):
        assert decide(queue, candidate(f"p{number}"), targets, loads).verdict == WAIT
    for number in range(20):
        assert decide(queue, candidate(f"u{number}", 0), targets, loads).verdict == PLACE
    assert len(queue.candidate_by_id) == 20


def test_a_patient_stream_is_placed_before_its_slack_ends():
    # The crowd lasts. Guards against patient streams that starve or miss their objective because
    # they waited.
    targets = engines()
    loads = reading(targets, 2)
    queue, stream, now = make_queue(), candidate(), NOW
    while (decision := decide(queue, stream, targets, loads, now)).verdict == WAIT:
        assert 0 < decision.seconds <= stream_admission.MAX_POLL_SECONDS
        now += decision.seconds
    assert decision.verdict == PLACE and not queue.candidate_by_id
    # It still has more time than an urgent stream has.
    assert NOW + 1.0 < now < NOW + PATIENT_S - URGENT_S


def test_few_of_many_gateways_take_the_first_engine_with_room():
    # A zone of engines was lost and is back, one engine before the others; 80 gateways with a
    # waiting stream each see it in the same reports. Guards against a herd on that engine.
    targets = engines()
    loads = reading(targets[1:], 3)
    placed = sum(
        decide(make_queue(seed), candidate(), targets, loads).verdict == PLACE for seed in range(80)
    )
    assert 1 <= placed <= 16


def test_lost_engines_have_no_room():
    # A zone of engines is lost without a word, and the others have prompts to read. Guards against
    # streams that are sent to the lost engines, one after the other, because those have no load.
    targets = engines()
    for target in targets[:12]:
        target.record_unreachable(NOW)
    loads = reading(targets[12:], 3)
    queue = make_queue()
    for number in range(20):
        assert decide(queue, candidate(f"r{number}"), targets, loads).verdict == WAIT
    loads = reading(targets[30:], 3)
    decision = decide(make_queue(), candidate(), targets, loads)
    assert [each.target_id for each in decision.targets] == [
        each.target_id for each in targets[12:30]
    ]


def test_streams_that_waited_for_a_zone_go_to_it_when_it_is_back():
    # A zone of engines is lost and back within a second, while the others have prompts to read.
    # Guards against prompts that were bound to the other zones meanwhile.
    targets = engines()
    rest, back = targets[12:], targets[:12]
    loads = reading(rest, 3)
    queue = make_queue()
    streams = [candidate(f"r{number}", account=f"a{number}") for number in range(12)]
    for stream in streams:
        assert decide(queue, stream, rest, loads).verdict == WAIT
    back_ids = {each.target_id for each in back}
    for _ in range(12):
        for stream in streams:
            decision = decide(queue, stream, targets, loads, NOW + 1.2)
            if decision.verdict == PLACE:
                assert {each.target_id for each in decision.targets} == back_ids
    assert not queue.candidate_by_id


def test_a_small_account_is_not_behind_all_streams_of_a_large_one():
    # A large account with 20 waiting streams beside a small one that comes after them. Guards
    # against turns in the order of arrival, in which the small one would wait for all of them.
    targets = engines()
    full, some_room = reading(targets, 3), reading(targets[6:], 3)
    queue = make_queue()
    streams = [candidate(f"l{number}", account="large") for number in range(20)]
    streams.append(candidate("s0", account="small", arrived_at=NOW + 0.1))
    for stream in streams:
        assert decide(queue, stream, targets, full, NOW + 0.1).verdict == WAIT
    turns = []
    while queue.candidate_by_id:
        for stream in list(queue.candidate_by_id.values()):
            if decide(queue, stream, targets, some_room, NOW + 0.2).verdict == PLACE:
                turns.append(stream.account)
    assert "small" in turns[:2]


def test_more_urgent_waiting_streams_come_first():
    # Three priorities on one service under a crowd. Guards against a less urgent stream that takes
    # the room for which a more urgent one waits at the same gateway.
    targets = engines()
    full, some_room = reading(targets, 3), reading(targets[6:], 3)
    queue = make_queue()
    streams = [candidate("low", 4), candidate("middle", 2), candidate("early", 2, arrived_at=99.0)]
    for stream in streams:
        assert decide(queue, stream, targets, full, order=THREE).verdict == WAIT
    turns = []
    while queue.candidate_by_id:
        for stream in streams:
            if stream.stream_id not in queue.candidate_by_id:
                continue
            decision = decide(queue, stream, targets, some_room, NOW + 0.1, THREE)
            if decision.verdict == PLACE:
                turns.append(stream.stream_id)
    assert turns == ["early", "middle", "low"]


@pytest.mark.parametrize("priority", PRIORITIES)
def test_what_cannot_end_in_time_is_refused_at_once(priority):
    # All engines are full of streams and unread prompts, and the caller has little time left.
    # Guards against reading a prompt in vain.
    targets = engines()
    stream = candidate(priority=priority, arrived_at=NOW - DEADLINE_S + 6.0)
    decision = decide(make_queue(), stream, targets, reading(targets, 9))
    assert decision.verdict == REFUSE and "needs" in decision.reason
    # The same engines without a queue can still serve it.
    assert decide(make_queue(), stream, targets, {}).verdict == PLACE


def test_nothing_is_refused_while_half_of_the_places_are_free():
    # Prompts queue at engines with few requests. Guards against a refusal beside free places.
    targets = engines()
    loads = {each.target_id: (3, 3 * TOKENS, 200_000) for each in targets}
    stream = candidate(arrived_at=NOW - DEADLINE_S + 6.0)
    assert decide(make_queue(), stream, targets, loads).verdict == PLACE


def test_refused_callers_return_spread_and_urgent_ones_first():
    # A crowd of refused callers. Guards against one that returns at the same moment.
    queue = make_queue()
    returns = collections.defaultdict(list)
    for priority in PRIORITIES:
        for _ in range(100):
            request_rank = rank.Rank(1, priority, False, NOW)
            returns[priority].append(queue.retry_after_s(request_rank, ORDER.priorities, 2.0))
    assert max(returns[0]) - min(returns[0]) > 1.5
    assert sum(returns[0]) < sum(returns[2])
    assert 0 < min(returns[0])
    longest_s = stream_admission.MAX_RETRY_AFTER_SECONDS * (1 + stream_admission.RETRY_SPREAD)
    assert queue.retry_after_s(rank.Rank(1, 2, False, NOW), ORDER.priorities, 60.0) <= longest_s


def test_the_queue_is_bounded():
    # A crowd of patient callers at one gateway while all engines are full. Guards against a queue
    # that grows without bound; the last one by rank is refused.
    targets = engines()
    loads = reading(targets, 7)
    queue = make_queue()
    verdicts = [
        decide(queue, candidate(f"r{number}", arrived_at=NOW + number / 1000), targets, loads)
        for number in range(2 * stream_admission.MAX_WAITING)
    ]
    assert len(queue.candidate_by_id) <= stream_admission.MAX_WAITING + 1
    assert verdicts[0].verdict == WAIT and verdicts[-1].verdict == REFUSE


def test_a_caller_that_leaves_frees_its_turn():
    # Callers leave while they wait. Guards against streams that wait for one that is gone.
    targets = engines()
    queue = make_queue()
    for name in ("gone", "next"):
        decide(queue, candidate(name), targets, reading(targets, 3))
    queue.leave("gone")
    assert decide(queue, candidate("next"), targets, {}, NOW + 0.1).verdict == PLACE
