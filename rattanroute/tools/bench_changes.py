"""Measures what a change of a large configuration costs.

A simulated cluster has links that carry one message after another. Measured are
the time until a change is in force on all VMs, the bytes of a change and the
longest queue on a link, by number of VMs, routes, changes per second and link
rate, and the processor time of each step by number of routes.
"""

from collections.abc import Callable
import dataclasses
import json
import math
import statistics
import time
import zlib

from rattanroute.messages.distributions import VersionQuery
from rattanroute.platform.manifests import ManifestDecoder
from rattanroute.systems.probers import PROBE_TIMEOUT_SECONDS
from rattanroute.systems.version_answers import restore_contents
from rattanroute.systems.version_answers import UpdateBuilder
from rattanroute.tables.changes import PutManifest
from rattanroute.tables.configuration_replicas import ConfigurationReplica
from rattanroute.tables.configuration_replicas import hash_entity
from rattanroute.tables.manifest_contents import build_patch
from rattanroute.tables.manifest_contents import compress_content
from rattanroute.tests.distribution_support import FakeCluster
from rattanroute.tests.distribution_support import RatedLinks
from rattanroute.tests.manifest_support import ManifestBuilder
from rattanroute.tools.bench_arithmetic import build_row

# Requirements: time until a change is in force on all VMs, by number of VMs.
IN_FORCE_SECONDS = 2.5
IN_FORCE_VMS = 195
LARGE_IN_FORCE_SECONDS = 10.0
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
ROUTE_COUNTS = (266, 1_766, 8_000)
BURST_SECONDS = 2.0
# Simulated time between the first configuration and the changes, so that all
# VMs have settled, and limits of the simulated waiting.
SETTLE_SECONDS = 2.0
LIMIT_SECONDS = 15.0
SAMPLES = 9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Layout:
    """Where the VMs of a cluster are.

    Attributes:
        data_centres: Number of data centres.
        vms: VMs in each of them.
        voters: Voters in each data centre with voters.
        voter_data_centres: Data centres with voters.
    """

    data_centres: int
    vms: int
    voters: int
    voter_data_centres: int

    @property
    def vm_count(self) -> int:
        """Number of VMs."""
        return self.data_centres * self.vms

    @property
    def label(self) -> str:
        """Number of VMs and place of the voters."""
        return (
            f"{self.vm_count} VMs, voters in {self.voter_data_centres} of "
            f"{self.data_centres}"
        )

    @property
    def target_s(self) -> float:
        """Longest time until a change is in force."""
        if self.vm_count <= IN_FORCE_VMS:
            return IN_FORCE_SECONDS
        return LARGE_IN_FORCE_SECONDS


VOTERS_EVERYWHERE = (
    Layout(data_centres=3, vms=10, voters=2, voter_data_centres=3),
    Layout(data_centres=3, vms=45, voters=2, voter_data_centres=3),
    Layout(data_centres=15, vms=27, voters=1, voter_data_centres=15),
)
VOTERS_IN_SOME = (
    Layout(data_centres=15, vms=2, voters=1, voter_data_centres=7),
    Layout(data_centres=15, vms=9, voters=1, voter_data_centres=7),
    Layout(data_centres=15, vms=27, voters=1, voter_data_centres=7),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Changes of a configuration on a cluster.

    Attributes:
        layout: The cluster.
        routes: Routes of the configuration.
        changes_per_s: Rate of the changes; 0 for a single one.
        link_mbps: Link rate of the VMs that are no voters, in Mbit/s.
    """

    layout: Layout
    routes: int = 1_766
    changes_per_s: float = 12.5
    link_mbps: float = 7.0

    @property
    def label(self) -> str:
        """Short description for a row."""
        rate = f"{self.changes_per_s:g}/s" if self.changes_per_s else "single"
        return (
            f"{self.layout.label}, {self.routes} routes, {rate}, "
            f"{self.link_mbps:g} Mbit/s"
        )

    @property
    def change_count(self) -> int:
        """Number of changes."""
        return max(1, round(self.changes_per_s * BURST_SECONDS))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What changes cost.

    Attributes:
        first_s: Seconds until the whole configuration was in force on VMs
            that had none.
        first_queue_s: Longest queue on a link meanwhile, in seconds.
        in_force_s: Longest time until a change was in force on all VMs.
        queue_s: Longest queue on a link during the changes.
        received: Most bytes that a VM which is no voter received for a change.
        sent: Most bytes that such a VM sent for a change.
        voter_sent: Most bytes that a voter sent for a change.
    """

    first_s: float
    first_queue_s: float
    in_force_s: float
    queue_s: float
    received: float
    sent: float
    voter_sent: float


def build_scenarios() -> list[Scenario]:
    """Returns scenarios that differ in one property, and the hardest ones."""
    scenarios = []
    for layouts in (VOTERS_EVERYWHERE, VOTERS_IN_SOME):
        scenarios += [Scenario(layout=x) for x in layouts]
        base = Scenario(layout=layouts[1])
        scenarios += [
            dataclasses.replace(base, routes=266),
            dataclasses.replace(base, routes=8_000),
            dataclasses.replace(base, changes_per_s=0.0),
            dataclasses.replace(base, changes_per_s=30.0),
            dataclasses.replace(base, link_mbps=2.0),
            dataclasses.replace(base, link_mbps=14.0),
        ]
        scenarios += [
            Scenario(
                layout=layout, routes=8_000, changes_per_s=30.0, link_mbps=rate
            )
            for layout in layouts[1:]
            for rate in (7.0, 2.0)
        ]
    return scenarios


class ChangePlayer:
    """Plays the changes of a scenario on a simulated cluster.

    Args:
        scenario: The scenario.
    """

    def __init__(self, scenario: Scenario) -> None:
        layout = scenario.layout
        rate = scenario.link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        self.scenario = scenario
        self.links = RatedLinks(vm_rate=rate)
        self.manifests = ManifestBuilder(routes=scenario.routes)
        self.cluster = FakeCluster(
            data_centres=layout.data_centres,
            vms=layout.vms,
            voters=layout.voters,
            voter_data_centres=layout.voter_data_centres,
            links=self.links,
        )

    def put(self) -> int:
        """Commits the next manifest and announces it, as a voter does."""
        cluster = self.cluster
        version = cluster.change(self.manifests.change_route())
        for vm_id in cluster.logs:
            cluster.execute(vm_id, cluster.vms[vm_id].publish(cluster.now))
        return version

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Runs until a condition holds, for a limited time."""
        limit = self.cluster.now + LIMIT_SECONDS
        while not condition() and self.cluster.now < limit:
            self.cluster.step()

    def measure_delay(self, version: int, since: float) -> float:
        """Returns the seconds until a version was in force on all VMs."""
        times = [
            self.cluster.time_reached(x, version) for x in self.cluster.vms
        ]
        return max(times) - since

    def is_idle(self) -> bool:
        """Whether no link has messages to carry."""
        return max(self.links.free_at.values()) <= self.cluster.now

    def play(self) -> Outcome:
        """Plays the first configuration and then the changes."""
        cluster = self.cluster
        first = self.put()
        self.wait_until(lambda: not cluster.find_outdated(first))
        first_s = self.measure_delay(first, 0.0)
        cluster.run(SETTLE_SECONDS)
        self.wait_until(self.is_idle)
        first_queue_s = self.links.longest_queue_s
        self.links.longest_queue_s = 0.0
        cluster.received_bytes.clear()
        cluster.sent_bytes.clear()
        in_force_s = self.play_changes()
        return Outcome(
            first_s=first_s,
            first_queue_s=first_queue_s,
            in_force_s=in_force_s,
            queue_s=self.links.longest_queue_s,
            received=self.find_most(cluster.received_bytes, voters=False),
            sent=self.find_most(cluster.sent_bytes, voters=False),
            voter_sent=self.find_most(cluster.sent_bytes, voters=True),
        )

    def play_changes(self) -> float:
        """Returns the longest time until a change was in force."""
        cluster = self.cluster
        committed: dict[int, float] = {}
        start = cluster.now
        for number in range(self.scenario.change_count):
            due = start
            if self.scenario.changes_per_s:
                due += number / self.scenario.changes_per_s
            self.wait_until(lambda due=due: cluster.now >= due)
            committed[self.put()] = cluster.now
        self.wait_until(lambda: not cluster.find_outdated(max(committed)))
        return max(self.measure_delay(x, at) for x, at in committed.items())

    def find_most(self, counts: dict[str, int], *, voters: bool) -> float:
        """Returns the highest number of bytes of a VM for each change."""
        values = [
            count
            for vm_id, count in counts.items()
            if (vm_id in self.cluster.logs) is voters
        ]
        return max(values, default=0) / self.scenario.change_count


def build_scenario_rows(
    scenario: Scenario, outcome: Outcome
) -> list[dict[str, object]]:
    """Builds the rows of a scenario."""
    label = scenario.label
    target = scenario.layout.target_s
    return [
        build_timed_row(f"{label}: in force", outcome.in_force_s, target),
        build_timed_row(
            f"{label}: longest queue", outcome.queue_s, PROBE_TIMEOUT_SECONDS
        ),
        build_row(
            f"{label}: received by a VM", round(outcome.received), "B a change"
        ),
        build_row(f"{label}: sent by a VM", round(outcome.sent), "B a change"),
        build_row(
            f"{label}: sent by a voter",
            round(outcome.voter_sent),
            "B a change",
        ),
    ]


def build_first_rows(
    scenario: Scenario, outcome: Outcome
) -> list[dict[str, object]]:
    """Builds the rows of a configuration that all VMs lack."""
    label = (
        f"{scenario.layout.label}, {scenario.routes} routes, "
        f"{scenario.link_mbps:g} Mbit/s, whole configuration"
    )
    target = scenario.layout.target_s
    return [
        build_timed_row(f"{label}: in force", outcome.first_s, target),
        build_timed_row(
            f"{label}: longest queue",
            outcome.first_queue_s,
            PROBE_TIMEOUT_SECONDS,
        ),
    ]


def build_timed_row(
    name: str, seconds: float, target: float
) -> dict[str, object]:
    """Builds a row of seconds; None for what did not happen in time."""
    value = round(seconds, 3) if math.isfinite(seconds) else None
    return build_row(name, value, "s", at_most=target)


def bench_clusters() -> list[dict[str, object]]:
    """Measures all scenarios on simulated clusters."""
    rows: list[dict[str, object]] = []
    first_rows: dict[str, dict[str, object]] = {}
    for scenario in build_scenarios():
        outcome = ChangePlayer(scenario).play()
        rows += build_scenario_rows(scenario, outcome)
        for row in build_first_rows(scenario, outcome):
            first_rows.setdefault(row["name"], row)
    return [*rows, *first_rows.values()]


def measure_ms(work: Callable[[], object]) -> float:
    """Returns the median processor time of a call, in milliseconds."""
    times = []
    for _ in range(SAMPLES):
        start = time.process_time_ns()
        work()
        times.append(time.process_time_ns() - start)
    return statistics.median(times) / 1e6


def take_turns(decoder: ManifestDecoder, texts: list[bytes]) -> object:
    """Returns a call that decodes the next text each time."""
    pending = iter(texts * SAMPLES)
    return lambda: decoder.decode(next(pending))


def measure_steps(routes: int) -> dict[str, float]:
    """Returns the processor time of each step for a change, by step."""
    builder = ManifestBuilder(routes=routes)
    source = ConfigurationReplica()
    receiver = ConfigurationReplica()
    source.advance((builder.change_route(),))
    receiver.apply_delta(source.deltas[-1])
    text = builder.build_body()
    old = source.configuration.manifests["gateway"]
    operation: PutManifest = builder.change_route()
    changed = builder.build_body()
    source.advance((operation,))
    query = VersionQuery(version=1, content_hash=0, number=1)
    updates = UpdateBuilder(replica=source)
    update = updates.build(query)
    manifests = receiver.configuration.manifests
    delta = restore_contents(update, manifests)[0]
    content = operation.entity.content
    decoder = ManifestDecoder()
    decoder.decode(text)
    return {
        "compress": measure_ms(lambda: compress_content(text)),
        "build a patch": measure_ms(lambda: build_patch(old.content, content)),
        "build an answer": measure_ms(lambda: build_answer(updates, query)),
        "restore the content": measure_ms(
            lambda: restore_contents(update, manifests)
        ),
        "check the hash": measure_ms(lambda: receiver.accepts(delta)),
        "hash a manifest": measure_ms(lambda: hash_entity(old)),
        "decompress": measure_ms(lambda: zlib.decompress(content)),
        "decode the first": measure_ms(lambda: ManifestDecoder().decode(text)),
        "decode a change": measure_ms(take_turns(decoder, [changed, text])),
    }


def build_answer(updates: UpdateBuilder, query: VersionQuery) -> object:
    """Builds an answer that is not kept from an earlier query."""
    updates.updates.clear()
    return updates.build(query)


def bench_steps() -> list[dict[str, object]]:
    """Measures the processor time of a change by number of routes."""
    return [
        build_row(f"{step}, {routes} routes", round(value, 3), "ms")
        for routes in ROUTE_COUNTS
        for step, value in measure_steps(routes).items()
    ]


def run() -> list[dict[str, object]]:
    """Runs all measurements.

    Returns:
        Rows with name, value, unit, target (an upper bound or None), whether
        it is met, and the baseline (always None).
    """
    return [*bench_clusters(), *bench_steps()]


if __name__ == "__main__":
    for row in run():
        print(json.dumps(row))
