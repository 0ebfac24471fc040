"""Tests of the issuing of grants for targets with a limit."""

import random

import hypothesis
from hypothesis import strategies

from chiveswitch.core import quota

# The window, factor and allowance by which the users judge a limit.
WINDOW_SECONDS = 4.0
FACTOR = 1.5
ALLOWANCE = 5


def make_issuer(share=1.0):
    return quota.QuotaIssuer(random.Random(1), share)


def most_in_window(sent_at):
    """Returns the largest number of times within `WINDOW_SECONDS`."""
    return max(
        (sum(start <= each < start + WINDOW_SECONDS for each in sent_at) for start in sent_at),
        default=0,
    )


def issue(issuer, rate, now, **more):
    return issuer.request("s", quota.QuotaRequest({"w": rate}, **more), now)


@hypothesis.given(
    rate=strategies.sampled_from([0.0, 0.2, 1.0, 2.5, 10.0, 40.0]),
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(0, 1), strategies.integers(0, 30), strategies.integers(0, 3)
        ),
        max_size=40,
    ),
    wait_s=strategies.sampled_from([0.0, 0.1, 1.8]),
)
def test_no_window_gets_more_requests_than_the_limit_permits(rate, steps, wait_s):
    # Guards against bursts after a quiet time, when many gateways ask at once, and when many
    # streams are interrupted.
    issuer = make_issuer()
    now, sent_at = 100.0, []
    for pause_s, new_count, resumed_count in steps:
        now += pause_s
        for number in range(new_count + resumed_count):
            is_resumed = number >= new_count
            grant = issue(issuer, rate, now, max_wait_s=wait_s, is_resumed=is_resumed)
            if grant.target_id:
                sent_at.append(now + grant.delay_s)
    assert most_in_window(sent_at) <= FACTOR * WINDOW_SECONDS * rate + ALLOWANCE


def test_grants_are_spread_over_time():
    # Guards against all grants of a window in one burst when it opens.
    issuer = make_issuer()
    delays = []
    for _ in range(40):
        grant = issue(issuer, 10.0, 50.0, max_wait_s=2.0)
        if grant.target_id:
            delays.append(grant.delay_s)
    assert 15 <= len(delays) <= 24
    for half in range(4):
        assert 3 <= sum(half / 2 <= each < half / 2 + 0.5 for each in delays) <= 8


def test_a_limit_of_zero_lets_one_request_pass_from_time_to_time():
    # Guards against a target that names 0 once and never gets a request again, whose response
    # would lift the limit.
    issuer = make_issuer()
    granted = 0
    for step in range(600):
        granted += bool(issue(issuer, 0.0, 10.0 + step / 10).target_id)
    assert granted == 60 / quota.TRIAL_SECONDS - 1


def test_an_interrupted_stream_goes_before_new_work():
    # Guards against a stream in progress that waits behind new requests after the loss of its
    # engine.
    issuer = make_issuer()
    for _ in range(20):
        issue(issuer, 2.0, 10.0, max_wait_s=1.5)
    assert not issue(issuer, 2.0, 10.0, max_wait_s=1.5).target_id
    for _ in range(3):
        grant = issue(issuer, 2.0, 10.0, max_wait_s=0.5, is_resumed=True)
        assert (grant.target_id, grant.delay_s) == ("w", 0.0)


def test_a_changed_limit_holds_at_once():
    # Guards against grants that were planned far ahead at a low rate and delay a higher one.
    issuer = make_issuer()
    for _ in range(3):
        issue(issuer, 0.2, 10.0, max_wait_s=20.0)
    assert issue(issuer, 20.0, 10.2, max_wait_s=0.2).target_id


def test_the_issuer_uses_the_target_that_takes_a_request_first():
    # Guards against requests that are refused although the limit of another target permits them.
    issuer = make_issuer()
    request = quota.QuotaRequest({"w0": 1.0, "w1": 1.0, "w2": 1.0})
    assert {issuer.request("s", request, 5.0).target_id for _ in range(3)} == {"w0", "w1", "w2"}
    assert not issuer.request("s", request, 5.0).target_id


def test_gateways_without_an_issuer_keep_to_the_limit_together():
    # Guards against gateways that all use the whole limit while the issuer is away, or all of
    # which begin with a grant.
    for count in (10, 89, 340):
        issuers = [make_issuer(1 / count) for _ in range(count)]
        sent_at = []
        for step in range(100):
            now = 10.0 + step / 10
            for issuer in issuers:
                if issue(issuer, 2.5, now).target_id:
                    sent_at.append(now)
        assert most_in_window(sent_at) <= FACTOR * WINDOW_SECONDS * 2.5 + ALLOWANCE


def test_the_loss_of_an_issuer_moves_only_its_own_services():
    # Guards against grants of two issuers for services whose issuer is there.
    addresses = [f"10.0.0.{number}:7" for number in range(5)]
    services = [f"s{number}" for number in range(60)]
    before = {service: quota.choose_issuer(service, addresses) for service in services}
    assert set(before.values()) == set(addresses)
    after = {service: quota.choose_issuer(service, addresses[1:]) for service in services}
    for service in services:
        assert before[service] in (after[service], addresses[0])
