"""Compression of manifests in pieces, and patches between two of them.

A content is one zlib stream whose pieces are compressed independently and end
with a full flush. The bytes of a piece depend on nothing but its text, so that
two revisions have the pieces in common in which they do not differ.
"""

import re
import zlib

import msgspec
import xxhash

# Boundary between two objects of a JSON list.
BOUNDARY = re.compile(rb"(?<=\})\s*,\s*(?=\{)")
# A piece ends behind one of this many objects, chosen by their content, so
# that an object that is added or removed moves no other boundary.
OBJECTS_PER_PIECE = 16
# Bounds a piece of a manifest without such boundaries.
MAX_PIECE_BYTES = 65_536
COMPRESSION_LEVEL = 6
RAW_STREAM = -zlib.MAX_WBITS
STREAM_HEADER = b"\x78\x9c"
# Last block of a stream, without content.
FINAL_BLOCK = b"\x03\x00"
CHECKSUM_BYTES = 4
# Bytes with which a full flush ends.
FLUSH_MARKER = b"\x00\x00\xff\xff"
# Encoded size of a range, at most.
PIECE_RANGE_BYTES = 15


class PieceRange(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """Consecutive pieces of the older content.

    Attributes:
        first: Digest of the first piece.
        count: Number of pieces.
    """

    first: int
    count: int


# Pieces of the older content, or the bytes of new ones.
PatchStep = PieceRange | bytes


def compress_content(text: bytes) -> bytes:
    """Compresses the text of a manifest; `zlib.decompress` reverses it."""
    parts = [STREAM_HEADER]
    for piece in split_text(text):
        stream = zlib.compressobj(COMPRESSION_LEVEL, wbits=RAW_STREAM)
        parts.append(stream.compress(piece))
        parts.append(stream.flush(zlib.Z_FULL_FLUSH))
    parts.append(FINAL_BLOCK)
    parts.append(zlib.adler32(text).to_bytes(CHECKSUM_BYTES, "big"))
    return b"".join(parts)


def split_text(text: bytes) -> list[bytes]:
    """Splits a text into pieces whose boundaries depend on their content."""
    pieces = []
    start = 0
    begin = 0
    for boundary in BOUNDARY.finditer(text):
        end = boundary.end()
        digest = xxhash.xxh3_64_intdigest(text[begin:end])
        begin = end
        is_last = digest % OBJECTS_PER_PIECE == 0
        if is_last or end - start >= MAX_PIECE_BYTES:
            pieces.append(text[start:end])
            start = end
    pieces += [
        text[index : index + MAX_PIECE_BYTES]
        for index in range(start, len(text), MAX_PIECE_BYTES)
    ]
    return pieces


def digest_piece(piece: bytes) -> int:
    """Returns the digest by which patches name a piece."""
    return xxhash.xxh3_64_intdigest(piece)


def build_patch(old: bytes, new: bytes) -> tuple[PatchStep, ...]:
    """Builds the steps that lead from one compressed content to another.

    They also lead there from a content between the two, as long as it has the
    pieces in which the two do not differ.
    """
    numbers = {
        piece: number for number, piece in enumerate(old.split(FLUSH_MARKER))
    }
    steps: list[PatchStep] = []
    following = -1
    for piece in new.split(FLUSH_MARKER):
        number = numbers.get(piece)
        if number is None:
            steps.append(piece)
            following = -1
            continue
        if number == following:
            last = steps.pop()
            steps.append(PieceRange(first=last.first, count=last.count + 1))
        else:
            steps.append(PieceRange(first=digest_piece(piece), count=1))
        following = number + 1
    return tuple(steps)


def apply_patch(old: bytes, steps: tuple[PatchStep, ...]) -> bytes:
    """Builds the newer content; the caller compares its hash.

    Ranges of pieces that the older content lacks give a wrong result.
    """
    old_pieces = old.split(FLUSH_MARKER)
    numbers = {
        digest_piece(piece): number for number, piece in enumerate(old_pieces)
    }
    pieces: list[bytes] = []
    for step in steps:
        if isinstance(step, PieceRange):
            first = numbers.get(step.first, len(old_pieces))
            pieces += old_pieces[first : first + max(step.count, 0)]
        else:
            pieces.append(step)
    return FLUSH_MARKER.join(pieces)


def measure_patch(steps: tuple[PatchStep, ...]) -> int:
    """Returns the approximate encoded size of a patch, in bytes."""
    return sum(
        len(step) if isinstance(step, bytes) else PIECE_RANGE_BYTES
        for step in steps
    )
