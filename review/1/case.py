"""The store turns the machine beside an engine away for a while; then its
process is killed as it has just taken the engine over again. SECOND=lost: it
isn't killed, but the answer to the write with which it does so is lost."""

import asyncio
import json
import os
import random
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import platform_standin as ps  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The second disruption: "kill", or "lost" for the variant.
SECOND = os.environ.get("SECOND", "kill")
ENGINES = 3
ADAPTERS = 40
CALM_S = 6.0
# The longest such disruption in the site file, and how often it comes in a row.
TURNED_AWAY_S = 9.0
TURNS_AWAY = 3
AFTER_S = 8.0
MACHINE = "side-1"
LEASE_MS = ps.BOUNDS["leaseMs"]
HOST = "ficu95.example"


def desired_state():
    models = [{"name": f"model{n}", "mb": 65100.0, "loadS": 8.6,
               "adapters": ADAPTERS, "adapterSizeMb": 12.0, "warmS": 1.1,
               "diskS": 2.0} for n in range(ENGINES)]
    return {
        "version": 7,
        "routes": [{
            "name": "r-ask", "host": HOST, "prefix": "/lohu930/",
            "kind": "stream", "timeoutMs": 10000, "sloMs": 2500,
            "priority": 0, "service": "concierge", "attempts": 2,
            "sticky": True, "canResume": True, "gapAimMs": 300
        }],
        "services": [{
            "name": "concierge", "healthPath": "/healthz", "maxConns": 370,
            "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kvCapacity": 131932, "models": models,
                       "mb": 230000.0, "adapterSlots": 8, "loadsPerS": 2.8}
        }],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    }


async def ask(record, address, model, outcomes):
    request_id = f"{random.getrandbits(64):016x}"
    host, port = address.split(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1)
        name = f"{model}/a{random.randint(1, ADAPTERS)}"
        body = b"a question"
        writer.write((f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\n"
                      f"X-Request-Id: {request_id}\r\nX-Model: {name}\r\n"
                      f"X-Token-Count: 490,15\r\n"
                      f"X-Prompt-Prefix: 5c1e07a2:100,{request_id}:390\r\n"
                      f"X-Deadline-Ms: 10000\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        got = await asyncio.wait_for(ps.read_message(reader), 10)
        outcome = got.first.split(" ")[1]
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError) as e:
        outcome = type(e).__name__
    finally:
        if writer:
            writer.close()
    outcomes[outcome] = outcomes.get(outcome, 0) + 1


async def user(record, fronts, model, outcomes, end):
    while time.monotonic() < end:
        await ask(record, random.choice(fronts), model, outcomes)
        await asyncio.sleep(random.uniform(0.05, 0.15))


async def restart(record, machine):
    """Kills the process that last wrote to the store under a condition."""
    await asyncio.sleep(0.3)
    machine.kill()
    await machine.process.wait()
    record.line(f"platform: {machine.name} is killed")
    await asyncio.sleep(0.5)
    await machine.start()


class SecondDisruption:
    """Strikes once, as the machine creates the key of its engine after it was
    turned away: kills its process, or loses the answer to that write."""

    def __init__(self, record):
        self.record = record
        self.active = False
        self.struck = False

    def __call__(self, machine, call):
        creates = any(it["key"].startswith("engine-leases/") for it in
                      call.get("puts", []))
        if not (self.active and creates and machine == MACHINE):
            return False
        key = call["puts"][0]["key"]
        free = key not in self.store.items
        if not free or self.struck:
            return False
        self.struck = True
        if SECOND == "kill":
            asyncio.create_task(restart(self.record, self.machine))
            return False
        self.record.line(f"store: executes the write of {key} by {machine}; "
                         "its answer is lost")
        return True


def turns(engine, healed):
    """Pairs of consecutive accepted orders of two holders, with the time
    between. Leaves out what arrives within thawMs after the link healed."""
    found = []
    last = None
    for order in engine.orders:
        since = order[0] - healed
        excused = 0 <= since < ps.BOUNDS["thawMs"] / 1000
        if order[4] not in (200, 202) or excused:
            continue
        if last and last[1] != order[1]:
            found.append((order[0] - last[0], last, order))
        last = order
    return found


def copy_lease_events(record, machines):
    """Adds to the record what the programs log about the engines' leases."""
    for machine in machines:
        for line in open(machine.log.name, encoding="utf-8", errors="replace"):
            if "event=engine_lease_" in line:
                record.line(f"log of {machine.name}: {line.rstrip()}")


async def run():
    record = ps.Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp(prefix="sapphire-review-")
    net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
    store = ps.Store(record)
    second = SecondDisruption(record)
    second.store = store
    store.loses_answer = second
    asyncio.create_task(store.expire_leases())
    await store.change("op/config", json.dumps(desired_state()).encode())
    link_port = ps.free_port("127.0.0.1")
    engines, machines = [], []
    for n in range(ENGINES):
        ip = f"{net}.{100 + n}"
        engine = ps.ModelEngine(record, f"i-{n}", "concierge", f"model{n}")
        await engine.start(ip, f"{net}.{150 + n}")
        engines.append(engine)
        await store.change(f"servers/{engine.id}", engine.entry())
        name = f"side-{n + 1}"
        machines.append(ps.Machine(record, folder, "endpoint", {
            "nodeName": name, "zone": "zone-a", "ip": ip,
            "portRange": [link_port, link_port], "app": engine.own_address,
            "service": "concierge", "bounds": ps.BOUNDS,
            "platform": {"address": await store.listen(f"{net}.2", name)}}))
    fronts, ready = [], []
    for n in range(2):
        ip = f"{net}.{10 + n}"
        name = f"front-{n + 1}"
        listen = {"front": f"{ip}:{ps.free_port(ip)}",
                  "ready": f"{ip}:{ps.free_port(ip)}"}
        fronts.append(listen["front"])
        ready.append(listen["ready"])
        machines.append(ps.Machine(record, folder, "entry", {
            "nodeName": name, "zone": "zone-a", "ip": ip, "listen": listen,
            "portRange": [link_port, link_port], "bounds": ps.BOUNDS,
            "platform": {"address": await store.listen(f"{net}.2", name)}}))

    async def beat():
        while True:
            await asyncio.sleep(1.2)
            for it in engines:
                await store.change(f"servers/{it.id}", it.entry())

    second.machine = next(it for it in machines if it.name == MACHINE)
    beating = asyncio.create_task(beat())
    try:
        for it in machines:
            await it.start()
        if not await ps.wait_ready(ready):
            record.line("the entries don't become ready")
            return 2
        return await play(record, store, second, engines, fronts)
    finally:
        beating.cancel()
        await ps.end_all(machines)
        copy_lease_events(record, machines)
        shutil.rmtree(folder, ignore_errors=True)


async def play(record, store, second, engines, fronts):
    outcomes = {}
    away_s = TURNED_AWAY_S * TURNS_AWAY
    end = time.monotonic() + CALM_S + away_s + AFTER_S
    users = [asyncio.create_task(user(record, fronts, it.model, outcomes, end))
             for it in engines for _ in range(4)]
    await asyncio.sleep(CALM_S)
    for n in range(TURNS_AWAY):
        if TROUBLE:
            store.cut(MACHINE)
            record.line(f"the store turns {MACHINE} away, {n + 1}")
        await asyncio.sleep(TURNED_AWAY_S)
    if TROUBLE:
        second.active = True
        store.heal()
        record.line(f"the store serves {MACHINE} again")
    healed = record.now() if TROUBLE else float("inf")
    await asyncio.gather(*users)
    record.line(f"outcomes {outcomes}")
    broken = 0
    for engine in engines:
        record.line(f"engine {engine.id}: {len(engine.orders)} orders")
        for gap, before, after in turns(engine, healed):
            within = gap * 1000 < LEASE_MS
            broken += within
            record.line(
                f"engine {engine.id}: {before[1]} (fence {before[2]}) at "
                f"{before[0]:.3f}, then {after[1]} (fence {after[2]}) at "
                f"{after[0]:.3f}: {gap:.3f} s apart"
                f"{', ONE is broken' if within else ''}")
    for line in open(record.file.name, encoding="utf-8"):
        if "apart" in line or "outcomes" in line:
            print(line.rstrip())
    if TROUBLE and not second.struck:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
