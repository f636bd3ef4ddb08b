"""Callers behind a balancer like the platform's, and an operator who changes configurations."""

import asyncio
from collections import deque

import wire
import workspaces
from judge import COLD_PER_SECOND, CONFIG_SECONDS, NOT_RUN
from servers import body_of, signature

CONTROL_STALE = "107 "  # begins the result code of a process whose configuration may be old
MISSES_ALLOWED = 1  # the second failed check in a row takes a process out of the choice
# Method, path prefix, is safe, deadline in seconds, weight.
ROUTES = (("GET", "/search/", True, 0.8, 8), ("POST", "/licence/", False, 1.0, 3),
          ("GET", "/lookup/", True, 1.5, 4))
PIPELINED_ROUTES = (("/search/", 0.8), ("/lookup/", 1.5))  # path prefix, deadline in seconds
PIPELINE_DEPTHS = (3, 4)
PIPELINED_WORK_MILLISECONDS = 200
PIPELINE_SPACING_SECONDS = 0.04
REUSED_SHARE = 0.8  # of the idle limit, for which an idle connection is used again
PIPELINE_PAUSE_SECONDS = 0.1  # after a refusal and before a new connection


class Balancer:
    """Checks the readiness of each process every second."""

    def __init__(self, entries):
        self.entries = entries
        self.misses = {entry.name: 0 for entry in entries}

    async def watch(self):
        while True:
            await asyncio.gather(*(self._ask(entry) for entry in self.entries))
            await asyncio.sleep(1.0)

    async def _ask(self, entry):
        try:
            answer = await asyncio.wait_for(exchange(entry.admin_port, "GET", "/readyz", {}), 1.0)
            ready = answer is not None and answer.status == 200
        except (asyncio.TimeoutError, OSError, wire.Closed):
            ready = False
        self.misses[entry.name] = 0 if ready else self.misses[entry.name] + 1

    def choose(self, random):
        ready = [e for e in self.entries if self.misses[e.name] <= MISSES_ALLOWED]
        return random.choice(ready or self.entries)


async def exchange(port, method, target, fields, body=b""):
    """Sends one request on a new connection; returns None when it was closed without an answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(wire.compose(f"{method} {target} HTTP/1.1", dict(fields, Host="soak.example"), body))
        return await wire.read_message(reader)
    finally:
        writer.close()


class Caller:
    """Sends calls one after the other on a kept-alive connection.

    change_share is the share of calls before which it opens a new connection. A caller with an
    only_entry calls no other process."""

    def __init__(self, number, balancer, judge, random, change_share, only_entry=None):
        self.number, self.balancer, self.judge, self.random = number, balancer, judge, random
        self.change_share, self.only_entry = change_share, only_entry
        self.entry = self.reader = self.writer = None
        self.call_count = 0

    def disconnect(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def run(self, pause):
        while True:
            await asyncio.sleep(pause * (0.5 + self.random.random()))
            await self.call()

    async def run_reusing(self, operator):
        """Sends calls on connections that were idle for up to the share of the limit for which
        callers may reuse them."""
        while True:
            limit = operator.idle_milliseconds / 1000
            await asyncio.sleep(self.random.uniform(0.1, REUSED_SHARE) * limit)
            await self.call()

    async def call(self):
        method, prefix, is_safe, deadline, _ = self.random.choices(
            ROUTES, weights=[route[4] for route in ROUTES])[0]
        if self.writer is not None and self.reader.at_eof():
            self.disconnect()
        if self.writer is None or self.random.random() < self.change_share:
            self.disconnect()
            self.entry = self.only_entry or self.balancer.choose(self.random)
            try:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", self.entry.proxy.port), 1.0)
            except (OSError, asyncio.TimeoutError):
                self.writer = None
                return
        self.call_count += 1
        call = f"c{self.number}-{self.call_count}"
        self.judge.record_sent(call, self.entry.name, is_safe, deadline)
        fields = {"Host": "soak.example", "Attempt-Id": call,
                  "Deadline-Milliseconds": int(deadline * 1000), **workspaces.credentials(call)}
        body = b"x" * 200 if method == "POST" else b""
        try:
            self.writer.write(wire.compose(f"{method} {prefix}{call} HTTP/1.1", fields, body))
            answer = await asyncio.wait_for(wire.read_message(self.reader), deadline + 0.5)
        except asyncio.TimeoutError:
            self.judge.record_timeout(call, self.entry.name)
            return self.disconnect()
        except (wire.Closed, ConnectionError):
            answer = None
        if answer is None:
            self.judge.check_closed(call, self.entry.name)
        self.judge.record_answer(call, self.entry.name, answer, signature(call), body_of(call))
        if answer is None or answer.fields.get("connection") == "close":
            self.disconnect()


class PipeliningCaller:
    """Keeps several safe requests outstanding on one connection until the connection closes."""

    def __init__(self, number, balancer, judge, random):
        self.number, self.balancer, self.judge, self.random = number, balancer, judge, random
        self.call_count = 0
        self.waiting = deque()  # (call, time at which it is given up), oldest first

    async def run(self):
        while True:
            entry = self.balancer.choose(self.random)
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", entry.proxy.port), 1.0)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(PIPELINE_PAUSE_SECONDS)
                continue
            try:
                await self._use(entry.name, reader, writer)
            finally:
                writer.close()
            await asyncio.sleep(PIPELINE_PAUSE_SECONDS)

    async def _use(self, process, reader, writer):
        """Sends requests on one connection until it closes."""
        self.waiting.clear()
        self._send(process, writer)
        sender = asyncio.create_task(self._fill(process, writer))
        try:
            await self._read_answers(process, reader, writer)
        finally:
            sender.cancel()

    async def _fill(self, process, writer):
        """Keeps the pipeline full. Requests are spaced, so that their answers are, too, and the
        last answer of a burst does not leave the connection without a request."""
        depth = self.random.choice(PIPELINE_DEPTHS)
        while True:
            if len(self.waiting) < depth:
                self._send(process, writer)
            await asyncio.sleep(PIPELINE_SPACING_SECONDS)

    async def _read_answers(self, process, reader, writer):
        while True:
            if not self.waiting:
                self._send(process, writer)
            call, end = self.waiting[0]
            try:
                answer = await asyncio.wait_for(
                    wire.read_message(reader), max(0.0, end - self.judge.clock()))
            except asyncio.TimeoutError:
                return self.judge.record_timeout(call, process)
            except (wire.Closed, ConnectionError):
                answer = None
            if answer is None:
                return self.judge.record_pipeline_closed([c for c, _ in self.waiting], process)
            self.waiting.popleft()
            self.judge.record_answer(call, process, answer, signature(call), body_of(call))
            if answer.fields.get("connection") == "close":
                return None  # requests behind this answer count as not read
            if answer.status in NOT_RUN:
                await asyncio.sleep(PIPELINE_PAUSE_SECONDS)

    def _send(self, process, writer):
        prefix, deadline = self.random.choice(PIPELINED_ROUTES)
        self.call_count += 1
        call = f"p{self.number}-{self.call_count}"
        self.judge.record_sent(call, process, True, deadline)
        self.waiting.append((call, self.judge.clock() + deadline + 0.5))
        fields = {"Host": "soak.example", "Attempt-Id": call,
                  "Deadline-Milliseconds": int(deadline * 1000),
                  "Work-Milliseconds": PIPELINED_WORK_MILLISECONDS, **workspaces.credentials(call)}
        writer.write(wire.compose(f"GET {prefix}{call} HTTP/1.1", fields))


class Operator:
    """Writes configurations and checks which version is in force on the processes."""

    def __init__(self, store, entries, judge, random):
        self.store, self.entries, self.judge, self.random = store, entries, judge, random
        self.version = 1
        self.idle_milliseconds = 20000
        self.accepted_at = -1e9
        self.check_count = 0
        self.seen = {}  # (process, generation): newest version seen there

    def document(self):
        def route(prefix, service, kind, timeout):
            return {"name": prefix.strip("/"), "host": "soak.example", "prefix": prefix,
                    "kind": kind, "timeout-ms": timeout, "latency-objective-ms": timeout // 2,
                    "priority": 2 if kind == "safe" else 1, "service": service, "attempts": 2}
        return {"version": self.version,
                "routes": [route("/search/", "catalogo", "safe", 800),
                           route("/licence/", "catalogo", "unsafe", 1000),
                           route("/lookup/", "diritti", "safe", 1500),
                           route(f"/v{self.version}/", "catalogo", "safe", 800)],
                "services": [{"name": name, "health-check-path": "/health", "connection-limit": 220,
                              "cold-start-s": 3.0, "cold-per-s": COLD_PER_SECOND}
                             for name in ("catalogo", "diritti")],
                "tenants": workspaces.document(),
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 65536,
                           "header-timeout-ms": 5000, "idle-timeout-ms": self.idle_milliseconds}}

    async def configure(self):
        self.version += self.random.randint(1, 3)
        await self.store.put("op/config", self.document())
        self.accepted_at = self.judge.clock()

    async def rewrite(self):
        """Writes the newest configuration and the evacuated zones once more."""
        await self.store.put("op/config", self.document())
        for zone in ("zone-a", "zone-b"):
            if zone in self.judge.evacuated_since:
                await self.store.put(f"op/evacuate/{zone}", {})
            else:
                await self.store.delete(f"op/evacuate/{zone}")
        self.accepted_at = self.judge.clock()

    async def check_version(self, number):
        """Probes the route of the newest or of the last seen version on one process."""
        entry = self.random.choice(self.entries)
        old = self.seen.get((entry.name, entry.generation), 0)
        target = self.version if self.random.random() < 0.7 or not old else old
        await self._probe(f"o{number}", entry, target)

    async def check_newest_everywhere(self):
        """Probes the route of the newest version on each process."""
        self.check_count += 1
        await asyncio.gather(*(self._probe(f"o{self.check_count}-{entry.name}", entry, self.version)
                               for entry in self.entries))

    async def _probe(self, call, entry, target):
        """Probes the route of a version.

        A process in touch must have the newest version 2 s after it was accepted, and no
        process may return to an older one."""
        generation, version, accepted = entry.generation, self.version, self.accepted_at
        old, at = self.seen.get((entry.name, generation), 0), self.judge.clock()
        self.judge.record_sent(call, entry.name, True, 0.8)
        fields = {"Attempt-Id": call, "Deadline-Milliseconds": 800, **workspaces.credentials(call)}
        try:
            answer = await asyncio.wait_for(
                exchange(entry.port, "GET", f"/v{target}/x", fields), 1.5)
        except (asyncio.TimeoutError, OSError, wire.Closed):
            return
        if answer is None or entry.generation != generation:
            return
        is_known = answer.status != 404 and answer.status != 503
        # A process that may have an old configuration answers 503 in place of 404.
        is_old = answer.status == 404 or \
            answer.fields.get("x-result-code", "").startswith(CONTROL_STALE)
        if target == version and is_old and version == self.version \
                and self.judge.is_bound(entry.name, accepted, at, CONFIG_SECONDS):
            self.judge.report_violation("CONFIG", f"{entry.name} has no version {version} "
                                                  f"{at - accepted:.3f} s after it was accepted"
                                                  f"{self.judge.after_restore(accepted)}")
        if target == version == old == self.version and is_old:
            self.judge.report_violation("CONFIG", f"{entry.name} lost version {version}, which "
                                                  "it had in force")
        if is_known:
            if target < old:
                self.judge.report_violation("CONFIG", f"{entry.name} went back to version {target}")
            self.seen[entry.name, generation] = max(
                target, self.seen.get((entry.name, generation), 0))
