"""Short days of many faults at once on real processes, drawn from a seed."""

from random import Random

from . import faults
from .scenario import Discovery, Kind, Load, Profile, Rules, Scenario
from .syscalls import Chances

SECONDS = 14.0  # of load; faults begin within the first `FAULTS`
FAULTS = 8.0
HOSTS, PROXIES = 8, 4
ANSWER_LATE = 0.5  # seconds past a deadline: until then an answer earns nothing and is no break
CLOCKS_OFF = (-3600.0, -5.0, 5.0, 3600.0)  # seconds by which a wall clock may be ahead
RESTARTED = 4.5  # seconds from SIGTERM to the next start: past the earliest kill


def draw_scenario(seed: int) -> Scenario:
    """The day of this seed; the same for ever, as long as this file stays as it is."""
    random, further = Random(f"soak {seed}"), Random(f"further faults of soak {seed}")
    limit = random.choice((0.8, 1.5, 3.0))
    profiles = [
        Profile(name="read", effect="repeatable", work=0.01, service_goal=0.4, hard_limit=limit, share=2),
        Profile(name="order", effect="once", work=0.015, service_goal=0.4, hard_limit=limit),
        Profile(
            name="put",
            effect="by_key",
            work=0.01,
            service_goal=0.4,
            hard_limit=limit,
            window=random.choice((0.3, 0.6, 2.0)),
        ),
    ]
    crowd = random.random() < 0.3
    load = Load(
        rate=random.uniform(60, 160),
        profiles=profiles,
        leave=random.choice((0.0, 0.1, 0.3)),
        ahead=0.5,
        retries=random.choice((0, 2)),
        idle=random.randint(120, 260) if crowd else 0,
        stalled=further.choice((0, 0, 3)),
        hurried=further.choice((0.0, 0.05)),
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
        seconds=SECONDS,
        hosts=[Kind(count=HOSTS, zones=["a", "b"])],
        load=load,
        rules=Rules(drain_grace=random.choice((0.3, 0.5)), answer_late=ANSWER_LATE),
        discovery=discovery,
        proxies=PROXIES,
        seed=seed,
        system_calls=chances,
        connect_timeout=further.choice((0.25, 1.5)),
        keepalive=further.choice((0.5, 30.0)),
        faults=faults_of_day(random) + further_faults(further, discovery.mode),
    )


def faults_of_day(random: Random) -> list:
    """Of discovery, of hosts and of proxies; what a proxy suffers begins after the one before is over."""
    found = []
    if random.random() < 0.8:
        found.append(
            faults.DiscoveryFails(
                at=random.uniform(0, 3),
                lasts=random.uniform(0.5, 5),
                how=random.choice(("refuses", "down", "slow")),
                delay=random.uniform(0.1, 3.0),
            )
        )
    if random.random() < 0.5:
        found.append(
            faults.Watches(
                at=random.uniform(0, FAULTS), silent=random.random() < 0.7, more=random.randint(0, 1)
            )
        )
    for proxy in range(PROXIES):
        found += of_proxy(random, proxy)
    hosts = random.sample(range(HOSTS), 5)
    found.append(faults.Drain(at=random.uniform(1, FAULTS), lasts=60, hosts=hosts[: random.randint(1, 2)]))
    kinds = (faults.Silent, faults.Errors, faults.LoseAnswers, faults.Kill, faults.Slow)
    for number in range(2, random.randint(3, 4)):
        found.append(
            random.choice(kinds)(
                at=random.uniform(0, FAULTS), lasts=random.uniform(0.5, 4), hosts=hosts[number : number + 1]
            )
        )
    if random.random() < 0.4:
        found.append(
            faults.ClockFault(
                at=0, lasts=60, ahead=random.choice(CLOCKS_OFF), proxies=random.sample(range(PROXIES), 2)
            )
        )
    return found


def further_faults(random: Random, mode: str) -> list:
    """Of connections to endpoints, of answers, and of lists; each of some endpoints, for a while."""
    found = []

    def some() -> dict:
        return {
            "at": random.uniform(0, FAULTS),
            "lasts": random.uniform(1.0, 6.0),
            "hosts": random.sample(range(HOSTS), random.randint(1, 4)),
        }

    if random.random() < 0.6:
        how = random.choice(("closes", "resets", "forgets"))
        found.append(faults.Resting(how=how, after=random.choice((0.0, 0.02, 0.1)), **some()))
    if random.random() < 0.5:
        how = random.choice(("short", "reset", "garbage", "twice"))
        found.append(faults.SpoilAnswers(how=how, share=random.uniform(0.05, 0.6), **some()))
    if random.random() < 0.5:
        found.append(faults.LateConnections(**some()))
    if random.random() < 0.6:
        hows = ("ends", "whole") if mode == "pushed" else ("ends", "whole", "spoilt")
        at, lasts = random.uniform(0, FAULTS), random.uniform(1.0, 5.0)
        found.append(faults.Lists(at=at, lasts=lasts, how=random.choice(hows)))
    return found


def of_proxy(random: Random, proxy: int) -> list:
    """New start-up files in a row, and then the end, in any order and overlapping."""
    found, at = [], random.uniform(0.5, FAULTS / 2)
    if random.random() < 0.6:
        found.append(
            faults.Reconfigure(
                at=at, lasts=random.uniform(0.2, 2.0), proxies=[proxy], times=random.randint(1, 6)
            )
        )
    if random.random() < 0.5:
        found.append(faults.Terminate(at=at + random.uniform(0, 2.5), lasts=RESTARTED, proxies=[proxy]))
    elif random.random() < 0.3:
        found.append(faults.KillProxy(at=at + random.uniform(0, 2.5), lasts=1.0, proxies=[proxy]))
    for _ in range(random.randint(0, 3)):
        begins = random.uniform(0, FAULTS)
        found.append(faults.Pause(at=begins, lasts=random.uniform(0.02, 0.15), proxies=[proxy]))
    return found
