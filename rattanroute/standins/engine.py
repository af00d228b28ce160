"""A stand-in model engine: `python -m rattanroute.standins.engine`."""

import asyncio

from aiohttp import web

from rattanroute.standins.announcers import LoadHistory
from rattanroute.standins.announcers import UsageStatement
from rattanroute.standins.chats import ChatHandler
from rattanroute.standins.orders import OrderHandler
from rattanroute.standins.resources import PrefixCache
from rattanroute.standins.resources import SlotQueue
from rattanroute.standins.servers import json_response
from rattanroute.standins.servers import main
from rattanroute.standins.servers import StandinServer
from rattanroute.standins.settings import EngineSettings
from rattanroute.standins.stages import StageHandler
from rattanroute.tables.targets import TargetReport


class StandinEngine(StandinServer):
    """A model engine that holds all layers or a range of them.

    Attributes:
        model: Loaded model.
        version: Loaded model version; empty for none.
        adapters: Loaded adapters.
        first_layer: First layer.
        last_layer: Last layer, inclusive.
        tasks: Tasks of running chat requests, by request and attempt.
    """

    settings: EngineSettings

    def __init__(self, settings: EngineSettings) -> None:
        super().__init__(settings)
        self.model = settings.model
        self.version = settings.version
        self.adapters = set(settings.adapters)
        self.first_layer = settings.first_layer
        self.last_layer = settings.last_layer
        self.slots = SlotQueue(
            slots=settings.slots, max_queued=settings.max_queued
        )
        self.cache = PrefixCache(
            blocks=settings.cache_blocks,
            event_lag_s=settings.cache_event_lag_s,
            event_gap=settings.cache_event_gap,
        )
        self.load = LoadHistory(lag_s=settings.report_lag_s)
        self.tasks: dict[tuple[str, int], asyncio.Task[object]] = {}
        self.chats = ChatHandler(self)
        self.stages = StageHandler(self)
        self.orders = OrderHandler(self)

    @property
    def holds_all_layers(self) -> bool:
        """Whether the engine holds all layers."""
        layers = self.last_layer - self.first_layer + 1
        return layers == self.settings.total_layers

    def build_report(self) -> TargetReport:
        """Returns the current report, with the load delayed as configured."""
        running, queued = self.load.record(
            running=self.slots.running, queued=self.slots.queued
        )
        return TargetReport(
            target_id=self.settings.target_id,
            address=self.address,
            data_centre=self.settings.data_centre,
            model=self.model,
            version=self.version,
            adapters=tuple(sorted(self.adapters)),
            first_layer=self.first_layer,
            last_layer=self.last_layer,
            total_layers=self.settings.total_layers,
            accelerator=self.settings.accelerator,
            slots=self.settings.slots,
            tokens_per_second=self.settings.tokens_per_second,
            running=running,
            queued=queued,
            cached_prefixes=self.cache.publish(),
            checks_fencing=self.settings.checks_fencing,
            leaving=self.leaving,
        )

    def build_app(self) -> web.Application:
        """Builds the application with the routes of an engine."""
        app = super().build_app()
        router = app.router
        router.add_post("/v1/chat/completions", self.chats.handle)
        router.add_post("/v1/cancel", self.cancel)
        router.add_get("/v1/stages/{request_id}", self.stages.handle)
        router.add_get("/v1/kv/{request_id}", self.stages.export_cache)
        router.add_put("/v1/kv/{request_id}", self.stages.import_cache)
        router.add_post("/v1/orders", self.orders.handle)
        router.add_get("/v1/orders", self.orders.get_received)
        return app

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels an attempt: `{"request_id": ..., "attempt": ...}`."""
        data = await request.json()
        key = (data["request_id"], int(data["attempt"]))
        task = self.tasks.get(key)
        if task is not None:
            task.cancel()
        return json_response({"cancelled": task is not None})

    def record_layers(
        self, request_id: str, attempt: int, position: int, layers: range
    ) -> None:
        """Adds the layers that ran for a position to the executions log."""
        for layer in layers:
            self.executions.append((request_id, attempt, position, layer))

    def decode_seconds(self) -> float:
        """Returns the time to decode a token at the current batch size."""
        others = max(0, self.slots.running - 1)
        slowdown = 1 + self.settings.batch_slowdown * others
        return slowdown / self.settings.tokens_per_second

    def report_usage(self, statement: UsageStatement) -> None:
        """Queues a usage statement for the next heartbeats."""
        self.announcer.report_usage(statement)


if __name__ == "__main__":
    main(StandinEngine, EngineSettings)
