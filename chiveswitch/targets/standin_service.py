"""Stand-in for a plain service with repeatable or unrepeatable calls and a ledger of all runs."""

import asyncio

import orjson
from starlette import applications, responses, routing

from chiveswitch.core import clock


class Service:
    """Runs calls and records each run.

    Attributes:
        names: Names of the services.
        delay_seconds: Time in seconds that a call takes.
        runs: (idempotency key, body) of each run.
        open_calls: Number of calls in progress.
        opened_at: Time at which the service was created, in seconds of `core.clock`.
    """

    def __init__(self, names, delay_seconds: float = 0.01, ledger_path: str = ""):
        self.names = list(names)
        self.delay_seconds = delay_seconds
        self.runs = []
        self.open_calls = 0
        self.opened_at = clock.now()
        self._ledger = open(ledger_path, "ab", buffering=0) if ledger_path else None

    async def run(self, key: str, body) -> dict:
        """Runs one call and returns its result."""
        self.open_calls += 1
        try:
            # The run is recorded before the answer, as by a service that writes before it answers.
            self.runs.append((key, body))
            if self._ledger is not None:
                self._ledger.write(orjson.dumps({"key": key, "body": body}) + b"\n")
            number = len(self.runs)
            await asyncio.sleep(self.delay_seconds)
            return {"run": number, "key": key, "echo": body}
        finally:
            self.open_calls -= 1

    def load_report(self) -> dict:
        """Returns the load fields of announcements."""
        return {"running": self.open_calls, "queued": 0, "capacity": 256}


def build_app(service: Service) -> applications.Starlette:
    """Returns the service's HTTP application."""

    async def call(request):
        body = orjson.loads(await request.body())
        key = request.headers.get("idempotency-key", "")
        return responses.JSONResponse(await service.run(key, body["body"]))

    async def ledger(_request):
        return responses.JSONResponse([list(run) for run in service.runs])

    async def faults(request):
        body = orjson.loads(await request.body())
        service.delay_seconds = float(body.get("delay_seconds", service.delay_seconds))
        return responses.JSONResponse({})

    return applications.Starlette(
        routes=[
            routing.Route("/v1/calls", call, methods=["POST"]),
            routing.Route("/standin/ledger", ledger, methods=["GET"]),
            routing.Route("/standin/faults", faults, methods=["POST"]),
        ]
    )
