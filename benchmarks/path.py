"""Cost of a transaction through the proxy, for several versions of the project in turn on one machine.

    python -m benchmarks.path --tree old=../old --tree new=. --connections 1,16,64,256 --rounds 5

Starts `serve` of each source tree on one core, with the stub hosts and the load generator on two others,
measures after a warm-up and prints a table of medians: transactions per second, CPU microseconds per
transaction (the proxy's process, user and system), latency in milliseconds at p50, p99 and p99.9, and
resident memory in MiB. Compare the ratios within one run; absolute times vary with the load of the machine.
"""

import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import click

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ROOT = Path(__file__).resolve().parent.parent
LAYERS = ("streams", "connections", "messages", "program")
SERVICE_GOAL_NS, HARD_LIMIT_NS = 500_000_000, 2_000_000_000


def start_up_document(hosts: list[str], discovery: str, sockets: int, memory_mb: int) -> dict:
    """Return the content of a start-up file; `hosts` and `discovery` are addresses, written HOST:PORT.

    All other settings are fixed, so that measurements are comparable.
    """
    servers = [
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
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": {
            "family_info": {"warm_keys": True},
            "position": 0,
            "balancers": 1,
            "zone": "north",
            "discovery": "on_request",
            "profiles": [
                {
                    "name": name,
                    "effect": effect,
                    "service_goal_ns": SERVICE_GOAL_NS,
                    "hard_limit_ns": HARD_LIMIT_NS,
                }
                for name, effect in (("read", "repeatable"), ("write", "once"))
            ],
            "allowed": {
                "max_hops": 3,
                "cancelling": True,
                "retry_after": True,
                "max_retry_after_ns": HARD_LIMIT_NS,
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


def pin_to_core(core: int):
    """Return a function for `preexec_fn` that pins the child to a core, if at least three may be used."""

    def pin() -> None:
        cores = sorted(os.sched_getaffinity(0))
        if len(cores) >= 3:
            os.sched_setaffinity(0, {cores[core % len(cores)]})

    return pin


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mib(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1]) / 1024


class ProxyProcess:
    """A running `serve` of a source tree, or a layer of `benchmarks.floor`, and the stubs that it needs."""

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
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=pin_to_core(1),
        )
        addresses = json.loads(self.stubs.stdout.readline())
        self.folder = tempfile.TemporaryDirectory()
        file = Path(self.folder.name, "start-up.json")
        file.write_text(
            json.dumps(start_up_document(addresses["hosts"], addresses["discovery"], sockets, memory_mb))
        )
        command = ["benchmarks.floor", layer] if layer else ["basalthook", "serve", "--file"]
        self.process = subprocess.Popen(
            [sys.executable, "-m", *command, str(file)],
            cwd=tree,
            text=True,
            stdout=subprocess.PIPE,
            preexec_fn=pin_to_core(0),
        )
        while (line := json.loads(self.process.stdout.readline()))["event"] != "ready":
            pass
        self.address = line["listen"]
        # reads the rest of the log, so that the proxy never blocks on a full pipe
        self.log_reader = subprocess.Popen(["cat"], stdin=self.process.stdout, stdout=subprocess.DEVNULL)

    def __enter__(self):
        return self

    def __exit__(self, *_) -> None:
        for process in (self.process, self.stubs, self.log_reader):
            process.kill()
            process.wait()
        self.folder.cleanup()

    def measure(self, connections: int, seconds: float, rate: float, idle: int, body: int, seed: int) -> dict:
        """Run the load generator once, and return its result with the proxy's CPU time and memory."""
        settings = {
            "address": self.address,
            "connections": connections,
            "idle": idle,
            "seconds": seconds,
            "warm": 1.0,
            "rate": rate,
            "body": body,
            "seed": seed,
        }
        cpu_before = cpu_seconds(self.process.pid)
        load = subprocess.run(
            [sys.executable, "-m", "benchmarks.load"],
            cwd=ROOT,
            input=json.dumps(settings) + "\n",
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=pin_to_core(2),
            check=True,
        )
        result = json.loads(load.stdout)
        result["cpu_us"] = round(
            (cpu_seconds(self.process.pid) - cpu_before) / max(1, result["asked"]) * 1e6, 1
        )
        result["memory"] = round(resident_mib(self.process.pid), 1)
        return result


def parse_trees(arguments: tuple[str, ...], layers: bool) -> dict[str, tuple[Path, str]]:
    """Return by name the folder of a tree, and the layer to start there ("": `serve`).

    `arguments` are written NAME=FOLDER; with `layers`, those of this tree are included.
    """
    trees = {layer: (ROOT, layer) for layer in LAYERS} if layers else {}
    for name, _, path in (argument.partition("=") for argument in arguments):
        trees[name] = Path(path).resolve(), ""
    return trees


def format_table(rows: list[dict], columns: list[str]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "| " + " | ".join("---" for _ in columns) + " |"]
    return "\n".join(
        lines + ["| " + " | ".join(str(row.get(column, "")) for column in columns) + " |" for row in rows]
    )


def medians(results: list[dict]) -> dict:
    """Return the medians of the figures over the rounds, with totals of the counts.

    `not_200` is the share of all answers with another status, `broken` includes transactions that were never
    started, and `turned_away_ms`, the longest wait for an answer other than 200, is the maximum.
    """
    row = {
        name: round(statistics.median(result[name] for result in results if result[name] is not None), 2)
        for name in ("rate", "cpu_us", "p50", "p99", "p999", "memory")
        if any(result[name] is not None for result in results)
    }
    total = sum(sum(result["statuses"].values()) for result in results) or 1
    not_200 = sum(n for result in results for status, n in result["statuses"].items() if status != "200")
    row["not_200"] = f"{100 * not_200 / total:.1f}%"
    row["turned_away_ms"] = max(result["turned_away_ms"] for result in results)
    row["broken"] = sum(result["broken"] + result["unstarted"] for result in results)
    return row


@click.command()
@click.option(
    "--tree", "words", multiple=True, default=("new=.",), help="NAME=FOLDER of a source tree to measure."
)
@click.option("--layers", is_flag=True, help="Also measure the layers of benchmarks/floor.py.")
@click.option("--connections", default="1,16,64,256", show_default=True)
@click.option("--hosts", default="8", show_default=True, help="Number of stub hosts; several with commas.")
@click.option(
    "--bodies", default="100", show_default=True, help="Bytes of a response body; several with commas."
)
@click.option("--sent", default=0, show_default=True, help="Bytes of a request body.")
@click.option("--idle", default="0", show_default=True, help="Idle client connections; several with commas.")
@click.option("--rate", default=0.0, help="Transactions per second by schedule; 0: closed loop.")
@click.option("--delay-ms", default=0.0, help="Response time of the stub hosts in ms.")
@click.option("--rounds", default=5, show_default=True)
@click.option("--seconds", default=3.0, show_default=True)
@click.option("--sockets", default=4096, show_default=True)
@click.option("--memory-mb", default=256, show_default=True)
def main(
    words, layers, connections, hosts, bodies, sent, idle, rate, delay_ms, rounds, seconds, sockets, memory_mb
) -> None:
    """Measure source trees in turn and print a table."""
    rows = []
    for host_count in map(int, hosts.split(",")):
        for body_bytes in map(int, bodies.split(",")):
            for idle_count in map(int, idle.split(",")):
                for connection_count in map(int, connections.split(",")):
                    results = {name: [] for name in parse_trees(words, layers)}
                    for round_number in range(rounds):
                        for name, (tree, layer) in parse_trees(words, layers).items():
                            with ProxyProcess(
                                tree, host_count, body_bytes, delay_ms, sockets, memory_mb, layer
                            ) as proxy:
                                results[name].append(
                                    proxy.measure(
                                        connection_count, seconds, rate, idle_count, sent, round_number
                                    )
                                )
                    for name, tree_results in results.items():
                        rows.append(
                            {
                                "state": name,
                                "connections": connection_count,
                                "hosts": host_count,
                                "body": body_bytes,
                                "idle": idle_count,
                                **medians(tree_results),
                            }
                        )
    click.echo(format_table(rows, list(rows[0])))


if __name__ == "__main__":
    main()
