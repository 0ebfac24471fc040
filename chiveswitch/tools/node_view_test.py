"""Tests of what a node believes of the other nodes from the reports of several hubs."""

import unittest.mock

from chiveswitch.peers import hub
from chiveswitch.tools import node_view

thrift = hub.hub_thrift


def report(incarnation, state):
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
    view.watcher.reachable.return_value = [
        unittest.mock.MagicMock(address="hub-1"),
        unittest.mock.MagicMock(address="hub-2"),
    ]
    return view


def ready_incarnations(view):
    """Returns the incarnations of the node `n` that the directory would name."""
    return [each.incarnation for each in view.ready_nodes() if each.name == "n"]


def test_a_node_that_starts_after_its_clock_was_set_back_is_named():
    # Guards against a ready node that gets no callers because its predecessor's number was higher.
    view = new_view()
    for name in ("hub-1", "hub-2"):
        view.apply_node_reports(name, [report(5, hub.NODE_READY)])
    for name in ("hub-1", "hub-2"):
        view.apply_node_reports(name, [report(5, hub.NODE_GONE)])
        view.apply_node_reports(name, [report(4, hub.NODE_READY)])
    assert ready_incarnations(view) == [4]


def test_a_late_report_of_an_older_process_is_ignored():
    # Guards against a hub with an old view that takes a restarted node out again.
    view = new_view()
    view.apply_node_reports("hub-1", [report(5, hub.NODE_READY)])
    view.apply_node_reports("hub-2", [report(4, hub.NODE_GONE)])
    assert ready_incarnations(view) == [5]
