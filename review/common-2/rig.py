"""Stand-ins and process control for the review scripts. Standard library only.

Everything runs in one asyncio loop on loopback addresses: the platform's store, engines,
clients, and the project's own programs as separate processes.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "chicoryarch")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: exit status 2."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def add(self, text):
        print(f"{time.monotonic() - self.start:8.3f} {text}", file=self.file, flush=True)

    def say(self, text):
        self.add(text)
        print(f"{time.monotonic() - self.start:8.3f} {text}", flush=True)


# HTTP/1.1


class Message:
    """Head and body of a request or response."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader, is_response=False):
    first, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_response and first.split(" ")[1] not in ("204", "304"):
        body = await reader.read()
    return Message(first, headers, body)


def response(status, body=b"", headers=()):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects by kind and name, watches, conditional writes."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Condition()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    async def serve(self, reader, writer):
        try:
            while True:
                req = await read_message(reader)
                status, body = await self.answer(req)
                writer.write(response(status, body, [("Content-Type", "application/json")]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, req):
        method, target, _ = req.first.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")]
        if parts[:3] != ["", "v1", "objects"] or len(parts) < 4:
            return 404, b"null"
        kind, rest = parts[3], parts[4:]
        if method == "GET":
            return await self.read(kind, rest, query)
        data = json.loads(req.body) if req.body else {}
        metadata = data.get("metadata") or {}
        name = rest[0] if rest else metadata.get("name")
        expected = metadata.get("revision", query.get("revision"))
        status = rest[1:] == ["status"]
        code, answer = await self.write(method, kind, name, data, expected, status)
        return code, json.dumps(answer).encode()

    async def read(self, kind, rest, query):
        if rest:
            found = self.objects.get((kind, rest[0]))
            return (200, json.dumps(found).encode()) if found else (404, b"null")
        if "watch" in query:
            since, wait = int(query["watch"]), int(query.get("wait_ms", 0)) / 1000
            events = self.events(kind, since)
            if not events and wait > 0:
                try:
                    async with self.changed:
                        await asyncio.wait_for(
                            self.changed.wait_for(lambda: self.events(kind, since)), wait
                        )
                except asyncio.TimeoutError:
                    pass
                events = self.events(kind, since)
            return 200, json.dumps({"events": events, "store_revision": self.revision}).encode()
        names = sorted(name for k, name in self.objects if k == kind and name > query.get("after", ""))
        items = [self.objects[kind, name] for name in names]
        answer = {"items": items, "truncated": False, "store_revision": self.revision}
        return 200, json.dumps(answer).encode()

    def events(self, kind, since):
        return [e for revision, k, e in self.history if k == kind and revision > since]

    async def write(self, method, kind, name, data, expected, is_status=False):
        found = self.objects.get((kind, name))
        if method == "POST" and found:
            return 409, found
        if method != "POST" and not found:
            return 404, None
        if expected is not None and found and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            del self.objects[kind, name]
            await self.note(kind, found, True)
            return 200, None
        field = "status" if is_status else "spec"
        if found and found[field] == data.get(field):
            return 200, found
        created = found["metadata"]["create_revision"] if found else self.revision + 1
        changed = {
            "metadata": {
                "name": name,
                "revision": self.revision + 1,
                "create_revision": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": found["spec"] if found else None,
            "status": found["status"] if found else None,
        }
        changed[field] = data.get(field)
        self.objects[kind, name] = changed
        await self.note(kind, changed, False)
        return 200, changed

    async def note(self, kind, changed, deleted):
        self.revision += 1
        self.history.append((self.revision, kind, {"object": changed, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, spec):
        """A write of the operator, an engine or the bench."""
        method = "PUT" if (kind, name) in self.objects else "POST"
        code, _ = await self.write(method, kind, name, {"metadata": {"name": name}, "spec": spec}, None)
        assert code == 200, code

    def status(self, kind, name):
        found = self.objects.get((kind, name))
        return found and found["status"]


class Engine:
    """A model engine that streams events, and notes what it ran."""

    def __init__(self, record, name, zone, events=3, pause=0.002):
        self.record, self.name, self.zone = record, name, zone
        self.events, self.pause = events, pause
        self.runs = {}
        """Body that was received, by request id."""
        self.tenants = {}
        self.hold = None
        """An `asyncio.Event`: streams wait for it before their last event."""

    async def start(self, address):
        self.address = address
        self.server = await asyncio.start_server(self.serve, *address, limit=1 << 22)

    def entry(self, service):
        return {
            "service": service,
            "address": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
            "born": int(time.time() * 1000),
        }

    async def serve(self, reader, writer):
        try:
            while True:
                req = await read_message(reader)
                await self.answer(req, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, req, writer):
        path = req.first.split(" ")[1]
        if path == "/healthz":
            writer.write(response(200, b"", [("Instance-Id", self.name)]))
            return
        if path == "/v1/report":
            report = {"stage": "both", "models": [], "busy": False, "sequence": 1, "waiting": 0,
                      "running": 0, "kv_used": 0, "kv_total": 10**6, "handles": 0}
            writer.write(response(200, json.dumps(report).encode(), [("Content-Type", "application/json")]))
            return
        request_id = req.get("request-id")
        if req.get("expect-instance", self.name) != self.name:
            writer.write(response(421, b"", [("Instance-Id", self.name)]))
            return
        if request_id is None:
            writer.write(response(400, b"", [("Not-Executed", "1")]))
            return
        self.runs[request_id] = req.body
        self.tenants[request_id] = req.get("tenant")
        self.record.add(f"engine {self.name} runs {request_id} ({len(req.body)} bytes)")
        if self.events == 0:
            await asyncio.sleep(self.pause)
            named = [("Request-Id", request_id), ("Response-Signature", f"{random.getrandbits(32):08x}")]
            writer.write(response(200, f"answer to {request_id}".encode(), named))
            return
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Signature: {random.randrange(1 << 32):08x}",
            "Content-Type: text/event-stream",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.pause)
            if number == self.events and self.hold is not None:
                await self.hold.wait()
            event = f"id: {number}\ndata: {piece(request_id, number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def piece(request_id, number):
    return f"piece {number} of {request_id}"


def output_of(request_id, events):
    return "".join(piece(request_id, n) + "\n" for n in range(1, events + 1))


# Processes


class Node:
    """A machine with one process of the project."""

    def __init__(self, rig, name, role, zone, ip, first_start):
        self.rig, self.name, self.role, self.zone, self.ip = rig, name, role, zone, ip
        self.first_start = first_start
        self.process = None
        self.folder = os.path.join(rig.folder, name)
        os.makedirs(self.folder, exist_ok=True)
        self.front = (ip, rig.port)
        self.ready = (ip, rig.port + 1)

    def settings(self):
        rig = self.rig
        lines = [
            f"node_name={self.name}",
            f"role={self.role}",
            f"machine_class={'front' if self.role == 'gateway' else 'storage'}",
            f"ip={self.ip}",
            f"zone={self.zone}",
            f"region={rig.region}",
            *[f"zones.{zone}={rig.region}" for zone in rig.zones],
            f"port_range={rig.port + 3},{rig.port + 18}",
            "seeds=" + ",".join(f"{ip}:{rig.port + 2}" for ip in rig.seeds),
            f"bootstrap={'true' if self.first_start else 'false'}",
            f"in_failure_budget={'false' if self.role == 'gateway' else 'true'}",
            "limits.cores=1",
            "discovery=platform",
            "entry=vip",
            "heartbeat_ms=1200",
            "provider.address=%s:%d" % rig.store_address,
            "provider.form=objects",
            "provider.writes_per_s=1200",
            "provider.reads_per_s=6000",
            "provider.history_s=20",
            "provider.value_bytes=1048576",
            "provider.ttl_min_ms=1000",
            *[f"{name}={value}" for name, value in rig.bounds.items()],
        ]
        if self.role == "gateway":
            lines += [
                "serves=front,control",
                f"listen.front={self.ip}:{rig.port}",
                f"listen.ready={self.ip}:{rig.port + 1}",
                f"listen.control={self.ip}:{rig.port + 2}",
                *[f"{name}={value}" for name, value in rig.front_limits.items()],
                "limits.disk_mb=0",
            ]
        else:
            lines += [
                "serves=storage",
                "limits.cpu_share=0.3",
                "limits.memory_mb=130",
                "limits.max_fds=8200",
                "limits.link_mbps=600.0",
                "limits.disk_mb=360",
                f"data_dir={os.path.join(self.folder, 'data')}",
            ]
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.folder, "settings.conf")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings())
        if self.role != "gateway":
            os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "CHICORYARCH_SETTINGS": path}
        self.process = subprocess.Popen(
            [PROGRAM, self.role], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.rig.record.add(f"start {self.name}")
        self.first_start = False

    def signal(self, number):
        self.rig.record.add(f"signal {number.name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def lose_disk(self):
        """The disk comes back empty. Only for a process that has ended."""
        self.rig.record.add(f"{self.name} has an empty disk")
        shutil.rmtree(os.path.join(self.folder, "data"))


class Rig:
    """A small deployment."""

    def __init__(self, case_folder, zones, bounds, fronts=1, storages=2):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones, self.region = zones, "r"
        self.bounds = bounds
        self.nodes = {}
        self.block = random.randrange(16, 240)
        self.port = free_ports(self.block)
        self.store_address = (f"127.{self.block}.0.1", self.port)
        self.store = Store(self.record)
        self.engines = {}
        self.fronts, self.storages = fronts, storages
        self.seeds = [self.ip(z, 0) for z in range(min(3, len(zones)))]
        self.front_limits = {
            "limits.cpu_share": 0.5,
            "limits.memory_mb": 512,
            "limits.max_fds": 8192,
            "limits.link_mbps": 200.0,
        }
        self.version = 0
        self.ids = 0

    def ip(self, zone, number):
        return f"127.{self.block}.{zone + 1}.{number + 10}"

    def add_node(self, name, role, zone_index, number, first_start):
        node = Node(self, name, role, self.zones[zone_index], self.ip(zone_index, number), first_start)
        self.nodes[name] = node
        return node

    async def start(self, routes, services, tenants, limits=None):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} has not been built")
        await self.store.start(self.store_address)
        self.routes, self.services, self.tenants = routes, services, tenants
        self.limits = limits or {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        for z, zone in enumerate(self.zones):
            for n in range(self.storages):
                self.add_node(f"storage-{zone}-{n + 1}", "archive", z, 100 + n, True)
            for n in range(self.fronts):
                self.add_node(f"front-{zone}-{n + 1}", "gateway", z, n, True)
        for node in self.nodes.values():
            node.start()
        await asyncio.sleep(1.0)
        await self.configure()
        self.configured = time.monotonic()

    async def configure(self):
        self.version += 7
        await self.store.put("config", "main", {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "limits": self.limits,
            "tenants": self.tenants,
        })

    async def add_engine(self, name, zone_index, service, cls=None, **kwargs):
        engine = (cls or Engine)(self.record, name, self.zones[zone_index], **kwargs)
        address = (f"127.{self.block}.{zone_index + 100}.{10 + len(self.engines)}", self.port)
        await engine.start(address)
        self.engines[name] = engine
        await self.store.put("servers", name, engine.entry(service))
        return engine

    async def wait_ready(self, nodes, limit=20):
        end = time.monotonic() + limit
        for node in nodes:
            while not await is_ready(node):
                if time.monotonic() > end:
                    raise CannotRun(f"{node.name} did not become ready")
                await asyncio.sleep(0.1)

    def new_id(self):
        self.ids += 1
        return f"{random.getrandbits(40):010x}{self.ids:06x}"

    async def call(self, node, path, headers, body=b"", method="POST", timeout=6.0):
        """One client attempt on a new channel. Returns the message, or the reason for none."""
        line = f"{headers.get('Request-Id')} to {node.name}"
        try:
            return await asyncio.wait_for(self.exchange(node, path, headers, body, method), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as e:
            self.record.add(f"client {line}: no answer ({type(e).__name__})")
            return None

    async def exchange(self, node, path, headers, body, method):
        line = f"{headers.get('Request-Id')} to {node.name}"
        reader, writer = await asyncio.open_connection(*node.front, limit=1 << 22)
        try:
            fields = {"Host": "agents.example", "Content-Length": str(len(body)), **headers}
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            previous = f", previous {headers['Previous-Turn']}" if "Previous-Turn" in headers else ""
            self.record.add(f"client sends {line}{previous}")
            writer.write(head.encode() + b"\r\n" + body)
            answer = await read_message(reader, is_response=True)
            self.record.add(f"client {line}: {answer.first.split(' ')[1]}")
            return answer
        finally:
            writer.close()

    def status_of(self, answer):
        return int(answer.first.split(" ")[1]) if answer else None

    async def close(self):
        for node in self.nodes.values():
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def is_ready(node):
    try:
        reader, writer = await asyncio.open_connection(*node.ready)
        writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(read_message(reader, is_response=True), 1)
        writer.close()
        return answer.first.split(" ")[1] == "200"
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return False


def free_ports(block):
    """First of 20 ports below the ephemeral ones that no process listens on."""
    for _ in range(100):
        first = random.randrange(20000, 30000, 20)
        sockets = []
        try:
            for port in range(first, first + 20):
                s = socket.socket()
                sockets.append(s)
                s.bind(("0.0.0.0", port))
            return first
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun("no free ports")


# Turns that the system keeps

KEPT_ROUTE = {
    "name": "r-kept",
    "host": "agents.example",
    "path_prefix": "/kept/",
    "route_type": "streaming",
    "timeout_ms": 4000,
    "target_latency_ms": 200,
    "priority": 0,
    "service": "llm",
    "max_attempts": 2,
    "retain_context": True,
    "retention_s": 60.0,
    "public": False,
    "sticky": True,
    "resumable": False,
    "gap_aim_ms": 200,
}
LLM = {
    "name": "llm",
    "health_path": "/healthz",
    "max_connections": 480,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "slots": 64, "kv_capacity_tokens": 10_000_000, "kv_token_bytes": 18432, "link_mbps": 88000.0,
        "moves": True, "backups": True, "stream_stride": 4, "most": 12, "pin_ms": 4000.0,
        "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}],
    },
}
TENANT = {"name": "tenant-a", "api_keys": ["key-of-tenant-a"], "priority": 1, "rate_per_s": 0, "burst": 0}

# As in the settings of `demands/ceqs-redazione-grown.toml`.
BOUNDS = {
    "contracts": "base,drain,config,cost,recover,health,pool,agent,stream,engine,tenants,quota,pressure,platform",
    "fault_tolerance.machines": 2,
    "fault_tolerance.zones": 1,
    "fault_tolerance.regions": 0,
    "bounds.seed_lag_s": 3,
    "bounds.reuse_after_s": 2,
    "bounds.contact_ms": 4000,
    "bounds.ack_ms": 6000,
    "bounds.catch_up_s": 6,
    "bounds.drain_ms": 3000,
    "bounds.grace_s": 8,
    "bounds.loss_slack_ms": 200,
    "bounds.config_apply_ms": 3000,
    "bounds.rollback_slack_ms": 250,
    "bounds.max_stretch_ms": 6000,
    "bounds.revoke_everywhere": "false",
    "bounds.revoke_ms": 5000,
    "bounds.quota_window_s": 5,
    "bounds.quota_overshoot": 0.1,
    "bounds.quota_slack": 20,
    "bounds.recover_s": 15,
    "bounds.pass_ms": 200,
    "bounds.again_s": 0,
    "bounds.finish_s": 10,
    "bounds.settle_ms": 1000,
}


class Turn:
    """A turn that was answered whole."""

    def __init__(self, request_id, program, chain, ended):
        self.id, self.program, self.chain, self.ended = request_id, program, chain, ended


async def turn(rig, node, program, text, previous=None, events=3):
    """Sends a turn. Returns its status and, if it was answered whole, the turn."""
    request_id = rig.new_id()
    headers = {
        "Request-Id": request_id,
        "Program-Id": program,
        "Session-Id": f"s-{program}",
        "Program-Deadline-Ms": "20000",
        "Token-Budget": "100000",
        "Token-Usage": f"{max(1, len(text) // 4)},16",
        "Prompt-Prefix": f"{random.getrandbits(32):08x}:{max(1, len(text) // 4)}",
        "Model": "m",
        "Deadline-Ms": "4000",
        "Credential": TENANT["api_keys"][0],
    }
    if previous:
        headers["Previous-Turn"] = previous.id
    answer = await rig.call(node, "/kept/turn", headers, text.encode())
    status = rig.status_of(answer)
    whole = output_of(request_id, events)
    got = "".join(
        line[len("data: "):] + "\n"
        for line in (answer.body.decode() if answer else "").split("\n")
        if line.startswith("data: ")
    )
    if status != 200 or got != whole:
        return status, None, request_id
    before = previous.chain if previous else ""
    return status, Turn(request_id, program, before + text + whole, time.monotonic()), request_id


def run(case_folder, main):
    """Runs a case and exits with its status."""
    async def guarded():
        rigs = []
        try:
            return await asyncio.wait_for(main(case_folder, rigs), 115)
        finally:
            for rig in rigs:
                await rig.close()

    try:
        broken = asyncio.run(guarded())
    except Exception as e:  # Also a fault of the script itself is no broken rule.
        print(f"could not run: {e!r}")
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
