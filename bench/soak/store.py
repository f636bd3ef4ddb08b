"""Stand-in for the platform's metadata store, with fault injection."""

import asyncio
import base64
import json
import urllib.parse
from collections import deque
from dataclasses import dataclass

import wire

PAGE_ITEMS = 50
COPIES_SECONDS = 15.0  # for which copies are kept


@dataclass
class Copy:
    """State of the store at one moment."""

    at: float
    revision: int
    compacted_revision: int
    items: dict
    events: list


class Store:
    """Key-value items with one revision counter, and watches on key prefixes."""

    def __init__(self, clock, journal):
        self.clock = clock
        self.journal = journal  # text file with a line for each change and restore
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
        self.era = 7  # rises each time the store comes back from a copy
        self.copies = deque()  # one after each change, oldest first
        self._copy()

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
        value = base64.b64decode(event.get("value", b"")).decode()
        self._note(f"{event['key']} {value[:300] or 'deleted'}")
        self._copy()
        self._wake()

    def _wake(self):
        notified, self.changed = self.changed, asyncio.Event()
        notified.set()

    def _note(self, text):
        print(f"{self.clock():.3f} era {self.era} revision {self.revision}: {text}",
              file=self.journal, flush=True)

    def compact(self):
        self.compacted_revision = self.revision
        self.events.clear()
        self._copy()

    def _copy(self):
        now = self.clock()
        self.copies.append(Copy(now, self.revision, self.compacted_revision,
                                dict(self.items), list(self.events)))
        while len(self.copies) > 1 and self.copies[1].at < now - COPIES_SECONDS:
            self.copies.popleft()

    def forget_copies(self):
        """Makes the present state the oldest one to which the store may go back."""
        self.copies.clear()
        self._copy()

    def restore(self, seconds):
        """Goes back to the state of some seconds ago. Later writes get the revisions again that
        were given out since, and waiting watches are cut."""
        at = self.clock() - seconds
        copy = next((c for c in reversed(self.copies) if c.at <= at), self.copies[0])
        self.revision, self.compacted_revision = copy.revision, copy.compacted_revision
        self.items, self.events = dict(copy.items), list(copy.events)
        self.era += 1
        self._note(f"restored from {seconds:.3f} s ago")
        self._copy()
        self._wake()

    async def serve(self, process, reader, writer):
        """Answers the calls of one process on one connection."""
        try:
            while (request := await wire.read_message(reader)) is not None:
                self.calls += 1
                era = self.era
                rejection = "down" if self.down else self.rejected.get(process)
                if rejection in ("down", "reset"):
                    return wire.reset(writer)
                if rejection == "silent":
                    await asyncio.sleep(3600)
                if rejection == "busy":
                    answer = self._json(503, {})
                else:
                    answer = await self._answer(request, process)
                await asyncio.sleep(self.slow + 0.004)
                is_lost = request.method == "POST" and self.random.random() < self.loses
                if answer is None or era != self.era or is_lost:
                    return wire.reset(writer)
                writer.write(answer)
                await writer.drain()
        except (wire.Closed, ConnectionError):
            pass
        finally:
            writer.close()

    def _json(self, status, document):
        return wire.compose_json(status, document, {"Store-Era": self.era})

    async def _answer(self, request, process):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return self._json(404, {"at": self.revision})
            return self._json(200, dict(item, at=self.revision))
        if url.path == "/kv-range":
            return self._range(query)
        if url.path == "/kv-watch":
            return await self._watch(query, process)
        if url.path == "/kv-txn":
            for put in json.loads(request.body)["puts"]:
                await self.put(put["key"], json.loads(base64.b64decode(put["value"])))
            return self._json(200, {"revision": self.revision})
        return self._json(400, {})

    def _range(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query["prefix"]) and k > query.get("after", ""))
        page = [self.items[k] for k in keys[:PAGE_ITEMS]]
        return self._json(200, {"items": page, "at": self.revision,
                                       "has-more": len(keys) > PAGE_ITEMS})

    async def _watch(self, query, process):
        after, era = int(query["after"]), self.era
        end = self.clock() + int(query["wait-ms"]) / 1000
        while True:
            if after < self.compacted_revision or after > self.revision:
                return self._json(410, {})
            pending = [e for e in self.events
                    if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = end - self.clock()
            if pending or left <= 0:
                return self._json(200, {"events": pending, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass
            if self.down or era != self.era or process in self.rejected:
                return None
