"""Short random scenarios with many simultaneous faults on real processes, drawn from a seed."""

from random import Random

import msgspec

from . import faults
from .costly_clients import BEHAVIOURS
from .scenario import Discovery, HostKind, Load, Profile, Rules, Scenario
from .syscalls import Chances

LOAD_SECONDS = 14.0
FAULT_SECONDS = 8.0  # faults begin within this time
HOSTS, PROXIES = 8, 4
LATE_ANSWER_S = 0.5  # past a deadline, in which an answer breaks no rule but doesn't count as served
WALL_CLOCK_OFFSETS_S = (-3600.0, -5.0, 5.0, 3600.0)  # of proxies against the machine's clock
MEMORY_MB = 64  # told to proxies beside costly clients
# all but those whose requests go on to hosts, of which the judge knows nothing
COSTLY_BEHAVIOURS = sorted(
    set(BEHAVIOURS)
    - {"unread-answers", "long-unread-answers", "pipelined-keys", "trickled-bodies", "mixed-bodies"}
)
LONG_BODY_BYTES = 200_000, 2_000_000
READ_RATES = ((2e6, 5e6), (2e6, 2e7), (5e6, 2e6))  # bytes per second, of the hosts of each zone
RESTART_DELAY_S = 4.5  # from SIGTERM to the next start; past the earliest SIGKILL


def draw_scenario(seed: int, costly: bool = False, long_bodies: bool = False) -> Scenario:
    """Draws the scenario of this seed; any change to the order of draws in this module changes it.

    `costly`: costly clients connect to some of the proxies besides, which are told how much memory they have.
    `long_bodies`: keyed requests with long bodies, to hosts that read slowly and reset some after they ran.
    """
    scenario = _draw_scenario(seed)
    if long_bodies:
        scenario = with_long_bodies(scenario)
    if not costly:
        return scenario
    rng = Random(f"costly clients of soak {seed}")
    return msgspec.structs.replace(
        scenario, memory_mb=MEMORY_MB, faults=scenario.faults + costly_clients(rng)
    )


def _draw_scenario(seed: int) -> Scenario:
    rng, further_rng = Random(f"soak {seed}"), Random(f"further faults of soak {seed}")
    deadline = rng.choice((0.8, 1.5, 3.0))
    profiles = [
        Profile(name="read", effect="repeatable", work=0.01, service_goal=0.4, hard_limit=deadline, share=2),
        Profile(name="order", effect="once", work=0.015, service_goal=0.4, hard_limit=deadline),
        Profile(
            name="put",
            effect="by_key",
            work=0.01,
            service_goal=0.4,
            hard_limit=deadline,
            window=rng.choice((0.3, 0.6, 2.0)),
        ),
    ]
    has_idle_clients = rng.random() < 0.3
    load = Load(
        rate=rng.uniform(60, 160),
        profiles=profiles,
        leave=rng.choice((0.0, 0.1, 0.3)),
        ahead=0.5,
        retries=rng.choice((0, 2)),
        idle=rng.randint(120, 260) if has_idle_clients else 0,
        stalled=further_rng.choice((0, 0, 3)),
        hurried=further_rng.choice((0.0, 0.05)),
    )
    discovery = Discovery(
        mode=rng.choice(("pushed", "on_request")), notice=0.05, ask_within=rng.choice((2.0, 5.0, 10.0))
    )
    chances = (
        None
        if rng.random() < 0.5
        else Chances(
            accept=rng.uniform(0, 0.5),
            create=rng.uniform(0, 0.1),
            connect=rng.uniform(0, 0.2),
            short=rng.uniform(0, 0.3),
            broken=rng.uniform(0, 0.01),
        )
    )
    return Scenario(
        name=f"soak-{seed}",
        seconds=LOAD_SECONDS,
        hosts=[HostKind(count=HOSTS, zones=["a", "b"])],
        load=load,
        rules=Rules(drain_grace=rng.choice((0.3, 0.5)), answer_late=LATE_ANSWER_S),
        discovery=discovery,
        proxies=PROXIES,
        seed=seed,
        system_calls=chances,
        connect_timeout=further_rng.choice((0.25, 1.5)),
        keepalive=further_rng.choice((0.5, 30.0)),
        faults=base_faults(rng) + further_faults(further_rng, discovery.mode),
    )


def with_long_bodies(scenario: Scenario) -> Scenario:
    """The scenario with long bodies; hosts of one zone read at another rate than those of the other."""
    rng = Random(f"long bodies of soak {scenario.seed}")
    upload = Profile(
        name="upload",
        effect="by_key",
        work=0.05,
        service_goal=1.0,
        hard_limit=2.5,
        share=0.4,
        window=rng.choice((0.8, 1.0)),
        body_bytes=LONG_BODY_BYTES,
    )
    hosts = [
        HostKind(count=HOSTS // 2, zones=[zone], read_rate=read_rate)
        for zone, read_rate in zip(("a", "b"), rng.choice(READ_RATES), strict=True)
    ]
    resets = faults.SpoilAnswers(
        at=0, lasts=LOAD_SECONDS, hosts=list(range(HOSTS)), how="reset", share=rng.uniform(0.2, 0.5)
    )
    load = msgspec.structs.replace(scenario.load, profiles=[*scenario.load.profiles, upload])
    system_calls = scenario.system_calls
    if system_calls is not None:  # a long body in reads of a few bytes only measures the processor
        system_calls = msgspec.structs.replace(system_calls, short=0.0)
    return msgspec.structs.replace(
        scenario, hosts=hosts, load=load, system_calls=system_calls, faults=[*scenario.faults, resets]
    )


def costly_clients(rng: Random) -> list:
    """One or two kinds of costly clients, each at one proxy; none of their requests reaches a host."""
    return [
        faults.CostlyClients(
            at=rng.uniform(0, FAULT_SECONDS),
            lasts=rng.uniform(2.0, 6.0),
            proxies=[rng.randrange(PROXIES)],
            behaviour=behaviour,
            connections=1 if BEHAVIOURS[behaviour].connections == 1 else rng.randint(50, 300),
        )
        for behaviour in rng.sample(COSTLY_BEHAVIOURS, rng.randint(1, 2))
    ]


def base_faults(rng: Random) -> list:
    """Faults of discovery, hosts and proxies, and wall clocks that are wrong from the start."""
    drawn_faults = []
    if rng.random() < 0.8:
        drawn_faults.append(
            faults.DiscoveryFault(
                at=rng.uniform(0, 3),
                lasts=rng.uniform(0.5, 5),
                how=rng.choice(("refuses", "down", "slow")),
                delay=rng.uniform(0.1, 3.0),
            )
        )
    if rng.random() < 0.5:
        drawn_faults.append(
            faults.Watches(
                at=rng.uniform(0, FAULT_SECONDS), silent=rng.random() < 0.7, more=rng.randint(0, 1)
            )
        )
    for proxy in range(PROXIES):
        drawn_faults += proxy_faults(rng, proxy)
    hosts = rng.sample(range(HOSTS), 5)
    drawn_faults.append(
        faults.Drain(at=rng.uniform(1, FAULT_SECONDS), lasts=60, hosts=hosts[: rng.randint(1, 2)])
    )
    kinds = (faults.Silent, faults.Errors, faults.LoseAnswers, faults.Kill, faults.Slow)
    for number in range(2, rng.randint(3, 4)):
        drawn_faults.append(
            rng.choice(kinds)(
                at=rng.uniform(0, FAULT_SECONDS),
                lasts=rng.uniform(0.5, 4),
                hosts=hosts[number : number + 1],
            )
        )
    if rng.random() < 0.4:
        drawn_faults.append(
            faults.ClockFault(
                at=0,
                lasts=60,
                ahead=rng.choice(WALL_CLOCK_OFFSETS_S),
                proxies=rng.sample(range(PROXIES), 2),
            )
        )
    return drawn_faults


def further_faults(rng: Random, mode: str) -> list:
    """Faults of connections to hosts, of answers and of host lists, each for a limited time."""
    drawn_faults = []

    def common_fields() -> dict:
        return {
            "at": rng.uniform(0, FAULT_SECONDS),
            "lasts": rng.uniform(1.0, 6.0),
            "hosts": rng.sample(range(HOSTS), rng.randint(1, 4)),
        }

    if rng.random() < 0.6:
        method = rng.choice(("closes", "resets", "forgets"))
        drawn_faults.append(faults.Resting(how=method, after=rng.choice((0.0, 0.02, 0.1)), **common_fields()))
    if rng.random() < 0.5:
        method = rng.choice(("short", "reset", "garbage", "twice"))
        drawn_faults.append(faults.SpoilAnswers(how=method, share=rng.uniform(0.05, 0.6), **common_fields()))
    if rng.random() < 0.5:
        drawn_faults.append(faults.LateConnections(**common_fields()))
    if rng.random() < 0.6:
        methods = ("ends", "whole") if mode == "pushed" else ("ends", "whole", "spoilt")
        at, lasts = rng.uniform(0, FAULT_SECONDS), rng.uniform(1.0, 5.0)
        drawn_faults.append(faults.Lists(at=at, lasts=lasts, how=rng.choice(methods)))
    return drawn_faults


def proxy_faults(rng: Random, proxy: int) -> list:
    """Repeated reconfiguration, termination or kill, and pauses of one proxy; they may overlap."""
    drawn_faults, at = [], rng.uniform(0.5, FAULT_SECONDS / 2)
    if rng.random() < 0.6:
        drawn_faults.append(
            faults.Reconfigure(at=at, lasts=rng.uniform(0.2, 2.0), proxies=[proxy], times=rng.randint(1, 6))
        )
    if rng.random() < 0.5:
        drawn_faults.append(
            faults.Terminate(at=at + rng.uniform(0, 2.5), lasts=RESTART_DELAY_S, proxies=[proxy])
        )
    elif rng.random() < 0.3:
        drawn_faults.append(faults.KillProxy(at=at + rng.uniform(0, 2.5), lasts=1.0, proxies=[proxy]))
    for _ in range(rng.randint(0, 3)):
        start_time = rng.uniform(0, FAULT_SECONDS)
        drawn_faults.append(faults.Pause(at=start_time, lasts=rng.uniform(0.02, 0.15), proxies=[proxy]))
    return drawn_faults
