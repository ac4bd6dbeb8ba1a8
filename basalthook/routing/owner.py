"""The owner task: the only holder of the decisions. Everything reaches it through one queue."""
import asyncio
from heapq import heappop, heappush
from typing import NamedTuple

from .. import terms
from ..policy import interface as i
from ..policy.decide import Proxy
from ..protocol.application import Asked
from ..protocol.catalogue import Listing
from ..protocol.http1 import Message
from .clock import TICKS, Clock
from .roster import Roster

QUEUE_MOST = 4096       # who has more to tell waits


class Answer(NamedTuple):
    """The final answer; `message` is the host's, where it is a host's."""
    kind: str                       # "committed", "declined", "rolled back", "abandoned"
    message: Message | None = None
    come_back: int = 0


class Order:
    """One transaction taken; in the owner's books from its arrival until it is closed with no hop out."""

    def __init__(self, asked: Asked, hard_limit: int) -> None:
        self.asked, self.hard_limit = asked, hard_limit
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.number, self.hops, self.closed = -1, [], False     # hops: one an effect, None once it is over

    def close(self, answer: Answer | None) -> None:
        self.closed = True
        if answer is not None and not self.answer.done():
            self.answer.set_result(answer)


class Arrived(NamedTuple):
    order: Order


class Gone(NamedTuple):
    order: Order


class HopOver(NamedTuple):
    order: Order
    hop: int
    host: int
    outcome: str
    elapsed: int
    message: Message | None


class Listed(NamedTuple):
    listing: Listing
    answered: bool


class ListLost(NamedTuple):
    pass


class Owner:
    def __init__(self, agreed: i.Agreement, seed: int, clock: Clock, roster: Roster, say) -> None:
        self.agreed, self.clock, self.roster, self.say = agreed, clock, roster, say
        self.proxy = Proxy(agreed, seed, clock.now())
        self.queue: asyncio.Queue = asyncio.Queue(QUEUE_MOST)
        self.timers: list[tuple[int, int, int]] = []    # due, order set, mark; emptied as they fall due
        self.alarm: asyncio.TimerHandle | None = None
        self.set = self.next = 0
        self.orders: dict[int, Order] = {}
        self.begin_hop = self.begin_watch = self.close_idle = None      # set by whoever builds the program

    async def post(self, item) -> None:
        await self.queue.put(item)

    def start(self, known: Listing) -> None:
        self.carry_out(self.proxy.begin())
        self.decide(self.roster.told(known, answered=False))

    async def run(self) -> None:
        self.wind()
        while True:
            item = await self.queue.get()
            while self.timers and self.timers[0][0] <= self.clock.now():
                self.safely(self.decide, i.TimerDue(heappop(self.timers)[2]))
            if item is not None:
                self.safely(self.take, item)
            self.wind()

    def safely(self, work, given) -> None:
        """One bad event must not end the service of all others."""
        try:
            work(given)
        except Exception as fault:
            self.say("fault", where=type(given).__name__, error=repr(fault))

    def wind(self) -> None:
        """Wake up for the next timer."""
        if self.alarm is not None:
            self.alarm.cancel()
        if self.timers:
            wait = max(0, self.timers[0][0] - self.clock.now()) / TICKS
            self.alarm = asyncio.get_running_loop().call_later(wait, self._wake)

    def _wake(self) -> None:
        if self.queue.empty():          # else it is awake in a moment, and looks at its timers anyway
            self.queue.put_nowait(None)

    def decide(self, event) -> None:
        self.carry_out(self.proxy.handle(self.clock.now(), event))

    # ---- what comes in

    def take(self, item) -> None:
        self.TAKES[type(item)](self, item)

    def arrived(self, item: Arrived) -> None:
        order, number = item.order, self.next
        self.next += 1
        order.number, self.orders[number] = number, order
        key, patience = order.asked.key, max(0, order.hard_limit - self.clock.now())
        self.decide(i.TxArrived(number, order.asked.profile, terms.number(key) if key else None, patience))

    def gone(self, item: Gone) -> None:
        if not item.order.closed:
            item.order.close(None)
            self.decide(i.TxGone(item.order.number))
            self.forget(item.order)

    def hop_over(self, item: HopOver) -> None:
        order = item.order
        order.hops[item.hop] = None
        self.roster.hop_over(item.host)
        if item.message is not None and not order.closed:
            order.close(Answer(item.outcome, item.message))
        self.decide(i.HopEnded(order.number, item.hop, item.host, item.outcome, item.elapsed, order.closed,
                               None))
        self.forget(order)

    def listed(self, item: Listed) -> None:
        self.decide(self.roster.told(item.listing, item.answered))

    TAKES = {Arrived: arrived, Gone: gone, HopOver: hop_over, Listed: listed,
             ListLost: lambda self, _: self.decide(i.ListFailed())}

    def forget(self, order: Order) -> None:
        if order.closed and not any(order.hops):
            self.orders.pop(order.number, None)

    # ---- what goes out

    def carry_out(self, effects: list) -> None:
        for effect in effects:
            self.GIVES[type(effect)](self, effect)

    def send(self, effect: i.SendHop) -> None:
        order = self.orders[effect.tx]
        limit = min(effect.time_limit, order.hard_limit - self.clock.now())
        over = order.closed or limit <= 0 or len(order.hops) >= self.agreed.max_hops
        place = self.roster.hop_out(effect.host)
        order.hops.append(self.begin_hop(order, len(order.hops), effect.host, place, limit, over))

    def roll_back(self, effect: i.RollBack) -> None:
        self.answer(effect.tx, Answer("rolled back", None, effect.come_back))

    def abandon(self, effect: i.Abandon) -> None:
        self.answer(effect.tx, Answer("abandoned"))

    def answer(self, tx: int, answer: Answer) -> None:
        if tx in self.orders:
            self.orders[tx].close(answer)
            self.forget(self.orders[tx])

    def cancel(self, effect: i.CancelHop) -> None:
        order = self.orders.get(effect.tx)
        if order is not None and order.hops[effect.hop] is not None:
            order.hops[effect.hop].stop(i.CANCELLED)

    def set_timer(self, effect: i.SetTimer) -> None:
        self.set += 1
        heappush(self.timers, (self.clock.now() + effect.delay, self.set, effect.mark))

    GIVES = {i.SendHop: send, i.RollBack: roll_back, i.Abandon: abandon, i.CancelHop: cancel,
             i.SetTimer: set_timer, i.WatchList: lambda self, _: self.begin_watch(),
             i.CloseIdle: lambda self, effect: self.close_idle(self.roster.places[effect.host].door)}
