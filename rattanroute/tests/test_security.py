"""Tests of tokens and mutual TLS."""

import logging
import pathlib
import ssl
import tempfile
import unittest
from unittest import mock

from grpclib.client import Channel
import pydantic

from rattanroute import security
from rattanroute.errors import SettingsError
from rattanroute.proto import operators_pb2 as pb
from rattanroute.proto.operators_grpc import OperatorsStub
from rattanroute.security import build_client_context
from rattanroute.security import build_tls_files
from rattanroute.security import ReloadingContext
from rattanroute.security import ServerContextSelector
from rattanroute.security import TlsFiles
from rattanroute.security import TokenFile
from rattanroute.settings import SecuritySettings
from rattanroute.systems.configuration_state_machines import (
    ConfigurationStateMachine,
)
from rattanroute.tests.certificate_authorities import CertificateAuthority
from rattanroute.tests.operator_support import build_operators
from rattanroute.tests.operator_support import FakeLog
from rattanroute.tests.operator_support import run_server


class TokenFileTest(unittest.TestCase):
    """Guards against rejected valid tokens and leaked secrets."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder, "tokens")

    def load(self, text: str) -> TokenFile:
        """Loads tokens from a text."""
        self.path.write_text(text)
        return TokenFile(self.path)

    def test_names_comments_and_several_tokens(self) -> None:
        tokens = self.load("# operators\nalice one\n\ntwo\n")
        self.assertEqual(tokens.authenticate("Bearer one").name, "alice")
        self.assertEqual(tokens.authenticate("bearer two").name, "")
        self.assertIsNone(tokens.authenticate("Bearer alice"))
        self.assertIsNone(tokens.authenticate(None))
        self.assertIsNone(tokens.authenticate(b"Bearer one"))
        self.assertEqual(tokens.metadata(), {"authorization": "Bearer one"})

    def test_errors_and_repr_never_contain_a_token(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            self.load("alice hidden-1 hidden-2\n")
        self.assertIn("line 1", str(caught.exception))
        self.assertNotIn("hidden", str(caught.exception))
        self.assertNotIn("hidden", repr(self.load("hidden-3\n").tokens))

    def test_file_without_tokens_is_rejected_at_startup(self) -> None:
        with self.assertRaises(SettingsError):
            self.load("# nothing\n")
        with self.assertRaises(SettingsError):
            TokenFile(self.path.with_name("none"))

    def test_invalid_new_file_keeps_the_old_tokens(self) -> None:
        tokens = self.load("one\n")
        self.path.write_text("")
        self.assertIsNotNone(tokens.authenticate("Bearer one"))
        self.path.unlink()
        self.assertIsNotNone(tokens.authenticate("Bearer one"))
        self.path.write_text("two two-long\n")
        self.assertIsNone(tokens.authenticate("Bearer one"))
        self.assertIsNotNone(tokens.authenticate("Bearer two-long"))


class ReloadingContextTest(unittest.TestCase):
    """Guards against certificates that stay in use after their rotation."""

    def test_files_replaced_during_the_start(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        authority = CertificateAuthority(pathlib.Path(folder), "a")
        files = authority.write("vm")
        build = security.build_context

        def build_and_rotate(
            files: TlsFiles, purpose: ssl.Purpose
        ) -> ssl.SSLContext:
            context = build(files, purpose)
            authority.write("vm")
            return context

        with mock.patch.object(security, "build_context", build_and_rotate):
            context = ReloadingContext(files, ssl.Purpose.CLIENT_AUTH)
        first = context.latest
        self.assertIsNot(context.refresh(), first)


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against unauthenticated connections and stale certificates."""

    def setUp(self) -> None:
        # asyncio logs a stack trace for each rejected handshake.
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)

    async def call(self, port: int, context: object) -> pb.StatusResponse:
        """Requests the status over a new connection."""
        channel = Channel("127.0.0.1", port, ssl=context)
        try:
            stub = OperatorsStub(channel)
            return await stub.Status(pb.StatusRequest(), timeout=5)
        finally:
            channel.close()

    async def check_refused(self, port: int, context: object) -> None:
        """Checks that a connection is refused without a timeout."""
        with self.assertRaises(Exception) as caught:
            await self.call(port, context)
        self.assertNotIsInstance(caught.exception, TimeoutError)

    async def test_both_sides_need_a_certificate_of_the_authority(self) -> None:
        trusted = CertificateAuthority(self.folder, "ours")
        untrusted = CertificateAuthority(self.folder, "other").write("other")
        contexts = ServerContextSelector(trusted.write("server"))
        client = trusted.write("client")
        operators = build_operators(FakeLog(ConfigurationStateMachine()))
        async with run_server(operators, context=contexts.context) as port:
            status = await self.call(port, build_client_context(client))
            self.assertEqual(status.vm_id, "vm-1")
            mismatched = TlsFiles(
                certificate=untrusted.certificate,
                key=untrusted.key,
                authority=client.authority,
            )
            await self.check_refused(port, build_client_context(mismatched))
            await self.check_refused(port, build_client_context(untrusted))
            await self.check_refused(port, None)

    async def test_replaced_files_take_effect_without_a_restart(self) -> None:
        old = CertificateAuthority(self.folder, "old")
        old_client = old.write("old-client")
        contexts = ServerContextSelector(old.write("server"))
        operators = build_operators(FakeLog(ConfigurationStateMachine()))
        async with run_server(operators, context=contexts.context) as port:
            await self.call(port, build_client_context(old_client))
            new = CertificateAuthority(self.folder, "new")
            new.write("server")
            await self.call(port, build_client_context(new.write("client")))
            await self.check_refused(port, build_client_context(old_client))
            (self.folder / "server.key").write_text("broken")
            await self.call(port, build_client_context(new.write("client")))

    def test_settings_name_all_files_or_none(self) -> None:
        self.assertIsNone(build_tls_files(SecuritySettings()))
        with self.assertRaisesRegex(pydantic.ValidationError, "together"):
            SecuritySettings(certificate_file="x")

    def test_missing_file_is_a_settings_error(self) -> None:
        files = TlsFiles(
            certificate=self.folder / "no.crt",
            key=self.folder / "no.key",
            authority=self.folder / "no.ca",
        )
        with self.assertRaises(SettingsError):
            build_client_context(files)
