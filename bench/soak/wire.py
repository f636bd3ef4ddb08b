"""HTTP/1.1 over asyncio streams, as little of it as the stand-ins need."""

import asyncio
import json

LONGEST_HEAD = 65536


class Closed(Exception):
    """The connection ended before a whole message."""


class Message:
    """A request or an answer; field names are in lower case."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader):
    """Reads one message whose body has a length; None at a clean end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as broken:
        if broken.partial:
            raise Closed("within a head") from broken
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as broken:
        raise Closed(str(broken)) from broken
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as broken:
        raise Closed("within a body") from broken
    return Message(lines[0], fields, body)


def compose(first, fields, body=b""):
    """The bytes of a message."""
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def compose_json(status, document):
    return compose(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                   json.dumps(document).encode())


def reset(writer):
    """Ends a connection without the usual goodbye."""
    transport = writer.transport
    if transport is not None:
        transport.abort()
