"""Encoding of peer messages: a numbered kind and a msgpack body.

A message module is imported when its first message is encoded or decoded: no
VM uses all of them, and importing their classes slows down the start.
"""

import functools
import importlib

import msgspec

from rattanroute.errors import CodecError

MESSAGES_PACKAGE = "rattanroute.messages"
# Maximum range of message numbers of one module.
NUMBERS_PER_MODULE = 20
# Message modules by their first message number.
MODULES: dict[int, str] = {
    20: "consensus",
    40: "distributions",
    60: "memberships",
    80: "claims",
    100: "shares",
    120: "ledgers",
    140: "targets",
    160: "quarantines",
    180: "orders",
    200: "forwards",
    220: "loads",
    240: "departures",
    250: "inspections",
    270: "crashbans",
}
# Greater than the number of classes; limits the cache entries that a peer can
# create with invalid numbers.
MAX_DECODERS = 256
ENCODER = msgspec.msgpack.Encoder()


def load_kinds(module_name: str) -> dict[int, type]:
    """Returns the message classes of a module by number."""
    return importlib.import_module(module_name).KINDS


@functools.cache
def find_number(message_type: type) -> int:
    """Returns the number of a message class.

    Raises:
        KeyError: If the class is missing from `KINDS` of its module.
    """
    kinds = load_kinds(message_type.__module__)
    return {kind: number for number, kind in kinds.items()}[message_type]


def find_module(number: int) -> str | None:
    """Returns the message module of a number; None if it is unassigned."""
    starts = [start for start in MODULES if start <= number]
    if not starts or number - max(starts) >= NUMBERS_PER_MODULE:
        return None
    return MODULES[max(starts)]


@functools.lru_cache(maxsize=MAX_DECODERS)
def find_decoder(number: int) -> msgspec.msgpack.Decoder | None:
    """Returns the decoder of a message number; None if it is unassigned."""
    module = find_module(number)
    if module is None:
        return None
    kinds = load_kinds(f"{MESSAGES_PACKAGE}.{module}")
    kind = kinds.get(number)
    return None if kind is None else msgspec.msgpack.Decoder(kind)


def encode(message: object) -> tuple[int, bytes]:
    """Encodes a message as its number and body."""
    return find_number(type(message)), ENCODER.encode(message)


def decode(*, kind: int, body: bytes, peer: str) -> object:
    """Decodes and validates a message.

    Raises:
        CodecError: If the kind is unknown or the body is invalid for it.
    """
    decoder = find_decoder(kind)
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
