"""Tests of the control state: two replicas apply the same commands and are checked by an oracle."""

import hashlib

import hypothesis
import orjson
import pytest
from hypothesis import stateful, strategies

from chiveswitch.core import bundles, bundles_test, codes, control_state

control_thrift = control_state.control_thrift
LIMITS = control_state.Limits(operations=50, audit=20)
WRITERS = ("ann", "cy")
ACTORS = ("ann", "bob", "cy")
IDS = strategies.sampled_from(["o1", "o2", "o3", "o4"])
GATEWAYS = strategies.sampled_from(["g1", "g2"])
KEYS = strategies.sampled_from(["k1", "k2"])


def bundle_content(version: int, weight: float = 1) -> bytes:
    return orjson.dumps(bundles_test.example(version, weight))


def bootstrap_command():
    keys = [control_thrift.OperatorKey(**entry) for entry in bundles_test.example()["operators"]]
    return control_thrift.Bootstrap(operators=keys)


class Log:
    """A log with two replicas; `restart` replaces the second one with its restored snapshot."""

    def __init__(self, limits=LIMITS):
        self.limits = limits
        self.replicas = [control_state.ControlState(limits), control_state.ControlState(limits)]
        self.time_ms = 1_000
        self.index = 0

    def commit(self, record):
        self.index += 1
        data = control_state.encode_command(record, self.time_ms)
        results = [replica.apply(self.index, 1, data) for replica in self.replicas]
        first, second = (control_state.encode_result(result) for result in results)
        assert first == second
        assert self.replicas[0].digest() == self.replicas[1].digest()
        return control_state.decode_result(first)

    def restart(self):
        data = self.replicas[1].snapshot()
        self.replicas[1] = control_state.restore(data, self.limits).ok
        assert self.replicas[1].snapshot() == data


def code_of(result) -> codes.Code:
    return codes.Code.OK if result.is_ok() else result.error.code


def open_intent(key="k1", gateway="g1", operation="o1", body=b"b"):
    return control_thrift.OpenIntent(
        account="shop", key=key, body_digest=body, gateway=gateway, operation_id=operation
    )


def release_intent(key="k1", gateway="g1", operation="o1", body=b"b"):
    return control_thrift.ReleaseIntent(
        account="shop", key=key, body_digest=body, gateway=gateway, operation_id=operation
    )


def finish_intent(grant, key="k1", gateway="g1", body=b"done", known=True):
    return control_thrift.FinishIntent(
        account="shop", key=key, gateway=gateway, grant=grant, known=known, status=200, body=body
    )


def write_bundle(version, weight=1, actor="ann", operation="w1"):
    return control_thrift.WriteBundle(
        operation_id=operation, actor=actor, content=bundle_content(version, weight)
    )


def bundle_digest(version, weight=1):
    return bundles.content_digest(bundles.parse(bundle_content(version, weight)).ok)


def approve_bundle(version, weight=1, actor="bob", operation="a1", signer=None):
    digest = bundle_digest(version, weight)
    signature = bundles.sign_digest(bundles_test.private_key(signer or actor), digest)
    return control_thrift.ApproveBundle(
        operation_id=operation, actor=actor, version=version, digest=digest, signature=signature
    )


def roll_bundle(version, weight=1, actor="cy", operation="r1"):
    digest = bundle_digest(version, weight)
    return control_thrift.RollBundle(
        operation_id=operation, actor=actor, version=version, digest=digest
    )


class Operators(stateful.RuleBasedStateMachine):
    """Operators write, approve and roll equal versions, and resend commands with other content."""

    def __init__(self):
        super().__init__()
        self.log = Log()
        assert self.log.commit(bootstrap_command()).is_ok()
        self.write_by_version = {}
        self.approver_by_version = {}
        self.first_answer_by_operation = {}
        self.serial = 0
        self.in_force = 0

    def send(self, record):
        """Commits a command; if it was resent, checks its answer and returns None."""
        key = (record.actor, record.operation_id)
        result = self.log.commit(record)
        if key in self.first_answer_by_operation:
            first, encoded = self.first_answer_by_operation[key]
            if first == record:
                assert control_state.encode_result(result) == encoded
            else:
                assert code_of(result) == codes.Code.OPERATION_REUSED
            return None
        if result.is_ok():
            self.first_answer_by_operation[key] = (record, control_state.encode_result(result))
        return result

    @stateful.rule(
        version=strategies.integers(1, 4),
        weight=strategies.integers(1, 2),
        actor=strategies.sampled_from(ACTORS),
        operation=IDS,
    )
    def write(self, version, weight, actor, operation):
        result = self.send(write_bundle(version, weight, actor, operation))
        if result is None:
            return
        if actor not in WRITERS:
            assert code_of(result) == codes.Code.NOT_PERMITTED
        elif version not in self.write_by_version and version == len(self.write_by_version) + 1:
            assert result.is_ok()
            self.write_by_version[version] = (actor, weight)
        elif self.write_by_version.get(version, (None, None))[1] == weight:
            assert result.ok.owner == self.write_by_version[version][0]
        else:
            assert code_of(result) == codes.Code.VERSION_CONFLICT
            if version in self.write_by_version:
                assert f"by {self.write_by_version[version][0]}" in result.error.message

    @stateful.rule(
        version=strategies.integers(1, 4),
        weight=strategies.integers(1, 2),
        actor=strategies.sampled_from(ACTORS),
        operation=IDS,
        signer=strategies.sampled_from(ACTORS),
    )
    def approve(self, version, weight, actor, operation, signer):
        result = self.send(approve_bundle(version, weight, actor, operation, signer))
        if result is None:
            return
        writer, content_weight = self.write_by_version.get(version, (None, None))
        allowed = actor in ("bob", "cy") and actor == signer and content_weight == weight
        assert result.is_ok() == (allowed and writer != actor)
        if result.is_ok():
            self.approver_by_version[version] = actor

    @stateful.rule(
        version=strategies.integers(1, 4), weight=strategies.integers(1, 2), operation=IDS
    )
    def roll(self, version, weight, operation):
        result = self.send(roll_bundle(version, weight, "cy", operation))
        if result is None:
            return
        has_approval = (
            version in self.approver_by_version and self.write_by_version[version][1] == weight
        )
        assert result.is_ok() == (has_approval and version > self.in_force)
        if result.is_ok():
            assert result.ok.number == self.serial + 1
            self.serial, self.in_force = result.ok.number, version

    # With more versions the state would delete the oldest ones.
    @stateful.precondition(lambda self: len(self.write_by_version) < LIMITS.bundles)
    @stateful.rule(actor=strategies.sampled_from(ACTORS), skip_roll=strategies.booleans())
    def advance(self, actor, skip_roll):
        """Writes, approves and mostly rolls a version, which random commands seldom do in order."""
        fresh = f"n{self.log.index}"
        version = len(self.write_by_version) + 1
        self.write(version, 1, "ann", fresh + "w")
        self.approve(version, 1, actor, fresh + "a", actor)
        if not skip_roll:
            self.roll(version, 1, fresh + "r")

    @stateful.rule(version=strategies.integers(1, 3))
    def roll_again(self, version):
        """Rolls a version with a new operation id; an older version must never be accepted."""
        weight = self.write_by_version.get(version, (None, 1))[1]
        self.roll(version, weight, f"again{self.log.index}")

    @stateful.rule()
    def restart(self):
        self.log.restart()


class Intents(stateful.RuleBasedStateMachine):
    """Gateways open, release and finish intents; the oracle records who holds a permit to send."""

    def __init__(self):
        super().__init__()
        self.log = Log()
        self.permit_by_key = {}
        self.outcome_by_key = {}
        self.last_grant_by_key = {}
        self.barred_operations = set()

    @stateful.rule(key=KEYS, gateway=GATEWAYS, operation=IDS)
    def open(self, key, gateway, operation):
        result = self.log.commit(open_intent(key, gateway, operation)).ok
        if key in self.outcome_by_key:
            assert (result.kind, result.body) == ("recorded", self.outcome_by_key[key])
        elif key in self.permit_by_key:
            is_holder = self.permit_by_key[key][:2] == (gateway, operation)
            assert result.kind == ("granted" if is_holder else "pending")
            assert result.number == self.permit_by_key[key][2]
        elif (key, gateway, operation) in self.barred_operations:
            assert result.kind == "released"
        else:
            assert result.kind == "granted" and result.number > self.last_grant_by_key.get(key, 0)
            self.last_grant_by_key[key] = result.number
            self.permit_by_key[key] = (gateway, operation, result.number)

    @stateful.rule(key=KEYS, gateway=GATEWAYS, operation=IDS)
    def release(self, key, gateway, operation):
        result = self.log.commit(release_intent(key, gateway, operation)).ok
        if self.permit_by_key.get(key, (None, None))[:2] == (gateway, operation):
            if key not in self.outcome_by_key:
                del self.permit_by_key[key]
                self.barred_operations.add((key, gateway, operation))
        else:
            self.barred_operations.add((key, gateway, operation))
        expected = "recorded" if key in self.outcome_by_key else "released"
        if key in self.permit_by_key and key not in self.outcome_by_key:
            expected = "pending"
        assert result.kind == expected

    @stateful.rule(key=KEYS, gateway=GATEWAYS, shift=strategies.integers(0, 1), body=KEYS)
    def finish(self, key, gateway, shift, body):
        holder, _, grant = self.permit_by_key.get(key, ("", "", 7))
        result = self.log.commit(finish_intent(grant + shift, key, gateway, body.encode()))
        if key not in self.permit_by_key or holder != gateway or shift:
            assert result.is_error()
            return
        self.outcome_by_key.setdefault(key, body.encode())
        assert (result.ok.kind, result.ok.body) == ("recorded", self.outcome_by_key[key])

    @stateful.rule(key=KEYS)
    def reuse(self, key):
        result = self.log.commit(open_intent(key, "g9", "o9", b"other"))
        known = key in self.permit_by_key or key in self.last_grant_by_key
        hypothesis.assume(known)
        assert code_of(result) == codes.Code.KEY_REUSED
        result = self.log.commit(release_intent(key, "g9", "o9", b"other"))
        assert code_of(result) == codes.Code.KEY_REUSED

    @stateful.rule(step=strategies.integers(-50_000, 3_000))
    def clock(self, step):
        """Moves the leader's clock, also back as after an election; steps stay below retention."""
        self.log.time_ms += step

    @stateful.rule()
    def restart(self):
        self.log.restart()


STATEFUL_SETTINGS = hypothesis.settings(max_examples=40, stateful_step_count=25, deadline=None)
TestOperators = Operators.TestCase
TestOperators.settings = STATEFUL_SETTINGS
TestIntents = Intents.TestCase
TestIntents.settings = STATEFUL_SETTINGS


def test_pending_intent_outlives_every_retention_and_is_never_granted_again():
    # Guards against a second run of a call whose intent expired while its outcome was unknown.
    log = Log()
    grant = log.commit(open_intent()).ok.number
    for _ in range(30):
        log.time_ms += 2 * LIMITS.finished_ms
        assert log.commit(open_intent(gateway="g2")).ok.kind == "pending"
    assert log.commit(open_intent(gateway="g2")).ok.flag
    assert log.commit(finish_intent(grant, known=False)).ok.flag
    assert log.commit(release_intent()).ok.kind == "pending"
    assert log.commit(finish_intent(grant)).ok.kind == "recorded"
    for _ in range(15):
        log.time_ms += 2 * LIMITS.finished_ms
        log.commit(control_thrift.NextFence(target="t"))
    assert not log.replicas[0].intent_by_key


def test_one_command_with_a_wrong_clock_expires_nothing():
    # Guards against lost records after one command of a leader whose clock is far ahead.
    log = Log()
    log.commit(finish_intent(log.commit(open_intent()).ok.number))
    log.time_ms = 2**62
    assert log.commit(open_intent(gateway="g2")).ok.kind == "recorded"


def test_full_state_refuses_new_intents_and_large_outcomes_keep_the_status():
    # Guards against dropping an intent when the limit is reached, and against refusing the outcome
    # of a call because its body is too large: in both cases the call could run again.
    log = Log(control_state.Limits(intents=1, outcome_bytes=3))
    grant = log.commit(open_intent()).ok.number
    assert code_of(log.commit(open_intent("k2"))) == codes.Code.QUEUE_FULL
    result = log.commit(finish_intent(grant)).ok
    assert (result.status, result.body, result.flag) == (200, b"", True)


def test_writer_cannot_approve_even_under_a_new_name():
    # Guards against an approval by the writer after a rolled bundle has given the writer's key
    # another name.
    log = Log()
    log.commit(bootstrap_command())
    log.commit(write_bundle(1, actor="cy"))
    assert code_of(log.commit(approve_bundle(1, actor="cy"))) == codes.Code.APPROVER_IS_WRITER
    log.commit(write_bundle(2, actor="cy", operation="w2"))
    log.commit(approve_bundle(1))
    assert log.commit(roll_bundle(1)).ok.number == 1
    for replica in log.replicas:
        renamed = replica.operator_by_name.pop("cy")
        renamed.name = "dee"
        replica.operator_by_name["dee"] = renamed
    again = approve_bundle(2, actor="dee", signer="cy", operation="a2")
    assert code_of(log.commit(again)) == codes.Code.APPROVER_IS_WRITER


def test_older_or_equal_version_never_comes_back_into_force():
    # Guards against a late or repeated roll that replaces a newer version.
    log = Log()
    log.commit(bootstrap_command())
    for version in (1, 2, 3):
        log.commit(write_bundle(version, operation=f"w{version}"))
        log.commit(approve_bundle(version, operation=f"a{version}"))
    assert log.commit(roll_bundle(2, operation="r1")).ok.number == 1
    for version in (1, 2):
        again = log.commit(roll_bundle(version, operation=f"again{version}"))
        assert code_of(again) == codes.Code.STALE_SERIAL
    assert log.commit(roll_bundle(3, operation="r3")).ok.number == 2
    assert log.replicas[0].bundle_in_force().version == 3


def test_bootstrap_works_once_and_needs_two_people():
    # Guards against first operators without a second person who can approve, and against a second
    # bootstrap that replaces the operators.
    log = Log()
    alone = control_thrift.Bootstrap(operators=bootstrap_command().operators[2:])
    assert code_of(log.commit(alone)) == codes.Code.BUNDLE_INVALID
    assert log.commit(bootstrap_command()).is_ok()
    assert code_of(log.commit(bootstrap_command())) == codes.Code.NOT_PERMITTED


def test_durable_request_has_one_owner_per_generation():
    # Guards against two gateways that both own a request after a takeover.
    log = Log()
    accept = control_thrift.AcceptRequest(account="shop", request_id="r", body=b"x", owner="g1")
    other = control_thrift.AcceptRequest(account="shop", request_id="r", body=b"y", owner="g1")

    def claim(generation, owner, operation):
        return control_thrift.ClaimGeneration(
            account="shop",
            request_id="r",
            expected_generation=generation,
            owner=owner,
            operation_id=operation,
        )

    def end(generation):
        return control_thrift.FinishRequest(account="shop", request_id="r", generation=generation)

    assert log.commit(accept).ok.number == 1
    assert code_of(log.commit(other)) == codes.Code.KEY_REUSED
    assert log.commit(claim(1, "g2", "c1")).ok.number == 2
    assert log.commit(claim(1, "g2", "c1")).ok.number == 2
    assert code_of(log.commit(claim(1, "g3", "c2"))) == codes.Code.OWNERSHIP_LOST
    assert log.commit(accept).ok.owner == "g2"
    log.restart()
    assert [record.body for record in log.replicas[1].unfinished_requests("g2")] == [b"x"]
    assert not log.replicas[1].unfinished_requests("g1")
    assert code_of(log.commit(end(1))) == codes.Code.OWNERSHIP_LOST
    assert log.commit(end(2)).is_ok()
    assert log.commit(claim(2, "g3", "c3")).ok.kind == "finished"


def test_fences_rise_and_audit_is_bounded():
    # Guards against a fence that does not exceed an earlier one, and against an audit trail that
    # grows without limit.
    log = Log()
    log.commit(bootstrap_command())
    fences = [log.commit(control_thrift.NextFence(target="t")).ok for _ in range(3)]
    numbers = [(fence.term, fence.number) for fence in fences]
    assert numbers == sorted(set(numbers))
    for version in range(1, 30):
        log.commit(write_bundle(version, operation=f"w{version}"))
    audit = log.replicas[0].audit
    assert len(audit) == LIMITS.audit
    assert (audit[-1].actor, audit[-1].action, audit[-1].version) == ("ann", "write", 29)


def encoded_samples() -> list:
    log = Log()
    log.commit(bootstrap_command())
    log.commit(write_bundle(1))
    log.commit(open_intent())
    encoded = [
        control_state.encode_command(record, 5)
        for record in (write_bundle(1), open_intent(), bootstrap_command())
    ]
    return [log.replicas[0].snapshot(), *encoded]


SAMPLES = encoded_samples()


@hypothesis.settings(max_examples=150)
@hypothesis.given(strategies.sampled_from(SAMPLES), strategies.data())
def test_decoders_refuse_damaged_input_without_an_exception(data, draw):
    # Guards against damaged input that raises an exception, or that keeps a replica busy with a
    # huge element count.
    at = draw.draw(strategies.integers(0, len(data)))
    damage = draw.draw(strategies.binary(max_size=6))
    skip = draw.draw(strategies.integers(0, 6))
    damaged = data[:at] + damage + data[at + skip :]
    control_state.decode_command(damaged)
    control_state.decode_result(damaged)
    control_state.restore(damaged, LIMITS)
    state = control_state.ControlState(LIMITS)
    state.apply(1, 1, damaged)
    assert state.index == 1


@pytest.mark.parametrize("data", [b"", b"\x0f\x00\x09" * 1000, b"\x0f\x00\x01\x0c\x7f\xff\xff\xff"])
def test_hostile_counts_are_refused(data):
    # Guards against input whose element count makes the decoder allocate or loop without limit.
    assert control_state.decode_command(
        control_state.COMMAND_HEADER.pack(1, 1, 0) + data
    ).is_error()
    assert control_state.restore(data, LIMITS).is_error()


def test_digest_is_over_the_whole_state():
    # Guards against a digest that misses a difference between two replicas.
    log = Log()
    before = log.replicas[0].digest()
    assert before != hashlib.sha256(b"").digest()
    log.commit(control_thrift.NextFence(target="t"))
    assert log.replicas[0].digest() != before


def test_bundle_whose_canonical_form_is_too_large_is_refused(monkeypatch):
    # Guards against storing a bundle that cannot be parsed again, because its canonical form is
    # larger than its content. The roll of such a bundle failed on every replica.
    log = Log()
    log.commit(bootstrap_command())
    size = len(bundle_content(1))
    assert len(bundles.canonical(bundles.parse(bundle_content(1)).ok)) > size
    monkeypatch.setattr(bundles, "MAX_BYTES", size)
    assert code_of(log.commit(write_bundle(1))) is codes.Code.BUNDLE_INVALID
