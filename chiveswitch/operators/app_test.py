"""Tests of the administration API over loopback, with a control stand-in without consensus."""

import asyncio

import hypothesis
import orjson
import pytest
from hypothesis import strategies

from chiveswitch.core import bundles, codes
from chiveswitch.operators import app, client, standin_control
from chiveswitch.tools import sample, serving

ROLE_BY_TEST_OPERATOR = {**sample.ROLE_BY_OPERATOR, "will": "writer", "omar": "operator"}


def operators() -> list:
    return sample.sample_operators(ROLE_BY_TEST_OPERATOR)


def content(version: int, resume: str = "latency") -> bytes:
    return orjson.dumps(sample.bundle_object(operators(), version, resume))


def digest_of(data: bytes) -> str:
    return bundles.content_digest(bundles.parse(data).ok).hex()


def sign(name: str, digest: str) -> str:
    return bundles.sign_digest(sample.private_key(name), bytes.fromhex(digest)).hex()


class System:
    """The administration API on loopback, in front of a stand-in for the control process."""

    def __init__(self):
        self.background = serving.Background()
        self.control = standin_control.Control(operators())
        self.address = self.background.serve(app.build_app(self.control))

    def call(self, method, path, data=None, name="", operation_id="", **headers):
        """Sends one request as an operator; returns (HTTP status, JSON object)."""
        if name:
            headers["authorization"] = f"Bearer {name}-key"
        if operation_id:
            headers["idempotency-key"] = operation_id

        awaitable = client.send(self.address, method, path, headers, data, 10)
        response = self.background.run(awaitable)
        return response.status, response.value

    def change(self, path, body, name, operation_id="op"):
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        return self.call("POST", path, data, name, operation_id)

    def write(self, version, name="wren", resume="latency", operation_id="w"):
        return self.change("/v1/bundles", content(version, resume), name, operation_id)

    def approve(self, version, name="amos", signer="", operation_id="a", digest=""):
        digest = digest or digest_of(content(version))
        body = {"digest": digest, "signature": sign(signer or name, digest)}
        return self.change(f"/v1/bundles/{version}/approvals", body, name, operation_id)

    def roll(self, version, name="olga", operation_id="r"):
        body = {"digest": digest_of(content(version))}
        return self.change(f"/v1/bundles/{version}/roll", body, name, operation_id)

    def put_into_force(self, version):
        for index, change in enumerate((self.write, self.approve, self.roll)):
            assert change(version, operation_id=f"{version}-{index}")[0] == 200

    def client(self, name, *addresses, operation_timeout_s=10.0, attempt_timeout_s=2.0):
        return client.Client(
            client.ClientSettings(
                addresses or [self.address], f"{name}-key", operation_timeout_s, attempt_timeout_s
            )
        )

    def close(self):
        self.background.close()


@pytest.fixture(scope="module")
def running():
    served = System()
    yield served
    served.close()


@pytest.fixture
def system(running):
    # All tests of a module share one server, because stopping it takes a tenth of a second.
    running.control.__init__(operators())
    return running


def expect(response, code: codes.Code, http_status: int = 0):
    """Checks the code of a response and the fields of every error; returns the JSON object."""
    status, body = response
    assert body["code"] == int(code) and body["name"] == code.name, body
    meaning = codes.MEANING_BY_CODE[code]
    assert status == (http_status or meaning.http_status)
    if code is not codes.Code.OK:
        assert body["run"] == meaning.run.value and body["retry"] == meaning.retry.value
    return body


def test_each_operation_reaches_the_state(system):
    """Guards against an operation that succeeds without its change, or that shows another one."""
    digest = digest_of(content(1))
    status, body = system.call("POST", "/v1/bundles/check", content(1), "amos")
    assert (status, body) == (200, {"valid": True, "version": 1, "digest": digest})
    assert not system.control.proposed
    written = expect(system.write(1), codes.Code.OK)
    assert (written["result"], written["digest"], written["actor"]) == ("written", digest, "wren")
    expect(system.approve(1), codes.Code.OK)
    rolled = expect(system.roll(1), codes.Code.OK)
    assert (rolled["result"], rolled["serial"]) == ("rolled", 1)
    status, shown = system.call("GET", "/v1/bundles/in-force", None, "wren")
    assert status == 200 and shown["in_force"] and shown["approver"] == "amos"
    assert digest_of(orjson.dumps(shown["content"])) == digest == shown["digest"]
    assert system.call("GET", "/v1/bundles/1", None, "wren") == (200, shown)
    status, listed = system.call("GET", "/v1/bundles", None, "wren")
    assert (listed["serial"], listed["version_in_force"], listed["latest_version"]) == (1, 1, 1)
    assert [entry["version"] for entry in listed["bundles"]] == [1]
    status, audit = system.call("GET", "/v1/audit", None, "wren")
    changes = [(entry["actor"], entry["action"]) for entry in audit["entries"]]
    assert changes[1:] == [("wren", "write"), ("amos", "approve"), ("olga", "roll")]
    assert system.call("GET", "/v1/status")[1]["role"] == "leader"


@pytest.mark.parametrize("path", ["", "/check", "/1/approvals", "/1/roll"])
def test_changes_need_the_key_of_an_operator(system, path):
    """Guards against changes without an operator's key, and with its digest in place of the key."""
    system.write(1)
    before = len(system.control.proposed)
    for header in (
        "",
        "Bearer",
        "Bearer x",
        "Basic wren-key",
        f"Bearer {sample.digest('wren-key')}",
    ):
        headers = {"authorization": header} if header else {}
        response = system.call(
            "POST", f"/v1/bundles{path}", content(2), operation_id="x", **headers
        )
        expect(response, codes.Code.UNAUTHENTICATED)
    for read in ("", "/1", "/in-force"):
        expect(system.call("GET", f"/v1/bundles{read}"), codes.Code.UNAUTHENTICATED)
    expect(system.call("GET", "/v1/audit"), codes.Code.UNAUTHENTICATED)
    assert len(system.control.proposed) == before


def test_the_actor_comes_from_the_key(system):
    """Guards against writers who approve their own bundle by naming another actor.

    The actor would come from the body, the query or a header instead of the API key.
    """
    system.write(1)
    digest = digest_of(content(1))
    body = {"digest": digest, "signature": sign("amos", digest), "actor": "amos"}
    response = system.change("/v1/bundles/1/approvals", body, "wren")
    expect(response, codes.Code.BAD_REQUEST)
    del body["actor"]
    headers = {"authorization": "Bearer wren-key", "actor": "amos", "x-actor": "amos"}
    response = system.call(
        "POST",
        "/v1/bundles/1/approvals?actor=amos",
        orjson.dumps(body),
        operation_id="o",
        **headers,
    )
    expect(response, codes.Code.NOT_PERMITTED)
    assert system.control.proposed[-1].actor == "wren"


def test_roles_limit_the_operations(system):
    """Guards against operations outside of an operator's role, and approvals by the writer."""
    expect(system.write(1, "amos"), codes.Code.NOT_PERMITTED)
    expect(system.write(1, "olga"), codes.Code.OK)
    expect(system.approve(1, "wren"), codes.Code.NOT_PERMITTED)
    expect(system.approve(1, "olga"), codes.Code.APPROVER_IS_WRITER)
    expect(system.approve(1, "amos", "wren"), codes.Code.BAD_SIGNATURE)
    expect(system.roll(1), codes.Code.NOT_APPROVED)
    expect(system.approve(1), codes.Code.OK)
    expect(system.roll(1, "amos"), codes.Code.NOT_PERMITTED)
    expect(system.roll(1), codes.Code.OK)


def test_changes_need_a_unique_operation_id(system):
    """Guards against changes without an operation id and against two changes under one id."""
    expect(system.call("POST", "/v1/bundles", content(1), "wren"), codes.Code.KEY_REQUIRED)
    response = system.call("POST", "/v1/bundles", content(1), "wren", "with space")
    expect(response, codes.Code.BAD_REQUEST)
    first = expect(system.write(1), codes.Code.OK)
    assert expect(system.write(1), codes.Code.OK) == first
    pretty = orjson.dumps(orjson.loads(content(1)), option=orjson.OPT_INDENT_2)
    assert expect(system.change("/v1/bundles", pretty, "wren", "w"), codes.Code.OK) == first
    expect(system.write(2), codes.Code.OPERATION_REUSED)
    assert len(system.control.state.audit) == 2


def test_conflicts_name_the_winner(system):
    """Guards against a conflict that does not say who wrote the version first."""
    expect(system.write(1, "wren"), codes.Code.OK)
    body = expect(system.write(1, "will", "resources"), codes.Code.VERSION_CONFLICT)
    assert body["winner"]["writer"] == "wren" and body["winner"]["digest"] == digest_of(content(1))
    assert body["latest_version"] == 1 and "wren" in body["message"]
    body = expect(system.write(3, "will"), codes.Code.VERSION_CONFLICT)
    assert body["winner"]["version"] == 1
    other = digest_of(content(1, "resources"))
    body = expect(system.approve(1, digest=other), codes.Code.VERSION_CONFLICT)
    assert body["winner"]["digest"] == digest_of(content(1))
    expect(system.approve(2), codes.Code.BUNDLE_UNKNOWN)
    expect(system.roll(2), codes.Code.BUNDLE_UNKNOWN)
    expect(system.call("GET", "/v1/bundles/2", None, "wren"), codes.Code.BUNDLE_UNKNOWN)
    expect(system.call("GET", "/v1/bundles/in-force", None, "wren"), codes.Code.BUNDLE_UNKNOWN)


@pytest.mark.parametrize("code_name", ["MAY_HAVE_RUN", "LINK_TIMEOUT", "DISK_FULL"])
def test_unknown_outcome_becomes_may_have_run(system, code_name):
    """Guards against a change of unknown outcome that is reported as refused.

    The message must say that a resend under the same operation id returns the outcome.
    """
    system.control.applied_results.append(codes.failure(codes.Code[code_name], "No end is known."))
    body = expect(system.write(1), codes.Code.MAY_HAVE_RUN)
    assert "same operation id w" in body["message"] and body["operation_id"] == "w"
    assert expect(system.write(1), codes.Code.OK)["result"] == "written"
    assert len(system.control.state.audit) == 2


def test_control_that_raises_or_hangs_gets_a_code(system, monkeypatch):
    """Guards against a 500 or an endless wait when a proposal or a read has no result."""

    async def fail(_):
        raise OSError

    monkeypatch.setattr(system.control, "propose", fail)
    expect(system.write(1), codes.Code.MAY_HAVE_RUN)

    async def hang(_):
        await asyncio.sleep(60)

    monkeypatch.setattr(app, "CONTROL_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(system.control, "propose", hang)
    expect(system.write(1), codes.Code.MAY_HAVE_RUN)
    monkeypatch.setattr(system.control, "read", hang)
    expect(system.write(1), codes.Code.CONTROL_UNAVAILABLE)


def test_not_leader_names_the_leader(system):
    """Guards against a missing leader address, and one cut out of a longer invalid text."""
    refusal = codes.failure(codes.Code.NOT_LEADER, "The leader is at 10.0.0.3:7100.")
    system.control.read_results.append(refusal)
    body = expect(system.write(1), codes.Code.NOT_LEADER)
    assert body["leader"] == "10.0.0.3:7100"
    system.control.unapplied_results.append(
        codes.failure(codes.Code.NOT_LEADER, "No leader at 99.1.1.1.1:5")
    )
    assert expect(system.write(1), codes.Code.NOT_LEADER)["leader"] == ""


def test_every_problem_of_a_bundle_is_listed(system):
    """Guards against a check that stops at the first error, and a write of an invalid bundle."""
    bundle = orjson.loads(content(1))
    bundle["version"] = 0
    bundle["services"][1]["priority"] = "urgent"
    for path, name in (("/v1/bundles/check", "wren"), ("/v1/bundles", "wren")):
        body = expect(system.change(path, bundle, name), codes.Code.BUNDLE_INVALID)
        places = [problem["place"] for problem in body["problems"]]
        assert places == ["version", "services[1].priority"]
    assert not system.control.proposed


def test_oversized_bodies_are_refused(system, monkeypatch):
    """Guards against bodies that exhaust the memory: of bundles, and of other changes."""
    monkeypatch.setattr(bundles, "MAX_BYTES", 20_000)
    response = system.change("/v1/bundles", b" " * 20_001, "wren")
    expect(response, codes.Code.BODY_TOO_LARGE)
    response = system.change("/v1/bundles/1/roll", b" " * 4_097, "olga")
    expect(response, codes.Code.BODY_TOO_LARGE)
    assert not system.control.proposed


def test_stored_content_is_within_the_limit(system, monkeypatch):
    """Guards against a stored bundle that is too large to be parsed again when it is rolled.

    The stored form contains the defaults of absent fields and can exceed the limit that the body
    meets.
    """
    monkeypatch.setattr(bundles, "MAX_BYTES", len(content(1)))
    assert bundles.parse(content(1)).is_ok()
    expect(system.write(1), codes.Code.BUNDLE_INVALID)


def test_invalid_paths_get_a_code(system):
    """Guards against responses without a code for invalid paths, methods and versions."""
    for version in ("0", "-1", "x", "9007199254740993", "1" * 400, "%F0%9F%8C%BF", "1.0"):
        expect(system.call("GET", f"/v1/bundles/{version}", None, "wren"), codes.Code.BAD_REQUEST)
        response = system.change(f"/v1/bundles/{version}/roll", {"digest": "0" * 64}, "olga")
        expect(response, codes.Code.BAD_REQUEST)
    expect(system.call("GET", "/v2", None, "wren"), codes.Code.BAD_REQUEST, 404)
    expect(system.call("DELETE", "/v1/bundles", None, "wren"), codes.Code.BAD_REQUEST, 405)


@pytest.fixture(scope="module")
def shared():
    running = System()
    running.put_into_force(1)
    yield running
    running.close()


JSON_SCALARS = strategies.none() | strategies.booleans() | strategies.integers(-(2**63), 2**63 - 1)
JSON_VALUES = strategies.recursive(
    JSON_SCALARS | strategies.floats() | strategies.text(max_size=80),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=8,
)


@strategies.composite
def mutated_bundles(draw):
    """Returns a valid bundle with some values replaced and possibly truncated."""
    bundle = orjson.loads(content(2))
    for _ in range(draw(strategies.integers(0, 3))):
        part = bundle
        while isinstance(part, dict | list) and part:
            key = draw(strategies.sampled_from(sorted(part) if type(part) is dict else [0]))
            if draw(strategies.booleans()) or not isinstance(part[key], dict | list):
                part[key] = draw(JSON_VALUES)
                break
            part = part[key]
    data = orjson.dumps(bundle)
    return data[: draw(strategies.sampled_from([len(data), len(data) // 2, -1]))]


HEXADECIMAL_TEXTS = strategies.sampled_from([32, 64]).flatmap(
    lambda size: strategies.binary(min_size=size, max_size=size).map(bytes.hex)
)
VALUES_BY_FIELD = {
    name: JSON_VALUES | HEXADECIMAL_TEXTS for name in ("digest", "signature", "actor")
}
BODIES = (
    strategies.binary(max_size=200)
    | JSON_VALUES.map(orjson.dumps)
    | mutated_bundles()
    | strategies.just(b"[" * 5_000)
    | strategies.fixed_dictionaries({}, optional=VALUES_BY_FIELD).map(orjson.dumps)
    | strategies.fixed_dictionaries(
        dict.fromkeys(list(VALUES_BY_FIELD)[:2], HEXADECIMAL_TEXTS)
    ).map(orjson.dumps)
)


# Guards against a 500, and against a roll, for any body that is not in the documented format.
@hypothesis.given(
    body=BODIES,
    path=strategies.sampled_from(
        ["", "/check", "/1/approvals", "/1/roll", "/2/approvals", "/9/roll"]
    ),
    name=strategies.sampled_from(sorted(ROLE_BY_TEST_OPERATOR)),
)
@hypothesis.settings(max_examples=200)
def test_any_body_gets_a_numbered_result(shared, body, path, name):
    """Guards against a 500 or a roll by some body that the format does not have."""
    status, value = shared.call("POST", f"/v1/bundles{path}", body, name, f"{len(body)}")
    if status == 200:
        assert path in ("", "/check") and bundles.parse(body).is_ok()
        return
    expect((status, value), codes.Code(value["code"]))
    assert status < 500
    assert (shared.control.state.serial, shared.control.state.rolled_version) == (1, 1)
