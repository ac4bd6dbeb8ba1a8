"""Operator calls on the admin address: disable and enable hosts, drain and resume, show the state."""

from ..console import admin_api
from ..console.admin_api import AdminRequest, AdminResponse
from .clients import Clients
from .clock import TICK_NS, Clock
from .dispatcher import Dispatcher, OverridesChanged
from .host_registry import HostRegistry

NOT_A_MEMBER = AdminResponse(404, "this process talks with no others: it was given no fleet file")


class OperatorCallHandler:
    """Carries out operator calls; success means that the change is in effect in this process."""

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

    def handle(self, request: AdminRequest) -> AdminResponse:
        return self.HANDLERS[request.action](self, request)

    def ready(self, _: AdminRequest) -> AdminResponse:
        if not self.clients.ready:
            return AdminResponse(503, "not ready")
        return AdminResponse(
            200, "ready, and drained: clients are sent away" if self.clients.drained else "ready"
        )

    def hosts(self, _: AdminRequest) -> AdminResponse:
        policy_hosts, overrides = self.dispatcher.policy.hosts, self.registry.overrides
        rows = [
            {
                "id": entry.id,
                "address": ":".join(map(str, entry.address)),
                "ready": entry.ready,
                "out": overrides.is_disabled(entry.id),
                "hops": len(policy_hosts[n].attempts) if n in policy_hosts else 0,
            }
            for n, entry in self.registry.entries.items()
        ]
        unlisted = [
            {"id": host, "out": True, "listed": False}
            for host, (_, disabled) in overrides.by_host.items()
            if disabled and not self.registry.is_known(host)
        ]
        return admin_api.json_lines(sorted(rows + unlisted, key=lambda row: row["id"]))

    def members(self, _: AdminRequest) -> AdminResponse:
        return admin_api.json_lines(self.fleet.members()) if self.fleet is not None else NOT_A_MEMBER

    def verdicts(self, _: AdminRequest) -> AdminResponse:
        return admin_api.json_lines(self.fleet.verdicts()) if self.fleet is not None else NOT_A_MEMBER

    def limits(self, _: AdminRequest) -> AdminResponse:
        return admin_api.json_lines(self.fleet.shares()) if self.fleet is not None else NOT_A_MEMBER

    def host(self, request: AdminRequest) -> AdminResponse:
        overrides, disabled = self.registry.overrides, request.action == admin_api.DISABLE
        if not self.registry.is_known(request.host) and not overrides.is_disabled(request.host):
            return AdminResponse(404, "no such host")
        if not overrides.set_disabled(request.host, self.clock.now() * TICK_NS, disabled):
            return AdminResponse(200, "it is out already" if disabled else "it was not out")
        self.dispatcher.post(OverridesChanged({request.host}))
        return self.reply_after_saving("out" if disabled else "back, and cold")

    def drain(self, request: AdminRequest) -> AdminResponse:
        drained = request.action == admin_api.DRAIN
        if not self.registry.overrides.set_drained(self.clock.now() * TICK_NS, drained):
            return AdminResponse(200, "drained already" if drained else "not drained")
        self.clients.set_drained(drained)
        return self.reply_after_saving("clients are sent away" if drained else "back to work")

    def reply_after_saving(self, text: str) -> AdminResponse:
        """Store the overrides; the response says if that failed."""
        error = self.save_overrides(self.registry.overrides)
        if error:
            self.log_event("orders not kept", reason=error)
        return AdminResponse(200, text + (f"; lost with this process: {error}" if error else ""))

    HANDLERS = {
        admin_api.READY: ready,
        admin_api.HOSTS: hosts,
        admin_api.DISABLE: host,
        admin_api.ENABLE: host,
        admin_api.DRAIN: drain,
        admin_api.RESUME: drain,
        admin_api.MEMBERS: members,
        admin_api.VERDICTS: verdicts,
        admin_api.LIMITS: limits,
    }
