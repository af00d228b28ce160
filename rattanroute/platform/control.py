"""The platform's control interface: configuration and liveness reports."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
import zlib

import xxhash

from rattanroute.control.configuration_hosts import ConfigurationHost
from rattanroute.gateway.routing_caches import MANIFEST
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.servers import Exchange
from rattanroute.logs import get_logger
from rattanroute.platform.manifests import decode_manifest
from rattanroute.platform.manifests import InvalidManifestError
from rattanroute.platform.replicas import BeatError
from rattanroute.platform.replicas import decode_beat
from rattanroute.systems.departures import DepartureSystem
from rattanroute.systems.reports import TargetReportSystem
from rattanroute.tables.changes import ANY_VERSION
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import encode_change
from rattanroute.tables.changes import PutManifest
from rattanroute.tables.changes import Verdict
from rattanroute.tables.configurations import Manifest
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.targets import TargetReport

CONFIGURATION_PATH = b"/rattanroute/config"
REPLICAS_PATH = b"/rattanroute/replicas/"
# Callers go on to another machine after one second without an answer.
ANSWER_SECONDS = 0.9
MILLISECONDS = 1000
JSON = [(b"Content-Type", b"application/json")]

log = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True)
class ControlHandler:
    """Answers operators and replicas.

    Attributes:
        vm_id: This VM; named as the operator in audit records.
        zones: Known zones.
        configurations: The configuration log.
        routing: Returns the manifest in force.
        reports: Passes reports of targets to the other VMs.
        departures: Passes notices of targets that end.
        execute: Executes the actions of the two.
        stall_s: Time after which engines end work that waits for a dead one.
    """

    vm_id: str
    zones: frozenset[str]
    configurations: ConfigurationHost
    routing: Callable[[], RoutingTable | None]
    reports: TargetReportSystem
    departures: DepartureSystem
    execute: Callable[[list[object]], None]
    stall_s: float

    async def handle(self, exchange: Exchange) -> None:
        """Answers a request."""
        head = exchange.request.head
        if head.path == CONFIGURATION_PATH and head.method == b"PUT":
            await self.put_configuration(exchange)
        elif head.path == CONFIGURATION_PATH and head.method == b"GET":
            await self.get_configuration(exchange)
        elif head.path.startswith(REPLICAS_PATH) and head.method == b"PUT":
            self.take_beat(exchange)
        elif head.path.startswith(REPLICAS_PATH) and head.method == b"DELETE":
            self.take_leave(exchange)
        else:
            exchange.send(ResponseHead(status=404))

    async def put_configuration(self, exchange: Exchange) -> None:
        """Takes a configuration; acknowledged once it is durable."""
        body = exchange.request.body
        try:
            table = decode_manifest(body, stall_s=self.stall_s)
        except InvalidManifestError as error:
            log.info("manifest refused", error=error.message)
            exchange.send(ResponseHead(status=400), error.message.encode())
            return
        digest = xxhash.xxh3_64_hexdigest(body)
        change = Change(
            command_id=f"manifest:{table.revision}:{digest}",
            operator="platform",
            expected_version=ANY_VERSION,
            operations=(
                PutManifest(
                    entity=Manifest(
                        name=MANIFEST,
                        revision=table.revision,
                        content=zlib.compress(body, 1),
                    )
                ),
            ),
            created_at=time.time(),
        )
        result = await self.configurations.log.propose(
            encode_change(change), ANSWER_SECONDS
        )
        if result.is_error():
            log.info(
                "manifest not accepted",
                revision=table.revision,
                leader=self.configurations.leader,
                error=result.error,
            )
            exchange.send(ResponseHead(status=503))
            return
        accepted = result.ok.verdict is Verdict.ACCEPTED
        log.info(
            "manifest accepted" if accepted else "manifest refused",
            revision=table.revision,
            version=result.ok.version,
            problems=result.ok.problems,
        )
        exchange.send(ResponseHead(status=200 if accepted else 400))

    async def get_configuration(self, exchange: Exchange) -> None:
        """Returns the newest configuration, or 503 when that is not sure."""
        result = await self.configurations.log.read_barrier(ANSWER_SECONDS)
        manifests = self.configurations.replica.configuration.manifests
        manifest = manifests.get(MANIFEST)
        if result.is_error() or manifest is None:
            log.info(
                "manifest not read",
                leader=self.configurations.leader,
                error=result.error if result.is_error() else "none",
            )
            exchange.send(ResponseHead(status=503))
            return
        body = zlib.decompress(manifest.content)
        exchange.send(ResponseHead(status=200, headers=JSON), body)

    def take_beat(self, exchange: Exchange) -> None:
        """Takes a liveness report."""
        replica_id = read_replica_id(exchange)
        table = self.routing()
        try:
            report = decode_beat(
                replica_id,
                exchange.request.body,
                services=table.services if table else {},
                zones=self.zones,
            )
        except BeatError as error:
            log.info("report refused", target=replica_id, error=error.message)
            exchange.send(ResponseHead(status=400))
            return
        self.record(report)
        exchange.send(ResponseHead(status=200, headers=JSON), b"{}")

    def record(self, report: TargetReport) -> None:
        """Stores a report and passes it on."""
        now = asyncio.get_running_loop().time()
        known = self.reports.targets.get(report.target_id)
        if report.leaving:
            self.depart(report.target_id, report.incarnation, "draining")
        elif self.departures.covers(report):
            report.leaving = True
        elif known is None or known.report.incarnation != report.incarnation:
            log.info(
                "target reported",
                target=report.target_id,
                service=report.model,
                address=report.address,
                data_centre=report.data_centre,
                incarnation=report.incarnation,
            )
        self.execute(self.reports.announce(report=report, now=now))

    def take_leave(self, exchange: Exchange) -> None:
        """Takes the notice of a replica that ends."""
        replica_id = read_replica_id(exchange)
        known = self.reports.targets.get(replica_id)
        until = int(time.time() * MILLISECONDS)
        if known is not None:
            until = known.report.incarnation
        self.depart(replica_id, until, "leaving")
        exchange.send(ResponseHead(status=200, headers=JSON), b"{}")

    def depart(self, target_id: str, until: int, reason: str) -> None:
        """Keeps new work from a target on every VM."""
        now = asyncio.get_running_loop().time()
        known = self.departures.rows.get(target_id)
        if known is None or known.until_incarnation < until:
            log.info(
                "target departs",
                target=target_id,
                incarnation=until,
                reason=reason,
            )
        self.execute(
            self.departures.announce(
                target_id=target_id, until_incarnation=until, now=now
            )
        )


def read_replica_id(exchange: Exchange) -> str:
    """Returns the replica that a path names."""
    return exchange.request.head.path[len(REPLICAS_PATH) :].decode("latin-1")
