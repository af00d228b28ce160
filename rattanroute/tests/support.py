"""Builders of test data."""

import dataclasses
import random

from rattanroute.requests.core_systems import CoreSettings
from rattanroute.requests.cores import RequestCore
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestTable
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberStub:
    """A member of the cluster that is alive."""

    vm_id: str
    data_centre: str = "dc-a"
    voter: bool = False
    ready: bool = False
    draining: bool = False


def build_report(target_id: str = "t1", **changes: object) -> TargetReport:
    """Builds the report of a whole-model target with four slots."""
    values: dict[str, object] = {
        "target_id": target_id,
        "address": "http://127.0.0.1:9",
        "data_centre": "dc-a",
        "model": "m",
        "version": "1",
        "last_layer": 7,
        "total_layers": 8,
        "accelerator": "kind-a",
        "slots": 4,
        "tokens_per_second": 100.0,
    }
    values.update(changes)
    return TargetReport(**values)


def build_request(request_id: str = "r1", **changes: object) -> Request:
    """Builds a chat request that arrived at 0 s with a 60 s deadline."""
    values: dict[str, object] = {
        "request_id": request_id,
        "kind": RequestKind.CHAT,
        "workspace": "w",
        "neighbour": "n",
        "model": "m",
        "fingerprint": request_id,
        "tokens_in": 10,
        "max_tokens": 20,
        "arrived_at": 0.0,
        "deadline": 60.0,
    }
    values.update(changes)
    return Request(**values)


def build_core(*reports: object, **changes: object) -> RequestCore:
    """Builds a core that received the given reports at 0 s."""
    targets = TargetTable()
    for report in reports:
        targets.record(report=report, observer="vm-1", received_at=0.0)
    values: dict[str, object] = {
        "vm_id": "vm-1",
        "data_centre": "dc-a",
        "targets": targets,
        "requests": RequestTable(),
        "configuration": Configuration,
        "settings": CoreSettings(),
        "random": random.Random(1),
    }
    values.update(changes)
    return RequestCore(**values)
