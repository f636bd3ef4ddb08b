"""Stand-in for a target as the protocol page describes it: slots, a short queue, sheds when full."""

import asyncio
import hashlib

import wire


def signature(call):
    return hashlib.sha256(call.encode()).hexdigest()[:16]


def body_of(call, size=600):
    return (call + ":").encode() * (size // (len(call) + 1) + 1)


class Target:
    """One incarnation of a target. Runs are kept as id: number of runs."""

    def __init__(self, deployment, name, service, zone="a", slots=2, queue=4, work=0.05):
        self.deployment, self.record = deployment, deployment.record
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.queue, self.work = slots, queue, work
        self.running = self.waiting = 0
        self.state = "ready"
        self.sequence = 1
        self.runs = {}
        self.arrivals = []  # (time, id)
        self.freed = asyncio.Condition()
        self.port = 0

    async def open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def entry(self):
        return {"address": f"127.0.0.1:{self.port}",
                "information": {"service": self.service, "version": "v1", "zone": self.zone,
                                "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "cold-remaining-ms": 0}}

    async def register(self):
        await self.deployment.store.put(f"servers/{self.name}", self.entry())
        self.record(f"store acknowledges {self.name} {self.state}")

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def send(self, writer, status, fields, body=b""):
        if self.load():
            fields = {**fields, "Server-Load": self.load()}
        if self.state != "ready":
            fields["Connection"] = "close"
        writer.write(wire.compose(f"HTTP/1.1 {status}", fields, body))
        await writer.drain()

    async def _serve(self, reader, writer):
        try:
            while (request := await wire.read_message(reader)) is not None:
                if request.target == "/health":
                    await self.send(writer, "200 OK" if self.state == "ready" else
                                    "503 Service Unavailable", {"Instance-Id": self.name})
                else:
                    await self.answer(request, writer)
        except (wire.Closed, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        call = request.fields.get("attempt-id", "")
        echo = {"Attempt-Id": call}
        self.arrivals.append((self.record.now(), call))
        if request.fields.get("expected-instance", self.name) != self.name:
            self.record(f"{self.name} rejects {call}: 421")
            return await self.send(writer, "421 Misdirected Request", {**echo, "Instance-Id": self.name})
        if self.running >= self.slots and self.waiting >= self.queue:
            return await self.shed(call, writer)
        if self.running >= self.slots:
            self.waiting += 1
            async with self.freed:
                await self.freed.wait_for(lambda: self.running < self.slots)
                self.waiting -= 1
                self.running += 1
        else:
            self.running += 1
        self.runs[call] = self.runs.get(call, 0) + 1
        self.record(f"{self.name} runs {call}")
        await asyncio.sleep(self.work)
        async with self.freed:
            self.running -= 1
            self.freed.notify()
        await self.send(writer, "200 OK", {**echo, "Response-Signature": signature(call)}, body_of(call))

    async def shed(self, call, writer):
        self.record(f"{self.name} rejects {call}: full")
        await self.send(writer, "503 Service Unavailable", {"Attempt-Id": call, "Not-Executed": "1"})
