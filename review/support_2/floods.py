"""Clients that nobody controls, with requests of legal size.

Usage: python3 -m support_2.floods IP PORT KIND CONNECTIONS SECONDS
"""

import random
import resource
import select
import socket
import subprocess
import sys
import time

HEAD_BYTES = 16_000
ODD_LINES = 1_500
SMALL_CHUNKS = 20_000
LARGE_CHUNK_BYTES = 65_536
# One chunk less than the largest body, 4 MiB.
LARGE_CHUNKS = 63
OPENED_AT_ONCE = 50
SENT_AT_ONCE = 262_144
# Requests sent ahead on each connection, at a path that no route has.
REQUESTS_AHEAD = 400
SPARE_FDS = 100
# "Retry-After" of a refusal of the system: a refused client returns then.
RETURN_SECONDS = 0.5


def build_head(extra: bytes) -> bytes:
    """Returns the start of a request on a route of the configuration."""
    return (
        b"POST /safe/x HTTP/1.1\r\n"
        b"Host: trial.example\r\n"
        b"Rattanroute-Request-Id: %x\r\n"
        b"Rattanroute-Request-Deadline: 3000\r\n" % random.getrandbits(64)
    ) + extra


def build_data(kind: str) -> bytes:
    """Returns the bytes that each connection sends."""
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    match kind:
        case "lines":
            # Many short and odd header lines, within `maxHeaderBytes`.
            lines = (b"%x: \t \r\n" % number for number in range(ODD_LINES))
            return build_head(b"".join(lines))[:HEAD_BYTES]
        case "small":
            return build_head(chunked) + b"1\r\nx\r\n" * SMALL_CHUNKS
        case "large":
            chunk = b"%x\r\n" % LARGE_CHUNK_BYTES
            chunk += b"y" * LARGE_CHUNK_BYTES + b"\r\n"
            return build_head(chunked) + chunk * LARGE_CHUNKS
        case "ahead":
            request = b"GET /nowhere/x HTTP/1.1\r\nHost: none.example\r\n\r\n"
            return request * REQUESTS_AHEAD
    raise ValueError(kind)


def flood(address: tuple[str, int], data: bytes, count: int, end: float) -> int:
    """Opens connections, sends the bytes on each and keeps it open.

    A client whose connection the system closes returns after a while.

    Returns:
        The number of connections that are open at the end.
    """
    poll = select.epoll()
    sockets: dict[int, socket.socket] = {}
    rest: dict[int, memoryview] = {}
    returns_at = [0.0] * count
    while time.monotonic() < end:
        now = time.monotonic()
        due = [at for at in returns_at if at <= now][:OPENED_AT_ONCE]
        for at in due:
            returns_at.remove(at)
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(address)
            number = client.fileno()
            sockets[number] = client
            rest[number] = memoryview(data)
            poll.register(number, select.EPOLLOUT)
        for number, event in poll.poll(0.01, 200):
            try:
                if event & (select.EPOLLERR | select.EPOLLHUP):
                    raise ConnectionError
                sent = sockets[number].send(rest[number][:SENT_AT_ONCE])
                rest[number] = rest[number][sent:]
                if not rest[number]:
                    poll.modify(number, 0)
            except BlockingIOError:
                continue
            except OSError:
                poll.unregister(number)
                sockets.pop(number).close()
                del rest[number]
                returns_at.append(now + RETURN_SECONDS)
    return len(sockets)


def start_flood(
    address: tuple[str, int], kind: str, *, connections: int, seconds: float
) -> "subprocess.Popen[bytes]":
    """Starts the clients as a process that prints how many stayed open.

    Args:
        address: Address of a front.
        kind: What they send; see `build_data`.
        connections: Connections at a time.
        seconds: Seconds until they leave.
    """
    words = [*map(str, address), kind, str(connections), str(seconds)]
    return subprocess.Popen(
        [sys.executable, "-m", "support_2.floods", *words],
        stdout=subprocess.PIPE,
    )


def main() -> None:
    """Runs the clients and prints how many connections stayed open."""
    ip, port, kind, count, seconds = sys.argv[1:]
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = int(count) + SPARE_FDS
    if limits[0] < needed:
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (min(needed, limits[1]), limits[1])
        )
    end = time.monotonic() + float(seconds)
    print(flood((ip, int(port)), build_data(kind), int(count), end))


if __name__ == "__main__":
    main()
