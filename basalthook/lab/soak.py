"""Short random scenarios with many simultaneous faults on real processes, drawn from a seed."""

from random import Random

from . import faults
from .scenario import Discovery, HostKind, Load, Profile, Rules, Scenario
from .syscalls import Chances

LOAD_SECONDS = 14.0
FAULT_SECONDS = 8.0  # faults begin within this time
HOSTS, PROXIES = 8, 4
LATE_ANSWER_S = 0.5  # past a deadline, in which an answer breaks no rule but doesn't count as served
WALL_CLOCK_OFFSETS_S = (-3600.0, -5.0, 5.0, 3600.0)  # of proxies against the machine's clock
RESTART_DELAY_S = 4.5  # from SIGTERM to the next start; past the earliest SIGKILL


def draw_scenario(seed: int) -> Scenario:
    """Draws the scenario of this seed; any change to the order of draws in this module changes it."""
    random, further_random = Random(f"soak {seed}"), Random(f"further faults of soak {seed}")
    deadline = random.choice((0.8, 1.5, 3.0))
    profiles = [
        Profile(name="read", effect="repeatable", work=0.01, service_goal=0.4, hard_limit=deadline, share=2),
        Profile(name="order", effect="once", work=0.015, service_goal=0.4, hard_limit=deadline),
        Profile(
            name="put",
            effect="by_key",
            work=0.01,
            service_goal=0.4,
            hard_limit=deadline,
            window=random.choice((0.3, 0.6, 2.0)),
        ),
    ]
    has_idle_clients = random.random() < 0.3
    load = Load(
        rate=random.uniform(60, 160),
        profiles=profiles,
        leave=random.choice((0.0, 0.1, 0.3)),
        ahead=0.5,
        retries=random.choice((0, 2)),
        idle=random.randint(120, 260) if has_idle_clients else 0,
        stalled=further_random.choice((0, 0, 3)),
        hurried=further_random.choice((0.0, 0.05)),
    )
    discovery = Discovery(
        mode=random.choice(("pushed", "on_request")), notice=0.05, ask_within=random.choice((2.0, 5.0, 10.0))
    )
    chances = (
        None
        if random.random() < 0.5
        else Chances(
            accept=random.uniform(0, 0.5),
            create=random.uniform(0, 0.1),
            connect=random.uniform(0, 0.2),
            short=random.uniform(0, 0.3),
            broken=random.uniform(0, 0.01),
        )
    )
    return Scenario(
        name=f"soak-{seed}",
        seconds=LOAD_SECONDS,
        hosts=[HostKind(count=HOSTS, zones=["a", "b"])],
        load=load,
        rules=Rules(drain_grace=random.choice((0.3, 0.5)), answer_late=LATE_ANSWER_S),
        discovery=discovery,
        proxies=PROXIES,
        seed=seed,
        system_calls=chances,
        connect_timeout=further_random.choice((0.25, 1.5)),
        keepalive=further_random.choice((0.5, 30.0)),
        faults=base_faults(random) + further_faults(further_random, discovery.mode),
    )


def base_faults(random: Random) -> list:
    """Faults of discovery, hosts and proxies, and wall clocks that are wrong from the start."""
    drawn_faults = []
    if random.random() < 0.8:
        drawn_faults.append(
            faults.DiscoveryFault(
                at=random.uniform(0, 3),
                lasts=random.uniform(0.5, 5),
                how=random.choice(("refuses", "down", "slow")),
                delay=random.uniform(0.1, 3.0),
            )
        )
    if random.random() < 0.5:
        drawn_faults.append(
            faults.Watches(
                at=random.uniform(0, FAULT_SECONDS), silent=random.random() < 0.7, more=random.randint(0, 1)
            )
        )
    for proxy in range(PROXIES):
        drawn_faults += proxy_faults(random, proxy)
    hosts = random.sample(range(HOSTS), 5)
    drawn_faults.append(
        faults.Drain(at=random.uniform(1, FAULT_SECONDS), lasts=60, hosts=hosts[: random.randint(1, 2)])
    )
    kinds = (faults.Silent, faults.Errors, faults.LoseAnswers, faults.Kill, faults.Slow)
    for number in range(2, random.randint(3, 4)):
        drawn_faults.append(
            random.choice(kinds)(
                at=random.uniform(0, FAULT_SECONDS),
                lasts=random.uniform(0.5, 4),
                hosts=hosts[number : number + 1],
            )
        )
    if random.random() < 0.4:
        drawn_faults.append(
            faults.ClockFault(
                at=0,
                lasts=60,
                ahead=random.choice(WALL_CLOCK_OFFSETS_S),
                proxies=random.sample(range(PROXIES), 2),
            )
        )
    return drawn_faults


def further_faults(random: Random, mode: str) -> list:
    """Faults of connections to hosts, of answers and of host lists, each for a limited time."""
    drawn_faults = []

    def common_fields() -> dict:
        return {
            "at": random.uniform(0, FAULT_SECONDS),
            "lasts": random.uniform(1.0, 6.0),
            "hosts": random.sample(range(HOSTS), random.randint(1, 4)),
        }

    if random.random() < 0.6:
        method = random.choice(("closes", "resets", "forgets"))
        drawn_faults.append(
            faults.Resting(how=method, after=random.choice((0.0, 0.02, 0.1)), **common_fields())
        )
    if random.random() < 0.5:
        method = random.choice(("short", "reset", "garbage", "twice"))
        drawn_faults.append(
            faults.SpoilAnswers(how=method, share=random.uniform(0.05, 0.6), **common_fields())
        )
    if random.random() < 0.5:
        drawn_faults.append(faults.LateConnections(**common_fields()))
    if random.random() < 0.6:
        methods = ("ends", "whole") if mode == "pushed" else ("ends", "whole", "spoilt")
        at, lasts = random.uniform(0, FAULT_SECONDS), random.uniform(1.0, 5.0)
        drawn_faults.append(faults.Lists(at=at, lasts=lasts, how=random.choice(methods)))
    return drawn_faults


def proxy_faults(random: Random, proxy: int) -> list:
    """Repeated reconfiguration, termination or kill, and pauses of one proxy; they may overlap."""
    drawn_faults, at = [], random.uniform(0.5, FAULT_SECONDS / 2)
    if random.random() < 0.6:
        drawn_faults.append(
            faults.Reconfigure(
                at=at, lasts=random.uniform(0.2, 2.0), proxies=[proxy], times=random.randint(1, 6)
            )
        )
    if random.random() < 0.5:
        drawn_faults.append(
            faults.Terminate(at=at + random.uniform(0, 2.5), lasts=RESTART_DELAY_S, proxies=[proxy])
        )
    elif random.random() < 0.3:
        drawn_faults.append(faults.KillProxy(at=at + random.uniform(0, 2.5), lasts=1.0, proxies=[proxy]))
    for _ in range(random.randint(0, 3)):
        start_time = random.uniform(0, FAULT_SECONDS)
        drawn_faults.append(faults.Pause(at=start_time, lasts=random.uniform(0.02, 0.15), proxies=[proxy]))
    return drawn_faults
