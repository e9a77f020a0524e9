"""A stand-in of the platform's metadata store (PROTOCOL.md): items, pages,
watches, transactions and leases, without rate limits. The heartbeats of the
minion stand-ins arrive at POST /beat/ID, a path of this stand-in's own."""

import asyncio
import base64
import json
import time

import web

PAGE_ITEMS = 500
KEPT_EVENTS = 2000
KEPT_BYTES = 200e6  # of values in the history
MAX_VALUE_BYTES = 1048576


def now():
    return time.monotonic()


class Store:
    def __init__(self, heartbeat_s=1.5):
        self.items = {}
        self.revision = 100
        self.events = []  # (revision, key, item or None)
        self.event_bytes = 0
        self.history_from = 0
        self.leases = {}  # id -> [expires, ttl_s]
        self.last_lease = 1000
        self.beats = {}  # minion -> time of its last heartbeat
        self.heartbeat_s = heartbeat_s
        self.changed = asyncio.Event()
        self.server = web.Server(self.handle)
        self.address = None
        self.largest = (0, "")  # bytes and key of the largest value sent
        self.refused = 0  # calls with a value over the limit
        # May be replaced to disturb calls: returns None or (status, body),
        # which is answered in place of the call.
        self.before = None

    async def start(self):
        port = await self.server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"
        self.sweeper = asyncio.ensure_future(self.sweep())

    async def sweep(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [i for i, (end, _) in self.leases.items()
                          if end < now()]:
                self.end_lease(lease)
            for minion in [m for m, at in self.beats.items()
                           if now() - at > 3 * self.heartbeat_s]:
                self.leave(minion)

    def leave(self, minion):
        self.beats.pop(minion, None)
        if "servers/" + minion in self.items:
            self.apply([], ["servers/" + minion])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        bound = [k for k, i in self.items.items() if i["leaseId"] == lease]
        if bound:
            self.apply([], bound)

    def put(self, key, value):
        """Writes as the operator does. Returns the revision."""
        return self.apply([(key, value, 0)], [])

    def apply(self, writes, deletes):
        self.revision += 1
        for key, value, lease in writes:
            old = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(value).decode(),
                    "revision": self.revision,
                    "created": old["created"] if old else self.revision,
                    "leaseId": lease}
            self.items[key] = item
            self.events.append((self.revision, key, item))
            self.event_bytes += len(item["value"])
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None))
        if (len(self.events) > 2 * KEPT_EVENTS
                or self.event_bytes > 2 * KEPT_BYTES):
            self.trim()
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    def trim(self):
        """Discards the oldest part of the history."""
        kept, size = 0, 0
        for _, _, item in reversed(self.events):
            size += len(item["value"]) if item else 0
            if kept == KEPT_EVENTS or size > KEPT_BYTES:
                break
            kept += 1
        del self.events[:-kept]
        self.event_bytes = sum(len(item["value"])
                               for _, _, item in self.events if item)
        self.history_from = self.events[0][0]

    async def handle(self, method, path, query, headers, body):
        if self.before is not None:
            answer = await self.before(method, path, query, body)
            if answer is not None:
                return answer
        request = json.loads(body) if body else {}
        name = path.split("/")[2] if path.startswith("/kingcuprudder/") else ""
        if path.startswith("/beat/"):
            minion = path.split("/")[2]
            self.beats[minion] = now()
            self.put("servers/" + minion, body)
            return 200, {}
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, dict(item, asOf=self.revision)
        if name == "kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:PAGE_ITEMS]]
            return 200, {"items": page, "hasMore": len(keys) > len(page),
                         "asOf": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.transaction(request)
        if name == "kv-lease":
            self.last_lease += 1
            ttl = request["ttlMs"] / 1000
            self.leases[self.last_lease] = [now() + ttl, ttl]
            return 200, {"leaseId": self.last_lease, "ttlMs": request["ttlMs"]}
        if name == "kv-keep":
            lease = self.leases.get(int(path.split("/")[3]))
            if lease is None:
                return 404, {}
            lease[0] = now() + lease[1]
            return 200, {"ttlMs": int(lease[1] * 1000)}
        if name == "kv-lease-end":
            self.end_lease(int(path.split("/")[3]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        end = now() + int(query["waitMs"]) / 1000
        while True:
            if after < self.history_from:
                return 410, {}
            events = []
            for revision, key, item in self.events:
                if revision > after and key.startswith(query["prefix"]):
                    events.append(item or {"key": key, "revision": revision,
                                           "compacted": True})
            if events or now() >= end:
                return 200, {"events": events, "asOf": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.0, end - now()))
            except asyncio.TimeoutError:
                pass

    def transaction(self, request):
        conflicts = []
        for row in request.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                conflicts.append(item or {"key": row["key"], "revision": 0})
        if conflicts:
            return 412, {"items": conflicts}
        writes = []
        for row in request.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            lease = row.get("leaseId", 0)
            if lease and lease not in self.leases:
                return 404, {}
            value = base64.b64decode(row["value"])
            self.largest = max(self.largest, (len(value), row["key"]))
            if len(value) > MAX_VALUE_BYTES:
                self.refused += 1
                return 400, {}
            writes.append((row["key"], value, lease))
        return 200, {"revision": self.apply(writes, request.get("deletes", []))}
