"""Kills a core machine right after it has acknowledged a leave notice."""

import os
import signal
import sys
import threading
import time

from support_2.deployments import BOUNDS
from support_2.deployments import CannotRunError
from support_2.deployments import Deployment
from support_2.plain_services import PlainService
from support_2.records import Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("a", "b", "c")
DRAIN_SECONDS = BOUNDS["drainMs"] / 1000
# From the kill until the requests are sent, longer than `contactMs`, so that
# the others are in touch. The killed machine stays down: the site kills one for
# 3.5 s. The replica still serves: it goes on for `drainMs` and "a little longer
# (at times many seconds)".
CALM_SECONDS = BOUNDS["contactMs"] / 1000 + 0.3
CALLS_PER_FRONT = 4


def send_calls(service: PlainService, record: Record) -> None:
    """Sends requests to all fronts at once and records the answers."""

    def send(address: tuple[str, int], name: str) -> None:
        sent_at = time.monotonic()
        request_id, answer = service.call_once(address)
        record.add(f"request {request_id} sent to {name}", sent_at)
        stamp = answer.headers.get("rattanroute-replica-stamp", "none")
        record.add(
            f"request {request_id} answered: {answer.status} {answer.problem}"
            f" stamp {stamp}",
            answer.at,
        )

    threads = [
        threading.Thread(target=send, args=(front.front, front.name))
        for front in service.deployment.fronts
        for _ in range(CALLS_PER_FRONT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def run(deployment: Deployment, service: PlainService, record: Record) -> int:
    """Plays the case and returns the exit code."""
    service.start()
    send_calls(service, record)
    leaver = service.replicas[0]
    leaver.stop_beating()
    place, answer = leaver.tell("DELETE")
    core = next(x for x in deployment.cores if x.control == leaver.asked[place])
    if TROUBLE:
        deployment.signal(core, signal.SIGKILL)
    left_at = answer.at
    leaver.leaving = True
    record.add(
        f"{core.name} acknowledged that {leaver.replica_id} leaves", left_at
    )
    if TROUBLE:
        deployment.processes[core.name].wait()
        record.add(f"{core.name} is killed")
    time.sleep(max(0.0, left_at + CALM_SECONDS - time.monotonic()))
    send_calls(service, record)
    late = [x for x in leaver.received if x.at - left_at > DRAIN_SECONDS]
    for request in late:
        record.add(
            f"request {request.request_id} reaches {leaver.replica_id},"
            f" {request.at - left_at:.1f} s after the ack",
            request.at,
        )
    record.add("the rule is broken" if late else "the rule holds")
    return int(bool(late))


def main() -> int:
    """Runs the case and returns the exit code."""
    record = Record()
    deployment = service = None
    try:
        deployment = Deployment(zones=ZONES)
        service = PlainService(deployment)
        return run(deployment, service, record)
    except (CannotRunError, OSError) as error:
        record.add(f"the case cannot run: {error}")
        return 2
    finally:
        if service is not None:
            service.close()
        if deployment is not None:
            deployment.close()


if __name__ == "__main__":
    sys.exit(main())
