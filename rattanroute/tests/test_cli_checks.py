"""Tests of the check of a configuration before it is sent."""

import json
import pathlib
import tempfile
import unittest

from click.testing import CliRunner
from click.testing import Result

from rattanroute.platform.manifest_checks import ManifestChecker
from rattanroute.systems.document_differences import find_differences
from rattanroute.tables.findings import Severity
from rattanroute.tests.test_cli import CHANGE as APPLIED
from rattanroute.tests.test_cli import CliTestCase
from rattanroute.tests.test_platform_manifests import build_document
from rattanroute.tools import cli

IN_FORCE = """
- put_neighbour: {name: north, share: 0.6}
- put_model: {name: small, version: "1", versions: ["1"], layers: 24}
- put_workspace:
    name: desk
    neighbour: north
    models: [small]
    key_hashes: ["%s"]
""" % ("a" * 64)
CHANGE = """
operations:
  - put_model: {name: small, version: "1", versions: ["1"], layers: 32}
  - put_workspace:
      name: shop
      neighbour: %s
      models: [small]
      key_hashes: ["%s"]
  - drain_target: t17
"""


def find_findings(document: dict[str, object]) -> list[tuple[str, str]]:
    """Returns the severities and paths of the findings of a document."""
    findings = ManifestChecker(data=document).check()
    return [(str(x.severity), x.path) for x in findings]


class ManifestCheckTest(unittest.TestCase):
    """Guards against configurations that do not do what they say."""

    def setUp(self) -> None:
        self.document = build_document()
        self.route = self.document["routes"][0]

    def check(self, *expected: tuple[str, str]) -> None:
        """Checks the findings of the document."""
        self.assertEqual(find_findings(self.document), [*expected])

    def change(self, **fields: object) -> None:
        """Changes the stream's route."""
        self.route.update(fields)

    def test_sound_configuration(self) -> None:
        """Guards against warnings that nobody can do anything about."""
        self.check()

    def test_all_errors_are_reported(self) -> None:
        """Guards against one error for each attempt."""
        self.change(timeoutMs="20")
        del self.document["routes"][1]["host"]
        self.document["services"][0]["engine"]["kinds"][0]["pace"] = "fast"
        self.document["tenants"][0]["apiKeys"] = ["k1", 2]
        self.check(
            ("error", "routes[0].timeoutMs"),
            ("error", "routes[1]"),
            ("error", "services[0].engine.kinds[0].pace"),
            ("error", "tenants[0].apiKeys[1]"),
        )

    def test_invalid_routes(self) -> None:
        """Guards against what the platform refuses."""
        for fields in (
            {"kind": "other"},
            {"timeoutMs": 0, "goalMs": 0, "gapTargetMs": 0},
            {"pathPrefix": "/notes"},
            {"backends": [{"service": "llm", "weight": -1}]},
        ):
            with self.subTest(fields=fields):
                self.document = build_document()
                self.document["routes"][0].update(fields)
                errors = [
                    x for x in find_findings(self.document) if x[0] == "error"
                ]
                self.assertEqual(errors, [("error", "routes[0]")])

    def test_missing_sections(self) -> None:
        """Guards against a document that only the platform refuses."""
        for name in ("version", "routes", "services"):
            with self.subTest(name=name):
                document = build_document()
                del document[name]
                self.assertEqual(find_findings(document), [("error", "")])
                document[name] = "x"
                findings = find_findings(document)
                self.assertEqual(findings, [("error", name)])

    def test_contradicting_times(self) -> None:
        """Guards against objectives beyond the time limit."""
        self.change(goalMs=20001, gapTargetMs=20002)
        self.check(
            ("warning", "routes[0].goalMs"),
            ("warning", "routes[0].gapTargetMs"),
        )

    def test_ranks(self) -> None:
        """Guards against ranks that engines do not know."""
        self.change(priority=10)
        self.document["tenants"][1]["priority"] = -1
        self.check(
            ("warning", "routes[0].priority"),
            ("warning", "tenants[1].priority"),
        )

    def test_attempts(self) -> None:
        """Guards against settings that the kind of a route forbids."""
        self.change(maxAttempts=1)
        self.document["routes"][1].update(
            maxAttempts=2, resumable=True, gapTargetMs=100
        )
        self.check(
            ("warning", "routes[0].resumable"),
            ("warning", "routes[1].gapTargetMs"),
            ("warning", "routes[1].maxAttempts"),
            ("warning", "routes[1].resumable"),
        )

    def test_routes_that_never_match(self) -> None:
        """Guards against routes without requests."""
        for fields, field in (
            ({"host": "a.example:80"}, "host"),
            ({"host": "*.example"}, "host"),
            ({"host": "a.example "}, "host"),
            ({"pathPrefix": "/a?b/"}, "pathPrefix"),
            ({"pathPrefix": "/ä/"}, "pathPrefix"),
        ):
            with self.subTest(fields=fields):
                self.document = build_document()
                self.document["routes"][0].update(fields)
                self.check(("warning", f"routes[0].{field}"))

    def test_two_routes_at_a_place(self) -> None:
        """Guards against a route that another one hides."""
        self.change(host="a.EXAMPLE", pathPrefix="/notes/orders/")
        self.check(("error", "routes[1]"))

    def test_services(self) -> None:
        """Guards against services that nothing uses, or that do not exist."""
        self.change(backends=[{"service": "lmm", "weight": 1}])
        self.document["services"].append({"name": "desk"})
        self.check(
            ("error", "routes[0].backends[0].service"),
            ("warning", "services[0].name"),
            ("warning", "services[2].name"),
        )

    def test_back_end_without_requests(self) -> None:
        """Guards against a weight of 0 that counts as a use."""
        self.route["backends"][0]["weight"] = 0
        self.check(
            ("warning", "routes[0].backends[0].weight"),
            ("warning", "services[0].name"),
        )

    def test_shared_key(self) -> None:
        """Guards against two tenants with a key, and against printing it."""
        self.document["tenants"][1]["apiKeys"] = ["k1-secret", "k3", "k3"]
        self.document["tenants"][0]["apiKeys"] = ["k1-secret"]
        self.check(
            ("error", "tenants[1].apiKeys[0]"),
            ("warning", "tenants[1].apiKeys[2]"),
        )
        for finding in ManifestChecker(data=self.document).check():
            self.assertNotIn("secret", finding.message)

    def test_no_key_at_all(self) -> None:
        """Guards against routes that nobody can use."""
        self.document["tenants"] = []
        self.route["public"] = True
        self.check(("warning", "routes[1]"))

    def test_misspelt_field(self) -> None:
        """Guards against a setting that is ignored; others are unknown."""
        self.change(gapTargetMS=100, owner="me")
        self.document["limits"]["maxBodyByte"] = 1
        self.check(
            ("warning", "routes[0].gapTargetMS"),
            ("warning", "limits.maxBodyByte"),
        )

    def test_limits(self) -> None:
        """Guards against limits that refuse every request."""
        self.document["limits"]["maxBodyBytes"] = 0
        self.check(("warning", "limits.maxBodyBytes"))


class DifferenceTest(unittest.TestCase):
    """Guards against differences that are missed or invented."""

    def compare(self, old: object, new: object) -> list[tuple[object, ...]]:
        """Returns the differences of two values."""
        return [
            (str(x.kind), x.path, x.old, x.new)
            for x in find_differences(old, new)
        ]

    def test_named_items(self) -> None:
        """Guards against differences by position."""
        old = {"routes": [{"name": "a", "x": 1}, {"name": "b", "x": 2}]}
        new = {"routes": [{"name": "b", "x": 3}, {"name": "c", "x": 1}]}
        self.assertEqual(
            self.compare(old, new),
            [
                ("removed", "routes[a]", {"name": "a", "x": 1}, None),
                ("changed", "routes[b].x", 2, 3),
                ("added", "routes[c]", None, {"name": "c", "x": 1}),
            ],
        )

    def test_items_with_the_same_name(self) -> None:
        """Guards against an item that hides another one."""
        old = [{"name": "a", "x": 1}, {"name": "a", "x": 2}]
        new = [{"name": "a", "x": 1}, {"name": "a", "x": 3}]
        self.assertEqual(self.compare(old, new), [("changed", "[a#2].x", 2, 3)])

    def test_other_values(self) -> None:
        """Guards against lists, nothing and types that count as equal."""
        old = {"a": [1, 2], "b": None, "c": 1}
        new = {"a": [2, 1], "b": [], "c": 1}
        self.assertEqual(
            self.compare(old, new),
            [("changed", "a", [1, 2], [2, 1]), ("changed", "b", None, [])],
        )

    def test_keys_are_not_printed(self) -> None:
        """Guards against secrets in the output."""
        old = [{"name": "a", "apiKeys": ["s1", "s2"]}]
        new = [
            {"name": "a", "apiKeys": ["s2", "s3", "s4"]},
            {"name": "b", "apiKeys": ["s5"]},
        ]
        self.assertEqual(
            self.compare(old, new),
            [
                ("added", "[a].apiKeys", None, "keys: 2"),
                ("removed", "[a].apiKeys", "keys: 1", None),
                ("added", "[b]", None, {"name": "b", "apiKeys": "keys: 1"}),
            ],
        )


class CheckCommandTest(unittest.TestCase):
    """Guards against exit codes and lines that scripts cannot use."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)

    def write(self, text: str, name: str) -> str:
        """Writes a file and returns its path."""
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def run_tool(self, *arguments: str, code: int) -> Result:
        """Runs the tool without a server and checks its exit code."""
        result = CliRunner().invoke(cli.main, arguments)
        self.assertEqual(result.exit_code, code, result.output)
        self.assertNotIn("Traceback", result.output)
        return result

    def run_json(self, *arguments: str, code: int) -> dict[str, object]:
        """Runs the command and returns its document."""
        options = ("--output", "json", "check", *arguments)
        return json.loads(self.run_tool(*options, code=code).stdout)

    def test_line_of_an_error(self) -> None:
        """Guards against errors that cannot be found, also behind tabs."""
        document = build_document()
        document["routes"][1]["timeoutMs"] = "x"
        for indent in (2, "\t"):
            text = json.dumps(document, indent=indent)
            line = text[: text.index('"timeoutMs": "x"')].count("\n") + 1
            file = self.write(text, "manifest.json")
            result = self.run_tool("check", file, code=1)
            self.assertIn(
                f"{file}:{line}: error: routes[1].timeoutMs: ", result.stdout
            )

    def test_exit_codes(self) -> None:
        """Guards against scripts that go on after an error."""
        document = build_document()
        file = self.write(json.dumps(document), "manifest.json")
        result = self.run_tool("check", "--strict", file, code=0)
        self.assertIn("errors: 0, warnings: 0", result.stdout)
        document["routes"][0]["goalMs"] = 30000
        file = self.write(json.dumps(document), "manifest.json")
        self.run_tool("check", file, code=0)
        self.run_tool("check", "--strict", file, code=1)
        self.run_tool("check", str(self.folder / "none.json"), code=2)

    def test_malformed_files(self) -> None:
        """Guards against a trace in place of the line of an error."""
        text = json.dumps(build_document(), indent=2)
        broken = self.write(text[:-4] + ",,", "manifest.json")
        lines = text.count("\n")
        result = self.run_tool("check", broken, code=1)
        self.assertIn(f"{broken}:{lines}: error: not JSON", result.stdout)
        broken = self.write("operations:\n  - {put_model: [}\n", "a.yaml")
        result = self.run_tool("check", broken, code=1)
        self.assertIn(f"{broken}:2: error: not YAML", result.stdout)

    def test_platform_configuration_in_yaml(self) -> None:
        """Guards against a file that only this command accepts."""
        text = "version: 1\nroutes: []\nservices: []\n"
        result = self.run_tool("check", self.write(text, "a.yaml"), code=1)
        self.assertIn("not JSON", result.stdout)

    def test_differences_of_configurations(self) -> None:
        """Guards against a default that counts as a difference."""
        old = build_document()
        new = build_document()
        new["version"] = 8
        new["routes"][0]["goalMs"] = 400
        new["routes"][1]["public"] = False
        new["tenants"][0]["apiKeys"] = ["k1", "k9-secret"]
        files = (
            self.write(json.dumps(new), "new.json"),
            "--in-force",
            self.write(json.dumps(old), "old.json"),
        )
        document = self.run_json(*files, code=0)
        self.assertEqual(
            [(x["kind"], x["path"]) for x in document["differences"]],
            [
                ("changed", "routes[notes].goalMs"),
                ("added", "tenants[t1].apiKeys"),
                ("removed", "tenants[t1].apiKeys"),
                ("changed", "version"),
            ],
        )
        result = self.run_tool("check", *files, code=0)
        self.assertIn("routes[notes].goalMs", result.stdout)
        self.assertNotIn("secret", result.stdout)

    def test_change(self) -> None:
        """Guards against a change that the voters would refuse."""
        old = self.write(IN_FORCE, "old.yaml")
        text = CHANGE % ("south", "a" * 64)
        file = self.write(text, "change.yaml")
        document = self.run_json(file, "--in-force", old, code=1)
        self.assertEqual(
            [(x["line"], x["path"]) for x in document["findings"]],
            [
                (6, "operations[1].put_workspace.neighbour"),
                (8, "operations[1].put_workspace.key_hashes[0]"),
            ],
        )
        self.assertIsNone(document["differences"])

    def test_differences_of_a_change(self) -> None:
        """Guards against a change that changes more than was meant."""
        old = self.write(IN_FORCE, "old.yaml")
        file = self.write(CHANGE % ("north", "b" * 64), "change.yaml")
        document = self.run_json(file, "--in-force", old, code=0)
        self.assertEqual(document["findings"], [])
        self.assertEqual(
            [(x["kind"], x["path"]) for x in document["differences"]],
            [
                ("added", "workspaces[shop]"),
                ("changed", "models[small].layers"),
                ("changed", "drained_targets"),
            ],
        )

    def test_unused_entities(self) -> None:
        """Guards against models and neighbours that nobody uses."""
        text = (
            "- put_neighbour: {name: n, share: 0.7}\n"
            "- put_neighbour: {name: m, share: 0.7}\n"
            "- put_service: {name: s}\n"
            "- put_workspace: {name: w, neighbour: n}\n"
        )
        file = self.write(text, "change.yaml")
        document = self.run_json(file, code=1)
        self.assertEqual(
            [
                (x["severity"], x["line"], x["path"])
                for x in document["findings"]
            ],
            [
                ("error", 1, "[0].put_neighbour.share"),
                ("warning", 2, "[1].put_neighbour.name"),
                ("warning", 3, "[2].put_service.name"),
                ("warning", 4, "[3].put_workspace.key_hashes"),
                ("warning", 4, "[3].put_workspace.models"),
            ],
        )

    def test_operations_that_do_not_fit(self) -> None:
        """Guards against only the first misspelt operation."""
        text = (
            "- put_modle: {name: m}\n- put_model: {layers: x}\n"
            "- 3\n- drain_vm: v\n"
        )
        document = self.run_json(self.write(text, "a.yaml"), code=1)
        self.assertEqual(
            [(x["line"], x["path"]) for x in document["findings"]],
            [(1, "[0]"), (2, "[1]"), (3, "[2]")],
        )
        self.assertIn("put_modle", document["findings"][0]["message"])
        self.run_json(self.write("- {}\n", "a.yaml"), code=1)

    def test_other_documents(self) -> None:
        """Guards against files without a configuration that pass."""
        for text in ("", "3", "[]", "{}", "a: b", '"x"'):
            with self.subTest(text=text):
                document = self.run_json(self.write(text, "a.yaml"), code=1)
                self.assertGreater(document["errors"], 0)

    def test_versions_of_two_kinds(self) -> None:
        """Guards against a comparison of a change with a configuration."""
        manifest = self.write(json.dumps(build_document()), "a.json")
        change = self.write(IN_FORCE, "b.yaml")
        self.run_tool("check", manifest, "--in-force", change, code=2)
        self.run_tool("check", change, "--in-force", manifest, code=2)


class ListedVersionTest(CliTestCase):
    """Guards against a list that the check cannot read."""

    def test_list_as_the_version_in_force(self) -> None:
        self.run_tool("apply", self.write(APPLIED))
        lines = []
        for kind in ("neighbour", "model", "service", "workspace"):
            result = self.run_tool("--output", "json", "list", f"{kind}s")
            lines += [
                f"- put_{kind}: {line}" for line in result.stdout.splitlines()
            ]
        in_force = self.write("\n".join(lines), "in_force.yaml")
        change = self.write("- put_service: {name: s}\n")
        result = self.run_tool(
            "--output", "json", "check", change, "--in-force", in_force
        )
        document = json.loads(result.stdout)
        self.assertEqual(
            [(x["kind"], x["path"]) for x in document["differences"]],
            [("added", "services[s]")],
        )


class SeverityTest(unittest.TestCase):
    """Guards against other names in JSON."""

    def test_names(self) -> None:
        self.assertEqual([*map(str, Severity)], ["error", "warning"])
