"""Daemons of the stand-in engine and the stand-in plain service."""

import asyncio
import logging

from chiveswitch.core import settings as settings_module
from chiveswitch.targets import announcer, standin_engine
from chiveswitch.tools import serving

log = logging.getLogger("chiveswitch.engine")


async def run_engine(settings):
    """Runs a stand-in engine until it is cancelled."""
    models = [
        tuple((model + "::").split(":")[:3])
        for model in settings_module.split_list(settings.models)
    ]
    engine = standin_engine.Engine(
        standin_engine.EngineSettings(token_seconds=settings.token_seconds), models
    )
    host, _, port = settings.listen.rpartition(":")
    server = await serving.start(standin_engine.build_app(engine), host, int(port))
    stepper = asyncio.ensure_future(engine.run())

    def describe():
        return {
            "id": settings.target_id,
            "kind": "engine",
            "availability_zone": settings.availability_zone,
            "address": settings.listen,
            "models": [list(model) for model in engine.models],
            "role": "mixed",
            "load": engine.load(),
            "warm": [],
            "honours_fencing": True,
            "services": [],
        }

    announcing = announcer.Announcer(
        describe, settings_module.split_list(settings.gateways), offset=int(port)
    )
    log.info("engine: %s listens on %s", settings.target_id, settings.listen)
    await asyncio.gather(server.task, stepper, announcing.run())


def run_engine_main(settings):
    """Runs the stand-in engine's daemon."""
    asyncio.run(run_engine(settings))
