"""Two entry processes that read the list of targets for the others of their zone freeze twice:
for a moment while the store is slow, and once more after targets have left. The processes that
never froze must not send requests to the targets that left."""

import asyncio
import pathlib
import random
import signal
import sys
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Deployment, HOST, run_case, show, wire  # noqa: E402  (the path is set above)
from target import Target  # noqa: E402

ENTRIES = 18
FROZEN = 2  # the machines with the fastest links
FAST_MBPS, SLOW_MBPS = 200.0, 10.0
TARGETS = 300
LEAVING = 30
SLOW_SECONDS = 0.24  # an answer of the slow store: 60 times as long as usual
SLOW_FOR_SECONDS = 4.0
FIRST_FREEZE_SECONDS = 0.9
SECOND_FREEZE_SECONDS = 1.4
STABLE_SECONDS = 3.0
DRAIN_SECONDS = 2.0
LINGER_SECONDS = 9.0


async def client(deployment, entry, number, sent, answers, stop):
    """Sends one safe request after the other on a kept connection."""
    reader = writer = None
    count = 0
    while not stop.is_set():
        await asyncio.sleep(random.uniform(0.02, 0.08))
        count += 1
        call = f"{entry.name}-{number}-{count}"
        sent[call] = entry.name
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
            writer.write(wire.compose("GET /lohu930/2f HTTP/1.1", {
                "Host": HOST, "Attempt-Id": call, "Deadline-Milliseconds": 800}))
            answer = await asyncio.wait_for(wire.read_message(reader), 1.5)
        except (OSError, wire.Closed, asyncio.TimeoutError):
            answer = None
        answers[answer.status if answer else "closed"] += 1
        deployment.record(f"{call} is answered {answer.status if answer else 'closed'}")
        if answer is None or answer.fields.get("connection") == "close":
            if writer:
                writer.close()
            writer = None


async def freeze(entries, seconds, trouble):
    if trouble:
        for entry in entries:
            entry.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    if trouble:
        for entry in entries:
            entry.signal(signal.SIGCONT)


async def main(record, trouble):
    deployment = Deployment(record)
    try:
        await deployment.open(["a"] * ENTRIES)
        frozen, calm = deployment.entries[:FROZEN], deployment.entries[FROZEN:]
        for entry in deployment.entries:
            entry.link_mbps = FAST_MBPS if entry in frozen else SLOW_MBPS
        await deployment.configure([("/lohu930/", "safe", "booking", 800, 2)], ["booking"])
        for i in range(TARGETS):
            target = await Target(deployment, f"i-{i:08x}", "booking", work=0.03).open()
            deployment.targets.append(target)
            await target.register()
        await deployment.start()
        await asyncio.sleep(3)

        record("the store turns slow")
        deployment.store.slow = SLOW_SECONDS if trouble else 0.0
        await asyncio.sleep(1.0)
        await freeze(frozen, FIRST_FREEZE_SECONDS, trouble)
        await asyncio.sleep(SLOW_FOR_SECONDS - 1.0 - FIRST_FREEZE_SECONDS)
        deployment.store.slow = 0.0
        record("the store is sound from now on")

        sent, answers, stop = {}, Counter(), asyncio.Event()
        clients = [asyncio.create_task(client(deployment, entry, 0, sent, answers, stop)) for entry in calm]
        await asyncio.sleep(2 * STABLE_SECONDS)

        left_at = {}
        for target in deployment.targets[:LEAVING]:
            target.state = "draining"
            await target.register()
            left_at[target.name] = record.now()
            await asyncio.sleep(0.03)
        await asyncio.sleep(DRAIN_SECONDS)
        await freeze(frozen, SECOND_FREEZE_SECONDS, trouble)
        await asyncio.sleep(LINGER_SECONDS - DRAIN_SECONDS - SECOND_FREEZE_SECONDS)
        for target in deployment.targets[:LEAVING]:
            await deployment.store.delete(f"servers/{target.name}")
        record("the targets have left")
        stop.set()
        await asyncio.gather(*clients)

        late = []
        for target in deployment.targets[:LEAVING]:
            for at, call in target.arrivals:
                if call in sent and at > left_at[target.name] + DRAIN_SECONDS:
                    late.append(sent[call])
                    record(f"DRAIN: {call} reached {target.name} {at - left_at[target.name]:.3f} s "
                           f"after the store acknowledged that it leaves")
        result = f"answers {dict(answers)}; DRAIN {len(late)}, by entry {dict(Counter(late))}"
        record(result)
        show(result)
        return len(late)
    finally:
        deployment.close()


run_case(main)
