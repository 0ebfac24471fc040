"""Client of the administration API: finds the leader and resends under the same operation id."""

import asyncio

import aiosonic
import expression
import orjson
from aiosonic import connectors, exceptions, timeout

from chiveswitch.core import clock, codes, settings

CONNECT_TIMEOUT_SECONDS = 1.0
# A response may take as long as the server waits for control, and checking a large bundle takes a
# second.
ATTEMPT_TIMEOUT_SECONDS = 8.0
RETRY_PAUSE_SECONDS = 0.2
STATUS_TIMEOUT_SECONDS = 1.0


class ClientSettings:
    """Settings of a client of the administration API.

    Attributes:
        addresses: Administration addresses of control processes, `ip:port`.
        api_key: API key of the operator.
        operation_timeout_s: Seconds until an operation is abandoned.
        attempt_timeout_s: Seconds until one attempt is abandoned.
    """

    __slots__ = ("addresses", "api_key", "operation_timeout_s", "attempt_timeout_s")

    def __init__(
        self,
        addresses,
        api_key: str,
        operation_timeout_s=30.0,
        attempt_timeout_s=ATTEMPT_TIMEOUT_SECONDS,
    ):
        self.addresses = list(addresses)
        self.api_key = api_key
        self.operation_timeout_s = operation_timeout_s
        self.attempt_timeout_s = attempt_timeout_s


class Refusal:
    """A refused or failed operation.

    Attributes:
        code: The numbered code.
        message: What failed, in a sentence.
        run: Whether the operation ran in any of its sends.
        retry: The server's retry advice.
        details: The complete JSON object of the server, with fields such as `problems` or `winner`.
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
    """The result of one attempt to send a request.

    Attributes:
        sent: Whether a byte of the request may have reached the server.
        value: The JSON object of the response, or None without a response.
        status: HTTP status, or 0 without a response.
        error: Why there is no response.
    """

    __slots__ = ("sent", "value", "status", "error")

    def __init__(self, sent: bool, value=None, status: int = 0, error: str = ""):
        self.sent = sent
        self.value = value
        self.status = status
        self.error = error


async def send(
    address: str, method: str, path: str, headers: dict, data: bytes | None, timeout_s: float
) -> Response:
    """Sends one request over a new connection, because a pooled one may be dead without an error.

    Args:
        address: `ip:port` of the server.
        method: HTTP method.
        path: Path of the request.
        headers: Headers of the request.
        data: Body, or None.
        timeout_s: Seconds until the attempt is abandoned.
    """
    limits = timeout.Timeouts(
        sock_connect=min(CONNECT_TIMEOUT_SECONDS, timeout_s),
        sock_read=timeout_s,
        request_timeout=timeout_s,
    )
    http = aiosonic.HTTPClient(connectors.TCPConnector(timeouts=limits))
    try:
        async with asyncio.timeout(timeout_s):
            response = await http.request(
                f"http://{address}{path}", method=method, headers=headers, data=data
            )
            value = orjson.loads(await response.content())
    except (ConnectionRefusedError, exceptions.ConnectTimeout) as error:
        return Response(False, error=type(error).__name__)
    # After any other error the request may have reached the server.
    except Exception as error:
        return Response(True, error=type(error).__name__)
    finally:
        await http.connector.cleanup()
    if not isinstance(value, dict):
        return Response(True, error="the response is not a JSON object")
    return Response(True, value, response.status_code)


async def fetch_json(
    address: str, path: str, api_key: str = "", timeout_s: float = STATUS_TIMEOUT_SECONDS
):
    """Gets a JSON object from one address in one attempt.

    Args:
        address: `ip:port` of the server.
        path: Path of the request.
        api_key: API key, or empty.
        timeout_s: Seconds until the attempt is abandoned.

    Returns:
        Ok with the JSON object, or Error with a `codes.Failure` or a `Refusal`.
    """
    headers = {"authorization": f"Bearer {api_key}"} if api_key else {}
    response = await send(address, "GET", path, headers, None, timeout_s)
    if response.value is None:
        message = f"{address} gave no valid response: {response.error}"
        return codes.failure(codes.Code.LINK_TIMEOUT, message)
    if response.status != 200:
        return expression.Error(parse_refusal(response.value))
    return expression.Ok(response.value)


def parse_refusal(value: dict) -> Refusal:
    """Returns the `Refusal` of an error response's JSON object."""
    message = str(value.get("message", ""))
    if value.get("code") not in set(codes.Code):
        return Refusal(
            codes.Code.INTERNAL, f"The code of the response is unknown. {message}", value
        )
    return Refusal(codes.Code(value["code"]), message, value)


class Client:
    """Performs the operations of one operator.

    Attributes:
        settings: The `ClientSettings`.
    """

    def __init__(self, client_settings: ClientSettings):
        self.settings = client_settings
        self._next_index = 0
        self._leader_address = ""

    def _choose_address(self) -> str:
        # The leader that a server named is tried once. If it does not respond, the next address of
        # the list is tried.
        address, self._leader_address = self._leader_address, ""
        if address:
            return address
        address = self.settings.addresses[self._next_index % len(self.settings.addresses)]
        self._next_index += 1
        return address

    async def request(
        self, method: str, path: str, data: bytes | None = None, operation_id: str = ""
    ) -> expression.Result:
        """Performs an operation; resends it under the same operation id until the timeout.

        Args:
            method: HTTP method.
            path: Path of the request.
            data: Body, or None.
            operation_id: Operation id of a change; empty for a read.

        Returns:
            Ok with the JSON object of the response, or Error with a `Refusal`. Its `run` is
            `unknown` if the outcome of an earlier send of a change is unknown.
        """
        headers = {"authorization": f"Bearer {self.settings.api_key}"}
        if data is not None:
            headers["content-type"] = "application/json"
        if operation_id:
            headers["idempotency-key"] = operation_id
        deadline = clock.now() + self.settings.operation_timeout_s
        may_have_run = False
        last_refusal = None
        while (remaining_s := deadline - clock.now()) > 0:
            address = self._choose_address()
            timeout_s = min(self.settings.attempt_timeout_s, remaining_s)
            response = await send(address, method, path, headers, data, timeout_s)
            if response.value is None:
                may_have_run |= response.sent and bool(operation_id)
                message = f"{address} gave no valid response: {response.error}"
                last_refusal = Refusal(codes.Code.CONTROL_UNAVAILABLE, message)
                await asyncio.sleep(min(RETRY_PAUSE_SECONDS, max(0, deadline - clock.now())))
                continue
            if response.status == 200:
                # Later operations start at the process that responded.
                self._leader_address = address
                return expression.Ok(response.value)
            last_refusal = parse_refusal(response.value)
            if last_refusal.retry is codes.RetryAdvice.NO:
                self._leader_address = address
                break
            may_have_run |= last_refusal.run is codes.RunStatus.UNKNOWN and bool(operation_id)
            leader = last_refusal.details.get("leader")
            if isinstance(leader, str) and leader != address:
                self._leader_address = "" if settings.address_error("leader", leader) else leader
            await asyncio.sleep(min(RETRY_PAUSE_SECONDS, max(0, deadline - clock.now())))
        return expression.Error(self._final_refusal(last_refusal, may_have_run, operation_id))

    def _final_refusal(self, refusal, may_have_run: bool, operation_id: str) -> Refusal:
        """Returns the refusal to report, which states whether an earlier send may have run."""
        if refusal is None:
            refusal = Refusal(
                codes.Code.CONTROL_UNAVAILABLE, "The operation timed out before its first send."
            )
        if not may_have_run:
            return refusal
        if refusal.retry is not codes.RetryAdvice.NO:
            message = (
                f"The change may have been made: resend it under the same operation id"
                f" {operation_id} to get its result. Last response: {refusal.message}"
            )
            return Refusal(codes.Code.MAY_HAVE_RUN, message, refusal.details)
        # The refusal concerns the last send only; an earlier one may still reach control.
        refusal.run = codes.RunStatus.UNKNOWN
        refusal.message += (
            f" The result of an earlier send under the operation id {operation_id} is unknown."
        )
        return refusal

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
        """Puts an approved version into force; the response contains its `serial`."""
        data = orjson.dumps({"digest": digest})
        return await self.request("POST", f"/v1/bundles/{version}/roll", data, operation_id)

    async def show(self, version: int | str) -> expression.Result:
        """Returns a bundle with its content; the version may be `in-force`."""
        return await self.request("GET", f"/v1/bundles/{version}")
