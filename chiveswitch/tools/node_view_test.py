"""Tests of how a node merges the reports of several hubs about other nodes."""

import unittest.mock

from chiveswitch.core import placement, target_table
from chiveswitch.peers import hub
from chiveswitch.tools import node_view

thrift = hub.hub_thrift


def node_report(incarnation, state):
    """Returns a report of the node `n`."""
    return thrift.NodeReport(
        name="n",
        incarnation=incarnation,
        availability_zone="z",
        region="r",
        caller_address="10.0.0.9:80",
        peer_address="10.0.0.9:90",
        state=state,
    )


def target_report(target_id):
    """Returns a report of a ready target."""
    return thrift.TargetReport(
        target_id=target_id,
        service_name="s",
        address=f"10.0.0.1:{ord(target_id[0])}",
        availability_zone="z",
        slots=1,
        state=target_table.READY,
        born_ms=1,
        sequence=1,
        overdue=False,
    )


def new_view():
    """Returns a view whose hubs are both reachable."""
    settings = unittest.mock.MagicMock()
    settings.name = "own"
    view = node_view.NodeView(settings, 1, *(unittest.mock.MagicMock() for _ in range(5)))
    view.watcher = unittest.mock.MagicMock()
    view.watcher.reachable_hubs.return_value = [
        unittest.mock.MagicMock(address="hub-1"),
        unittest.mock.MagicMock(address="hub-2"),
    ]
    return view


def test_a_run_report_keeps_the_digest_and_the_age_of_its_copy():
    # Guards against runs of other gateways that returning callers cannot find, and against a later
    # report that makes a copy look newer than a restart of its holder.
    settings = unittest.mock.MagicMock()
    settings.name = "own"
    runs = placement.RunTable()
    view = node_view.NodeView(
        settings, 1, unittest.mock.MagicMock(), runs, *(unittest.mock.MagicMock() for _ in range(3))
    )

    def report(sequence, state, reference="10.0.0.1:1/r1"):
        view.apply_run_reports(
            [
                thrift.RunReport(
                    run_id="r1",
                    request_digest=":digest",
                    target_id="a",
                    copy_target_id="b",
                    tokens=9,
                    state=state,
                    node="other",
                    sequence=sequence,
                    copy_reference=reference,
                )
            ]
        )
        return runs.run_by_id["r1"].copied_at

    copied_at = report(1, hub.RUN_ACTIVE)
    assert report(2, hub.RUN_INTERRUPTED) == copied_at
    run = runs.run_by_id["r1"]
    assert runs.find_resumable(":digest", 4.0, run.changed_at) == [run]
    assert report(3, hub.RUN_INTERRUPTED, "10.0.0.2:1/h1") > copied_at


def test_a_speed_that_several_hubs_pass_on_counts_once():
    # Each hub publishes the reports of runs; one of them is lost and comes back with old ones.
    settings = unittest.mock.MagicMock()
    settings.name = "own"
    view = node_view.NodeView(
        settings,
        1,
        unittest.mock.MagicMock(),
        placement.RunTable(),
        *(unittest.mock.MagicMock() for _ in range(3)),
    )
    heard = []
    view.on_speed = lambda observation: heard.append((observation.target_id, observation.factor))

    def report(sequence, state, speed):
        return thrift.RunReport(
            run_id="r1",
            request_digest="",
            target_id="a",
            copy_target_id="",
            tokens=9,
            state=state,
            node="other",
            sequence=sequence,
            copy_reference="",
            speed=speed,
        )

    last = report(2, hub.RUN_ENDED, thrift.SpeedReport(born_ms=1, percent=160))
    first = report(1, hub.RUN_ACTIVE, thrift.SpeedReport(born_ms=1, percent=160))
    view.apply_run_reports([report(0, hub.RUN_ACTIVE, None), first, last])
    view.apply_run_reports([last])
    assert heard == [("a", 1.6)]


def ready_incarnations(view):
    """Returns the incarnations of the node `n` that the directory would list."""
    return [each.incarnation for each in view.ready_nodes() if each.name == "n"]


def test_a_node_that_starts_after_its_clock_was_set_back_is_listed():
    # Guards against a ready node that gets no callers. Incarnations come from the time of day, so a
    # process that starts after the clock was set back has a lower one than its predecessor.
    view = new_view()
    for hub_address in ("hub-1", "hub-2"):
        view.apply_node_reports(hub_address, [node_report(5, hub.NODE_READY)])
    for hub_address in ("hub-1", "hub-2"):
        view.apply_node_reports(hub_address, [node_report(5, hub.NODE_GONE)])
        view.apply_node_reports(hub_address, [node_report(4, hub.NODE_READY)])
    assert ready_incarnations(view) == [4]


def test_a_node_counts_as_stopping_from_its_announcement_until_its_next_start():
    # Guards against a control member that stays a voter for as long as a frozen one, although it
    # has stopped and its successor votes already.
    view = new_view()
    states = ((5, hub.NODE_DRAINING, False), (5, hub.NODE_READY, False))
    states += (
        (5, hub.NODE_DRAINING, True),
        (5, hub.NODE_GONE, True),
        (6, hub.NODE_DRAINING, False),
    )
    states += ((6, hub.NODE_READY, False), (6, hub.NODE_GONE, False))
    for incarnation, state, expected in states:
        view.apply_node_reports("hub-1", [node_report(incarnation, state)])
        assert view.stopping_addresses() == ({"10.0.0.9:90"} if expected else set())


def test_a_late_report_of_an_older_process_is_ignored():
    # Guards against a restarted node that is removed from the directory again because another hub
    # still reports the end of the older process.
    view = new_view()
    view.apply_node_reports("hub-1", [node_report(5, hub.NODE_READY)])
    view.apply_node_reports("hub-2", [node_report(4, hub.NODE_GONE)])
    assert ready_incarnations(view) == [5]


def test_a_report_that_cannot_be_applied_costs_no_other_report():
    # Guards against a node that misses sound targets because they share an answer, or the process,
    # with a report that raises an exception.
    view = new_view()
    view._table = table = target_table.TargetTable()
    reports = [target_report("a"), target_report(["b"]), target_report("c")]
    view.apply_target_reports("hub-1", reports)
    assert sorted(table.target_by_id) == ["a", "c"]
    prompts = []
    view.on_prompt_report = lambda report: prompts.append(1 // report)
    view.apply_prompt_reports([1, 0, 1])
    assert prompts == [1, 1]
    logged = [call.args[1] for call in view._log.line.call_args_list]
    assert logged.count("report_skipped") == 2


def zone_report(name, zone, room=None):
    """Returns the report of a ready node in a zone."""
    return thrift.NodeReport(
        name=name,
        incarnation=1,
        availability_zone=zone,
        region="r",
        caller_address=f"{name}:80",
        peer_address=f"{name}:90",
        state=hub.NODE_READY,
        room=room,
    )


def test_the_directory_lists_nodes_by_their_room():
    # Load: a zone whose VMs are full beside one that is idle. Guards against room that is reported
    # and not used, and against other zones that get callers although there is room.
    view = new_view()
    reports = [zone_report(f"a{i}", "a") for i in range(8)]
    reports += [zone_report(f"b{i}", "b") for i in range(8)]
    view.apply_node_reports("hub-1", reports)
    answer = view.choose_addresses("a", "r")
    assert sum(address.startswith("a") for address in answer) == 8
    assert len(answer) == 8 + node_view.MAX_OTHER_ZONE_NODES
    view.apply_node_reports("hub-1", [zone_report(f"a{i}", "a", room=125) for i in range(8)])
    answers = [view.choose_addresses("a", "r") for _ in range(100)]
    own_counts = [sum(address.startswith("a") for address in answer) for answer in answers]
    assert 1.0 < sum(own_counts) / 100 < 4.0
    assert min(len(answer) for answer in answers) >= 4
    view.apply_node_reports("hub-1", [zone_report(f"a{i}", "a") for i in range(8)])
    assert sum(address.startswith("a") for address in view.choose_addresses("a", "r")) == 8
