"""One answer without end takes the memory of a front, and all its work."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))

from deployment import Answer
from deployment import build_configuration
from deployment import build_plain_service
from deployment import build_route
from deployment import Channel
from deployment import Deployment
from deployment import Machine
from deployment import NotRunError
from deployment import run_case
from deployment import ZONES

DESK = "banco"
TIMEOUT_MS = 3000
CLIENT_WAIT_S = 6.0
CHANNELS = 24
REPLICAS_PER_ZONE = 2
WORK_S = 0.4
TROUBLE_AFTER_S = 3.0
LOAD_S = 10.0
# The rule allows so many requests without an answer.
MAX_LOST = 3


async def start_system(deployment: Deployment) -> Machine:
    """Starts everything; returns the front that the clients use."""
    deployment.add_machines(fronts_per_zone=1)
    await deployment.start_machines()
    for zone in ZONES:
        for copy in range(1, REPLICAS_PER_ZONE + 1):
            faulty = zone == ZONES[0] and copy == 1
            await deployment.start_replica(
                f"i-{zone}-{copy}",
                service=DESK,
                zone=zone,
                slots=6,
                work_s=WORK_S,
                trouble="endless" if faulty else "",
            )
    configuration = build_configuration(
        1,
        [build_route("pedido", DESK, "unsafe", TIMEOUT_MS)],
        [build_plain_service(DESK)],
    )
    if await deployment.put_configuration(configuration, 30.0) is None:
        raise NotRunError("no configuration")
    fronts = deployment.list_machines("front")
    await deployment.wait_until_ready([x.name for x in fronts], 30.0)
    return fronts[0]


async def use_channel(
    channel: Channel, end: float
) -> list[tuple[Answer, bool]]:
    """Sends one request after the other on a channel until it ends.

    Returns:
        Each answer, and whether the channel ended without it although an
        earlier request had been answered there.
    """
    loop = asyncio.get_running_loop()
    found = []
    try:
        await channel.open()
        while loop.time() < end and not channel.broken:
            answer = await channel.request("/pedido/x", CLIENT_WAIT_S)
            lost = channel.broken and channel.answered > 0
            found.append((answer, lost))
    except OSError:
        pass
    finally:
        channel.close()
    return found


async def make_trouble(deployment: Deployment) -> None:
    """Lets one replica of the first zone spoil one answer."""
    await asyncio.sleep(TROUBLE_AFTER_S)
    if deployment.trouble:
        deployment.note("one replica spoils one of its answers from now on")
        deployment.set_trouble(True)


async def play(deployment: Deployment) -> str:
    """Plays the case; returns why the rule was broken."""
    front = await start_system(deployment)
    watcher = asyncio.create_task(deployment.keep_memory_limit(front.name))
    end = asyncio.get_running_loop().time() + LOAD_S
    channels = [Channel(deployment, front) for _ in range(CHANNELS)]
    results, _ = await asyncio.gather(
        asyncio.gather(*(use_channel(x, end) for x in channels)),
        make_trouble(deployment),
    )
    watcher.cancel()
    answers = [x for found in results for x in found]
    lost_ids = {x.request_id for x, lost in answers if lost}
    records = deployment.read_replica_records()
    spoilt = {x["request"] for x in records if x["event"] == "endless"}
    run = {x["request"] for x in records if x["event"] == "run"}
    lost = sorted((lost_ids & run) - spoilt)
    deployment.note(
        f"{len(answers)} requests, {len(lost)} ran at sound replicas and got "
        f"no answer on their kept channels: {', '.join(lost)}"
    )
    if not run:
        raise NotRunError("nothing has run")
    if len(lost) > MAX_LOST:
        return f"{len(lost)} requests that ran were lost with the front"
    return ""


if __name__ == "__main__":
    run_case(__file__, play)
