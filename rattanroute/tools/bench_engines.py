"""A bench-only stand-in engine that reads acknowledgements as they are sent.

The VMs answer a heartbeat with pairs of request and attempt. The announcer of
the stand-ins reads objects, and its heartbeats end with the first pair.
"""

import msgspec

from rattanroute.standins import hosts
from rattanroute.standins.announcers import Announcer
from rattanroute.standins.configurations import EngineSettings
from rattanroute.standins.engine import EngineHost


class PairAnnouncer(Announcer):
    """An announcer that takes acknowledgements as pairs or as objects."""

    def acknowledge(self, data: bytes) -> None:
        """Drops the statements that a heartbeat's answer acknowledges."""
        try:
            answer = msgspec.json.decode(data) if data else {}
        except msgspec.DecodeError:
            return
        for item in answer.get("acknowledged", ()):
            pair = (
                (item["request_id"], item["attempt"])
                if isinstance(item, dict)
                else tuple(item)
            )
            self.usage.pop(pair, None)


def main() -> None:
    """Run the engine; see the stand-in engine for the arguments."""
    hosts.Announcer = PairAnnouncer
    hosts.main(EngineHost, EngineSettings)


if __name__ == "__main__":
    main()
