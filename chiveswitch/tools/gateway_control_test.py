"""Tests of a gateway's connection to control with a client that answers as told."""

import asyncio
import types

import expression
import pytest

from chiveswitch.core import codes, control_state, headers
from chiveswitch.core import gateway_messages as messages
from chiveswitch.peers import control_client
from chiveswitch.tools import gateway_control

wire = control_state.control_thrift
KEY = ("field", "r1")


class Client:
    """Answers proposals and reads from lists and notes what was asked."""

    def __init__(self, answers, found):
        self.answers = answers
        self.found = found
        self.asked = []

    async def propose(self, record, _deadline):
        self.asked.append(record)
        return self.answers.pop(0)

    async def find_request(self, account, request_id, _deadline):
        return self.found.pop(0)


def read(found=True, body=b"", owner="g.1", generation=1, finished=False):
    return expression.Ok(
        control_client.rpc.ReadAnswer(
            code=1000,
            message="",
            leader_address="",
            found=found,
            body=body,
            owner=owner,
            generation=generation,
            finished=finished,
            status=b"",
        )
    )


def header(prompt):
    service = types.SimpleNamespace(
        name="digest",
        model="writer",
        adapter="",
        version="1",
        priority="batch",
        journal_copies=3,
        durable=True,
        resume="latency",
        on_absence="continue",
        absence_grace_s=5,
        extra_work_percent=10,
        keep_answer_s=60,
    )
    submit = types.SimpleNamespace(account="field", request_id="r1", prompt=prompt, max_tokens=5)
    return headers.encode(headers.pin_request(submit, service, 1, "answer", 7))


def run(answers, found, action, wanted, monkeypatch):
    """Executes an action and returns the posted events once there are as many as wanted."""
    monkeypatch.setattr(gateway_control, "SETTLE_SECONDS", 0.001)
    monkeypatch.setattr(gateway_control, "FINISH_RETRY_SECONDS", 0.001)

    async def scenario():
        posted = []
        enough = asyncio.Event()

        def post(events):
            posted.extend(events)
            if len(posted) >= wanted:
                enough.set()

        core = types.SimpleNamespace(epochs=types.SimpleNamespace(holder="g.1"), open_by_key={})
        client = Client(answers, found)
        feed = gateway_control.ControlFeed(client, core, post)
        getattr(feed, NAME_BY_ACTION[type(action)])(action)
        if wanted:
            async with asyncio.timeout(10.0):
                await enough.wait()
        while feed._finishing:
            await asyncio.wait(feed._finishing)
        for task in feed._tasks:
            task.cancel()
        return posted, client

    return asyncio.run(scenario())


NAME_BY_ACTION = {
    messages.CommitRequest: "commit_request",
    messages.FindRequest: "find_request",
    messages.ClaimGeneration: "claim_generation",
    messages.FinishRequest: "finish_request",
}
UNKNOWN = codes.failure(codes.Code.MAY_HAVE_RUN, "lost")
UNAVAILABLE = codes.failure(codes.Code.CONTROL_UNAVAILABLE, "no leader")


def meaning(failure):
    return codes.MEANING_BY_CODE[failure.code].run


def test_commit_of_unknown_fate_is_reported_as_unknown_and_run_in_the_end(monkeypatch):
    # Guards against "not run" for a request that control may hold, and against a request that
    # control keeps for a live gateway which does not know of it.
    posted, _ = run(
        [UNKNOWN],
        [UNAVAILABLE, read(found=False), read()],
        messages.CommitRequest(KEY, header("a")),
        2,
        monkeypatch,
    )
    assert type(posted[0]) is messages.RequestCommitted
    assert meaning(posted[0].failure) == codes.RunStatus.UNKNOWN
    assert type(posted[1]) is messages.Adopt
    assert posted[1].key == KEY


def test_commit_that_surely_failed_is_reported_as_not_run(monkeypatch):
    # Guards against a caller that must wait for an answer that never comes.
    posted, _ = run([UNAVAILABLE], [], messages.CommitRequest(KEY, header("a")), 1, monkeypatch)
    assert meaning(posted[0].failure) == codes.RunStatus.NOT_RUN


@pytest.mark.parametrize(
    ("committed", "code"),
    [
        (read(body=header("a"), owner="other.1"), codes.Code.IN_PROGRESS),
        (read(body=header("b"), owner="other.1"), codes.Code.KEY_REUSED),
        (read(finished=True), codes.Code.IN_PROGRESS),
        (UNAVAILABLE, codes.Code.MAY_HAVE_RUN),
    ],
)
def test_same_request_accepted_by_another_gateway_is_no_reuse(committed, code, monkeypatch):
    # Guards against "not run" for a request that another gateway runs: its header differs in the
    # seed although the caller's body is the same.
    reused = codes.failure(codes.Code.KEY_REUSED, "another body")
    action = messages.CommitRequest(KEY, header("a"))
    posted, _ = run([reused], [committed], action, 1, monkeypatch)
    assert posted[0].failure.code == code


def test_accepted_request_of_another_owner_is_not_run_here(monkeypatch):
    # Guards against two owners, when control assigned the request away before the answer came.
    answer = expression.Ok(control_state.answer("accepted", number=2, owner="other.1"))
    action = messages.CommitRequest(KEY, header("a"))
    posted, _ = run([answer], [], action, 1, monkeypatch)
    assert meaning(posted[0].failure) == codes.RunStatus.UNKNOWN


@pytest.mark.parametrize("answer", [UNKNOWN, UNAVAILABLE])
def test_failed_lookup_or_claim_never_denies_the_request(answer, monkeypatch):
    # Guards against "not run" for an accepted request that ran in an earlier generation.
    posted, _ = run([], [UNAVAILABLE], messages.FindRequest(KEY), 1, monkeypatch)
    assert meaning(posted[0].failure) == codes.RunStatus.UNKNOWN
    action = messages.ClaimGeneration(KEY, 1)
    posted, _ = run([answer], [read(owner="other.1")], action, 1, monkeypatch)
    assert meaning(posted[0].failure) == codes.RunStatus.UNKNOWN


def test_ended_request_is_not_started_again(monkeypatch):
    # Guards against a second run of a request whose answer was kept and dropped.
    posted, _ = run([], [read(finished=True)], messages.FindRequest(KEY), 1, monkeypatch)
    assert posted[0].header is None
    assert posted[0].failure.code == codes.Code.REQUEST_UNKNOWN


def test_end_is_recorded_for_the_generation_that_control_knows(monkeypatch):
    # Guards against an end that is dropped at the first failure, so that the request runs again.
    done = expression.Ok(control_state.answer("finished", number=3))
    _, client = run(
        [UNAVAILABLE, UNKNOWN, done],
        [UNAVAILABLE, read(generation=3)],
        messages.FinishRequest(KEY),
        0,
        monkeypatch,
    )
    assert [record.generation for record in client.asked] == [3, 3, 3]
