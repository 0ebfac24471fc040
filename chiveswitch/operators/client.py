"""Client of the administration API: finds the leader and resends under the same operation id."""

import asyncio

import aiosonic
import expression
import orjson
from aiosonic import connectors, exceptions, timeout

from chiveswitch.core import clock, codes, settings

CONNECT_SECONDS = 1.0
# An answer may take as long as the server waits for control, and a large bundle takes a second.
ATTEMPT_SECONDS = 8.0
RETRY_PAUSE_SECONDS = 0.2
STATUS_SECONDS = 1.0


class ClientSettings:
    """Settings of a client of the administration API.

    Attributes:
        addresses: Administration addresses of control processes, `ip:port`.
        api_key: API key of the operator.
        deadline_s: Seconds until an operation is given up.
        attempt_s: Seconds until one attempt is given up.
    """

    __slots__ = ("addresses", "api_key", "deadline_s", "attempt_s")

    def __init__(self, addresses, api_key: str, deadline_s=30.0, attempt_s=ATTEMPT_SECONDS):
        self.addresses = list(addresses)
        self.api_key = api_key
        self.deadline_s = deadline_s
        self.attempt_s = attempt_s


class Refusal:
    """A refused or failed operation.

    Attributes:
        code: The numbered code.
        message: What failed, in a sentence.
        run: Whether the operation ran, over all of its sends.
        retry: What the server advises.
        details: The whole JSON object of the server, such as `problems` or `winner`.
    """

    __slots__ = ("code", "message", "run", "retry", "details")

    def __init__(self, code: codes.Code, message: str, details: dict | None = None):
        meaning = codes.MEANING_BY_CODE[code]
        self.code = code
        self.message = message
        self.run = meaning.run
        self.retry = meaning.retry
        self.details = details or {}

    def to_object(self) -> dict:
        """Returns the refusal as a JSON object."""
        content = {**self.details, **codes.to_json(self.code, self.message)}
        content["run"] = self.run.value
        return content


class Response:
    """What came of one attempt.

    Attributes:
        sent: Whether a byte of the request may have reached the server.
        value: The JSON object of the answer, or None without one.
        status: HTTP status, 0 without an answer.
        error: Why there is no answer.
    """

    __slots__ = ("sent", "value", "status", "error")

    def __init__(self, sent: bool, value=None, status: int = 0, error: str = ""):
        self.sent = sent
        self.value = value
        self.status = status
        self.error = error


async def send(
    address: str, method: str, path: str, headers: dict, data: bytes | None, limit_s: float
) -> Response:
    """Sends one request over a new connection; an old one may have gone silent.

    Args:
        address: `ip:port` of the server.
        method: HTTP method.
        path: Path of the request.
        headers: Headers of the request.
        data: Body, or None.
        limit_s: Seconds until the attempt is given up.
    """
    limits = timeout.Timeouts(
        sock_connect=min(CONNECT_SECONDS, limit_s), sock_read=limit_s, request_timeout=limit_s
    )
    http = aiosonic.HTTPClient(connectors.TCPConnector(timeouts=limits))
    try:
        async with asyncio.timeout(limit_s):
            response = await http.request(
                f"http://{address}{path}", method=method, headers=headers, data=data
            )
            value = orjson.loads(await response.content())
    except (ConnectionRefusedError, exceptions.ConnectTimeout) as error:
        return Response(False, error=type(error).__name__)
    # Whatever else went wrong, the request may have arrived.
    except Exception as error:
        return Response(True, error=type(error).__name__)
    finally:
        await http.connector.cleanup()
    if not isinstance(value, dict):
        return Response(True, error="the answer is not a JSON object")
    return Response(True, value, response.status_code)


async def fetch_json(address: str, path: str, api_key: str = "", limit_s: float = STATUS_SECONDS):
    """Returns Ok with the JSON object at a path of one address, or a failure after one attempt."""
    headers = {"authorization": f"Bearer {api_key}"} if api_key else {}
    response = await send(address, "GET", path, headers, None, limit_s)
    if response.value is None:
        message = f"{address} gave no answer: {response.error}"
        return codes.failure(codes.Code.LINK_TIMEOUT, message)
    if response.status != 200:
        return expression.Error(to_refusal(response.value))
    return expression.Ok(response.value)


def to_refusal(value: dict) -> Refusal:
    """Returns the refusal in the JSON object of an answer."""
    message = str(value.get("message", ""))
    if value.get("code") not in set(codes.Code):
        return Refusal(codes.Code.INTERNAL, f"The answer has no known code. {message}", value)
    return Refusal(codes.Code(value["code"]), message, value)


class Client:
    """Operations of one operator.

    Attributes:
        settings: The `ClientSettings`.
    """

    def __init__(self, client_settings: ClientSettings):
        self.settings = client_settings
        self._next = 0
        self._leader = ""

    def _address(self) -> str:
        # A leader that was named is tried once; if it gives no answer, the list goes on.
        address, self._leader = self._leader, ""
        if address:
            return address
        address = self.settings.addresses[self._next % len(self.settings.addresses)]
        self._next += 1
        return address

    async def request(
        self, method: str, path: str, data: bytes | None = None, operation_id: str = ""
    ) -> expression.Result:
        """Performs an operation, with resends under the same operation id until the deadline.

        Args:
            method: HTTP method.
            path: Path of the request.
            data: Body, or None.
            operation_id: Operation id of a change; empty for a read.
        Returns:
            Ok with the JSON object of the answer, or Error with a `Refusal`. Its `run` is `unknown`
            when an earlier send of a change has no known end.
        """
        headers = {"authorization": f"Bearer {self.settings.api_key}"}
        if data is not None:
            headers["content-type"] = "application/json"
        if operation_id:
            headers["idempotency-key"] = operation_id
        end = clock.now() + self.settings.deadline_s
        uncertain = False
        last = None
        while (left := end - clock.now()) > 0:
            address = self._address()
            limit_s = min(self.settings.attempt_s, left)
            response = await send(address, method, path, headers, data, limit_s)
            if response.value is None:
                uncertain |= response.sent and bool(operation_id)
                message = f"{address} gave no answer: {response.error}"
                last = Refusal(codes.Code.CONTROL_UNAVAILABLE, message)
                await asyncio.sleep(min(RETRY_PAUSE_SECONDS, max(0, end - clock.now())))
                continue
            if response.status == 200:
                # Later operations begin at the process that answered.
                self._leader = address
                return expression.Ok(response.value)
            last = to_refusal(response.value)
            if last.retry is codes.RetryAdvice.NO:
                self._leader = address
                break
            uncertain |= last.run is codes.RunStatus.UNKNOWN and bool(operation_id)
            leader = last.details.get("leader")
            if isinstance(leader, str) and leader != address:
                self._leader = "" if settings.address_error("leader", leader) else leader
            await asyncio.sleep(min(RETRY_PAUSE_SECONDS, max(0, end - clock.now())))
        return expression.Error(self._finish(last, uncertain, operation_id))

    def _finish(self, last, uncertain: bool, operation_id: str) -> Refusal:
        if last is None:
            last = Refusal(codes.Code.CONTROL_UNAVAILABLE, "The deadline passed before a send.")
        if not uncertain:
            return last
        if last.retry is not codes.RetryAdvice.NO:
            message = (
                f"The change may have been made: resend it under the same operation id"
                f" {operation_id} to learn its result. Last answer: {last.message}"
            )
            return Refusal(codes.Code.MAY_HAVE_RUN, message, last.details)
        # The refusal belongs to the last send; an earlier one may be on its way to control still.
        last.run = codes.RunStatus.UNKNOWN
        last.message += (
            f" An earlier send under the operation id {operation_id} has no known result."
        )
        return last

    async def write(self, content: bytes, operation_id: str) -> expression.Result:
        """Writes a bundle; see `request` for the result."""
        return await self.request("POST", "/v1/bundles", content, operation_id)

    async def approve(
        self, version: int, digest: str, signature: str, operation_id: str
    ) -> expression.Result:
        """Approves a version by a signature over its digest; both are hexadecimal."""
        data = orjson.dumps({"digest": digest, "signature": signature})
        path = f"/v1/bundles/{version}/approvals"
        return await self.request("POST", path, data, operation_id)

    async def roll(self, version: int, digest: str, operation_id: str) -> expression.Result:
        """Puts an approved version into force; the answer carries the `serial`."""
        data = orjson.dumps({"digest": digest})
        return await self.request("POST", f"/v1/bundles/{version}/roll", data, operation_id)

    async def show(self, version: int | str) -> expression.Result:
        """Returns a bundle with its content; the version may be `in-force`."""
        return await self.request("GET", f"/v1/bundles/{version}")
