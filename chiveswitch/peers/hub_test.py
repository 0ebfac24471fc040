"""Tests of the hub: contents and timing of the answers to watches, and detection of silence."""

import asyncio
import math

from chiveswitch.core import clock, prompt_quarantine, rate_limits, target_table
from chiveswitch.peers import hub, strict

thrift = hub.hub_thrift


def target(target_id="t", sequence=1, state=target_table.READY, **changes):
    fields = {
        "target_id": target_id,
        "service_name": "s",
        "address": f"10.0.0.1:{len(target_id)}",
        "availability_zone": "z",
        "slots": 4,
        "state": state,
        "born_ms": 1,
        "sequence": sequence,
        "overdue": False,
    }
    fields.update(changes)
    return thrift.TargetReport(**fields)


def node(name="n", incarnation=1, state=hub.NODE_READY):
    return thrift.NodeReport(
        name=name,
        incarnation=incarnation,
        availability_zone="z",
        region="r",
        caller_address="10.0.0.9:80",
        peer_address="10.0.0.9:90",
        state=state,
    )


class HubFixture:
    """A hub whose silence detection uses a manual clock; long polls use the real one."""

    def __init__(self, is_member=True):
        self.time = 0.0
        self.published = hub.PublishedBundle(3, b"content", b"signature")
        self.changes = []
        self.hub = hub.Hub(
            1.2,
            lambda: hub.Members(4, ["10.0.0.1:1"]),
            lambda: self.published,
            lambda: is_member,
            self.changes.append,
            lambda: self.time,
        )

    async def watch(self, position=0, incarnation=0, version=3, wants=False, **changes):
        fields = {
            "node": node(),
            "hub_incarnation": incarnation,
            "position": position,
            "known_version": version,
            "wants_bundle": wants,
            "runs": [],
            "losses": [],
        }
        fields.update(changes)
        result = await self.hub.serve_watch(strict.encode(thrift.Watch(**fields)), "")
        return strict.decode(thrift.WatchAnswer, result.ok).ok


def test_a_first_watch_gets_everything_and_the_next_one_only_changes():
    async def scenario():
        fixture = HubFixture()
        fixture.hub.record_target_report(target("a"))
        first = await fixture.watch()
        assert [each.target_id for each in first.targets] == ["a"]
        assert (first.members_index, first.hubs, first.version) == (4, ["10.0.0.1:1"], 3)
        fixture.hub.record_target_report(target("bb"))
        known = {"position": first.position, "incarnation": first.hub_incarnation}
        second = await fixture.watch(**known)
        assert [each.target_id for each in second.targets] == ["bb"]
        # A watch with the incarnation of an earlier hub process gets everything, since its position
        # is of no use to this one.
        again = await fixture.watch(position=first.position, incarnation=77)
        assert len(again.targets) == 2

    asyncio.run(scenario())


def test_a_waiting_watch_is_answered_soon_after_a_change():
    # Guards against nodes that go on sending work to a draining target until their watch expires.
    async def scenario():
        fixture = HubFixture()
        first = await fixture.watch()
        known = {"position": first.position, "incarnation": first.hub_incarnation}
        waiting = asyncio.ensure_future(fixture.watch(**known))
        await asyncio.sleep(0.01)
        started = clock.now()
        fixture.hub.record_target_report(target("a", state=target_table.DRAINING))
        answer = await waiting
        assert answer.targets[0].state == target_table.DRAINING
        assert clock.now() - started < hub.LONG_POLL_SECONDS / 2

    asyncio.run(scenario())


def test_a_watch_without_changes_is_held_and_then_answered():
    async def scenario():
        fixture = HubFixture()
        first = await fixture.watch()
        started = clock.now()
        answer = await fixture.watch(first.position, first.hub_incarnation)
        assert answer.targets == [] and clock.now() - started >= hub.LONG_POLL_SECONDS * 0.9

    asyncio.run(scenario())


def test_a_bundle_is_sent_only_to_a_node_that_wants_it():
    async def scenario():
        fixture = HubFixture()
        named = await fixture.watch(version=2)
        assert (named.version, named.content) == (3, b"")
        sent = await fixture.watch(version=2, wants=True)
        assert (sent.content, sent.signature) == (b"content", b"signature")
        assert (await fixture.watch(version=3, wants=True)).content == b""

    asyncio.run(scenario())


def test_a_node_that_waits_for_a_bundle_is_told_its_version_once():
    # Guards against a node and a hub that exchange watches without a pause while the node waits for
    # the bundle of another hub, and so slow down the hub for all nodes.
    async def scenario():
        fixture = HubFixture()
        first = await fixture.watch(version=2)
        assert first.version == 3
        known = {"position": first.position, "incarnation": first.hub_incarnation, "version": 2}

        async def start_watch(**changes):
            task = asyncio.ensure_future(fixture.watch(**known, **changes))
            await asyncio.sleep(0)
            return task

        held = await start_watch()
        assert not held.done()
        assert (await held).version == 3
        # A node that asks for the bundle gets it immediately, and a newer version is announced.
        assert (await start_watch(wants=True)).result().content == b"content"
        fixture.published = hub.PublishedBundle(4, b"content", b"signature")
        assert (await start_watch()).result().version == 4

    asyncio.run(scenario())


def test_a_node_is_not_gone_while_it_receives_a_large_bundle():
    # Guards against nodes with slow links that count as gone, with all their runs, because their
    # next watch comes only after a bundle whose transfer takes longer than the timeout.
    async def scenario():
        fixture = HubFixture()
        fixture.published = hub.PublishedBundle(3, bytes(1_000_000), b"signature")
        await fixture.watch(version=2, wants=True)
        fixture.hub.record_node_report(node())
        fixture.time = hub.NODE_TIMEOUT_SECONDS + 1_000_000 / hub.SLOW_LINK_BYTES_PER_SECOND - 0.1
        fixture.hub.sweep()
        states = [each.report.state for each in fixture.changes]
        assert states == [hub.NODE_READY]
        fixture.time += 0.2
        fixture.hub.sweep()
        assert fixture.changes[-1].report.state == hub.NODE_GONE

    asyncio.run(scenario())


def test_a_process_that_is_no_hub_only_names_the_hubs():
    async def scenario():
        answer = await HubFixture(is_member=False).watch()
        assert not answer.is_hub and answer.hubs == ["10.0.0.1:1"]
        assert answer.nodes == []

    asyncio.run(scenario())


def test_silent_nodes_and_targets_are_published_until_they_report_or_expire():
    fixture = HubFixture()
    fixture.hub.record_target_report(target("a"))
    fixture.hub.record_node_report(node())
    fixture.time = 2.0
    fixture.hub.sweep()
    assert [entry.report.state for entry in fixture.changes if entry.kind == "nodes"][-1] == 2
    fixture.time = 4.0
    fixture.hub.sweep()
    assert fixture.changes[-1].report.overdue
    fixture.hub.record_target_report(target("a", sequence=2))
    assert not fixture.changes[-1].report.overdue
    fixture.hub.record_node_report(node())
    assert fixture.changes[-1].report.state == hub.NODE_READY
    fixture.time = 200.0
    fixture.hub.sweep()
    count = len(fixture.changes)
    fixture.time = 400.0
    fixture.hub.sweep()
    assert len(fixture.changes) == count


def test_heartbeats_without_changes_are_not_published():
    # Guards against one message to each node for each heartbeat of each target.
    fixture = HubFixture()
    for sequence in range(1, 50):
        fixture.hub.record_target_report(target("a", sequence=sequence))
    assert len(fixture.changes) == 1
    fixture.hub.record_target_report(target("a", sequence=3))
    assert len(fixture.changes) == 1


def test_a_changed_version_is_published_and_a_missing_one_keeps_the_stored_one():
    # Guards against requests to an unaccepted version: gateways tell versions by these reports.
    fixture = HubFixture()
    for sequence, version in enumerate((None, "v1", None, "v1"), 1):
        fixture.hub.record_target_report(target("a", sequence=sequence, version=version))
    versions = [entry.report.version for entry in fixture.changes]
    assert versions == [None, "v1"]
    fixture.hub.record_target_report(target("a", sequence=9, state=target_table.DRAINING))
    assert fixture.changes[-1].report.version == "v1"


def test_a_report_without_version_is_encoded_as_in_earlier_versions():
    # Guards against nodes of earlier versions that refuse all targets during a rolling update.
    without = strict.encode(target())
    assert strict.encode(hub.from_table_report(hub.to_table_report(target()))) == without
    assert b"v1" not in without and len(strict.encode(target(version="v1"))) > len(without)


def test_an_entry_that_cannot_be_encoded_costs_no_other_entry():
    # Guards against nodes that get no reports at all because of one entry.
    async def scenario():
        fixture = HubFixture()
        fixture.hub.record_target_report(target("a"))
        fixture.hub.record_target_report(target("b", sequence=2**64))
        fixture.hub.record_limit_report(limit_report(1.0, since_ms=2**63 - 1))
        fixture.time = 0.5
        fixture.hub.record_target_report(target("c"))
        for _ in range(2):
            answer = await fixture.watch(version=3)
            assert sorted(each.target_id for each in answer.targets) == ["a", "c"]
            assert not answer.limits

    asyncio.run(scenario())


def published_targets(fixture):
    return [(entry.report.service_name, entry.report.overdue) for entry in fixture.changes]


def test_another_sender_takes_the_place_of_a_target_only_when_the_target_is_silent():
    # Guards against the loss of a live target by one report under its id, and of a target whose id
    # another sender used first.
    fixture = HubFixture()
    fixture.hub.record_target_report(target())
    foreign = target(service_name="other", sequence=10**9)
    fixture.hub.record_target_report(foreign)
    assert published_targets(fixture) == [("s", False)]
    fixture.time = 3.5
    fixture.hub.sweep()
    fixture.hub.record_target_report(foreign)
    fixture.hub.record_target_report(target(sequence=2))
    assert published_targets(fixture)[1:] == [("s", True), ("other", False)]
    fixture.time = 7.0
    fixture.hub.sweep()
    fixture.hub.record_target_report(target(sequence=3))
    assert published_targets(fixture)[3:] == [("other", True), ("s", False)]


def test_an_earlier_start_that_goes_on_replaces_a_later_one_that_is_silent():
    # Guards against a target that one report with a start time in the future replaces for good.
    fixture = HubFixture()
    fixture.hub.record_target_report(target())
    fixture.hub.record_target_report(target(born_ms=2**62, address="10.0.0.9:9"))
    fixture.hub.record_target_report(target(sequence=2))
    assert fixture.changes[-1].report.born_ms == 2**62
    fixture.time = 3.5
    fixture.hub.sweep()
    fixture.hub.record_target_report(target(sequence=3, state=target_table.GONE))
    assert fixture.changes[-1].report.born_ms == 2**62
    fixture.hub.record_target_report(target(sequence=3))
    assert fixture.changes[-1].report.born_ms == 1


def test_a_higher_sequence_of_another_sender_does_not_silence_a_target():
    # Guards against a live target that counts as overdue, and a leave that is acknowledged and then
    # ignored.
    fixture = HubFixture()
    fixture.hub.record_target_report(target(sequence=10**9))
    for fixture.time in (1.0, 2.0, 3.0, 4.0):
        fixture.hub.record_target_report(target(sequence=int(fixture.time)))
        fixture.hub.sweep()
    assert published_targets(fixture) == [("s", False)]
    fixture.time = 8.0
    fixture.hub.sweep()
    fixture.hub.record_target_report(target(sequence=5))
    assert published_targets(fixture)[1:] == [("s", True), ("s", False)]
    fixture.hub.record_target_report(target(sequence=6, state=target_table.DRAINING))
    assert fixture.changes[-1].report.state == target_table.DRAINING
    # A heartbeat that was late is no sign that the target is ready again.
    fixture.hub.record_target_report(target(sequence=4))
    assert fixture.changes[-1].report.state == target_table.DRAINING


def test_a_target_that_the_own_table_does_not_list_is_published_again():
    # Guards against a target that is lost because its entry was replaced on the nodes and its own
    # reports don't change.
    fixture = HubFixture()
    fixture.hub.record_target_report(target())
    fixture.hub.record_target_report(target(sequence=2), is_listed=True)
    assert len(fixture.changes) == 1
    fixture.hub.record_target_report(target(sequence=3), is_listed=False)
    assert len(fixture.changes) == 2 and fixture.changes[-1].report.sequence == 3


def test_a_node_that_starts_after_its_clock_was_set_back_is_recorded():
    # A node process that starts after the time of day was set back has a lower incarnation than its
    # predecessor. Guards against a directory that omits it until the old entry expires.
    fixture = HubFixture()
    fixture.hub.record_node_report(node(incarnation=5))
    fixture.time = hub.NODE_TIMEOUT_SECONDS + 0.1
    fixture.hub.sweep()
    fixture.hub.record_node_report(node(incarnation=4))
    assert [entry.report.state for entry in fixture.changes] == [
        hub.NODE_READY,
        hub.NODE_GONE,
        hub.NODE_READY,
    ]
    # The timeout counts from the new process's reports.
    fixture.time += hub.NODE_TIMEOUT_SECONDS - 0.1
    fixture.hub.sweep()
    assert len(fixture.changes) == 3


def test_an_older_incarnation_or_run_report_changes_nothing():
    fixture = HubFixture()
    fixture.hub.record_node_report(node(incarnation=5))
    fixture.hub.record_node_report(node(incarnation=4, state=hub.NODE_DRAINING))
    assert len(fixture.changes) == 1

    def run(sequence, state):
        return thrift.RunReport(
            run_id="r",
            request_digest=":x",
            target_id="a",
            copy_target_id="b",
            tokens=1,
            state=state,
            node="n",
            sequence=sequence,
            copy_reference="",
        )

    fixture.hub.record_run_report(run(3, hub.RUN_ENDED))
    fixture.hub.record_run_report(run(2, hub.RUN_ACTIVE))
    assert fixture.changes[-1].report.state == hub.RUN_ENDED


def test_one_loss_is_published_once_and_not_for_long():
    fixture = HubFixture()
    for moment in range(5):
        report = thrift.LossReport(target_id="a", node=f"n{moment}", at_ms=moment)
        fixture.hub.record_loss_report(report)
    assert len(fixture.changes) == 1
    fixture.time = 1.0
    fixture.hub.sweep()
    assert fixture.hub._entry_by_key == {}


def prompt_report(outcome, *parts, target="e1", age_ms=0):
    return thrift.PromptReport(
        outcome=int(outcome), parts=list(parts), target_id=target, age_ms=age_ms
    )


def test_reports_of_prompts_are_published_once_with_their_age():
    # Guards against a node that counts old crashes as new ones after its restart, and against the
    # same crash that is published again for each gateway that reports it.
    async def scenario():
        fixture = HubFixture()
        first = await fixture.watch()
        assert first.prompts is None
        crashed = prompt_quarantine.Outcome.CRASHED_ANSWERING
        for _ in range(2):
            fixture.hub.record_prompt_report(prompt_report(crashed, "a", "b", age_ms=200))
        fixture.hub.record_prompt_report(prompt_report(7, "a", "b"))
        fixture.hub.record_prompt_report(prompt_report(crashed))
        fixture.time = 3.0
        answer = await fixture.watch(position=0, incarnation=first.hub_incarnation)
        assert [(each.parts, each.age_ms) for each in answer.prompts] == [(["a", "b"], 3200)]

    asyncio.run(scenario())


def test_beginnings_of_one_part_are_published_at_intervals():
    # Guards against a message to each node for each response with a common part.
    fixture = HubFixture()
    began = prompt_quarantine.Outcome.BEGAN
    for step in range(100):
        fixture.time = step * hub.BEGINNING_INTERVAL_SECONDS / 50
        fixture.hub.record_prompt_report(prompt_report(began, "a", target=f"e{step}"))
    assert len(fixture.changes) == 2


def test_the_number_of_prompt_reports_is_bounded():
    fixture = HubFixture()
    crashed = prompt_quarantine.Outcome.CRASHED_WAITING
    for number in range(hub.MAX_PROMPT_REPORTS + 10):
        fixture.hub.record_prompt_report(prompt_report(crashed, "a", f"r{number}"))
    assert len(fixture.hub._entry_by_key) == hub.MAX_PROMPT_REPORTS


def limit_report(rate, age_ms=0, since_ms=0, born_ms=1, source="n1"):
    return thrift.LimitReport(
        target_id="a",
        born_ms=born_ms,
        limited=rate is not None,
        rate=rate or 0.0,
        age_ms=age_ms,
        since_ms=since_ms,
        source=source,
    )


def test_reports_of_limits_are_published_with_their_ages():
    # Guards against a node that takes an old limit for a new one after its restart.
    async def scenario():
        fixture = HubFixture()
        first = await fixture.watch()
        assert first.limits is None
        fixture.hub.record_limit_report(limit_report(2.5, age_ms=200, since_ms=1200))
        fixture.time = 3.0
        answer = await fixture.watch(position=0, incarnation=first.hub_incarnation)
        assert [(each.rate, each.age_ms, each.since_ms) for each in answer.limits] == [
            (2.5, 3200, 4200)
        ]
        fixture.time = rate_limits.EXPIRY_SECONDS + 1.0
        fixture.hub.sweep()
        assert fixture.hub._entry_by_key.keys().isdisjoint({("limits", "a")})

    asyncio.run(scenario())


def test_a_later_response_decides_what_limit_is_published():
    # Guards against a limit that a delayed report restores, and against a rate that is no number.
    fixture = HubFixture()
    fixture.time = 10.0
    fixture.hub.record_limit_report(limit_report(2.5))
    fixture.hub.record_limit_report(limit_report(None, age_ms=100))
    fixture.hub.record_limit_report(limit_report(math.nan))
    fixture.hub.record_limit_report(limit_report(math.inf))
    assert len(fixture.changes) == 1
    fixture.time = 10.5
    fixture.hub.record_limit_report(limit_report(None))
    fixture.hub.record_limit_report(limit_report(2.5, age_ms=300))
    assert [each.report.limited for each in fixture.changes] == [True, False]
    fixture.hub.record_limit_report(limit_report(4.0, age_ms=200, born_ms=2))
    assert fixture.changes[-1].report.born_ms == 2


def test_an_unchanged_limit_is_published_at_intervals():
    # Guards against a message to each node for each response of each gateway.
    fixture = HubFixture()
    for step in range(100):
        fixture.time = step * hub.LIMIT_INTERVAL_SECONDS / 50
        fixture.hub.record_limit_report(limit_report(2.5, source=f"n{step % 7}"))
    assert len(fixture.changes) == 2


def rollout_state(step):
    return thrift.RolloutState(
        service_name="s",
        version="v2",
        state=0,
        serial=4,
        step=step,
        share=0.05,
        moves_copies=False,
        valid_ms=3000,
    )


def test_a_changed_order_of_a_version_reaches_waiting_nodes():
    # Guards against gateways that go on sending requests to a version after its withdrawal.
    async def scenario():
        fixture = HubFixture()
        states = [rollout_state(1)]
        fixture.hub.rollouts = lambda: states
        first = await fixture.watch()
        assert first.rollouts == [rollout_state(1)]
        waiting = asyncio.ensure_future(
            fixture.watch(first.position, first.hub_incarnation, version=3)
        )
        await asyncio.sleep(0.01)
        states[0] = rollout_state(2)
        fixture.hub.publish_rollouts()
        async with asyncio.timeout(hub.LONG_POLL_SECONDS / 2):
            answer = await waiting
        assert answer.rollouts == [rollout_state(2)]

    asyncio.run(scenario())


def test_an_answer_without_orders_has_no_field_for_them():
    # Guards against nodes of an earlier version that refuse the answers.
    async def scenario():
        fixture = HubFixture()
        answer = await fixture.watch()
        assert answer.rollouts is None
        answer = await HubFixture(is_member=False).watch()
        assert answer.rollouts is None

    asyncio.run(scenario())
