"""Builders of what a soak saw, and the seeds that once failed."""

import dataclasses
import unittest

from rattanroute.platform.standins import ReplicaRecord
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import Machine
from rattanroute.tools.soak import Soak
from rattanroute.tools.soak_records import Attempt
from rattanroute.tools.soak_records import Ending
from rattanroute.tools.soak_records import Probe
from rattanroute.tools.soak_records import SoakLog

FRONT = "zone-a-front-1"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailedSeed:
    """A seed of the soak that failed once.

    Attributes:
        seed: The seed.
        seconds: Duration of its traffic.
        cause: Why it failed.
    """

    seed: int
    seconds: float
    cause: str


FAILED_SEED_CASES = (
    FailedSeed(
        seed=1,
        seconds=8.0,
        cause=(
            "The check of changes counted routes as missing that a newer "
            "version, not yet acknowledged, had dropped."
        ),
    ),
    FailedSeed(
        seed=1015,
        seconds=20.0,
        cause=(
            "The configuration was read for the last time while the operator "
            "still made changes."
        ),
    ),
    FailedSeed(seed=1026, seconds=20.0, cause="The same as of seed 1015."),
    FailedSeed(
        seed=1043,
        seconds=20.0,
        cause="SIGHUP ended a program 0.25 s after its start.",
    ),
    FailedSeed(
        seed=2000,
        seconds=20.0,
        cause=(
            "A request that crashes its replicas was sent on after all "
            "programs had ended: nobody had stored what was known of it."
        ),
    ),
    FailedSeed(seed=2001, seconds=20.0, cause="The same as of seed 2000."),
    FailedSeed(
        seed=2021,
        seconds=20.0,
        cause=(
            "After the final fault programs took 5.3 s to start on a busy "
            "machine; a front served the manifest before the last one 0.6 s "
            "after its start, while the core elected a leader."
        ),
    ),
    FailedSeed(
        seed=2031,
        seconds=20.0,
        cause=(
            "The check of planned stops counted answers that a replica broke "
            "off which another request had crashed; a stream beside three "
            "crashes was refused like their cause."
        ),
    ),
    FailedSeed(
        seed=1510155370,
        seconds=20.0,
        cause=(
            "Not traced: two callers waited 2 s longer than their requests "
            "lasted by the log of their front, and few were served at the end."
        ),
    ),
)

FAILED_SEEDS = {failed.seed: failed for failed in FAILED_SEED_CASES}


class SoakTestCase(unittest.IsolatedAsyncioTestCase):
    """A test that runs soaks."""

    async def assert_kept(self, seed: int, seconds: float) -> None:
        """Runs a soak that must break no promise."""
        soak = Soak(seed=seed, seconds=seconds)
        broken = await soak.run()
        self.assertEqual(broken, {}, f"logs: {soak.fleet.folder}")


def build_machines() -> list[Machine]:
    """Builds the machines of two zones."""
    return [
        Machine(
            name=f"{zone}-{name}",
            zone=zone,
            address=f"127.9.{number}.{host}",
            core=name == "core",
        )
        for number, zone in enumerate(("zone-a", "zone-b"), start=1)
        for host, name in enumerate(("core", "front-1", "front-2"), start=1)
    ]


def build_attempt(**changes: object) -> Attempt:
    """Builds an attempt that was answered well."""
    values: dict[str, object] = {
        "request_id": "r1",
        "kind": CallKind.ONCE,
        "front": FRONT,
        "sent_at": 10.0,
        "ended_at": 10.1,
        "ending": Ending.COMPLETE,
        "status": 200,
    }
    values.update(changes)
    return Attempt(**values)


def build_record(event: str, **changes: object) -> ReplicaRecord:
    """Builds a record of a replica."""
    values: dict[str, object] = {
        "at": 10.05,
        "event": event,
        "request_id": "r1",
        "replica_id": "desk-1",
        "service": "desk",
    }
    values.update(changes)
    return ReplicaRecord(**values)


def build_probe(**changes: object) -> Probe:
    """Builds a probe that found its version."""
    values: dict[str, object] = {
        "front": FRONT,
        "lifetime": 1,
        "version": 1,
        "sent_at": 10.0,
        "ended_at": 10.1,
        "known": True,
    }
    values.update(changes)
    return Probe(**values)


def build_log(**changes: object) -> SoakLog:
    """Builds a log of one front; requests go on after the last fault."""
    log = SoakLog(fronts=[FRONT], settled_at=-20.0)
    log.attempts.append(build_attempt())
    for name, value in changes.items():
        setattr(log, name, value)
    return log
