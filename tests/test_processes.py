"""Fleets of real proxy processes in the lab, with faults on the links between them; fleet files."""

import asyncio
import ipaddress
import json
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from importlib.resources import files
from pathlib import Path

from basalthook.config import fleet as fleet_file
from basalthook.fleet.facts import Fact
from basalthook.fleet.gossip import FACTS, FETCH
from basalthook.fleet.verdicts import OUT
from basalthook.lab import loopback, processes, scenario
from basalthook.lab.links import Links
from basalthook.lab.relays import Relays
from basalthook.lab.wire import HostStateSent
from basalthook.membership import wire

BASE_SCENARIO = files("basalthook.lab").joinpath("scenarios/three-silent.toml").read_text("utf-8")
SILENT_FAULT = "[[faults]]\nwhat = 'silent'\nat = 2\nlasts = 6\nhosts = [0, 1, 2]\n"
LOSSY_FAULT = """[[faults]]
what = "lossy"
at = 0
lasts = 12
between = [["p0-11"], ["p0-11"]]
loses = 0.2
doubles = 0.2
reorders = 0.2
delay = 0.01
spoils = 0.05
"""


class DrainingHosts(unittest.TestCase):
    def test_draining_hosts_get_nothing_while_watches_are_reset_or_silent_in_both_discovery_modes(self):
        # After a broken watch a proxy no longer followed a pushed list, or called again only after the change
        # already counted as known.
        scenario_text = files("basalthook.lab").joinpath("scenarios/leaving.toml").read_text("utf-8")
        for mode in ("pushed", "on_request"):
            rigs = []
            result = processes.run_scenario(
                scenario.parse(scenario_text.replace("pushed", mode), "leaving.toml"), rigs
            )
            self.assertEqual((result.faults, result.verdict.first_violation), ([], None))
            self.assertGreater(result.verdict.service, 0.95)
            drained = [
                entry
                for entry in rigs[0].wire
                if isinstance(entry, HostStateSent) and entry.state == "draining"
            ]
            self.assertEqual(len({(entry.host, entry.proxy) for entry in drained}), 3 * 6)


class LabProcesses(unittest.TestCase):
    def test_proxies_end_when_the_lab_is_killed(self):
        # Proxies that outlive the lab call ports that other runs have been given since.
        call = [sys.executable, "-m", "basalthook", "lab", "soak", "--first", "1", "--count", "1"]
        lab_process = subprocess.Popen(call, stdout=subprocess.DEVNULL)
        self.addCleanup(lab_process.kill)
        children = Path(f"/proc/{lab_process.pid}/task/{lab_process.pid}/children")
        deadline, proxies = time.monotonic() + 20, []
        while len(proxies) < 4 and time.monotonic() < deadline:
            time.sleep(0.05)
            proxies = children.read_text().split()
        self.assertEqual(len(proxies), 4)
        lab_process.kill()
        lab_process.wait()
        while any(Path("/proc", pid).exists() for pid in proxies) and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertFalse([pid for pid in proxies if Path("/proc", pid, "exe").exists()])

    def test_each_lab_process_listens_on_its_own_loopback_address(self):
        addresses = {loopback.address_for_process(process) for process in range(1, 2**22, 37)}
        self.assertEqual(len(addresses), len(range(1, 2**22, 37)))
        self.assertTrue(all(ipaddress.ip_address(address).is_loopback for address in list(addresses)[:999]))


class ProxyFleets(unittest.TestCase):
    def run_fleet(self, *faults, seconds=13):
        """Runs 12 proxies with three silent hosts and `faults`.

        Checks the rules and that no expired fact was used.
        """
        head, shares, rigs = (
            BASE_SCENARIO[: BASE_SCENARIO.index("[[faults]]")],
            BASE_SCENARIO[BASE_SCENARIO.index("[fleet]") :],
            [],
        )
        head = head.replace("proxies = 60", "proxies = 12").replace("seconds = 50", f"seconds = {seconds}")
        parsed_scenario = scenario.parse("\n".join((head, SILENT_FAULT, *faults, shares)), "day.toml")
        result = processes.run_scenario(parsed_scenario, rigs)
        self.assertEqual(result.faults, [])
        self.assertTrue(result.verdict.passed, result.verdict.first_violation)
        self.assertEqual((result.fleet_figures["over_age"], result.fleet_figures["younger"]), (0, 0))
        return rigs[0], result

    def test_no_host_exceeds_its_places_when_voters_are_killed_or_stopped(self):
        head = BASE_SCENARIO[: BASE_SCENARIO.index("[[faults]]")].replace("proxies = 60", "proxies = 12")
        faults = (
            "[[faults]]\nwhat = 'kill_proxy'\nat = 5\nlasts = 1\nproxies = [0]\n",
            "[[faults]]\nwhat = 'stop_proxy'\nat = 8\nlasts = 3\nproxies = [1, 5]\n",
            "[[faults]]\nwhat = 'cut'\nat = 3\nlasts = 7\nbetween = [['p6-8'], ['p0-5']]\n",
            LOSSY_FAULT,
            "[fleet]\nshares = ['limits', 'verdicts']\n[[fleet.limits]]\nname = 'places'\n"
            "kind = 'host'\namount = 3\nfloor = 0.34\n",
        )
        parsed_scenario = scenario.parse(
            "\n".join((head.replace("seconds = 50", "seconds = 13"), *faults)), "day.toml"
        )
        result = processes.run_scenario(parsed_scenario)
        self.assertEqual((result.faults, result.fleet_figures["limits"]["places"]["over_most"]), ([], 0.0))
        self.assertTrue(result.verdict.passed, result.verdict.first_violation)
        self.assertGreater(result.verdict.service, 0.5)

    def hosts_out(self, rig):
        return {
            (fields["id"], proxy)
            for _, proxy, event, fields in rig.log_events
            if event == "verdict" and fields["state"] == OUT
        }

    def test_silent_hosts_are_out_everywhere_with_lost_doubled_late_and_corrupted_datagrams(self):
        rig, result = self.run_fleet(LOSSY_FAULT)
        self.assertEqual({host for host, _ in self.hosts_out(rig)}, {"host-0", "host-1", "host-2"})
        self.assertGreater(len(self.hosts_out(rig)), 30)
        self.assertGreater(result.verdict.service, 0.95)
        self.assertIsNotNone(result.recovery[0])

    def test_members_agree_again_after_a_partition_with_clocks_an_hour_ahead(self):
        rig, result = self.run_fleet(
            "[[faults]]\nwhat = 'cut'\nat = 1\nlasts = 5\nbetween = [['p0-5'], ['p6-11']]\n",
            "[[faults]]\nwhat = 'clock'\nat = 0\nlasts = 6\nahead = 3600\nrate = 1.02\nproxies = [1, 2, 8]\n",
        )
        self.assertEqual({host for host, at in self.hosts_out(rig)}, {"host-0", "host-1", "host-2"})
        last_states = {}
        for at, proxy, event, fields in rig.log_events:
            if event == "member" and at < rig.begin_at + 13:
                last_states[proxy, fields["name"]] = fields["state"]
        self.assertEqual({state for state in last_states.values()}, {"alive"})
        self.assertGreater(result.verdict.service, 0.95)

    def test_other_proxies_serve_while_some_are_killed_or_stopped_for_longer_than_a_fact_lifetime(self):
        rig, result = self.run_fleet(
            "[[faults]]\nwhat = 'kill_proxy'\nat = 2.4\nlasts = 2\nproxies = [0, 1, 2]\n",
            "[[faults]]\nwhat = 'stop_proxy'\nat = 2.6\nlasts = 4\nproxies = [5, 6]\n",
        )
        self.assertEqual({host for host, _ in self.hosts_out(rig)}, {"host-0", "host-1", "host-2"})
        self.assertGreater(result.verdict.service, 0.95)
        ready = sum(event == "ready" for _, _, event, _ in rig.log_events)
        self.assertEqual(ready, 15)

    def test_relays_detect_a_fact_sent_with_too_low_an_age(self):
        now = 0.0
        relays = Relays(2, Links(1, 2, 0), lambda: now, 1)
        for now, age in ((0.0, 100), (1.0, 10_100), (2.0, 15_000)):
            fact = Fact("p0", 1, "host", "x", 1, (), age)
            relays.inspect(0, wire.encode(b"k" * 16, [FACTS, "p0", 7, [list(fact)]]), now)
            self.assertEqual(len(relays.too_young_facts), int(now == 2.0))

    def test_relays_detect_an_age_below_that_at_the_request_and_accept_a_slow_answer(self):
        relays = Relays(2, Links(1, 2, 0), float, 1)
        published_at = 0.0
        for nonce, asked_at, age, found in ((1, 0.5, 0.5, 0), (2, 1.0, 1.0, 0), (3, 1.5, 1.4, 1)):
            relays.inspect(1, wire.encode(b"k" * 16, [FETCH, "p1", nonce, []]), asked_at)
            fact = Fact("p0", 1, "host", "x", 1, (), int(age * 10_000))
            answered_at = asked_at if nonce == 1 else asked_at + 4.0
            relays.inspect(0, wire.encode(b"k" * 16, [FACTS, "p0", nonce, [list(fact)]]), answered_at)
            self.assertEqual(len(relays.too_young_facts), found)
        self.assertEqual(list(relays.first_published.values()), [published_at])


class RelaysReadLate(unittest.IsolatedAsyncioTestCase):
    async def test_a_lab_process_that_reads_late_judges_ages_correctly(self):
        relays = Relays(2, Links(1, 2, 0), asyncio.get_running_loop().time, 1)
        await relays.open()
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as member:
                member.bind(relays.member_addresses[0])
                await asyncio.sleep(0.1)  # until the kernel adds receive time stamps
                published_at = time.monotonic()
                for delay in (0.0, 0.15, 0.15):
                    age = int((time.monotonic() - published_at) * 10_000)
                    fact = Fact("p0", 1, "host", "x", 1, (), age)
                    member.sendto(
                        wire.encode(b"k" * 16, [FACTS, "p0", 7, [list(fact)]]), relays.public_addresses[1]
                    )
                    time.sleep(delay)  # blocks the event loop of the relays
                    await asyncio.sleep(0.02)
        finally:
            relays.close()
        self.assertEqual((relays.sent[0], relays.too_young_facts), (3, []))


class FleetFiles(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.write_key(b"0123456789abcdef")

    def write_key(self, key, mode=0o600):
        path = self.folder / "key"
        path.unlink(missing_ok=True)
        path.write_bytes(key)
        path.chmod(mode)

    def write_fleet_file(self, **changes):
        fields = {
            "listen": "127.0.0.1:7946",
            "seeds": ["127.0.0.1:7946"],
            "key_file": "key",
            "shares": ["verdicts"],
            **changes,
        }
        lives = fields.pop("lives", "")
        text = "".join(f"{name} = {json.dumps(value)}\n" for name, value in fields.items())
        (self.folder / "fleet.toml").write_text(text + lives)
        return str(self.folder / "fleet.toml")

    def test_a_valid_file_is_read_and_errors_name_the_invalid_field(self):
        fleet_config = fleet_file.read(self.write_fleet_file(lives="[lives]\nhost = 2.5\n"))
        self.assertEqual(
            (fleet_config.lives, fleet_config.seeds), ({"host": 2.5, "trial": 10.0}, (("127.0.0.1", 7946),))
        )
        for changes, place in (
            ({"listen": "nowhere"}, "$.listen"),
            ({"seeds": ["127.0.0.1:99999"]}, "$.seeds[0]"),
            ({"shares": ["secrets"]}, "$.shares[0]"),
            ({"colour": "red"}, "colour"),
            ({"listen": "0.0.0.0:7946"}, "$.address"),
            ({"key_file": "none"}, "$.key_file"),
            ({"lives": "[lives]\nhost = 20.0\n"}, "$.lives.trial"),
            ({"lives": "[lives]\nhost = 0\n"}, "$.lives.host"),
        ):
            with self.assertRaisesRegex(fleet_file.FleetFileError, "fleet.toml") as caught:
                fleet_file.read(self.write_fleet_file(**changes))
            self.assertIn(place, str(caught.exception))
        for key, mode in ((b"short", 0o600), (b"x" * 80, 0o600), (b"0123456789abcdef", 0o644)):
            self.write_key(key, mode)
            with self.assertRaisesRegex(fleet_file.FleetFileError, "key_file"):
                fleet_file.read(self.write_fleet_file())

    def test_fleet_modules_load_only_with_a_fleet_file_and_need_settings_that_allow_peers(self):
        code = (
            "import sys; from basalthook.program import commands, service; "
            "print([n for n in sys.modules if n.split('.')[-1] in ('gossip', 'member', 'msgspec', "
            "'msgpack', 'xxhash', 'fleet_member', 'driver')])"
        )
        self.assertEqual(subprocess.check_output([sys.executable, "-c", code], text=True).strip(), "[]")
        start = Path(__file__).parent.parent / "deploy/start-up.example.json"
        completed = self.run_program("check", "--file", str(start), "--fleet", self.write_fleet_file())
        self.assertEqual(completed.returncode, 2)
        self.assertIn("settings.allowed.peers", completed.stderr)
        start_up = json.loads(start.read_text())
        start_up["settings"]["allowed"]["peers"] = True
        for name, code in (("proxy-1", 0), ("no name", 2), ("x" * 65, 2)):
            (self.folder / "start.json").write_text(json.dumps({**start_up, "name": name}))
            completed = self.run_program(
                "check", "--file", str(self.folder / "start.json"), "--fleet", self.write_fleet_file()
            )
            self.assertEqual(completed.returncode, code, completed.stderr)

    def run_program(self, *arguments):
        return subprocess.run(
            [sys.executable, "-m", "basalthook", *arguments], capture_output=True, text=True
        )

    def test_operators_see_members_and_an_orderly_exit_is_known_at_once(self):
        start = json.loads((Path(__file__).parent.parent / "deploy/start-up.example.json").read_text())
        start["settings"]["allowed"]["peers"], start["listen"] = True, "127.0.0.1:0"
        start["console"], running, consoles, ports = "127.0.0.1:0", [], [], []
        for name in ("one", "two"):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free_socket:
                free_socket.bind(("127.0.0.1", 0))
                ports.append(f"127.0.0.1:{free_socket.getsockname()[1]}")
            (self.folder / "start.json").write_text(json.dumps({**start, "name": name}))
            fleet_path = self.write_fleet_file(listen=ports[-1], seeds=ports[:1])
            running.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "basalthook",
                        "serve",
                        "--file",
                        str(self.folder / "start.json"),
                        "--fleet",
                        fleet_path,
                    ],
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            self.addCleanup(running[-1].stdout.close)
            self.addCleanup(running[-1].wait)
            self.addCleanup(running[-1].kill)
            ready = next(line for line in running[-1].stdout if '"ready"' in line)
            consoles.append(":".join(map(str, json.loads(ready)["console"])))

        def states(expected):
            for _ in range(100):
                rows = self.run_program("members", consoles[0], "--json").stdout.splitlines()
                found = {row["name"]: row["state"] for row in map(json.loads, rows)}
                if found == expected:
                    break
            return found

        self.assertEqual(states({"one": "alive", "two": "alive"}), {"one": "alive", "two": "alive"})
        self.assertIn("two", self.run_program("members", consoles[0]).stdout)
        self.assertEqual(self.run_program("verdicts", consoles[0], "--json").stdout, "")
        self.assertEqual(self.run_program("limits", consoles[0], "--json").stdout, "")
        running[1].terminate()
        self.assertEqual(states({"one": "alive", "two": "dead"}), {"one": "alive", "two": "dead"})
        self.assertEqual(self.run_program("members", consoles[1]).returncode, 1)


if __name__ == "__main__":
    unittest.main()
