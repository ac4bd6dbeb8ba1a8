"""What a transaction costs on its way through the proxy: old and new states in turn, on one machine.

    python -m benchmarks.path --tree old=../old --tree new=. --connections 1,16,64,256 --rounds 5

Starts `serve` of each tree on a core of its own, with stand-in hosts and load on two others, measures after a
warm-up and prints a table of medians: transactions a second, CPU microseconds a transaction (the proxy's
process, user and system), latency in milliseconds at p50, p99 and p99.9, and resident memory in MB. Ratios of
one run count; absolute times drift with the machine.
"""

import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import click

TICK = os.sysconf("SC_CLK_TCK")
HERE = Path(__file__).resolve().parent.parent
LAYERS = ("streams", "connections", "messages", "program")
GOAL, LIMIT = 500_000_000, 2_000_000_000


def start_up(hosts: list[str], discovery: str, sockets: int, memory_mb: int) -> dict:
    """A start-up file as operators write it; nothing but the addresses differs between measurements."""
    lines = [
        {
            "id": f"host-{n}",
            "addr": address,
            "zone": "north",
            "cell": n,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n, address in enumerate(hosts)
    ]
    return {
        "name": "bench",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "5eed",
        "limits": {"sockets": sockets, "memory_mb": memory_mb},
        "known": {"version": 1, "full": True, "servers": lines},
        "settings": {
            "family_info": {"warm_keys": True},
            "position": 0,
            "balancers": 1,
            "zone": "north",
            "discovery": "on_request",
            "profiles": [
                {"name": n, "effect": e, "service_goal_ns": GOAL, "hard_limit_ns": LIMIT}
                for n, e in (("read", "repeatable"), ("write", "once"))
            ],
            "allowed": {
                "max_hops": 3,
                "cancelling": True,
                "retry_after": True,
                "max_retry_after_ns": LIMIT,
                "connect_timeout_ns": 250_000_000,
                "keepalive_ns": 30_000_000_000,
            },
            "rules": {
                "ask_within_ns": 10_000_000_000,
                "cold_from": 0.2,
                "cold_ns": 20_000_000_000,
                "fall_ns": 3_000_000_000,
                "overload_factor": 2.5,
            },
        },
    }


def on_core(core: int):
    """Pins a child to one core, where the machine lets us."""

    def pin() -> None:
        cores = sorted(os.sched_getaffinity(0))
        if len(cores) >= 3:
            os.sched_setaffinity(0, {cores[core % len(cores)]})

    return pin


def spent(pid: int) -> float:
    """CPU seconds of a process so far, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1]) / 1024


class Proxy:
    """One `serve` of a tree, and the stand-ins it needs."""

    def __init__(
        self,
        tree: Path,
        hosts: int,
        body: int,
        delay_ms: float,
        sockets: int,
        memory_mb: int,
        layer: str = "",
    ) -> None:
        self.stubs = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.stubs", str(hosts), str(body), str(delay_ms)],
            cwd=HERE,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=on_core(1),
        )
        told = json.loads(self.stubs.stdout.readline())
        self.folder = tempfile.TemporaryDirectory()
        file = Path(self.folder.name, "start-up.json")
        file.write_text(json.dumps(start_up(told["hosts"], told["discovery"], sockets, memory_mb)))
        words = ["benchmarks.floor", layer] if layer else ["basalthook", "serve", "--file"]
        self.process = subprocess.Popen(
            [sys.executable, "-m", *words, str(file)],
            cwd=tree,
            text=True,
            stdout=subprocess.PIPE,
            preexec_fn=on_core(0),
        )
        while (line := json.loads(self.process.stdout.readline()))["event"] != "ready":
            pass
        self.address = line["listen"]
        self.drain = subprocess.Popen(["cat"], stdin=self.process.stdout, stdout=subprocess.DEVNULL)

    def __enter__(self):
        return self

    def __exit__(self, *_) -> None:
        for process in (self.process, self.stubs, self.drain):
            process.kill()
            process.wait()
        self.folder.cleanup()

    def measure(self, connections: int, seconds: float, rate: float, idle: int, body: int, seed: int) -> dict:
        told = {
            "address": self.address,
            "connections": connections,
            "idle": idle,
            "seconds": seconds,
            "warm": 1.0,
            "rate": rate,
            "body": body,
            "seed": seed,
        }
        before = spent(self.process.pid)
        load = subprocess.run(
            [sys.executable, "-m", "benchmarks.load"],
            cwd=HERE,
            input=json.dumps(told) + "\n",
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=on_core(2),
            check=True,
        )
        found = json.loads(load.stdout)
        found["cpu_us"] = round((spent(self.process.pid) - before) / max(1, found["asked"]) * 1e6, 1)
        found["memory"] = round(memory(self.process.pid), 1)
        return found


def trees(words: tuple[str, ...], layers: bool) -> dict[str, tuple[Path, str]]:
    """Name -> folder, and the layer to start there instead of `serve`."""
    found = {layer: (HERE, layer) for layer in LAYERS} if layers else {}
    for name, _, path in (word.partition("=") for word in words):
        found[name] = Path(path).resolve(), ""
    return found


def table(rows: list[dict], columns: list[str]) -> str:
    lines = ["| " + " | ".join(columns) + " |", "| " + " | ".join("---" for _ in columns) + " |"]
    return "\n".join(lines + ["| " + " | ".join(str(row.get(c, "")) for c in columns) + " |" for row in rows])


def medians(found: list[dict]) -> dict:
    """Of each figure over the rounds; counts of statuses are added up."""
    row = {
        name: round(statistics.median(f[name] for f in found if f[name] is not None), 2)
        for name in ("rate", "cpu_us", "p50", "p99", "p999", "memory")
        if any(f[name] is not None for f in found)
    }
    total = sum(sum(f["statuses"].values()) for f in found) or 1
    others = sum(n for f in found for s, n in f["statuses"].items() if s != "200")
    row["not_200"] = f"{100 * others / total:.1f}%"
    row["turned_away_ms"] = max(f["turned_away_ms"] for f in found)
    row["broken"] = sum(f["broken"] + f["unstarted"] for f in found)
    return row


@click.command()
@click.option("--tree", "words", multiple=True, default=("new=.",), help="NAME=FOLDER of a state to measure.")
@click.option("--layers", is_flag=True, help="Also the layers of benchmarks/floor.py.")
@click.option("--connections", default="1,16,64,256", show_default=True)
@click.option("--hosts", default="8", show_default=True, help="How many stand-in hosts; several with commas.")
@click.option("--bodies", default="100", show_default=True, help="Bytes of an answer; several with commas.")
@click.option("--sent", default=0, show_default=True, help="Bytes of a request's body.")
@click.option("--idle", default="0", show_default=True, help="Idle client connections; several with commas.")
@click.option("--rate", default=0.0, help="Transactions a second by schedule; 0: closed loop.")
@click.option("--delay-ms", default=0.0, help="How long a stand-in host takes.")
@click.option("--rounds", default=5, show_default=True)
@click.option("--seconds", default=3.0, show_default=True)
@click.option("--sockets", default=4096, show_default=True)
@click.option("--memory-mb", default=256, show_default=True)
def main(
    words, layers, connections, hosts, bodies, sent, idle, rate, delay_ms, rounds, seconds, sockets, memory_mb
) -> None:
    """Measure trees in turn and print a table."""
    rows = []
    for host_count in map(int, hosts.split(",")):
        for body in map(int, bodies.split(",")):
            for idling in map(int, idle.split(",")):
                for count in map(int, connections.split(",")):
                    found = {name: [] for name in trees(words, layers)}
                    for turn in range(rounds):
                        for name, (tree, layer) in trees(words, layers).items():
                            with Proxy(tree, host_count, body, delay_ms, sockets, memory_mb, layer) as proxy:
                                found[name].append(proxy.measure(count, seconds, rate, idling, sent, turn))
                    for name, all_found in found.items():
                        rows.append(
                            {
                                "state": name,
                                "connections": count,
                                "hosts": host_count,
                                "body": body,
                                "idle": idling,
                                **medians(all_found),
                            }
                        )
    click.echo(table(rows, list(rows[0])))


if __name__ == "__main__":
    main()
