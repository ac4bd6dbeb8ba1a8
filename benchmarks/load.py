"""Load generator for one proxy.

In a closed loop each connection sends its next request as soon as it has the response. In an open loop
requests follow a random schedule.

Run as `python -m benchmarks.load`, with one JSON line on standard input: address, connections, idle
(additional connections without requests), seconds, warm (seconds before the measurement), rate (transactions
per second; 0: closed loop), body (bytes of a request's body), seed. Prints one JSON line: counts by status,
transactions per second, latencies in milliseconds.

In the open loop a latency counts from the scheduled start, also if no connection was free then, so that a
proxy that stalls can't improve its own figures by delaying requests.
"""

import asyncio
import gc
import json
import sys
from collections import Counter, deque
from random import Random
from time import perf_counter

PROFILES = ("read", "write")
REQUEST_TIMEOUT_S = 2.0  # the hard limit of the profiles in `path.start_up_document`


class ClientConnection(asyncio.Protocol):
    """One connection with at most one open request; `due_at` is its scheduled start, None if none is open."""

    def __init__(self, load):
        self.load, self.buffer, self.due_at = load, b"", None

    def connection_made(self, transport):
        self.transport = transport

    def send_request(self, due_at: float) -> None:
        self.due_at = due_at
        self.transport.write(self.load.next_request())

    def data_received(self, data):
        self.buffer = self.buffer + data if self.buffer else data
        head_end = self.buffer.find(b"\r\n\r\n")
        if head_end < 0:
            return
        field_start = self.buffer.lower().find(b"content-length:", 0, head_end)
        length = int(self.buffer[field_start + 15 : self.buffer.find(b"\r\n", field_start)])
        if len(self.buffer) < head_end + 4 + length:
            return
        status, self.buffer, due_at, self.due_at = int(self.buffer[9:12]), b"", self.due_at, None
        self.load.on_response(self, status, due_at)

    def connection_lost(self, _):
        self.load.on_connection_lost(self)


class Load:
    """One measurement with the settings of the input line; `run` returns the result line."""

    def __init__(self, settings: dict) -> None:
        self.settings, self.rng, self.request_count = settings, Random(settings["seed"]), 0
        # latencies in ms, those of responses other than 200 negated
        self.statuses, self.latencies, self.broken, self.unstarted = Counter(), [], 0, 0
        self.free: deque[ClientConnection] = deque()
        # scheduled starts for which no connection was free yet; dropped after REQUEST_TIMEOUT_S
        self.pending: deque[float] = deque()
        self.body = b"b" * settings["body"]

    def next_request(self) -> bytes:
        self.request_count += 1
        key, tx = self.rng.randrange(2000), f"{self.settings['seed']:x}-{self.request_count:x}"
        profile = PROFILES[key & 1] if not self.body else "write"
        method = b"POST" if profile == "write" else b"GET"
        length_field = b"Content-Length: %d\r\n" % len(self.body) if method == b"POST" else b""
        name = profile.encode()
        values = (method, name, tx.encode(), name, key, REQUEST_TIMEOUT_S, length_field, self.body)
        return (
            b"%b /%b/it HTTP/1.1\r\nHost: bench\r\nRequest-Id: %b\r\nRequest-Class: %b\r\n"
            b"Cookie: k=key-%d\r\nRequest-Timeout: %.3f\r\nUser-Agent: load/1\r\nAccept: */*\r\n"
            b"%b\r\n%b"
        ) % values

    def on_response(self, connection: ClientConnection, status: int, due_at: float) -> None:
        now = perf_counter()
        if due_at >= self.measure_from:
            self.statuses[status] += 1
            self.latencies.append((now - due_at) * 1000 if status == 200 else -(now - due_at) * 1000)
        if now >= self.measure_until:
            return
        if not self.settings["rate"]:
            connection.send_request(now)
        else:
            self.free.append(connection)
            self.send_pending()

    def send_pending(self) -> None:
        now = perf_counter()
        while self.pending and self.pending[0] < now - REQUEST_TIMEOUT_S:
            self.pending.popleft()
            self.unstarted += 1
        while self.pending and self.free:
            self.free.popleft().send_request(self.pending.popleft())

    def on_connection_lost(self, connection: ClientConnection) -> None:
        if connection.due_at is not None and perf_counter() < self.measure_until:
            self.broken += 1

    async def run(self) -> dict:
        settings, loop = self.settings, asyncio.get_running_loop()
        host, port = settings["address"]
        idle = [
            await loop.create_connection(lambda: ClientConnection(self), host, port)
            for _ in range(settings["idle"])
        ]
        self.measure_until, self.measure_from = float("inf"), 0.0
        self.connections = connections = [
            (await loop.create_connection(lambda: ClientConnection(self), host, port))[1]
            for _ in range(settings["connections"])
        ]
        started = perf_counter()
        self.measure_from, self.measure_until = (
            started + settings["warm"],
            started + settings["warm"] + settings["seconds"],
        )
        if settings["rate"]:
            self.free.extend(connections)
            due_at = started
            while due_at < self.measure_until:
                due_at += self.rng.expovariate(settings["rate"])
                if (wait := due_at - perf_counter()) > 0.0005:
                    await asyncio.sleep(wait)
                self.pending.append(due_at)
                self.send_pending()
                if not self.request_count % 64:
                    await asyncio.sleep(0)
        else:
            for connection in connections:
                connection.send_request(started)
            await asyncio.sleep(settings["warm"] + settings["seconds"])
        await asyncio.sleep(0.3)  # responses that arrive now still count
        for transport, _ in idle:
            transport.close()
        return self.result()

    def result(self) -> dict:
        ok_latencies = sorted(latency for latency in self.latencies if latency >= 0)

        def percentile(share: float) -> float | None:
            return (
                round(ok_latencies[min(len(ok_latencies) - 1, int(share * len(ok_latencies)))], 3)
                if ok_latencies
                else None
            )

        rate = round(len(ok_latencies) / self.settings["seconds"], 1)
        return {
            "statuses": dict(self.statuses),
            "broken": self.broken,
            "unstarted": self.unstarted + len(self.pending),
            "asked": self.request_count,
            "rate": rate,
            "p50": percentile(0.5),
            "p99": percentile(0.99),
            "p999": percentile(0.999),
            "turned_away_ms": round(-min(self.latencies, default=0), 1),
        }


async def main() -> None:
    """Run the measurement that standard input describes, and print its result."""
    gc.freeze()
    print(json.dumps(await Load(json.loads(sys.stdin.readline())).run()), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
