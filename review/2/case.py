"""A replica crashes in the middle of an event of a stream without a length."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))

from deployment import Answer
from deployment import build_configuration
from deployment import build_engine_service
from deployment import build_event
from deployment import build_plain_service
from deployment import build_route
from deployment import Deployment
from deployment import LAYERS
from deployment import NotRunError
from deployment import run_case
from deployment import ZONES

ENGINE = "redator"
PLAIN = "livro"
EVENTS = 10
LOAD_S = 14.0
TROUBLE_AFTER_S = 4.0
RESTART_AFTER_S = 4.5
REQUEST_PAUSE_S = 0.1
CLIENT_WAIT_S = 8.0
OK = 200


async def start_plain_replica(deployment: Deployment, zone: str) -> None:
    """Starts a replica of the plain service; one of them may crash."""
    await deployment.start_replica(
        f"i-{PLAIN}-{zone}-{time.monotonic_ns()}",
        service=PLAIN,
        zone=zone,
        streams=True,
        trouble="crash" if zone == ZONES[0] else "",
    )


async def start_system(deployment: Deployment) -> None:
    """Starts everything."""
    deployment.add_machines(fronts_per_zone=1)
    await deployment.start_machines()
    for zone in ZONES:
        await deployment.start_replica(
            f"i-{ENGINE}-{zone}",
            service=ENGINE,
            zone=zone,
            layers=LAYERS,
            kind="a100",
        )
        await start_plain_replica(deployment, zone)
    route = build_route(
        "nota",
        "",
        "streaming",
        20_000,
        resumable=True,
        sticky=True,
        gapTargetMs=200,
        backends=[
            {"service": ENGINE, "weight": 50},
            {"service": PLAIN, "weight": 50},
        ],
    )
    del route["service"]
    configuration = build_configuration(
        1, [route], [build_engine_service(ENGINE), build_plain_service(PLAIN)]
    )
    if await deployment.put_configuration(configuration, 30.0) is None:
        raise NotRunError("no configuration")
    fronts = [x.name for x in deployment.list_machines("front")]
    await deployment.wait_until_ready(fronts, 30.0)
    await asyncio.sleep(4.0)


async def send_repeatedly(deployment: Deployment) -> list[Answer]:
    """Sends streams to all fronts in turn; returns what the clients got."""
    fronts = deployment.list_machines("front")
    tasks = []
    end = time.monotonic() + LOAD_S
    while time.monotonic() < end:
        call = deployment.request(
            fronts[len(tasks) % len(fronts)],
            "POST",
            "/nota/x",
            wait_s=CLIENT_WAIT_S,
            tokens=EVENTS,
            body=b"{}",
        )
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(REQUEST_PAUSE_S)
    return list(await asyncio.gather(*tasks))


async def crash_replica(deployment: Deployment) -> None:
    """Lets one replica crash; it is back some seconds later."""
    await asyncio.sleep(TROUBLE_AFTER_S)
    if not deployment.trouble:
        return
    deployment.note(f"the replica of {PLAIN} in {ZONES[0]} crashes")
    deployment.set_trouble(True)
    await asyncio.sleep(RESTART_AFTER_S)
    deployment.set_trouble(False)
    await start_plain_replica(deployment, ZONES[0])
    deployment.note("the replica has started again")


async def play(deployment: Deployment) -> str:
    """Plays the case; returns why the rule was broken."""
    await start_system(deployment)
    answers, _ = await asyncio.gather(
        send_repeatedly(deployment), crash_replica(deployment)
    )
    whole = b"".join(build_event(x) for x in range(1, EVENTS + 1))
    complete = [x for x in answers if x.status == OK]
    short = [x for x in complete if x.body != whole]
    deployment.note(
        f"{len(answers)} streams, {len(complete)} complete for their clients, "
        f"{len(short)} of these without the last events"
    )
    for answer in short:
        deployment.note(
            f"{answer.request_id} ended as complete with {answer.body!r}"
        )
    if not complete:
        raise NotRunError("no stream was answered")
    if short:
        return f"{len(short)} streams ended as complete before the last event"
    return ""


if __name__ == "__main__":
    run_case(__file__, play)
