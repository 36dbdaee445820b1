"""Stand-ins of the platform, its store, engines and clients for the cases 4 to 8.

They speak what PROTOCOL.md says, on loopback addresses, and keep all state in
memory. A case starts the project's two programs with Deployment, sends requests
with call() and writes what it has seen with Record.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ENTRY = "target/bin/sapphire-platform-entry"
ENDPOINT = "target/bin/sapphire-platform-endpoint"
HOST = "desk.example"


class CannotRun(Exception):
    """The case could not be played; it says nothing of the rule."""


class Record:
    """What was sent, answered and run, one line each, with seconds."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def common_port(addresses):
    """A port that is free at all of these addresses."""
    for _ in range(200):
        port = random.randint(20000, 60000)
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


class Message:
    """A request or the head of an answer."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_message(reader):
    message = await read_head(reader)
    if "chunked" in (message.get("Transfer-Encoding") or "").lower():
        message.body = await read_chunks(reader)
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    return message


def answer_bytes(status, headers, body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, "OK" if status == 200 else "Answer")]
    lines += ["%s: %s" % it for it in headers]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """An HTTP/1.1 server; handle(message, writer) writes the answer and returns
    False to close the channel."""

    def __init__(self, address):
        self.address = address
        self.server = None

    async def listen(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if await self.handle(message, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, message, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    HISTORY = 10000

    def __init__(self, address):
        super().__init__(address)
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Condition()

    async def put(self, key, value, lease=0):
        """Writes as the operator or an engine does. Returns the revision."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        await self._notify()
        return self.revision

    async def delete(self, key):
        if key in self.items:
            self.revision += 1
            self._delete(key)
            await self._notify()

    def _put(self, key, value, lease):
        created = self.items.get(key, {}).get("createRevision", self.revision)
        item = {"key": key, "value": value, "rev": self.revision,
                "createRevision": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)

    def _delete(self, key):
        self.items.pop(key, None)
        self.events.append({"key": key, "rev": self.revision, "tombstone": True})

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now >= until:
                    await self._end_lease(lease)

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, it in self.items.items() if it["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            await self._notify()

    async def handle(self, message, writer):
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        args = {}
        for pair in query.split("&"):
            key, _, value = pair.partition("=")
            args[key] = _unquote(value)
        body = json.loads(message.body) if message.body else {}
        status, reply = await self._call(method, path, args, body)
        writer.write(answer_bytes(status, [("Content-Type", "application/json")],
                                  json.dumps(reply).encode()))

    async def _call(self, method, path, args, body):
        name = path.split("/")[2]
        if name == "kv-key":
            item = self.items.get(args["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, dict(item, storeRevision=self.revision)
        if name == "kv-range":
            items = [self.items[k] for k in sorted(self.items)
                     if k.startswith(args.get("prefix", ""))
                     and k > args.get("after", "")]
            return 200, {"items": items[:500], "truncated": len(items) > 500,
                         "storeRevision": self.revision}
        if name == "kv-watch":
            return await self._watch(args)
        if name == "kv-txn":
            return await self._txn(body)
        if name == "kv-lease":
            self.next_lease += 1
            ttl = max(1000, min(600000, body["ttlMs"]))
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(path.split("/")[3])
        if lease not in self.leases:
            return 404, {}
        if name == "kv-keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        await self._end_lease(lease)
        return 200, {}

    async def _watch(self, args):
        after = int(args["after"])
        end = time.monotonic() + int(args["waitMs"]) / 1000
        while True:
            events = [it for it in self.events if it["rev"] > after
                      and it["key"].startswith(args.get("prefix", ""))]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _txn(self, body):
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                now = [self.items.get(it["key"]) or {"key": it["key"], "rev": 0}
                       for it in body["expect"]]
                return 412, {"items": now}
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        if not body["puts"] and not body["remove"]:
            return 200, {"rev": self.revision}
        self.revision += 1
        for put in body["puts"]:
            self._put(put["key"], put["value"], put["lease"])
        for key in body["remove"]:
            self._delete(key)
        await self._notify()
        return 200, {"rev": self.revision}


def _unquote(text):
    from urllib.parse import unquote
    return unquote(text)


class Engine(Server):
    """A sound engine of a service. Each start is a new instance."""

    def __init__(self, address, service, store, record, zone="z1", slots=64):
        super().__init__(address)
        self.service = service
        self.store = store
        self.record = record
        self.zone = zone
        self.slots = slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.models = {}
        self.seq = 0
        self.beats = 0
        self.state = "ready"
        self.work_s = 0.02
        self.runs = []
        self.is_model_engine = False
        self.busy = False

    def model_list(self):
        return [{"name": m, "version": 1, "adapters": sorted(a)}
                for m, a in sorted(self.models.items())]

    async def register(self):
        self.beats += 1
        entry = {"service": self.service, "address": self.address,
                 "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": self.state, "coldLeftMs": 0, "seq": self.beats}
        if self.is_model_engine:
            entry.update(stage="unified", models=self.model_list())
        await self.store.put("servers/" + self.id, json.dumps(entry).encode())

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(1.2)

    def stamp(self):
        return "3e1b.07.5a2.600.0.%08x" % random.getrandbits(32)

    async def handle(self, message, writer):
        method, target, _ = message.first.split(" ")
        path = target.partition("?")[0]
        expected = message.get("X-Expect-Instance")
        if expected is not None and expected != self.id:
            writer.write(answer_bytes(421, [("X-Instance-Id", self.id)]))
            return True
        if path == "/healthz":
            writer.write(answer_bytes(200, [("X-Instance-Id", self.id)]))
            return True
        if path == "/sapphireyoke/report":
            report = {"stage": "unified", "models": self.model_list(),
                      "busy": self.busy, "seq": self.seq, "waiting": 0,
                      "running": 0, "kvUsed": 0, "kvTotal": 154787,
                      "handles": 0}
            writer.write(answer_bytes(
                200, [("Content-Type", "application/json")],
                json.dumps(report).encode()))
            return True
        if path == "/sapphireyoke/order":
            return self.order(json.loads(message.body), writer)
        return await self.request(message, writer)

    def order(self, order, writer):
        status = self.carry_out(order)
        self.record("engine %s order %s %s/%s holder %s fence %s -> %d" % (
            self.id, order.get("op"), order.get("model"),
            str(order.get("adapter"))[:24], order.get("holder"),
            order.get("fence"), status))
        writer.write(answer_bytes(status, [("Content-Type", "application/json")],
                                  b"{}"))
        return True

    def carry_out(self, order):
        if not order.get("holder") or "fence" not in order:
            return 400
        if "expect" in order and order["expect"] != self.seq:
            return 409
        # The models of a case are all present; no other order exists.
        adapters = self.models.get(order.get("model"))
        adapter = order.get("adapter")
        if adapters is None or adapter not in self.known_adapters():
            return 400
        if adapter in adapters:
            return 200
        adapters.add(adapter)
        self.seq += 1
        return 202

    def known_adapters(self):
        return ()

    async def request(self, message, writer):
        """Runs the request and answers it."""
        request_id = message.get("X-Request-Id")
        if request_id is None:
            writer.write(answer_bytes(400, [("X-Not-Run", "1")]))
            return True
        model = message.get("X-Model")
        if self.is_model_engine:
            name, _, adapter = (model or "").partition("/")
            held = self.models.get(name)
            if held is None or (adapter and adapter not in held):
                writer.write(answer_bytes(
                    421, [("X-Request-Id", request_id),
                          ("X-Instance-Id", self.id), ("X-Not-Run", "1")]))
                return True
        self.run(message, request_id)
        await asyncio.sleep(self.work_s)
        self.answer(request_id, writer)
        return True

    def run(self, message, request_id):
        self.runs.append((request_id, message.first.rsplit(" ", 1)[0],
                          message.body))
        self.record("engine %s runs %s: %s" % (
            self.id, request_id, message.first))

    def answer(self, request_id, writer):
        writer.write(answer_bytes(
            200, [("X-Request-Id", request_id),
                  ("X-Response-Stamp", self.stamp()),
                  ("Keep-Alive", "timeout=5")], b"r" * 200))


def route(name, prefix, kind, service, attempts, timeout_ms, slo_ms, **more):
    out = {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
           "timeoutMs": timeout_ms, "sloMs": slo_ms, "priority": 0,
           "service": service, "attempts": attempts}
    out.update(more)
    return out


def configuration(routes, models=()):
    """The first desired state; bounds and limits are those of tpdsu-yoke."""
    engine = {"slots": 64, "kvCapacity": 154787, "kvTokenBytes": 327680,
              "linkMbps": 550000.0, "hostMb": 130000.0, "diskMb": 1100000.0,
              "models": [{"name": m, "mb": 34300.0, "loadS": 6.0, "adapters": n,
                          "adapterSizeMb": 40.0, "warmS": 0.28, "diskS": 0.4}
                         for m, n in models],
              "mb": 200000.0, "adapterSlots": 8, "loadsPerS": 3.4}
    return {"version": 7, "routes": routes,
            "services": [{"name": "llm", "healthPath": "/healthz",
                          "maxConns": 360, "protocol": "h1", "tls": False,
                          "engine": engine},
                         {"name": "app", "healthPath": "/healthz",
                          "maxConns": 96, "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Program:
    """A program of the project, started as the deploy file says."""

    def __init__(self, name, program, settings, folder):
        self.name = name
        self.config = os.path.join(folder, name + ".toml")
        with open(self.config, "w") as out:
            out.write(settings)
        # Logs of a case may take half a gigabyte; LOGS=1 keeps them.
        self.log = asyncio.subprocess.DEVNULL
        if os.environ.get("LOGS") == "1":
            self.log = open(os.path.join(folder, name + ".log"), "wb")
        self.program = program
        self.process = None

    async def start(self):
        path = os.path.join(ROOT, self.program)
        if not os.path.exists(path):
            raise CannotRun(self.program + " is not built")
        self.process = await asyncio.create_subprocess_exec(
            path, "--config", self.config, cwd=ROOT, stdout=self.log,
            stderr=self.log)

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def ended_by_itself(self):
        return self.process.returncode is not None

    def resident_mb(self):
        with open("/proc/%d/status" % self.process.pid) as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0


class Deployment:
    """A store, engines and the project's programs on loopback addresses: each
    machine has one of its own, and ports are the same on all."""

    MEMORY_MB = 260

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.net = "127.%d.%d." % (random.randint(40, 250), random.randint(1, 250))
        hosts = [self.net + str(i) for i in range(1, 20)]
        self.link_port = common_port(hosts)
        self.front_port = common_port(hosts)
        self.ready_port = common_port(hosts)
        self.metrics_port = common_port(hosts)
        self.app_port = common_port(hosts)
        self.store = Store(self.net + "19:%d" % common_port(hosts))
        self.programs = []
        self.tasks = []

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def start_store(self, config):
        await self.store.listen()
        self.spawn(self.store.expire_leases())
        await self.store.put("op/config", json.dumps(config).encode())

    async def start_engine(self, number, service, kind=Engine, **options):
        address = self.net + "%d:%d" % (number, self.app_port)
        engine = kind(address, service, self.store, self.record, **options)
        await engine.listen()
        return engine

    async def start_entry(self, number, zone="z1"):
        ip = self.net + str(number)
        settings = """vm = "front-%s-%d"
zone = "%s"
listen = "%s:%d"
ready_listen = "%s:%d"
link_listen = "%s:%d"
metrics_listen = "%s:%d"
endpoint_link_port = %d
store = "%s"
repeat_ratio = 0.2
repeat_extra = 52
repeat_window_s = 10
leave_limit_s = 8
memory_mb = %d
max_descriptors = 4100
fresh_within_ms = 3000
order_turn_ms = 3000
""" % (zone, number, zone, ip, self.front_port, ip, self.ready_port, ip,
            self.link_port, ip, self.metrics_port, self.link_port,
            self.store.address, self.MEMORY_MB)
        entry = Program("entry-%d" % number, ENTRY, settings, self.folder)
        entry.address = "%s:%d" % (ip, self.front_port)
        entry.ready = "%s:%d" % (ip, self.ready_port)
        self.programs.append(entry)
        await entry.start()
        return entry

    async def start_endpoint(self, engine, number, zone="z1"):
        ip = engine.address.split(":")[0]
        settings = """vm = "side-%s-%d"
zone = "%s"
listen = "%s:%d"
metrics_listen = "%s:%d"
engine = "%s"
service = "llm"
store = "%s"
order_turn_ms = 3000
max_descriptors = 4096
""" % (zone, number, zone, ip, self.link_port, ip, self.metrics_port,
            engine.address, self.store.address)
        endpoint = Program("endpoint-%d" % number, ENDPOINT, settings, self.folder)
        self.programs.append(endpoint)
        await endpoint.start()
        return endpoint

    async def await_ready(self, entry):
        for _ in range(200):
            try:
                answer = await call(entry.ready, "GET", "/sapphireyoke/readyz", [])
                if answer.status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            if entry.ended_by_itself():
                break
            await asyncio.sleep(0.05)
        raise CannotRun(entry.name + " is not ready")

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for program in self.programs:
            await program.end()
        if os.environ.get("LOGS") == "1":
            print("logs are in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, message):
        self.status = int(message.first.split(" ")[1])
        self.get = message.get
        self.body = message.body


async def call(address, method, path, headers, body=b"", timeout=10.0):
    """Sends one request on a new channel and reads its answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST]
        lines += ["%s: %s" % it for it in headers]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        writer.write("\r\n".join(lines + ["", ""]).encode("latin-1") + body)
        await writer.drain()
        return Answer(await asyncio.wait_for(read_message(reader), timeout))
    finally:
        writer.close()


def new_id():
    return "%016x" % random.getrandbits(64)


def main(folder, play):
    """Runs play(deployment, record, trouble) and exits with its result: True if
    the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def run():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(play(deployment, record, trouble), 110)
        finally:
            await deployment.end()

    try:
        held = asyncio.run(run())
    except Exception as error:  # Whatever it is, it says nothing of the rule.
        record("could not run: %r" % (error,))
        print("could not run: %r" % (error,))
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
