"""Small stand-ins for the review's scripts: the platform's store, engines and
plain services, network paths between machines, and callers.

They follow the users' pages. Where a page is silent they behave soundly.
Everything listens on loopback addresses.
"""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "chicoryarch")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up; it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self(text)
        try:
            print(text, flush=True)
        except OSError:
            # Nobody reads it; the record has it.
            pass


# --- HTTP/1.1 -----------------------------------------------------------


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_chunked(reader, on_data=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
        if on_data:
            on_data(data[:-2])


async def read_body(reader, headers, on_data=None, is_answer=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunked(reader, on_data)
    length = headers.get("content-length")
    if length is None:
        return await reader.read() if is_answer else b""
    data = await reader.readexactly(int(length))
    if on_data:
        on_data(data)
    return data


def reset(writer):
    """Resets a connection as a network device or a failing peer does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def free_ports(addresses, count):
    """Returns ports that are free on all addresses. They lie below the range
    from which the system takes ports for outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randrange(12000, 32000)
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


# --- The platform's store -------------------------------------------------


class Store:
    """Objects with versions, conditional writes, lists and watches."""

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.has_views = False

    def revision_of(self, kind):
        """The store's revision. While machines see engines at addresses of their
        own, a list of engines is only newer than another if it has changed, so
        that machines don't take each other's addresses."""
        if not self.has_views or kind != "servers":
            return self.revision
        return max((r for r, k, _, _ in self.history if k == kind), default=1)

    async def put(self, kind, name, spec):
        self.revision += 1
        before = self.objects.get((kind, name))
        created = before["metadata"]["create_revision"] if before else self.revision
        self.objects[kind, name] = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_revision": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": before["status"] if before else None,
        }
        self.history.append((self.revision, kind, json.dumps(self.objects[kind, name]), False))
        async with self.changed:
            self.changed.notify_all()
        return self.objects[kind, name]

    async def delete(self, kind, name):
        entry = self.objects.pop((kind, name))
        self.revision += 1
        self.history.append((self.revision, kind, json.dumps(entry), True))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, host, translate=None):
        """Serves the objects at a free port; `translate` maps addresses in
        what this port answers."""

        async def connection(reader, writer):
            try:
                while True:
                    head = await read_head(reader)
                    if head is None:
                        break
                    body = await read_body(reader, head[1])
                    method, target, _ = head[0].split(" ")
                    status, answer = await self.handle(method, target, body, translate)
                    data = json.dumps(answer).encode()
                    if translate:
                        data = translate(data.decode()).encode()
                    writer.write(
                        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                    )
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(connection, host, 0)
        return server.sockets[0].getsockname()[:2]

    async def handle(self, method, target, body, translate):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, None
        await asyncio.sleep(0.004)
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET" and name is None:
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            page = names[:500]
            return 200, {
                "items": [self.objects[kind, n] for n in page],
                "truncated": len(names) > len(page),
                "store_revision": self.revision_of(kind),
            }
        if method == "GET":
            entry = self.objects.get((kind, name))
            return (200, entry) if entry else (404, None)
        sent = json.loads(body) if body else {}
        metadata = sent.get("metadata") or {}
        if method == "POST":
            name = metadata["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, await self.put(kind, name, sent.get("spec"))
        entry = self.objects.get((kind, name))
        if entry is None:
            return 404, None
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and int(expected) != entry["metadata"]["revision"]:
            return 409, entry
        if method == "DELETE":
            await self.delete(kind, name)
            return 200, None
        if len(parts) > 4 and parts[4] == "status":
            entry["status"] = sent.get("status")
            return 200, entry
        if entry["spec"] == sent.get("spec"):
            return 200, entry
        return 200, await self.put(kind, name, sent.get("spec"))

    async def watch(self, kind, since, wait_ms):
        limit = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            events = [
                {"object": json.loads(text), "deleted": deleted}
                for revision, k, text, deleted in self.history
                if k == kind and revision > since
            ]
            left = limit - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision_of(kind)}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# --- Engines and plain services --------------------------------------------


class Endpoint:
    """A server. `answer(endpoint, request)` is awaited for each request that
    it runs; the request offers `head`, `events` and `plain`."""

    def __init__(self, record, name, service, zone, version="v1"):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.born = int(time.time() * 1000)
        self.extra_headers = {}
        self.events = 8
        self.event_pause = 0.02
        self.work = 0.02
        self.runs = []
        self.arrivals = []
        self.open = {}

    async def start(self, host):
        self.server = await asyncio.start_server(self.connection, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": self.version,
            "slots": 24,
            "state": state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [],
            "sequence": 1,
            "born": self.born,
        }

    async def connection(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                headers = head[1]
                await read_body(reader, headers)
                if not await self.request(head[0], headers, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, RuntimeError):
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()

    async def request(self, line, headers, reader, writer):
        request = headers.get("request-id", "")
        method, path, _ = line.split(" ")
        extra = "".join(f"{k}: {v}\r\n" for k, v in self.extra_headers.items())
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.name}\r\n"
                f"Request-Id: {request}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
            return True
        run = {
            "at": self.record.now(),
            "id": request,
            "path": path,
            "after": int(headers.get("last-event-id", 0)),
            "program": headers.get("program-id"),
            "sent": 0,
        }
        self.arrivals.append(run["at"])
        self.runs.append(run)
        self.record(f"{self.name} runs {request} after event {run['after']}")
        common = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
            f"Response-Signature: standin.{self.name}\r\nServer-Load: {len(self.open)},0,24\r\n{extra}"
        )
        self.open[writer] = run
        try:
            if "token-usage" in headers:
                await self.stream(common, run, headers, writer)
            else:
                await asyncio.sleep(self.work)
                body = b"done " + request.encode()
                writer.write(common.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        finally:
            self.open.pop(writer, None)
        self.record(f"{self.name} answered {request}")
        return True

    async def stream(self, common, run, headers, writer):
        writer.write(
            common.encode()
            + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(run["after"] + 1, self.events + 1):
            await asyncio.sleep(self.event_pause)
            if writer.transport.is_closing():
                raise ConnectionError
            event = f"id: {number}\ndata: piece {number} of {run['id']}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            run["sent"] += 1
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def stop(self):
        self.server.close()


# --- Paths between machines -----------------------------------------------


class Paths:
    """Proxies in front of addresses, as machines reach them. A path whose target
    is in `cut` carries nothing, as behind a partition."""

    def __init__(self):
        self.cut = set()
        self.silenced = {}
        self.servers = {}
        self.writers = {}

    async def proxy(self, host, port, target, to):
        """Starts a proxy for a target: a machine, or a name of one's own."""

        async def connection(reader, writer):
            link = Link(self, target)
            await link.wait_while_cut()
            if reader.at_eof():
                writer.close()
                return
            try:
                up_reader, up_writer = await asyncio.open_connection(*to)
            except OSError:
                reset(writer)
                return
            pair = (writer, up_writer)
            self.writers.setdefault(target, set()).add(pair)
            await asyncio.gather(link.pump(reader, up_writer), link.pump(up_reader, writer))
            self.writers.get(target, set()).discard(pair)

        server = await asyncio.start_server(connection, host, port)
        self.servers[target] = server
        return server.sockets[0].getsockname()[:2]

    def silence(self, target):
        """Silences a proxy's open connections for good; new ones work."""
        self.silenced[target] = time.monotonic()

    def refuse(self, target):
        """Resets a proxy's connections and refuses new ones."""
        self.servers[target].close()
        for pair in self.writers.pop(target, set()):
            for writer in pair:
                reset(writer)


class Link:
    """A connection through a proxy."""

    def __init__(self, paths, target):
        self.paths, self.target = paths, target
        self.opened = time.monotonic()

    def is_cut(self):
        if self.paths.silenced.get(self.target, 0) > self.opened:
            return True
        return self.target in self.paths.cut

    async def wait_while_cut(self):
        while self.is_cut():
            await asyncio.sleep(0.02)

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.wait_while_cut()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            await self.wait_while_cut()
            writer.close()


# --- Gateways ----------------------------------------------------------------


class Gateway:
    def __init__(self, fleet, name, zone, number):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.ip = f"127.0.{10 + number}.1"
        self.outside = f"127.0.{110 + number}.1"
        self.process = None

    def address(self, what):
        return self.ip, self.fleet.ports[what]

    def settings(self, bootstrap):
        front, ready, control = (self.fleet.ports[p] for p in ("front", "ready", "control"))
        seeds = ",".join(f"{g.outside}:{control}" for g in self.fleet.gateways[:3])
        zones = sorted({g.zone for g in self.fleet.gateways})
        lines = [
            f"node_name={self.name}",
            "role=gateway",
            "machine_class=front",
            "serves=front,control",
            f"ip={self.ip}",
            f"zone={self.zone}",
            "region=r",
            *(f"zones.{zone}=r" for zone in zones),
            f"listen.front={self.ip}:{front}",
            f"listen.ready={self.ip}:{ready}",
            f"listen.control={self.ip}:{control}",
            f"seeds={seeds}",
            f"bootstrap={'true' if bootstrap else 'false'}",
            "in_failure_budget=false",
            "limits.cpu_share=0.25",
            "limits.cores=1",
            "limits.memory_mb=260",
            "limits.max_fds=4100",
            "limits.link_mbps=1000.0",
            "limits.disk_mb=0",
            "discovery=platform",
            "entry=vip",
            "heartbeat_ms=1200",
            "fault_tolerance.machines=1",
            "fault_tolerance.zones=1",
            "bounds.contact_ms=3000",
            "bounds.drain_ms=2000",
            "bounds.grace_s=8",
            "bounds.config_apply_ms=2000",
            f"provider.address={self.store[0]}:{self.store[1]}",
            "provider.form=objects",
            "provider.writes_per_s=400",
            "provider.reads_per_s=2000",
            "provider.history_s=20",
            "provider.value_bytes=1048576",
        ]
        return "\n".join(lines) + "\n"

    def start(self, bootstrap=True):
        path = os.path.join(self.fleet.folder, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(bootstrap))
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "gateway"],
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "CHICORYARCH_SETTINGS": path},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.fleet.record(f"{self.name} started")

    def log(self):
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), encoding="utf-8") as file:
            return file.read()

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(call(self.address("ready"), "GET", "/v1/readyz", {}), 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer["status"] == 200

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Fleet:
    """The store, endpoints and gateways of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.paths = Paths()
        self.gateways, self.endpoints, self.views = [], [], {}

    async def begin(self, zones):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.store = Store()
        self.gateways = [Gateway(self, f"front-{zone}-{n}", zone, n) for n, zone in enumerate(zones)]
        addresses = [a for g in self.gateways for a in (g.ip, g.outside)]
        ports = free_ports(addresses, 3)
        self.ports = dict(zip(("front", "ready", "control"), ports))
        control = self.ports["control"]

        for gateway in self.gateways:
            await self.paths.proxy(
                gateway.outside, control, gateway.name, gateway.address("control")
            )
            at = await self.store.serve("127.0.0.1", lambda text, g=gateway: self.seen_by(g, text))
            # The machine's path to the store, cut off like those to others.
            gateway.store = await self.paths.proxy("127.0.0.1", 0, f"store of {gateway.name}", at)

    def seen_by(self, gateway, text):
        """What the store says, with the addresses by which a machine reaches
        the others."""
        control = self.ports["control"]
        for other in self.gateways:
            text = text.replace(f'"{other.ip}:{control}"', f'"{other.outside}:{control}"')
        for (machine, address), own in self.views.items():
            if machine == gateway.name:
                text = text.replace(f'"{address[0]}:{address[1]}"', f'"{own[0]}:{own[1]}"')
        return text

    def cut_off(self, names):
        """Cuts machines off from all others and from the store. The paths of the
        others to each other are not kept apart, so one may be left at most."""
        if len(self.gateways) - len(names) > 1:
            raise CannotRun("more than one machine is left")
        self.paths.cut.update(gateway.name for gateway in self.gateways)
        self.paths.cut.update(f"store of {name}" for name in names)

    async def own_path(self, gateway, endpoint):
        """Gives a machine a path of its own to an endpoint, before it starts."""
        self.store.has_views = True
        name = f"{gateway.name} to {endpoint.name}"
        own = await self.paths.proxy("127.0.0.1", 0, name, endpoint.address)
        self.views[gateway.name, endpoint.address] = own
        return name

    async def endpoint(self, name, service, zone, version="v1"):
        """Starts and lists an endpoint."""
        endpoint = await Endpoint(self.record, name, service, zone, version).start("127.0.0.1")
        self.endpoints.append(endpoint)
        await self.store.put("servers", name, endpoint.entry())
        return endpoint

    async def ready(self, limit=20):
        end = time.monotonic() + limit
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{gateway.name} is not ready")
                await asyncio.sleep(0.05)

    def close(self):
        for gateway in self.gateways:
            gateway.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(to, method, path, headers, body=b"", timeout=30, on_data=None):
    """Sends one request on a new channel and reads its answer. `is_whole` tells
    whether the answer arrived complete."""
    reader, writer = await asyncio.open_connection(*to)
    answer = {"status": 0, "headers": {}, "body": b"", "is_whole": False}
    try:
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        if "host" not in {k.lower() for k in headers}:
            lines = "Host: x.example\r\n" + lines
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}{length}\r\n".encode() + body)
        await writer.drain()

        async def receive():
            head = await read_head(reader)
            if head is None:
                return
            answer["status"], answer["headers"] = int(head[0].split(" ")[1]), head[1]

            def collect(data):
                answer["body"] += data
                if on_data:
                    on_data(data)

            await read_body(reader, head[1], collect, is_answer=True)
            answer["is_whole"] = True

        await asyncio.wait_for(receive(), timeout)
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()
    return answer


class Channel:
    """A caller's channel that is kept for many requests."""

    def __init__(self, to):
        self.to = to
        self.writer = None

    async def request(self, method, path, headers, body=b"", timeout=30):
        answer = {"status": 0, "headers": {}, "body": b"", "is_whole": False}
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.to)
            lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
            self.writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: x.example\r\n{lines}{length}\r\n".encode()
                + body
            )
            await self.writer.drain()
            head = await asyncio.wait_for(read_head(self.reader), timeout)
            if head is None:
                raise ConnectionError
            answer["status"], answer["headers"] = int(head[0].split(" ")[1]), head[1]
            answer["body"] = await asyncio.wait_for(read_body(self.reader, head[1]), timeout)
            answer["is_whole"] = True
            if head[1].get("connection", "").lower() == "close":
                raise ConnectionError
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            if self.writer:
                self.writer.close()
            self.writer = None
        return answer


def configuration(routes, services, tenants, version=1):
    """An operator's configuration; `routes` and `services` hold what differs
    from a usual one."""
    usual = {
        "host": "x.example",
        "timeout_ms": 6000,
        "target_latency_ms": 250,
        "priority": 0,
        "max_attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return {
        "version": version,
        "routes": [{**usual, **route} for route in routes],
        "services": [
            {"health_path": "/healthz", "max_connections": 200, **service} for service in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"rate_per_s": 0, "burst": 0, **tenant} for tenant in tenants],
    }


ENGINES = {
    "name": "engines",
    "engine": {"slots": 24, "kv_capacity_tokens": 400000, "stream_stride": 5},
}
TURNS = {
    "name": "turns",
    "path_prefix": "/turns/",
    "route_type": "streaming",
    "service": "engines",
    "sticky": True,
    "resumable": True,
    "gap_aim_ms": 250,
}
TENANT = {"name": "t", "api_keys": ["key"]}


# --- Choice of a host by rendezvous hash, as all gateways make it ------------

MASK = (1 << 64) - 1


def hash_of(name):
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:8], "big")


def mix(bits):
    bits ^= bits >> 30
    bits = bits * 0xBF58476D1CE4E5B9 & MASK
    bits ^= bits >> 27
    bits = bits * 0x94D049BB133111EB & MASK
    return bits ^ (bits >> 31)


def home_of(name, machines):
    return max(machines, key=lambda machine: mix(hash_of(machine) ^ hash_of(name)))


def run(case, folder):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held and 2
    if the case could not run."""
    fleet = Fleet(folder)

    async def guarded():
        return await asyncio.wait_for(case(fleet), 110)

    def stop(_signal, _frame):
        fleet.record.say("the case could not run: it took too long, or was stopped")
        finish(fleet, 2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(115)
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(guarded())
    except BaseException as error:  # Whatever it is, the processes have to end.
        fleet.record.say(f"the case could not run: {error!r}")
        finish(fleet, 2)
    fleet.record.say("the rule was broken" if broken else "the rule held")
    finish(fleet, 1 if broken else 0)


def finish(fleet, code):
    fleet.close()
    fleet.record.file.close()
    # Without the interpreter's complaints about connections that are open.
    os._exit(code)
