"""The settings that a proxy of a scenario starts with, the same at every depth."""

from .scenario import Scenario

NANO = 1_000_000_000


def settings(told: Scenario, position: int, zone: str) -> dict:
    """As in a start-up file, for the proxy at this position among `told.proxies`."""
    rules = told.rules
    profiles = [
        {
            "name": p.name,
            "effect": p.effect,
            "service_goal_ns": int(p.service_goal * NANO),
            "hard_limit_ns": int(p.hard_limit * NANO),
            "repeat_window_ns": int(p.window * NANO),
        }
        for p in told.load.profiles
    ]
    return {
        "position": position,
        "balancers": told.discovery.told_proxies or told.proxies,
        "zone": zone,
        "discovery": told.discovery.mode,
        "profiles": profiles,
        "family_info": {"warm_keys": told.key_saves > 0},
        "prices": {"cross_zone": told.network.cross_price},
        "allowed": {
            "max_hops": 3,
            "cancelling": True,
            "retry_after": True,
            "max_retry_after_ns": 2 * NANO,
            "connect_timeout_ns": int(told.connect_timeout * NANO),
            "keepalive_ns": int(told.keepalive * NANO),
        },
        "rules": {
            "ask_within_ns": int(told.discovery.ask_within * NANO),
            "drain_grace_ns": int(rules.drain_grace * NANO),
            "cold_from": rules.cold_share,
            "cold_ns": int(rules.cold_time * NANO),
            "fall_ns": int(rules.fall_time * NANO),
            "overload_factor": rules.fall_multiple,
        },
    }
