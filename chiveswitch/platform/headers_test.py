"""Tests that the platform's headers are decoded and encoded."""

import orjson
import pytest

from chiveswitch.forwarding import channel, exchange, http_server
from chiveswitch.platform import headers

DIALECT = headers.Dialect()


def make_request(pairs, body=b"", method="POST"):
    request = http_server.Request(0.0)
    request.method, request.request_target, request.headers = method, "/a/b?c=1", pairs
    request.body = bytearray(body)
    for name, value in pairs:
        request.value_by_header.setdefault(name.lower(), value)
    return request


CALLER_HEADERS = [
    ("Host", "h"),
    ("X-Request-Id", "r1"),
    ("X-Deadline-Ms", "1500"),
    ("X-Token-Usage", "800,100"),
    ("X-Prompt-Prefix", "aa:200,bb:600"),
    ("Last-Event-Id", "12"),
    ("Authorization", "Bearer secret-key"),
    ("X-Model", "m"),
]


def test_request_headers_are_decoded():
    caller = DIALECT.decode_request(make_request(CALLER_HEADERS))
    assert (caller.request_id, caller.account_key, caller.wait_s) == ("r1", "secret-key", 1.5)
    assert (caller.prompt_tokens, caller.max_response_tokens) == (800, 100)
    assert (caller.prompt_parts, caller.session) == (["aa", "bb"], "bb")
    assert caller.last_event_id == 12


def test_attempts_at_one_request_have_the_same_identity_headers():
    # Guards against returning callers whose runs are not found, and against runs that are found for
    # a request with another header that a worker reads.
    def identity_headers(**changes):
        fields = {**dict(CALLER_HEADERS), **changes}
        caller = DIALECT.decode_request(make_request(list(fields.items())))
        return DIALECT.identity_headers(caller)

    first = identity_headers()
    assert first == [
        ("x-model", "m"),
        ("x-prompt-prefix", "aa:200,bb:600"),
        ("x-token-usage", "800,100"),
    ]
    attempt = {"X-Request-Id": "r2", "X-Deadline-Ms": "900", "Last-Event-Id": "14"}
    assert identity_headers(**attempt, Traceparent="00-1", Via="1.1 p", Host="h:80") == first
    for name, value in (("X-Prompt-Prefix", "aa:201,bb:599"), ("X-Expect-Version", "7")):
        assert identity_headers(**{name: value}) != first
    one_way = DIALECT.decode_request(make_request([("A", "1"), ("B", "2"), ("a", "3")]))
    other_way = DIALECT.decode_request(make_request([("b", "2"), ("A", "1"), ("A", "3")]))
    assert DIALECT.identity_headers(one_way) == DIALECT.identity_headers(other_way)


def test_headers_set_by_the_system_are_dropped_from_callers():
    # Guards against a caller that forges headers to use the account, KV cache or worker of others.
    forged = ["X-Tenant", "X-Kv-Backup", "Kv-From", "X-Hold", "X-Pin-Ms", "X-Expect-Instance"]
    pairs = [
        *CALLER_HEADERS,
        *[(name, "forged") for name in forged],
        ("Connection", "X-Extra, close"),
    ]
    pairs.append(("X-Extra", "hop"))
    request = make_request(pairs, b"body")
    options = exchange.SendOptions("w1", 1.25, "account-1")
    options.last_event_id = 40
    data = DIALECT.encode_request(request, DIALECT.decode_request(request), options)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /a/b?c=1 HTTP/1.1"
    assert b"forged" not in data and b"secret-key" not in data and b"hop" not in data
    assert "X-Tenant: account-1" in lines
    assert "X-Expect-Instance: w1" in lines
    assert "X-Deadline-Ms: 1250" in lines
    assert "Last-Event-Id: 40" in lines
    assert "X-Model: m" in lines and "X-Token-Usage: 800,100" in lines
    assert "Content-Length: 4" in lines and body == b"body"


@pytest.mark.parametrize(
    "urgency, expected", [(None, b""), (0, b"X-Request-Priority: 0\r\n")], ids=["equal", "first"]
)
def test_the_urgency_is_sent_only_where_priorities_differ(urgency, expected):
    # Guards against a caller that names its own urgency, and against an urgency below the one that
    # engines assume for the requests of other senders.
    request = make_request([*CALLER_HEADERS, ("X-Request-Priority", "1")])
    options = exchange.SendOptions("w1", 1.0, None)
    options.urgency = urgency
    data = DIALECT.encode_request(request, DIALECT.decode_request(request), options)
    lines = [line + b"\r\n" for line in data.split(b"\r\n") if b"Priority" in line]
    assert b"".join(lines) == expected


def test_copies_are_referenced_by_address_and_id():
    options = exchange.SendOptions("w1", 1.0, None)
    options.copy_address = "10.0.0.2:80"
    options.resume_reference = DIALECT.copy_reference("10.0.0.1:80", "r1")
    request = make_request(CALLER_HEADERS)
    data = DIALECT.encode_request(request, DIALECT.decode_request(request), options)
    assert b"X-Kv-Backup: 10.0.0.2:80\r\n" in data
    assert b"Kv-From: 10.0.0.1:80/r1\r\n" in data


def make_response(status, pairs, body=b""):
    response = channel.Response()
    response.status, response.headers = status, pairs
    response.value_by_header = {name.lower(): value for name, value in pairs}
    response.body = bytearray(body)
    return response


def test_only_an_explicit_statement_of_the_worker_means_not_run():
    # Guards against a resend of a request that a worker may have run: a 503 alone does not show
    # that it did not.
    assert DIALECT.decode_response(make_response(503, [("X-Not-Executed", "1")])).not_run
    assert DIALECT.decode_response(make_response(421, [])).is_misdirected
    assert not DIALECT.decode_response(make_response(503, [])).not_run
    assert DIALECT.decode_response(make_response(200, [("X-Instance-Load", "3,1,8")])).load == (
        3,
        1,
    )
    fourth = make_response(200, [("X-Instance-Load", "3,1,8,140")])
    assert DIALECT.decode_response(fourth).load == (3, 1)
    assert DIALECT.decode_response(make_response(200, [("X-Instance-Load", "x")])).load is None


@pytest.mark.parametrize(
    ("text", "load", "slowdown"),
    [
        ("3,1,8,160", (3, 1), 1.6),
        ("3,1,8, 60", (3, 1), 0.6),
        ("3,1,8", (3, 1), None),
        # Figures that no machine can have leave the counts usable.
        ("3,1,8,0", (3, 1), None),
        ("3,1,8,99999999", (3, 1), None),
        ("3,1,8,soon", (3, 1), None),
        ("3,1,8,100,1", None, None),
        ("3,1", None, None),
    ],
)
def test_the_slowdown_of_a_shared_machine_is_read_beside_the_load(text, load, slowdown):
    # Guards against losing the counts of targets whose neighbours slow them down.
    info = DIALECT.decode_response(make_response(200, [("X-Instance-Load", text)]))
    assert (info.load, info.slowdown) == (load, slowdown)


@pytest.mark.parametrize(("text", "rate"), [("2.5", 2.5), ("0", 0.0), (" 0.2 ", 0.2), ("40", 40)])
def test_the_limit_of_a_worker_is_a_decimal_number(text, rate):
    # Guards against limits below one request a second that count as none.
    info = DIALECT.decode_response(make_response(503, [("Server-Limit", text)]))
    assert (info.rate_limit, info.rate_limit_fault) == (rate, "")


@pytest.mark.parametrize(
    "text", ["", "many", "-1", "+1", "NaN", "inf", "1e309", "1,5", "\u0662", "0x1"]
)
def test_a_limit_that_is_no_decimal_number_is_a_fault(text):
    # Guards against a limit that is taken from garbage, and against an exception because of it.
    info = DIALECT.decode_response(make_response(200, [("Server-Limit", text)]))
    assert info.rate_limit is None and info.rate_limit_fault


def test_two_limits_in_one_response_are_a_fault():
    # Guards against one of two contradicting limits that is taken for the worker's.
    pairs = [("Server-Limit", "2"), ("server-limit", "20")]
    info = DIALECT.decode_response(make_response(200, pairs))
    assert info.rate_limit is None and info.rate_limit_fault == "2 limits"


def test_copy_response_is_decoded_into_source_and_handle():
    reference = DIALECT.decode_copy_response(
        make_response(200, [], b'{"handle":"h1","made":3}'), "10.0.0.1:80"
    )
    assert reference == "10.0.0.1:80/h1"
    for broken in (
        make_response(503, []),
        make_response(200, [], b"{"),
        make_response(200, [], b"[]"),
    ):
        assert DIALECT.decode_copy_response(broken, "10.0.0.1:80") == ""


@pytest.mark.parametrize("handle", ["a b", "h\r\nX-Tenant: a", "\u4e2d", "", "h" * 257, True, []])
def test_a_handle_that_no_header_can_carry_names_no_copy(handle):
    # Guards against a header that a worker adds to requests to others, and an exception for a
    # letter outside latin-1.
    response = make_response(200, [], orjson.dumps({"handle": handle}))
    assert DIALECT.decode_copy_response(response, "10.0.0.1:80") == ""


def test_the_name_of_an_account_may_have_any_letters():
    # Guards against an exception for each request of an account whose name is not latin-1.
    options = exchange.SendOptions("w1", 1.0, "\u4e2d\u00fc")
    request = make_request(CALLER_HEADERS)
    data = DIALECT.encode_request(request, DIALECT.decode_request(request), options)
    assert "X-Tenant: \u4e2d\u00fc\r\n".encode() in data


def test_invalid_numbers_count_as_absent():
    pairs = [("X-Deadline-Ms", "soon"), ("X-Token-Usage", "a,b"), ("Last-Event-Id", "-1")]
    caller = DIALECT.decode_request(make_request(pairs))
    assert (caller.wait_s, caller.prompt_tokens, caller.last_event_id) == (None, 0, None)


@pytest.mark.parametrize("text", ["9" * 5000, "9" * 19, "\u00b2", "\u0662", "1.0", "+1"])
def test_numbers_that_nothing_can_carry_count_as_absent(text):
    # Guards against an exception in place of a response: int() refuses numbers of more than 4,300
    # digits and some characters that str.isdigit() accepts.
    caller = DIALECT.decode_request(make_request([("Last-Event-Id", text)]))
    assert caller.last_event_id is None
    response = make_response(200, [("X-Instance-Load", f"{text},1,8")])
    assert DIALECT.decode_response(response).load is None
