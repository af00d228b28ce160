"""The protocol between a VM that lost its links and the VM that helps it.

The client sends `CONNECT IP:PORT` in one line and gets one byte, a value of
`TunnelReply`. After `CONNECTED` the client's bytes pass unchanged, and those of
the target in frames: a length of four bytes and the bytes. A length of 0 means
that the target has ended its direction. Without frames, the end of the helping
VM would look like the end of an answer without a length.
"""

import struct

from rattanroute.errors import RouterError

COMMAND = b"CONNECT "
MAX_LINE_BYTES = 64
LENGTH = struct.Struct("!I")
# A frame holds what arrived at once.
MAX_FRAME_BYTES = 1_048_576


def encode_command(address: str) -> bytes:
    """Returns the line that asks for a connection."""
    return COMMAND + address.encode() + b"\n"


def decode_command(line: bytes) -> str:
    """Returns the address that a line asks for; empty if it is malformed."""
    if not line.startswith(COMMAND):
        return ""
    return line[len(COMMAND) :].strip().decode("latin-1")


def encode_frame(data: bytes) -> bytes:
    """Returns a frame with bytes of the target."""
    return LENGTH.pack(len(data)) + data


END_FRAME = LENGTH.pack(0)


class FrameDecoder:
    """Splits the bytes of a helping VM into frames.

    Attributes:
        buffer: Bytes of an incomplete frame.
        ended: Whether the frame that ends the target's direction has arrived.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.ended = False

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the contents of the frames that are complete.

        Raises:
            RouterError: If a frame is too long or follows the end.
        """
        self.buffer += data
        found = []
        while len(self.buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.buffer)
            if size > MAX_FRAME_BYTES or self.ended:
                raise RouterError(
                    step="read from a tunnel", message="malformed frame"
                )
            if not size:
                self.ended = True
                del self.buffer[: LENGTH.size]
                continue
            end = LENGTH.size + size
            if len(self.buffer) < end:
                break
            found.append(bytes(self.buffer[LENGTH.size : end]))
            del self.buffer[:end]
        return found
