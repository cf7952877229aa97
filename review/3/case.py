"""LOST: requests sent ahead on a kept connection, at work at backends, when their machine gets SIGTERM."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_ins import *  # noqa: E402,F403

# The two requests that a client sends without waiting in between. When SIGTERM comes, the second one is still at work
# (first two clients), or its answer is ready and waits for the first one's (last two clients).
PAIRS = [("short", "long"), ("short", "long"), ("long", "quick"), ("long", "quick")]
WORK_S = {"quick": 0.1, "short": 0.8, "long": 1.6}
REMAINING_MS = 12000


def work_of(request):
    return WORK_S.get(request.target.rsplit("/", 1)[-1], 0.05)


class Client:
    """Keeps one connection and sends idempotent requests ahead."""

    def __init__(self, record, number, node):
        self.record = record
        self.name = f"client-{number}"
        self.node = node
        self.sent = {}
        self.answers = {}
        self.ended_at = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(*self.node.frontend)

    def send(self, what):
        request_id = f"{self.name}-{what}"
        self.record.line(self.name, "sends", id=request_id)
        self.sent[request_id] = self.record.now()
        self.writer.write(request_text("GET", f"/archive/{what}", request_headers(request_id, REMAINING_MS)))

    async def receive(self):
        answer = await read_message(self.reader, True)
        if answer is None:
            self.ended_at = self.record.now()
            self.record.line(self.name, "connection", ended=1)
            return False
        request_id = list(self.sent)[len(self.answers)]
        self.answers[request_id] = answer
        self.record.line(self.name, "receives", id=answer.get("X-Flamingoroute-Request-Id"), status=answer.status,
                         connection=answer.get("Connection", "kept"))
        return True

    async def receive_all(self):
        while len(self.answers) < len(self.sent):
            if not await self.receive():
                return


async def case(record, has_trouble):
    deployment = Deployment(record, {"gp-joburg": "gauteng"})
    try:
        await deployment.store.start()
        await deployment.store.put("config", "main", configuration(
            3, [(TENANT, [KEY], 110, 110)], [("search", "/archive/", "idempotent", "5000ms", SERVICE)]))
        for _ in range(4):
            await deployment.add_backend("gp-joburg", work=work_of).start()
        for _ in range(3):
            await deployment.add_node("gp-joburg").start()
        for node in deployment.nodes:
            await node.wait_until_ready()
        await asyncio.sleep(3.5)  # longer than stability_window: all machines are in touch

        stopped = deployment.nodes[0]
        clients = [Client(record, number, stopped) for number in range(1, len(PAIRS) + 1)]
        for client in clients:
            await client.connect()
            client.send("before")
            if not await client.receive() or list(client.answers.values())[0].status != 200:
                raise CannotRun("no answer in calm")
        for client, pair in zip(clients, PAIRS):
            for what in pair:
                client.send(what)
        await asyncio.sleep(0.4)
        at_work = {request_id for _, request_id, _ in deployment.runs()}
        if not all(f"{client.name}-{what}" in at_work for client, pair in zip(clients, PAIRS) for what in pair):
            raise CannotRun("the requests are not all at work")
        if has_trouble:
            stopped.signal(signal.SIGTERM)
        await asyncio.wait_for(asyncio.gather(*(client.receive_all() for client in clients)), GRACE_PERIOD_S + 4)

        lost = []
        for client in clients:
            for request_id in client.sent:
                if request_id in at_work and request_id not in client.answers:
                    lost.append(request_id)
        for request_id in lost:
            has_run = any(request_id in backend.finished for backend in deployment.backends)
            record.line("check", "LOST", id=request_id, passed_on=1, run_to_its_end=int(has_run), answered=0)
        return not lost
    finally:
        await deployment.end()


run_case(os.path.dirname(os.path.abspath(__file__)), case)
