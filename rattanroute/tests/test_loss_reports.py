"""Tests of the report of lost value, from log lines of the test."""

import json
import pathlib
import tempfile
import unittest

import click.testing

from rattanroute.tests.loss_support import build_line
from rattanroute.tests.loss_support import build_refused_line
from rattanroute.tests.loss_support import OLD_LINE
from rattanroute.tools import loss_reports
from rattanroute.tools.loss_causes import Cause
from rattanroute.tools.loss_causes import find_losses
from rattanroute.tools.loss_causes import Kind
from rattanroute.tools.loss_causes import Loss
from rattanroute.tools.loss_causes import Objectives
from rattanroute.tools.loss_lines import LineError
from rattanroute.tools.loss_lines import parse_record
from rattanroute.tools.loss_lines import RecordReader
from rattanroute.tools.loss_windows import LossReport

PNG_START = b"\x89PNG"


def find_line_losses(line: str, **objectives: dict[str, float]) -> list[Loss]:
    """Returns the losses of the request of a line."""
    return list(find_losses(parse_record(line), Objectives(**objectives)))


class LineTest(unittest.TestCase):
    """Guards against times and fields that are read wrongly."""

    def test_prefix_has_the_time(self) -> None:
        """Guards against the number in the name of a VM as a time."""
        record = parse_record(OLD_LINE)
        self.assertEqual(record.ended_at, 16.7425)
        self.assertAlmostEqual(record.arrived_at, 13.1135)
        self.assertEqual(record.failures, ())
        self.assertIsNone(record.phases)

    def test_name_of_a_vm_is_no_time(self) -> None:
        """Guards against a prefix without a number."""
        line = OLD_LINE.replace("  16.7425 front-a-7", "front-a-7")
        self.assertEqual(parse_record(line).ended_at, 1772993212.742)

    def test_line_without_a_prefix(self) -> None:
        """Guards against lines as the programs write them."""
        line = OLD_LINE.partition("front-a-7 ")[2]
        self.assertEqual(parse_record(line).ended_at, 1772993212.742)

    def test_quoted_text(self) -> None:
        """Guards against a list that is cut at its first space."""
        failures = 'stalled at t1;status 503 "x"=\\'
        record = parse_record(build_line(failures=failures))
        self.assertEqual(record.failures, tuple(failures.split(";")))

    def test_broken_lines_are_counted(self) -> None:
        """Guards against a report that stops at a line that was cut."""
        line = build_line()
        broken = [line[:80], line.replace("status=200", "status=x")]
        reader = RecordReader()
        records = list(reader.read([*broken, "noise\n", "", line]))
        self.assertEqual((len(records), reader.skipped), (1, 2))
        with self.assertRaises(LineError):
            parse_record(broken[0])

    def test_refusals_of_both_programs(self) -> None:
        """Guards against refusals of the daemon that are left out."""
        line = build_refused_line(1.0)
        daemon = line.replace("status=503 reason=stopping", "type=overloaded")
        records = [parse_record(x) for x in (line, daemon)]
        self.assertEqual(
            [x.reason for x in records], ["stopping", "overloaded"]
        )


class LateEventTest(unittest.TestCase):
    """Guards against a wrong cause of a late first event."""

    def check(self, cause: Cause, excess_s: float, **changes: object) -> None:
        """Checks the only loss of a line."""
        losses = find_line_losses(build_line(**changes))
        self.assertEqual(
            [(x.kind, x.cause) for x in losses], [(Kind.LATE, cause)]
        )
        self.assertAlmostEqual(losses[0].excess_s, excess_s)

    def test_in_time(self) -> None:
        """Guards against losses of requests that met their objectives."""
        self.assertEqual(find_line_losses(build_line()), [])
        self.assertEqual(find_line_losses(build_line(first_event=0.5)), [])

    def test_queued_prompt(self) -> None:
        """Guards against engines that are held blameless."""
        self.check(Cause.QUEUED, 0.2, first_event=0.7)

    def test_wait_for_capacity(self) -> None:
        """Guards against a wait that is taken for slow engines."""
        self.check(
            Cause.WAITED,
            0.2,
            first_event=0.7,
            waited=0.3,
            first_waited=0.3,
            first_sent=0.31,
        )

    def test_wait_in_a_later_pause(self) -> None:
        """Guards against a wait after the first event as its cause."""
        self.check(Cause.QUEUED, 0.2, first_event=0.7, waited=0.9)

    def test_failed_attempt(self) -> None:
        """Guards against failures that are taken for slow engines."""
        self.check(
            Cause.ANOTHER_ATTEMPT,
            0.3,
            first_event=0.8,
            first_sent=0.6,
            first_sends=2,
            sends=2,
            failures="stalled at t1",
        )

    def test_busy_entry_vm(self) -> None:
        """Guards against engines that are blamed for a slow entry VM."""
        self.check(Cause.UNSENT, 0.2, first_event=0.7, first_sent=0.6)

    def test_client_that_returned(self) -> None:
        """Guards against lateness that the refusal before has caused."""
        self.check(Cause.RETURNED, 0.3, first_event=0.2, spent=0.6)

    def test_small_waits_are_not_the_cause(self) -> None:
        """Guards against a cause without which it had been late as well."""
        self.check(
            Cause.QUEUED,
            0.5,
            first_event=0.9,
            spent=0.1,
            first_waited=0.1,
            first_sent=0.11,
        )

    def test_old_lines(self) -> None:
        """Guards against logs of the release before."""
        old = OLD_LINE.replace("first_event=0.072", "first_event=0.7")
        goals = {"first_event_s": {"r-x": 0.5}}
        waited = old.replace("waited=0", "waited=0.4")
        failed = old.replace('failures=""', 'failures="stalled at t1"')
        causes = [
            find_line_losses(x, **goals)[0].cause for x in (old, waited, failed)
        ]
        self.assertEqual(
            causes, [Cause.QUEUED, Cause.WAITED, Cause.ANOTHER_ATTEMPT]
        )

    def test_late_answer_of_a_plain_service(self) -> None:
        """Guards against calls that are only judged by events."""
        call = {"events": 0, "first_event": 0.0, "longest_gap": 0.0}
        self.check(Cause.SLOW_TARGET, 0.4, seconds=0.9, **call)
        self.check(
            Cause.ANOTHER_ATTEMPT,
            0.4,
            seconds=0.9,
            failures="no answer in time",
            **call,
        )


class PauseTest(unittest.TestCase):
    """Guards against a wrong cause of a long pause."""

    def check(self, cause: Cause, **changes: object) -> None:
        """Checks the only loss of a line with a pause of 0.9 s."""
        line = build_line(at=10.0, longest_gap=0.9, **changes)
        losses = find_line_losses(line)
        self.assertEqual(
            [(x.kind, x.cause) for x in losses], [(Kind.PAUSE, cause)]
        )
        self.assertAlmostEqual(losses[0].excess_s, 0.65)
        self.assertAlmostEqual(losses[0].at, 8.0)

    def test_overfull_chain(self) -> None:
        """Guards against a cause that needs a failure."""
        self.check(Cause.OVERFULL)

    def test_chain_between_data_centres(self) -> None:
        """Guards against a slow link that is taken for slow engines."""
        self.check(Cause.BETWEEN_DATA_CENTRES, data_centres="dc-a+dc-b")

    def test_lost_engine(self) -> None:
        """Guards against a loss whose detection took most of the pause."""
        for failure in (
            "stalled at t1",
            "target t1 is gone",
            "the connection was closed",
            "[Errno 104] Connection reset by peer",
        ):
            self.check(
                Cause.LOST_ENGINE,
                sends=2,
                gap_sent=1.6,
                gap_failures=f"{failure};status 503",
            )

    def test_prompt_that_was_read_again(self) -> None:
        """Guards against engines that take long to continue a stream."""
        self.check(
            Cause.READ_AGAIN,
            sends=2,
            gap_sent=1.3,
            gap_failures="stalled at t1",
        )

    def test_wait_for_another_chain(self) -> None:
        """Guards against a lack of capacity that looks like a lost engine."""
        self.check(
            Cause.WAITED,
            sends=2,
            gap_sent=1.8,
            gap_waited=0.5,
            gap_failures="stalled at t1",
        )

    def test_preempted_chain(self) -> None:
        """Guards against an engine without room as a lost one."""
        self.check(
            Cause.REJECTED,
            sends=2,
            gap_sent=1.6,
            gap_failures="status 503 10.0.0.1:80",
        )

    def test_other_failure(self) -> None:
        """Guards against a lost link as a lost engine."""
        self.check(
            Cause.ANOTHER_ATTEMPT,
            sends=2,
            gap_sent=1.6,
            gap_failures="the link to the target was lost",
        )

    def test_failure_in_another_phase(self) -> None:
        """Guards against a failure before the pause as its cause."""
        self.check(Cause.OVERFULL, sends=2, failures="stalled at t1")

    def test_old_lines(self) -> None:
        """Guards against logs of the release before."""
        goals = {"gap_s": {"*": 0.25}}
        failed = OLD_LINE.replace('failures=""', 'failures="stalled at t1"')
        losses = [find_line_losses(x, **goals)[0] for x in (OLD_LINE, failed)]
        self.assertEqual(
            [x.cause for x in losses], [Cause.OVERFULL, Cause.LOST_ENGINE]
        )
        self.assertEqual(losses[0].at, 16.7425)


class FailureTest(unittest.TestCase):
    """Guards against requests without an answer that are not counted."""

    def check(self, kind: Kind, cause: str, **changes: object) -> None:
        """Checks the only loss of a request without events."""
        line = build_line(events=0, first_event=0.0, **changes)
        losses = find_line_losses(line)
        self.assertEqual([(x.kind, x.cause) for x in losses], [(kind, cause)])

    def test_refused(self) -> None:
        """Guards against a refusal that names a target as a cause."""
        self.check(
            Kind.REFUSED,
            "no chain has room",
            status=503,
            reason="no chain has room",
            connections="",
        )
        self.check(
            Kind.REFUSED,
            "no budget to repeat",
            status=503,
            reason="no budget to repeat after stalled at t1",
        )

    def test_refused_at_once(self) -> None:
        """Guards against refusals without a route."""
        losses = find_line_losses(build_refused_line(1.0))
        self.assertEqual(
            [(x.kind, x.cause) for x in losses], [(Kind.REFUSED, "stopping")]
        )

    def test_no_connection(self) -> None:
        """Guards against targets that are not reached as refusals."""
        self.check(
            Kind.UNCONNECTED,
            Cause.LOST_ENGINE,
            status=503,
            reason="connect (10.0.0.1:80): refused",
            connections="-,-",
        )

    def test_cut_off(self) -> None:
        """Guards against cut streams that count as answered."""
        self.check(
            Kind.CUT_OFF,
            Cause.CLIENT_LEFT_EARLY,
            status=0,
            reason="caller left",
        )
        line = build_line(status=0, reason="no chain has room")
        losses = find_line_losses(line)
        self.assertEqual(
            [(x.kind, x.cause) for x in losses],
            [(Kind.CUT_OFF, "no chain has room")],
        )

    def test_failed(self) -> None:
        """Guards against 502 and 504 as refusals that may be repeated."""
        self.check(
            Kind.FAILED,
            "no answer in time",
            status=504,
            reason="no answer in time",
        )

    def test_rejection_by_the_target(self) -> None:
        """Guards against a client's mistake as a loss."""
        line = build_line(status=400, events=0)
        self.assertEqual(find_line_losses(line), [])


def build_burst() -> list[str]:
    """Builds the lines of a burst in which one engine is lost.

    Ten streams arrive in each second from 10 to 15. Those of the third second
    wait for capacity, and an engine under four streams is lost at 14.5 s.
    """
    lines = []
    for number in range(60):
        arrived_at = 10 + number / 10
        changes: dict[str, object] = {"request_id": f"r{number}"}
        if 12 <= arrived_at < 13:
            changes |= {"first_event": 0.8, "first_sent": 0.7}
            changes |= {"first_waited": 0.7, "waited": 0.7}
        if 13.5 <= arrived_at < 13.9:
            changes |= {"longest_gap": 0.6, "gap_failures": "stalled at t1"}
            changes |= {"gap_at": 14.5 - arrived_at, "sends": 2}
            changes |= {"gap_sent": 15.0 - arrived_at}
        lines.append(build_line(at=arrived_at + 3.0, **changes))
    return lines


class ReportTest(unittest.TestCase):
    """Guards against losses in a wrong window."""

    def test_burst_and_lost_engine(self) -> None:
        """Guards against sums that hide when and why value was lost."""
        report = LossReport()
        report.add_all(RecordReader().read(build_burst()))
        losses = {
            (start, key[1]): total.count
            for (start, _), group in report.windows.items()
            for key, total in group.sums.items()
        }
        self.assertEqual(
            losses, {(12.0, Cause.WAITED): 10, (14.0, Cause.LOST_ENGINE): 4}
        )
        self.assertEqual(report.windows[12.0, "chat"].requests, 20)
        total = report.totals["chat", 1]
        self.assertEqual((total.requests, total.affected), (60, 14))

    def test_request_with_two_losses(self) -> None:
        """Guards against one client that counts as two."""
        report = LossReport()
        line = build_line(first_event=0.7, longest_gap=0.9)
        report.add_all(RecordReader().read([line]))
        total = report.totals["chat", 1]
        self.assertEqual((total.affected, len(total.sums)), (1, 2))

    def test_route_without_an_objective(self) -> None:
        """Guards against old logs that seem to be without losses."""
        report = LossReport()
        report.add_all(RecordReader().read([OLD_LINE]))
        self.assertEqual(report.without_objective, {"r-x": 1})


class CommandTest(unittest.TestCase):
    """Guards against output that cannot be read."""

    def setUp(self) -> None:
        """Writes the lines of a burst to two logs."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        lines = build_burst()
        self.logs = []
        for number in range(2):
            log = self.folder / f"front-a-{number}.log"
            log.write_text("".join(lines[number::2]), encoding="utf-8")
            self.logs.append(str(log))

    def run_command(self, *arguments: str) -> click.testing.Result:
        """Runs the command on the logs."""
        return click.testing.CliRunner().invoke(
            loss_reports.main, [*self.logs, *arguments]
        )

    def test_table(self) -> None:
        """Guards against a table without times and causes."""
        result = self.run_command()
        self.assertEqual((result.exit_code, result.stderr), (0, ""))
        lines = result.stdout.splitlines()
        self.assertEqual(
            lines[0].split()[:4], ["TIME", "ROUTE", "REQUESTS", "LOSING"]
        )
        self.assertIn("late: waited for capacity 10", lines[1])
        self.assertIn("pause: lost engine 4", lines[2])

    def test_json(self) -> None:
        """Guards against a document without sums, seconds and examples."""
        result = self.run_command("--output", "json")
        document = json.loads(result.stdout)
        self.assertEqual(document["skipped_lines"], 0)
        losses = document["totals"][0]["losses"]
        self.assertEqual(
            [(x["kind"], x["count"], x["excess_s"]) for x in losses],
            [("late", 10, 3.0), ("pause", 4, 1.4)],
        )
        self.assertEqual(losses[0]["examples"], ["r20", "r22", "r24"])

    def test_objectives_of_the_command(self) -> None:
        """Guards against options that do not replace the log's objectives."""
        result = self.run_command("--goal", "chat=1", "--gap-goal", "*=1")
        self.assertIn("(none)", result.stdout)

    def test_clients_with_less_patience_than_their_route(self) -> None:
        """Guards against in-time answers that count as late returns."""
        log = self.folder / "patience.log"
        line = build_line(first_event=0.2, spent=1.4, longest_gap=0.0)
        log.write_text(line, encoding="utf-8")
        self.logs = [str(log)]
        self.assertIn("(none)", self.run_command().stdout)
        counted = self.run_command("--count-spent").stdout
        self.assertIn("returned after a refusal 1", counted)

    def test_wrong_objective(self) -> None:
        """Guards against a misspelt option that changes nothing."""
        for value in ("chat", "chat=", "chat=0", "chat=nan", "=1"):
            result = self.run_command("--goal", value)
            self.assertEqual(result.exit_code, 2, value)

    def test_missing_objective(self) -> None:
        """Guards against a report of no losses for want of an objective."""
        pathlib.Path(self.logs[0]).write_text(OLD_LINE, encoding="utf-8")
        result = self.run_command()
        self.assertIn("route r-x has no objective", result.stderr)

    def test_plot(self) -> None:
        """Guards against a plot that cannot be drawn."""
        file = self.folder / "losses.png"
        result = self.run_command("--plot", str(file))
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(file.read_bytes()[:4], PNG_START)
