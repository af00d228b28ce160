"""Caches the routing table that is decoded from the manifest in force."""

from collections.abc import Callable
import zlib

from rattanroute.errors import RouterError
from rattanroute.logs import get_logger
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import Manifest
from rattanroute.tables.routes import RoutingTable

MANIFEST = "gateway"

log = get_logger(__name__)


class RoutingTableCache:
    """Decodes the manifest of the configuration once for each change.

    Args:
        configuration: The replicated configuration, updated in place.
        decode: Decodes the content of a manifest.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        decode: Callable[[bytes], RoutingTable],
    ) -> None:
        self.configuration = configuration
        self.decode = decode
        self.manifest: Manifest | None = None
        self.table: RoutingTable | None = None

    def current(self) -> RoutingTable | None:
        """Returns the routing table in force; None before the first one.

        A manifest whose revision is not above that of the current one is
        ignored, so an old routing table never comes back into force.
        """
        manifest = self.configuration.manifests.get(MANIFEST)
        if manifest is None or manifest is self.manifest:
            return self.table
        previous = self.manifest
        self.manifest = manifest
        if previous is not None and manifest.revision <= previous.revision:
            return self.table
        try:
            self.table = self.decode(zlib.decompress(manifest.content))
        except (RouterError, zlib.error) as error:
            log.error(
                "manifest not decoded", revision=manifest.revision, error=error
            )
            return self.table
        log.info(
            "manifest in force",
            revision=manifest.revision,
            version=self.configuration.version,
            hosts=len(self.table.routes),
            services=len(self.table.services),
        )
        return self.table
