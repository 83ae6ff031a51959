"""An archive machine is replaced for good; later than catch_up_s, two disks are lost at once."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

import rig as r  # noqa: E402

PROGRAMS = 100
ZONES = ["zone-a", "zone-b", "zone-c"]
CATCH_UP_S = r.BOUNDS["bounds.catch_up_s"]
RECOVER_S = r.BOUNDS["bounds.recover_s"]


async def main(folder, rigs):
    rig = r.Rig(folder, ZONES, r.BOUNDS)
    rigs.append(rig)
    await rig.start([r.KEPT_ROUTE], [r.LLM], [r.TENANT])
    engines = [await rig.add_engine(f"i-{z}", z, "llm") for z in range(3)]
    near, far = rig.nodes["front-zone-a-1"], rig.nodes["front-zone-b-1"]
    await rig.wait_ready([near, far])
    await asyncio.sleep(3)

    turns = []
    for n in range(PROGRAMS):
        _, ended, _ = await r.turn(rig, near, f"p{n}", f"input of program {n}\n")
        if ended:
            turns.append(ended)
    rig.record.say(f"{len(turns)} of {PROGRAMS} turns answered whole")
    if len(turns) < PROGRAMS * 0.9:
        raise r.CannotRun("too few turns were answered")

    if r.TROUBLE:
        gone = rig.nodes["storage-zone-a-1"]
        gone.kill()
        gone.lose_disk()
        rig.record.say(f"{gone.name} is gone for good")
        await asyncio.sleep(1)
        rig.add_node("storage-zone-a-3", "archive", 0, 102, False).start()
        rig.record.say("storage-zone-a-3, with an empty disk at another address, takes its place")
    else:
        await asyncio.sleep(1)
    # It stops counting as lost once its successor has had catch_up_s.
    await asyncio.sleep(CATCH_UP_S + 0.3)

    lost = [rig.nodes["storage-zone-b-1"], rig.nodes["storage-zone-c-1"]]
    for node in lost:
        node.kill()
    for node in lost:
        node.lose_disk()
    await asyncio.sleep(0.5)
    for node in lost:
        node.start()
    back = time.monotonic()
    rig.record.say(f"{', '.join(node.name for node in lost)} are back with empty disks")

    def reached(request_id):
        return any(request_id in engine.runs for engine in engines)

    open_turns, others = list(turns), []
    for at in (4, 8, RECOVER_S - 4):
        await asyncio.sleep(max(0, back + at - time.monotonic()))
        still_open = []
        counts = {}
        for before in open_turns:
            status, _, request_id = await r.turn(rig, far, before.program, "next\n", before)
            counts[status] = counts.get(status, 0) + 1
            if not reached(request_id):
                still_open.append(before)
        open_turns = still_open
        rig.record.say(f"turns that continue earlier ones, {at} s after: {counts}")
        for n in range(20):
            status, _, _ = await r.turn(rig, far, f"q{at}-{n}", "a new program\n")
            if at >= RECOVER_S - 4:
                others.append(status)
    if time.monotonic() - back > RECOVER_S:
        raise r.CannotRun("the tries took longer than recover_s")
    served = others.count(200) / len(others)
    rig.record.say(f"{served:.2f} of other turns are served in the last 4 s before recover_s")
    for before in open_turns:
        rig.record.add(f"LOST: no engine got a turn that continues {before.id}")
    rig.record.say(f"LOST: {len(open_turns)} turns reach no engine by recover_s")
    return bool(open_turns) and served >= 0.8


r.run(HERE, main)
