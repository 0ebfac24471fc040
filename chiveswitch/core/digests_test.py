"""Tests of the prefix digest."""

import hypothesis
import hypothesis.strategies as st

from chiveswitch.core import digests

TOKENS = st.lists(st.text(max_size=6), max_size=12)


@hypothesis.given(TOKENS, TOKENS)
def test_digest_equal_only_for_equal_tokens(left, right):
    # Guards against equal digests of prefixes whose tokens differ but concatenate to the same text.
    assert (digests.of_tokens(left) == digests.of_tokens(right)) == (left == right)


@hypothesis.given(TOKENS, st.integers(0, 12))
def test_digest_does_not_depend_on_batches(tokens, cut):
    # Guards against a digest that differs when the same tokens arrive in other batches.
    digest = digests.PrefixDigest()
    digest.add(tokens[:cut])
    digest.add(tokens[cut:])
    assert digest.hexdigest() == digests.of_tokens(tokens)
    assert digest.length == len(tokens)
