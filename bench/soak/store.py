"""Stand-in for the platform's metadata store, with fault injection."""

import asyncio
import base64
import json
import urllib.parse

import wire

PAGE_ITEMS = 50


class Store:
    """Key-value items with one revision counter, and watches on key prefixes."""

    def __init__(self, clock):
        self.clock = clock
        self.items = {}
        self.events = []
        self.revision = 10
        self.compacted_revision = 0  # events up to this revision are no longer kept
        self.changed = asyncio.Event()  # replaced at each change
        self.calls = 0
        self.down = False
        self.slow = 0.0  # seconds added to each answer
        self.loses = 0.0  # share of writes whose answer is replaced by a reset
        self.rejected = {}  # process: "busy" (503), "reset" or "silent" (no answer)
        self.random = None

    async def put(self, key, document):
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        before = self.items.get(key)
        self.items[key] = {"key": key, "value": value,
                           "revision": self.revision, "lease": 0,
                           "create-rev": before["create-rev"] if before else self.revision}
        await self._notify(dict(self.items[key]))

    async def delete(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        await self._notify({"key": key, "revision": self.revision, "deleted": True})

    async def _notify(self, event):
        self.events.append(event)
        notified, self.changed = self.changed, asyncio.Event()
        notified.set()

    def compact(self):
        self.compacted_revision = self.revision
        self.events.clear()

    async def serve(self, process, reader, writer):
        """Answers the calls of one process on one connection."""
        try:
            while (request := await wire.read_message(reader)) is not None:
                self.calls += 1
                rejection = "down" if self.down else self.rejected.get(process)
                if rejection in ("down", "reset"):
                    return wire.reset(writer)
                if rejection == "silent":
                    await asyncio.sleep(3600)
                if rejection == "busy":
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
            if after < self.compacted_revision:
                return wire.compose_json(410, {})
            pending = [e for e in self.events
                    if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = end - self.clock()
            if pending or left <= 0:
                return wire.compose_json(200, {"events": pending, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass
            if self.down or process in self.rejected:
                return None
