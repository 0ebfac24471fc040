"""Digests of token prefixes, by which two parties check that they hold the same tokens."""

import hashlib

DIGEST_BYTES = 16


class PrefixDigest:
    """Running blake2b-128 digest over length-prefixed UTF-8 tokens.

    Attributes:
        length: Number of tokens added so far.
    """

    __slots__ = ("_hash", "length")

    def __init__(self):
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.length = 0

    def add(self, tokens):
        """Adds a list of tokens, in order."""
        for token in tokens:
            data = token.encode()
            # The length prefix distinguishes ["ab", "c"] from ["a", "bc"].
            self._hash.update(len(data).to_bytes(4, "big"))
            self._hash.update(data)
        self.length += len(tokens)

    def hexdigest(self) -> str:
        """Returns the hexadecimal digest of all tokens added so far."""
        return self._hash.hexdigest()


def of_tokens(tokens) -> str:
    """Returns the hexadecimal prefix digest of a list of tokens."""
    digest = PrefixDigest()
    digest.add(tokens)
    return digest.hexdigest()
