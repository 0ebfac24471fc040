"""Tests of private key files: permissions, kinds of files, spellings of the key."""

import os

import pytest

from chiveswitch.core import codes
from chiveswitch.operators import key_files

KEY = bytes(range(200, 232))


def read(folder, data=KEY, mode=0o600):
    path = folder / "key"
    path.unlink(missing_ok=True)
    path.write_bytes(data)
    path.chmod(mode)
    return key_files.read_private_key(str(path))


def test_spellings(tmp_path):
    """Guards against another key than the one in the file, and against a cut or padded one."""
    for data in (KEY, KEY.hex().encode(), KEY.hex().upper().encode() + b"\n"):
        assert read(tmp_path, data).ok == read(tmp_path, data, 0o400).ok == KEY
    for data in (b"", KEY[:31], KEY + b"\n", KEY.hex().encode() + b"\n\n", KEY * 9):
        refusal = read(tmp_path, data).error
        assert refusal.code is codes.Code.SETTING_INVALID and KEY.hex()[:8] not in refusal.message


@pytest.mark.parametrize("mode", [0o640, 0o604, 0o644, 0o620, 0o601, 0o660])
def test_permissions(tmp_path, mode):
    """Guards against a key that somebody else can read, who could approve in this name."""
    refusal = read(tmp_path, mode=mode).error
    assert refusal.code is codes.Code.SETTING_INVALID and "chmod 600" in refusal.message


def test_other_files(tmp_path):
    """Guards against an endless wait for a pipe and an exception for a path without a file."""
    os.mkfifo(tmp_path / "pipe", 0o600)
    for path in (tmp_path, tmp_path / "pipe", tmp_path / "none", "\0"):
        assert key_files.read_private_key(str(path)).error.code is codes.Code.SETTING_INVALID
