"""A small HTTP/1.1 client of blocking sockets."""

import dataclasses
import socket
import time


@dataclasses.dataclass(kw_only=True)
class Answer:
    """What a caller received.

    Attributes:
        status: Status code; 0 if no complete answer arrived.
        headers: Headers by name in lower case; of several, the last one.
        body: The body.
        problem: Why there is no complete answer; empty if there is one.
        at: Time at which the answer was complete, in monotonic seconds.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    problem: str = ""
    at: float = 0.0


def build_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encodes a request whose body has a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("PUT", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Channel:
    """A connection to one address.

    Args:
        address: IP address and port.
        timeout_s: Longest wait for the connection and for each part of an
            answer, in seconds.
    """

    def __init__(self, address: tuple[str, int], timeout_s: float) -> None:
        self.socket = socket.create_connection(address, timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def send(self, data: bytes) -> None:
        """Sends bytes.

        Raises:
            OSError: If the connection has failed.
        """
        self.socket.sendall(data)

    def read(self) -> Answer:
        """Reads one answer; a broken one has a problem."""
        answer = Answer()
        try:
            self.read_answer(answer)
        except OSError as error:
            answer.problem = answer.problem or str(error) or "timed out"
            answer.status = 0
        answer.at = time.monotonic()
        return answer

    def read_answer(self, answer: Answer) -> None:
        """Reads the head and the body of an answer."""
        head = self.take_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(self.take_until(b"\r\n").split(b";")[0], 16):
                answer.body += self.take(size)
                self.take(2)
            self.take_until(b"\r\n")
        else:
            answer.body = self.take(
                int(answer.headers.get("content-length", "0"))
            )
        answer.status = status

    def fill(self) -> None:
        """Receives more bytes.

        Raises:
            ConnectionError: If the other side has closed the connection.
        """
        data = self.socket.recv(65_536)
        if not data:
            raise ConnectionError("the connection was closed")
        self.buffer += data

    def take_until(self, end: bytes) -> bytes:
        """Returns the bytes before an end mark."""
        while end not in self.buffer:
            self.fill()
        data, _, self.buffer = self.buffer.partition(end)
        return data

    def take(self, size: int) -> bytes:
        """Returns a number of bytes."""
        while len(self.buffer) < size:
            self.fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()


def call(
    address: tuple[str, int],
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Sends a request over a new connection and returns the answer."""
    fields = {"Host": f"{address[0]}:{address[1]}", "Connection": "close"}
    fields.update(headers or {})
    try:
        channel = Channel(address, timeout_s)
    except OSError as error:
        return Answer(problem=f"not connected: {error}", at=time.monotonic())
    try:
        channel.send(build_request(method, target, fields, body))
        return channel.read()
    except OSError as error:
        return Answer(problem=str(error), at=time.monotonic())
    finally:
        channel.close()
