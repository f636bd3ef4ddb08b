"""Stand-ins of a small deployment: the platform's store, targets, one entry
process of the deploy file, and raw clients. Only the standard library is used,
only loopback addresses, and only what PROTOCOL.md describes."""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "src", "cumingauged")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, UNABLE = 0, 1, 2
IN_TOUCH_S = 3.5  # stable-window-ms of apls-gateway is 3,000


class Record:
    """record.txt: what was sent, answered and run, with seconds from the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def add(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the fields (names in lower case)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        out = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return out
            out += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's metadata store: key, range, watch, transaction."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.port = 0

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        made = self.items[key]["create-rev"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create-rev": made,
            "lease": 0,
        }
        self.events.append(self.items[key])
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if parts.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {
                "items": [self.items[k] for k in keys[:500]],
                "has-more": len(keys) > 500,
                "at": self.revision,
            }
        if parts.path == "/kv-watch":
            return 200, await self.watch(query)
        if parts.path == "/kv-txn":
            return await self.transact(json.loads(body))
        return 404, {"at": self.revision}

    async def watch(self, query):
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        after = int(query["after"])
        while True:
            found = [e for e in self.events if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if found or left <= 0:
                return {"events": found, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, call):
        for row in call.get("expected-revision", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for row in call.get("puts", []):
            await self.put(row["key"], base64.b64decode(row["value"]))
        for key in call.get("deletes", []):
            await self.remove(key)
        return 200, {"revision": self.revision}

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ", 2)
                status, document = await self.answer(method, target, body)
                payload = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(payload))
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Target:
    """A target. By default it runs each request and answers 200; \\p behave may
    be replaced by a coroutine (target, request, reader, writer) that returns
    whether the connection is kept."""

    def __init__(self, name, service, record, slots=3):
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.sequence = 1
        self.born = int(time.time() * 1000)
        self.ran = []
        self.behave = None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "address": "127.0.0.1:%d" % self.port,
            "born": self.born,
            "information": {"service": self.service, "zone": "milano-a", "version": "1", "slots": self.slots},
            "status": {"state": state, "sequence": self.sequence, "cold-remaining-ms": 0},
        }

    def answer_bytes(self, attempt, body=b"whole body of the target\n", status=b"200 OK"):
        return (
            b"HTTP/1.1 "
            + status
            + b"\r\nAttempt-Id: "
            + attempt.encode()
            + b"\r\nResponse-Signature: sig."
            + attempt.encode()
            + b"\r\nServer-Load: 0,0,%d,100\r\nContent-Length: %d\r\n\r\n" % (self.slots, len(body))
            + body
        )

    def run(self, attempt):
        self.ran.append(attempt)
        self.record.add("target %s runs %s" % (self.name, attempt))

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                if line.split(" ")[1] == "/health":
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n"
                        % (self.name.encode(), self.slots)
                    )
                    continue
                if fields.get("expected-instance", self.name) != self.name:
                    await read_body(reader, fields)
                    writer.write(b"HTTP/1.1 421 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        % fields.get("attempt-id", "").encode()
                    )
                    continue
                request = (line, fields)
                if self.behave:
                    if not await self.behave(self, request, reader, writer):
                        return
                    continue
                await read_body(reader, fields)
                attempt = fields.get("attempt-id", "")
                self.run(attempt)
                writer.write(self.answer_bytes(attempt))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass  # the connection ended, also within a chunk
        finally:
            writer.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def render(template, values):
    """Fills in the placeholders that deploy/settings.json uses."""

    def value(match):
        words = match.group(1).split("|")
        found = values[words[0]]
        return json.dumps(found) if len(words) > 1 else str(found)

    return re.sub(r"\{\{([^}]*)\}\}", value, template)


class Entry:
    """One entry process, started with the command and the template of the deploy
    file, and with the settings of one machine of apls-gateway."""

    def __init__(self, store, record, name="front-milano-a-1"):
        self.folder = tempfile.mkdtemp(prefix="cumingauge-review-")
        self.port, self.ready, peer = free_port(), free_port(), free_port()
        template = open(os.path.join(ROOT, "deploy", "settings.json")).read()
        text = render(
            template,
            {
                "node": name,
                "zone": "milano-a",
                "region": "nord-italia",
                "ip-address": "127.0.0.1",
                "internal-port-range.0": peer,
                "limits.link-mbps": 1000.0,
                "first-start": True,
                "platform.address": "127.0.0.1:%d" % store.port,
                "bounds.drain-ms": 2000,
                "bounds.grace-period-s": 6,
                "bounds.retry-budget-ratio": 0.2,
                "bounds.retry-budget-slack": 58,
                "listen-addresses.front": "127.0.0.1:%d" % self.port,
                "listen-addresses.ready-address": "127.0.0.1:%d" % self.ready,
            },
        )
        self.settings = os.path.join(self.folder, "settings.json")
        with open(self.settings, "w") as out:
            out.write(text)
        self.log = open(os.path.join(self.folder, "log"), "w")
        regions = json.dumps({"milano-a": "nord-italia"}, separators=(",", ":"))
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", self.settings],
            stdout=self.log,
            stderr=self.log,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "CUMINGAUGE_SET": "platform.bounds.coldOvershoot= platform.bounds.coldSlack= platform.regions=" + regions,
            },
        )
        record.add("entry process %s started" % name)
        self.record = record

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    self.record.add("entry process is ready")
                    return True
            except ConnectionError:
                pass
            await asyncio.sleep(0.1)
        return False

    async def wait_in_touch(self):
        """Waits until the machine is in touch: `stable-window-ms` after the start of
        its process, with a sound store all the while."""
        await asyncio.sleep(IN_TOUCH_S)
        self.record.add("the machine is in touch")

    def resident_mb(self):
        with open("/proc/%d/status" % self.process.pid) as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()
        if os.environ.get("KEEP_LOG"):
            shutil.copy(os.path.join(self.folder, "log"), os.environ["KEEP_LOG"])
        shutil.rmtree(self.folder, ignore_errors=True)


def route(host, prefix, service, kind, timeout=1000, objective=250, attempts=2):
    return {
        "name": prefix.strip("/"),
        "host": host,
        "prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout-ms": timeout,
        "latency-objective-ms": objective,
        "attempts": attempts,
        "priority": 1,
    }


def configuration(version, routes, services=("catalogo",), limits=None):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health-check-path": "/health", "connection-limit": 220} for name in services
        ],
        "limits": limits
        or {
            "max-header-bytes": 16384,
            "max-body-bytes": 1048576,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 10000,
        },
    }


class Deployment:
    """A store, targets of one service and one entry process."""

    def __init__(self, folder, targets=2):
        self.record = Record(folder)
        self.store = Store()
        self.targets = [Target("i-%04x" % (0xA0 + n), "catalogo", self.record) for n in range(targets)]
        self.entry = None

    async def open(self, routes, limits=None):
        await self.store.open()
        for target in self.targets:
            await target.open()
            await self.store.put("servers/" + target.name, target.entry())
        await self.store.put("op/config", configuration(7, routes, limits=limits))
        self.beats = asyncio.ensure_future(self.heartbeat())
        self.entry = Entry(self.store, self.record)
        return await self.entry.wait_ready()

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.5)
            for target in self.targets:
                await self.store.put("servers/" + target.name, target.entry())

    def close(self):
        if self.entry:
            self.entry.stop()

    def runs(self, attempt):
        return sum(target.ran.count(attempt) for target in self.targets)


class KeptClient:
    """A client with a kept connection and one request after the other on it."""

    def __init__(self, name, deployment, host="a.example", path="/x/"):
        self.name, self.deployment, self.host, self.path = name, deployment, host, path
        self.reader = self.writer = None
        self.ended = False

    async def connect(self):
        self.ended = False
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.deployment.entry.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def ask(self, attempt, deadline=4000, body=b"ordinary"):
        """Sends a request and returns its status, None if the connection ended without
        a complete answer, or 0 if neither came in time. After an answer that closes
        the connection, the next request goes on a new one."""
        record = self.deployment.record
        record.add("client %s sends %s" % (self.name, attempt))
        head = "POST %sorder HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: %d\r\nContent-Length: %d\r\n\r\n"
        try:
            if self.ended:
                await self.connect()
            self.writer.write((head % (self.path, self.host, attempt, deadline, len(body))).encode() + body)
            line, fields = await asyncio.wait_for(read_head(self.reader), deadline / 1000 + 2)
            await asyncio.wait_for(read_body(self.reader, fields), deadline / 1000 + 2)
        except asyncio.TimeoutError:
            record.add("client %s: no answer to %s in time" % (self.name, attempt))
            self.ended = True
            return 0
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.ended = True
            record.add("client %s: no answer to %s (%s)" % (self.name, attempt, type(error).__name__))
            return None
        record.add("client %s: %s answered with %s" % (self.name, attempt, line))
        self.ended = fields.get("connection", "").lower() == "close"
        return int(line.split(" ")[1])

    def close(self):
        if self.writer:
            self.writer.close()


def slow_target(seconds):
    """Behaviour of a sound target that works for so long on each request whose
    body is b"slow", and answers all others at once."""

    async def behave(target, request, reader, writer):
        _, fields = request
        body = await read_body(reader, fields)
        attempt = fields.get("attempt-id", "")
        target.run(attempt)
        if body == b"slow":
            await asyncio.sleep(seconds)
        writer.write(target.answer_bytes(attempt))
        await writer.drain()
        return True

    return behave


def main(play, folder):
    """Plays one script and ends with 0 (held), 1 (broken) or 2 (could not run)."""

    async def guarded():
        return await asyncio.wait_for(play(folder), 110)

    try:
        if not os.path.exists(PROGRAM):
            raise OSError("no build of the deploy file")
        result = asyncio.run(guarded())
    except Exception as error:  # never the status of a broken rule
        print("could not run:", repr(error))
        result = UNABLE
    # Without the clean-up of connections that the case has left open on purpose.
    sys.stdout.flush()
    os._exit(result)
