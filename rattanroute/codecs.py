"""Encoding of peer messages: a numbered kind and a msgpack body."""

from types import ModuleType

import msgspec

from rattanroute.errors import CodecError
from rattanroute.messages import claims
from rattanroute.messages import consensus
from rattanroute.messages import departures
from rattanroute.messages import distributions
from rattanroute.messages import forwards
from rattanroute.messages import inspections
from rattanroute.messages import ledgers
from rattanroute.messages import loads
from rattanroute.messages import memberships
from rattanroute.messages import orders
from rattanroute.messages import quarantines
from rattanroute.messages import shares
from rattanroute.messages import targets

MODULES: tuple[ModuleType, ...] = (
    consensus,
    distributions,
    memberships,
    claims,
    shares,
    ledgers,
    targets,
    quarantines,
    orders,
    forwards,
    loads,
    departures,
    inspections,
)


def collect_kinds(modules: tuple[ModuleType, ...]) -> dict[int, type]:
    """Merges the `KINDS` maps of message modules.

    Raises:
        ValueError: If two classes have the same number.
    """
    kinds: dict[int, type] = {}
    for module in modules:
        for number, message_type in module.KINDS.items():
            if number in kinds:
                raise ValueError(f"message kind {number} is used twice")
            kinds[number] = message_type
    return kinds


TYPE_BY_KIND = collect_kinds(MODULES)
KIND_BY_TYPE = {kind: number for number, kind in TYPE_BY_KIND.items()}
ENCODER = msgspec.msgpack.Encoder()
DECODERS = {
    number: msgspec.msgpack.Decoder(kind)
    for number, kind in TYPE_BY_KIND.items()
}


def encode(message: object) -> tuple[int, bytes]:
    """Encodes a message as its kind number and body."""
    return KIND_BY_TYPE[type(message)], ENCODER.encode(message)


def decode(*, kind: int, body: bytes, peer: str) -> object:
    """Decodes and validates a message.

    Raises:
        CodecError: If the kind is unknown or the body does not fit its type.
    """
    decoder = DECODERS.get(kind)
    if decoder is None:
        raise CodecError(
            step="decode message", peer=peer, message=f"unknown kind {kind}"
        )
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise CodecError(
            step="decode message", peer=peer, message=str(error)
        ) from error
