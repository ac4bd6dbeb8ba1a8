"""Migration of an old start-up file to the new format."""

import asyncio
import json
import os
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from basalthook.program import commands, startup
from tests.fake import Caller, SocketDiscovery, SocketHost, start_up
from tests.test_program import start

EXAMPLE = os.path.join(os.path.dirname(__file__), "..", "deploy", "start-up.example.json")
MANUAL_OPTIONS = ("--listen", "127.0.0.1:0", "--balancers", "1", "--position", "0")


class Migrate(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.old, self.new = (os.path.join(folder.name, n) for n in ("", "old.json", "new.json"))
        self.example = json.loads(Path(EXAMPLE).read_text())
        self.put(self.example)

    def put(self, document):
        Path(self.old).write_text(document if isinstance(document, str) else json.dumps(document))

    def files(self):
        return {path.name: path.read_text() for path in Path(self.folder).iterdir()}

    def migrate(self, *args):
        result = CliRunner().invoke(commands.main, ["migrate", self.old, *args])
        return result.exit_code, result.stdout, result.stderr

    def change(self, **settings):
        return {**self.example, "settings": {**self.example["settings"], **settings}}

    def test_a_wrong_value_is_reported_with_its_path_and_new_fields_default_to_old_behaviour(self):
        settings = startup.decode(self.example, {}).agreed
        self.assertEqual(
            (settings.live_weights, settings.peer_reports, settings.list_on_request), (False, False, True)
        )
        allowed = self.example["settings"]["allowed"]
        wrong_peers = [{**allowed, "peers": peers} for peers in (1, "yes")]
        for name, wrongs in {
            "weights": ("lively", 1, ["live"]),
            "discovery": ("asked",),
            "balancers": (0, "3"),
            "position": (-1, True),
            "allowed": wrong_peers,
        }.items():
            for wrong in wrongs:
                path = "settings[.]" + name + ("[.]peers" if name == "allowed" else "")
                with self.assertRaisesRegex(startup.StartUpError, f"^here: {path}: "):
                    startup.decode(self.change(**{name: wrong}), {}, "here")

    def test_placement_and_binding_rules_are_read_and_a_wrong_placement_is_reported(self):
        first, *others = self.example["settings"]["profiles"]
        rules = {**self.example["settings"]["rules"], "only_draining_binds": True}

        def decode_with(**placement):
            both = [{**first, **placement}, *others]
            document = self.change(areas=["a", "b"], host_types=["m"], rules=rules, profiles=both)
            return startup.decode(document, {}, "here").agreed

        settings = decode_with(stays_in=["b"], host_types_open=["m"])
        self.assertEqual((*settings.profiles[0][-2:], settings.use_unlisted), ({"b"}, {"m"}, True))
        for name, wrong in (("stays_in", "b"), ("stays_in", []), ("stays_in", ["c"]), ("host_types_open", 1)):
            with self.assertRaisesRegex(startup.StartUpError, f"^here: settings[.]profiles.+[.]{name}: "):
                decode_with(**{name: wrong})

    def test_open_decisions_are_reported_and_a_dry_run_prints_the_same_and_writes_nothing(self):
        before = self.files()
        code, out, dry = self.migrate("--output", self.new, "--dry-run")
        self.assertEqual((code, out, self.files()), (1, "", before))
        self.assertEqual(self.migrate("--output", self.new), (1, "", dry))
        for path in ("listen", "settings.balancers", "settings.position"):
            self.assertIn(f"by hand  {path}: ", dry)
        settings = startup.read(self.new, {}).agreed
        self.assertEqual((settings.live_weights, settings.list_on_request), (True, False))
        self.assertEqual(self.files()["old.json"], before["old.json"])

    def test_an_unusable_file_leaves_all_files_unchanged(self):
        unknown = self.change(load_report={"how": "inline"})
        for document, args, code, expected in (
            ("{", (), 2, "no JSON"),
            ("[]", (), 2, "no start-up file"),
            ({"settings": 1}, (), 2, "settings"),
            (self.change(rules={}), (), 2, "ask_within_ns"),
            (unknown, (), 1, "unknown  settings.load_report"),
            (self.example, ("--output", self.old), 2, "--replace"),
            (self.change(weights="live", discovery="pushed"), (), 0, "new shape already"),
        ):
            self.put(document)
            before = self.files()
            exit_code, _, err = self.migrate(*(args or ("--output", self.new)))
            self.assertEqual((exit_code, self.files()), (code, before), err)
            self.assertIn(expected, err)
        self.put(unknown)
        self.assertEqual(
            self.migrate("--output", self.old, "--replace", "--drop-unknown", *MANUAL_OPTIONS)[0], 0
        )
        self.assertNotIn("load_report", self.files()["old.json"])

    async def test_a_proxy_starts_with_a_migrated_file_and_uses_a_host_with_a_low_live_weight(self):
        host, discovery = await SocketHost().start(), await SocketDiscovery().start()
        self.addAsyncCleanup(host.stop)
        self.addAsyncCleanup(discovery.stop)
        self.put(start_up([host], discovery))
        self.assertEqual(self.migrate("--output", self.new, *MANUAL_OPTIONS)[0], 0)
        process = await start("serve", RELAY_CONFIG=self.new)
        try:
            await discovery.received.get()  # the first call of the watch
            discovery.publish(2, host.line("s-0", weight=0.2))
            await discovery.received.get()
            lines = []
            while not lines or lines[-1]["event"] != "ready":
                lines.append(json.loads(await asyncio.wait_for(process.stdout.readline(), 30)))
            self.assertEqual(
                [line["event"] for line in lines if line["event"] != "list call"], ["list", "ready"]
            )
            caller = await Caller().connect(lines[-1]["listen"])
            self.assertEqual(await caller.status(profile="submit"), 200)
            await caller.stop()
        finally:
            process.kill()
            await process.wait()
