"""A stand-in service: `python -m rattanroute.standins.service`."""

import time

from aiohttp import web
import msgspec

from rattanroute.standins.announcers import UsageStatement
from rattanroute.standins.resources import QueueFullError
from rattanroute.standins.resources import SlotQueue
from rattanroute.standins.servers import break_connection
from rattanroute.standins.servers import error_response
from rattanroute.standins.servers import json_response
from rattanroute.standins.servers import main
from rattanroute.standins.servers import StandinServer
from rattanroute.standins.settings import ServiceSettings
from rattanroute.tables.targets import TargetKind
from rattanroute.tables.targets import TargetReport


class StandinService(StandinServer):
    """A service that stores records in memory.

    Attributes:
        journal: Recorded operations, oldest first.
    """

    settings: ServiceSettings

    def __init__(self, settings: ServiceSettings) -> None:
        super().__init__(settings)
        self.slots = SlotQueue(
            slots=settings.slots, max_queued=settings.max_queued
        )
        self.journal: list[dict[str, object]] = []

    def build_report(self) -> TargetReport:
        """Returns the current report."""
        return TargetReport(
            target_id=self.settings.target_id,
            address=self.address,
            data_centre=self.settings.data_centre,
            kind=TargetKind.SERVICE,
            model=self.settings.service,
            slots=self.settings.slots,
            running=self.slots.running,
            queued=self.slots.queued,
            leaving=self.leaving,
        )

    def build_app(self) -> web.Application:
        """Builds the application with the route of operations."""
        app = super().build_app()
        app.router.add_post("/operations/{operation}", self.run_operation)
        return app

    async def run_operation(self, request: web.Request) -> web.Response:
        """Runs an operation in a slot or refuses it."""
        if self.faults.refuse or self.slots.full:
            return error_response(503, "overloaded", Retry_After="1")
        try:
            data = msgspec.json.decode(await request.read() or b"{}")
        except msgspec.DecodeError:
            return error_response(400, "invalid_json")
        self.active += 1
        try:
            async with self.slots.hold_slot(0):
                return await self.execute(request, data)
        except QueueFullError:
            return error_response(503, "overloaded", Retry_After="1")
        finally:
            self.active -= 1

    async def execute(
        self, request: web.Request, data: dict[str, object]
    ) -> web.StreamResponse:
        """Reads the records for a lookup; otherwise adds a record."""
        faults = self.faults
        marker = faults.crash_marker
        if marker and marker in msgspec.json.encode(data).decode():
            self.crash()
        started = time.monotonic()
        operation = request.match_info["operation"]
        request_id = request.headers.get("X-Request-Id", "")
        attempt = int(request.headers.get("X-Attempt", "1"))
        await self.pause(self.settings.delay_s)
        self.executions.append((request_id, attempt, operation, data))
        if operation in self.settings.lookups:
            result: dict[str, object] = {"records": self.journal[-100:]}
        else:
            self.journal.append({"operation": operation, **data})
            result = {"recorded": len(self.journal)}
        self.announcer.report_usage(
            UsageStatement(
                request_id=request_id,
                attempt=attempt,
                account=request.headers.get("X-Account", ""),
                tokens_in=0,
                tokens_out=0,
                seconds=time.monotonic() - started,
                layers=0,
            )
        )
        if faults.crash_at >= 0:
            self.crash()
        if faults.close_at >= 0:
            break_connection(request)
        return json_response({"request_id": request_id, **result})


if __name__ == "__main__":
    main(StandinService, ServiceSettings)
