"""Unsafe requests to two services whose targets reject a part of them, as sound targets do when they
are full. With the disruption, some answers come a second time, late, with the id that they had. A
request that its client is told not to have run (503) must not have run."""

import asyncio
import pathlib
import random
import sys
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Deployment, HOST, run_case, show, wire  # noqa: E402  (the path is set above)
from target import Target  # noqa: E402

ENTRIES = 3
SERVICES = {"/pufi791/": "booking", "/qeta302/": "results"}  # one target each
ATTEMPTS = 3
CLIENTS = 24
SECONDS = 95
WORK_SECONDS = 0.02
SHED_SHARE = 0.55  # srv_grey, how "shed all"
COPIED_SHARE = 0.03  # garble, how "extra late"
GARBLE_FOR_SECONDS, GARBLE_PAUSE_SECONDS = 5.0, 1.0
COPY_DELAY_SECONDS = (0.002, 0.02)
PROMISES = (408, 421, 429, 503)


class GarblingTarget(Target):
    """Rejects a part of the requests, and sends a second copy of some answers, late, on the
    connection of the first."""

    copied_share = shed_share = 0.0

    async def answer(self, request, writer):
        if random.random() < self.shed_share:
            return await self.shed(request.fields.get("attempt-id", ""), writer)
        await super().answer(request, writer)

    async def send(self, writer, status, fields, body=b""):
        await super().send(writer, status, fields, body)
        if "Attempt-Id" in fields and random.random() < self.copied_share:
            asyncio.get_running_loop().create_task(self._send_again(writer, status, fields, body))

    async def _send_again(self, writer, status, fields, body):
        await asyncio.sleep(random.uniform(*COPY_DELAY_SECONDS))
        if writer.is_closing():
            return
        self.record(f"{self.name} sends a second copy of its answer {status} to {fields['Attempt-Id']}")
        try:
            await super().send(writer, status, fields, body)
        except ConnectionError:
            pass


async def client(number, deployment, end, answers):
    """Sends one unsafe request after the other on a kept connection, each with an id of its own."""
    prefix = list(SERVICES)[number % len(SERVICES)]
    reader = writer = None
    count = 0
    while deployment.record.now() < end:
        await asyncio.sleep(random.uniform(0, 0.06))
        if writer is None:
            entry = random.choice(deployment.entries)
            reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        count += 1
        call = f"{number:04x}{count:012x}"
        deployment.record(f"{call} is sent")
        writer.write(wire.compose(f"POST {prefix}2f HTTP/1.1", {
            "Host": HOST, "Attempt-Id": call, "Deadline-Milliseconds": 1000}, b"x" * 200))
        try:
            answer = await wire.read_message(reader)
        except (wire.Closed, ConnectionError):
            answer = None
        answers[call] = answer.status if answer else "closed"
        deployment.record(f"{call} is answered {answers[call]}")
        if answer is None or answer.fields.get("connection") == "close":
            writer.close()
            writer = None
        if answers[call] == 503:
            await asyncio.sleep(0.05)


async def garble(targets, end, record):
    while record.now() < end:
        for target in targets:
            target.copied_share = COPIED_SHARE
        await asyncio.sleep(GARBLE_FOR_SECONDS)
        for target in targets:
            target.copied_share = 0.0
        await asyncio.sleep(GARBLE_PAUSE_SECONDS)


async def main(record, trouble):
    deployment = Deployment(record)
    try:
        await deployment.open(["a"] * ENTRIES)
        await deployment.configure([(prefix, "unsafe", service, 1000, ATTEMPTS)
                                    for prefix, service in SERVICES.items()], list(SERVICES.values()))
        for i, service in enumerate(SERVICES.values()):
            target = await GarblingTarget(deployment, f"i-{i:08x}", service, work=WORK_SECONDS).open()
            target.shed_share = SHED_SHARE
            deployment.targets.append(target)
            await target.register()
        await deployment.start()
        answers = {}
        end = record.now() + SECONDS
        garbling = asyncio.create_task(garble(deployment.targets, end if trouble else 0, record))
        await asyncio.gather(*(client(i, deployment, end, answers) for i in range(CLIENTS)))
        await asyncio.sleep(1.5)
        garbling.cancel()

        runs = Counter()
        for target in deployment.targets:
            runs.update(target.runs)
        refused = [c for c, status in answers.items() if status in PROMISES and runs[c] > 0]
        twice = [c for c, count in runs.items() if count > 1]
        for call in refused:
            record(f"REFUSED: {call} was answered {answers[call]} and has run {runs[call]} times")
        for call in twice:
            record(f"TWICE: {call} has run {runs[call]} times and was answered {answers.get(call)}")
        result = f"answers {dict(Counter(answers.values()))}; REFUSED {len(refused)}, TWICE {len(twice)}"
        record(result)
        show(result)
        return len(refused) + len(twice)
    finally:
        deployment.close()


run_case(main)
