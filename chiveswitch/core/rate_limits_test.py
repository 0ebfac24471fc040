"""Tests of the limits that targets name: what is learned from responses and from reports."""

from chiveswitch.core import rate_limits, target_table


def make_target(born_ms=1):
    return target_table.Target(
        target_table.Report(
            target_id="w",
            service="s",
            address="10.0.0.1:80",
            availability_zone="a",
            slots=8,
            state=target_table.READY,
            born_ms=born_ms,
            sequence=1,
            overdue=False,
        )
    )


def make_table():
    events = []
    table = rate_limits.RateLimitTable(lambda event, report, previous: events.append(event))
    return table, events


def report_of(rate, at, since=None, born_ms=1):
    return rate_limits.Report("w", born_ms, rate, at, at if since is None else since, "g2")


def test_a_response_without_a_limit_lifts_it_unless_it_was_under_way_before():
    # Guards against a limit that ends with the response to an older request, and against one that
    # never ends.
    table, events = make_table()
    target = make_target()
    assert table.observe_response(target, 2.5, 9.9, 10.0, "g1").rate == 2.5
    assert table.observe_response(target, None, 9.9, 12.0, "g1") is None
    assert table.rate_of(target, 12.0) == 2.5
    assert table.observe_response(target, None, 10.1, 12.1, "g1").rate is None
    assert table.rate_of(target, 12.1) is None
    assert events == ["named", "lifted"]


def test_a_delayed_report_neither_restores_nor_lifts_a_limit():
    # Guards against reports that arrive through different hubs in another order.
    table, events = make_table()
    target = make_target()
    table.observe_response(target, 2.0, 9.9, 10.0, "g1")
    table.observe_response(target, None, 11.0, 11.1, "g1")
    table.apply_report(report_of(2.0, 10.5), 11.2)
    assert table.rate_of(target, 11.2) is None
    table.apply_report(report_of(3.0, 12.0), 12.1)
    table.apply_report(report_of(None, 11.5), 12.2)
    assert table.rate_of(target, 12.2) == 3.0
    assert events == ["named", "lifted", "named"]


def test_a_gateway_learns_that_a_limit_changed_or_was_lifted_from_others():
    # Guards against a gateway that gets no responses and keeps an old limit.
    table, events = make_table()
    target = make_target()
    table.observe_response(target, 2.0, 9.9, 10.0, "g1")
    table.apply_report(report_of(0.0, 11.0, since=9.5), 11.1)
    assert table.rate_of(target, 11.1) == 0.0
    # A response without a limit to a request that was sent after the first naming anywhere.
    assert table.observe_response(target, None, 9.8, 11.2, "g1").rate is None
    assert events == ["named", "changed", "lifted"]


def test_a_limit_that_is_not_confirmed_expires():
    # Guards against a limit of which nothing is heard any more and that holds for ever.
    table, events = make_table()
    target = make_target()
    table.observe_response(target, 2.0, 9.9, 10.0, "g1")
    table.observe_response(target, 2.0, 19.9, 20.0, "g1")
    later = 20.0 + rate_limits.EXPIRY_SECONDS
    assert table.rate_of(target, later - 0.1) == 2.0
    assert table.rate_of(target, later) is None
    table.sweep(later)
    assert events == ["named", "expired"] and not table.in_force()


def test_a_new_start_of_a_target_begins_without_a_limit():
    # Guards against the limit of an earlier start that is taken for the present one's.
    table, _ = make_table()
    table.observe_response(make_target(1), 2.0, 9.9, 10.0, "g1")
    restarted = make_target(2)
    assert table.rate_of(restarted, 10.1) is None
    table.observe_response(restarted, 5.0, 10.1, 10.2, "g1")
    table.apply_report(report_of(2.0, 10.3, born_ms=1), 10.4)
    assert table.rate_of(restarted, 10.4) == 5.0


def test_an_unchanged_limit_is_reported_at_intervals():
    # Guards against a message to all nodes for each response.
    table, _ = make_table()
    target = make_target()
    reports = []
    for step in range(120):
        now = 10.0 + step / 10
        reports.append(table.observe_response(target, 2.0, now - 0.05, now, "g1"))
    assert 2 <= sum(report is not None for report in reports) <= 4


def test_the_number_of_remembered_limits_is_bounded():
    # Guards against memory that grows with each target that ever named a limit.
    table, _ = make_table()
    for number in range(rate_limits.MAX_TARGETS + 10):
        table.apply_report(rate_limits.Report(f"w{number}", 1, 1.0, 1.0, 1.0, "g2"), 1.0)
    assert len(table.in_force()) == rate_limits.MAX_TARGETS
