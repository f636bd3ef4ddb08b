"""Loopback proxy that delays, stalls or resets connections."""

import asyncio

import wire

CHUNK = 65536


class Proxy:
    """Forwards connections to a target port. Delays and stalls apply to open and to new
    connections."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.port = 0
        self.delay = 0.0
        self.silent = False  # no data passes, and no connection is closed
        self.deaf = False  # no data passes from the target back
        self.refusing = False  # new connections are reset
        self._server = None
        self._pairs = set()

    async def open(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self):
        self._server.close()
        self.reset_all()

    def reset_all(self):
        for writers in list(self._pairs):
            for writer in writers:
                wire.reset(writer)
        self._pairs.clear()

    def clear_faults(self):
        self.delay = 0.0
        self.silent = self.deaf = self.refusing = False

    async def _accept(self, reader, writer):
        if self.refusing:
            return wire.reset(writer)
        try:
            upstream_reader, upstream = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            return wire.reset(writer)
        pair = (writer, upstream)
        self._pairs.add(pair)
        await asyncio.gather(self._forward(reader, upstream, False),
                             self._forward(upstream_reader, writer, True))
        self._pairs.discard(pair)

    async def _forward(self, reader, writer, is_reply):
        try:
            while data := await reader.read(CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.silent or (is_reply and self.deaf):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            wire.reset(writer)
        else:
            if writer.can_write_eof():
                try:
                    writer.write_eof()
                except OSError:
                    pass
