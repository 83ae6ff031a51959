"""A caller's text that holds a record's frame is taken for a record after an archive machine was killed."""

import asyncio
import json
import os
import random
import struct
import sys
import time
import zlib

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

import rig as r  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
LENGTH_S = 75
TURNS_AT_ONCE = 4
BODY_BYTES = 3_500_000  # The limit of the configuration is 4,194,304.
ROUTE = {**r.KEPT_ROUTE, "retention_s": 2.0}
OTHER = {"name": "tenant-b", "api_keys": ["key-of-tenant-b"], "priority": 1, "rate_per_s": 0, "burst": 0}
NEVER_SENT = f"{random.getrandbits(64):016x}"
FOREIGN = b"text of tenant-a\n"


def frame():
    """A record of another tenant, as archive machines store it (src/turns/record.rs)."""
    head = json.dumps(
        {
            "id": NEVER_SENT,
            "customer": OTHER["name"],
            "ended_ms": int(time.time() * 1000) + 3_600_000,
            "retention_ms": 3_600_000,
            "holders": [],
        },
        separators=(",", ":"),
    ).encode()
    body = struct.pack(">BI", 2, len(head)) + head + FOREIGN
    return struct.pack(">II", len(body), zlib.crc32(body)) + body


def headers_of(request_id, tenant):
    return {
        "Request-Id": request_id,
        "Program-Id": request_id,
        "Session-Id": f"s-{request_id}",
        "Program-Deadline-Ms": "20000",
        "Token-Budget": "100000",
        "Token-Usage": "10,16",
        "Model": "m",
        "Deadline-Ms": "4000",
        "Credential": tenant["api_keys"][0],
    }


async def main(folder, rigs):
    rig = r.Rig(folder, ZONES, r.BOUNDS)
    rigs.append(rig)
    await rig.start([ROUTE], [r.LLM], [r.TENANT, OTHER])
    engines = [await rig.add_engine(f"i-{z}", z, "llm", events=1) for z in range(3)]
    fronts = [node for node in rig.nodes.values() if node.role == "gateway"]
    stores = [node for node in rig.nodes.values() if node.role == "archive"]
    await rig.wait_ready(fronts)
    await asyncio.sleep(2)

    until = time.monotonic() + LENGTH_S
    counts, broken = {}, []
    while time.monotonic() < until and not broken:
        ending = asyncio.Event()
        for engine in engines:
            engine.hold = ending
        ids = [rig.new_id() for _ in range(TURNS_AT_ONCE)]
        turns = [
            asyncio.create_task(
                rig.call(random.choice(fronts), "/kept/turn", headers_of(n, r.TENANT), frame() + b"x" * BODY_BYTES)
            )
            for n in ids
        ]
        await asyncio.sleep(0.4)
        # The turns end, and are stored.
        ending.set()
        await asyncio.sleep(random.uniform(0.004, 0.04))
        if r.TROUBLE:
            for node in stores:
                node.kill()
            await asyncio.sleep(0.2)
            for node in stores:
                node.start()
        await asyncio.gather(*turns)
        for engine in engines:
            engine.hold = None
        await asyncio.sleep(0.5)
        # No client ever sent a request with this id.
        request_id = rig.new_id()
        headers = {**headers_of(request_id, OTHER), "Previous-Turn": NEVER_SENT}
        answer = await rig.call(random.choice(fronts), "/kept/turn", headers, b"next\n")
        status = rig.status_of(answer)
        counts[status] = counts.get(status, 0) + 1
        for engine in engines:
            if request_id in engine.runs:
                text = engine.runs[request_id]
                rig.record.say(f"UNASKED: {engine.name} ran {request_id} of {engine.tenants[request_id]}: {text!r}")
                broken.append(request_id)
    rig.record.say(f"answers to turns of tenant-b that name a turn nobody sent: {counts}")
    rig.record.say(f"UNASKED: {len(broken)} of them ran")
    return bool(broken)


r.run(HERE, main)
