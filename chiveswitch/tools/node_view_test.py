"""Tests of how a node merges the reports of several hubs about other nodes."""

import unittest.mock

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


def test_a_late_report_of_an_older_process_is_ignored():
    # Guards against a restarted node that is removed from the directory again because another hub
    # still reports the end of the older process.
    view = new_view()
    view.apply_node_reports("hub-1", [node_report(5, hub.NODE_READY)])
    view.apply_node_reports("hub-2", [node_report(4, hub.NODE_GONE)])
    assert ready_incarnations(view) == [5]
