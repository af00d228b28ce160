"""Authentication of peers, operators and targets, rotation and secrets."""

import asyncio
import dataclasses
import pathlib

from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
import msgspec

from rattanroute import codecs
from rattanroute.messages.targets import TargetReports
from rattanroute.proto.peers_grpc import PeersStub
from rattanroute.proto.peers_pb2 import Frame
from rattanroute.proto.peers_pb2 import Item
from rattanroute.security import build_client_context
from rattanroute.security import TlsFiles
from rattanroute.tests.certificate_authorities import CertificateAuthority
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tests.support import build_report
from rattanroute.tools.cluster_hosts import merge_settings
from rattanroute.tools.cluster_hosts import OPERATORS_TOKEN
from rattanroute.tools.cluster_hosts import TARGETS_PORT
from rattanroute.tools.cluster_hosts import ToolResult
from rattanroute.tools.cluster_hosts import Vm
from rattanroute.tools.clusters import LocalCluster
from rattanroute.tools.demo_configuration import ADVICE_KEY
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.demo_configuration import NOTES_KEY

PEERS_TOKEN = "first-token-of-peers"
NEXT_PEERS_TOKEN = "second-token-of-peers"
NEXT_OPERATORS_TOKEN = "second-token-of-operators"
TARGETS_TOKEN = "token-of-targets"
WRONG_KEY = "key-of-no-workspace"
SECRETS = (
    PEERS_TOKEN,
    NEXT_PEERS_TOKEN,
    OPERATORS_TOKEN,
    NEXT_OPERATORS_TOKEN,
    TARGETS_TOKEN,
    NOTES_KEY,
    ADVICE_KEY,
    WRONG_KEY,
)
CHANNEL_ERRORS = (OSError, GRPCError, StreamTerminatedError)
# An unauthenticated connection is refused within milliseconds and retried
# every second.
REJECTION_SECONDS = 3.0
JOIN_SECONDS = 10.0
FAILED_SECONDS = 10.0
CALL_SECONDS = 2.0
TLS_OPTIONS = ("certificate", "key", "authority")


def build_tls_settings(files: TlsFiles) -> dict[str, str]:
    """Returns the settings with the paths of the files."""
    return {f"{name}_file": str(getattr(files, name)) for name in TLS_OPTIONS}


class SecureCluster(LocalCluster):
    """A cluster with mutual TLS and a token for each kind of client."""

    async def start(self) -> None:
        self.authority = CertificateAuthority(self.folder, "authority")
        self.files: dict[str, TlsFiles] = {}
        self.peers_tokens: dict[str, pathlib.Path] = {}
        self.tool_files = self.authority.write("operator")
        self.targets_token = self.folder / "targets.token"
        self.targets_token.write_text(TARGETS_TOKEN + "\n")
        for name in self.vms:
            self.issue_credentials(name, self.authority, PEERS_TOKEN)
        await super().start()

    def issue_credentials(
        self, name: str, authority: CertificateAuthority, token: str
    ) -> None:
        """Writes the certificate and the peers' token of a VM."""
        self.files[name] = authority.write(name)
        self.peers_tokens[name] = self.folder / f"{name}.token"
        self.peers_tokens[name].write_text(token + "\n")

    def build_settings(self, vm: Vm) -> dict[str, object]:
        """Adds tokens and certificates to the settings of a VM."""
        token_file = str(self.peers_tokens[vm.name])
        security = {
            **build_tls_settings(self.files[vm.name]),
            "peers_token_file": token_file,
        }
        changes = {
            "security": security,
            "targets": {"token_file": str(self.targets_token)},
            "telemetry": {"log_level": "DEBUG"},
        }
        return merge_settings(super().build_settings(vm), changes)

    async def run_tool(
        self, *arguments: str, addresses: tuple[str, ...] = ()
    ) -> ToolResult:
        """Runs the operators' tool with its certificate."""
        options = build_tls_settings(self.tool_files).items()
        return await super().run_tool(
            *(f"--{name.replace('_', '-')}={path}" for name, path in options),
            *arguments,
            addresses=addresses,
        )

    async def add_vm(self, name: str, host: int) -> None:
        """Starts an additional VM, not a voter and without a disk."""
        vm = Vm(
            name=name,
            data_centre="dc-a",
            address=self.build_address("dc-a", host),
            voter=False,
        )
        self.vms[name] = vm
        await self.start_vm(name)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerCredentials:
    """What a client presents to the peers' port.

    Attributes:
        files: Certificate, key and authority; None connects without TLS.
        token: Peers' token; None sends none.
    """

    files: TlsFiles | None
    token: str | None


class ChannelTest(ClusterTestCase):
    """Messages without a valid token and certificate are rejected."""

    data_centres = {"dc-a": 3}

    async def asyncSetUp(self) -> None:
        self.cluster = SecureCluster(data_centres=self.data_centres)
        await self.cluster.__aenter__()
        self.addAsyncCleanup(self.cluster.close)
        await apply_configuration(self.cluster)
        for name in self.cluster.vms:
            await self.wait_members(name, 3)

    async def wait_members(self, vm: str, count: int) -> None:
        """Waits until a VM considers `count` members alive."""
        line = f"rattanroute_live_members {count}"
        await self.wait_for(
            lambda: self.has_metric(vm, line), seconds=JOIN_SECONDS
        )

    async def read_members(self) -> set[str]:
        """Returns all VMs in the membership, whatever their state."""
        result = await self.cluster.run_tool("--output=json", "members")
        self.assertEqual(result.code, 0, result.errors)
        rows = map(msgspec.json.decode, result.output.splitlines())
        return {row["vm_id"] for row in rows}

    async def announce(self, vm: str, token: str | None) -> int:
        """Announces a target to a VM and returns the status."""
        url = f"http://{self.cluster.vms[vm].address}:{TARGETS_PORT}"
        headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        body = {
            "target_id": "announced",
            "address": "http://127.0.0.1:9",
            "data_centre": "dc-a",
            "model": "chat",
        }
        async with self.cluster.client.post(
            f"{url}/v1/targets/announce", json=body, headers=headers
        ) as response:
            return response.status

    async def post_report(
        self, credentials: PeerCredentials, target: str
    ) -> bool:
        """Sends a target report as a peer; returns whether it is accepted."""
        context = (
            build_client_context(credentials.files)
            if credentials.files
            else None
        )
        vm = self.cluster.vms["dc-a-1"]
        kind, body = codecs.encode(
            TargetReports(reports=(build_report(target),), ages=(0.0,))
        )
        token = credentials.token
        metadata = {} if token is None else {"authorization": f"Bearer {token}"}
        host, port = vm.peers_address.split(":")
        channel = Channel(host, int(port), ssl=context)
        try:
            async with asyncio.timeout(CALL_SECONDS):
                async with PeersStub(channel).Exchange.open(
                    metadata=metadata
                ) as stream:
                    # Uses the name of a real member, which must not suffice.
                    await stream.send_message(Frame(vm_id="dc-a-2"))
                    item = Item(kind=kind, body=body)
                    await stream.send_message(Frame(items=[item]))
                    accepted = await stream.recv_message() is not None
                    await stream.recv_message()
                    await stream.end()
                    return accepted
        except CHANNEL_ERRORS:
            return False
        finally:
            channel.close()

    async def knows_target(self, target: str) -> bool:
        """Returns whether a VM knows a target."""
        result = await self.cluster.run_tool("targets")
        self.assertEqual(result.code, 0, result.errors)
        return target in result.output

    async def test_unauthenticated_peers_are_rejected(self) -> None:
        """Guards against unauthenticated peers, operators and targets.

        A VM with a certificate of another authority or with a wrong token
        must not become a member, and what it sends must have no effect.
        """
        other = CertificateAuthority(self.cluster.folder, "other")
        self.cluster.issue_credentials(
            "false-token", self.cluster.authority, "wrong"
        )
        self.cluster.issue_credentials("false-certificate", other, PEERS_TOKEN)
        await self.cluster.add_vm("false-token", 50)
        await self.cluster.add_vm("false-certificate", 51)
        await asyncio.sleep(REJECTION_SECONDS)
        for name in ("false-token", "false-certificate"):
            await self.cluster.kill(name)
            del self.cluster.vms[name]
        self.assertEqual(await self.read_members(), set(self.cluster.vms))
        member_files = self.cluster.files["dc-a-2"]
        foreign_files = other.write("theirs")
        mixed_files = dataclasses.replace(
            foreign_files, authority=member_files.authority
        )
        for number, credentials in enumerate(
            (
                PeerCredentials(files=member_files, token=None),
                PeerCredentials(files=member_files, token="wrong"),
                PeerCredentials(files=mixed_files, token=PEERS_TOKEN),
                PeerCredentials(files=None, token=PEERS_TOKEN),
            )
        ):
            with self.subTest(credentials=number):
                target = f"false-{number}"
                self.assertFalse(await self.post_report(credentials, target))
                self.assertFalse(await self.knows_target(target))
        member = PeerCredentials(files=member_files, token=PEERS_TOKEN)
        self.assertTrue(await self.post_report(member, "true"))
        self.assertTrue(await self.knows_target("true"))
        await self.check_operators_refused(foreign_files)
        await self.check_targets_refused()

    async def check_operators_refused(self, foreign_files: TlsFiles) -> None:
        """Checks the tool with a wrong token or certificate."""
        wrong = self.cluster.folder / "wrong.token"
        wrong.write_text("wrong\n")
        before = await self.cluster.run_tool("status")
        self.assertEqual(before.code, 0, before.errors)
        # The last option wins over the one that the cluster passes.
        option = f"--token-file={wrong}"
        result = await self.cluster.run_tool(option, "status")
        self.assertNotEqual(result.code, 0)
        self.assertIn("token", result.errors)
        options = [
            f"--{name}-file={path}"
            for name in TLS_OPTIONS
            for path in (getattr(foreign_files, name),)
        ]
        result = await self.cluster.run_tool(*options, "status")
        self.assertNotEqual(result.code, 0)
        self.assertNotIn("token", result.errors)

    async def check_targets_refused(self) -> None:
        """Checks announcements without a token and with a wrong one."""
        self.assertEqual(await self.announce("dc-a-1", None), 401)
        self.assertEqual(await self.announce("dc-a-1", "wrong"), 401)
        self.assertFalse(await self.knows_target("announced"))
        self.assertEqual(await self.announce("dc-a-1", TARGETS_TOKEN), 200)
        self.assertTrue(await self.knows_target("announced"))

    async def test_rotation_needs_no_restart(self) -> None:
        """Guards against a rotation that needs a restart or loses a VM.

        A VM that reads a new key before the matching certificate is written
        must keep its connections.
        """
        old = PeerCredentials(
            files=self.cluster.files["dc-a-2"], token=PEERS_TOKEN
        )
        self.assertTrue(await self.post_report(old, "before"))
        self.assertTrue(await self.knows_target("before"))
        await self.check_half_written_files()
        self.rotate()
        await self.cluster.add_vm("dc-a-4", 4)
        for name in self.cluster.vms:
            await self.wait_members(name, 4)
        old_files = TlsFiles(
            certificate=self.cluster.folder / "old.crt",
            key=self.cluster.folder / "old.key",
            authority=self.cluster.files["dc-a-2"].authority,
        )
        for credentials in (
            PeerCredentials(files=old_files, token=NEXT_PEERS_TOKEN),
            PeerCredentials(
                files=self.cluster.files["dc-a-2"], token=PEERS_TOKEN
            ),
        ):
            self.assertFalse(await self.post_report(credentials, "after"))
        operators = self.cluster.folder / "operators.token"
        operators.write_text(NEXT_OPERATORS_TOKEN + "\n")
        self.assertFalse(await self.knows_target("after"))
        stale = self.cluster.folder / "stale.token"
        stale.write_text(OPERATORS_TOKEN + "\n")
        result = await self.cluster.run_tool(f"--token-file={stale}", "status")
        self.assertNotEqual(result.code, 0)
        await self.check_no_secrets()

    async def check_half_written_files(self) -> None:
        """Restarts a VM while the key file of another one is incomplete.

        Once the key is complete, the restarted VM must receive its messages
        again.
        """
        key = self.cluster.files["dc-a-1"].key
        good = key.read_bytes()
        key.write_text("incomplete")
        await self.cluster.kill("dc-a-3")
        await self.wait_members("dc-a-1", 2)
        await self.cluster.start_vm("dc-a-3")
        await asyncio.sleep(REJECTION_SECONDS)
        key.write_bytes(good)
        for name in self.cluster.vms:
            await self.wait_members(name, 3)
        self.assertEqual(await self.announce("dc-a-1", TARGETS_TOKEN), 200)
        await self.wait_targets(1, "dc-a-3")

    def rotate(self) -> None:
        """Replaces authority, certificates and tokens of all VMs."""
        cluster = self.cluster
        for suffix in ("crt", "key"):
            source = cluster.folder / f"dc-a-2.{suffix}"
            (cluster.folder / f"old.{suffix}").write_bytes(source.read_bytes())
        cluster.authority = CertificateAuthority(cluster.folder, "next")
        for name in (*cluster.vms, "dc-a-4"):
            cluster.issue_credentials(name, cluster.authority, NEXT_PEERS_TOKEN)
        cluster.tool_files = cluster.authority.write("operator")

    async def check_no_secrets(self) -> None:
        """Guards against keys and tokens in logs, traces or metrics."""
        await self.chat("dc-a-1", "a question", key=WRONG_KEY)
        await self.chat("dc-a-1", "a question", key=NOTES_KEY)
        await self.call("dc-a-2", "status", {}, key=ADVICE_KEY)
        await self.announce("dc-a-1", TARGETS_TOKEN)
        await asyncio.sleep(1.5)
        texts = {
            path.name: path.read_bytes()
            for suffix in ("log", "spans")
            for path in self.cluster.folder.glob(f"*.{suffix}")
        }
        for name in self.cluster.vms:
            folder = self.cluster.folder / name
            for path in folder.rglob("*") if folder.is_dir() else ():
                if path.is_file():
                    texts[f"{name}/{path.name}"] = path.read_bytes()
            url = f"{self.cluster.vms[name].callers_url}/metrics"
            async with self.cluster.client.get(url) as response:
                texts[f"{name} metrics"] = await response.read()
        self.assertGreaterEqual(len(texts), 3 * len(self.cluster.vms))
        for name, text in texts.items():
            for secret in SECRETS:
                with self.subTest(place=name, secret=secret):
                    self.assertNotIn(secret.encode(), text)
