"""Operator calls on the console address: disable and enable hosts, drain and resume, show the state."""

from ..console import calls
from ..console.calls import Call, Reply
from .clients import Clients
from .clock import TICK_NS, Clock
from .dispatcher import Dispatcher, OverridesChanged
from .host_registry import HostRegistry

NOT_A_MEMBER = Reply(404, "this process is no member of a fleet: it was started without a fleet file")


class OperatorCallHandler:
    """Carries out operator calls; a reply of success means that the change is in force in this process."""

    def __init__(
        self, dispatcher: Dispatcher, registry: HostRegistry, clients: Clients, clock: Clock, log_event
    ) -> None:
        self.clock = clock
        self.dispatcher, self.registry, self.clients, self.log_event = (
            dispatcher,
            registry,
            clients,
            log_event,
        )
        self.save_overrides = lambda overrides: (
            ""
        )  # stores them on disk; returns an error text, "" on success
        self.fleet = None  # source of fleet state, if this process is a member of a fleet

    def handle(self, call: Call) -> Reply:
        return self.HANDLERS[call.what](self, call)

    def ready(self, _: Call) -> Reply:
        if not self.clients.ready:
            return Reply(503, "not ready")
        return Reply(200, "ready, and drained: clients are sent away" if self.clients.drained else "ready")

    def hosts(self, _: Call) -> Reply:
        policy_hosts, overrides = self.dispatcher.policy.servers, self.registry.overrides
        lines = [
            {
                "id": entry.id,
                "address": ":".join(map(str, entry.address)),
                "ready": entry.ready,
                "out": overrides.is_disabled(entry.id),
                "hops": len(policy_hosts[n].out) if n in policy_hosts else 0,
            }
            for n, entry in self.registry.entries.items()
        ]
        unlisted = [
            {"id": host, "out": True, "listed": False}
            for host, (_, disabled) in overrides.by_host.items()
            if disabled and not self.registry.is_known(host)
        ]
        return calls.rows(sorted(lines + unlisted, key=lambda line: line["id"]))

    def members(self, _: Call) -> Reply:
        return calls.rows(self.fleet.members()) if self.fleet is not None else NOT_A_MEMBER

    def verdicts(self, _: Call) -> Reply:
        return calls.rows(self.fleet.verdicts()) if self.fleet is not None else NOT_A_MEMBER

    def limits(self, _: Call) -> Reply:
        return calls.rows(self.fleet.shares()) if self.fleet is not None else NOT_A_MEMBER

    def host(self, call: Call) -> Reply:
        overrides, disabled = self.registry.overrides, call.what == calls.DISABLE
        if not self.registry.is_known(call.host) and not overrides.is_disabled(call.host):
            return Reply(404, "no such host")
        if not overrides.set_disabled(call.host, self.clock.now() * TICK_NS, disabled):
            return Reply(200, "it is disabled already" if disabled else "it was not disabled")
        self.dispatcher.post(OverridesChanged({call.host}))
        return self.reply_after_saving("disabled" if disabled else "enabled, and cold")

    def drain(self, call: Call) -> Reply:
        drained = call.what == calls.DRAIN
        if not self.registry.overrides.set_drained(self.clock.now() * TICK_NS, drained):
            return Reply(200, "drained already" if drained else "not drained")
        self.clients.set_drained(drained)
        return self.reply_after_saving("clients are sent away" if drained else "resumed")

    def reply_after_saving(self, text: str) -> Reply:
        """Store the overrides; the reply says if that failed."""
        error = self.save_overrides(self.registry.overrides)
        if error:
            self.log_event("orders not kept", reason=error)
        return Reply(200, text + (f"; not saved, lost when this process ends: {error}" if error else ""))

    HANDLERS = {
        calls.READY: ready,
        calls.HOSTS: hosts,
        calls.DISABLE: host,
        calls.ENABLE: host,
        calls.DRAIN: drain,
        calls.RESUME: drain,
        calls.MEMBERS: members,
        calls.VERDICTS: verdicts,
        calls.LIMITS: limits,
    }
