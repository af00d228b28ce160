"""Tests of what the platform's programs import when they start.

After a power failure all machines start at once, on a fraction of a core, and
no request is served before the imports have ended. Time is not measured here,
as it depends on the machine.
"""

import json
import subprocess
import sys
import unittest

CHILD_TIMEOUT_SECONDS = 60.0
# Imports the program as `rattanroute.platform.__main__` does, then prints its
# modules.
CHILD_PROGRAM = """
import sys
from rattanroute.platform import __main__ as start
import importlib
programs = importlib.import_module(start.PROGRAMS_MODULE)
importlib.import_module(programs.ROLES[sys.argv[1]][0])
modules = sorted(sys.modules)
import json
json.dump(modules, sys.stdout)
"""
# Packages that only the daemon, the tools or the tests need, and modules of the
# standard library that are costly and replaced by others.
UNUSED = (
    "aiohttp",
    "aiomisc",
    "hashlib",
    "hdrh",
    "opentelemetry",
    "psutil",
    "pydantic",
    "rattanroute.clients.engines",
    "rattanroute.clients.stages",
    "rattanroute.control.claim_hosts",
    "rattanroute.control.ledger_hosts",
    "rattanroute.control.placement_hosts",
    "rattanroute.daemons",
    "rattanroute.messages.claims",
    "rattanroute.messages.ledgers",
    "rattanroute.platform.manifest_checks",
    "rattanroute.proto.operators_grpc",
    "rattanroute.proto.operators_pb2",
    "rattanroute.requests",
    "rattanroute.security",
    "rattanroute.servers.operators",
    "rattanroute.settings",
    "rattanroute.standins",
    "rattanroute.systems.claims",
    "rattanroute.systems.ledgers",
    "rattanroute.systems.placements",
    "rattanroute.systems.quarantines",
    "rattanroute.systems.shares",
    "rattanroute.tests",
    "rattanroute.tools",
    "rattanroute.traces",
    "yaml",
)
# What only a voter needs. `crc32c` imports `importlib.metadata` and `email`.
UNUSED_BY_FRONTS = (
    "crc32c",
    "email",
    "importlib.metadata",
    "rattanroute.consensus",
    "rattanroute.control.crash_ban_stores",
    "rattanroute.control.voters",
    "rattanroute.messages.consensus",
    "rattanroute.platform.control_handlers",
    "rattanroute.storage",
    "rattanroute.systems.change_validators",
    "rattanroute.systems.configuration_state_machines",
)
# What only the gateway for requests needs.
UNUSED_BY_CORES = (
    "rattanroute.gateway.handlers",
    "rattanroute.gateway.service_forwarders",
    "rattanroute.gateway.stream_forwarders",
    "rattanroute.gateway.target_selectors",
    "rattanroute.systems.chain_choices",
    "rattanroute.tunnels.servers",
)


def import_role(role: str) -> list[str]:
    """Returns the modules that a program imports."""
    child = subprocess.run(
        [sys.executable, "-c", CHILD_PROGRAM, role],
        capture_output=True,
        check=True,
        timeout=CHILD_TIMEOUT_SECONDS,
    )
    return json.loads(child.stdout)


def find_modules(modules: list[str], unused: tuple[str, ...]) -> list[str]:
    """Returns the modules that are, or belong to, those that are not used."""
    return [
        module
        for module in modules
        if any(f"{module}.".startswith(f"{name}.") for name in unused)
    ]


class StartImportsTest(unittest.TestCase):
    """Guards against imports that make the start of a program longer."""

    def check(self, role: str, unused: tuple[str, ...]) -> None:
        """Checks the modules of a program."""
        self.assertEqual(find_modules(import_role(role), unused), [])

    def test_front(self) -> None:
        self.check("front", UNUSED + UNUSED_BY_FRONTS)

    def test_core(self) -> None:
        self.check("core", UNUSED + UNUSED_BY_CORES)


class CollectionTest(unittest.TestCase):
    """Guards against garbage collection during the imports."""

    def test_collection_is_enabled_after_the_imports(self) -> None:
        program = (
            "import gc, importlib, sys, types\n"
            "from rattanroute.platform import __main__ as start\n"
            "def run_program(reload_requests):\n"
            "    print(gc.isenabled())\n"
            "    from rattanroute.startup import enable_collection\n"
            "    enable_collection()\n"
            "    print(gc.isenabled(), gc.get_freeze_count() > 0)\n"
            "fake = types.SimpleNamespace(run_program=run_program)\n"
            "sys.modules[start.PROGRAMS_MODULE] = fake\n"
            "start.main()\n"
        )
        child = subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            check=True,
            timeout=CHILD_TIMEOUT_SECONDS,
        )
        self.assertEqual(child.stdout.split(), [b"False", b"True", b"True"])
