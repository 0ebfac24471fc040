"""A short seeded run of the soak, and the seeds that have failed before."""

import pytest

from features import soak

pytestmark = pytest.mark.processes

# One seed for each run of the tests.
SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    # Guards against what single faults do not show: kills, pauses and stops that overlap.
    assert soak.play(seed, tmp_path) == []
