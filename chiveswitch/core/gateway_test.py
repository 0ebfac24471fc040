"""Tests of a single gateway's core; tests of several gateways are in `features`."""

import random

from chiveswitch.core import (
    bundles,
    codes,
    directory,
    gateway,
    gateway_settings,
    generation_messages,
)
from chiveswitch.core import gateway_messages as messages
from chiveswitch.tools import sample


def new_core(gateway_count):
    description = directory.Description("g1", "gateway", "zone-a", "127.0.0.1:1", 1)
    settings = gateway_settings.GatewaySettings(gateway_count=gateway_count)
    core = gateway.GatewayCore(settings, description, random.Random(1), 0.0)
    bundle = bundles.parse(sample.sample_bundle()).ok
    core.handle(messages.BundleConfirmed(1, bundle, 0.0), 0.0)
    return core


def test_new_gateway_admits_nothing_before_it_has_found_holders():
    # Guards against lost answers: a gateway that was killed soon after its start had admitted
    # requests before it found other gateways, so that their journals had a single copy.
    core = new_core(gateway_count=4)
    assert core.admission_failure(1.0).code is codes.Code.VIEW_INCOMPLETE
    core.handle(messages.BundleConfirmed(1, None, 5.0), 5.0)
    assert core.admission_failure(5.1) is None


def test_single_gateway_admits_at_once():
    assert new_core(gateway_count=1).admission_failure(0.1) is None


def test_bundle_that_cannot_be_confirmed_stops_admission():
    # Guards against new work under a bundle that has been replaced: a gateway without contact to
    # control cannot learn of the new one.
    core = new_core(gateway_count=1)
    assert core.admission_failure(3.9) is None
    assert core.admission_failure(4.0).code is codes.Code.BUNDLE_STALE


def test_older_serial_is_never_applied():
    core = new_core(gateway_count=1)
    second = bundles.parse(sample.sample_bundle(version=2)).ok
    core.handle(messages.BundleConfirmed(2, second, 1.0), 1.0)
    core.handle(messages.BundleConfirmed(1, bundles.parse(sample.sample_bundle()).ok, 9.0), 9.0)
    assert core.serial == 2
    assert core.bundle.version == 2
    assert core.admission_failure(9.1).code is codes.Code.BUNDLE_STALE


def test_caller_may_leave_while_control_is_asked_for_its_request():
    # Guards against a gateway that exited with an AttributeError: no journal of the request was
    # found, so control was asked for it, and the caller left before the response arrived.
    core = new_core(gateway_count=1)
    key = ("field", "request")
    actions = core.handle(messages.Attach(1, *key, "", None, 0, True), 0.1)
    actions += core.handle(messages.Tick(), 2.0)
    assert [action.key for action in actions if type(action) is messages.FindRequest] == [key]
    left = messages.FromReader(("field", "other"), generation_messages.ReaderDisconnected(9))
    core.handle(left, 2.1)
    core.handle(messages.FromReader(key, generation_messages.ReaderDisconnected(1)), 2.1)
    assert core.handle(messages.RequestFound(key, None, 0, None, ""), 2.2) == []


def test_a_request_whose_live_owner_is_unknown_here_is_not_claimed():
    # Guards against a durable generation that runs twice after all gateways were killed: gateways
    # that have just started do not know each other, and each claimed the generation of another.
    core = new_core(gateway_count=1)
    key = ("field", "request")
    header = b"header"
    core.handle(messages.Attach(1, *key, "", None, 0, True), 0.1)
    core.handle(messages.Tick(), 2.0)
    actions = core.handle(messages.RequestFound(key, header, 2, None, "g2.1"), 2.2)
    assert not [action for action in actions if type(action) is messages.ClaimGeneration]
    refusals = [action for action in actions if type(action) is messages.ReaderFail]
    assert [refusal.code for refusal in refusals] == [codes.Code.JOURNAL_UNAVAILABLE]
    # Without a live owner the request is claimed.
    core.handle(messages.Attach(2, *key, "", None, 0, True), 5.0)
    core.handle(messages.Tick(), 7.0)
    actions = core.handle(messages.RequestFound(key, header, 2, None, ""), 7.2)
    claims = [action for action in actions if type(action) is messages.ClaimGeneration]
    assert [claim.expected for claim in claims] == [2]
