"""Tests of the decision whether a connection still delivers data."""

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveswitch.core import connection_monitor

PROBE = connection_monitor.Verdict.PROBE
CLOSE = connection_monitor.Verdict.CLOSE
WAIT = connection_monitor.Verdict.WAIT


def make_monitor(**settings):
    return connection_monitor.ConnectionMonitor(connection_monitor.Settings(**settings), 0.0)


def closed_at(monitor, until, write_interval, write_bytes, arrivals=()):
    """Returns the time at which a connection is closed, or None, with regular writes.

    Args:
        monitor: The monitor of a connection that began at 0.
        until: Time at which to give up, in seconds.
        write_interval: Seconds between two writes; each is followed by a check.
        write_bytes: Bytes of each write.
        arrivals: Rising times of data from the peer, in seconds.
    """
    arrivals = list(arrivals)
    now, request_id, write_at = 0.0, 0, 0.0
    while now < until:
        while arrivals and arrivals[0] <= now:
            monitor.record_data(arrivals.pop(0))
        if now >= write_at:
            request_id += 1
            monitor.record_sent(request_id, write_bytes)
            write_at = now + write_interval
        if monitor.check(now) == CLOSE:
            return now
        now = min(write_at, monitor.next_check_at, *arrivals[:1])
    return None


@hypothesis.given(st.floats(0.01, 2.0), st.integers(1, 20_000))
def test_requests_neither_delay_nor_suppress_the_end_of_a_silent_connection(interval, size):
    # Guards against a connection that is kept because requests are sent on it again and again.
    settings = connection_monitor.Settings()
    sent_before_probe = (settings.probe_interval_s / interval + 2) * size
    latest = settings.probe_interval_s + settings.reply_timeout_s
    latest += sent_before_probe / settings.min_bytes_per_s
    assert closed_at(make_monitor(), 60.0, interval, size) <= latest + 0.01


@hypothesis.given(st.floats(0.01, 2.0), st.floats(0.05, 1.0))
def test_a_connection_that_delivers_data_is_kept(write_interval, data_interval):
    # Guards against closing a connection whose replies are slow but come.
    arrivals = [number * data_interval for number in range(1, 100)]
    until = arrivals[-1]
    assert closed_at(make_monitor(), until, write_interval, 100, arrivals) is None


def test_a_large_request_extends_the_timeout_until_it_is_delivered():
    # Guards against closing a connection on which a large request is still on its way, and against
    # an extension that outlasts its delivery.
    monitor = make_monitor(min_bytes_per_s=500_000.0)
    monitor.record_sent(1, 4_000_000)
    assert monitor.check(0.3) == PROBE
    assert monitor.next_check_at == pytest.approx(0.3 + 0.9 + 8.0)
    assert monitor.check(8.0) == WAIT
    monitor.record_reply(1, 8.1)
    assert monitor.check(8.4) == PROBE
    assert monitor.next_check_at == pytest.approx(8.4 + 0.9)


def test_a_late_check_first_lets_data_be_read_that_has_arrived():
    # Guards against a process that was paused and closes all its connections when it wakes up, and
    # against one whose checks are always late and that closes none.
    monitor = make_monitor()
    assert monitor.check(0.3) == PROBE
    assert monitor.check(9.0) == WAIT
    monitor.record_data(9.0)
    assert monitor.check(9.3) == PROBE
    assert monitor.check(20.0) == WAIT
    assert monitor.check(25.0) == CLOSE


def test_a_paused_process_probes_before_it_closes_a_connection():
    # Guards against taking the time for which the process was paused for a silence of the peer.
    monitor = make_monitor()
    assert monitor.check(10.0) == PROBE
    assert monitor.check(10.5) == WAIT
    assert monitor.check(11.0) == CLOSE


def test_without_probes_a_connection_is_never_closed():
    # Guards against closing a connection whose owner watches over the replies itself.
    monitor = make_monitor(probe_interval_s=float("inf"))
    assert monitor.check(1_000_000.0) == WAIT


def test_requests_that_never_arrive_extend_the_timeout_up_to_a_limit():
    # Guards against a silent connection that is kept for minutes because much was sent on it.
    monitor = make_monitor(max_transfer_s=20.0)
    monitor.record_sent(1, 1_000_000_000)
    assert monitor.check(0.3) == PROBE
    assert monitor.next_check_at == pytest.approx(0.3 + 0.9 + 20.0)


def test_a_reply_shows_that_all_earlier_requests_have_arrived():
    # Guards against requests that count as being on their way for as long as the replies to them
    # are held back, though a later one has been answered.
    monitor = make_monitor()
    for request_id in (1, 2, 3):
        monitor.record_sent(request_id, 1_000_000)
    monitor.record_reply(2, 0.1)
    assert monitor.check(0.4) == PROBE
    assert monitor.next_check_at == pytest.approx(0.4 + 0.9 + 4.0)
