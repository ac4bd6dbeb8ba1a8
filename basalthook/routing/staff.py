"""What the staff asks of this process, carried out: hosts out and back, clients away and back, what holds."""

from ..console import calls
from ..console.calls import Call, Reply
from .clients import Clients
from .clock import TICK, Clock
from .owner import Ordered, Owner
from .roster import Roster

ALONE = Reply(404, "this process talks with no others: it was given no fleet file")


class Staff:
    """A yes is given once the order binds here. `keep(orders)` writes them down, and says what went wrong."""

    def __init__(self, owner: Owner, roster: Roster, clients: Clients, clock: Clock, say) -> None:
        self.clock = clock
        self.owner, self.roster, self.clients, self.say = owner, roster, clients, say
        self.keep = lambda orders: ""
        self.fleet = None  # what is told of the fleet, where this process talks with others

    def carry_out(self, call: Call) -> Reply:
        return self.DOES[call.what](self, call)

    def ready(self, _: Call) -> Reply:
        if not self.clients.ready:
            return Reply(503, "not ready")
        return Reply(200, "ready, and drained: clients are sent away" if self.clients.drained else "ready")

    def hosts(self, _: Call) -> Reply:
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
        return calls.rows(sorted(lines + away, key=lambda line: line["id"]))

    def members(self, _: Call) -> Reply:
        return calls.rows(self.fleet.members()) if self.fleet is not None else ALONE

    def verdicts(self, _: Call) -> Reply:
        return calls.rows(self.fleet.verdicts()) if self.fleet is not None else ALONE

    def limits(self, _: Call) -> Reply:
        return calls.rows(self.fleet.shares()) if self.fleet is not None else ALONE

    def host(self, call: Call) -> Reply:
        orders, out = self.roster.orders, call.what == calls.DISABLE
        if not self.roster.known(call.host) and not orders.out(call.host):
            return Reply(404, "no such host")
        if not orders.tell(call.host, self.clock.now() * TICK, out):
            return Reply(200, "it is out already" if out else "it was not out")
        self.owner.post(Ordered({call.host}))
        return self.kept("out" if out else "back, and cold")

    def drain(self, call: Call) -> Reply:
        drained = call.what == calls.DRAIN
        if not self.roster.orders.tell_drain(self.clock.now() * TICK, drained):
            return Reply(200, "drained already" if drained else "not drained")
        self.clients.drain(drained)
        return self.kept("clients are sent away" if drained else "back to work")

    def kept(self, text: str) -> Reply:
        wrong = self.keep(self.roster.orders)
        if wrong:
            self.say("orders not kept", reason=wrong)
        return Reply(200, text + (f"; lost with this process: {wrong}" if wrong else ""))

    DOES = {
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
