"""Drives messages of strangers through decoder, hub, encoder and watching node as one path.

Two hubs and a node without a disk exchange real watches in virtual time. Sound workers announce
themselves to the first hub; mutated messages reach either hub through the platform's API. The
checks: no exception leaves the path, each answer to a watch can be encoded, and once the strangers
are silent, every process lists the sound workers as they announced themselves.

`ODD_ENTRIES_EXAMPLES=20000 python -m pytest features/odd_entries_test.py` is a long run.
"""

import asyncio
import copy
import os
import random
import unittest.mock

import hypothesis
import orjson
from hypothesis import strategies as st

from chiveswitch.core import routing, target_table
from chiveswitch.forwarding import channel, exchange, http_server
from chiveswitch.peers import hub, hub_watch, strict
from chiveswitch.platform import api, documents, headers
from chiveswitch.tools import node, node_leaves, node_view
from features import platform_standins

EXAMPLES = int(os.environ.get("ODD_ENTRIES_EXAMPLES", "60"))
SETTINGS = hypothesis.settings(max_examples=EXAMPLES)
HEARTBEAT_SECONDS = 1.2
# Heartbeats after the last message of a stranger: until its entries are overdue, and one more.
QUIET_HEARTBEATS = 5
SOUND_IDS = ("i-1", "i-2", "i-3")


class Member(node.Node):
    """A node that is a hub, without sockets, control and forwarded path."""

    def __init__(self, name, now):
        texts = {"peer_address": name, "control_address": f"{name}:7", "caller_address": "c"}
        self.settings = unittest.mock.MagicMock(**texts, availability_zone="z", region="r")
        self.settings.name = name
        self.log = unittest.mock.MagicMock()
        self.control = None
        self.table = target_table.TargetTable()
        self.view = node_view.NodeView(
            self.settings, 1, self.table, unittest.mock.MagicMock(), self.log, None, None
        )
        self.watcher = hub_watch.HubWatcher(self.view, [], name, random.Random(1))
        self.watch_by_hub = {}
        self._leave_exchange = node_leaves.LeaveExchange(self)
        self.leave_store = unittest.mock.AsyncMock()
        self.leave_store.store.return_value = True
        self.forwarder = unittest.mock.MagicMock()
        self.forwarder.spawn = asyncio.ensure_future
        self.hub = hub.Hub(
            HEARTBEAT_SECONDS,
            lambda: hub.Members(-1, []),
            hub.PublishedBundle,
            self.is_member,
            self._on_hub_changed,
            now,
        )

    def is_member(self):
        return True

    def _update_state(self):
        pass

    async def watch(self, other):
        """Applies what another member has published since the last call."""
        state = self.watch_by_hub.get(other.settings.name)
        if state is None:
            link = unittest.mock.MagicMock(is_receiving=False)
            state = hub_watch.HubState(other.settings.name, link)
            self.watch_by_hub[other.settings.name] = state
        request = self.watcher._build_watch(state, [], [], False)
        if not other.hub._has_changes_for(request):
            return
        result = await other.hub.serve_watch(strict.encode(request), "")
        self.watcher._apply_answer(state, strict.decode(hub.hub_thrift.WatchAnswer, result.ok).ok)


class Responder:
    """Keeps the status of a response."""

    status = None

    def send(self, status, _headers, _body=b""):
        self.status = status


class Cell:
    """Two hubs, a node that watches them, and sound workers."""

    def __init__(self):
        self.now = 0.0
        self.members = [Member(name, lambda: self.now) for name in ("h1", "h2", "plain")]
        self.sequence = 0

    async def send(self, member, method, worker_id, body):
        request = http_server.Request(0.0)
        request.method, request.body = method, bytearray(body)
        request.request_target = f"/instances/{worker_id}"
        responder = Responder()
        is_unknown = member.table.find(worker_id) is None
        await api.handle_request(member, request, responder)
        # A node leaves the departure of a worker that it does not know to other nodes.
        refusals = (400, 503) if method == "DELETE" and is_unknown else (400,)
        assert responder.status in (200, *refusals)
        return responder.status

    async def beat(self):
        """Sends a heartbeat of each sound worker and lets the members exchange their reports."""
        self.now += HEARTBEAT_SECONDS
        self.sequence += 1
        for worker_id in SOUND_IDS:
            body = orjson.dumps({**sound_heartbeat(worker_id), "sequence": self.sequence})
            assert await self.send(self.members[0], "PUT", worker_id, body) == 200
        for member in self.members[:2]:
            member.hub.sweep()
        await self.exchange()

    async def exchange(self):
        for member in self.members:
            for other in self.members[:2]:
                if other is not member:
                    await member.watch(other)

    def check(self):
        for member in self.members:
            for worker_id in SOUND_IDS:
                report = member.table.find(worker_id).report
                sound = sound_heartbeat(worker_id)
                assert (report.service, report.address) == (sound["service"], sound["address"])
                assert (report.born_ms, report.slots) == (sound["born"], sound["slots"])
                assert (report.state, report.overdue) == (target_table.READY, False)
            found = [each.target_id for each in member.table.ready_targets("s")]
            assert set(SOUND_IDS) <= set(found)
            assert not any(call.args[1] == "report_skipped" for call in member.log.line.mock_calls)


def sound_heartbeat(worker_id):
    return {
        "service": "s",
        "address": f"10.0.0.{worker_id[-1]}:80",
        "zone": "z",
        "version": "v",
        "slots": 4,
        "state": "ready",
        "cold-remaining-ms": 0,
        "born": 1000,
    }


def nested(depth):
    return b"[" * depth + b"]" * depth


odd_numbers = st.sampled_from(
    [0, 1, -1, 2**31 - 1, 2**31, 2**53, 2**63 - 1, 2**63, 2**64 - 1, 1e308]
)
odd_texts = st.sampled_from(
    ["", "s", "other", "ready", "10.0.0.2:80", "10.0.0.9:80", "h:1", ":", "1.2.3.4:" + "9" * 5000]
) | st.text(max_size=8)
odd_values = st.one_of(
    odd_numbers,
    odd_texts,
    st.none(),
    st.booleans(),
    st.floats(),
    st.lists(st.integers(0, 3), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(0, 3), max_size=2),
).map(orjson.dumps) | st.sampled_from(
    [nested(900), nested(5000), b"1" * 400, b"1e400", b"-0.0", b"\xff", b'"\\ud800"', b""]
)


def encode_fields(body_by_name):
    return b"{" + b",".join(orjson.dumps(k) + b":" + v for k, v in body_by_name.items()) + b"}"


@st.composite
def odd_heartbeats(draw):
    """Returns (method, id, body) of a message about a worker that a stranger may send.

    A well-formed leave under the id of a sound worker is left out: nothing distinguishes it from
    one of that worker.
    """
    if draw(st.integers(0, 9)) == 0:
        method = draw(st.sampled_from(["PUT", "DELETE"]))
        return method, draw(st.sampled_from(["x", "", "i" * 300])), draw(st.binary(max_size=40))
    worker_id = draw(st.sampled_from([*SOUND_IDS, "x", ""]))
    fields = {name: orjson.dumps(value) for name, value in sound_heartbeat("i-2").items()}
    fields["sequence"] = b"5"
    for _ in range(draw(st.integers(0, 2))):
        name = draw(st.sampled_from(sorted(fields)))
        is_number = name in ("slots", "born", "sequence")
        fields[name] = draw(odd_numbers.map(orjson.dumps) if is_number else odd_values)
    if draw(st.integers(0, 9)) == 0:
        del fields[draw(st.sampled_from(sorted(fields)))]
    if worker_id in SOUND_IDS:
        return "PUT", worker_id, encode_fields(fields)
    return draw(st.sampled_from(["PUT", "DELETE"])), worker_id, encode_fields(fields)


# Guards against one odd entry that ends the publication of the others, or a process.
@SETTINGS
@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 1), odd_heartbeats(), st.booleans()), max_size=8)
)
def test_sound_workers_are_listed_beside_odd_entries(messages):
    async def scenario():
        cell = Cell()
        await cell.beat()
        for hub_number, (method, worker_id, body), passes_time in messages:
            await cell.send(cell.members[hub_number], method, worker_id, body)
            await cell.exchange()
            if passes_time:
                await cell.beat()
        for _ in range(QUIET_HEARTBEATS):
            await cell.beat()
        cell.check()

    # What the decoders accept can be encoded, so that the hub's second line is not needed.
    fault = AssertionError("an entry cannot be encoded")
    with unittest.mock.patch.object(hub.Hub, "_drop_unencodable", side_effect=fault):
        asyncio.run(scenario())


@st.composite
def odd_configs(draw):
    """Returns a config in which up to three values are replaced by odd ones."""
    document = copy.deepcopy(platform_standins.make_config(7))
    odd = {}
    for _ in range(draw(st.integers(0, 3))):
        parent = document
        while True:
            keys = sorted(parent) if isinstance(parent, dict) else list(range(len(parent)))
            if not keys:
                break
            key = draw(st.sampled_from(keys))
            if not isinstance(parent[key], (dict, list)) or draw(st.integers(0, 5)) == 0:
                marker = f"odd-{len(odd)}"
                is_number = isinstance(parent[key], int) and draw(st.booleans())
                values = odd_numbers.map(orjson.dumps) if is_number else odd_values
                odd[marker], parent[key] = draw(values), marker
                break
            parent = parent[key]
    body = orjson.dumps(document)
    for marker, value in odd.items():
        body = body.replace(b'"%b"' % marker.encode(), value)
    return body


# Guards against a config that is accepted although a gateway cannot read it, choose a service or
# ask for a grant with it.
@hypothesis.settings(max_examples=5 * EXAMPLES)
@hypothesis.given(odd_configs())
def test_an_accepted_config_can_be_sent_and_used(body):
    decoded = documents.decode_config(body)
    if decoded.is_error() or routing.find_faults(decoded.ok):
        return
    bundle = routing.decode(decoded.ok.encode()).ok
    assert bundle.source.encode() == body
    for route in bundle.routes:
        names, weights = list(route.weight_by_service), list(route.weight_by_service.values())
        assert random.choices(names, weights)[0] in bundle.service_by_name
        priorities = [route.priority, *[each.priority for each in bundle.accounts]]
        for priority in priorities:
            request = hub.hub_thrift.QuotaRequest(
                targets=[],
                account="",
                priority=priority if priority is not None else 0,
                max_wait_ms=int(route.timeout_s * 1000),
                resumed=False,
            )
            assert strict.encode(request)


HEADER_NAMES = [
    "X-Request-Id",
    "X-Deadline-Ms",
    "X-Token-Usage",
    "X-Prompt-Prefix",
    "X-Model",
    "Last-Event-Id",
    "Authorization",
    "Connection",
    "X-Instance-Load",
    "Server-Limit",
    "X-Not-Executed",
]
header_texts = st.one_of(
    st.text(st.characters(min_codepoint=0, max_codepoint=255), max_size=12),
    st.sampled_from(["9" * 5000, "1,2", "9" * 5000 + ",1", "1e999", "nan", "-1", "\u00b2,1,1"]),
    st.integers(0, 2**70).map(str),
)


# Guards against a header of a caller or worker that raises an exception in place of a response.
@hypothesis.settings(max_examples=5 * EXAMPLES)
@hypothesis.given(
    st.dictionaries(st.sampled_from(HEADER_NAMES), header_texts),
    st.binary(max_size=30) | odd_values.map(lambda value: b'{"handle":%b}' % value),
)
def test_headers_of_strangers_raise_no_exception(text_by_name, body):
    dialect = headers.Dialect()
    request = http_server.Request(0.0)
    request.method, request.request_target = "POST", "/a"
    response = channel.Response()
    response.status, response.body = 200, bytearray(body)
    for each in (request, response):
        each.headers = list(text_by_name.items())
        each.value_by_header = {name.lower(): text for name, text in text_by_name.items()}
    caller = dialect.decode_request(request)
    options = exchange.SendOptions("i-1", 1.0, "account")
    options.last_event_id = caller.last_event_id
    dialect.decode_response(response)
    options.resume_reference = dialect.decode_copy_response(response, "10.0.0.1:80")
    head, _, _ = dialect.encode_request(request, caller, options).partition(b"\r\n\r\n")
    assert len(head.split(b"\r\n")) <= len(text_by_name) + 7
    run = hub.hub_thrift.RunReport(
        run_id=caller.request_id,
        request_digest=caller.session,
        target_id="i-1",
        copy_target_id="",
        tokens=caller.prompt_tokens + caller.max_response_tokens,
        state=hub.RUN_ACTIVE,
        node="n",
        sequence=1,
        copy_reference=options.resume_reference,
    )
    assert strict.decode(hub.hub_thrift.RunReport, strict.encode(run)).is_ok()
