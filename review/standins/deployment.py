"""Starts entry processes as the deploy file says, with stand-ins around them, for the cases.

The store, the proxies and the HTTP messages come from bench/soak."""

import asyncio
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "bench/soak"))

import wire  # noqa: E402  (the path is set above)
from fleet import free_ports  # noqa: E402
from proxy import Proxy  # noqa: E402
from store import Store  # noqa: E402

HOST = "ficu95.example"
READY_SECONDS = 20
GRACE_SECONDS = 6
FILES = 16384  # open files and sockets of the stand-ins


class Record:
    """Writes record.txt: what was sent, run and answered, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        print(f"{self.now():9.4f} {text}", file=self.file, flush=True)


class Entry:
    """One entry process with a proxy of its own in front of the store."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.link_mbps = 1000.0
        self.port = self.admin_port = self.peer_port = 0
        self.store_proxy = None
        self.process = None
        self.starts = 0

    def settings(self):
        values = {"node": self.name, "zone": self.zone, "region": "region",
                  "ip-address": "127.0.0.1", "internal-port-range.0": self.peer_port,
                  "limits.link-mbps": self.link_mbps,
                  "first-start|json": "true" if self.starts == 0 else "false",
                  "platform.address": f"127.0.0.1:{self.store_proxy.port}",
                  "listen-addresses.front": f"127.0.0.1:{self.port}",
                  "listen-addresses.ready-address": f"127.0.0.1:{self.admin_port}",
                  "bounds.drain-ms": 2000, "bounds.grace-period-s": GRACE_SECONDS,
                  "bounds.retry-budget-ratio": 0.2, "bounds.retry-budget-slack": 58}
        role = self.deployment.role
        template = (ROOT / role["template"]).read_text()
        return re.sub(r"\{\{([^}]*)\}\}", lambda found: str(values[found.group(1)]), template)

    def start(self):
        path = self.deployment.folder / f"{self.name}.json"
        path.write_text(self.settings())
        words = self.deployment.role["run"].replace("/etc/cumingauge/settings.toml", str(path)).split()
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen([str(ROOT / words[0])] + words[1:], cwd=ROOT, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.starts += 1
        self.deployment.record(f"start {self.name}")

    def signal(self, number):
        self.deployment.record(f"signal {signal.Signals(number).name} to {self.name}")
        os.kill(self.process.pid, number)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(get(self.admin_port, "/readyz"), 1.0)
        except (asyncio.TimeoutError, OSError, wire.Closed):
            return False
        return answer is not None and answer.status == 200


class Deployment:
    """A store, entry processes and targets on loopback addresses."""

    def __init__(self, record):
        self.record = record
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store(time.monotonic, open(self.folder / "store.log", "w"))
        self.store.random = random.Random(1)
        self.entries, self.targets = [], []
        self.version = 0

    async def open(self, zones):
        """Opens the store and prepares one entry process for each zone that is named."""
        ports = iter(free_ports(random.Random(), 3 * len(zones)))
        for i, zone in enumerate(zones):
            entry = Entry(self, f"front-{zone}-{i + 1}", zone)
            server = await asyncio.start_server(
                lambda r, w, name=entry.name: self.store.serve(name, r, w), "127.0.0.1", 0)
            entry.store_proxy = await Proxy(server.sockets[0].getsockname()[1]).open()
            entry.port, entry.admin_port, entry.peer_port = next(ports), next(ports), next(ports)
            self.entries.append(entry)

    async def configure(self, routes, services, **limits):
        """Writes a configuration; routes: tuples of prefix, kind, service, timeout, attempts."""
        self.version += 3
        document = {
            "version": self.version,
            "routes": [{"name": f"r-{prefix.strip('/')}", "host": HOST, "prefix": prefix, "kind": kind,
                        "timeout-ms": timeout, "latency-objective-ms": timeout // 2,
                        "priority": 2 if kind == "safe" else 1, "service": service,
                        "attempts": attempts}
                       for prefix, kind, service, timeout, attempts in routes],
            "services": [{"name": name, "health-check-path": "/health", "connection-limit": 220,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000, **limits}}
        await self.store.put("op/config", document)
        self.record(f"store acknowledges configuration {self.version}")
        return self.version

    async def start(self):
        for entry in self.entries:
            entry.start()
        end = time.monotonic() + READY_SECONDS
        while not all([await entry.is_ready() for entry in self.entries]):
            if time.monotonic() > end:
                raise RuntimeError("the entry processes are not ready")
            await asyncio.sleep(0.1)

    def close(self):
        """Ends the processes that were started here."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                os.kill(entry.process.pid, signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self.temporary.cleanup()


async def get(port, target):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(wire.compose(f"GET {target} HTTP/1.1", {"Host": "any"}))
        return await wire.read_message(reader)
    finally:
        writer.close()


def run_case(main):
    """Runs a case: main(record, trouble) returns the number of breaches, or None when nothing
    could be tested. Exits with 1, 0 or 2."""
    # The stand-ins of a case share one process, whose soft limit may be low.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = FILES if hard == resource.RLIM_INFINITY else min(FILES, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    record = Record(os.environ["CASE"])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        breaches = asyncio.run(asyncio.wait_for(main(record, trouble), 115))
    except Exception as error:  # the case could not run
        record(f"could not run: {error!r}")
        show(f"could not run: {error!r}")
        breaches = None
    result = 2 if breaches is None else 1 if breaches else 0
    record(f"end, breaches {breaches}, exit {result}")
    show(f"breaches: {breaches}")
    os._exit(result)


def show(text):
    """Prints a line; the result of a case must not depend on who reads it."""
    try:
        print(text, flush=True)
    except OSError:
        pass
