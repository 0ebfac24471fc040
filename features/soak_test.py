"""Short runs of the soak test with fixed seeds, and tests of its checks."""

import pytest

from features import link_faults, soak

# Each seed takes a run of its own. A seed that has failed is added here.
SEEDS = (1,)
# Seeds with the faults of connections between nodes only.
# 804 has failed in some of its runs: no leader for good, as busy connections between members did
# not notice that they were silent. 802 and 806 failed for the same reason, as did 803 and 804 with
# all faults.
LINK_SEEDS = (804,)
LIMIT_SECONDS = 4.0


@pytest.mark.processes
@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    # Guards against violations that appear only under overlapping kills, pauses and stops.
    assert soak.run_seed(seed, tmp_path) == []


@pytest.mark.processes
@pytest.mark.parametrize("seed", LINK_SEEDS)
def test_no_promise_is_broken_by_faults_between_nodes(seed, tmp_path):
    # Guards against members that elect no leader over connections that are open and silent.
    assert soak.run_seed(seed, tmp_path, fault_names=link_faults.FAULT_BY_NAME) == []


def late_acknowledgements(waits, out_of_touch=(), other_disturbances=()):
    record = soak.Record()
    record.waits.extend(waits)
    record.out_of_touch.extend(out_of_touch)
    record.other_disturbances.extend(other_disturbances)
    record.find_violations([], {})
    return record.violations


def test_an_order_that_is_late_in_calm_is_found():
    # Guards against a check that excuses waits outside of the disturbances.
    late = (10.0, 14.5, LIMIT_SECONDS)
    assert late_acknowledgements([late])
    assert late_acknowledgements([late], [(0, 1.0, 10.4)], [(14.6, 20.0)])
    # The wait began in a disturbance and went on in calm.
    assert late_acknowledgements([(1.0, 14.5, LIMIT_SECONDS)], [(0, 0.5, 10.4)])


def test_only_calm_counts_for_an_order():
    # Guards against a check that counts times in which nodes need not keep bounds of time.
    assert not late_acknowledgements([(10.0, 13.5, LIMIT_SECONDS)])
    wait = (10.0, 19.0, LIMIT_SECONDS)
    assert not late_acknowledgements([wait], [(0, 12.0, 14.0), (1, 13.0, 15.5)])
    assert not late_acknowledgements([wait], [(0, 12.0, 14.0)], [(13.9, 18.0)])
