"""Test of the text in which metrics are served."""

from chiveswitch.core import metrics


def test_counters_gauges_and_histograms_are_shown():
    process_metrics = metrics.Metrics()
    process_metrics.count("retries")
    process_metrics.count("retries", 2)
    process_metrics.gauge_by_name["targets"] = lambda: 4
    for milliseconds in range(1, 101):
        process_metrics.observe("first_event", milliseconds / 1000)
    lines = process_metrics.text().split("\n")
    assert "chiveswitch_retries_total 3" in lines
    assert "chiveswitch_targets 4" in lines
    assert "chiveswitch_first_event_seconds_count 100" in lines
    median = next(line for line in lines if 'quantile="0.5"' in line)
    assert 0.049 < float(median.split()[1]) < 0.052
