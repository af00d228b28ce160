"""Tests of the load generator and its reports."""

import asyncio
import random
import unittest

import aiohttp
from aiohttp import web

from rattanroute.tools.loads import build_prompt
from rattanroute.tools.loads import LoadGenerator
from rattanroute.tools.loads import LoadPlan
from rattanroute.tools.loads import LoadReport

TOKEN = b'data: {"choices":[{"delta":{"content":" a"}}]}\n\n'
DONE = b"data: [DONE]\n\n"
ERROR = b'data: {"error":{"type":"overloaded"}}\n\n'
REFUSAL = {"error": {"type": "overloaded", "execution": "not_run"}}


def build_plan(**changes: object) -> LoadPlan:
    """Builds a plan of ten requests."""
    values: dict[str, object] = {
        "urls": ("http://127.0.0.1:1",),
        "keys": ("key",),
        "model": "chat",
        "rate": 100.0,
        "seconds": 0.095,
        "steady": True,
    }
    values.update(changes)
    return LoadPlan(**values)


async def run_load(parts: list[bytes], status: int = 200) -> LoadReport:
    """Runs a plan against a server that gives each request one answer."""

    async def handle(request: web.Request) -> web.StreamResponse:
        await request.read()
        if status != 200:
            return web.json_response(REFUSAL, status=status)
        response = web.StreamResponse()
        await response.prepare(request)
        for part in parts:
            await response.write(part)
        await response.write_eof()
        return response

    application = web.Application()
    application.router.add_post("/v1/chat/completions", handle)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    try:
        async with aiohttp.ClientSession() as client:
            return await LoadGenerator(client=client).run(
                build_plan(urls=(url,))
            )
    finally:
        await runner.cleanup()


class LoadTest(unittest.TestCase):
    """Guards against counting failed requests as complete answers."""

    def test_complete_answers(self) -> None:
        report = asyncio.run(run_load([TOKEN, TOKEN, DONE]))
        self.assertEqual(report.sent, 10)
        self.assertEqual((report.done, report.on_time), (10, 10))
        self.assertEqual(report.tokens, 20)
        self.assertEqual(len(report.ended_at), 10)

    def test_end_without_done_is_lost(self) -> None:
        report = asyncio.run(run_load([TOKEN]))
        self.assertEqual((report.done, report.lost), (0, 10))

    def test_error_event_is_broken(self) -> None:
        report = asyncio.run(run_load([TOKEN, ERROR]))
        self.assertEqual((report.done, report.broken), (0, 10))

    def test_refusal_is_counted_by_type(self) -> None:
        report = asyncio.run(run_load([], status=503))
        self.assertEqual((report.done, report.lost), (0, 0))
        self.assertEqual(report.refusals, {"overloaded": 10})

    def test_reports_of_processes_merge(self) -> None:
        report = asyncio.run(run_load([TOKEN, TOKEN, DONE]))
        other = LoadReport.decode(report.encode())
        other.refusals = {"overloaded": 1}
        report.merge(other)
        self.assertEqual((report.sent, report.done), (20, 20))
        self.assertEqual(report.refusals, {"overloaded": 1})
        self.assertEqual(report.first_token.get_total_count(), 20)

    def test_processes_of_a_load_send_different_prompts(self) -> None:
        prompts = {
            build_prompt(build_plan(seed=seed), random.Random(1), 1)
            for seed in (1, 2)
        }
        self.assertEqual(len(prompts), 2)
