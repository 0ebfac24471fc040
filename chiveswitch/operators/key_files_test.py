"""Tests of private key files: permissions, file types and formats of the key."""

import os

import pytest

from chiveswitch.core import codes
from chiveswitch.operators import key_files

KEY = bytes(range(200, 232))


def read_key(folder, data=KEY, mode=0o600):
    path = folder / "key"
    path.unlink(missing_ok=True)
    path.write_bytes(data)
    path.chmod(mode)
    return key_files.read_private_key(str(path))


def test_accepted_formats(tmp_path):
    """Guards against a wrong key, against one that is too short or too long, and against leaks.

    The message of a refusal must not contain the key.
    """
    for data in (KEY, KEY.hex().encode(), KEY.hex().upper().encode() + b"\n"):
        assert read_key(tmp_path, data).ok == read_key(tmp_path, data, 0o400).ok == KEY
    for data in (b"", KEY[:31], KEY + b"\n", KEY.hex().encode() + b"\n\n", KEY * 9):
        refusal = read_key(tmp_path, data).error
        assert refusal.code is codes.Code.SETTING_INVALID and KEY.hex()[:8] not in refusal.message


@pytest.mark.parametrize("mode", [0o640, 0o604, 0o644, 0o620, 0o601, 0o660])
def test_access_by_others_is_refused(tmp_path, mode):
    """Guards against a key that others can read and use to approve in the owner's name."""
    refusal = read_key(tmp_path, mode=mode).error
    assert refusal.code is codes.Code.SETTING_INVALID and "chmod 600" in refusal.message


def test_other_file_types_are_refused(tmp_path):
    """Guards against blocking on a named pipe, and an exception for a path without a file."""
    os.mkfifo(tmp_path / "pipe", 0o600)
    for path in (tmp_path, tmp_path / "pipe", tmp_path / "none", "\0"):
        assert key_files.read_private_key(str(path)).error.code is codes.Code.SETTING_INVALID
