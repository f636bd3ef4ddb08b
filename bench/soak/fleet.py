"""Runs one seed: starts the entry processes, stand-ins and callers and injects the faults."""

import asyncio
import os
import random
import re
import signal
import socket
import subprocess
import time

import workspaces
from callers import ROUTES, Balancer, Caller, Operator, PipeliningCaller, exchange
from idlefaults import IDLE_MILLISECONDS
from judge import COLD_OVERSHOOT, COLD_SLACK, GRACE_SECONDS, STALL_SECONDS, Judge
from proxy import Proxy
from schedule import FIRST_IDLE_SEED, FIRST_RESTORED_SEED, draw_schedule, kinds_of_seed
from servers import Server, signature
from store import Store

SERVERS_PER_ZONE = 4
FAST_PER_ZONE, FAST_MBPS, SLOW_MBPS = 2, 200, 10
CALLERS = 60
CALLER_PAUSE_SECONDS = 0.35
PIPELINING_INTERVAL = 5  # each fifth caller pipelines
CHANGING_INTERVAL = 3  # of the others, each third one changes its connection at times
CHANGE_SHARE = 0.1
REUSING_INTERVAL = 2  # in seeds with a short idle limit, each second caller waits for long
MAX_LINGER_SECONDS = 8.0
HEARTBEAT_SECONDS = 1.5
READY_SECONDS = 20
RECOVERY_SECONDS = 6
RECOVERY_SHARE = 0.95


OVERRIDES = f"platform.bounds.coldOvershoot={COLD_OVERSHOOT} platform.bounds.coldSlack={COLD_SLACK}"


class Entry:
    """One entry process. The fleet restarts it under the same name when it exits."""

    def __init__(self, fleet, name, zone, link_mbps):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.link_mbps = link_mbps
        self.port = self.admin_port = self.peer_port = 0
        self.proxy = self.store_proxy = None
        self.process = None
        self.generation = 0
        self.stopping = self.killed = False

    def settings(self):
        values = {"node": self.name, "zone": self.zone, "region": "soak", "ip-address": "127.0.0.1",
                  "internal-port-range.0": self.peer_port,
                  "limits.link-mbps": self.link_mbps,
                  "first-start|json": "true" if self.generation == 0 else "false",
                  "platform.address": f"127.0.0.1:{self.store_proxy.port}",
                  "listen-addresses.front": f"127.0.0.1:{self.port}",
                  "listen-addresses.ready-address": f"127.0.0.1:{self.admin_port}",
                  "bounds.drain-ms": 2000, "bounds.grace-period-s": int(GRACE_SECONDS),
                  "bounds.retry-budget-ratio": 0.2, "bounds.retry-budget-slack": 58}
        template = (self.fleet.root / "deploy/settings.json").read_text()
        return re.sub(r"\{\{([^}]*)\}\}", lambda m: str(values[m.group(1)]), template)

    def start(self):
        path = self.fleet.out / f"{self.name}.json"
        path.write_text(self.settings())
        log = open(self.fleet.out / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([self.fleet.options.program, "--settings", str(path)],
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env=dict(os.environ, CUMINGAUGE_SET=OVERRIDES))
        log.close()
        self.generation += 1
        self.stopping = False

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)


class Fleet:
    """All entry processes, backend servers, callers and the store of one seed."""

    def __init__(self, root, out, options, seed):
        self.root, self.out, self.options = root, out, options
        self.random = random.Random(seed)
        self.seed = seed
        # Faults draw from a generator of their own, so that the schedule of a seed does not
        # depend on the number of draws made for traffic.
        self.fault_random = random.Random(f"faults {seed}")
        self.linger_random = random.Random(f"linger {seed}")
        self.clock = time.monotonic
        self.judge = Judge(self.clock)
        self.store = Store(self.clock, open(out / "store.log", "w"))
        self.store.random = self.random
        self.entries, self.servers, self.proxies = [], [], {}
        self.tasks = []
        self.last_server_number = 0
        self.crowds = 0

    # Setup.

    async def build(self):
        ports = iter(free_ports(random.Random(), 3 * self.options.entries))
        for i in range(self.options.entries):
            zone = f"zone-{'ab'[i % 2]}"
            entry = Entry(self, f"front-{zone}-{i // 2 + 1}", zone,
                          FAST_MBPS if i // 2 < FAST_PER_ZONE else SLOW_MBPS)
            port = await self._store_port(entry.name)
            entry.store_proxy = await Proxy(port).open()
            entry.port, entry.admin_port, entry.peer_port = next(ports), next(ports), next(ports)
            entry.proxy = await Proxy(entry.port).open()
            self.entries.append(entry)
        self.operator = Operator(self.store, self.entries, self.judge, self.random)
        if self.seed >= FIRST_IDLE_SEED:
            self.operator.idle_milliseconds = IDLE_MILLISECONDS[0]
        self.balancer = Balancer(self.entries)
        await self.store.put("op/config", self.operator.document())
        for service in ("catalogo", "diritti"):
            for zone in ("zone-a", "zone-b"):
                for _ in range(SERVERS_PER_ZONE):
                    await self.add_server(service, zone)
        self.store.forget_copies()
        for entry in self.entries:
            entry.start()

    async def _store_port(self, process):
        server = await asyncio.start_server(
            lambda r, w: self.store.serve(process, r, w), "127.0.0.1", 0)
        self.tasks.append(server)
        return server.sockets[0].getsockname()[1]

    async def add_server(self, service, zone, proxy=None, is_cold=False):
        self.last_server_number += 1
        server = Server(f"i-{self.last_server_number:04x}", service, zone,
                        self.judge, self.random, self.clock)
        await server.open()
        if proxy is None:
            proxy = await Proxy(server.port).open()
        proxy.target_port = server.port
        proxy.reset_all()
        self.proxies[server.name] = proxy
        self.servers.append(server)
        if is_cold:
            server.become_cold()
        await self.register(server)
        return server

    async def register(self, server):
        """Writes the entry of a server to the store."""
        await self.store.put(f"servers/{server.name}", server.entry(self.proxies[server.name].port))

    def linger_seconds(self):
        """Returns for how long a server that has left still takes calls."""
        if self.seed < FIRST_RESTORED_SEED:
            return 1.0
        return self.linger_random.uniform(1.0, MAX_LINGER_SECONDS)

    # Run.

    async def run(self):
        await self.build()
        self.spawn(self.balancer.watch())
        self.spawn(self.detect_stalls())
        self.spawn(self.restart_exited())
        await self.wait_ready()
        self.spawn_callers()
        self.spawn(self.check_configurations())
        if self.seed >= FIRST_RESTORED_SEED:
            self.spawn(self.write_heartbeats())
        begin = self.clock()
        schedule = draw_schedule(self.fault_random, self.options.seconds,
                                 kinds_of_seed(self.seed, self.options.kinds),
                                 self.options.interval)
        running = []
        for fault in schedule:
            await asyncio.sleep(max(0, begin + fault.at - self.clock()))
            running.append(asyncio.create_task(fault.inject(self)))
        await asyncio.sleep(max(0, begin + self.options.seconds - self.clock()))
        await asyncio.gather(*running)
        await asyncio.sleep(RECOVERY_SECONDS)
        await self.check_recovery()
        await self.cancel_tasks()
        # The many pipelined calls must not raise the bound on timeouts.
        self.judge.check_totals(sum(not call.startswith("p") for call in self.judge.sent))
        self.judge.check_failures_logged(self.logged_calls())
        return {"faults": self.judge.violations, "calls": len(self.judge.sent),
                "told": {str(k): v for k, v in sorted(self.judge.answer_counts.items(), key=str)},
                "storeCalls": self.store.calls,
                "schedule": [f"{f.at:.2f} {f.name}" for f in schedule]}

    async def cancel_tasks(self):
        # Errors of cancelled tasks are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        # asyncio.wait_for may swallow a cancellation, so cancel until no task is left.
        while others := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in others:
                task.cancel()
            await asyncio.wait(others, timeout=1.0)

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))

    def spawn_callers(self):
        pipelining_random = random.Random(f"pipelining {self.seed}")
        for i in range(CALLERS):
            if i % PIPELINING_INTERVAL == 0:
                self.spawn(PipeliningCaller(i, self.balancer, self.judge, pipelining_random).run())
                continue
            change_share = CHANGE_SHARE if i % CHANGING_INTERVAL == 0 else 0.0
            caller = Caller(i, self.balancer, self.judge, self.random, change_share)
            if self.seed >= FIRST_IDLE_SEED and i % REUSING_INTERVAL == 0:
                self.spawn(caller.run_reusing(self.operator))
            else:
                self.spawn(caller.run(CALLER_PAUSE_SECONDS))

    async def wait_ready(self):
        end = self.clock() + READY_SECONDS
        while any(self.balancer.misses[e.name] for e in self.entries) or self.clock() < end - READY_SECONDS + 2:
            if self.clock() > end:
                self.judge.report_violation("START", "not all processes are ready")
                return
            await asyncio.sleep(0.1)

    async def detect_stalls(self):
        """Records a disturbance of all processes when this program itself was held up."""
        last = self.clock()
        while True:
            await asyncio.sleep(0.05)
            if self.clock() - last > 0.05 + STALL_SECONDS:
                self.judge.record_disturbance()
            last = self.clock()

    async def restart_exited(self):
        """Restarts entry processes that have exited; an exit without a fault is a violation."""
        while True:
            await asyncio.sleep(0.1)
            for entry in self.entries:
                code = entry.process.poll()
                if code is None:
                    continue
                if not entry.stopping:
                    self.judge.report_violation(
                        "ENDED", f"{entry.name} exited without being stopped, with status {code}")
                self.judge.record_restart(entry.name, is_planned=entry.stopping)
                entry.start()

    async def write_heartbeats(self):
        """Writes the entry of each server once per interval, while the store can be reached."""
        while True:
            live = [s for s in self.servers if not s.gone and not s.left]
            for server in live:
                await asyncio.sleep(HEARTBEAT_SECONDS / len(live))
                if not server.gone and not server.left and not self.store.down:
                    server.sequence += 1
                    await self.register(server)

    async def check_configurations(self):
        number = 0
        while True:
            await asyncio.sleep(0.1)
            number += 1
            await self.operator.check_version(number)

    async def check_recovery(self):
        """Checks that nearly all calls are served again after the faults."""
        served, asked = 0, 0
        for entry in self.entries:
            for i in range(3):
                call = f"r-{entry.name}-{i}"
                self.judge.record_sent(call, entry.name, True, 0.8)
                asked += 1
                try:
                    answer = await asyncio.wait_for(exchange(
                        entry.port, "GET", f"{ROUTES[0][1]}{call}",
                        {"Attempt-Id": call, "Deadline-Milliseconds": 800,
                         **workspaces.credentials(call)}), 1.5)
                except (OSError, asyncio.TimeoutError):
                    continue
                served += answer is not None and answer.fields.get("response-signature") == signature(call)
        if served < RECOVERY_SHARE * asked:
            self.judge.report_violation(
                "RECOVER", f"{served} of {asked} calls served after the faults")

    def logged_calls(self):
        """Returns the ids of the calls that appear in the log, by process.

        Leaves out processes that were killed."""
        out = {}
        for entry in self.entries:
            if entry.killed:
                continue
            lines = (self.out / f"{entry.name}.log").read_text(errors="replace").splitlines()
            found = (re.search(r'"call":"([^"]*)"', line) for line in lines)
            out[entry.name] = {match.group(1) for match in found if match}
        return out

    def end_processes(self):
        """Kills the processes that this program has started, by their ids."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                os.kill(entry.process.pid, signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()


def free_ports(random, count):
    """Returns consecutive free ports below the range of ephemeral ports."""
    for _ in range(100):
        first = random.randrange(20000, 31000)
        ports = list(range(first, first + count))
        if all(is_free(port) for port in ports):
            return ports
    raise RuntimeError("no free ports")


def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
