"""Measures what a process and the sockets of its machine hold.

The memory of a machine also holds the bytes that its sockets have received and
that the process has not read, and those that it has written and that the peer
has not taken.
"""

import asyncio
import contextlib
import pathlib
import socket

SOCKETS_FILE = pathlib.Path("/proc/net/tcp")
BYTES_PER_MB = 1_000_000
BYTES_PER_KIBIBYTE = 1_024
SAMPLE_SECONDS = 0.1


def encode_address(ip: str) -> str:
    """Returns an IPv4 address as the kernel's table of sockets shows it."""
    return socket.inet_aton(ip)[::-1].hex().upper()


def sum_socket_bytes(table: str, ip: str, *, port: int = 0) -> int:
    """Returns the unread and unsent bytes of all sockets of an address.

    Connections that the process has not accepted yet count as well.

    Args:
        table: Content of the kernel's table of TCP sockets.
        ip: Local address of the sockets.
        port: Their local port; 0 for all.
    """
    prefix = encode_address(ip) + ":" + (f"{port:04X}" if port else "")
    total = 0
    for line in table.splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(prefix):
            unsent, _, unread = fields[4].partition(":")
            total += int(unsent, 16) + int(unread, 16)
    return total


def read_resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process; 0 if it has ended."""
    with contextlib.suppress(OSError):
        text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * BYTES_PER_KIBIBYTE
    return 0


class MachineMeter:
    """Samples the memory of a process and of the sockets of its address.

    Attributes:
        peak_bytes: Highest sum of both.
        peak_socket_bytes: Highest number of bytes in the sockets.
    """

    def __init__(self, *, pid: int, ip: str) -> None:
        self.pid = pid
        self.ip = ip
        self.peak_bytes = 0
        self.peak_socket_bytes = 0

    def take_sample(self) -> None:
        """Takes one sample."""
        table = SOCKETS_FILE.read_text(encoding="ascii")
        sockets = sum_socket_bytes(table, self.ip)
        resident = read_resident_bytes(self.pid)
        self.peak_socket_bytes = max(self.peak_socket_bytes, sockets)
        self.peak_bytes = max(self.peak_bytes, resident + sockets)

    async def run(self) -> None:
        """Takes samples until it is cancelled."""
        while True:
            self.take_sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def describe(self) -> str:
        """Returns the peaks in MB, for messages of failed checks."""
        return (
            f"peak {self.peak_bytes / BYTES_PER_MB:.0f} MB, of the sockets"
            f" {self.peak_socket_bytes / BYTES_PER_MB:.0f} MB"
        )
