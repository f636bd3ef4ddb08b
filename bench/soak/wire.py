"""Minimal HTTP/1.1 over asyncio streams for the stand-ins."""

import asyncio
import json
import socket
import struct

MAX_HEAD_BYTES = 65536


class Closed(Exception):
    """The connection was closed within a message."""


class Message:
    """A request or an answer; field names are in lower case."""

    def __init__(self, start_line, fields, body):
        self.start_line = start_line
        self.fields = fields
        self.body = body

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def target(self):
        return self.start_line.split(" ")[1]

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])


async def read_message(reader):
    """Reads one message with Content-Length; returns None when the connection was closed
    between messages."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Closed("within a head") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed("within a body") from error
    return Message(lines[0], fields, body)


def compose(start_line, fields, body=b""):
    """Returns the bytes of a message."""
    lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def compose_json(status, document, fields):
    return compose(f"HTTP/1.1 {status} X", dict(fields, **{"Content-Type": "application/json"}),
                   json.dumps(document).encode())


def reset(writer):
    """Resets a connection without sending the data that is still buffered."""
    transport = writer.transport
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        # Without this option, the kernel ends a connection from which all was read in order.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
