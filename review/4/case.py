"""A request crashes each engine that runs it, after the engine's first event. It
comes again and again, and is never kept from the engines."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import world

FOLDER = os.path.dirname(os.path.abspath(__file__))
ENGINES = 6
BACK_S = 3.0
CONTACT_S = 3.0
RETRIES = 8
PAUSE_S = 2.5
BODY = b"this request crashes whoever runs it"


class Engine(world.Endpoint):
    """Ends soon after the first event of the deadly request, and is back after
    some seconds as a new incarnation."""

    crashes = ()
    is_down = False

    async def connection(self, reader, writer):
        self.writers = getattr(self, "writers", set())
        self.writers.add(writer)
        try:
            await super().connection(reader, writer)
        finally:
            self.writers.discard(writer)

    async def stream(self, common, run, headers, writer):
        if world.TROUBLE and run["path"].startswith("/turns/deadly"):
            asyncio.get_running_loop().call_later(
                self.event_pause * 1.5, lambda: asyncio.create_task(self.crash(run))
            )
        await super().stream(common, run, headers, writer)

    async def crash(self, run):
        if self.is_down:
            return
        self.is_down = True
        self.crashes = (*self.crashes, self.record.now())
        self.record(f"{self.name} crashes under {run['id']} after {run['sent']} events")
        self.server.close()
        for writer in list(self.writers):
            world.reset(writer)
        await asyncio.sleep(BACK_S)
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.connection, *self.address)
        self.is_down = False
        await self.store.put("servers", self.name, self.entry())
        self.record(f"{self.name} is back")


async def ask(fleet, gateway, request, path, body):
    headers = {
        "Request-Id": request,
        "Deadline-Ms": "2000",
        "Credential": "key",
        "Model": "m",
        "Token-Usage": "200,40",
        "Prompt-Prefix": "a1:200",
    }
    sent = fleet.record.now()
    fleet.record(f"sent {request} to {gateway.name}")
    answer = await world.call(gateway.address("front"), "POST", path, headers, body)
    fleet.record(f"{request} answered {answer['status']} whole={answer['is_whole']}")
    return sent, answer


async def case(fleet):
    await fleet.begin(["a", "a", "b", "b"])
    await fleet.store.put(
        "config", "main", world.configuration([world.TURNS], [world.ENGINES], [world.TENANT])
    )
    for n in range(ENGINES):
        engine = await Engine(fleet.record, f"i-{n}", "engines", "ab"[n % 2]).start("127.0.0.1")
        engine.store = fleet.store
        fleet.endpoints.append(engine)
        await fleet.store.put("servers", engine.name, engine.entry())
    for gateway in fleet.gateways:
        gateway.start()
    await fleet.ready()
    await asyncio.sleep(4)
    sent = {}
    served = 0
    for n in range(RETRIES):
        gateway = fleet.gateways[n % len(fleet.gateways)]
        request = f"deadly-{n}"
        sent[request], answer = await ask(fleet, gateway, request, "/turns/deadly", BODY)
        served += answer["is_whole"]
        await asyncio.sleep(PAUSE_S)
    crashes = sorted(at for engine in fleet.endpoints for at in engine.crashes)
    reached = {run["id"] for engine in fleet.endpoints for run in engine.runs}
    late = []
    if len(crashes) >= 3:
        late = [r for r, at in sent.items() if at > crashes[2] + CONTACT_S and r in reached]
    fleet.record.say(
        f"{len(crashes)} crashes; {len(late)} retries sent later than {CONTACT_S} s after the "
        f"third reached engines, 3 may; {served} answers were whole"
    )
    if not world.TROUBLE and served < RETRIES:
        raise world.CannotRun("the request was not served without disruption")
    return len(late) > 3


world.run(case, FOLDER)
