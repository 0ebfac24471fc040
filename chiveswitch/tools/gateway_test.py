"""Tests of a gateway's responses to plain service calls, with a stub that runs the call."""

import asyncio
import unittest.mock

import orjson
import pytest

from chiveswitch.core import calls, codes
from chiveswitch.tools import gateway


def refuse(repeatable, is_first_send) -> dict:
    """Returns the JSON response to a call for which no target is ready."""
    stub = unittest.mock.MagicMock()
    stub._next_call = 0
    stub.core.permission_failure.return_value = None
    stub.core.admit_call.return_value = None
    stub.core.service.return_value.repeatable = repeatable
    refusal = calls.Respond(codes.Code.NO_TARGET, 0, b"", "no target is ready")
    stub._calls.run = unittest.mock.AsyncMock(return_value=refusal)
    call = gateway.Gateway.call(stub, "planning", "key-1", is_first_send, "stock", {}, "")
    return orjson.loads(asyncio.run(call).body)


@pytest.mark.parametrize(
    ("repeatable", "is_first_send", "run"),
    [
        (True, True, codes.RunStatus.NOT_RUN),
        (True, False, codes.RunStatus.UNKNOWN),
        (False, False, codes.RunStatus.NOT_RUN),
    ],
)
def test_refusal_says_not_run_only_if_it_covers_all_sends(repeatable, is_first_send, run):
    """Guards against "not run" for a call that another gateway has run.

    A refusal of a resent call says nothing about the first send if the call is repeatable.
    """
    assert refuse(repeatable, is_first_send)["run"] == run.value
