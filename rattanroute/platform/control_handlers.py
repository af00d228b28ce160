"""HTTP handler for the platform's configuration and liveness reports."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
import zlib

import xxhash

from rattanroute.control.configuration_hosts import ConfigurationHost
from rattanroute.control.departure_confirmations import DepartureConfirmations
from rattanroute.gateway.routing_caches import MANIFEST
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.servers import Exchange
from rattanroute.logs import get_logger
from rattanroute.platform.manifests import InvalidManifestError
from rattanroute.platform.manifests import ManifestDecoder
from rattanroute.platform.replica_codecs import build_report_error
from rattanroute.platform.replica_codecs import decode_liveness_report
from rattanroute.platform.replica_codecs import InvalidLivenessReportError
from rattanroute.platform.replica_codecs import SERVICE_HOLD_SECONDS
from rattanroute.systems.departures import DepartureSystem
from rattanroute.systems.reports import TargetReportSystem
from rattanroute.tables.changes import ANY_VERSION
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import encode_change
from rattanroute.tables.changes import PutManifest
from rattanroute.tables.changes import Verdict
from rattanroute.tables.configurations import Manifest
from rattanroute.tables.manifest_contents import compress_content
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.targets import TargetReport

CONFIGURATION_PATH = b"/rattanroute/config"
REPLICAS_PATH = b"/rattanroute/replicas/"
# Clients try another machine after one second without an answer.
ANSWER_TIMEOUT_SECONDS = 0.9
MILLISECONDS = 1000
JSON = [(b"Content-Type", b"application/json")]

log = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True)
class ControlHandler:
    """Handles HTTP requests of operators and replicas.

    Attributes:
        vm_id: Identifier of this VM.
        zones: Names of the platform's zones, which are data centres.
        configurations: Host of the replicated configuration log.
        routing: Returns the active routing table; None before the first one.
        reports: Distributes reports of targets to the other VMs.
        departures: Distributes departure notices of targets.
        confirmations: Waits until another voter holds a notice.
        execute: Executes the actions that `reports` and `departures` return.
        manifests: Decodes and validates configurations.
    """

    vm_id: str
    zones: frozenset[str]
    configurations: ConfigurationHost
    routing: Callable[[], RoutingTable | None]
    reports: TargetReportSystem
    departures: DepartureSystem
    confirmations: DepartureConfirmations
    execute: Callable[[list[object]], None]
    manifests: ManifestDecoder

    async def handle(self, exchange: Exchange) -> None:
        """Dispatches a request by its path and method."""
        head = exchange.request.head
        if head.path == CONFIGURATION_PATH and head.method == b"PUT":
            await self.put_configuration(exchange)
        elif head.path == CONFIGURATION_PATH and head.method == b"GET":
            await self.get_configuration(exchange)
        elif head.path.startswith(REPLICAS_PATH) and head.method == b"PUT":
            await self.handle_liveness_report(exchange)
        elif head.path.startswith(REPLICAS_PATH) and head.method == b"DELETE":
            await self.handle_leave_notice(exchange)
        else:
            exchange.send(ResponseHead(status=404))

    async def put_configuration(self, exchange: Exchange) -> None:
        """Proposes a configuration and acknowledges it once it is committed."""
        body = exchange.request.body
        try:
            table = self.manifests.decode(body, submitted=True)
        except InvalidManifestError as error:
            log.info("manifest refused", error=error.message)
            exchange.send(ResponseHead(status=400), error.message.encode())
            return
        # The digest of the compressed content: another release or library may
        # compress the same body to other bytes, which are another command.
        content = compress_content(body)
        digest = xxhash.xxh3_64_hexdigest(content)
        change = Change(
            command_id=f"manifest:{table.revision}:{digest}",
            operator="platform",
            expected_version=ANY_VERSION,
            operations=(
                PutManifest(
                    entity=Manifest(
                        name=MANIFEST,
                        revision=table.revision,
                        content=content,
                    )
                ),
            ),
            created_at=time.time(),
        )
        result = await self.configurations.log.propose(
            encode_change(change), ANSWER_TIMEOUT_SECONDS
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
        """Returns the latest configuration; 503 if it cannot be confirmed."""
        result = await self.configurations.log.read_barrier(
            ANSWER_TIMEOUT_SECONDS
        )
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

    async def handle_liveness_report(self, exchange: Exchange) -> None:
        """Decodes and distributes a liveness report of a replica."""
        replica_id = read_replica_id(exchange)
        table = self.routing()
        try:
            report = decode_liveness_report(
                replica_id,
                exchange.request.body,
                services=table.services if table else {},
                zones=self.zones,
            )
            self.check_service(report)
        except InvalidLivenessReportError as error:
            log.info(
                "liveness report refused",
                target=replica_id,
                error=error.message,
            )
            exchange.send(ResponseHead(status=400))
            return
        self.store_report(report)
        if report.leaving:
            await self.confirmations.wait(replica_id)
        exchange.send(ResponseHead(status=200, headers=JSON), b"{}")

    def check_service(self, report: TargetReport) -> None:
        """Checks that a running replica has not changed its service.

        Raises:
            InvalidLivenessReportError: If it reported another one just before.
        """
        known = self.reports.targets.get(report.target_id)
        if known is None or known.report.model == report.model:
            return
        now = asyncio.get_running_loop().time()
        if now - known.received_at < SERVICE_HOLD_SECONDS:
            raise build_report_error(
                report.target_id,
                f"{known.report.model!r} runs under this identifier",
            )

    def store_report(self, report: TargetReport) -> None:
        """Stores a report and distributes it to the other VMs.

        A report of an incarnation that announced its departure is marked as
        leaving.
        """
        now = asyncio.get_running_loop().time()
        target = self.reports.targets.get(report.target_id)
        if report.leaving:
            self.announce_departure(
                report.target_id, report.incarnation, "draining"
            )
        elif self.departures.covers(report):
            report.leaving = True
        elif target is None or target.report.incarnation != report.incarnation:
            log.info(
                "target reported",
                target=report.target_id,
                service=report.model,
                address=report.address,
                data_centre=report.data_centre,
                incarnation=report.incarnation,
            )
        self.execute(self.reports.announce(report=report, now=now))

    async def handle_leave_notice(self, exchange: Exchange) -> None:
        """Handles the notice of a replica that shuts down."""
        replica_id = read_replica_id(exchange)
        target = self.reports.targets.get(replica_id)
        until = int(time.time() * MILLISECONDS)
        if target is not None:
            until = target.report.incarnation
        self.announce_departure(replica_id, until, "leaving")
        await self.confirmations.wait(replica_id)
        exchange.send(ResponseHead(status=200, headers=JSON), b"{}")

    def announce_departure(
        self, target_id: str, until: int, reason: str
    ) -> None:
        """Announces to every VM that a target accepts no new work.

        Args:
            target_id: Identifier of the target.
            until: Last incarnation that the notice covers, in Unix
                milliseconds.
            reason: Where the notice came from, for the log.
        """
        now = asyncio.get_running_loop().time()
        notice = self.departures.rows.get(target_id)
        if notice is None or notice.until_incarnation < until:
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
    """Returns the replica identifier in the path of a request."""
    return exchange.request.head.path[len(REPLICAS_PATH) :].decode("latin-1")
