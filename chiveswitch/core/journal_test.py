"""Tests of the holder side of the journal against a model of what the owners sent."""

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st

from chiveswitch.core import codes, journal

KEY = ("account", "request")
CONFIG = journal.Config(1, ["a", "b", "c"])
EPOCHS = [(1, "a"), (2, "b"), (2, "c"), (3, "a")]


def new_store(**limits):
    return journal.JournalStore(journal.StoreSettings(**limits))


def install(epoch=(1, "a"), tokens=(), end=None, key=KEY, fresh=False, keep_s=10.0):
    snapshot = journal.Snapshot(CONFIG, b"h", keep_s, 1, list(tokens), end)
    return journal.Install(key, epoch, fresh, snapshot)


def append(offset, tokens, epoch=(1, "a"), generation=1, end=None, attempt=None):
    return journal.Append(KEY, epoch, 1, generation, offset, list(tokens), end, attempt)


class StoreMachine(stateful.RuleBasedStateMachine):
    """Owners of several epochs send slices of their tokens, in any order and repeatedly.

    Guards against a journal that mixes tokens of two owners or generations or has gaps, a lost
    promise, and a wrong count of charged bytes.
    """

    def __init__(self):
        super().__init__()
        self.store = new_store()
        self.promised = (0, "")

    def tokens_of(self, epoch, generation):
        return [f"{epoch}{generation}{offset}" for offset in range(12)]

    def send(self, message):
        (reply,) = self.store.handle(message, 1.0)
        if isinstance(reply, journal.Accepted):
            assert reply.epoch >= self.promised, "accepted below the promise"
            self.promised = reply.epoch
        return reply

    @stateful.rule(
        epoch=st.sampled_from(EPOCHS), length=st.integers(0, 8), number=st.integers(1, 3)
    )
    def install(self, epoch, length, number):
        tokens = self.tokens_of(epoch, number)[:length]
        snapshot = journal.Snapshot(CONFIG, b"h", 9.0, number, tokens)
        self.send(journal.Install(KEY, epoch, False, snapshot))

    @stateful.rule(
        epoch=st.sampled_from(EPOCHS),
        number=st.integers(1, 3),
        offset=st.integers(0, 8),
        length=st.integers(0, 4),
    )
    def append(self, epoch, number, offset, length):
        tokens = self.tokens_of(epoch, number)[offset : offset + length]
        reply = self.send(append(offset, tokens, epoch, number))
        journal_or_none = self.store.journal_by_key.get(KEY)
        if journal_or_none is None:
            assert reply == journal.Unknown(KEY, epoch)
        elif isinstance(reply, journal.Gap) and reply.length >= 0:
            assert reply.length < offset

    @stateful.rule(epoch=st.sampled_from(EPOCHS))
    def promise(self, epoch):
        reply = self.send(journal.Promise(KEY, epoch))
        if isinstance(reply, journal.Promised):
            assert epoch >= self.promised
            self.promised = epoch

    @stateful.rule(epoch=st.sampled_from(EPOCHS), version=st.integers(0, 2))
    def release(self, epoch, version):
        was_held = KEY in self.store.journal_by_key
        reply = self.send(journal.Release(KEY, epoch, version))
        if was_held and isinstance(reply, journal.Released):
            self.promised = max(self.promised, epoch)

    @stateful.rule()
    def tick(self):
        assert self.store.handle(journal.Tick(), 2.0) == []

    @stateful.invariant()
    def journal_is_a_prefix_of_one_owners_tokens(self):
        size = 0
        for held in self.store.journal_by_key.values():
            tokens = self.tokens_of(held.accepted, held.generation)
            assert held.tokens == tokens[: len(held.tokens)]
            assert held.promised == self.promised >= held.accepted
            size += journal.BYTES_PER_JOURNAL + 1
            size += sum(journal.BYTES_PER_TOKEN + len(token) for token in held.tokens)
        assert self.store.charged_bytes == size


StoreMachine.TestCase.settings = hypothesis.settings(max_examples=100, stateful_step_count=30)
TestStore = StoreMachine.TestCase


def test_append_below_the_promised_epoch_is_refused():
    # Guards against acks for an owner that was paused during a takeover and then resumes.
    store = new_store()
    store.handle(install(), 0.0)
    store.handle(journal.Promise(KEY, (2, "b")), 0.0)
    (reply,) = store.handle(append(0, ["x"]), 0.0)
    assert reply.code == codes.Code.EPOCH_SUPERSEDED and reply.promised == (2, "b")
    assert store.journal_by_key[KEY].tokens == []


def test_gap_names_the_length_held_and_a_new_generation_resets():
    # Guards against tokens appended after a gap, and tokens of two generations in one journal.
    store = new_store()
    store.handle(install(tokens=["x", "y"]), 0.0)
    assert store.handle(append(3, ["z"]), 0.0) == [journal.Gap(KEY, (1, "a"), 1, 2)]
    assert store.handle(append(1, ["p"], generation=2), 0.0) == [journal.Gap(KEY, (1, "a"), 2, 0)]
    (reply,) = store.handle(append(0, ["p"], generation=2, end=1), 0.0)
    assert (reply.generation, reply.length, reply.ended) == (2, 1, True)
    assert store.journal_by_key[KEY].tokens == ["p"]


def test_admission_never_replaces_a_journal():
    # Guards against a request repeated at another gateway whose fresh Install replaces the journal
    # of the first one.
    store = new_store()
    store.handle(install(tokens=["x"], fresh=True), 0.0)
    (reply,) = store.handle(install((1, "b"), fresh=True), 0.0)
    assert reply.code == codes.Code.EPOCH_SUPERSEDED
    assert store.journal_by_key[KEY].tokens == ["x"]


def test_attempt_note_survives_a_takeover_and_delayed_appends():
    # Guards against a new owner that reattaches to a superseded attempt, because a delayed append
    # with an older attempt replaced the newer one.
    store = new_store()
    store.handle(install(), 0.0)
    newer, older = journal.Attempt("e2", 2), journal.Attempt("e1", 1)
    store.handle(append(0, ["x"], attempt=newer), 0.0)
    store.handle(append(0, [], attempt=older), 0.0)
    (reply,) = store.handle(journal.Promise(KEY, (2, "b")), 0.0)
    assert reply.snapshot.attempt == newer


def test_limits_are_kept():
    # Guards against unbounded memory as the number or the length of journals grows.
    store = new_store(max_journals=2)
    replies = [store.handle(install(key=("a", str(n))), 0.0)[0] for n in range(3)]
    assert [type(r) for r in replies] == [journal.Accepted, journal.Accepted, journal.Refused]
    assert replies[2].code == codes.Code.QUEUE_FULL
    store = new_store(max_bytes=journal.BYTES_PER_JOURNAL + 100)
    store.handle(install(), 0.0)
    assert store.handle(append(0, ["x"]), 0.0)[0].length == 1
    assert store.handle(append(1, ["y"]), 0.0)[0].code == codes.Code.QUEUE_FULL
    assert store.handle(install(tokens=["x", "y"]), 0.0)[0].code == codes.Code.QUEUE_FULL


def test_finished_and_orphaned_journals_are_dropped():
    # Guards against journals that are never dropped, and promises lost when a journal is dropped.
    store = new_store(orphan_s=100.0, tombstone_s=50.0)
    store.handle(install(tokens=["x"], end=1, keep_s=10.0), 0.0)
    store.handle(install(key=("a", "open")), 0.0)
    assert store.handle(journal.Tick(), 9.9) == []
    assert store.handle(journal.Tick(), 10.0) == [journal.Dropped(KEY, True)]
    assert store.handle(install((0, "z")), 11.0)[0].code == codes.Code.EPOCH_SUPERSEDED
    assert store.handle(journal.Tick(), 100.0) == [journal.Dropped(("a", "open"), False)]
    assert store.charged_bytes == 0 and store.handle(journal.Lookup(KEY), 100.0) == [
        journal.Unknown(KEY)
    ]
    assert isinstance(store.handle(install((0, "z")), 101.0)[0], journal.Accepted)


def test_tombstone_of_a_finished_request_names_its_epochs():
    # Guards against a replica whose holder missed the Release and which can never be recognized as
    # left over from a finished request.
    store = new_store()
    store.handle(install(epoch=(1, "a")), 0.0)
    store.handle(install(epoch=(2, "b")), 1.0)
    store.handle(journal.Release(KEY, (2, "b"), 1, finished=True), 2.0)
    (reply,) = store.handle(journal.Lookup(KEY), 3.0)
    assert reply == journal.Unknown(KEY, finished_epochs=((1, "a"), (2, "b")))


def test_epochs_of_a_journal_are_bounded():
    # Guards against a journal that grows with every takeover.
    store = new_store()
    for counter in range(1, 3 * journal.MAX_ACCEPTED_EPOCHS):
        store.handle(install(epoch=(counter, "a")), 0.0)
    assert len(store.journal_by_key[KEY].accepted_epochs) == journal.MAX_ACCEPTED_EPOCHS


def test_tombstone_of_a_changed_holder_names_no_epochs():
    # Guards against a running request that is reported as finished because one holder left its
    # config.
    store = new_store()
    store.handle(install(), 0.0)
    store.handle(journal.Release(KEY, (1, "a"), 2), 1.0)
    assert store.handle(journal.Lookup(KEY), 2.0) == [journal.Unknown(KEY)]


def test_batch_reply_carries_all_acks_in_order():
    # Guards against lost acks when one entry of the batch is refused.
    store = new_store()
    store.handle(install(), 0.0)
    unknown = journal.Append(("a", "other"), (1, "a"), 1, 1, 0, ["x"])
    batch = journal.AppendBatch("a", [append(0, ["x"]), unknown, append(1, ["y"])])
    (reply,) = store.handle(batch, 0.0)
    kinds = [type(entry) for entry in reply.entries]
    assert kinds == [journal.Accepted, journal.Unknown, journal.Accepted]
    assert reply.entries[2].length == 2
