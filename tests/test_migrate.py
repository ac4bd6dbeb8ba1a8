"""An operator's old start-up file, and what becomes of it."""
import asyncio
import copy
import json
import os
import tempfile
import unittest

from basalthook.program import migrate, startup
from tests.fake import Caller, SocketDiscovery, SocketHost, start_up
from tests.test_program import start

EXAMPLE = os.path.join(os.path.dirname(__file__), "..", "deploy", "start-up.example.json")


class Settings(unittest.TestCase):
    def setUp(self):
        with open(EXAMPLE) as file:
            self.told = json.load(file)

    def decode(self, **settings):
        self.told["settings"].update(settings)
        return startup.decode(self.told, {}, "here.json").agreed

    def test_without_the_new_settings_all_is_as_it_was(self):
        agreed = self.decode()
        self.assertEqual((agreed.live_weights, agreed.peers, agreed.list_on_request), (False, False, True))

    def test_a_pushed_list_with_live_weights(self):
        agreed = self.decode(discovery="pushed", weights="live")
        self.assertEqual((agreed.live_weights, agreed.list_on_request), (True, False))

    def test_a_wrong_value_is_named_by_its_path(self):
        allowed = self.told["settings"]["allowed"]
        for path, wrong in (("settings.weights", {"weights": "lively"}), ("settings.weights", {"weights": 1}),
                            ("settings.weights", {"weights": ["live"]}),
                            ("settings.discovery", {"discovery": "asked"}),
                            ("settings.balancers", {"balancers": 0}),
                            ("settings.balancers", {"balancers": "3"}),
                            ("settings.position", {"position": -1}),
                            ("settings.position", {"position": True}),
                            ("settings.allowed.peers", {"allowed": {**allowed, "peers": 1}}),
                            ("settings.allowed.peers", {"allowed": {**allowed, "peers": True}})):
            self.setUp()
            with self.assertRaisesRegex(startup.BadStart, rf"^here\.json: {path.replace('.', '[.]')}: "):
                self.decode(**wrong)


class Migrate(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.old, self.new = os.path.join(self.folder, "old.json"), os.path.join(self.folder, "new.json")
        with open(EXAMPLE) as file:
            self.put(json.load(file))

    def put(self, told):
        with open(self.old, "w") as file:
            file.write(told if isinstance(told, str) else json.dumps(told))

    def files(self):
        found = {}
        for name in os.listdir(self.folder):
            with open(os.path.join(self.folder, name)) as file:
                found[name] = file.read()
        return found

    async def run_it(self, *words):
        process = await start("migrate", self.old, *words)
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()

    async def test_the_example_becomes_a_file_that_passes_check_and_what_is_left_to_decide_is_named(self):
        code, _, err = await self.run_it("--output", self.new)
        self.assertEqual(code, 1)
        for path in ("listen", "settings.balancers", "settings.position"):
            self.assertIn(f"by hand  {path}: ", err)
        out, _ = await (await start("check", "--file", self.new)).communicate()
        self.assertIn(b"2 hosts known", out)
        agreed = startup.read(self.new, {}).agreed
        self.assertEqual((agreed.live_weights, agreed.list_on_request), (True, False))

    async def test_with_all_decided_it_is_done(self):
        code, _, err = await self.run_it("--output", self.new, "--listen", "127.0.0.1:8444",
                                         "--balancers", "20", "--position", "3")
        self.assertEqual((code, "by hand" in err), (0, False))
        self.assertEqual(startup.read(self.new, {}).agreed.proxies, 20)

    async def test_a_dry_run_changes_nothing_and_says_the_same(self):
        before = self.files()
        code, out, dry = await self.run_it("--output", self.new, "--dry-run")
        self.assertEqual((code, out, self.files()), (1, "", before))
        self.assertEqual((await self.run_it("--output", self.new))[2], dry)

    async def test_what_can_not_be_used_leaves_all_files_as_they_were(self):
        with open(EXAMPLE) as file:
            whole = json.load(file)
        unknown = copy.deepcopy(whole)
        unknown["settings"]["load_report"] = {"how": "inline"}
        bad = copy.deepcopy(whole)
        bad["settings"]["rules"].pop("cold_ns")
        for told, code, says in (("{", 2, "no JSON"), ("[]", 2, "no start-up file"),
                                 ('{"settings": 1}', 2, "settings"), (bad, 2, "cold_ns"),
                                 (unknown, 1, "unknown  settings.load_report")):
            self.put(told)
            before = self.files()
            found, _, err = await self.run_it("--output", self.new)
            self.assertEqual((found, self.files()), (code, before), err)
            self.assertIn(says, err)
        code, _, err = await self.run_it("--output", self.new, "--drop-unknown")
        self.assertIn("left out", err)
        self.assertNotIn("load_report", json.loads(self.files()["new.json"])["settings"])

    async def test_nothing_is_written_over_unless_told(self):
        before = self.files()
        self.assertEqual((await self.run_it("--output", self.old))[0], 2)
        self.assertEqual(self.files(), before)
        self.assertEqual((await self.run_it("--output", self.old, "--replace"))[0], 1)
        self.assertEqual((await self.run_it("--output", self.new))[0], 0)       # of the new shape already
        self.assertNotIn("new.json", self.files())

    def test_what_was_read_is_not_touched(self):
        old = {"settings": {"discovery": "on_request", "profiles": [{"name": "a", "odd": 1}]}}
        before = copy.deepcopy(old)
        found = migrate.migrate(old)
        self.assertEqual(old, before)
        self.assertEqual(found.unknown, ["settings.profiles[0].odd"])
        self.assertEqual(migrate.migrate(found.new).new, found.new)

    async def test_a_proxy_starts_with_what_came_out_and_serves(self):
        host, discovery = await SocketHost().start(), await SocketDiscovery().start()
        self.addAsyncCleanup(host.stop)
        self.addAsyncCleanup(discovery.stop)
        self.put(start_up([host], discovery))
        code, _, err = await self.run_it("--output", self.new, "--drop-unknown", "--listen", "127.0.0.1:0",
                                         "--balancers", "1", "--position", "0")
        self.assertEqual(code, 0, err)
        process = await start("serve", RELAY_CONFIG=self.new)
        try:
            ready = json.loads(await asyncio.wait_for(process.stdout.readline(), 30))
            caller = await Caller().to(ready["listen"])
            # the first list is asked for at once, and a live weight that falls leaves the host in use
            await discovery.got.get()
            discovery.tell(2, host.line("s-0", weight=0.2))
            await discovery.got.get()
            self.assertEqual(await caller.outcome(profile="submit"), 200)
            await caller.stop()
        finally:
            process.kill()
            await process.wait()
