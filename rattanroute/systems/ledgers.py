"""Usage accounting: each attempt counts exactly once in the totals.

An entry VM assigns an account tag to each attempt at dispatch, passes it to
the targets in the `X-Account` header, and reports the usage when the attempt
ends. Targets state the same usage in their heartbeats to any VM. Each VM sends
reports and statements to the ledger holders, which are the voters, and keeps
them until a majority has synced them (`systems/usage_senders.py`). The holders
compare and add them up (`systems/ledger_holders.py`).
"""

import collections
from collections.abc import Iterable

import msgspec

from rattanroute.actions import Action
from rattanroute.actions import PersistUsages
from rattanroute.actions import SendMessage
from rattanroute.messages.ledgers import LedgerVector
from rattanroute.messages.ledgers import SnapshotPiece
from rattanroute.messages.ledgers import SnapshotRequest
from rattanroute.messages.ledgers import UsageAck
from rattanroute.messages.ledgers import UsageBatch
from rattanroute.systems.ledger_holders import LedgerHolder
from rattanroute.systems.ledger_holders import STATE_DECODER
from rattanroute.systems.ledger_holders import TotalRow
from rattanroute.systems.ledger_snapshots import Snapshot
from rattanroute.systems.ledger_snapshots import SNAPSHOT_RETRY_SECONDS
from rattanroute.systems.ledger_snapshots import SNAPSHOT_TIMEOUT_SECONDS
from rattanroute.systems.ledger_snapshots import SnapshotFetch
from rattanroute.systems.ledger_snapshots import take_snapshot
from rattanroute.systems.usage_senders import ReportItem
from rattanroute.systems.usage_senders import StatementItem
from rattanroute.systems.usage_senders import UsageSender
from rattanroute.tables.usages import AccountTag
from rattanroute.tables.usages import Amounts
from rattanroute.tables.usages import format_tag
from rattanroute.tables.usages import parse_tag
from rattanroute.tables.usages import TargetStatement
from rattanroute.tables.usages import Usage
from rattanroute.tables.usages import UsageRecord
from rattanroute.tables.usages import UsageReport
from rattanroute.tables.usages import UsageState
from rattanroute.tables.usages import UsageStatement

# Operators read the totals of one holder. An item reaches the holders outside
# its majority within this time multiplied by the number of other holders.
RECONCILE_SECONDS = 2.0
# Number of recent statements whose repetitions are detected; targets repeat a
# statement in several heartbeats.
MAX_SEEN_STATEMENTS = 20_000
# The oldest tags above this number are dropped; they belong to attempts whose
# end the host never reported.
MAX_OPEN_TAGS = 50_000


class LedgerSystem:
    """Reports usage to the ledger holders, and keeps the ledger on a holder.

    Attributes:
        vm_id: Identifier of this VM.
        stream: Name of this VM's stream of items.
        holders: VM identifiers of the ledger holders.
        sender: Items that a majority has not confirmed.
        holder: The ledger; None on a VM that is not a holder.
        open_tags: Tags of running attempts, by request and attempt number.
        open_count: Number of the latest tag.
        seen_statements: Recent statements, by target, request and attempt.
        rejected: Number of statements that are not valid.
        acks: Confirmations that wait for the next write.
        unsynced_messages: Confirmations that wait for the sync of a write, by
            its ticket.
        ticket: Number of the latest write that the host was asked for.
        next_reconcile: Time of the next reconciliation, in seconds.
        reconciled: Number of reconciliations started.
        snapshots: Snapshots served to other holders, by holder.
        snapshot_count: Number of the latest snapshot.
        fetch: The snapshot that is being fetched; None if there is none.
        storage_lost: Whether the ledger file could not be synced.
    """

    message_types: tuple[type, ...] = (
        UsageBatch,
        UsageAck,
        LedgerVector,
        SnapshotRequest,
        SnapshotPiece,
    )

    def __init__(
        self,
        *,
        vm_id: str,
        started_ms: int,
        now: float,
        holders: tuple[str, ...],
        restored: list[bytes] | None = None,
    ) -> None:
        """Initialises the sender, and on a holder the ledger.

        Args:
            vm_id: Identifier of this VM.
            started_ms: Wall-clock time at the start of this process, in
                milliseconds; makes the stream's name unique.
            now: The host's monotonic clock at the same moment, in seconds.
            holders: VM identifiers of the ledger holders, the voters.
            restored: Records of the ledger file, on a holder.

        Raises:
            msgspec.DecodeError: If a restored record is not valid.
        """
        self.vm_id = vm_id
        self.started_ms = started_ms
        self.started_at = now
        self.stream = f"{vm_id}/{started_ms}"
        self.holders = holders
        self.sender = UsageSender(
            vm_id=vm_id, stream=self.stream, holders=holders
        )
        self.holder: LedgerHolder | None = None
        if vm_id in holders:
            self.holder = LedgerHolder(restored=restored or [])
        self.open_tags: dict[tuple[str, int], AccountTag] = {}
        self.open_count = 0
        self.seen_statements: dict[tuple[str, str, int], None] = {}
        self.rejected = 0
        self.acks: list[SendMessage] = []
        self.unsynced_messages: dict[int, list[SendMessage]] = {}
        self.ticket = 0
        self.next_reconcile = now
        self.reconciled = 0
        self.snapshots: dict[str, Snapshot] = {}
        self.snapshot_count = 0
        self.fetch: SnapshotFetch | None = None
        self.storage_lost = False

    def to_wall_s(self, now: float) -> int:
        """Converts a monotonic time to wall-clock seconds."""
        return int(self.started_ms / 1000 + now - self.started_at)

    # Interface for the host.

    def open(
        self,
        *,
        request_id: str,
        attempt: int,
        neighbour: str,
        workspace: str,
        model: str,
        now: float,
    ) -> str:
        """Assigns an account tag to an attempt that is being dispatched.

        Returns:
            The value of the `X-Account` header for all targets of the
            attempt.
        """
        tag = self.assign(neighbour, workspace, model, now)
        self.open_tags[request_id, attempt] = tag
        if len(self.open_tags) > MAX_OPEN_TAGS:
            del self.open_tags[next(iter(self.open_tags))]
        return format_tag(tag)

    def assign(
        self, neighbour: str, workspace: str, model: str, now: float
    ) -> AccountTag:
        """Returns a new account tag."""
        self.open_count += 1
        return AccountTag(
            neighbour=neighbour,
            workspace=workspace,
            model=model,
            source=self.stream,
            sequence=self.open_count,
            opened_s=self.to_wall_s(now),
        )

    def record(self, usage: Usage, now: float) -> bool:
        """Records the usage of an attempt that has ended.

        Returns:
            False if the send buffer is full; the targets' statements are
            counted instead.
        """
        tag = self.open_tags.pop((usage.request_id, usage.attempt), None)
        if tag is None:
            tag = self.assign(
                usage.neighbour, usage.workspace, usage.model, now
            )
        hops = max(1, len(usage.targets))
        report = UsageReport(
            tag=tag,
            request_id=usage.request_id,
            attempt=usage.attempt,
            tokens_in=usage.tokens_in,
            tokens_out=usage.tokens_out,
            accelerator_ms=round(usage.accelerator_seconds * 1000),
            layers=usage.layers,
            targets=usage.targets,
            outcome=usage.outcome,
            max_tokens_out=usage.max_tokens_out,
            max_accelerator_ms=round(usage.elapsed_seconds * 1000) * hops,
        )
        return self.sender.put(ReportItem(report=report))

    def hear(self, statement: TargetStatement) -> bool:
        """Queues a target's statement for the holders; ignores repetitions.

        Returns:
            False if the statement is not valid or the send buffer is full.
        """
        key = (statement.target_id, statement.request_id, statement.attempt)
        if key in self.seen_statements:
            return True
        account = parse_tag(statement.account)
        numbers = (
            statement.tokens_in,
            statement.tokens_out,
            statement.seconds,
            statement.layers,
        )
        if account is None or min(numbers) < 0:
            self.rejected += 1
            return False
        item = StatementItem(
            account=account,
            statement=UsageStatement(
                target_id=statement.target_id,
                request_id=statement.request_id,
                attempt=statement.attempt,
                tokens_in=statement.tokens_in,
                tokens_out=statement.tokens_out,
                accelerator_ms=round(statement.seconds * 1000),
                layers=statement.layers,
            ),
        )
        if not self.sender.put(item):
            return False
        self.seen_statements[key] = None
        if len(self.seen_statements) > MAX_SEEN_STATEMENTS:
            del self.seen_statements[next(iter(self.seen_statements))]
        return True

    def set_holders(self, holders: tuple[str, ...]) -> None:
        """Changes the ledger holders after the voters have changed."""
        if holders == self.holders:
            return
        self.holders = holders
        self.sender.set_holders(holders)
        if self.vm_id in holders and self.holder is None:
            self.holder = LedgerHolder(restored=[])

    def persisted(self, *, ticket: int, now: float) -> list[Action]:
        """Sends the confirmations that waited for a sync of the ledger file.

        Args:
            ticket: Ticket of the latest write that is durable.
            now: The host's monotonic clock, in seconds.
        """
        actions: list[Action] = []
        for number in [n for n in self.unsynced_messages if n <= ticket]:
            for ack in self.unsynced_messages.pop(number):
                actions += self.deliver(ack, now)
        return actions

    def storage_failed(self) -> None:
        """Stops the holder after the ledger file could not be synced."""
        self.storage_lost = True
        self.unsynced_messages.clear()
        self.acks.clear()

    def snapshot(self) -> list[bytes]:
        """Returns the records of a compacted ledger file."""
        return [] if self.holder is None else self.holder.snapshot()

    # Interface for operators; results are empty or 0 except on holders.

    def totals(self, day: int | None = None) -> list[TotalRow]:
        """Returns the sums by neighbour, workspace, model and day.

        Args:
            day: Days since 1970; None for all days.
        """
        if self.holder is None:
            return []
        return [
            TotalRow(key=key, amounts=amounts)
            for key, amounts in self.holder.table.totals.items()
            if day in (None, key.day)
        ]

    def shares(self, day: int) -> dict[str, float]:
        """Returns each neighbour's fraction of a day's accelerator time."""
        used = collections.Counter()
        for row in self.totals(day):
            used[row.key.neighbour] += row.amounts.accelerator_ms
        total = used.total()
        return {name: ms / total for name, ms in used.items()} if total else {}

    def unsettled(self, state: UsageState) -> list[UsageRecord]:
        """Returns the open records in a state, such as the disputed ones."""
        return [r for r in self.open_records() if r.state == state]

    def open_records(self) -> Iterable[UsageRecord]:
        """Returns the records that can still change."""
        return () if self.holder is None else self.holder.table.open.values()

    def count_states(self) -> dict[UsageState, Amounts]:
        """Returns the amounts of open records in each state."""
        sums = {state: Amounts() for state in UsageState}
        for record in self.open_records():
            sums[record.state].add(record.count())
        return sums

    # Subsystem interface.

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message of an entry VM or another holder."""
        if isinstance(message, UsageAck):
            self.sender.on_ack(peer, message)
            return []
        if self.holder is None or self.storage_lost:
            return []
        if isinstance(message, UsageBatch):
            self.on_batch(peer, message, now)
            return []
        return self.on_holder_message(peer, message, now)

    def on_holder_message(
        self, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message that only holders send."""
        if peer not in self.holders:
            return []
        if isinstance(message, LedgerVector):
            return self.on_vector(peer, message, now)
        if isinstance(message, SnapshotRequest):
            return self.on_snapshot_request(peer, message, now)
        return self.on_snapshot_piece(peer, message, now)

    def tick(self, *, now: float) -> list[Action]:
        """Sends items, writes received items and reconciles holders."""
        actions: list[Action] = []
        for action in self.sender.tick(now):
            actions += self.deliver(action, now)
        if self.holder is None or self.storage_lost:
            return actions
        self.holder.tick(now, self.to_wall_s(now))
        actions += self.save()
        if now >= self.next_reconcile:
            self.next_reconcile = now + RECONCILE_SECONDS
            actions += self.reconcile(now)
        fetch = self.fetch
        if fetch is not None and now >= fetch.next_send:
            actions += self.request_piece(fetch, now)
        return actions

    def deliver(self, action: SendMessage, now: float) -> list[Action]:
        """Sends a message, or handles it directly if it is for this VM."""
        if action.peer != self.vm_id:
            return [action]
        return self.receive(peer=self.vm_id, message=action.message, now=now)

    def on_batch(self, peer: str, message: UsageBatch, now: float) -> None:
        """Applies a batch; it is confirmed to its issuer after the sync.

        A batch that another holder forwards is not confirmed.
        """
        if not self.holder.on_batch(message, now):
            return
        issuer = message.stream.partition("/")[0]
        if issuer == peer:
            ack = UsageAck(stream=message.stream, sequences=message.sequences)
            self.acks.append(SendMessage(peer=peer, message=ack))

    def save(self) -> list[Action]:
        """Returns the action that writes new items to the ledger file.

        Returns:
            One `PersistUsages`, or nothing if nothing waits.
        """
        if not self.holder.unsaved and not self.acks:
            return []
        self.ticket += 1
        self.unsynced_messages[self.ticket] = self.acks
        self.acks = []
        records = tuple(self.holder.unsaved)
        self.holder.unsaved.clear()
        return [PersistUsages(records=records, ticket=self.ticket)]

    # Reconciliation with other holders.

    def reconcile(self, now: float) -> list[Action]:
        """Sends the ranges of received items to the next other holder."""
        self.snapshots = {
            peer: snapshot
            for peer, snapshot in self.snapshots.items()
            if snapshot.expires_at > now
        }
        others = [h for h in self.holders if h != self.vm_id]
        if not others:
            return []
        self.reconciled += 1
        peer = others[self.reconciled % len(others)]
        vector = self.holder.build_vector(answer=True)
        return [SendMessage(peer=peer, message=vector)]

    def on_vector(
        self, peer: str, message: LedgerVector, now: float
    ) -> list[Action]:
        """Sends items that the other holder lacks and requests missing ones.

        If the other holder has dropped the content of items that this one
        lacks, a snapshot fetch starts. A vector with invalid ranges is
        ignored.
        """
        try:
            batches, purged = self.holder.build_missing(message)
            behind = self.holder.is_missing_items(message)
        except ValueError:
            return []
        actions: list[Action] = [
            SendMessage(peer=peer, message=batch) for batch in batches
        ]
        if message.purged and behind and self.fetch is None:
            self.fetch = SnapshotFetch(
                peer=peer, ends_at=now + SNAPSHOT_TIMEOUT_SECONDS
            )
        if message.answer and (purged or behind):
            vector = self.holder.build_vector(answer=False, purged=purged)
            actions.append(SendMessage(peer=peer, message=vector))
        return actions

    def request_piece(self, fetch: SnapshotFetch, now: float) -> list[Action]:
        """Requests the next piece of a snapshot, or ends a timed-out fetch."""
        if now >= fetch.ends_at:
            self.fetch = None
            return []
        fetch.next_send = now + SNAPSHOT_RETRY_SECONDS
        request = SnapshotRequest(
            snapshot_id=fetch.snapshot_id, piece=len(fetch.pieces)
        )
        return [SendMessage(peer=fetch.peer, message=request)]

    def on_snapshot_request(
        self, peer: str, message: SnapshotRequest, now: float
    ) -> list[Action]:
        """Sends a piece of the snapshot taken at the first request."""
        snapshot = self.snapshots.get(peer)
        fresh = snapshot is not None and now < snapshot.reused_until
        if message.snapshot_id == 0 and not fresh:
            self.snapshot_count += 1
            snapshot = take_snapshot(self.holder, self.snapshot_count, now)
            self.snapshots[peer] = snapshot
        if (
            snapshot is None
            or message.snapshot_id not in (0, snapshot.snapshot_id)
            or message.piece >= len(snapshot.pieces)
        ):
            return []
        piece = SnapshotPiece(
            snapshot_id=snapshot.snapshot_id,
            piece=message.piece,
            pieces=len(snapshot.pieces),
            data=snapshot.pieces[message.piece],
        )
        return [SendMessage(peer=peer, message=piece)]

    def on_snapshot_piece(
        self, peer: str, message: SnapshotPiece, now: float
    ) -> list[Action]:
        """Adds a piece; after the last one the snapshot is installed."""
        fetch = self.fetch
        if (
            fetch is None
            or fetch.peer != peer
            or message.piece != len(fetch.pieces)
            or fetch.snapshot_id not in (0, message.snapshot_id)
        ):
            return []
        fetch.snapshot_id = message.snapshot_id
        fetch.pieces.append(message.data)
        if len(fetch.pieces) < message.pieces:
            return self.request_piece(fetch, now)
        self.fetch = None
        try:
            state = STATE_DECODER.decode(b"".join(fetch.pieces))
            self.holder.install_state(state, now)
        except (msgspec.DecodeError, ValueError):
            return []
        return self.save()
