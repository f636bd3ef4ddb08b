"""Faults around connections of callers that are idle for long, for short idle limits."""

import asyncio
import signal

from callers import Caller
from judge import CONFIG_SECONDS

IDLE_MILLISECONDS = (800, 1500, 3000)  # limits of configurations for callers' connections
HELD_SHARE = 0.3  # of the processes
MOMENT_SECONDS = 0.002  # for which a process that is held up runs in between
CROWD = 150  # connections: more than the events of one wait of a process
BACKLOG = 50  # connections that are opened at once
CROWD_IDLE_MILLISECONDS = 1500
CROWD_IDLE_SECONDS, CROWD_SENDS_SECONDS, CROWD_HELD_SECONDS = 0.9, 0.05, 0.65


def signal_all(fleet, entries, number):
    """Stops or continues processes. What they lose then is not excused."""
    for entry in entries:
        fleet.judge.record_disturbance(entry.name, excuses_loss=False)
        entry.signal(number)


def hold_up(random, _):
    """Holds processes up for shorter and longer than the rest of the idle limit. They run for
    moments in between, which may end in the middle of their work. One that is asked to end is
    not held up again: it needs its grace period."""
    lengths = [random.uniform(0.1, 1.3) for _ in range(random.choice((2, 5)))]

    async def inject(fleet):
        running = [entry for entry in fleet.entries if not entry.stopping]
        chosen = random.sample(running, int(len(running) * HELD_SHARE))
        for length in lengths:
            end = fleet.clock() + length * fleet.operator.idle_milliseconds / 1000
            while fleet.clock() < end:
                chosen = [entry for entry in chosen if not entry.stopping]
                signal_all(fleet, chosen, signal.SIGSTOP)
                await asyncio.sleep(random.uniform(0.02, 0.3))
                signal_all(fleet, chosen, signal.SIGCONT)
                await asyncio.sleep(random.uniform(0, MOMENT_SECONDS))
            await asyncio.sleep(0.2)
    return inject


def crowd(random, _):
    """Many callers send on idle connections to one process, which is held up until after the
    idle limit of all of them."""
    async def inject(fleet):
        entry = random.choice([entry for entry in fleet.entries if not entry.stopping])
        fleet.operator.idle_milliseconds = CROWD_IDLE_MILLISECONDS
        await fleet.operator.configure()
        await asyncio.sleep(CONFIG_SECONDS)
        fleet.crowds += 1
        callers = [Caller(f"x{fleet.crowds}-{i}", fleet.balancer, fleet.judge, fleet.random, 0.0,
                          entry) for i in range(CROWD)]
        for first in range(0, CROWD, BACKLOG):
            await asyncio.gather(*(c.call() for c in callers[first:first + BACKLOG]))
        await asyncio.sleep(CROWD_IDLE_SECONDS)
        signal_all(fleet, [entry], signal.SIGSTOP)
        await asyncio.sleep(CROWD_SENDS_SECONDS)
        calls = [asyncio.create_task(caller.call()) for caller in callers]
        await asyncio.sleep(CROWD_HELD_SECONDS)
        signal_all(fleet, [entry], signal.SIGCONT)
        await asyncio.gather(*calls)
        for caller in callers:
            caller.disconnect()
    return inject


def change_idle_limit(random, _):
    limits = [random.choice(IDLE_MILLISECONDS) for _ in range(random.choice((1, 3)))]

    async def inject(fleet):
        for limit in limits:
            fleet.operator.idle_milliseconds = limit
            await fleet.operator.configure()
            await asyncio.sleep(0.5)
    return inject
