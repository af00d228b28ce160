"""Demo with daemons in three data centres and stand-in targets.

It sends chat and service requests, checks their answers and the accounts, and
prints what served them.
"""

import asyncio
import contextlib
import json
import signal
import sys
import time

import aiohttp
import click
import uvloop

from rattanroute.standins.reference_models import reference_tokens
from rattanroute.tools.clusters import LocalCluster
from rattanroute.tools.demo_configuration import ADVICE_KEY
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.demo_configuration import LAYERS
from rattanroute.tools.demo_configuration import NOTES_KEY
from rattanroute.tools.demo_configuration import SERVICE

DATA_CENTRES = {"dc-a": 3, "dc-b": 3, "dc-c": 3}
TOKENS_PER_ANSWER = 12
TARGETS_TIMEOUT_SECONDS = 15.0
ACCOUNTS_TIMEOUT_SECONDS = 15.0
POLL_SECONDS = 0.2
EXPECTED_TARGETS = 8
# (requests, output tokens): three chat requests and one service call; the
# replay of its answer for the same idempotency key is not counted.
EXPECTED_ACCOUNTS = (4, 3 * TOKENS_PER_ANSWER)


class DemoError(Exception):
    """A check of the demo failed."""


def check(condition: bool, message: str) -> None:
    """Raises `DemoError` unless a condition holds."""
    if not condition:
        raise DemoError(message)


async def start_targets(cluster: LocalCluster) -> None:
    """Starts engines with all layers, engines with a range, and services."""
    await cluster.add_engine("engine-a", "dc-a", model="chat")
    await cluster.add_engine("engine-b", "dc-b", model="chat")
    for name, data_centre, first, last in (
        ("stage-a-0", "dc-a", 0, 3),
        ("stage-a-4", "dc-a", 4, 7),
        ("stage-b-0", "dc-b", 0, 4),
        ("stage-b-3", "dc-b", 3, 7),
    ):
        await cluster.add_engine(
            name,
            data_centre,
            model="split",
            first_layer=first,
            last_layer=last,
            total_layers=LAYERS,
        )
    await cluster.add_service("records-a", "dc-a", service=SERVICE)
    await cluster.add_service("records-c", "dc-c", service=SERVICE)


async def wait_targets(cluster: LocalCluster) -> None:
    """Waits until every VM knows all targets."""
    ends_at = time.monotonic() + TARGETS_TIMEOUT_SECONDS
    for vm in cluster.vms.values():
        expected_metric = f"rattanroute_known_targets {EXPECTED_TARGETS}"
        while True:
            async with cluster.client.get(
                f"{vm.callers_url}/metrics"
            ) as response:
                if expected_metric in await response.text():
                    break
            check(time.monotonic() < ends_at, f"{vm.name} lacks targets")
            await asyncio.sleep(POLL_SECONDS)


def describe_route(response: aiohttp.ClientResponse) -> str:
    """Returns the VM and the targets that served a request."""
    vm = response.headers.get("X-Rattanroute-Vm", "?")
    route = response.headers.get("X-Rattanroute-Route", "-")
    return f"{vm} -> {route}"


async def run_chat_step(cluster: LocalCluster, vm: str, model: str) -> str:
    """Sends a chat request, checks the answer and returns the request ID."""
    prompt = f"what is the state of box seven, asked of {model}"
    body = {
        "model": model,
        "max_tokens": TOKENS_PER_ANSWER,
        "messages": [{"role": "user", "content": prompt}],
    }
    async with cluster.client.post(
        f"{cluster.vms[vm].callers_url}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {NOTES_KEY}"},
    ) as response:
        answer = await response.json()
        check(response.status == 200, f"{model}: {answer}")
        text = answer["choices"][0]["message"]["content"]
        expected = "".join(reference_tokens(prompt, LAYERS, TOKENS_PER_ANSWER))
        check(text == expected, f"{model}: wrong tokens {text!r}")
        click.echo(f"{model}: {describe_route(response)}")
        click.echo(f"  answer:{text}")
        return response.headers["X-Request-Id"]


async def run_stream_step(cluster: LocalCluster, vm: str) -> None:
    """Sends a streamed request that a chain of layer ranges serves."""
    prompt = "which lubricant fits the middle gate"
    body = {
        "model": "split",
        "stream": True,
        "max_tokens": TOKENS_PER_ANSWER,
        "messages": [{"role": "user", "content": prompt}],
    }
    async with cluster.client.post(
        f"{cluster.vms[vm].callers_url}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {ADVICE_KEY}"},
    ) as response:
        text = await response.text()
        check(response.status == 200, text)
        check(text.rstrip().endswith("data: [DONE]"), "no [DONE]")
        events = text.count('"content"')
        check(
            events == TOKENS_PER_ANSWER,
            f"{events} tokens in place of {TOKENS_PER_ANSWER}",
        )
        click.echo(f"split, streamed: {describe_route(response)}")
        click.echo(f"  {events} tokens, then [DONE]")


async def run_record_step(cluster: LocalCluster) -> None:
    """Sends one idempotency key to two VMs; the operation runs once."""
    key = "dc-a/record-1"
    answers = []
    for vm in ("dc-a-1", "dc-b-2"):
        async with cluster.client.post(
            f"{cluster.vms[vm].callers_url}/v1/services/{SERVICE}/record",
            json={"animal": 7, "weight_g": 1840},
            headers={
                "Authorization": f"Bearer {NOTES_KEY}",
                "Idempotency-Key": key,
            },
        ) as response:
            answers.append(await response.text())
            check(response.status == 200, answers[-1])
            repeated = response.headers.get("Idempotent-Replayed", "false")
            click.echo(
                f"record: {describe_route(response)}, repeated: {repeated}"
            )
            click.echo(f"  answer: {answers[-1]}")
    check(answers[0] == answers[1], "the repeat got another answer")
    runs = 0
    for name in ("records-a", "records-c"):
        url = f"{cluster.targets[name].url}/v1/executions"
        async with cluster.client.get(url) as response:
            runs += str(await response.json()).count("'record'")
    check(runs == 1, f"the record ran {runs} times")


async def run_accounts_step(cluster: LocalCluster) -> None:
    """Waits until the accounts match the requests and prints them.

    Targets report their work in heartbeats. An attempt is confirmed once the
    reports of all its targets agree with that of the VM that received the
    request.
    """
    ends_at = time.monotonic() + ACCOUNTS_TIMEOUT_SECONDS
    while True:
        result = await cluster.run_tool("--output=json", "accounts")
        check(result.code == 0, result.errors)
        accounts = json.loads(result.output)
        totals = accounts["totals"]
        requests = sum(int(row["requests"]) for row in totals)
        tokens = sum(int(row["tokens_out"]) for row in totals)
        open_states = [
            row["state"]
            for row in accounts["unsettled"]
            if row["state"] != "confirmed" and int(row["attempts"])
        ]
        if (requests, tokens) == EXPECTED_ACCOUNTS and not open_states:
            break
        check(
            time.monotonic() < ends_at,
            f"accounts: {requests} requests, {tokens} tokens, {open_states}",
        )
        await asyncio.sleep(POLL_SECONDS)
    result = await cluster.run_tool("accounts")
    click.echo("accounts:")
    click.echo(result.output.rstrip())


async def run_demo() -> None:
    """Starts the cluster and runs all steps of the demo."""
    async with LocalCluster(data_centres=DATA_CENTRES) as cluster:
        click.echo(f"{len(cluster.vms)} daemons in {len(DATA_CENTRES)} places")
        await start_targets(cluster)
        await apply_configuration(cluster)
        await wait_targets(cluster)
        await cluster.wait_claims()
        request_id = await run_chat_step(cluster, "dc-a-1", "chat")
        await run_chat_step(cluster, "dc-c-2", "split")
        await run_stream_step(cluster, "dc-b-3")
        await run_record_step(cluster)
        await run_accounts_step(cluster)
        result = await cluster.run_tool(
            "trace",
            request_id,
            addresses=(cluster.vms["dc-a-1"].operators_address,),
        )
        click.echo("trace of the first request:")
        click.echo(result.output.rstrip())
        codes = await asyncio.gather(*map(cluster.stop, cluster.vms))
        check(not any(codes), f"exit codes of the daemons: {codes}")


def main() -> None:
    """Run the demo."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with contextlib.suppress(KeyboardInterrupt):
        try:
            uvloop.run(run_demo())
        except (DemoError, TimeoutError, RuntimeError) as error:
            click.echo(f"demo: failed: {error}")
            sys.exit(1)
        click.echo("demo: ok")
        return
    sys.exit(1)


if __name__ == "__main__":
    main()
