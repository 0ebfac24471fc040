"""Reads the private key files of approvers; only the owner may have access to a file."""

import os
import re
import stat

import expression

from chiveswitch.core import codes

KEY_BYTES = 32
HEXADECIMAL_KEY = re.compile(rb"[0-9A-Fa-f]{64}\r?\n?")
# 64 hexadecimal digits and a line end of two bytes.
MAX_FILE_BYTES = 66


def read_private_key(path: str) -> expression.Result:
    """Reads an Ed25519 private key.

    Args:
        path: File that contains 32 raw bytes, or 64 hexadecimal digits and at most one line end.

    Returns:
        Ok with the 32 bytes, or SETTING_INVALID. A file that its group or others may access is
        refused, because a signature with a key that others can read does not prove who approved.
    """
    try:
        # Without O_NONBLOCK, opening a named pipe would block until a writer opens it.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as error:
        return invalid_key_file(path, f"cannot be opened: {error}")
    try:
        # The checks use the open descriptor, because the path could be replaced after a check.
        status = os.fstat(descriptor)
        if not stat.S_ISREG(status.st_mode):
            return invalid_key_file(path, "is not a regular file")
        if status.st_mode & (stat.S_IRWXG | stat.S_IRWXO):
            mode = stat.S_IMODE(status.st_mode)
            return invalid_key_file(
                path, f"has the permissions {mode:04o}; restrict them with: chmod 600 {path}"
            )
        data = os.read(descriptor, MAX_FILE_BYTES + 1)
    except OSError as error:
        return invalid_key_file(path, f"cannot be read: {error}")
    finally:
        os.close(descriptor)
    if len(data) == KEY_BYTES:
        return expression.Ok(data)
    if HEXADECIMAL_KEY.fullmatch(data):
        return expression.Ok(bytes.fromhex(data.decode().strip()))
    return invalid_key_file(path, "contains neither 32 bytes nor 64 hexadecimal digits")


def invalid_key_file(path: str, reason: str) -> expression.Result:
    """Returns the error of a key file. Its message never contains any of the file's content."""
    return codes.failure(codes.Code.SETTING_INVALID, f"--key-file: {path} {reason}")
