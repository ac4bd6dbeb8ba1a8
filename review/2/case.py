"""Second answers right behind the first, from hosts whose system holds back small writes; see claim.txt."""

import asyncio
import pathlib
import random
import socket
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig  # noqa: E402

HOSTS, RATE, SECONDS, KEYS = 9, 200, 40, 1500  # requests a second at this client proxy
SHARE = 0.03  # of answers that bring a second copy
PATIENCE_S = 2.5  # the class's hard limit


class ChattyHost(rig.Host):
    """Sometimes writes its answer a second time right behind the first, while nothing else waits.

    Its sockets are as the system makes them: TCP_NODELAY is not set.
    """

    def __init__(self, record, number):
        super().__init__(record, number)
        self.random = random.Random(f"host {number}")
        self.copies = 0

    def work(self, fields):
        return self.random.uniform(0.010, 0.040)

    async def answer(self, writer, fields):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        answer = rig.response(200, self.body(fields))
        writer.write(answer)
        if rig.TROUBLE and self.random.random() < SHARE:
            self.copies += 1
            self.record.note(f"second copy of the answer to {fields['request-id']} by {self.id}")
            writer.write(answer)
        await writer.drain()


class Client:
    """Sound clients: one request at a time on a connection, kept connections, more when all are busy."""

    def __init__(self, record, address, hosts):
        self.record, self.address, self.hosts = record, address, {host.id: host for host in hosts}
        self.idle, self.random = [], random.Random("client")
        self.served = self.foreign = self.other = 0

    async def ask(self, number):
        id_, key = f"{number:016x}", self.random.randrange(KEYS)
        request = (
            f"GET /parcel-view/tile HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id_}\r\n"
            f"Request-Class: parcel-view\r\nCookie: k=parcel-{key}\r\nRequest-Timeout: {PATIENCE_S}\r\n\r\n"
        ).encode()
        reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection(*self.address)
        writer.write(request)
        self.record.note(f"sent {id_}")
        try:
            first, fields, body = await asyncio.wait_for(rig.read_message(reader), PATIENCE_S + 0.5)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.other += 1
            self.record.note(f"no answer to {id_}: {error!r}")
            return writer.close()
        status = int(first.split(" ")[1])
        if status == 200 and not body.startswith(f"parcel answer made for {id_} by ".encode()):
            self.foreign += 1
            self.record.note(f"FOREIGN answer to {id_}: {status} {body!r}")
        elif status == 200:
            self.served += 1
            self.record.note(f"answer to {id_}: 200, made for it")
        else:
            self.other += 1
            self.record.note(f"answer to {id_}: {status}")
        if fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))


async def story(record, folder, cleanups):
    discovery, hosts = rig.Discovery(record), [ChattyHost(record, n) for n in range(HOSTS)]
    await discovery.start()
    for host in hosts:
        await host.start()
    discovery.servers = [host.listed() for host in hosts]
    proxy = rig.Proxy(record, folder)
    cleanups.append(proxy.end)
    told = rig.settings(
        [rig.profile("parcel-view", "repeatable", 600, 2500), rig.profile("survey-submit", "once", 600, 1500)]
    )
    await proxy.start(discovery, hosts, told, {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    client, asked = Client(record, proxy.address, hosts), []
    loop = asyncio.get_running_loop()
    begin = loop.time()
    for number in range(RATE * SECONDS):
        await asyncio.sleep(max(0.0, begin + number / RATE - loop.time()))
        asked.append(loop.create_task(client.ask(number)))
    await asyncio.gather(*asked)
    copies = sum(host.copies for host in hosts)
    record.say(
        f"{len(asked)} requests: {client.served} served with their own answer, {client.other} refused, "
        f"failed or unanswered; {copies} second copies of answers; {client.foreign} served with an answer "
        "made for another request"
    )
    if client.served < len(asked) // 2 or rig.TROUBLE and not copies:
        raise rig.CannotRun("too little was served to judge")
    return not client.foreign


rig.play(HERE / "record.txt", story)
