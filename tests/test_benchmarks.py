"""Tests of the benchmarks: their start-up file is valid, and their figures are computed as documented."""

import asyncio
import unittest
from contextlib import suppress

from basalthook.policy import interface
from basalthook.program.startup import decode
from benchmarks import decisions, floor, load, path


class Measurements(unittest.TestCase):
    def test_the_start_up_file_is_accepted_by_serve(self):
        settings = decode(
            path.start_up_document(["127.0.0.1:9001", "127.0.0.1:9002"], "127.0.0.1:8500", 256, 64), {}
        )
        self.assertEqual(
            (len(settings.known_hosts.records), settings.profiles, settings.agreed.warm_keys),
            (2, {"read": 0, "write": 1}, True),
        )

    def test_every_kind_of_event_is_timed(self):
        for queued in (False, True):
            times = decisions.time_events(10, 1_000, queued)
            # without queued transactions no timer is due
            expected = decisions.EVENTS if queued else decisions.EVENTS[:2]
            self.assertTrue(all(times[name] > 0 for name in expected), times)

    def test_rates_are_medians_of_the_rounds_and_counts_are_sums(self):
        rounds = [
            {
                "rate": rate,
                "cpu_us": 5.0,
                "p50": 1.0,
                "p99": None,
                "p999": 2.0,
                "memory": 20.0,
                "statuses": {"200": 8, "503": 2},
                "turned_away_ms": rate,
                "broken": 1,
                "unstarted": 0,
            }
            for rate in (10.0, 30.0, 20.0)
        ]
        row = path.medians(rounds)
        self.assertEqual(
            (row["rate"], row["not_200"], row["turned_away_ms"], row["broken"]), (20.0, "20.0%", 30.0, 3)
        )
        self.assertNotIn("p99", row)

    def test_the_stand_in_for_the_policy_abandons_failed_transactions(self):
        stand_in = floor.NextHost()
        hosts = tuple(interface.HostEntry(n, n, "a", 0, True, 1.0, None) for n in range(2))
        stand_in.handle(0, interface.HostListReceived(hosts, True, True))
        sent = [stand_in.handle(0, interface.TxArrived(tx, 0, None, 100))[0].host for tx in range(3)]
        self.assertEqual(sent, [0, 1, 0])
        self.assertEqual(
            stand_in.handle(0, interface.AttemptEnded(1, 0, 0, interface.RESET, 5, False)),
            [interface.Abandon(1)],
        )


class Load(unittest.IsolatedAsyncioTestCase):
    async def test_an_open_loop_load_measures_latency_from_the_scheduled_start(self):
        """With 100 transactions due per second and 20 ms for each, the time they wait is included."""

        async def serve(reader, writer):
            with suppress(asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    await asyncio.sleep(0.02)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        settings = {
            "address": server.sockets[0].getsockname()[:2],
            "connections": 1,
            "idle": 0,
            "seconds": 1.0,
            "warm": 0.0,
            "rate": 100,
            "body": 0,
            "seed": 1,
        }
        generator = load.Load(settings)
        results = await generator.run()
        server.close()
        for connection in generator.connections:
            connection.transport.close()
        self.assertLess(results["asked"], 60)
        self.assertGreater(results["p99"], 200)  # a closed-loop load would report 20 ms
