"""How far the fleet exceeded its limits in any window, measured from the recorded events alone."""

from collections import Counter, defaultdict

from ..fleet import bounds
from .judge import ROLLED_BACK_STATUSES, SOCKET_SLACK_S
from .scenario import Scenario, program_limit
from .wire import Answered, Asked, Done, Got

PRECISION = 0.001  # to which `excess` is computed, as a fraction of the limit


def figures(wire: list, scenario: Scenario) -> dict[str, dict]:
    """Returns for each limit the largest excess in any window, the permitted excess, and the used share.

    Excess is a fraction of the limit. The used share is that of the limit's capacity in the seconds in which
    a request was refused, or None if none was.
    """
    names, results = [p.name for p in scenario.load.profiles], {}
    refused = {
        int(entry.at)
        for entry in wire
        if isinstance(entry, Answered) and entry.status in ROLLED_BACK_STATUSES
    }
    for limit in scenario.fleet.limits:
        rule = program_limit(limit, names)
        if rule.counts_places:
            max_held, used = most_held(wire, rule.amount, refused)
            over_most = max(0.0, max_held / rule.amount - 1) if rule.amount else float(max_held)
        else:
            times = (
                first_attempt_times(wire, set(limit.profiles))
                if rule.kind == bounds.RATE
                else retry_times(wire)
            )
            over_most, used = excess(times, rule.amount, rule.burst), used_share(times, rule.amount, refused)
        results[limit.name] = {
            "over_most": round(over_most, 3),
            "over_bound": rule.max_excess(),
            "used": used,
        }
    return results


def most_held(wire: list, amount: float, refused: set[int]) -> tuple[int, float | None]:
    """The most attempts any host held at once, and the mean share of places held in the `refused` seconds."""
    held_by_host, max_held, held_by_second, hosts = Counter(), 0, defaultdict(list), set()
    for entry in wire:
        if isinstance(entry, Got) and entry.ran:
            held_by_host[entry.host] += 1
            max_held = max(max_held, held_by_host[entry.host])
            hosts.add(entry.host)
        elif isinstance(entry, Done):
            held_by_host[entry.host] = held_by_host[entry.host] - 1 if entry.tx else 0
        else:
            continue
        if int(entry.at) in refused:
            held_by_second[int(entry.at)].append(held_by_host.total())
    means = [sum(counts) / len(counts) for counts in held_by_second.values()]
    places = amount * len(hosts)
    return max_held, round(sum(means) / len(means) / places, 3) if means and places else None


def first_attempt_times(wire: list, profiles: set[str]) -> list[float]:
    """Send times of each transaction's first attempt, for these profiles or for all if there are none."""
    profile_by_tx = {entry.tx: entry.profile for entry in wire if isinstance(entry, Asked)}
    first = {}
    for entry in wire:
        if isinstance(entry, Got) and (not profiles or profile_by_tx.get(entry.tx) in profiles):
            first.setdefault(entry.tx, entry.at if entry.left is None else entry.left)
    return sorted(first.values())


def retry_times(wire: list) -> list[float]:
    """Times of all attempts after the first of their transaction."""
    seen, results = set(), []
    for entry in wire:
        if isinstance(entry, Got):
            if entry.tx in seen:
                results.append(entry.at)
            seen.add(entry.tx)
    return results


def excess(times: list[float], amount: float, burst: float) -> float:
    """The smallest fraction by which amount and burst must grow so that no window holds too many."""

    def fits(share: float) -> bool:
        level, last, max_level = 0.0, times[0], (burst + amount * SOCKET_SLACK_S) * (1 + share)
        for at in times:
            level = max(0.0, level - amount * (1 + share) * (at - last)) + 1
            last = at
            if level > max_level + 1e-9:
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
