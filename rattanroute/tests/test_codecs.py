"""Tests of the peer codec."""

import importlib
import pkgutil
import unittest

from rattanroute import codecs
from rattanroute.errors import CodecError
from rattanroute.messages.targets import TargetReports
from rattanroute.tests.support import build_report


class CodecTest(unittest.TestCase):
    """Guards against altered messages and accepted malformed ones."""

    def test_message_survives_a_round_trip(self) -> None:
        message = TargetReports(
            reports=(build_report(cached_prefixes=(1, 2)),), ages=(0.5,)
        )
        kind, body = codecs.encode(message)
        self.assertEqual(
            codecs.decode(kind=kind, body=body, peer="vm-2"), message
        )

    def test_wrong_field_type_names_the_peer(self) -> None:
        kind, body = codecs.encode(TargetReports(reports=(), ages=()))
        broken = body.replace(b"\x90", b"\xc0")
        with self.assertRaisesRegex(CodecError, "vm-2"):
            codecs.decode(kind=kind, body=broken, peer="vm-2")

    def test_unknown_kind_is_refused(self) -> None:
        with self.assertRaises(CodecError):
            codecs.decode(kind=99999, body=b"", peer="vm-2")

    def test_each_class_is_found_by_its_number_and_no_other(self) -> None:
        """Guards against decoding a message as another class."""
        found: set[int] = set()
        for name in codecs.MODULES.values():
            kinds = codecs.load_kinds(f"{codecs.MESSAGES_PACKAGE}.{name}")
            for number, kind in kinds.items():
                self.assertNotIn(number, found)
                found.add(number)
                self.assertEqual(codecs.find_number(kind), number)
                self.assertIs(codecs.find_decoder(number).type, kind)
        package = importlib.import_module(codecs.MESSAGES_PACKAGE)
        modules = {x.name for x in pkgutil.iter_modules(package.__path__)}
        self.assertEqual(modules, set(codecs.MODULES.values()))
