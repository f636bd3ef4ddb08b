"""Case 9: a target's answer whose status is 000 is passed on to the client."""

import asyncio
import os
import re
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins2"))
from world import BROKEN, HELD, TROUBLE, UNABLE, Deployment, main, read_body, route

REQUESTS = 20
# The start of any answer in the protocol: the version, then a status of three
# digits, the first of which is 1 to 5.
ANSWER = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9] ")


async def answer_in_trouble(target, request, reader, writer):
    """A target in trouble: its answers are whole, but their status is 000."""
    _, fields = request
    await read_body(reader, fields)
    attempt = fields.get("attempt-id", "")
    target.run(attempt)
    writer.write(target.answer_bytes(attempt, status=b"000 Trouble" if TROUBLE else b"200 OK"))
    await writer.drain()
    return True


async def ask(deployment, number):
    """Returns the first bytes that a client gets for one request."""
    attempt = "attempt-%d" % number
    kind, target = (b"GET", b"/s/search") if number % 2 else (b"POST", b"/x/order")
    reader, writer = await asyncio.open_connection("127.0.0.1", deployment.entry.port)
    deployment.record.add("client sends %s %s" % (kind.decode(), attempt))
    writer.write(
        kind
        + b" "
        + target
        + b" HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
        + attempt.encode()
        + b"\r\nDeadline-Milliseconds: 1000\r\nContent-Length: 0\r\n\r\n"
    )
    got = await asyncio.wait_for(reader.read(1000), 4)
    writer.close()
    deployment.record.add("client gets %r" % got.split(b"\r\n")[0])
    return got


async def play(folder):
    deployment = Deployment(folder)
    try:
        routes = [
            route("a.example", "/x/", "catalogo", "unsafe"),
            route("a.example", "/s/", "catalogo", "safe"),
        ]
        if not await deployment.open(routes):
            return UNABLE
        await deployment.entry.wait_in_touch()
        # One of the two targets is in trouble.
        deployment.targets[0].behave = answer_in_trouble
        got = [await ask(deployment, number) for number in range(REQUESTS)]
        wrong = [answer for answer in got if answer and not ANSWER.match(answer)]
        deployment.record.add("bytes that are no answer in the protocol: %d of %d" % (len(wrong), REQUESTS))
        print("bytes that are no answer in the protocol: %d of %d" % (len(wrong), REQUESTS))
        return BROKEN if wrong else HELD
    finally:
        deployment.close()


main(play, HERE)
