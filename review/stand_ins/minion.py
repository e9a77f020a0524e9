"""A stand-in of one life of a minion, a process of its own.

Usage: minion.py ID ADDRESS STORE RECORD RACK LISTEN

ADDRESS stands in the minion's entry in the store, LISTEN is where it listens.

The spec of a job is JSON: "work_ms" is how long a task works, without it the
task lasts until it is stopped; "gang" is the number of members, which begin to
work when all are there. RECORD gets a line for each start and end.
"""

import http.client
import json
import sys
import threading
import time

from store import JsonHandler, Server

MAX_HOLD_MS = 6000
STARTUP_S = 0.3
GANG_WAIT_S = 3.0
GANG_CALL_S = 0.2
BEAT_S = 1.5
CAPACITY = {"cpu": 64000, "memMb": 262144, "gpu": 8}


class Minion:
    def __init__(self, name, address, store, record, rack):
        self.name, self.address, self.store = name, address, store
        self.rack = rack
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.record_file = open(record, "ab", buffering=0)
        self.changed = threading.Condition()
        self.fence = 0
        self.lease_end = 0
        self.running = {}  # task: {"run", "started", "began", "ends", ...}
        self.ended = []  # [number, task, run, how, saved]
        self.last_number = 0
        self.highest_over = {}  # task: highest run that was stopped or ended
        self.seq = 0
        threading.Thread(target=self._work, daemon=True).start()
        threading.Thread(target=self._watch_gangs, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def record(self, event, **fields):
        line = dict(t=round(time.time(), 3), who=self.name, event=event,
                    **fields)
        self.record_file.write((json.dumps(line) + "\n").encode())

    def _work(self):
        while True:
            time.sleep(0.01)
            with self.changed:
                now = time.monotonic()
                if self.running and self.clock() > self.lease_end:
                    for task in list(self.running):
                        self._end(task, "lapsed")
                for task, run in list(self.running.items()):
                    if run["ends"] is not None and run["ends"] <= now:
                        self._end(task, "done")

    def _watch_gangs(self):
        """Exchanges with the other members' minions, by way of the stand-in of
        the store, which members are there."""
        told = set()
        while True:
            time.sleep(GANG_CALL_S)
            with self.changed:
                here = {(t, r["run"]) for t, r in self.running.items()
                        if r["gang"]}
            for task, number in here | told:
                try:
                    connection = http.client.HTTPConnection(
                        *self.store.split(":"), timeout=1)
                    connection.request("POST", "/stand-in/gang", json.dumps(
                        {"step": task.rsplit(".", 1)[0], "run": number,
                         "task": task, "ended": (task, number) not in here}))
                    seen = json.loads(connection.getresponse().read())
                    connection.close()
                except (OSError, http.client.HTTPException, ValueError):
                    continue
                with self.changed:
                    run = self.running.get(task)
                    if run is None or run["run"] != number:
                        continue
                    if seen["broken"]:
                        self._end(task, "broken")
                    elif seen["present"] >= run["gang"]:
                        self._begin(run)
                    elif time.monotonic() - run["started"] > GANG_WAIT_S:
                        self._end(task, "alone")
            told = here

    def _begin(self, run):
        if run["work_ms"] is not None and run["ends"] is None:
            run["ends"] = time.monotonic() + run["work_ms"] / 1000
        run["began"] = run["began"] or time.monotonic()

    def _end(self, task, how):
        run = self.running.pop(task)
        self.last_number += 1
        self.ended.append([self.last_number, task, run["run"], how, ""])
        self._is_over(task, run["run"])
        self.record("end", task=task, run=run["run"], how=how)
        self.changed.notify_all()

    def _is_over(self, task, run):
        self.highest_over[task] = max(run, self.highest_over.get(task, 0))

    def _extend(self, order):
        if order.get("deadlineMs"):
            self.lease_end = max(self.lease_end, min(
                order["deadlineMs"], self.clock() + MAX_HOLD_MS))

    def _is_stale(self, order):
        token = order.get("fencingToken", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def _said(self, **fields):
        return dict(fields, clockMs=self.clock(), born=self.born)

    def start(self, order):
        with self.changed:
            task, number = order["task"], order["run"]
            if self._is_stale(order):
                return 409, self._said(reason="fence")
            if order["deadlineMs"] <= self.clock():
                return 409, self._said(reason="late")
            self._extend(order)
            present = self.running.get(task)
            if present and present["run"] == number:
                return 200, self._said()
            if number <= self.highest_over.get(task, 0) or present:
                return 409, self._said(reason="old")
            spec = json.loads(order["spec"])
            run = {"run": number, "started": time.monotonic(), "began": None,
                   "ends": None, "gang": spec.get("gang", 0),
                   "work_ms": spec.get("work_ms")}
            self.running[task] = run
            if not run["gang"]:
                self._begin(run)
            self.record("start", task=task, run=number)
            return 200, self._said()

    def stop(self, order):
        with self.changed:
            if self._is_stale(order):
                return 409, self._said(reason="fence")
            present = self.running.get(order["task"])
            if present and present["run"] == order["run"]:
                self._end(order["task"], "stopped")
            else:
                self._is_over(order["task"], order["run"])
            return 200, self._said()

    def hold(self, order):
        with self.changed:
            if self._is_stale(order):
                return 409, self._said(reason="fence")
            self._extend(order)
            seen = order.get("lastSeen", 0)
            for number, task, run, how, _ in self.ended:
                if number <= seen:
                    self.record("noted", number=number, task=task, run=run,
                                how=how)
            self.ended = [e for e in self.ended if e[0] > seen]
            end = time.monotonic() + min(2000, order.get("waitMs", 0)) / 1000
            while not self.ended and end > time.monotonic():
                self.changed.wait(end - time.monotonic())
            now = time.monotonic()
            rows = []
            for task, run in self.running.items():
                age = now - run["began"] if run["began"] else 0
                if run["ends"] is None:
                    percent = 100 if age > STARTUP_S else 0
                else:
                    percent = int(100 * age / (run["ends"] - run["began"]))
                rows.append([task, run["run"], "", min(100, percent), 10])
            return 200, self._said(running=rows, ended=self.ended[:500])

    def entry(self):
        self.seq += 1
        return {"backend": "pool", "address": self.address, "zone": "zone",
                "version": "v1", "slots": 8, "state": "ready",
                "coldRemainingMs": 0, "capacity": CAPACITY,
                "labels": ["a", self.rack], "clockMs": self.clock(),
                "seq": self.seq, "born": self.born}


def main():
    name, address, store, record, rack, listen = sys.argv[1:7]
    host, port = listen.split(":")
    minion = Minion(name, address, store, record, rack)

    class Handler(JsonHandler):
        def do_GET(self):
            self.answer(200 if self.path == "/health" else 404, {})

        def do_POST(self):
            order = self.body()
            calls = {"/kingcuprudder/run-start": minion.start,
                     "/kingcuprudder/run-stop": minion.stop,
                     "/kingcuprudder/hold": minion.hold}
            if self.headers.get("X-Target-Instance") not in (None, name):
                self.answer(421, {})
            elif self.path in calls:
                self.answer(*calls[self.path](order))
            else:
                self.answer(404, {})

    server = Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    minion.record("up", address=address, rack=rack)
    store_host, store_port = store.split(":")
    while True:
        try:
            connection = http.client.HTTPConnection(
                store_host, int(store_port), timeout=2)
            while True:
                with minion.changed:
                    entry = minion.entry()
                connection.request(
                    "POST", "/stand-in/beat",
                    json.dumps({"key": "servers/" + name, "value": entry}),
                    {"Content-Type": "application/json"})
                connection.getresponse().read()
                time.sleep(BEAT_S)
        except (OSError, http.client.HTTPException):
            time.sleep(0.2)


main()
