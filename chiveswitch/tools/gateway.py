"""The gateway daemon."""

import asyncio
import logging

import orjson
from starlette import responses

from chiveswitch.callers import app as callers_app
from chiveswitch.core import clock, codes, sse
from chiveswitch.targets import engine_client
from chiveswitch.tools import serving

log = logging.getLogger("chiveswitch.gateway")

TARGET_TTL_SECONDS = 2.5


class Gateway:
    """Serves callers from announced engines."""

    def __init__(self, settings):
        self.settings = settings
        self.targets_by_id = {}
        self.engines = engine_client.EngineClient()
        self._next_attempt = 0

    def addresses(self, _token, _caller):
        """Returns the address answer."""
        return {"addresses": [self.settings.listen], "valid_seconds": 10}

    def announce(self, body):
        """Takes in a target's announcement."""
        body["heard_at"] = clock.now()
        self.targets_by_id[body["id"]] = body
        return {"ticket": ""}

    async def generate(self, _token, key, body):
        """Returns the response that streams a generation from an engine."""
        now = clock.now()
        usable = [
            target
            for target in self.targets_by_id.values()
            if now - target["heard_at"] < TARGET_TTL_SECONDS and target["kind"] == "engine"
        ]
        if not usable:
            return callers_app.error_response(codes.Code.NO_TARGET, "no engine is announced")
        target = min(usable, key=lambda entry: entry["load"]["running"])
        self._next_attempt += 1
        stream = await self.engines.start(
            target["address"],
            {
                "attempt_id": f"{self.settings.gateway_id}-{self._next_attempt}",
                "model": "model",
                "adapter": "",
                "version": "1",
                "prompt": body["prompt"],
                "seed": 1,
                "max_tokens": body["max_tokens"],
                "prefix": [],
            },
        )
        return responses.StreamingResponse(self._relay(stream), media_type="text/event-stream")

    async def _relay(self, stream):
        async for batch in stream.batches():
            for event in batch:
                if event.name == "tokens":
                    data = orjson.loads(event.data)
                    offset = data["o"] + len(data["t"])
                    yield sse.encode("tokens", orjson.dumps(data), f"1:{offset}")
                if event.name == "end":
                    yield sse.encode("end", event.data.encode())


async def run(settings):
    """Runs a gateway until it is cancelled."""
    gateway = Gateway(settings)
    host, _, port = settings.listen.rpartition(":")
    server = await serving.start(callers_app.build_app(gateway), host, int(port))
    log.info("gateway: listens on %s", settings.listen)
    await server.task


def main(settings):
    """Runs the daemon."""
    asyncio.run(run(settings))
