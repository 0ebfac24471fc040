"""Tests of the target table: late, repeated and reordered reports, reused addresses and ids."""

import hypothesis
from hypothesis import stateful, strategies

from chiveswitch.core import target_table

READY, DRAINING, GONE = target_table.READY, target_table.DRAINING, target_table.GONE


def report(target_id="t", sequence=1, state=READY, born_ms=1, address="10.0.0.1:1", **changes):
    fields = {
        "target_id": target_id,
        "service": "s",
        "address": address,
        "availability_zone": "z",
        "slots": 4,
        "state": state,
        "born_ms": born_ms,
        "sequence": sequence,
        "overdue": False,
    }
    fields.update(changes)
    return target_table.Report(**fields)


def ids(table):
    return sorted(target.target_id for target in table.ready_targets("s"))


def test_a_target_keeps_its_version_until_it_announces_another_one():
    # Guards against requests to an unaccepted version after a report without one, such as the one
    # that a gateway shares when a response says that its target leaves.
    table = target_table.TargetTable()
    for sequence, version, expected in ((1, "v1", "v1"), (2, "", "v1"), (3, "v2", "v2")):
        table.apply_report("h", report(sequence=sequence, version=version), 1.0)
        assert table.find("t").report.version == expected


@hypothesis.given(
    strategies.permutations([(1, READY), (2, READY), (3, DRAINING), (4, GONE)]),
    strategies.integers(0, 4),
)
def test_a_target_that_leaves_is_not_brought_back_by_late_reports(order, hub):
    # Guards against new work for a leaving target: its reports reach the gateway through several
    # hubs in any order, and an older one may arrive last.
    table = target_table.TargetTable()
    seen = set()
    for sequence, state in order:
        table.apply_report(f"h{hub}", report(sequence=sequence, state=state), 1.0)
        seen.add(state)
        if GONE in seen or DRAINING in seen and sequence <= 3:
            assert ids(table) == []
    assert ids(table) == []


def test_a_target_that_drains_is_not_ready_again_before_its_next_start():
    # Guards against new work for a leaving target that goes on announcing itself as ready.
    table = target_table.TargetTable()
    table.apply_report("h", report(sequence=1), 1.0)
    assert table.record_leaving(table.find("t"))
    assert not table.record_leaving(table.find("t"))
    table.apply_report("h", report(sequence=2), 2.0)
    assert ids(table) == [] and table.is_draining_or_gone("t")
    table.apply_report("h", report(sequence=1, born_ms=2), 3.0)
    assert ids(table) == ["t"]


def test_a_restart_under_the_same_id_counts_anew():
    # Guards against ignoring a restarted target because its sequence numbers start again at 1.
    table = target_table.TargetTable()
    table.apply_report("h", report(sequence=90), 1.0)
    table.apply_report("h", report(sequence=90, state=GONE), 2.0)
    assert ids(table) == []
    table.apply_report("h", report(sequence=1, born_ms=2), 3.0)
    assert ids(table) == ["t"]
    table.apply_report("h", report(sequence=91, born_ms=1), 4.0)
    assert table.find("t").report.born_ms == 2


def test_a_reused_address_belongs_to_the_later_start():
    # Guards against requests to a target whose address now belongs to a target of another service.
    gone_ids = []
    table = target_table.TargetTable(gone_ids.append)
    table.apply_report("h", report("old", born_ms=1), 1.0)
    table.apply_report("h", report("new", born_ms=5, service="other"), 2.0)
    assert ids(table) == []
    assert gone_ids == ["old"]
    # A heartbeat of the crashed target arrives late because of a partition.
    table.apply_report("h", report("old", born_ms=1, sequence=9), 3.0)
    assert ids(table) == []


def test_a_target_is_overdue_only_when_no_reachable_hub_confirms_it():
    table = target_table.TargetTable()
    table.apply_report("a", report(), 0.0)
    table.apply_report("b", report(sequence=2), 0.0)
    table.sweep({"b"}, 20.0)
    assert not table.find("t").report.overdue
    table.sweep({"c"}, 30.0)
    assert table.find("t").report.overdue
    # An overdue target still gets requests if there is no other one.
    assert ids(table) == ["t"]


def test_a_target_is_overdue_when_its_last_hub_says_so():
    # Guards against a silent target that counts as healthy because its last heartbeats were not
    # published, or because it reported to another hub before.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 0.0)
    table.apply_report("b", report(sequence=2), 1.0)
    assert table.apply_report("a", report(overdue=True), 3.0) is False
    assert not table.find("t").report.overdue
    assert table.apply_report("b", report(sequence=7, overdue=True), 5.0) is True
    assert table.find("t").report.overdue
    assert table.apply_report("b", report(sequence=8), 6.0) is True
    assert not table.find("t").report.overdue


def test_a_sender_that_goes_on_is_listed_whichever_hub_is_heard_first():
    # Guards against a node that misses a target because the target's hub published it again before
    # the node heard that the other sender is silent.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 1.0)
    foreign = {"born_ms": 2**62, "sequence": 9}
    table.apply_report("b", report(**foreign), 2.0)
    table.apply_report("a", report(sequence=4), 5.0)
    assert table.find("t").report.born_ms == 2**62
    table.apply_report("b", report(**foreign, overdue=True), 5.1)
    found = table.find("t").report
    assert (found.born_ms, found.sequence, found.overdue) == (1, 4, False)


def test_a_target_comes_back_after_another_sender_lost_its_address_under_the_same_id():
    # Guards against a target that stays away because of the sequence of another sender.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 1.0)
    table.apply_report("b", report(sequence=10**9, address="10.0.0.9:9"), 2.0)
    table.reset_hub("a")
    table.apply_report("a", report("other", address="10.0.0.9:9"), 3.0)
    assert ids(table) == ["other"]
    table.apply_report("a", report(sequence=2), 4.0)
    assert ids(table) == ["other", "t"]


def test_a_target_is_listed_again_when_another_sender_loses_its_address():
    # Guards against a node that misses a target whose id another sender used at the address of a
    # third one.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 1.0)
    table.apply_report("a", report("u", address="10.0.0.2:1"), 1.0)
    table.apply_report("b", report(sequence=9, address="10.0.0.2:1"), 2.0)
    assert ids(table) == ["t"]
    table.apply_report("a", report("u", sequence=2, address="10.0.0.2:1"), 3.0)
    assert ids(table) == ["t", "u"]
    assert table.find("t").address == "10.0.0.1:1"


def test_a_target_that_lost_its_address_is_listed_again_with_any_sequence():
    # Guards against a sound target that is missing for as long as tombstones are kept: a stranger
    # used a high sequence under its id, and then its address under another id.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 1.0)
    table.apply_report("a", report(sequence=2**31), 2.0)
    table.apply_report("a", report("u", sequence=5), 3.0)
    assert ids(table) == ["u"]
    table.apply_report("a", report(sequence=2**31, overdue=True), 4.0)
    assert ids(table) == ["u"]
    table.apply_report("b", report(sequence=2), 4.0)
    assert ids(table) == ["t"]
    # A later start at the address keeps it.
    table.apply_report("a", report("v", born_ms=2), 5.0)
    table.apply_report("b", report(sequence=3), 6.0)
    assert ids(table) == ["v"]


def test_a_target_that_lost_its_address_keeps_its_service():
    # Guards against announcements of a sound target that are refused, because a stranger named
    # another service under its id while another target had its address.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 1.0)
    table.apply_report("a", report("u", sequence=5), 2.0)
    assert ids(table) == ["u"]
    assert table.is_contradicted(report(sequence=9, service="other"))
    assert not table.is_contradicted(report(sequence=9))
    assert not table.is_contradicted(report(sequence=9, service="other", born_ms=2))
    # The id of a target that has left may be used for another service.
    table.apply_report("a", report("v", address="10.0.0.9:1"), 3.0)
    table.apply_report("a", report("v", address="10.0.0.9:1", state=GONE), 4.0)
    assert not table.is_contradicted(report("v", service="other"))


def test_a_target_that_lost_its_address_has_not_left():
    # Guards against an acknowledged leave that no hub can apply, because the start is unknown.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 1.0)
    table.apply_report("a", report("u", sequence=5), 2.0)
    assert ids(table) == ["u"] and not table.has_left("t")
    table.apply_report("a", report("u", state=GONE), 3.0)
    assert table.has_left("u")


def add_zone(table, name, count):
    for number in range(count):
        target_id = f"{name}{number}"
        address = f"10.0.0.{ord(name)}:{number + 1}"
        table.apply_report("h", report(target_id, address=address, availability_zone=name), 0.0)


def test_the_loss_of_several_targets_of_a_zone_makes_the_zone_avoided():
    # Guards against losing a stream at each target of a zone that fails as a whole.
    table = target_table.TargetTable()
    add_zone(table, "a", 6)
    add_zone(table, "b", 6)
    table.record_loss(table.find("a0"), 10.0)
    assert table.find("a5").avoided_until == 0.0
    table.record_remote_loss("a1", 10.2)
    avoided = [each for each in table.ready_targets("s") if each.avoided_until > 10.2]
    assert {each.zone for each in avoided} == {"a"}
    assert len(avoided) == 6


def test_a_target_that_has_just_responded_is_not_avoided_with_its_zone():
    table = target_table.TargetTable()
    add_zone(table, "a", 6)
    table.find("a5").record_contact(10.15)
    table.record_loss(table.find("a0"), 10.0)
    table.record_loss(table.find("a1"), 10.2)
    assert table.find("a5").avoided_until == 0.0


def test_a_target_that_responds_during_a_silence_is_told_from_one_that_was_lost():
    # Guards against taking the last responses of a lost target for a sign of life.
    target = target_table.Target(report())
    target.record_contact(10.1)
    assert not target.has_responded_during(10.0, 11.0)
    target.record_contact(10.6)
    assert target.has_responded_during(10.0, 11.0)
    assert not target.has_responded_during(10.0, 12.0)


def test_one_loss_is_reported_once_and_counts_as_one_failure():
    # Guards against a flood of loss reports, and too long avoidance, when many streams detect the
    # same loss.
    reported = []
    table = target_table.TargetTable(on_lost=reported.append)
    add_zone(table, "a", 1)
    for moment in range(5):
        table.record_loss(table.find("a0"), 10.0 + moment / 100)
    assert reported == ["a0"]
    assert table.find("a0").avoided_until == 10.0 + target_table.AVOID_SECONDS


def test_a_report_with_another_service_leaves_the_target_and_its_service_usable():
    # Guards against the id of a target under two services, after which its removal and each request
    # to its first service raise an exception.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 1.0)
    foreign = report(service="other", sequence=10**9)
    assert table.is_contradicted(foreign)
    table.apply_report("b", foreign, 2.0)
    assert ids(table) == ["t"] and table.ready_targets("other") == []
    table.apply_report("a", report(sequence=2, state=DRAINING), 3.0)
    table.apply_report("a", report(sequence=2, state=GONE), 4.0)
    assert ids(table) == [] and table.find("t") is None


def test_a_target_leaves_although_another_sender_used_a_higher_sequence():
    # Guards against requests to a target whose leave was acknowledged.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 1.0)
    table.apply_report("b", report(sequence=10**9), 2.0)
    table.apply_report("a", report(sequence=2, state=DRAINING), 3.0)
    assert ids(table) == []
    # It is still confirmed after the other sender has fallen silent.
    table.apply_report("b", report(sequence=10**9, overdue=True), 5.0)
    assert not table.find("t").report.overdue


def test_a_later_start_may_belong_to_another_service():
    # Guards against an index that keeps the service of an earlier start.
    table = target_table.TargetTable()
    table.apply_report("a", report(), 1.0)
    table.apply_report("a", report(service="other", born_ms=2), 2.0)
    assert ids(table) == []
    assert [target.target_id for target in table.ready_targets("other")] == ["t"]


# Guards against a sender that takes the place of a target for good with one report: with a start
# time in the future, or as the first one under the id.
@hypothesis.given(
    strategies.sampled_from(
        [
            {"born_ms": 2**62},
            {"service": "other"},
            {"address": "10.0.0.9:9"},
            {"target_id": "foreign", "born_ms": 2**62},
        ]
    ),
    strategies.booleans(),
)
def test_a_silent_sender_yields_to_the_one_that_goes_on(changes, comes_first):
    table = target_table.TargetTable()
    foreign = report(sequence=10**9, **changes)
    reports = [("a", report()), ("b", foreign)]
    for hub, each in reversed(reports) if comes_first else reports:
        table.apply_report(hub, each, 1.0)
    table.apply_report("b", report(sequence=10**9, overdue=True, **changes), 4.0)
    # The hub publishes the target again because its own table does not list it.
    if not table.lists(report(sequence=2)):
        table.apply_report("a", report(sequence=2), 4.1)
    assert ids(table) == ["t"]
    found = table.find("t").report
    assert (found.address, found.born_ms, found.overdue) == ("10.0.0.1:1", 1, False)


def test_an_earlier_start_does_not_come_back_while_hubs_hear_of_the_later_one():
    # Guards against requests to a crashed process, and a target that is lost after a partition.
    table = target_table.TargetTable()
    table.apply_report("a", report(born_ms=2), 1.0)
    table.sweep({"b"}, 2.0)
    table.sweep({"b"}, 20.0)
    assert table.find("t").report.overdue
    table.apply_report("b", report(sequence=9), 21.0)
    assert table.find("t").report.born_ms == 2


FIELDS = strategies.fixed_dictionaries(
    {
        "service": strategies.sampled_from(["s", "other", ""]),
        "address": strategies.sampled_from(["10.0.0.1:1", "10.0.0.2:1", ""]),
        "born_ms": strategies.sampled_from([0, 1, 2, 2**62]),
        "sequence": strategies.sampled_from([0, 1, 2, 2**61]),
        "state": strategies.sampled_from([READY, DRAINING, GONE]),
        "overdue": strategies.booleans(),
    }
)


class AnyReports(stateful.RuleBasedStateMachine):
    """Applies any reports of a few ids, addresses and services, and checks the indexes."""

    def __init__(self):
        super().__init__()
        self.table = target_table.TargetTable()
        self.now = 0.0

    @stateful.rule(
        hub=strategies.sampled_from("ab"),
        target_id=strategies.sampled_from("tu"),
        fields=FIELDS,
    )
    def apply(self, hub, target_id, fields):
        self.table.apply_report(hub, report(target_id, **fields), self.now)

    @stateful.rule(
        hub=strategies.sampled_from("ab"),
        target_id=strategies.sampled_from("tu"),
        fields=FIELDS,
        kept=strategies.sets(strategies.sampled_from(["service", "address", "born_ms", "state"])),
    )
    def change(self, hub, target_id, fields, kept):
        target = self.table.find(target_id)
        if target is None:
            return
        known_fields = {name: getattr(target.report, name) for name in kept}
        fields = {**fields, **known_fields, "sequence": target.report.sequence + 1}
        self.table.apply_report(hub, report(target_id, **fields), self.now)

    @stateful.rule(target_id=strategies.sampled_from("tu"))
    def remove(self, target_id):
        self.table.remove(target_id, self.now)

    @stateful.rule(hubs=strategies.sets(strategies.sampled_from("ab")))
    def sweep(self, hubs):
        self.now += 6.0
        self.table.sweep(hubs, self.now)

    @stateful.rule(hub=strategies.sampled_from("ab"))
    def reset(self, hub):
        self.table.reset_hub(hub)

    @stateful.rule(target_id=strategies.sampled_from("tu"))
    def lose(self, target_id):
        target = self.table.find(target_id)
        if target is not None:
            self.table.record_loss(target, self.now)

    @stateful.invariant()
    def every_index_names_the_targets_of_the_table(self):
        # Guards against an exception for every request to a service whose index is wrong.
        by_service, by_address = {}, {}
        for target_id, target in self.table.target_by_id.items():
            by_service.setdefault(target.report.service, set()).add(target_id)
            by_address[target.address] = target_id
        listed = {name: ids for name, ids in self.table._ids_by_service.items() if ids}
        assert listed == by_service
        assert self.table._id_by_address == by_address
        assert len(by_address) == len(self.table.target_by_id)
        for service in ("s", "other", ""):
            self.table.ready_targets(service)


TestAnyReports = AnyReports.TestCase
TestAnyReports.settings = hypothesis.settings(max_examples=300, stateful_step_count=30)
