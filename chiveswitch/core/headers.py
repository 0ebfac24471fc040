"""The header of a generation: request data fixed at admission and stored with its journal."""

import hashlib

import expression
import orjson

from chiveswitch.core import codes, generation

# Estimated bytes of text per token. Only the count of repeated work uses it.
BYTES_PER_PROMPT_TOKEN = 4

# Settings that the service in the bundle defines. Only these are stored with the request; the
# others have the defaults of `generation.Settings`.
SETTING_NAMES = (
    "resume",
    "on_absence",
    "absence_grace_s",
    "extra_work_percent",
    "keep_answer_s",
)


class PinnedRequest:
    """A request's header and further data that the gateway needs, all fixed at admission.

    Attributes:
        header: `generation.Header`.
        answer: Random id that distinguishes this response from others for the same request id.
        service: Service name.
        body_digest: Digest of service, prompt and max_tokens, to refuse a reused request id.
        priority: Priority class of the service.
        journal_copies: Number of copies of the journal, 3 or 5.
        durable: Whether control stores the request before it is accepted.
    """

    __slots__ = (
        "header",
        "answer",
        "service",
        "body_digest",
        "priority",
        "journal_copies",
        "durable",
    )

    def __init__(self, header, answer, service, body_digest, priority, journal_copies, durable):
        self.header = header
        self.answer = answer
        self.service = service
        self.body_digest = body_digest
        self.priority = priority
        self.journal_copies = journal_copies
        self.durable = durable


def digest_body(service: str, prompt: str, max_tokens: int) -> str:
    """Returns the hexadecimal digest of a request's content, to detect a reused request id."""
    content = orjson.dumps([service, prompt, max_tokens])
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def pin_request(submit, service, serial: int, answer: str, seed: int) -> PinnedRequest:
    """Fixes the data of a newly admitted request.

    Args:
        submit: `gateway_messages.Submit`.
        service: `bundles.Service`.
        serial: Serial of the bundle in force.
        answer: Random id of the response.
        seed: Sampling seed of the first generation.
    """
    settings = generation.Settings(**{name: getattr(service, name) for name in SETTING_NAMES})
    header = generation.Header(
        submit.account,
        submit.request_id,
        settings,
        service.model,
        service.adapter,
        service.version,
        submit.prompt,
        len(submit.prompt) // BYTES_PER_PROMPT_TOKEN,
        seed,
        submit.max_tokens,
        serial,
    )
    digest = digest_body(service.name, submit.prompt, submit.max_tokens)
    return PinnedRequest(
        header,
        answer,
        service.name,
        digest,
        service.priority,
        service.journal_copies,
        service.durable,
    )


def encode(pinned: PinnedRequest) -> bytes:
    """Serializes a request as the journal and control store it."""
    header = pinned.header
    value = {name: getattr(header, name) for name in header.__slots__ if name not in ("settings",)}
    value["settings"] = {name: getattr(header.settings, name) for name in SETTING_NAMES}
    # The first slot is the header, whose fields were added above.
    for name in PinnedRequest.__slots__[1:]:
        value[name] = getattr(pinned, name)
    return orjson.dumps(value)


def decode(data: bytes) -> expression.Result:
    """Parses stored bytes.

    Returns:
        Ok with a `PinnedRequest`, or a failure FRAME_INVALID.
    """
    try:
        value = orjson.loads(data)
        settings = generation.Settings(**value.pop("settings"))
        pinned_values = {name: value.pop(name) for name in PinnedRequest.__slots__[1:]}
        return expression.Ok(
            PinnedRequest(generation.Header(settings=settings, **value), **pinned_values)
        )
    except (orjson.JSONDecodeError, TypeError, KeyError, AttributeError) as error:
        return codes.failure(codes.Code.FRAME_INVALID, f"The request header is invalid: {error!r}")
