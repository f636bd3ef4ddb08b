"""Case 6: a chunked body without data that stops just short of its end ends the
entry process, and with it the requests that it has passed on."""

import asyncio
import os
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins2"))
from world import BROKEN, HELD, TROUBLE, UNABLE, Deployment, KeptClient, main, route, slow_target

CLIENTS = 8
ALLOWED = 3  # LOST: "more than three times"


async def send_chunked(deployment):
    """One more client: a POST in chunks, with no data. With the trouble its last
    bytes arrive one after the other, and the very last one not at all."""
    _, writer = await asyncio.open_connection("127.0.0.1", deployment.entry.port)
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    head = (
        b"POST /x/order HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: chunked-1\r\n"
        b"Deadline-Milliseconds: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for piece in [head, b"0\r\n", b"\r"] if TROUBLE else [head, b"0\r\n\r\n"]:
        deployment.record.add("the client with the chunked body sends %r" % piece)
        writer.write(piece)
        await asyncio.sleep(0.2)
    return writer


async def play(folder):
    deployment = Deployment(folder)
    try:
        if not await deployment.open([route("a.example", "/x/", "catalogo", "unsafe", timeout=4000)]):
            return UNABLE
        await deployment.entry.wait_in_touch()
        for target in deployment.targets:
            target.behave = slow_target(1.5)
        clients = [KeptClient("c%d" % n, deployment) for n in range(CLIENTS)]
        for client in clients:
            await client.connect()
            if await client.ask("first-" + client.name) != 200:
                return UNABLE
        asked = [asyncio.ensure_future(client.ask("second-" + client.name, body=b"slow")) for client in clients]
        await asyncio.sleep(0.5)
        other = await send_chunked(deployment)
        answers = await asyncio.gather(*asked)
        other.close()
        lost = [
            client.name
            for client, answer in zip(clients, answers)
            if answer is None and deployment.runs("second-" + client.name)
        ]
        ended = deployment.entry.process.poll()
        deployment.record.add("process ended with: %s" % ended)
        deployment.record.add("passed on and closed without an answer: %d (%s)" % (len(lost), " ".join(lost)))
        print("process ended with: %s; requests lost: %d" % (ended, len(lost)))
        return BROKEN if len(lost) > ALLOWED else HELD
    finally:
        deployment.close()


main(play, HERE)
