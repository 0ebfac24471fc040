"""Tests of the platform's HTTP interface without a network."""

import asyncio

import expression
import pytest

from chiveswitch.core import node_settings
from chiveswitch.platform import api, documents_test

LIMITS = node_settings.RolloutLimits(0.1, 50, 5.0)


class Node:
    """Takes the place of a node that accepts every report.

    Attributes:
        settings: The node itself, which stands for its settings, too.
        rollout: Its `node_settings.RolloutLimits`, or None.
        reports: Reports that were delivered.
    """

    control_address = "10.0.0.1:80"

    def __init__(self, rollout):
        self.settings = self
        self.rollout = rollout
        self.reports = []

    async def report_target(self, report):
        """Keeps a report."""
        self.reports.append(report)
        return expression.Ok("10.0.0.1:7000")


class Exchange:
    """A heartbeat request and its responder.

    Attributes:
        body: Body of the request.
        status: Status of the response.
    """

    body = documents_test.orjson.dumps(documents_test.HEARTBEAT)
    status = 0

    def send(self, status, *_):
        """Keeps the status of the response."""
        self.status = status


@pytest.mark.parametrize("rollout, version", [(None, None), (LIMITS, "v")])
def test_reports_state_versions_only_where_operators_order_rollouts(rollout, version):
    # Guards against reports that nodes of earlier versions refuse, and against gateways that cannot
    # tell a version on trial.
    node, exchange = Node(rollout), Exchange()
    asyncio.run(api.put_instance(node, exchange, exchange, ["w"]))
    assert exchange.status == 200 and node.reports[0].version == version
