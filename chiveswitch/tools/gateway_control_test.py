"""Tests of a gateway's connection to control, with a client that returns scripted answers."""

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
    """Answers proposals and lookups from lists, in order, and records the proposals."""

    def __init__(self, answers, found):
        self.answers = answers
        self.found = found
        self.proposals = []

    async def propose(self, record, _deadline):
        self.proposals.append(record)
        return self.answers.pop(0)

    async def find_request(self, account, request_id, _deadline):
        return self.found.pop(0)

    async def may_live(self, _holder, _deadline):
        return expression.Ok(False)


def lookup_result(found=True, body=b"", owner="g.1", generation=1, finished=False):
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


def run(answers, found, action, event_count, monkeypatch):
    """Executes an action and waits for a number of events.

    Args:
        answers: Results of the proposals, in order.
        found: Results of the lookups, in order.
        action: Action of `gateway_messages` to execute.
        event_count: Number of posted events to wait for.
        monkeypatch: Fixture of pytest.

    Returns:
        The posted events and the client.
    """
    monkeypatch.setattr(gateway_control, "SETTLE_INTERVAL_SECONDS", 0.001)
    monkeypatch.setattr(gateway_control, "FINISH_RETRY_INTERVAL_SECONDS", 0.001)

    async def scenario():
        posted = []
        enough = asyncio.Event()

        def post(events):
            posted.extend(events)
            if len(posted) >= event_count:
                enough.set()

        core = types.SimpleNamespace(epochs=types.SimpleNamespace(holder="g.1"), open_by_key={})
        client = Client(answers, found)
        feed = gateway_control.ControlFeed(client, core, post)
        getattr(feed, NAME_BY_ACTION[type(action)])(action)
        if event_count:
            async with asyncio.timeout(10.0):
                await enough.wait()
        while feed._finish_tasks:
            await asyncio.wait(feed._finish_tasks)
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


def run_status(failure):
    return codes.MEANING_BY_CODE[failure.code].run


def test_commit_of_unknown_fate_is_reported_as_unknown_and_run_in_the_end(monkeypatch):
    # Guards against "not run" for a request that control may hold, and against a request that is
    # never run because control holds it for a live gateway whose commit seemed to be lost.
    posted, _ = run(
        [UNKNOWN],
        [UNAVAILABLE, lookup_result(found=False), lookup_result()],
        messages.CommitRequest(KEY, header("a")),
        2,
        monkeypatch,
    )
    assert type(posted[0]) is messages.RequestCommitted
    assert run_status(posted[0].failure) == codes.RunStatus.UNKNOWN
    assert type(posted[1]) is messages.Adopt
    assert posted[1].key == KEY


def test_commit_that_surely_failed_is_reported_as_not_run(monkeypatch):
    # Guards against a caller that waits for the answer of a request that control never received.
    posted, _ = run([UNAVAILABLE], [], messages.CommitRequest(KEY, header("a")), 1, monkeypatch)
    assert run_status(posted[0].failure) == codes.RunStatus.NOT_RUN


@pytest.mark.parametrize(
    ("committed", "code"),
    [
        (lookup_result(body=header("a"), owner="other.1"), codes.Code.IN_PROGRESS),
        (lookup_result(body=header("b"), owner="other.1"), codes.Code.KEY_REUSED),
        (lookup_result(finished=True), codes.Code.IN_PROGRESS),
        (UNAVAILABLE, codes.Code.MAY_HAVE_RUN),
    ],
)
def test_same_request_accepted_by_another_gateway_is_no_reuse(committed, code, monkeypatch):
    # Guards against "not run" for a request that another gateway runs. Control reports KEY_REUSED,
    # because the headers differ in the seed although the caller's body is the same.
    reused = codes.failure(codes.Code.KEY_REUSED, "another body")
    action = messages.CommitRequest(KEY, header("a"))
    posted, _ = run([reused], [committed], action, 1, monkeypatch)
    assert posted[0].failure.code == code


def test_accepted_request_of_another_owner_is_not_run_here(monkeypatch):
    # Guards against two owners: control may assign the request to another gateway before the answer
    # to the commit arrives.
    answer = expression.Ok(control_state.answer("accepted", number=2, owner="other.1"))
    action = messages.CommitRequest(KEY, header("a"))
    posted, _ = run([answer], [], action, 1, monkeypatch)
    assert run_status(posted[0].failure) == codes.RunStatus.UNKNOWN


@pytest.mark.parametrize("answer", [UNKNOWN, UNAVAILABLE])
def test_failed_lookup_or_claim_never_denies_the_request(answer, monkeypatch):
    # Guards against "not run" for an accepted request that may have run in an earlier generation.
    posted, _ = run([], [UNAVAILABLE], messages.FindRequest(KEY), 1, monkeypatch)
    assert run_status(posted[0].failure) == codes.RunStatus.UNKNOWN
    action = messages.ClaimGeneration(KEY, 1)
    posted, _ = run([answer], [lookup_result(owner="other.1")], action, 1, monkeypatch)
    assert run_status(posted[0].failure) == codes.RunStatus.UNKNOWN


def test_ended_request_is_not_started_again(monkeypatch):
    # Guards against a second run of a request that has ended and whose answer is no longer kept.
    posted, _ = run([], [lookup_result(finished=True)], messages.FindRequest(KEY), 1, monkeypatch)
    assert posted[0].header is None
    assert posted[0].failure.code == codes.Code.REQUEST_UNKNOWN


def test_end_is_recorded_for_the_generation_in_control(monkeypatch):
    # Guards against an end that is not retried after a failure, so that control has the request run
    # again.
    done = expression.Ok(control_state.answer("finished", number=3))
    _, client = run(
        [UNAVAILABLE, UNKNOWN, done],
        [UNAVAILABLE, lookup_result(generation=3)],
        messages.FinishRequest(KEY),
        0,
        monkeypatch,
    )
    assert [record.generation for record in client.proposals] == [3, 3, 3]
