"""Daemons of the stand-ins for an engine, a plain service and the weight store."""

import asyncio
import logging
import signal

from chiveswitch.core import settings as settings_module
from chiveswitch.core import telemetry
from chiveswitch.engine_orders import weight_store
from chiveswitch.targets import announcer, standin_engine, standin_service
from chiveswitch.tools import serving

log = logging.getLogger("chiveswitch.standin")

# Time to keep serving after the first `leaving` announcement. Gateways may still send new work for
# up to 3 s.
LEAVE_GRACE_SECONDS = 3.0
IDLE_CHECK_INTERVAL_SECONDS = 0.05


def stop_event() -> asyncio.Event:
    """Returns an event that is set by SIGTERM and SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


async def serve_target(settings, app, describe, is_idle, background=()):
    """Serves and announces a target until SIGTERM, then lets it leave and finish its work.

    Args:
        settings: Settings with `target_id`, `listen` and `gateways`.
        app: The target's HTTP application.
        describe: Function that returns the announcement's changing fields.
        is_idle: Function that returns whether the target has no work left.
        background: Coroutines that run until the target ends.
    """
    stopping = stop_event()
    host, _, port = settings.listen.rpartition(":")
    server = await serving.start(app, host, int(port))
    log.info("standin: %s listens on %s", settings.target_id, settings.listen)
    gateways = settings_module.split_list(settings.gateways)
    tasks = [asyncio.ensure_future(coroutine) for coroutine in background]
    announcing = announcer.Announcer(describe, gateways, offset=int(port)) if gateways else None
    if announcing:
        tasks.append(asyncio.ensure_future(announcing.run()))
    waiting = asyncio.ensure_future(stopping.wait())
    done, _ = await asyncio.wait(
        [server.task, waiting, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    # A failed task ends the daemon with its error, so that no partly working target stays up.
    for task in done:
        task.result()
    if announcing:
        announcing.state = "leaving"
        await announcing.announce()
        await asyncio.sleep(LEAVE_GRACE_SECONDS)
    while True:
        if is_idle():
            break
        await asyncio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
    await serving.stop(server)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    log.info("standin: %s finished all work and stopped", settings.target_id)


async def run_engine(settings):
    """Runs a stand-in engine until SIGTERM."""
    models = [
        tuple((model + "::").split(":")[:3])
        for model in settings_module.split_list(settings.models)
    ]
    fetch = None
    if settings.weight_store:
        limit = weight_store.TokenBucket(settings.weight_store_rate, settings.weight_store_rate)
        fetch = weight_store.Client(settings.weight_store, limit).fetch
    engine = standin_engine.Engine(
        standin_engine.EngineSettings(
            token_seconds=settings.token_seconds, honours_fencing=not settings.ignores_fencing
        ),
        models,
        fetch=fetch or refuse_fetch,
    )

    def describe():
        return announcer.build_announcement(
            settings.target_id,
            "engine",
            settings.availability_zone,
            settings.listen,
            engine.load_report(),
            engine.models,
            engine.role,
            not settings.ignores_fencing,
        )

    instruments = telemetry.Telemetry("engine", settings.target_id, settings.trace_file)
    await serve_target(
        settings,
        standin_engine.build_app(engine, instruments),
        describe,
        lambda: not engine.running and not engine.queue,
        [engine.run(), engine.follow_orders()],
    )


async def refuse_fetch(_triple):
    """Returns a failure, because an engine without a weight store cannot load models."""
    return weight_store.fetch_failure("the engine was started without --weight-store")


async def run_service(settings):
    """Runs a stand-in plain service until SIGTERM."""
    names = settings_module.split_list(settings.services)
    service = standin_service.Service(names, settings.delay_seconds, settings.ledger_file)

    def describe():
        return announcer.build_announcement(
            settings.target_id,
            "service",
            settings.availability_zone,
            settings.listen,
            service.load_report(),
            services=names,
        )

    await serve_target(
        settings, standin_service.build_app(service), describe, lambda: service.open_calls == 0
    )


async def run_weight_store(settings):
    """Runs the stand-in weight store until SIGTERM."""
    stopping = stop_event()
    host, _, port = settings.listen.rpartition(":")
    limit = weight_store.TokenBucket(settings.rate, settings.burst)
    server = await serving.start(weight_store.build_app(limit), host, int(port))
    log.info("weight store: listens on %s", settings.listen)
    await stopping.wait()
    await serving.stop(server)


def run_engine_main(settings):
    """Runs the stand-in engine's daemon."""
    asyncio.run(run_engine(settings))


def run_service_main(settings):
    """Runs the stand-in service's daemon."""
    asyncio.run(run_service(settings))


def run_weight_store_main(settings):
    """Runs the stand-in weight store's daemon."""
    asyncio.run(run_weight_store(settings))
