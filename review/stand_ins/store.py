"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it.

It also keeps the list of minions: a minion's entry is removed when the minion
has been silent for three heartbeat intervals.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

SILENT_ENTRY_S = 4.5
ANSWER_S = 0.004
# A member of a gang that was not seen for this long has ended.
GANG_SILENT_S = 1.0


class Store:
    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 100
        self.items = {}  # key: (value, revision, created, lease)
        self.history = []  # (revision, key, value or None, created, lease)
        self.leases = {}  # id: (end, ttl_s)
        self.next_lease = 77000
        self.beats = {}  # key of a minion's entry: time of the last beat
        self.gangs = {}  # (step, run): {task: time when it was last seen}
        self.broken_gangs = set()
        self.stopping = False
        threading.Thread(target=self._expire, daemon=True).start()

    def _expire(self):
        while not self.stopping:
            time.sleep(0.02)
            now = time.monotonic()
            with self.changed:
                ended = [i for i, (end, _) in self.leases.items() if end <= now]
                for lease in ended:
                    self._end_lease(lease)
                silent = [k for k, at in self.beats.items()
                          if now - at > SILENT_ENTRY_S]
                for key in silent:
                    self._remove([key])

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is not None:
            self._remove([k for k, item in self.items.items()
                          if item[3] == lease])

    def _remove(self, keys):
        keys = [k for k in keys if k in self.items]
        if keys:
            self.revision += 1
        for key in keys:
            del self.items[key]
            self.beats.pop(key, None)
            self.history.append((self.revision, key, None, 0, 0))
        self.changed.notify_all()

    def _write(self, writes):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.history.append((self.revision, key, value, created, lease))
        self.changed.notify_all()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "leaseId": lease}

    def put(self, key, value):
        """Writes as the operator or as a minion, not as the system."""
        with self.changed:
            self._write([(key, json.dumps(value).encode(), 0)])
            if key.startswith("servers/"):
                self.beats[key] = time.monotonic()

    def gang(self, step, run, task, ended):
        """The minions tell each other of the members of a gang."""
        with self.changed:
            now = time.monotonic()
            members = self.gangs.setdefault((step, run), {})
            members[task] = now
            if ended or any(now - at > GANG_SILENT_S
                            for at in members.values()):
                self.broken_gangs.add((step, run))
            return 200, {"present": len(members),
                         "broken": (step, run) in self.broken_gangs}

    def read(self, key):
        with self.changed:
            if key not in self.items:
                return 404, {}
            return 200, dict(self.item(key), asOf=self.revision)

    def list(self, prefix, after):
        with self.changed:
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "hasMore": len(keys) > 500, "asOf": self.revision}

    def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        with self.changed:
            while True:
                events = []
                for revision, key, value, created, lease in self.history:
                    if revision <= after or not key.startswith(prefix):
                        continue
                    if value is None:
                        events.append({"key": key, "revision": revision,
                                       "compacted": True})
                    else:
                        events.append(
                            {"key": key,
                             "value": base64.b64encode(value).decode(),
                             "revision": revision, "created": created,
                             "leaseId": lease})
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "asOf": self.revision}
                self.changed.wait(left)

    def commit(self, body):
        with self.changed:
            expected = body.get("expect") or []
            writes = body.get("writes") or []
            deletes = body.get("deletes") or []
            if len(expected) + len(writes) + len(deletes) > 32:
                return 400, {}
            for key in [w["key"] for w in writes] + deletes:
                if key.startswith(("op/", "servers/")):
                    return 403, {}
            def revision(key):
                return self.items[key][1] if key in self.items else 0
            if any(revision(e["key"]) != e["revision"] for e in expected):
                return 412, {"items": [
                    self.item(e["key"]) if e["key"] in self.items
                    else {"key": e["key"], "revision": 0} for e in expected]}
            for write in writes:
                lease = write.get("leaseId", 0)
                if lease and lease not in self.leases:
                    return 404, {}
            self._remove(deletes)
            self._write([(w["key"], base64.b64decode(w["value"]),
                          w.get("leaseId", 0)) for w in writes])
            return 200, {"revision": self.revision}

    def grant(self, ttl_ms):
        with self.changed:
            self.next_lease += 1
            ttl_s = max(1.0, ttl_ms / 1000)
            self.leases[self.next_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"leaseId": self.next_lease, "ttlMs": int(ttl_s * 1000)}

    def keep(self, lease):
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttlMs": int(ttl_s * 1000)}

    def end(self, lease):
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}


class JsonHandler(BaseHTTPRequestHandler):
    """Answers calls with JSON bodies on kept connections."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        text = self.rfile.read(length) if length else b""
        return json.loads(text) if text else {}

    def answer(self, status, body):
        text = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)
        self.wfile.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, *_):
        pass


def serve(store):
    """Serves the store on a free loopback port and returns its address."""

    class Handler(JsonHandler):
        def do_GET(self):
            parts = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(
                parts.query, keep_blank_values=True).items()}
            time.sleep(ANSWER_S)
            if parts.path == "/kingcuprudder/kv-key":
                self.answer(*store.read(query["key"]))
            elif parts.path == "/kingcuprudder/kv-range":
                self.answer(*store.list(query.get("prefix", ""),
                                        query.get("after", "")))
            elif parts.path == "/kingcuprudder/kv-watch":
                self.answer(*store.watch(query.get("prefix", ""),
                                         int(query["after"]),
                                         int(query.get("waitMs", 0)) / 1000))
            else:
                self.answer(404, {})

        def do_POST(self):
            body = self.body()
            time.sleep(ANSWER_S)
            if self.path == "/kingcuprudder/kv-txn":
                self.answer(*store.commit(body))
            elif self.path == "/kingcuprudder/kv-lease":
                self.answer(*store.grant(body["ttlMs"]))
            elif self.path.startswith("/kingcuprudder/kv-keep/"):
                self.answer(*store.keep(int(self.path.rsplit("/", 1)[1])))
            elif self.path == "/stand-in/beat":  # only the minions call this
                store.put(body["key"], body["value"])
                self.answer(200, {})
            elif self.path == "/stand-in/gang":  # only the minions call this
                self.answer(*store.gang(body["step"], body["run"],
                                        body["task"], body["ended"]))
            else:
                self.answer(404, {})

        def do_DELETE(self):
            time.sleep(ANSWER_S)
            self.answer(*store.end(int(self.path.rsplit("/", 1)[1])))

    server = Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return "127.0.0.1:%d" % server.server_address[1]
