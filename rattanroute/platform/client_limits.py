"""Limits of the clients of a program, from the size of its machine."""

import dataclasses
import time

from rattanroute.http1.connection_limits import ConnectionLimit
from rattanroute.http1.connection_limits import derive_backlog
from rattanroute.http1.connection_limits import derive_max_connections
from rattanroute.http1.connection_limits import LISTENERS
from rattanroute.http1.connection_limits import read_max_fds
from rattanroute.http1.memory_budgets import BYTES_PER_MB
from rattanroute.http1.memory_budgets import derive_budget_bytes
from rattanroute.http1.memory_budgets import MemoryBudget
from rattanroute.http1.socket_buffers import derive_buffer_sizes
from rattanroute.http1.socket_buffers import SocketBuffers
from rattanroute.metrics import MetricsRegistry
from rattanroute.platform.settings import MachineLimits


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimitOptions:
    """Limits of the command line, which override the derived ones.

    Attributes:
        memory_mb: Memory for clients, in MB; 0 for the derived one.
        max_connections: Connections of clients; 0 for the derived number.
    """

    memory_mb: float = 0.0
    max_connections: int = 0


DEFAULT_CLIENT_LIMITS = ClientLimitOptions()


def build_memory_budget(
    machine: MachineLimits, options: ClientLimitOptions
) -> MemoryBudget:
    """Returns the memory budget of a program."""
    max_bytes = derive_budget_bytes(machine.memory_mb)
    if options.memory_mb:
        max_bytes = round(options.memory_mb * BYTES_PER_MB)
    return MemoryBudget(clock=time.monotonic, max_bytes=max_bytes)


def build_connection_limit(
    machine: MachineLimits, options: ClientLimitOptions
) -> ConnectionLimit:
    """Returns the limit of client connections of a program.

    The system may allow fewer descriptors than the machine has.
    """
    max_fds = read_max_fds()
    if machine.max_fds:
        max_fds = min(max_fds, machine.max_fds)
    connections = options.max_connections or derive_max_connections(max_fds)
    return ConnectionLimit(
        clock=time.monotonic,
        max_connections=connections,
        backlog=derive_backlog(max_fds),
    )


def build_socket_buffers(
    machine: MachineLimits, limit: ConnectionLimit
) -> SocketBuffers:
    """Returns the buffers of the sockets of a program's clients.

    Args:
        machine: Size of the machine.
        limit: Limit of the connections, on all listeners.
    """
    return SocketBuffers(
        sizes=derive_buffer_sizes(
            machine.memory_mb,
            connections=limit.max_connections,
            waiting=LISTENERS * limit.backlog,
        )
    )


def update_client_metrics(
    metrics: MetricsRegistry, budget: MemoryBudget, limit: ConnectionLimit
) -> None:
    """Updates the metrics of client connections and of their memory."""
    metrics.client_memory.set({}, budget.held_bytes)
    metrics.client_memory_limit.set({}, budget.max_bytes)
    metrics.client_connections.set({}, len(limit.connections))
    metrics.client_connection_limit.set({}, limit.max_connections)
    for eviction, count in budget.evictions.items():
        metrics.client_evictions.set({"cause": eviction.value}, count)
    for cause, count in limit.closed.items():
        metrics.client_closes.set({"cause": cause.value}, count)
