"""A deployment with one plain service, as several cases use it."""

from collections.abc import Callable
import json
import random
import time

from support_2.deployments import Deployment
from support_2.deployments import wait_until
from support_2.http_calls import Answer
from support_2.http_calls import call
from support_2.replicas import answer_at_once
from support_2.replicas import Replica
from support_2.replicas import Work

HOST = "trial.example"
SERVICE = "desk"
ONCE_PATH = "/once/"
SAFE_PATH = "/safe/"
TIMEOUT_MS = 3000
START_SECONDS = 20.0
# Longer than `contactMs`, after the start of the machines and replicas.
SETTLE_SECONDS = 5.0


def build_route(
    name: str, prefix: str, kind: str, attempts: int, timeout_ms: int
) -> dict[str, object]:
    """Returns a public route of the service."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "goalMs": 500,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": attempts,
        "public": True,
    }


def build_configuration(version: int, timeout_ms: int) -> bytes:
    """Returns a configuration with a route that may be repeated and another.

    Args:
        version: Its version.
        timeout_ms: Time limit of the routes, in milliseconds.
    """
    document = {
        "version": version,
        "routes": [
            build_route("once", ONCE_PATH, "unsafe", 1, timeout_ms),
            build_route("safe", SAFE_PATH, "safe", 2, timeout_ms),
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConns": 105,
                "protocol": "h1",
                "tls": False,
            }
        ],
    }
    return json.dumps(document).encode()


class PlainService:
    """Replicas of the service and the calls of its clients.

    Args:
        deployment: The deployment.
        timeout_ms: Time limit of the routes, in milliseconds.
        deadline_ms: Time limit of the clients, in milliseconds.

    Attributes:
        replicas: The replicas.
        calls: Number of calls.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        timeout_ms: int = TIMEOUT_MS,
        deadline_ms: int = TIMEOUT_MS,
    ) -> None:
        self.deployment = deployment
        self.timeout_ms = timeout_ms
        self.deadline_ms = deadline_ms
        self.replicas: list[Replica] = []
        self.calls = 0

    def list_controls(self) -> list[tuple[str, int]]:
        """Returns the control addresses in random order."""
        cores = self.deployment.cores
        return [x.control for x in random.sample(cores, len(cores))]

    def add_replica(
        self,
        zone: str,
        work: Work = answer_at_once,
        controls: Callable[[], list[tuple[str, int]]] | None = None,
    ) -> Replica:
        """Starts a replica in a zone."""
        replica = Replica(
            ip=self.deployment.take_ip(),
            replica_id=f"i-{len(self.replicas) + 1}",
            service=SERVICE,
            zone=zone,
            controls=controls or self.list_controls,
            work=work,
        )
        self.replicas.append(replica)
        replica.start()
        return replica

    def configure(self, version: int) -> bool:
        """Sends a configuration to one core machine after the other."""
        return any(
            call(
                address,
                "PUT",
                "/rattanroute/config",
                headers={"Content-Type": "application/json"},
                body=build_configuration(version, self.timeout_ms),
                timeout_s=1.0,
            ).status
            == 200
            for address in self.list_controls()
        )

    def are_fronts_ready(self) -> bool:
        """Returns whether all fronts say that they are ready."""
        return all(
            call(x.ready, "GET", "/rattanroute/ready").status == 200
            for x in self.deployment.fronts
        )

    def start(self) -> None:
        """Starts the machines and a replica in each zone.

        Raises:
            CannotRunError: If they do not become ready.
        """
        self.deployment.start_all()
        wait_until(lambda: self.configure(1), START_SECONDS, "configuration")
        for zone in self.deployment.zones:
            self.add_replica(zone)
        wait_until(self.are_fronts_ready, START_SECONDS, "ready fronts")
        time.sleep(SETTLE_SECONDS)

    def call_once(self, address: tuple[str, int]) -> tuple[str, Answer]:
        """Sends a request that must not be repeated.

        Returns:
            Its identifier and the answer.
        """
        self.calls += 1
        request_id = f"{self.calls:08x}"
        answer = call(
            address,
            "POST",
            f"{ONCE_PATH}order",
            headers={
                "Host": HOST,
                "Rattanroute-Request-Id": request_id,
                "Rattanroute-Request-Deadline": str(self.deadline_ms),
            },
            body=b"order",
            timeout_s=self.deadline_ms / 1000 + 1,
        )
        return request_id, answer

    def close(self) -> None:
        """Ends the replicas."""
        for replica in self.replicas:
            replica.close()
