"""Stand-ins for backend servers. They report every run to the judge and inject faults."""

import asyncio
import hashlib

import wire

MAX_QUEUED = 4
REJECTED_SHARE = 0.3  # of the calls to a server that answers twice
COPY_DELAY_SECONDS = (0.002, 0.02)
COLD_SECONDS = 3.0
PAUSE_SHARE = 0.3  # of the rejections
PAUSE_SECONDS = 1.5
ARRIVAL_SECONDS = 0.2  # in which an answer has arrived, or its connection is closed
ODD_NOTICES = ({"Retry-After": "soon"}, {"Retry-After": "-1"}, {"Server-Leaving": "0"})


def signature(call):
    return hashlib.sha256(call.encode()).hexdigest()[:16]


def body_of(call, size=900):
    return (call + ":").encode() * (size // (len(call) + 1) + 1)


class Server:
    """One incarnation of a backend server behind a proxy of its own.

    pace multiplies the service time. fails (500), loses (reset), garbles (truncated or
    malformed answer) and doubles (answer sent twice) are probabilities per call. A server that
    answers twice also rejects calls, and sends some rejections again while the next attempt
    runs."""

    def __init__(self, name, service, zone, judge, random, clock):
        self.name, self.service, self.zone = name, service, zone
        self.judge, self.random, self.clock = judge, random, clock
        self.slots, self.running, self.waiting = 6, 0, 0
        self.pace = 1.0
        self.state = "ready"
        self.sequence = 1  # of the last heartbeat
        self.service_seconds = 0.03
        self.fails = self.loses = self.garbles = 0.0
        self.doubles = 0.0
        self.garbled = 0  # answers so far
        self.gone = False
        self.left = False  # its entry was removed
        self.cold_until = -1e9
        self.slot_freed = asyncio.Event()
        self.port = 0
        self._server = None
        self._writers = set()
        self._calls = set()  # calls that run at present

    async def open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def clear_faults(self):
        self.pace = 1.0
        self.fails = self.loses = self.garbles = self.doubles = 0.0

    def crash(self):
        self.gone = True
        for call in self._calls:
            self.judge.record_broken_off(call)
        self._server.close()
        for writer in list(self._writers):
            wire.reset(writer)

    def cold_ms(self):
        return max(0, int(1000 * (self.cold_until - self.clock())))

    def become_cold(self):
        self.cold_until = self.clock() + COLD_SECONDS
        self.judge.record_cold(self.name, self.cold_until)

    def entry(self, proxy_port):
        return {"address": f"127.0.0.1:{proxy_port}",
                "information": {"service": self.service, "version": "v1",
                                "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence,
                           "cold-remaining-ms": self.cold_ms()}}

    def load_report(self):
        return f"{self.running},{self.waiting},{self.slots},{int(self.pace * 100)}"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                if request.target == "/health":
                    fields = {"Cold-Milliseconds": self.cold_ms()} if self.cold_ms() else {}
                    await self._send(writer, "200 OK" if self.state == "ready" else "503 X", fields)
                elif not await self._answer(request, writer):
                    return wire.reset(writer)
        except (wire.Closed, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _send(self, writer, status, fields, body=b""):
        fields = dict(fields, **{"Instance-Id": self.name, "Server-Load": self.load_report()})
        if self.state != "ready":
            fields["Connection"] = "close"
            fields["Server-Leaving"] = "1"
        writer.write(wire.compose(f"HTTP/1.1 {status}", fields, body))
        await writer.drain()

    async def _answer(self, request, writer):
        """Handles one call. Returns False when the connection must be reset."""
        call = request.fields.get("attempt-id", "")
        self.judge.record_arrival(call, self.name)
        if request.fields.get("expected-instance") != self.name:
            await self._send(writer, "421 Misdirected Request", {})
            return True
        self.judge.record_request(call, self)
        is_full = self.running >= self.slots and self.waiting >= MAX_QUEUED
        if is_full or (self.doubles > 0 and self.random.random() < REJECTED_SHARE):
            await self._reject(call, writer)
            return True
        if self.running >= self.slots:
            self.waiting += 1
            while self.running >= self.slots:
                self.slot_freed.clear()
                await self.slot_freed.wait()
            self.waiting -= 1
        self.running += 1
        self.judge.record_run(call, self, request)
        self._calls.add(call)
        if "work-milliseconds" in request.fields:
            seconds = int(request.fields["work-milliseconds"]) / 1000
        else:
            seconds = self.service_seconds * (0.5 + self.random.random())
        await asyncio.sleep(seconds * self.pace)
        self._calls.discard(call)
        self.judge.record_work_end(call)
        self.running -= 1
        self.slot_freed.set()
        return await self._finish(call, writer)

    async def _reject(self, call, writer):
        fields = {"Attempt-Id": call, "Not-Executed": "1"}
        if self.random.random() < PAUSE_SHARE:
            fields["Retry-After"] = f"{PAUSE_SECONDS:.3f}"
            asyncio.get_running_loop().create_task(self._record_pause(call, writer, self.clock()))
        elif self.random.random() < PAUSE_SHARE:
            fields.update(self.random.choice(ODD_NOTICES))
        await self._send(writer, "503 Full", fields)
        if self.random.random() < self.doubles:
            asyncio.get_running_loop().create_task(self._send_late(writer, "503 Full", fields))

    async def _record_pause(self, call, writer, answered_at):
        """A process that gave the call up before the answer came does not know of the pause."""
        await asyncio.sleep(ARRIVAL_SECONDS)
        if not writer.is_closing():
            self.judge.record_pause(call, self.name, answered_at, PAUSE_SECONDS)

    async def _send_late(self, writer, status, fields):
        await asyncio.sleep(self.random.uniform(*COPY_DELAY_SECONDS))
        if not writer.is_closing():
            try:
                await self._send(writer, status, fields)
            except (ConnectionError, OSError):
                pass

    def _garble(self, whole):
        """Returns what is sent in place of an answer before the connection is reset. The
        forms take turns: cut, without a status, with a blank in a field name, cut and without
        a length."""
        self.garbled += 1
        half = whole[: len(whole) // 2]
        forms = (half,
                 whole.replace(b" 200 OK", b" 000 Trouble", 1),
                 whole.replace(b"Attempt-Id:", b"Attempt Id:", 1),
                 half.replace(b"Content-Length:", b"X-Length:", 1))
        return forms[self.garbled % len(forms)]

    async def _finish(self, call, writer):
        fields = {"Attempt-Id": call, "Response-Signature": signature(call)}
        if self.random.random() < self.loses:
            self.judge.record_broken_off(call)
            return False
        if self.random.random() < self.fails:
            self.judge.record_end(call, 500)
            await self._send(writer, "500 Internal Server Error", fields)
            return True
        body = body_of(call)
        if self.random.random() < self.garbles:
            self.judge.record_broken_off(call)
            writer.write(self._garble(wire.compose("HTTP/1.1 200 OK", fields, body)))
            await writer.drain()
            return False
        self.judge.record_end(call, 200)
        await self._send(writer, "200 OK", fields, body)
        if self.random.random() < self.doubles:
            await self._send(writer, "200 OK", fields, body)
        return True
