"""The settings of a scenario's proxies, the same at every depth."""

from .scenario import Scenario

NANOSECONDS_PER_SECOND = 1_000_000_000


def proxy_settings(scenario: Scenario, position: int, zone: str) -> dict:
    """Settings in the form of a start-up file, for the proxy at this position among `scenario.proxies`."""
    rules = scenario.rules
    profiles = [
        {
            "name": profile.name,
            "effect": profile.effect,
            "service_goal_ns": int(profile.service_goal * NANOSECONDS_PER_SECOND),
            "hard_limit_ns": int(profile.hard_limit * NANOSECONDS_PER_SECOND),
            "repeat_window_ns": int(profile.window * NANOSECONDS_PER_SECOND),
        }
        for profile in scenario.load.profiles
    ]
    return {
        "position": position,
        "balancers": scenario.discovery.told_proxies or scenario.proxies,
        "zone": zone,
        "discovery": scenario.discovery.mode,
        "profiles": profiles,
        "family_info": {"warm_keys": scenario.key_saves > 0},
        "prices": {"cross_zone": scenario.network.cross_price},
        "allowed": {
            "max_hops": 3,
            "cancelling": True,
            "retry_after": True,
            "max_retry_after_ns": 2 * NANOSECONDS_PER_SECOND,
            "connect_timeout_ns": int(scenario.connect_timeout * NANOSECONDS_PER_SECOND),
            "keepalive_ns": int(scenario.keepalive * NANOSECONDS_PER_SECOND),
        },
        "rules": {
            "ask_within_ns": int(scenario.discovery.ask_within * NANOSECONDS_PER_SECOND),
            "drain_grace_ns": int(rules.drain_grace * NANOSECONDS_PER_SECOND),
            "cold_from": rules.cold_share,
            "cold_ns": int(rules.cold_time * NANOSECONDS_PER_SECOND),
            "fall_ns": int(rules.fall_time * NANOSECONDS_PER_SECOND),
            "overload_factor": rules.fall_multiple,
        },
    }
