"""Load on one proxy: closed loop (each connection asks again at once) or open loop (by a schedule).

Run as `python -m benchmarks.load`, with one JSON line on standard input: address, connections, idle, seconds,
warm, rate (transactions a second; 0: closed loop), body (bytes of a request), seed. Prints one JSON line:
counts by status, transactions a second, latencies in milliseconds. In the open loop a latency counts from
when its transaction was due, also where no connection was free then, so that a proxy that stalls can't slow
its own measurement down.
"""

import asyncio
import gc
import json
import sys
from collections import Counter, deque
from random import Random
from time import perf_counter

PROFILES = ("read", "write")
PATIENCE = 2.0  # seconds, as the profiles of `start_up` have it


class Caller(asyncio.Protocol):
    def __init__(self, load):
        self.load, self.rest, self.due = load, b"", None

    def connection_made(self, transport):
        self.transport = transport

    def ask(self, due: float) -> None:
        self.due = due
        self.transport.write(self.load.request())

    def data_received(self, data):
        self.rest = self.rest + data if self.rest else data
        end = self.rest.find(b"\r\n\r\n")
        if end < 0:
            return
        at = self.rest.lower().find(b"content-length:", 0, end)
        length = int(self.rest[at + 15 : self.rest.find(b"\r\n", at)])
        if len(self.rest) < end + 4 + length:
            return
        status, self.rest, due, self.due = int(self.rest[9:12]), b"", self.due, None
        self.load.answered(self, status, due)

    def connection_lost(self, _):
        self.load.ended(self)


class Load:
    def __init__(self, told: dict) -> None:
        self.told, self.chance, self.count = told, Random(told["seed"]), 0
        self.statuses, self.latencies, self.broken, self.unstarted = Counter(), [], 0, 0
        self.free: deque[Caller] = deque()
        self.waiting: deque[float] = deque()  # due, with no connection free; dropped after PATIENCE
        self.body = b"b" * told["body"]

    def request(self) -> bytes:
        self.count += 1
        key, tx = self.chance.randrange(2000), f"{self.told['seed']:x}-{self.count:x}"
        profile = PROFILES[key & 1] if not self.body else "write"
        method = b"POST" if profile == "write" else b"GET"
        size = b"Content-Length: %d\r\n" % len(self.body) if method == b"POST" else b""
        name = profile.encode()
        words = (method, name, tx.encode(), name, key, PATIENCE, size, self.body)
        return (
            b"%b /%b/it HTTP/1.1\r\nHost: bench\r\nRequest-Id: %b\r\nRequest-Class: %b\r\n"
            b"Cookie: k=key-%d\r\nRequest-Timeout: %.3f\r\nUser-Agent: load/1\r\nAccept: */*\r\n"
            b"%b\r\n%b"
        ) % words

    def answered(self, caller: Caller, status: int, due: float) -> None:
        now = perf_counter()
        if due >= self.begin:
            self.statuses[status] += 1
            self.latencies.append((now - due) * 1000 if status == 200 else -(now - due) * 1000)
        if now >= self.until:
            return
        if not self.told["rate"]:
            caller.ask(now)
        else:
            self.free.append(caller)
            self.go()

    def go(self) -> None:
        now = perf_counter()
        while self.waiting and self.waiting[0] < now - PATIENCE:
            self.waiting.popleft()
            self.unstarted += 1
        while self.waiting and self.free:
            self.free.popleft().ask(self.waiting.popleft())

    def ended(self, caller: Caller) -> None:
        if caller.due is not None and perf_counter() < self.until:
            self.broken += 1

    async def run(self) -> dict:
        told, loop = self.told, asyncio.get_running_loop()
        host, port = told["address"]
        idle = [await loop.create_connection(lambda: Caller(self), host, port) for _ in range(told["idle"])]
        self.until, self.begin = float("inf"), 0.0
        self.callers = callers = [
            (await loop.create_connection(lambda: Caller(self), host, port))[1]
            for _ in range(told["connections"])
        ]
        start = perf_counter()
        self.begin, self.until = start + told["warm"], start + told["warm"] + told["seconds"]
        if told["rate"]:
            self.free.extend(callers)
            due = start
            while due < self.until:
                due += self.chance.expovariate(told["rate"])
                if (wait := due - perf_counter()) > 0.0005:
                    await asyncio.sleep(wait)
                self.waiting.append(due)
                self.go()
                if not self.count % 64:
                    await asyncio.sleep(0)
        else:
            for caller in callers:
                caller.ask(start)
            await asyncio.sleep(told["warm"] + told["seconds"])
        await asyncio.sleep(0.3)
        for transport, _ in idle:
            transport.close()
        return self.result()

    def result(self) -> dict:
        good = sorted(latency for latency in self.latencies if latency >= 0)

        def at(share: float) -> float | None:
            return round(good[min(len(good) - 1, int(share * len(good)))], 3) if good else None

        rate = round(len(good) / self.told["seconds"], 1)
        return {
            "statuses": dict(self.statuses),
            "broken": self.broken,
            "unstarted": self.unstarted + len(self.waiting),
            "asked": self.count,
            "rate": rate,
            "p50": at(0.5),
            "p99": at(0.99),
            "p999": at(0.999),
            "turned_away_ms": round(-min(self.latencies, default=0), 1),
        }


async def main() -> None:
    gc.freeze()
    print(json.dumps(await Load(json.loads(sys.stdin.readline())).run()), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
