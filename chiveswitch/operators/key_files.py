"""Private key files of approvers, which are refused when others than the owner may access them."""

import os
import re
import stat

import expression

from chiveswitch.core import codes

KEY_BYTES = 32
HEXADECIMAL = re.compile(rb"[0-9A-Fa-f]{64}\r?\n?")
MAX_FILE_BYTES = 66


def read_private_key(path: str) -> expression.Result:
    """Reads an Ed25519 private key.

    Args:
        path: File with 32 raw bytes or 64 hexadecimal digits and at most one line end.

    Returns:
        Ok with the 32 bytes, or SETTING_INVALID. A file that its group or others may access is
        refused, because a key that somebody else could read proves no approval.
    """
    try:
        # Without O_NONBLOCK the opening of a pipe would wait for a writer.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as error:
        return refused(path, f"cannot be opened: {error}")
    try:
        # The checks use the open file, so that the path cannot come to name another one after.
        information = os.fstat(descriptor)
        if not stat.S_ISREG(information.st_mode):
            return refused(path, "is not a regular file")
        if information.st_mode & (stat.S_IRWXG | stat.S_IRWXO):
            mode = stat.S_IMODE(information.st_mode)
            return refused(path, f"has the permissions {mode:04o}; set them by: chmod 600 {path}")
        data = os.read(descriptor, MAX_FILE_BYTES + 1)
    except OSError as error:
        return refused(path, f"cannot be read: {error}")
    finally:
        os.close(descriptor)
    if len(data) == KEY_BYTES:
        return expression.Ok(data)
    if HEXADECIMAL.fullmatch(data):
        return expression.Ok(bytes.fromhex(data.decode().strip()))
    return refused(path, "holds neither 32 bytes nor 64 hexadecimal digits")


def refused(path: str, reason: str) -> expression.Result:
    """Returns the error of a key file, which never shows any of its content."""
    return codes.failure(codes.Code.SETTING_INVALID, f"--key-file: {path} {reason}")
