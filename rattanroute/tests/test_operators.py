"""Tests of the operators' gRPC server."""

import asyncio
import contextlib
import pathlib
import tempfile
import unittest

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from rattanroute.proto import operators_pb2 as pb
from rattanroute.proto.operators_grpc import OperatorsStub
from rattanroute.security import TokenFile
from rattanroute.servers import operator_messages as messages
from rattanroute.servers import operators
from rattanroute.systems.configuration_state_machines import (
    ConfigurationStateMachine,
)
from rattanroute.tables.configurations import Model
from rattanroute.tables.configurations import Neighbour
from rattanroute.tables.configurations import Service
from rattanroute.tables.configurations import Workspace
from rattanroute.tests.operator_support import build_operators
from rattanroute.tests.operator_support import FakeLog
from rattanroute.tests.operator_support import run_server

ENTITIES = (
    Neighbour(name="n", share=0.25),
    Workspace(
        name="w",
        neighbour="n",
        key_hashes=("a" * 64,),
        models=("m",),
        weight=2.5,
        priority=-3,
    ),
    Model(name="m", version="2", versions=("1", "2"), layers=8, min_replicas=0),
    Service(name="s", repeatable_operations=("lookup",)),
)


def put(entity: object) -> pb.Operation:
    """Builds the operation that puts an entity."""
    kind = messages.KIND_BY_CLASS[type(entity)]
    value = getattr(messages.write_entity(entity), kind)
    return pb.Operation(**{f"put_{kind}": value})


def build_change(
    *operations: pb.Operation, command_id: str = "c1", version: int = 0
) -> pb.Change:
    """Builds a change by the operator alice."""
    return pb.Change(
        command_id=command_id,
        operator="alice",
        expected_version=version,
        operations=operations,
    )


class OperatorsTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a server over a fake log, with a client."""

    tokens: TokenFile | None = None

    async def asyncSetUp(self) -> None:
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.log = FakeLog(ConfigurationStateMachine())
        self.server = build_operators(self.log)
        port = await stack.enter_async_context(
            run_server(self.server, self.tokens)
        )
        channel = Channel("127.0.0.1", port)
        stack.callback(channel.close)
        self.stub = OperatorsStub(channel)

    async def apply(self, *args: object, **values: object) -> pb.ApplyResponse:
        """Sends a change and returns the response."""
        change = build_change(*args, **values)
        return await self.stub.Apply(pb.ApplyRequest(change=change))

    async def check_status(self, status: Status, call: object) -> str:
        """Checks that a call fails with a status; returns the error message."""
        with self.assertRaises(GRPCError) as caught:
            await call
        self.assertEqual(caught.exception.status, status)
        return caught.exception.message


class ApplyTest(OperatorsTestCase):
    """Guards against responses that misreport the outcome of a change."""

    async def test_entities_keep_all_fields(self) -> None:
        response = await self.apply(*(put(x) for x in ENTITIES))
        self.assertEqual(response.outcome, pb.ACCEPTED)
        configuration = self.log.machine.configuration
        for entity in ENTITIES:
            kind = messages.KIND_BY_CLASS[type(entity)]
            self.assertEqual(configuration.entities(kind)[entity.name], entity)

    async def test_missing_values_get_the_defaults(self) -> None:
        await self.apply(
            put(ENTITIES[0]),
            pb.Operation(put_workspace=pb.Workspace(name="w", neighbour="n")),
            pb.Operation(put_model=pb.Model(name="m")),
        )
        configuration = self.log.machine.configuration
        self.assertEqual(
            configuration.workspaces["w"], Workspace(name="w", neighbour="n")
        )
        self.assertEqual(configuration.models["m"], Model(name="m"))

    async def test_conflict_names_the_winner(self) -> None:
        await self.apply(put(ENTITIES[0]))
        response = await self.apply(put(ENTITIES[3]), command_id="c2")
        self.assertEqual(response.outcome, pb.CONFLICT)
        self.assertEqual(response.winner.command_id, "c1")
        self.assertEqual(response.winner.operator, "alice")

    async def test_every_problem_has_a_path(self) -> None:
        response = await self.apply(put(ENTITIES[1]), pb.Operation())
        self.assertEqual(response.outcome, pb.REFUSED)
        self.assertEqual(response.problems[0].path, "operations[1]")
        response = await self.apply(put(ENTITIES[1]))
        self.assertEqual(
            response.problems[0].path, "operations[0].workspace.neighbour"
        )

    async def test_resending_resolves_an_unknown_outcome(self) -> None:
        self.log.lost_answers = 1
        response = await self.apply(put(ENTITIES[0]))
        self.assertEqual(response.outcome, pb.UNKNOWN)
        self.assertIn("same command id", response.advice)
        response = await self.apply(put(ENTITIES[0]))
        self.assertEqual(response.outcome, pb.ACCEPTED)
        self.assertEqual(response.version, 1)
        self.assertEqual(self.log.machine.replica.version, 1)

    async def test_proposal_that_was_not_logged_is_not_accepted(self) -> None:
        self.log.lost_proposals = 1
        response = await self.apply(put(ENTITIES[0]))
        self.assertEqual(response.outcome, pb.NOT_ACCEPTED)
        self.assertEqual(self.log.index, 0)

    async def test_unresponsive_log_gives_an_unknown_outcome(self) -> None:
        async def hang(data: bytes, timeout_s: float) -> None:
            del data, timeout_s
            await asyncio.Event().wait()

        self.log.propose = hang
        limit = operators.PROPOSE_TIMEOUT_SECONDS
        operators.PROPOSE_TIMEOUT_SECONDS = 0.0
        self.addCleanup(setattr, operators, "PROPOSE_TIMEOUT_SECONDS", limit)
        response = await self.apply(put(ENTITIES[0]))
        self.assertEqual(response.outcome, pb.UNKNOWN)

    async def test_dry_run_gives_the_verdict_without_effect(self) -> None:
        change = build_change(put(ENTITIES[0]))
        dry = await self.stub.Apply(
            pb.ApplyRequest(change=change, dry_run=True)
        )
        self.assertEqual(self.log.machine.replica.version, 0)
        real = await self.stub.Apply(pb.ApplyRequest(change=change))
        self.assertEqual(dry, real)

    async def test_outcome_forwarded_by_another_vm(self) -> None:
        self.log.encoded = True
        response = await self.apply(put(ENTITIES[0]))
        self.assertEqual(response.outcome, pb.ACCEPTED)

    async def test_oversized_change_stays_out_of_the_log(self) -> None:
        name = "n" * operators.MAX_CHANGE_BYTES
        response = await self.apply(put(Neighbour(name=name, share=0.1)))
        self.assertEqual(response.problems[0].path, "change")
        self.assertEqual(self.log.index, 0)

    async def test_drain_and_undrain(self) -> None:
        request = pb.DrainRequest(
            command_id="d1",
            operator="alice",
            expected_version=-1,
            target_ids=["t1"],
            vm_ids=["vm-2"],
        )
        await self.stub.Drain(request)
        configuration = self.log.machine.configuration
        self.assertEqual(configuration.drained_targets, {"t1"})
        self.assertEqual(configuration.drained_vms, {"vm-2"})
        targets = (await self.stub.Targets(pb.TargetsRequest())).targets
        self.assertTrue(targets[0].drained)
        request.command_id = "d2"
        await self.stub.Undrain(request)
        self.assertFalse(configuration.drained_targets)


class ReadTest(OperatorsTestCase):
    """Guards against stale or partial reads and wrong error statuses."""

    async def test_get(self) -> None:
        await self.apply(put(ENTITIES[0]))
        request = pb.GetRequest(kind=pb.NEIGHBOUR, name="n")
        response = await self.stub.Get(request)
        self.assertEqual(response.version, 1)
        self.assertEqual(response.entity.neighbour.share, 0.25)
        request.name = "x"
        await self.check_status(Status.NOT_FOUND, self.stub.Get(request))
        request.kind = pb.KIND_UNSPECIFIED
        await self.check_status(Status.INVALID_ARGUMENT, self.stub.Get(request))

    async def test_pages_cover_every_entity_once(self) -> None:
        await self.apply(
            *(put(Service(name=f"s{number:02}")) for number in range(25))
        )
        request = pb.ListRequest(kind=pb.SERVICE, page_size=10)
        names = []
        while True:
            response = await self.stub.List(request)
            names += [x.service.name for x in response.entities]
            request.page_token = response.next_page_token
            if not request.page_token:
                break
        self.assertEqual(names, [f"s{number:02}" for number in range(25)])

    async def test_only_local_reads_work_without_a_majority(self) -> None:
        await self.apply(put(ENTITIES[0]))
        self.log.reachable = False
        request = pb.GetRequest(kind=pb.NEIGHBOUR, name="n")
        await self.check_status(Status.UNAVAILABLE, self.stub.Get(request))
        request.local = True
        response = await self.stub.Get(request)
        self.assertEqual(response.entity.neighbour.name, "n")

    async def test_watch_sends_each_version_once_in_order(self) -> None:
        await self.apply(put(ENTITIES[0]))
        async with self.stub.Watch.open() as stream:
            await stream.send_message(pb.WatchRequest(from_version=0))
            first = await stream.recv_message()
            await self.apply(put(ENTITIES[3]), command_id="c2", version=1)
            second = await stream.recv_message()
            await stream.cancel()
        self.assertEqual([first.version, second.version], [1, 2])
        self.assertEqual(second.operations[0].put_service.name, "s")

    async def test_watch_resets_when_deltas_are_no_longer_stored(self) -> None:
        await self.apply(put(ENTITIES[0]))
        self.log.machine.replica.drop_deltas()
        async with self.stub.Watch.open() as stream:
            await stream.send_message(pb.WatchRequest(from_version=0))
            event = await stream.recv_message()
            await stream.cancel()
        self.assertTrue(event.reset)
        self.assertEqual(event.version, 1)

    async def test_number_of_watchers_is_limited(self) -> None:
        self.server.watchers = operators.MAX_WATCHERS
        async with self.stub.Watch.open() as stream:
            await stream.send_message(pb.WatchRequest())
            await self.check_status(
                Status.RESOURCE_EXHAUSTED,
                asyncio.wait_for(stream.recv_message(), 5),
            )

    async def test_status_and_reports(self) -> None:
        await self.apply(put(ENTITIES[0]))
        status = await self.stub.Status(pb.StatusRequest())
        self.assertEqual(status.configuration_version, 1)
        self.assertEqual(status.configuration_age_s, -1.0)
        accounts = await self.stub.Accounts(pb.AccountsRequest(neighbour="x"))
        self.assertFalse(accounts.totals)
        accounts = await self.stub.Accounts(pb.AccountsRequest())
        self.assertEqual(accounts.totals[0].tokens_out, 20)
        self.assertEqual(accounts.shares[0].used, 0.25)
        self.assertEqual(accounts.unsettled[0].state, "reported")
        trace = await self.stub.Trace(pb.TraceRequest(request_id="r1"))
        self.assertEqual(trace.steps[0].peer, "t1")
        members = await self.stub.Members(pb.MembersRequest())
        self.assertEqual(members.members[0].state, "alive")
        audit = await self.stub.Audit(pb.AuditRequest())
        self.assertEqual(audit.records[0].operator, "alice")
        self.assertEqual(audit.records[0].created_at, 1000.0)

    async def test_vm_that_is_not_a_voter_has_no_audit_records(self) -> None:
        self.server.machine = None
        message = await self.check_status(
            Status.UNAVAILABLE, self.stub.Audit(pb.AuditRequest())
        )
        self.assertIn("not a voter", message)


class TokenTest(OperatorsTestCase):
    """Guards against callers without a valid token."""

    async def asyncSetUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder, "tokens")
        self.path.write_text("bob first-secret\nsecond-secret\n")
        self.tokens = TokenFile(self.path)
        await super().asyncSetUp()

    async def apply_with(self, token: str, command_id: str) -> None:
        """Sends a drain in the name of alice with a token."""
        change = build_change(
            pb.Operation(drain_target="t1"), command_id=command_id, version=-1
        )
        metadata = {
            "authorization": f"Bearer {token}",
            "rattanroute-identity": "mallory",
        }
        await self.stub.Apply(pb.ApplyRequest(change=change), metadata=metadata)

    async def test_calls_without_a_valid_token_are_refused(self) -> None:
        for metadata in (
            {},
            {"authorization": "Bearer wrong"},
            {"authorization": "first-secret"},
            {"authorization": "Digest first-secret"},
            {"authorization": "Bearer "},
        ):
            message = await self.check_status(
                Status.UNAUTHENTICATED,
                self.stub.Status(pb.StatusRequest(), metadata=metadata),
            )
            self.assertNotIn("secret", message)

    async def test_audit_names_the_owner_of_the_token(self) -> None:
        await self.apply_with("first-secret", "c1")
        await self.apply_with("second-secret", "c2")
        operators_seen = [x.operator for x in self.log.machine.audits]
        self.assertEqual(operators_seen, ["bob", "alice"])

    async def test_tokens_rotate_without_a_restart(self) -> None:
        self.path.write_text("third-secret-after-rotation\n")
        await self.apply_with("third-secret-after-rotation", "c1")
        with self.assertRaises(GRPCError):
            await self.apply_with("first-secret", "c2")
