"""Tests of the ranking of gateways."""

import collections

import hypothesis
import hypothesis.strategies as st

from chiveswitch.core import ranking

ZONES = st.lists(st.sampled_from(["a", "b", "c", "d"]), min_size=1, max_size=14)
KEYS = st.tuples(st.text(max_size=4), st.text(max_size=4))


def gateways_in(zones):
    return [ranking.Gateway(f"g{n}#0", zone) for n, zone in enumerate(zones)]


@hypothesis.given(ZONES, KEYS, st.sampled_from([3, 5]), st.data())
def test_holders_are_spread_over_zones(zones, key, copies, data):
    # Guards against two replicas in one availability zone while another zone has none.
    gateways = gateways_in(zones)
    owner = data.draw(st.sampled_from(gateways))
    holders = ranking.choose_holders(key, owner.holder, gateways, copies)
    assert holders[0] == owner.holder
    assert len(set(holders)) == len(holders) == min(copies, len(gateways))
    zone_by_holder = {g.holder: g.availability_zone for g in gateways}
    counts = collections.Counter(zone_by_holder[holder] for holder in holders)
    size = collections.Counter(zones)
    for zone in size:
        if counts[zone] < size[zone]:
            assert max(counts.values()) <= counts[zone] + 1


@hypothesis.given(ZONES, KEYS, st.data())
def test_loss_of_a_gateway_keeps_the_order_of_the_others(zones, key, data):
    # Guards against lookup candidates that change for requests whose holders are all alive, because
    # the loss of one gateway changes the order of the others.
    gateways = gateways_in(zones)
    lost = data.draw(st.sampled_from(gateways))
    rest = [g for g in gateways if g is not lost]
    assert ranking.rank_gateways(key, rest) == [
        g for g in ranking.rank_gateways(key, gateways) if g is not lost
    ]


@hypothesis.given(ZONES, KEYS)
def test_candidates_are_two_per_zone_and_the_known_holders(zones, key):
    # Guards against a lookup that leaves out the two highest ranked gateways of a zone or a known
    # holder.
    gateways = gateways_in(zones)
    candidates = ranking.choose_lookup_candidates(key, gateways, ["known#3"])
    assert candidates[0] == "known#3" and len(set(candidates)) == len(candidates)
    for zone in set(zones):
        ranked = [
            g.holder for g in ranking.rank_gateways(key, gateways) if g.availability_zone == zone
        ]
        assert [holder for holder in candidates if holder in ranked[:2]] != []
        assert [holder for holder in ranked if holder in candidates] == ranked[:2]
