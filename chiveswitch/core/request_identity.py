"""Identity of a request: all that two attempts of a caller at the same request have in common."""

import base64
import hashlib

# The digest is cryptographic, because strangers choose what requests contain.
DIGEST_BYTES = 16
PERSONALIZATION = b"request identity"
# Begins each digest. A session contains no colon, so that the report of an earlier version, which
# has the session in the digest's place, matches no request.
DIGEST_PREFIX = ":"


class RequestIdentity:
    """All that makes a request what it is; the ids of single attempts and deadlines are no part.

    Attributes:
        account: Name of the client account, or None.
        route: Name of the route.
        service: Name of the service.
        method: HTTP method.
        request_target: Path and query.
        model: Name of the model.
        prompt_parts: Ids of the parts of the prompt in order.
        prompt_tokens: Tokens of the prompt.
        max_response_tokens: Largest number of tokens of the response.
        headers: (lower-case name, value) of the other headers that a target gets.
        body: The body.
    """

    __slots__ = (
        "account",
        "route",
        "service",
        "method",
        "request_target",
        "model",
        "prompt_parts",
        "prompt_tokens",
        "max_response_tokens",
        "headers",
        "body",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def digest(self) -> str:
        """Returns a text that is the same for equal requests only."""
        state = hashlib.blake2b(digest_size=DIGEST_BYTES, person=PERSONALIZATION)
        for name in self.__slots__:
            _update(state, getattr(self, name))
        return DIGEST_PREFIX + base64.urlsafe_b64encode(state.digest()).rstrip(b"=").decode()


def _update(state, value):
    """Adds a value with its type and length, so that no two lists of values give the same bytes."""
    if value is None:
        state.update(b"-")
        return
    if isinstance(value, (list, tuple)):
        state.update(b"[%d:" % len(value))
        for item in value:
            _update(state, item)
        return
    if isinstance(value, int):
        state.update(b"i%d:" % value)
        return
    content = value.encode("utf-8", "surrogatepass") if isinstance(value, str) else value
    state.update(b"s%d:" % len(content))
    state.update(content)
