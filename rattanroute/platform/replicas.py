"""Decodes what the platform's replicas say of themselves, and their orders."""

import msgspec

from rattanroute.errors import RouterError
from rattanroute.gateway.engine_control_clients import EngineState
from rattanroute.gateway.engine_control_clients import StalledRequest
from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.platform.headers import read_answer
from rattanroute.systems.layer_assignments import LayerRange
from rattanroute.tables.routes import BackendService
from rattanroute.tables.targets import TargetKind
from rattanroute.tables.targets import TargetReport

READY = "ready"
DRAINING = "draining"
REPORT_PATH = b"/rattanroute/report"
ORDER_PATH = b"/rattanroute/order"


class Layers(
    msgspec.Struct, frozen=True, kw_only=True, rename={"first": "from"}
):
    """Layers that a replica holds; `to` is the layer after the last one."""

    first: int
    to: int


class Beat(msgspec.Struct, frozen=True, kw_only=True):
    """A liveness report.

    Attributes:
        sequence: Number of this report, not of the orders taken.
        born: Start of the replica, in Unix milliseconds.
        kind: Kind of its accelerator; empty for a plain service.
    """

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    slots: int = 1
    born: int = 0
    kind: str = ""
    layers: Layers | list[Layers] | None = None


class Stalled(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits for a member of its chain."""

    id: str
    address: str = ""


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a replica.

    Attributes:
        sequence: Number of the orders accepted, not of the reports.
        born: Start of the replica, in Unix milliseconds.
        pace: Over 1 when the replica is slow.
    """

    sequence: int = 0
    busy: bool = False
    born: int = 0
    queued: int = 0
    active: int = 0
    pace: float = 1.0
    layers: Layers | list[Layers] | None = None
    stalled: list[Stalled] = []


BEAT_DECODER = msgspec.json.Decoder(Beat)
REPORT_DECODER = msgspec.json.Decoder(Report)


class BeatError(RouterError):
    """A liveness report names no replica to use."""


def decode_beat(
    replica_id: str,
    data: bytes,
    *,
    services: dict[str, BackendService],
    zones: frozenset[str],
) -> TargetReport:
    """Decodes a liveness report.

    Args:
        replica_id: Identifier from the path.
        data: The JSON document.
        services: Known services by name; empty before the first
            configuration, when a service cannot be checked.
        zones: Known zones.

    Raises:
        BeatError: If it cannot be read or does not make sense.
    """
    try:
        beat = BEAT_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise refuse(replica_id, str(error)) from error
    if beat.state not in (READY, DRAINING):
        raise refuse(replica_id, f"unknown state {beat.state!r}")
    if beat.zone not in zones:
        raise refuse(replica_id, f"unknown zone {beat.zone!r}")
    host, _, port = beat.address.rpartition(":")
    if not host or not port.isdigit():
        raise refuse(replica_id, f"bad address {beat.address!r}")
    service = services.get(beat.service)
    if services and service is None:
        raise refuse(replica_id, f"unknown service {beat.service!r}")
    layers = 0
    if service is not None and service.engine is not None:
        layers = service.engine.layers
    held = find_layers(beat.layers)
    return TargetReport(
        target_id=replica_id,
        incarnation=beat.born,
        sequence=beat.sequence,
        address=beat.address,
        data_centre=beat.zone,
        kind=TargetKind.MODEL if layers else TargetKind.SERVICE,
        model=beat.service,
        first_layer=held.first if held else 0,
        last_layer=held.end - 1 if held else -1,
        total_layers=layers,
        accelerator=beat.kind,
        slots=max(1, beat.slots),
        leaving=beat.state == DRAINING,
    )


def refuse(replica_id: str, message: str) -> BeatError:
    """Returns the error of a report that is not used."""
    return BeatError(step="read report", peer=replica_id, message=message)


def find_layers(layers: Layers | list[Layers] | None) -> LayerRange | None:
    """Returns the layers that a replica holds; None when it is empty."""
    if isinstance(layers, list):
        layers = layers[0] if layers else None
    if layers is None or layers.to <= layers.first:
        return None
    return LayerRange(first=layers.first, end=layers.to)


def decode_report(address: str, data: bytes) -> Report:
    """Decodes the state of a replica.

    Raises:
        BeatError: If it cannot be read.
    """
    try:
        return REPORT_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise refuse(address, str(error)) from error


class PlatformOrders:
    """Questions and orders to replicas."""

    def build_state_request(self, address: str) -> RequestHead:
        """Returns the head of the question for a replica's state."""
        return RequestHead(
            method=b"GET",
            target=REPORT_PATH,
            headers=[(b"Host", address.encode())],
        )

    def decode_state(self, address: str, data: bytes) -> EngineState:
        """Decodes a replica's state.

        Raises:
            BeatError: If it cannot be read.
        """
        report = decode_report(address, data)
        return EngineState(
            orders=report.sequence,
            busy=report.busy,
            pace=report.pace,
            layers=find_layers(report.layers),
            queued=report.queued,
            incarnation=report.born,
            stalled=tuple(
                StalledRequest(request_id=item.id, address=item.address)
                for item in report.stalled
            ),
        )

    def read_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Decodes what an answer says about the replica."""
        return read_answer(head)

    def build_order(self, address: str) -> RequestHead:
        """Returns the head of an order."""
        return RequestHead(
            method=b"POST",
            target=ORDER_PATH,
            headers=[
                (b"Host", address.encode()),
                (b"Content-Type", b"application/json"),
            ],
        )

    def encode_order(
        self, layers: LayerRange, *, fence: int, expected: int
    ) -> bytes:
        """Encodes the order to hold some layers.

        Args:
            layers: The layers.
            fence: Fencing token of the sender.
            expected: Orders that the replica has accepted so far.
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
