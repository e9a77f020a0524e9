"""A stand-in of the platform's metadata store."""

import asyncio
import base64
import itertools
import json

import web

PREFIX = "/kingcuprudder/"
ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Keeps items, leases and a history of changes. `disrupt` may be set to a
    coroutine that gets each request and returns an answer in the store's place,
    or None to let the store answer."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.leases = {}
        self.history = []
        self.first_kept = 10
        self.disrupt = None
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self.server = web.Server(self._handle)

    async def start(self):
        await self.server.start()
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key, value):
        """Writes a value as the operator or a minion does."""
        self._apply([(key, json.dumps(value).encode(), 0)], [])

    def remove(self, key):
        if key in self.items:
            self._apply([], [key])

    def value(self, key):
        return json.loads(base64.b64decode(self.items[key]["value"]))

    def _apply(self, writes, deletes):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items.get(key, {}).get("created", self.revision)
            item = {"key": key, "value": base64.b64encode(value).decode(),
                    "revision": self.revision, "created": created,
                    "leaseId": lease}
            self.items[key] = item
            self.history.append((self.revision, key, item))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    (self.revision, key,
                     {"key": key, "revision": self.revision,
                      "compacted": True}))
        if len(self.history) > 20000:
            self.history = self.history[-10000:]
            self.first_kept = self.history[0][0]
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        bound = [k for k, i in self.items.items() if i["leaseId"] == lease]
        if bound:
            self._apply([], bound)

    async def _expire(self):
        clock = asyncio.get_running_loop().time
        while True:
            for lease, (_, end) in list(self.leases.items()):
                if clock() >= end:
                    self._end_lease(lease)
            await asyncio.sleep(0.02)

    async def _handle(self, request):
        if self.disrupt is not None:
            answer = await self.disrupt(request)
            if answer is not None:
                return answer
        return await self.answer(request)

    async def answer(self, request):
        """Carries out a call and returns its answer."""
        await asyncio.sleep(ANSWER_S)
        name, _, rest = request.path[len(PREFIX):].partition("/")
        if name == "kv-watch":
            return await self._watch(request.query)
        if name == "kv-key":
            item = self.items.get(request.query["key"])
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, {**item, "asOf": self.revision}
        if name == "kv-range":
            return self._range(request.query)
        if name == "kv-txn":
            return self._transaction(request.json())
        clock = asyncio.get_running_loop().time
        if name == "kv-lease":
            ttl = int(request.json()["ttlMs"])
            lease = next(self._lease_ids)
            self.leases[lease] = (ttl, clock() + ttl / 1000)
            return 200, {"leaseId": lease, "ttlMs": ttl}
        if name == "kv-keep":
            if int(rest) not in self.leases:
                return 404, {}
            ttl = self.leases[int(rest)][0]
            self.leases[int(rest)] = (ttl, clock() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if name == "kv-lease-end":
            self._end_lease(int(rest))
            return 200, {}
        return 400, {}

    def _range(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                      and k > query.get("after", ""))
        return 200, {"items": [self.items[k] for k in keys[:PAGE_ITEMS]],
                     "hasMore": len(keys) > PAGE_ITEMS, "asOf": self.revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        clock = asyncio.get_running_loop().time
        end = clock() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self.first_kept - 1:
                return 410, {}
            events = [i for r, k, i in self.history
                      if r > after and k.startswith(prefix)]
            left = end - clock()
            if events or left <= 0:
                return 200, {"events": events[:500], "asOf":
                             events[499]["revision"] if len(events) > 500
                             else self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transaction(self, body):
        expected = body.get("expect", [])
        current = {e["key"]: self.items.get(e["key"]) for e in expected}
        if any((current[e["key"]] or {"revision": 0})["revision"] !=
               e["revision"] for e in expected):
            return 412, {"items": [
                item or {"key": key, "revision": 0}
                for key, item in current.items()]}
        writes = [(w["key"], base64.b64decode(w["value"]),
                   w.get("leaseId", 0)) for w in body.get("writes", [])]
        if any(lease and lease not in self.leases for _, _, lease in writes):
            return 404, {}
        self._apply(writes, body.get("deletes", []))
        return 200, {"revision": self.revision}
