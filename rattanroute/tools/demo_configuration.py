"""Configuration of the demo, the integration tests and the benchmarks."""

import asyncio
import hashlib
import time

from rattanroute.tools.clusters import LocalCluster

NOTES_KEY = "key-of-workspace-notes"
ADVICE_KEY = "key-of-workspace-advice"
LOAD_KEYS = (NOTES_KEY, ADVICE_KEY)
MODELS = ("chat", "instruct", "split")
SERVICE = "records"
LAYERS = 8
APPLY_TIMEOUT_SECONDS = 15.0
RETRY_SECONDS = 0.2


def hash_key(key: str) -> str:
    """Returns the SHA-256 of a bearer key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def build_workspace(name: str, neighbour: str, key: str) -> dict[str, object]:
    """Returns the operation that creates a workspace with one API key."""
    return {
        "put_workspace": {
            "name": name,
            "neighbour": neighbour,
            "key_hashes": [hash_key(key)],
            "models": [*MODELS, SERVICE],
        }
    }


def build_operations() -> list[dict[str, object]]:
    """Returns the operations of the configuration.

    They create two neighbours with one workspace each, a service and the
    models.
    """
    operations: list[dict[str, object]] = [
        {"put_neighbour": {"name": "neighbour-a", "share": 0.5}},
        {"put_neighbour": {"name": "neighbour-b", "share": 0.5}},
        {
            "put_service": {
                "name": SERVICE,
                "repeatable_operations": ["lookup", "status"],
            }
        },
    ]
    operations += [
        {"put_model": {"name": name, "layers": LAYERS}} for name in MODELS
    ]
    operations.append(build_workspace("notes", "neighbour-a", NOTES_KEY))
    operations.append(build_workspace("advice", "neighbour-b", ADVICE_KEY))
    return operations


async def apply_configuration(cluster: LocalCluster) -> None:
    """Applies the configuration and waits until all VMs are ready.

    Raises:
        RuntimeError: If the change is not accepted in time.
    """
    ends_at = time.monotonic() + APPLY_TIMEOUT_SECONDS
    operations = build_operations()
    while True:
        result = await cluster.apply(
            operations, "--command-id=demo-1", "--expected-version=0"
        )
        if result.code == 0:
            break
        if time.monotonic() > ends_at:
            raise RuntimeError(f"configuration not accepted: {result.errors}")
        await asyncio.sleep(RETRY_SECONDS)
    await cluster.wait_ready()
