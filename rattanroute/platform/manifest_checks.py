"""Checks of a configuration before operators send it to the platform.

The errors are those for which it would be refused. The warnings are what is
accepted, but has no effect or contradicts itself.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import difflib
import json

import msgspec

from rattanroute.platform.manifests import build_route
from rattanroute.platform.manifests import decode_manifest
from rattanroute.platform.manifests import InvalidManifestError
from rattanroute.platform.manifests import LimitsDocument
from rattanroute.platform.manifests import RouteDocument
from rattanroute.platform.manifests import ServiceDocument
from rattanroute.platform.manifests import TenantDocument
from rattanroute.tables.findings import build_warning
from rattanroute.tables.findings import Finding
from rattanroute.tables.findings import Severity

# Ranks that the header of requests to engines can have.
MAX_RANK = 9
REPEATABLE_KIND = "safe"
AT_MOST_ONCE_KIND = "unsafe"
STREAM_KIND = "streaming"
# Part of a field's name that must agree to suggest another name.
SIMILARITY = 0.8
# Characters that end the path of a request, or never occur in one.
ABSENT_FROM_PATHS = frozenset('?# "<>\\^`{|}')

SECTION_MODELS = {
    "routes": RouteDocument,
    "services": ServiceDocument,
    "tenants": TenantDocument,
}
REQUIRED_SECTIONS = ("routes", "services")
TOP_FIELDS = ("version", *SECTION_MODELS, "limits")

Section = list[tuple[str, msgspec.Struct]]


@dataclasses.dataclass(kw_only=True, slots=True)
class ManifestChecker:
    """Checks one configuration.

    Attributes:
        data: The decoded JSON document.
        findings: What was found so far.
        routes: Valid routes with their paths.
        services: Valid services with their paths.
        tenants: Valid tenants with their paths.
    """

    data: dict[str, object]
    findings: list[Finding] = dataclasses.field(default_factory=list)
    routes: Section = dataclasses.field(default_factory=list)
    services: Section = dataclasses.field(default_factory=list)
    tenants: Section = dataclasses.field(default_factory=list)

    def check(self) -> list[Finding]:
        """Returns all errors and warnings."""
        self.check_field_names("", self.data, TOP_FIELDS)
        self.routes = self.read_section("routes")
        self.services = self.read_section("services")
        self.tenants = self.read_section("tenants")
        self.check_limits()
        self.check_routes()
        self.check_places()
        self.check_services()
        self.check_tenants()
        if not any(x.severity is Severity.ERROR for x in self.findings):
            self.check_whole()
        return self.findings

    def add(self, findings: Iterable[Finding]) -> None:
        """Adds findings."""
        self.findings.extend(findings)

    def check_whole(self) -> None:
        """Applies the check that a submitted configuration has to pass."""
        try:
            decode_manifest(json.dumps(self.data).encode(), submitted=True)
        except InvalidManifestError as error:
            path, message = split_message("", error.message)
            self.findings.append(Finding(path=path, message=message))

    def read_section(self, name: str) -> Section:
        """Decodes the items of a list; reports those that are invalid."""
        model = SECTION_MODELS[name]
        items = self.data.get(name)
        if items is None and name not in REQUIRED_SECTIONS:
            return []
        if not isinstance(items, list):
            path = name if name in self.data else ""
            message = f"{name!r} is not a list"
            self.findings.append(Finding(path=path, message=message))
            return []
        section: Section = []
        for index, item in enumerate(items):
            path = f"{name}[{index}]"
            if isinstance(item, dict):
                known = [x.encode_name for x in msgspec.structs.fields(model)]
                self.check_field_names(path, item, known)
            decoded = self.convert(path, item, model)
            if decoded is not None:
                section.append((path, decoded))
        return section

    def is_complete(self, name: str, section: Section) -> bool:
        """Returns whether all items of a section could be decoded.

        What is missing for another reason would be reported twice.
        """
        items = self.data.get(name)
        return isinstance(items, list) and len(items) == len(section)

    def convert(
        self, path: str, item: object, model: type[msgspec.Struct]
    ) -> msgspec.Struct | None:
        """Decodes an item; reports it and returns None if it is invalid."""
        try:
            return msgspec.convert(item, model)
        except msgspec.ValidationError as error:
            path, message = split_message(path, str(error))
            self.findings.append(Finding(path=path, message=message))
            return None

    def check_field_names(
        self, path: str, item: dict[str, object], known: Iterable[str]
    ) -> None:
        """Reports unknown fields that resemble a known one.

        Other unknown fields are ignored, as the platform has more of them.
        """
        names = list(known)
        for name in item:
            if name in names:
                continue
            similar = difflib.get_close_matches(name, names, 1, SIMILARITY)
            if similar:
                self.findings.append(
                    build_warning(
                        join_path(path, name),
                        f"unknown field, which is ignored; {similar[0]!r} is "
                        "meant perhaps",
                    )
                )

    def check_routes(self) -> None:
        """Checks each route by itself, and the services that it names."""
        services = {service.name for _, service in self.services}
        knows_services = self.is_complete("services", self.services)
        for path, route in self.routes:
            try:
                build_route(route)
            except InvalidManifestError as error:
                message = error.message.removeprefix(f"route {route.name}: ")
                self.findings.append(Finding(path=path, message=message))
            self.add(check_times(path, route))
            self.add(check_attempts(path, route))
            self.add(check_reach(path, route))
            self.add(check_rank(f"{path}.priority", route.priority))
            if knows_services:
                self.add(check_named_services(path, route, services))

    def check_places(self) -> None:
        """Checks that each route has a name and a place of its own."""
        places: dict[tuple[str, str], str] = {}
        names: dict[str, str] = {}
        for path, route in self.routes:
            place = (route.host.lower(), route.path_prefix)
            first = places.setdefault(place, path)
            if first != path:
                message = f"has the host and the prefix of {first}"
                self.findings.append(Finding(path=path, message=message))
            first = names.setdefault(route.name, path)
            if first != path:
                self.findings.append(
                    build_warning(f"{path}.name", f"is the name of {first} too")
                )

    def check_services(self) -> None:
        """Checks that each service has its own name and is used."""
        used = {x for _, route in self.routes for x in list_receivers(route)}
        knows_routes = self.is_complete("routes", self.routes)
        names: dict[str, str] = {}
        for path, service in self.services:
            first = names.setdefault(service.name, path)
            if first != path:
                message = f"replaces {first}, which has the same name"
                self.findings.append(build_warning(f"{path}.name", message))
            if knows_routes and service.name not in used:
                self.findings.append(
                    build_warning(f"{path}.name", "no route sends it requests")
                )

    def check_tenants(self) -> None:
        """Checks ranks and keys; keys are not printed."""
        owners: dict[str, tuple[str, str]] = {}
        for path, tenant in self.tenants:
            if tenant.priority is not None:
                self.add(check_rank(f"{path}.priority", tenant.priority))
            if not tenant.api_keys:
                self.findings.append(
                    build_warning(f"{path}.apiKeys", "no key opens the tenant")
                )
            for index, key in enumerate(tenant.api_keys):
                place = f"{path}.apiKeys[{index}]"
                name, first = owners.setdefault(key, (tenant.name, place))
                if name != tenant.name:
                    message = f"is a key of tenant {name!r} too ({first})"
                    self.findings.append(Finding(path=place, message=message))
                elif first != place:
                    self.findings.append(
                        build_warning(place, f"is the same key as {first}")
                    )
        self.check_access()

    def check_access(self) -> None:
        """Reports routes that no key opens."""
        if self.data.get("tenants") is None:
            return
        if has_keys(self.tenants):
            return
        for path, route in self.routes:
            if not route.public:
                self.findings.append(
                    build_warning(path, "needs a key, and no tenant has one")
                )

    def check_limits(self) -> None:
        """Checks the limits on the requests of clients."""
        data = self.data.get("limits", {})
        if isinstance(data, dict):
            known = [
                x.encode_name for x in msgspec.structs.fields(LimitsDocument)
            ]
            self.check_field_names("limits", data, known)
        limits = self.convert("limits", data, LimitsDocument)
        if limits is None:
            return
        for name, value in msgspec.to_builtins(limits).items():
            if value <= 0:
                message = "refuses every request, as it is not above 0"
                self.findings.append(build_warning(f"limits.{name}", message))


def check_times(path: str, route: RouteDocument) -> Iterator[Finding]:
    """Yields objectives that no answer can meet or miss."""
    for name, value in (
        ("goalMs", route.goal_ms),
        ("gapTargetMs", route.gap_target_ms),
    ):
        if value < 0:
            yield build_warning(f"{path}.{name}", "is negative")
        if value > route.timeout_ms:
            yield build_warning(
                f"{path}.{name}",
                f"is beyond the time limit of {route.timeout_ms:g} ms",
            )
    if route.gap_target_ms and route.kind != STREAM_KIND:
        yield build_warning(
            f"{path}.gapTargetMs", f"has no effect on kind {route.kind!r}"
        )


def check_attempts(path: str, route: RouteDocument) -> Iterator[Finding]:
    """Yields numbers of attempts that the kind of the route forbids."""
    attempts = f"{path}.maxAttempts"
    if route.max_attempts < 1:
        yield build_warning(attempts, "is below 1, and counts as 1")
    is_repeatable = route.kind == REPEATABLE_KIND or (
        route.kind == STREAM_KIND and route.resumable
    )
    if route.max_attempts > 1 and not is_repeatable:
        yield build_warning(
            attempts, "has no effect, as a request may run only once"
        )
    if route.resumable and route.kind != STREAM_KIND:
        yield build_warning(
            f"{path}.resumable", f"has no effect on kind {route.kind!r}"
        )
    elif route.resumable and route.max_attempts <= 1:
        yield build_warning(
            f"{path}.resumable",
            "a broken stream has no second target, as maxAttempts is 1",
        )


def check_reach(path: str, route: RouteDocument) -> Iterator[Finding]:
    """Yields hosts and prefixes that no request has."""
    host = route.host
    if ":" in host:
        yield build_warning(
            f"{path}.host", "never matches, as hosts are compared without ports"
        )
    elif host != host.strip() or not host.isprintable() or " " in host:
        yield build_warning(f"{path}.host", "never matches: white space")
    elif "*" in host:
        yield build_warning(
            f"{path}.host", "never matches, as there are no wildcards"
        )
    prefix = route.path_prefix
    if not prefix.isascii() or not ABSENT_FROM_PATHS.isdisjoint(prefix):
        yield build_warning(
            f"{path}.pathPrefix",
            "never matches: has characters that paths have only encoded",
        )
    elif "*" in prefix:
        yield build_warning(
            f"{path}.pathPrefix", "matches '*' itself: there are no wildcards"
        )


def check_rank(path: str, rank: int) -> Iterator[Finding]:
    """Yields a rank that engines do not know."""
    if not 0 <= rank <= MAX_RANK:
        yield build_warning(path, f"is not a rank from 0 to {MAX_RANK}")


def check_named_services(
    path: str, route: RouteDocument, services: set[str]
) -> Iterator[Finding]:
    """Yields services that a route names and that do not exist."""
    named = [] if route.service is None else [("service", route.service)]
    for index, part in enumerate(route.backends or ()):
        place = f"backends[{index}]"
        named.append((f"{place}.service", part.service))
        if part.weight == 0:
            yield build_warning(f"{path}.{place}.weight", "gets no requests")
    for place, name in named:
        if name and name not in services:
            message = f"service {name!r} does not exist"
            yield Finding(path=f"{path}.{place}", message=message)
    if route.backends is not None and route.service:
        yield build_warning(
            f"{path}.service", "has no effect beside the back ends"
        )


def list_receivers(route: RouteDocument) -> list[str]:
    """Returns the services that get requests of a route."""
    if route.backends is not None:
        return [part.service for part in route.backends if part.weight > 0]
    return [route.service] if route.service else []


def has_keys(tenants: Section) -> bool:
    """Returns whether any tenant has a key."""
    return any(tenant.api_keys for _, tenant in tenants)


def split_message(path: str, message: str) -> tuple[str, str]:
    """Returns the path and the text of a message of the decoder."""
    text, _, place = message.partition(" - at `$")
    place = place.rstrip("`").partition("[...]")[0]
    return join_path(path, place.removeprefix(".")), text


def join_path(path: str, name: str) -> str:
    """Returns the path of a part of an item."""
    return f"{path}.{name}" if path and name else path or name


def describe_manifest(data: dict[str, object]) -> dict[str, object]:
    """Returns a valid configuration with all defaults, to compare versions."""
    document: dict[str, object] = {
        name: [
            msgspec.to_builtins(msgspec.convert(item, model))
            for item in data.get(name) or []
        ]
        for name, model in SECTION_MODELS.items()
    }
    limits = msgspec.convert(data.get("limits", {}), LimitsDocument)
    document["limits"] = msgspec.to_builtins(limits)
    document["version"] = data["version"]
    document["keysRequired"] = data.get("tenants") is not None
    return document
