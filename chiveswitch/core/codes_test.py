"""Tests of the result codes and their page."""

import pathlib

from chiveswitch.core import codes

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "result-codes.md"


def test_every_code_has_a_meaning():
    assert set(codes.MEANING_BY_CODE) == set(codes.Code)


def test_page_lists_every_code_as_it_is():
    # Guards against a page that callers read and the code contradicts.
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| ")][1:]
    assert rows == [
        f"| {int(code)} | {code.name} | {meaning.run.value} | {meaning.retry.value} "
        f"| {meaning.http_status} |"
        for code, meaning in codes.MEANING_BY_CODE.items()
    ]


def test_refused_resend_says_nothing_of_the_earlier_submission():
    # Guards against "not run" for a key whose earlier submission ran.
    value = codes.to_json(codes.Code.QUEUE_FULL, "", is_first_send=False)
    assert value["run"] == "unknown"
    assert codes.to_json(codes.Code.QUEUE_FULL, "")["run"] == "not_run"
