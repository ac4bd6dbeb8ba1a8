"""What the staff asks of this process, carried out: hosts out and back, clients away and back, what holds."""

from ..console import admin_api
from ..console.admin_api import AdminRequest, AdminResponse
from .clients import Clients
from .clock import TICK, Clock
from .owner import Ordered, Owner
from .roster import Roster

ALONE = AdminResponse(404, "this process talks with no others: it was given no fleet file")


class Staff:
    """A yes is given once the order binds here. `keep(orders)` writes them down, and says what went wrong."""

    def __init__(self, owner: Owner, roster: Roster, clients: Clients, clock: Clock, say) -> None:
        self.clock = clock
        self.owner, self.roster, self.clients, self.say = owner, roster, clients, say
        self.keep = lambda orders: ""
        self.fleet = None  # what is told of the fleet, where this process talks with others

    def carry_out(self, call: AdminRequest) -> AdminResponse:
        return self.DOES[call.action](self, call)

    def ready(self, _: AdminRequest) -> AdminResponse:
        if not self.clients.ready:
            return AdminResponse(503, "not ready")
        return AdminResponse(
            200, "ready, and drained: clients are sent away" if self.clients.drained else "ready"
        )

    def hosts(self, _: AdminRequest) -> AdminResponse:
        servers, orders = self.owner.proxy.hosts, self.roster.orders
        lines = [
            {
                "id": place.id,
                "address": ":".join(map(str, place.address)),
                "ready": place.ready,
                "out": orders.out(place.id),
                "hops": len(servers[n].attempts) if n in servers else 0,
            }
            for n, place in self.roster.places.items()
        ]
        away = [
            {"id": host, "out": True, "listed": False}
            for host, (_, out) in orders.words.items()
            if out and not self.roster.known(host)
        ]
        return admin_api.json_lines(sorted(lines + away, key=lambda line: line["id"]))

    def members(self, _: AdminRequest) -> AdminResponse:
        return admin_api.json_lines(self.fleet.members()) if self.fleet is not None else ALONE

    def verdicts(self, _: AdminRequest) -> AdminResponse:
        return admin_api.json_lines(self.fleet.verdicts()) if self.fleet is not None else ALONE

    def limits(self, _: AdminRequest) -> AdminResponse:
        return admin_api.json_lines(self.fleet.shares()) if self.fleet is not None else ALONE

    def host(self, call: AdminRequest) -> AdminResponse:
        orders, out = self.roster.orders, call.action == admin_api.DISABLE
        if not self.roster.known(call.host) and not orders.out(call.host):
            return AdminResponse(404, "no such host")
        if not orders.tell(call.host, self.clock.now() * TICK, out):
            return AdminResponse(200, "it is out already" if out else "it was not out")
        self.owner.post(Ordered({call.host}))
        return self.kept("out" if out else "back, and cold")

    def drain(self, call: AdminRequest) -> AdminResponse:
        drained = call.action == admin_api.DRAIN
        if not self.roster.orders.tell_drain(self.clock.now() * TICK, drained):
            return AdminResponse(200, "drained already" if drained else "not drained")
        self.clients.drain(drained)
        return self.kept("clients are sent away" if drained else "back to work")

    def kept(self, text: str) -> AdminResponse:
        wrong = self.keep(self.roster.orders)
        if wrong:
            self.say("orders not kept", reason=wrong)
        return AdminResponse(200, text + (f"; lost with this process: {wrong}" if wrong else ""))

    DOES = {
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
