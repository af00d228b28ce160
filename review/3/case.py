"""A replica answers streams with bytes that are no answer, without end."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))

from deployment import Answer
from deployment import build_configuration
from deployment import build_engine_service
from deployment import build_plain_service
from deployment import build_route
from deployment import Deployment
from deployment import LAYERS
from deployment import Machine
from deployment import NotRunError
from deployment import READY_PORT
from deployment import run_case
from deployment import ZONES

ENGINE = "redator"
DESK = "livro"
TIMEOUT_MS = 1500
# Time after the timeout by which the rule wants a final answer.
SLACK_S = 0.5
# Broken: at least so many late requests, and this share of those that lasted
# longer than the timeout.
MIN_LATE = 8
LATE_SHARE = 0.25
# The clients wait longer than the route's timeout, so that it is the bound.
CLIENT_WAIT_S = 20.0
LOAD_S = 24.0
TROUBLE_AFTER_S = 4.0
TROUBLE_S = 12.0
REQUEST_PAUSE_S = 0.05
STREAM_PAUSE_S = 0.33


async def start_system(deployment: Deployment) -> Machine:
    """Starts everything; returns the front that the clients use."""
    deployment.add_machines(fronts_per_zone=1)
    await deployment.start_machines()
    for number, zone in enumerate(ZONES):
        for copy in (1, 2):
            faulty = number == 0 and copy == 1
            await deployment.start_replica(
                f"engine-{zone}-{copy}",
                service=ENGINE,
                zone=zone,
                layers=LAYERS,
                kind="a100",
                trouble="endless" if faulty else "",
            )
        await deployment.start_replica(f"desk-{zone}", service=DESK, zone=zone)
    configuration = build_configuration(
        1,
        [
            build_route(
                "nota",
                ENGINE,
                "streaming",
                20_000,
                resumable=True,
                sticky=True,
                gapTargetMs=200,
            ),
            build_route("caixa", DESK, "safe", TIMEOUT_MS),
        ],
        [build_engine_service(ENGINE), build_plain_service(DESK)],
    )
    if await deployment.put_configuration(configuration, 30.0) is None:
        raise NotRunError("no configuration")
    fronts = [x.name for x in deployment.list_machines("front")]
    await deployment.wait_until_ready(fronts, 30.0)
    front = deployment.machines[fronts[0]]
    await wait_for_streams(deployment, front)
    return front


async def wait_for_streams(deployment: Deployment, front: Machine) -> None:
    """Waits until the engines hold their layers."""
    end = time.monotonic() + 30.0
    while time.monotonic() < end:
        answer = await deployment.request(
            front, "POST", "/nota/x", wait_s=5.0, tokens=3, body=b"{}"
        )
        if answer.status == 200:
            await asyncio.sleep(2.0)
            return
        await asyncio.sleep(0.5)
    raise NotRunError("no stream is answered")


async def send_repeatedly(
    deployment: Deployment,
    front: Machine,
    *,
    pause_s: float,
    stream: bool,
) -> list[Answer]:
    """Sends requests at an interval during the load; returns the answers."""
    tasks = []
    end = time.monotonic() + LOAD_S
    while time.monotonic() < end:
        call = deployment.request(
            front,
            "POST" if stream else "GET",
            "/nota/x" if stream else "/caixa/x",
            wait_s=CLIENT_WAIT_S,
            tokens=20 if stream else 0,
            body=b"{}" if stream else b"",
        )
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(pause_s)
    return list(await asyncio.gather(*tasks))


async def make_trouble(deployment: Deployment, front: Machine) -> None:
    """Lets the faulty engine spoil one answer; asks for the readiness."""
    await asyncio.sleep(TROUBLE_AFTER_S)
    if deployment.trouble:
        deployment.note("one engine spoils one of its answers from now on")
        deployment.set_trouble(True)
    end = time.monotonic() + TROUBLE_S
    while time.monotonic() < end:
        asked_at = time.monotonic()
        status = await deployment.ask_ready(f"{front.ip}:{READY_PORT}")
        taken = time.monotonic() - asked_at
        deployment.note(f"ready question: status {status} after {taken:.3f} s")
        await asyncio.sleep(1.0)
    deployment.set_trouble(False)
    deployment.note("the engine spoils no answer any more")


async def play(deployment: Deployment) -> str:
    """Plays the case; returns why the rule was broken."""
    front = await start_system(deployment)
    answers, _, _ = await asyncio.gather(
        send_repeatedly(
            deployment, front, pause_s=REQUEST_PAUSE_S, stream=False
        ),
        send_repeatedly(deployment, front, pause_s=STREAM_PAUSE_S, stream=True),
        make_trouble(deployment, front),
    )
    if deployment.processes[front.name].returncode is not None:
        return "the front has ended by itself"
    timeout_s = TIMEOUT_MS / 1000
    lasting = [x for x in answers if x.seconds > timeout_s]
    late = [x for x in lasting if x.seconds > timeout_s + SLACK_S]
    longest = max(x.seconds for x in answers)
    deployment.note(
        f"{len(answers)} requests, {len(lasting)} lasted longer than the "
        f"timeout, {len(late)} of them had no final answer {SLACK_S} s after "
        f"it; the longest took {longest:.1f} s"
    )
    if len(late) >= MIN_LATE and len(late) > LATE_SHARE * len(lasting):
        return f"{len(late)} requests without a final answer in time"
    return ""


if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    run_case(__file__, play)
