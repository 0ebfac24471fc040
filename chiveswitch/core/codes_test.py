"""Tests of the result codes and of their page in the documentation."""

import pathlib

from chiveswitch.core import codes

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "result-codes.md"


def test_every_code_has_a_meaning():
    # Guards against a KeyError when a code without a meaning is sent to a caller.
    assert set(codes.MEANING_BY_CODE) == set(codes.Code)


def test_page_lists_every_code_as_it_is():
    # Guards against documentation for callers that contradicts the code.
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| ")][1:]
    assert rows == [
        f"| {int(code)} | {code.name} | {meaning.run.value} | {meaning.retry.value} "
        f"| {meaning.http_status} |"
        for code, meaning in codes.MEANING_BY_CODE.items()
    ]


def test_refused_resend_says_nothing_of_the_earlier_submission():
    # Guards against reporting "not run" for a request id whose earlier submission ran. This could
    # happen when the resend is refused before it reaches the earlier one.
    value = codes.to_json(codes.Code.QUEUE_FULL, "", is_first_send=False)
    assert value["run"] == "unknown"
    assert codes.to_json(codes.Code.QUEUE_FULL, "")["run"] == "not_run"
