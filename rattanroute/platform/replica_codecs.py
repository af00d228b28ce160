"""Codec of liveness reports, state queries and layer orders of replicas."""

from typing import Annotated

import msgspec

from rattanroute.errors import RouterError
from rattanroute.gateway.engine_control_clients import EngineState
from rattanroute.gateway.engine_control_clients import StalledRequest
from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.platform.headers import EXPECTED_TARGET
from rattanroute.platform.headers import read_answer
from rattanroute.systems.layer_assignments import LayerRange
from rattanroute.tables.routes import BackendService
from rattanroute.tables.targets import TargetKind
from rattanroute.tables.targets import TargetReport

READY = "ready"
DRAINING = "draining"
# Far above the layers of any model.
MAX_LAYERS = 4_096
MAX_SLOTS = 1_000_000
# Counters and times are encoded in 64 bits.
MAX_COUNTER = 2**53
# Time in seconds for which a replica that has reported keeps its service. One
# that starts again keeps it as well, so that a report of another service under
# its identifier comes from another writer.
SERVICE_HOLD_SECONDS = 5.0
STATE_PATH = b"/rattanroute/report"
ORDER_PATH = b"/rattanroute/order"


Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
LayerNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYERS)]


class LayersDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename={"first": "from"}
):
    """Layers that a replica holds; `to` is exclusive."""

    first: LayerNumber
    to: LayerNumber


class LivenessDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A liveness report that a replica sends.

    All fields that the platform names are required: a report without one of
    them comes from another writer.

    Attributes:
        version: Version of the replica's software.
        cold_left_ms: Milliseconds for which it is still slow after its start.
        sequence: Number of this report; the field of the same name in
            `StateDocument` counts layer orders.
        born: Start time of the replica, in Unix milliseconds.
        kind: Kind of its accelerator; empty for a plain service.
    """

    service: str
    address: str
    zone: str
    version: str
    state: str
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(
        name="coldLeftMs"
    )
    sequence: Counter
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    born: Counter = 0
    kind: str = ""
    layers: LayersDocument | list[LayersDocument] | None = None


class StalledDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits for the target of its chain at `address`."""

    id: str
    address: str = ""


class StateDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The state that a replica returns to a state query.

    Attributes:
        sequence: Number of layer orders accepted, not of liveness reports.
        busy: Whether the replica is executing a layer order.
        born: Start time of the replica, in Unix milliseconds.
        queued: Requests in its queue that have not started.
        active: Requests that it is running.
        pace: Factor on the usual duration of its steps; over 1 if it is slow.
    """

    sequence: Counter = 0
    busy: bool = False
    born: Counter = 0
    queued: Counter = 0
    active: Counter = 0
    pace: float = 1.0
    layers: LayersDocument | list[LayersDocument] | None = None
    stalled: list[StalledDocument] = []


LIVENESS_DECODER = msgspec.json.Decoder(LivenessDocument)
STATE_DECODER = msgspec.json.Decoder(StateDocument)


class InvalidLivenessReportError(RouterError):
    """A liveness report or a replica's state is malformed or invalid."""


def decode_liveness_report(
    replica_id: str,
    data: bytes,
    *,
    services: dict[str, BackendService],
    zones: frozenset[str],
) -> TargetReport:
    """Decodes and validates a liveness report.

    Args:
        replica_id: Identifier in the request path.
        data: The JSON document.
        services: Configured services by name; empty before the first
            configuration, when the service of a report is not checked.
        zones: Names of the platform's zones, which are data centres.

    Raises:
        InvalidLivenessReportError: If it is malformed or has an unknown state,
            zone or service, or a malformed address.
    """
    try:
        report = LIVENESS_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise build_report_error(replica_id, str(error)) from error
    if report.state not in (READY, DRAINING):
        raise build_report_error(replica_id, f"unknown state {report.state!r}")
    if report.zone not in zones:
        raise build_report_error(replica_id, f"unknown zone {report.zone!r}")
    host, _, port = report.address.rpartition(":")
    if not host or not port.isdigit():
        raise build_report_error(replica_id, f"bad address {report.address!r}")
    service = services.get(report.service)
    if services and service is None:
        raise build_report_error(
            replica_id, f"unknown service {report.service!r}"
        )
    layers = 0
    if service is not None and service.engine is not None:
        layers = service.engine.layers
    held = build_layer_range(report.layers)
    return TargetReport(
        target_id=replica_id,
        incarnation=report.born,
        sequence=report.sequence,
        address=report.address,
        data_centre=report.zone,
        kind=TargetKind.MODEL if layers else TargetKind.SERVICE,
        model=report.service,
        first_layer=held.first if held else 0,
        last_layer=held.end - 1 if held else -1,
        total_layers=layers,
        accelerator=report.kind,
        slots=max(1, report.slots),
        leaving=report.state == DRAINING,
    )


def build_report_error(
    replica_id: str, message: str
) -> InvalidLivenessReportError:
    """Returns the error for a refused report."""
    return InvalidLivenessReportError(
        step="read report", peer=replica_id, message=message
    )


def build_layer_range(
    layers: LayersDocument | list[LayersDocument] | None,
) -> LayerRange | None:
    """Returns the layers that a replica holds; None if it holds none.

    Only the first range of a list is used.
    """
    if isinstance(layers, list):
        layers = layers[0] if layers else None
    if layers is None or layers.to <= layers.first:
        return None
    return LayerRange(first=layers.first, end=layers.to)


def decode_replica_state(address: str, data: bytes) -> StateDocument:
    """Decodes the state document of a replica.

    Raises:
        InvalidLivenessReportError: If it is malformed.
    """
    try:
        return STATE_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise build_report_error(address, str(error)) from error


class ReplicaCodec:
    """Encodes state queries and layer orders and decodes states."""

    def build_state_request(self, address: str) -> RequestHead:
        """Returns the head of a state query."""
        return RequestHead(
            method=b"GET",
            target=STATE_PATH,
            headers=[(b"Host", address.encode())],
        )

    def decode_state(self, address: str, data: bytes) -> EngineState:
        """Decodes a replica's state.

        Raises:
            InvalidLivenessReportError: If it is malformed.
        """
        report = decode_replica_state(address, data)
        return EngineState(
            orders=report.sequence,
            busy=report.busy,
            pace=report.pace,
            layers=build_layer_range(report.layers),
            queued=report.queued,
            incarnation=report.born,
            stalled=tuple(
                StalledRequest(request_id=item.id, address=item.address)
                for item in report.stalled
            ),
        )

    def read_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Decodes the metadata in the head of an answer."""
        return read_answer(head)

    def build_order(self, address: str, target_id: str) -> RequestHead:
        """Returns the head of a layer order to a replica.

        Any other replica at the address answers 421.
        """
        return RequestHead(
            method=b"POST",
            target=ORDER_PATH,
            headers=[
                (b"Host", address.encode()),
                (b"Content-Type", b"application/json"),
                (EXPECTED_TARGET, target_id.encode()),
            ],
        )

    def encode_order(
        self, layers: LayerRange, *, fence: int, expected: int
    ) -> bytes:
        """Encodes the body of a layer order.

        Args:
            layers: Layers that the replica shall hold.
            fence: Fencing token of the sender's leader lease.
            expected: Number of orders that the replica has accepted so far.
        """
        return msgspec.json.encode(
            {
                "operation": "place",
                "from": layers.first,
                "to": layers.end,
                "mode": "wait",
                "fence": fence,
                "expected": expected,
            }
        )
