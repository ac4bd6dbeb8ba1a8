"""How far the fleet exceeded its limits in any window, measured from the recorded events alone."""

from collections import Counter, defaultdict

from ..fleet import bounds
from .judge import ROLLED_BACK, SLACK
from .scenario import Scenario, bound
from .wire import Answered, Asked, Done, Got

PRECISION = 0.001  # of the excess


def figures(wire: list, told: Scenario) -> dict[str, dict]:
    """Returns for each limit the largest excess in any window, the permitted excess, and the used share.

    Excess is a fraction of the limit. The used share is that of the limit's capacity in the seconds in which
    a request was refused, or None if none was.
    """
    names, results = [p.name for p in told.load.profiles], {}
    refused = {int(e.at) for e in wire if isinstance(e, Answered) and e.status in ROLLED_BACK}
    for limit in told.fleet.limits:
        rule = bound(limit, names)
        if rule.counts_places:
            most, used = most_held(wire, rule.amount, refused)
            over = max(0.0, most / rule.amount - 1) if rule.amount else float(most)
        else:
            times = (
                first_attempt_times(wire, set(limit.profiles))
                if rule.kind == bounds.RATE
                else retry_times(wire)
            )
            over, used = excess(times, rule.amount, rule.burst), used_share(times, rule.amount, refused)
        results[limit.name] = {"over_most": round(over, 3), "over_bound": rule.max_excess(), "used": used}
    return results


def most_held(wire: list, amount: float, refused: set[int]) -> tuple[int, float | None]:
    """The most attempts any host held at once, and the mean share of places held in the `refused` seconds."""
    now, most, sums, hosts = Counter(), 0, defaultdict(list), set()
    for e in wire:
        if isinstance(e, Got) and e.ran:
            now[e.host] += 1
            most = max(most, now[e.host])
            hosts.add(e.host)
        elif isinstance(e, Done):
            now[e.host] = now[e.host] - 1 if e.tx else 0
        else:
            continue
        if int(e.at) in refused:
            sums[int(e.at)].append(now.total())
    means = [sum(most_held) / len(most_held) for most_held in sums.values()]
    places = amount * len(hosts)
    return most, round(sum(means) / len(means) / places, 3) if means and places else None


def first_attempt_times(wire: list, profiles: set[str]) -> list[float]:
    asked = {e.tx: e.profile for e in wire if isinstance(e, Asked)}
    first = {}
    for e in wire:
        if isinstance(e, Got) and (not profiles or asked.get(e.tx) in profiles):
            first.setdefault(e.tx, e.at if e.left is None else e.left)
    return sorted(first.values())


def retry_times(wire: list) -> list[float]:
    """Times of all attempts after the first of their transaction."""
    met, results = set(), []
    for e in wire:
        if isinstance(e, Got):
            if e.tx in met:
                results.append(e.at)
            met.add(e.tx)
    return results


def excess(times: list[float], amount: float, burst: float) -> float:
    """The smallest fraction by which amount and burst must grow so that no window holds too many."""

    def fits(part: float) -> bool:
        level, last, most = 0.0, times[0], (burst + amount * SLACK) * (1 + part)
        for at in times:
            level = max(0.0, level - amount * (1 + part) * (at - last)) + 1
            last = at
            if level > most + 1e-9:
                return False
        return True

    if not times or fits(0.0):
        return 0.0
    if not amount:
        return float(len(times))
    low, high = 0.0, 1.0
    while not fits(high):
        low, high = high, 2 * high
    while high - low > PRECISION:
        middle = (low + high) / 2
        low, high = (low, middle) if fits(middle) else (middle, high)
    return high


def used_share(times: list[float], amount: float, refused: set[int]) -> float | None:
    """Mean share of the rate used in whole seconds in which a request was refused."""
    counts = Counter(int(at) for at in times)
    if not refused or not amount:
        return None
    return round(sum(counts[second] for second in refused) / len(refused) / amount, 3)
