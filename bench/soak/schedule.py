"""Faults of one seed: what is done, when and for how long."""

import asyncio
import signal
from dataclasses import dataclass
from typing import Callable

GRACE_SECONDS = 6.0
LEAVES_AFTER_SECONDS = 2.5   # a server goes on serving for so long
REUSE_SECONDS = 2.0          # until an address may belong to another server
SILENT_SERVER_SECONDS = 4.5  # three heartbeats, then an entry is removed


@dataclass
class Fault:
    at: float
    name: str
    act: Callable


def draw_schedule(random, seconds):
    """Faults in series that overlap, about one in 0.8 s."""
    out, at = [], 0.5
    while at < seconds - 1.0:
        name, make = random.choice(KINDS)
        out.append(Fault(at, name, make(random, min(random.uniform(0.5, 4.0), seconds - at))))
        at += random.expovariate(1 / 0.8)
    return out


def some(random, things, share):
    return random.sample(things, max(1, int(len(things) * share)))


# Processes.

def kill(random, _):
    async def act(fleet):
        for entry in some(random, fleet.entries, random.choice((0.05, 0.2, 0.6))):
            fleet.judge.disturb(entry.name)
            entry.stopping = entry.killed = True
            entry.signal(signal.SIGKILL)
    return act


def stop(random, _):
    async def act(fleet):
        async def one(entry):
            life = entry.life
            fleet.judge.disturb(entry.name)
            entry.stopping = True
            entry.signal(signal.SIGTERM)
            await asyncio.sleep(GRACE_SECONDS)
            if entry.life == life and entry.process.poll() is None:
                fleet.judge.fault("GRACE", f"{entry.name} still runs after its grace period")
                entry.signal(signal.SIGKILL)
            fleet.judge.disturb(entry.name)
        await asyncio.gather(*(one(e) for e in some(random, fleet.entries, 0.15)))
    return act


def pause(random, seconds):
    async def act(fleet):
        chosen = some(random, fleet.entries, random.choice((0.05, 0.3)))
        for entry in chosen:
            fleet.judge.disturb(entry.name)
            entry.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for entry in chosen:
            entry.signal(signal.SIGCONT)
            fleet.judge.disturb(entry.name)
    return act


def reload(random, _):
    async def act(fleet):
        for entry in some(random, fleet.entries, 0.3):
            entry.signal(signal.SIGHUP)
    return act


# The store.

def store_flag(name, value, calm):
    def make(random, seconds):
        async def act(fleet):
            fleet.judge.disturb()
            setattr(fleet.store, name, value)
            await asyncio.sleep(seconds)
            setattr(fleet.store, name, calm)
            fleet.judge.disturb()
        return act
    return make


def store_forgets(_random, _seconds):
    async def act(fleet):
        fleet.judge.disturb()
        fleet.store.forget()
    return act


def store_turns_away(random, seconds):
    async def act(fleet):
        fleet.judge.disturb()
        chosen = some(random, fleet.entries, 0.35)
        for entry in chosen:
            fleet.store.turned_away[entry.name] = random.choice(("busy", "reset", "silent"))
        await asyncio.sleep(seconds)
        for entry in chosen:
            fleet.store.turned_away.pop(entry.name, None)
            # A call that the store has left silent ends with its connection.
            entry.store_proxy.reset_all()
        fleet.judge.disturb()
    return act


def store_lapses(random, seconds):
    """The store is down so long that entries of servers lapse."""
    async def act(fleet):
        fleet.judge.disturb()
        fleet.store.down = True
        await asyncio.sleep(seconds)
        lapsed = [s for s in fleet.servers if not s.gone and s.state == "ready"
                  and random.random() < 0.8]
        for server in lapsed:
            await fleet.store.delete(f"servers/{server.name}")
        fleet.store.down = False
        await asyncio.sleep(1.5)
        for server in lapsed:
            if not server.gone and server.state == "ready":
                await fleet.register(server)
        fleet.judge.disturb()
    return act


# Links.

def link(random, seconds):
    flag = random.choice(("delay", "silent", "deaf", "refusing", "reset"))
    where = random.choice(("store", "servers", "callers"))

    async def act(fleet):
        entries = some(random, fleet.entries, random.choice((0.1, 0.4)))
        if where == "servers":
            live = [s for s in fleet.servers if not s.gone]
            proxies = [fleet.proxies[s.name] for s in some(random, live, 0.2)]
        else:
            proxies = [e.store_proxy if where == "store" else e.proxy for e in entries]

        def disturb():
            if where == "servers":
                return fleet.judge.disturb()  # any process may have a call there
            for entry in entries:
                fleet.judge.disturb(entry.name)
        disturb()
        for proxy in proxies:
            if flag == "reset":
                proxy.reset_all()
            else:
                setattr(proxy, flag, 0.08 if flag == "delay" else True)
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.heal()
        disturb()
    return act


# Servers.

def server_flag(name, value):
    def make(random, seconds):
        async def act(fleet):
            live = [s for s in fleet.servers if not s.gone]
            chosen = some(random, live, random.choice((0.1, 0.4)))
            for server in chosen:
                setattr(server, name, value)
            await asyncio.sleep(seconds)
            for server in chosen:
                server.heal()
        return act
    return make


def crash(random, _):
    """A server ends; its entry lapses, and another comes in its place."""
    async def act(fleet):
        server = random.choice([s for s in fleet.servers if not s.gone])
        server.crash()
        await asyncio.sleep(SILENT_SERVER_SECONDS)
        await fleet.store.delete(f"servers/{server.name}")
        fleet.proxies[server.name].close()
        await fleet.add_server(server.service, server.zone)
    return act


async def retire(fleet, server):
    server.state = "draining"
    await fleet.register(server)
    fleet.judge.left[server.name] = fleet.clock()
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    await fleet.store.delete(f"servers/{server.name}")
    await asyncio.sleep(1.0)
    server.crash()


def release(random, _):
    """Servers are replaced one after the other; each new one comes first."""
    async def act(fleet):
        old = some(random, [s for s in fleet.servers if not s.gone and s.state == "ready"], 0.2)
        for server in old:
            await fleet.add_server(server.service, server.zone)
            await asyncio.sleep(0.3)
        await asyncio.gather(*(retire(fleet, server) for server in old))
        for server in old:
            fleet.proxies[server.name].close()
    return act


def reuse(random, _):
    """A server leaves, and its address goes to one of another service."""
    async def act(fleet):
        ready = [s for s in fleet.servers if not s.gone and s.state == "ready"]
        server = random.choice(ready)
        await fleet.add_server(server.service, server.zone)
        await retire(fleet, server)
        await asyncio.sleep(REUSE_SECONDS)
        other = "diritti" if server.service == "catalogo" else "catalogo"
        await fleet.add_server(other, server.zone, fleet.proxies[server.name])
    return act


def configure(random, _):
    async def act(fleet):
        for _ in range(random.choice((1, 1, 4))):
            await fleet.operator.configure()
            await asyncio.sleep(0.3)
    return act


KINDS = [("kill", kill), ("stop", stop), ("pause", pause), ("reload", reload),
         ("store down", store_flag("down", True, False)),
         ("store slow", store_flag("slow", 0.25, 0.0)),
         ("store loses answers", store_flag("loses", 0.5, 0.0)),
         ("store forgets", store_forgets), ("store turns away", store_turns_away),
         ("store lapses", store_lapses), ("link", link), ("link", link),
         ("servers slow", server_flag("pace", 6.0)),
         ("servers fail", server_flag("fails", 0.4)),
         ("servers lose answers", server_flag("loses", 0.1)),
         ("servers garble", server_flag("garbles", 0.1)),
         ("servers answer twice", server_flag("doubles", 0.1)),
         ("crash", crash), ("release", release), ("reuse", reuse),
         ("configure", configure), ("configure", configure)]
