"""Stand-ins of the users' platform: the store, engines, a balancer's probe and
the machines that run the project's programs. They follow PROTOCOL.md and
DEPLOY.md; all addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Message:
    """One HTTP/1.1 message."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def read_message(reader):
    """Reads a message whose body has a length or comes in chunks."""
    first, headers = await read_head(reader)
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            data = await read_chunk(reader)
            if not data:
                break
            body += data
    elif int(headers.get("content-length", 0)) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body)


def head_bytes(status, headers, reason="Status"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def answer(writer, status, body=b"", headers=None):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = {"Content-Type": "application/json", **(headers or {})}
    all_headers = {**(headers or {}), "Content-Length": str(len(body))}
    writer.write(head_bytes(status, all_headers) + body)
    await writer.drain()


class Store:
    """The platform's key-value store. Each machine has a listener of its own,
    so that a fault can concern one machine."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.servers = []
        self.cut_off = set()
        self.channels = {}  # machine -> its open channels
        # Called with machine and transaction; True: the answer is lost.
        self.loses_answer = lambda machine, call: False

    async def listen(self, ip, machine):
        async def serve(reader, writer):
            await self.serve(machine, reader, writer)

        server = await asyncio.start_server(serve, ip, 0)
        self.servers.append(server)
        return f"{ip}:{server.sockets[0].getsockname()[1]}"

    def cut(self, machine):
        """Turns a machine away: its channels are reset, and so is each new
        one."""
        self.cut_off.add(machine)
        for writer in list(self.channels.get(machine, ())):
            writer.transport.abort()

    def heal(self):
        self.cut_off.clear()

    async def change(self, key, value, lease=0):
        """Puts a value (bytes), or removes the key if it is None."""
        async with self.changed:
            self.revision += 1
            self.apply(key, value, lease)
            self.changed.notify_all()
            return self.revision

    def apply(self, key, value, lease):
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "rev": self.revision, "tombstone": True}
        else:
            created = self.items.get(key, {}).get("createRevision",
                                                  self.revision)
            event = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "rev": self.revision,
                "createRevision": created,
                "lease": lease,
            }
            self.items[key] = event
        self.history.append(event)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (end, _) in list(self.leases.items()):
                if now >= end:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.record.line(f"store: lease ends, key {key} removed")
                await self.change(key, None)

    async def serve(self, machine, reader, writer):
        if machine in self.cut_off:
            writer.transport.abort()
            return
        channels = self.channels.setdefault(machine, set())
        channels.add(writer)
        try:
            while True:
                call = await read_message(reader)
                status, body, lost = await self.handle(machine, call)
                if lost:
                    # The channel returns nothing further.
                    await asyncio.sleep(3600)
                await answer(writer, status, body)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            channels.discard(writer)
            writer.close()

    async def handle(self, machine, call):
        method, target, _ = call.first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        path = url.path
        if path == "/sapphireyoke/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}, False
            return 200, {**item, "storeRevision": self.revision}, False
        if path == "/sapphireyoke/kv-range":
            prefix = query.get("prefix", "")
            after = query.get("after", "")
            found = [
                self.items[key] for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                "items": found[:500],
                "truncated": len(found) > 500,
                "storeRevision": self.revision
            }, False
        if path == "/sapphireyoke/kv-watch":
            return 200, await self.watch(query), False
        if path == "/sapphireyoke/kv-txn":
            return await self.transact(machine, json.loads(call.body))
        if path == "/sapphireyoke/kv-lease":
            ttl = json.loads(call.body)["ttlMs"]
            lease = random.randrange(1, 1 << 47)
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}, False
        if path.startswith("/sapphireyoke/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}, False
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}, False
        if path.startswith("/sapphireyoke/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}, False
        return 404, {}, False

    async def watch(self, query):
        prefix = query.get("prefix", "")
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        async with self.changed:
            while True:
                events = [
                    it for it in self.history
                    if it["rev"] > after and it["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, machine, call):
        lost = self.loses_answer(machine, call)
        async with self.changed:
            rows = call.get("expect", [])
            if any(
                    self.items.get(it["key"], {"rev": 0})["rev"] != it["rev"]
                    for it in rows):
                current = [
                    self.items.get(it["key"], {
                        "key": it["key"],
                        "rev": 0
                    }) for it in rows
                ]
                return 412, {"items": current}, lost
            for it in call.get("puts", []):
                if it.get("lease", 0) and it["lease"] not in self.leases:
                    return 404, {}, lost
            self.revision += 1
            for it in call.get("puts", []):
                self.apply(it["key"], base64.b64decode(it["value"]),
                           it.get("lease", 0))
            for key in call.get("remove", []):
                self.apply(key, None, 0)
            self.changed.notify_all()
            return 200, {"rev": self.revision}, lost


class PlainEngine:
    """An engine of a plain service: `slots` requests at once, a short queue,
    then 503 with X-Not-Run."""

    def __init__(self, record, name, service, slots=6, queue=24, work_s=0.06):
        self.record = record
        self.id = name
        self.service = service
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.free = asyncio.Semaphore(slots)
        self.taken = 0
        self.runs = {}
        self.address = ""
        self.sequence = 0

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.server = server
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self.sequence
        }).encode()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                await self.handle(request, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, request, writer):
        request_id = request.get("X-Request-Id")
        if request.get("X-Expect-Instance", self.id) != self.id:
            await answer(writer, 421, headers={"X-Instance-Id": self.id})
            return
        if self.taken >= self.slots + self.queue:
            await answer(writer, 503, headers={"X-Not-Run": "1"})
            return
        self.taken += 1
        try:
            async with self.free:
                self.runs[request_id] = self.runs.get(request_id, 0) + 1
                self.record.line(f"engine {self.id}: runs {request_id}, "
                                 f"{len(request.body)} bytes")
                await asyncio.sleep(self.work_s)
        finally:
            self.taken -= 1
        await answer(
            writer, 200, b"done " + request_id.encode(), {
                "X-Request-Id": request_id,
                "X-Response-Stamp": f"{self.id}.{request_id}",
                "X-Instance-Id": self.id
            })


class Machine:
    """A machine that runs one of the project's programs, as the deploy file
    and its template say."""

    def __init__(self, record, folder, role, values):
        self.record = record
        self.role = role
        self.name = values["nodeName"]
        self.process = None
        self.exits = []
        self.path = os.path.join(folder, self.name + ".toml")
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        deploy = open(os.path.join(ROOT, "deploy", "system.toml"),
                      encoding="utf-8").read()
        section = deploy.split(f"[roles.{role}]")[1].split("[roles.")[0]
        run = re.search(r'run = "([^"]+)"', section).group(1).split(" ")
        template = re.search(r'template = "([^"]+)"', section).group(1)
        self.command = [
            os.path.join(ROOT, run[0]), *[
                self.path if it == "/etc/sapphireyoke/node.toml" else it
                for it in run[1:]
            ]
        ]
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            text = render(file.read(), values)
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
            env={
                "PATH": os.environ["PATH"],
                "SAPPHIREYOKE_NODE_FILE": self.path
            })
        self.record.line(f"platform: starts {self.name}")

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm",
                      encoding="ascii") as file:
                pages = int(file.read().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        except (OSError, IndexError):
            return 0.0


async def end_all(machines):
    """Ends the processes of the machines."""
    for it in machines:
        it.kill()
    for it in machines:
        if it.process:
            await it.process.wait()


def render(text, values):
    """Fills in a template as DEPLOY.md says, for the sections that the
    project's templates use."""

    def lookup(path):
        value = values
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                return None
        return value

    def show(value):
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    def section(match):
        value = lookup(match.group(1))
        if value is None or value is False:
            return ""
        return match.group(2).replace("{{.}}", show(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: show(lookup(it.group(1))),
                  text)


# The figures of the site file, sites/meander-cabins.toml.
BOUNDS = {
    "stableMs": 3000,
    "graceS": 8,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retryExtra": 56,
    "leaseMs": 3000,
    "thawMs": 300,
}


async def is_ready(address):
    """The balancer's probe."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1)
        writer.write(b"GET /sapphireyoke/readyz HTTP/1.1\r\n"
                     b"Host: probe\r\nConnection: close\r\n\r\n")
        first = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in first
    except (OSError, asyncio.TimeoutError):
        return False


async def wait_ready(addresses, limit=20):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if all([await is_ready(it) for it in addresses]):
            return True
        await asyncio.sleep(0.1)
    return False


class ModelEngine:
    """A model engine that holds one model and loads its adapters. It answers
    its own machine at `own_address` with fresh reports, all others with
    reports that are `report_lag_s` old."""

    def __init__(self, record, name, service, model, adapter_slots=8,
                 report_lag_s=0.1):
        self.record = record
        self.id = name
        self.service = service
        self.model = model
        self.adapter_slots = adapter_slots
        self.report_lag_s = report_lag_s
        self.adapters = {}  # name -> "coming" or "held"
        self.sequence = 0  # of orders
        self.beats = 0
        self.running = 0
        self.orders = []  # (time, holder, fence, text, status)
        self.states = []  # (time, report)
        self.address = ""
        self.own_address = ""
        self.remember()

    async def start(self, ip, own_ip):
        server = await asyncio.start_server(
            lambda r, w: self.serve(r, w, True), own_ip, 0)
        port = server.sockets[0].getsockname()[1]
        other = await asyncio.start_server(
            lambda r, w: self.serve(r, w, False), ip, port)
        self.servers = [server, other]
        self.address = f"{ip}:{port}"
        self.own_address = f"{own_ip}:{port}"

    def models(self):
        held = [f"{name}@1" for name, state in self.adapters.items()
                if state == "held"]
        return [{"name": self.model, "version": 1, "adapters": held}]

    def entry(self):
        self.beats += 1
        return json.dumps({
            "service": self.service, "address": self.address,
            "zone": "zone-a", "version": "v1", "slots": 64,
            "state": "ready", "coldLeftMs": 0, "stage": "unified",
            "models": self.models(), "seq": self.beats
        }).encode()

    def report(self):
        coming = [f"{self.model}/{name}@1"
                  for name, state in self.adapters.items()
                  if state == "coming"]
        return {
            "stage": "unified", "models": self.models(), "busy": False,
            "seq": self.sequence, "waiting": 0, "running": self.running,
            "kvUsed": 0, "kvTotal": 131932, "handles": 0, "coming": coming,
            "state": "ready", "runs": []
        }

    def remember(self):
        now = time.monotonic()
        self.states.append((now, self.report()))
        while len(self.states) > 1 and self.states[1][0] < now - 1:
            self.states.pop(0)

    def lagging_report(self):
        limit = time.monotonic() - self.report_lag_s
        old = [report for at, report in self.states if at <= limit]
        return old[-1] if old else self.states[0][1]

    async def serve(self, reader, writer, is_own):
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.first.split(" ")
                if request.get("X-Expect-Instance", self.id) != self.id:
                    await answer(writer, 421,
                                 headers={"X-Instance-Id": self.id})
                elif target == "/sapphireyoke/report":
                    report = self.report() if is_own else self.lagging_report()
                    await answer(writer, 200, report)
                elif target == "/sapphireyoke/order":
                    status = self.order(json.loads(request.body))
                    await answer(writer, status, {})
                else:
                    await self.generate(request, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    def order(self, call):
        status = self.decide(call)
        text = f"{call['op']} {call['model']}/{call.get('adapter', '')}"
        self.orders.append((self.record.now(), call["holder"], call["fence"],
                            text, status))
        self.record.line(f"engine {self.id}: order {text} expect "
                         f"{call.get('expect')} holder {call['holder']} "
                         f"fence {call['fence']} -> {status}")
        self.remember()
        return status

    def decide(self, call):
        adapter = call.get("adapter")
        if not adapter or call["model"] != self.model:
            return 400
        load = call["op"] == "load"
        if load == (adapter in self.adapters):
            return 200
        if call.get("expect", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        if not load:
            del self.adapters[adapter]
            return 200
        self.adapters[adapter] = "coming"
        asyncio.get_running_loop().call_later(0.012, self.loaded, adapter)
        return 202

    def loaded(self, adapter):
        self.adapters[adapter] = "held"
        self.remember()

    async def generate(self, request, writer):
        request_id = request.get("X-Request-Id")
        model, _, adapter = request.get("X-Model").partition("/")
        missing = adapter and self.adapters.get(adapter) != "held"
        if model != self.model or missing:
            await answer(writer, 421, headers={"X-Instance-Id": self.id})
            return
        self.running += 1
        self.remember()
        try:
            writer.write(head_bytes(200, {
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
                "X-Request-Id": request_id,
                "X-Response-Stamp": f"{self.id}.{request_id}"}))
            for n in range(5):
                event = f"id: {n + 1}\ndata: token {n + 1}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.01)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
            self.remember()
