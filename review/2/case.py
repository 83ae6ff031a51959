"""Two machines of different zones are cut off from all others and the store at
the same time. A program that does not stop gets one turn beyond its budget at
each of them."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import world

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = ["a", "b", "c"]
# Twice a share of 0.35 of 3 machines.
CUT = ["front-a-0", "front-b-1"]
LEFT = "front-c-2"
CUT_S = 12
BUDGET = 1000
TURN = 100
STRIDE = 5


def choose_program(fleet):
    """A program that is kept on the machine which is not cut off."""
    machines = [g.name for g in fleet.gateways]
    names = (f"p{number:x}" for number in range(1000))
    return next(name for name in names if world.home_of(name, machines) == LEFT)


class Program:
    def __init__(self, fleet):
        self.fleet, self.id = fleet, choose_program(fleet)
        self.tokens, self.turns, self.stopped = 0, 0, False

    async def turn(self, gateway, line):
        self.turns += 1
        request = f"t{self.turns:03}"
        headers = {
            "Request-Id": request,
            "Deadline-Ms": "5000",
            "Credential": "key",
            "Program-Id": self.id,
            "Session-Id": line,
            "Program-Deadline-Ms": "60000",
            "Token-Budget": str(BUDGET),
            "Token-Usage": f"200,{TURN}",
            "Prompt-Prefix": "a:150,%x:50" % self.turns,
        }
        self.fleet.record(f"sent {request} of line {line} to {gateway.name}")
        answer = await world.call(gateway.address("front"), "POST", "/turns/1", headers, b"p" * 200)
        got = answer["body"].count(b"\n\n") * STRIDE if answer["status"] == 200 else 0
        self.tokens += got
        self.fleet.record(
            f"{request} answered {answer['status']} with {got} tokens, {self.tokens} in all"
        )
        return answer["status"]


async def line(program, gateway, name, until):
    """A line of a program that loops: turns through one machine until it is told
    to stop."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        if await program.turn(gateway, name) == 402:
            return
        await asyncio.sleep(0.2)


async def case(fleet):
    await fleet.begin(ZONES)
    configuration = world.configuration([world.TURNS], [world.ENGINES], [world.TENANT])
    await fleet.store.put("config", "main", configuration)
    for n in range(3):
        engine = await fleet.endpoint(f"i-{n}", "engines", "abc"[n])
        engine.events, engine.event_pause = TURN // STRIDE, 0.01
    for gateway in fleet.gateways:
        gateway.start()
    await fleet.ready()
    # The machines agree on who began, three seconds after their start.
    await asyncio.sleep(6)
    program = Program(fleet)
    by_name = {g.name: g for g in fleet.gateways}
    await program.turn(by_name[LEFT], "main")
    until = asyncio.get_running_loop().time() + CUT_S
    if world.TROUBLE:
        fleet.record(f"{CUT} are cut off")
        fleet.cut_off(CUT)
    await asyncio.sleep(3)
    lines = [
        line(program, by_name[name], name, until - 2) for name in (*CUT, LEFT)
    ]
    await asyncio.gather(*lines)
    await asyncio.sleep(max(0, until - asyncio.get_running_loop().time()))
    fleet.paths.cut.clear()
    fleet.record("the cut is over")
    await asyncio.sleep(2)
    for name in CUT:
        await program.turn(by_name[name], name)
    most = BUDGET + TURN
    fleet.record.say(f"{program.tokens} tokens handed out; at most {most} may be")
    if not world.TROUBLE and program.tokens < BUDGET / 2:
        raise world.CannotRun("the program was not served without disruption")
    return program.tokens > most


world.run(case, FOLDER)
