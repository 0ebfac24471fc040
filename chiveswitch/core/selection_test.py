"""Tests of target selection and address lists, with a seeded simulation of the load spread."""

import random

import hypothesis
import hypothesis.strategies as st

from chiveswitch.core import addresses, directory, selection

ZONES = ("z1", "z2", "z3", "z4")
MODEL = ("m", "", "1")


def entry_of(n, running=0, created_after=0.0, warm=(), incarnation=1):
    fixed = {"models": [MODEL], "capacity": 8, "warm_prefixes": warm}
    description = directory.Description(
        f"t{n:02}", "engine", ZONES[n % 4], "", incarnation, **fixed
    )
    return directory.Entry(description, 1, "ready", running, 0, created_after)


def spread(policy_name, seed, seconds=40.0, rate=10.6, hold_s=8.0):
    """Simulates ten gateways and 18 engines under one policy.

    Returns:
        Tuple (mean, maximum) over the samples of the highest load divided by the mean load.
    """
    rng = random.Random(seed)
    running = [0] * 18
    ends, ratios = [], []
    views = [[entry_of(n) for n in range(18)] for _ in range(10)]
    trackers = [selection.SendTracker() for _ in range(10)]
    # Each gateway sees the reports of each target with a fixed delay of 0.3 to 1.5 s.
    history = {n: [] for n in range(18)}
    lags = [[rng.uniform(0.3, 1.5) for _ in range(18)] for _ in range(10)]
    for step in range(int(seconds * 100)):
        now = step / 100
        for n in range(18):
            if (step + n * 3) % 50 == 0:
                history[n].append((now, running[n]))
                for view, lag in zip(views, lags, strict=True):
                    known = [each for each in history[n] if each[0] <= now - lag[n]]
                    if known:
                        view[n] = entry_of(n, known[-1][1], known[-1][0])
        while ends and ends[0][0] <= now:
            _, gateway, n, chosen = ends.pop(0)
            running[n] -= 1
            trackers[gateway].record_end(chosen, now)
        for _ in range(rng.choice((1, 2)) if rng.random() < rate / 150 else 0):
            gateway = rng.randrange(10)
            requirements = selection.TargetRequirements(ZONES[gateway % 4], model=MODEL)
            chosen = selection.select_target(
                views[gateway], requirements, trackers[gateway], rng, policy_name
            ).ok
            trackers[gateway].record_send(chosen, now)
            n = int(chosen.description.id[1:])
            running[n] += 1
            ends.append((now + hold_s, gateway, n, chosen))
        if step % 10 == 0 and now > 5:
            ratios.append(max(running) / (sum(running) / 18))
    return sum(ratios) / len(ratios), max(ratios)


def test_gateways_do_not_herd_onto_one_target():
    # Guards against herding: reports lag, so gateways that all choose the target with the lowest
    # reported load send their requests to the same one.
    for seed in (1, 2, 3):
        least_loaded = spread("least_loaded", seed)[0]
        assert least_loaded < 1.8
        assert spread("least_reported", seed)[0] > 1.8 * least_loaded
    assert spread("first_listed", 1)[0] > 17


def test_burst_of_own_sends_is_spread_before_the_next_report():
    # Guards against a burst that goes to few targets because their last reports show them as idle.
    rng, tracker = random.Random(2), selection.SendTracker()
    entries = [entry_of(n) for n in range(18)]
    for _ in range(72):
        requirements = selection.TargetRequirements("z1", model=MODEL)
        tracker.record_send(selection.select_target(entries, requirements, tracker, rng).ok, 1.0)
    assert max(tracker.unreported_count(entry) for entry in entries) <= 7


def test_own_sends_count_until_a_report_or_their_end():
    # Guards against counting an attempt twice, after a report that includes it, or after its end.
    tracker, entry = selection.SendTracker(), entry_of(1, running=2, created_after=0.0)
    tracker.record_send(entry, 1.0)
    assert selection.load_score(entry, tracker) == 3 / 8
    assert selection.load_score(entry_of(1, 2, 0.0, incarnation=2), tracker) == 2 / 8
    newer = entry_of(1, 3, 1.5)
    assert selection.load_score(newer, tracker) == 3 / 8
    tracker.record_end(entry, 2.0)
    assert selection.load_score(newer, tracker) == 2 / 8


@hypothesis.given(
    st.lists(st.integers(0, 17), unique=True, min_size=1),
    st.sets(st.integers(0, 17)),
    st.sets(st.sampled_from(ZONES)),
    st.integers(0, 99),
)
def test_exclusion_is_strict_and_zones_are_a_preference(ids, excluded, avoided, seed):
    # Guards against a retry on the target that has just failed, and against a refusal although
    # another target, if only in an avoided zone, is available.
    requirements = selection.TargetRequirements(
        "z1", model=MODEL, exclude={f"t{n:02}" for n in excluded}, avoid_zones=avoided
    )
    entries = [entry_of(n) for n in ids]
    result = selection.select_target(
        entries, requirements, selection.SendTracker(), random.Random(seed)
    )
    allowed = [n for n in ids if n not in excluded]
    assert result.is_ok() == bool(allowed)
    if allowed:
        n = int(result.ok.description.id[1:])
        assert n in allowed
        assert ZONES[n % 4] not in avoided or all(ZONES[each % 4] in avoided for each in allowed)


def test_warm_prefix_wins_until_loaded_and_zone_breaks_ties():
    # Guards against one target that gets all requests with a popular prefix.
    tracker, requirements = selection.SendTracker(), selection.TargetRequirements(
        "z2", model=MODEL, warm_prefixes=(7,)
    )
    for running, is_warm in ((1, True), (7, False)):
        entries = [entry_of(0, running, warm=(7,))] + [entry_of(n) for n in range(1, 9)]
        picks = {
            selection.select_target(
                entries, requirements, tracker, random.Random(seed)
            ).ok.description.id
            for seed in range(9)
        }
        assert (picks == {"t00"}) == is_warm
        assert ("t00" in picks) == is_warm
    requirements = selection.TargetRequirements("z2", model=MODEL)
    for seed in range(9):
        entries = [entry_of(0), entry_of(1)]
        assert (
            selection.select_target(entries, requirements, tracker, random.Random(seed)).ok
            is entries[1]
        )


def view_of(states, now):
    own = directory.Description("g0", "gateway", "z1", "a0", 1, peer_address="g0")
    view = directory.Directory(own)
    for n, (state, age) in enumerate(states, 1):
        description = directory.Description(f"g{n}", "gateway", ZONES[n % 4], f"a{n}", 1)
        row = directory.Row(description.digest, 1, age, state, 0, 0)
        view.apply_pull("p", directory.PullAnswer("p", 1, 0, 1, [row], [description]), now, now)
        # The second pull repeats the row; its description is stored by then.
        view.apply_pull("p", directory.PullAnswer("p", 1, 0, 1, [row], []), now, now)
    return view


def test_addresses_span_zones_and_omit_draining_and_silent_gateways():
    # Guards against callers that are directed to a gateway that is draining or gone.
    view = view_of([("ready", 0.1)] * 7 + [("draining", 0.1), ("ready", 2.6)], 50.0)
    used = set()
    for caller in range(60):
        answer = addresses.choose_addresses(view, "account", str(caller), 50.0)
        assert answer.valid_s == 10.0
        assert len({int(each[1:]) % 4 for each in answer.addresses}) == 4
        assert (
            answer.addresses
            == addresses.choose_addresses(view, "account", str(caller), 50.0).addresses
        )
        used.add(answer.addresses[0])
    assert used == {f"a{n}" for n in range(8)}
    alone = addresses.choose_addresses(view, "account", "1", 60.0)
    assert (alone.addresses, alone.valid_s) == (["a0"], 2.0)
    view.set_own_state("draining", 0, 0)
    assert "a0" not in addresses.choose_addresses(view, "account", "1", 50.0).addresses
