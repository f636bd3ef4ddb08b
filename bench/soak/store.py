"""Stand-in for the platform's metadata store, with its faults."""

import asyncio
import base64
import json
import urllib.parse

import wire

PAGE_ITEMS = 50


class Store:
    """Items with one revision counter, and watches on them."""

    def __init__(self, clock):
        self.clock = clock
        self.items = {}
        self.events = []
        self.revision = 10
        self.forgotten = 0  # history up to this revision is gone
        self.changed = asyncio.Event()  # replaced at each change
        self.calls = 0
        self.down = False
        self.slow = 0.0
        self.loses = 0.0
        self.turned_away = {}  # process: how
        self.random = None

    async def put(self, key, document):
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        before = self.items.get(key)
        self.items[key] = {"key": key, "value": value,
                           "revision": self.revision, "lease": 0,
                           "create-rev": before["create-rev"] if before else self.revision}
        await self._tell(dict(self.items[key]))

    async def delete(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        await self._tell({"key": key, "revision": self.revision, "deleted": True})

    async def _tell(self, event):
        self.events.append(event)
        told, self.changed = self.changed, asyncio.Event()
        told.set()

    def forget(self):
        self.forgotten = self.revision
        self.events.clear()

    async def serve(self, process, reader, writer):
        """Answers the calls of one process on one connection."""
        try:
            while (request := await wire.read_message(reader)) is not None:
                self.calls += 1
                how = "down" if self.down else self.turned_away.get(process)
                if how in ("down", "reset"):
                    return wire.reset(writer)
                if how == "silent":
                    await asyncio.sleep(3600)
                if how == "busy":
                    answer = wire.compose_json(503, {})
                else:
                    answer = await self._answer(request, process)
                await asyncio.sleep(self.slow + 0.004)
                if answer is None or (request.method == "POST"
                                      and self.random.random() < self.loses):
                    return wire.reset(writer)
                writer.write(answer)
                await writer.drain()
        except (wire.Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, process):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return wire.compose_json(404, {"at": self.revision})
            return wire.compose_json(200, dict(item, at=self.revision))
        if url.path == "/kv-range":
            return self._range(query)
        if url.path == "/kv-watch":
            return await self._watch(query, process)
        if url.path == "/kv-txn":
            for put in json.loads(request.body)["puts"]:
                await self.put(put["key"], json.loads(base64.b64decode(put["value"])))
            return wire.compose_json(200, {"revision": self.revision})
        return wire.compose_json(400, {})

    def _range(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query["prefix"]) and k > query.get("after", ""))
        page = [self.items[k] for k in keys[:PAGE_ITEMS]]
        return wire.compose_json(200, {"items": page, "at": self.revision,
                                       "has-more": len(keys) > PAGE_ITEMS})

    async def _watch(self, query, process):
        after = int(query["after"])
        end = self.clock() + int(query["wait-ms"]) / 1000
        while True:
            if after < self.forgotten:
                return wire.compose_json(410, {})
            news = [e for e in self.events
                    if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = end - self.clock()
            if news or left <= 0:
                return wire.compose_json(200, {"events": news, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass
            if self.down or process in self.turned_away:
                return None
