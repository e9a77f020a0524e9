"""A stand-in of one minion (PROTOCOL.md), as a process of its own. It prints
one JSON line for each start and each end. The text of a job's `spec` is an
object with the time that a task works, `run_ms` (0 for tasks that last), and
with `fails` if each run ends as failed after that time, and with `stop_ms` if a
stop of it takes so long, after which it is answered. With `counted`, the starts
are only counted, in a line from time to time."""

import argparse
import asyncio
import json
import sys
import time

import web


def now_ms():
    return time.monotonic() * 1000


class Minion:
    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.began = now_ms()
        self.fence = 0
        self.deadline = 0.0  # on clock_ms()
        self.running = {}  # (task, run) -> when the work began
        self.work = {}  # (task, run) -> run_ms
        self.fails = set()  # the runs that end as failed
        self.stop_ms = {}  # (task, run) -> how long a stop takes
        self.counted = set()  # the runs without a line of their own
        self.counted_starts = 0
        self.ended = []  # [number, task, run, how, saved]
        self.number = 0
        self.highest_ended = {}  # task -> run
        self.sequence = 0
        self.changed = asyncio.Event()

    def clock_ms(self):
        return 1000 + now_ms() - self.began

    def note(self, event, **fields):
        line = {"at_ms": int(time.time() * 1000), "minion": self.options.id,
                "event": event}
        line.update(fields)
        print(json.dumps(line), flush=True)

    def end(self, key, how):
        task, run = key
        self.running.pop(key)
        self.work.pop(key)
        self.fails.discard(key)
        self.stop_ms.pop(key, None)
        self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
        self.number += 1
        self.ended.append([self.number, task, run, how, ""])
        if key in self.counted:
            self.counted.discard(key)
        else:
            self.note("end", task=task, run=run, how=how)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock_ms() > self.deadline:
                for key in list(self.running):
                    self.end(key, "lapsed")
            for key, began in list(self.running.items()):
                if 0 < self.work[key] <= now_ms() - began:
                    self.end(key, "failed" if key in self.fails else "done")

    def extend(self, request):
        wanted = request.get("deadlineMs")
        if wanted is not None:
            longest = self.clock_ms() + self.options.max_hold_ms
            self.deadline = max(self.deadline, min(wanted, longest))

    def percent(self, key):
        worked = now_ms() - self.running[key]
        if self.work[key] == 0:
            return 100 if worked > 300 else 50
        return min(99, int(100 * worked / self.work[key]))

    def refused(self, reason):
        return 409, {"clockMs": int(self.clock_ms()), "reason": reason,
                     "born": self.born}

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-target-instance", self.options.id) != self.options.id:
            return 421, {}
        request = json.loads(body) if body else {}
        if request.get("fencingToken", 0) < self.fence:
            return self.refused("fence")
        self.fence = request.get("fencingToken", 0)
        answer = {"clockMs": int(self.clock_ms()), "born": self.born}
        if path == "/kingcuprudder/run-start":
            return self.start(request, answer)
        if path == "/kingcuprudder/run-stop":
            task, run = request["task"], request["run"]
            if (task, run) in self.stop_ms:
                await asyncio.sleep(self.stop_ms[task, run] / 1000)
                answer["clockMs"] = int(self.clock_ms())
            self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
            if (task, run) in self.running:
                self.end((task, run), "stopped")
            return 200, answer
        if path == "/kingcuprudder/hold":
            self.extend(request)
            seen = request.get("lastSeen", 0)
            self.ended = [row for row in self.ended if row[0] > seen]
            if not self.ended and request.get("waitMs", 0) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           request["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, {"clockMs": int(self.clock_ms()), "born": self.born,
                         "running": [[task, run, "", self.percent((task, run)), 10]
                                     for task, run in self.running],
                         "ended": self.ended[:500]}
        return 404, {}

    def start(self, request, answer):
        key = (request["task"], request["run"])
        if key in self.running:
            return 200, answer
        if key[1] <= self.highest_ended.get(key[0], 0):
            self.extend(request)
            return self.refused("old")
        if request["deadlineMs"] <= self.clock_ms():
            return self.refused("late")
        self.extend(request)
        self.running[key] = now_ms()
        spec = json.loads(request["spec"])
        self.work[key] = spec["run_ms"]
        if spec.get("fails"):
            self.fails.add(key)
        if spec.get("stop_ms"):
            self.stop_ms[key] = spec["stop_ms"]
        if spec.get("counted"):
            self.counted.add(key)
            self.counted_starts += 1
        else:
            self.note("start", task=key[0], run=key[1])
        return 200, answer

    async def beat(self):
        options = self.options
        while True:
            self.sequence += 1
            if self.counted_starts:
                self.note("counted", starts=self.counted_starts)
                self.counted_starts = 0
            cpu, memory, gpu = (int(n) for n in options.capacity.split(","))
            await web.call(options.store, "POST", "/beat/" + options.id, {
                "backend": options.backend,
                "address": f"{options.host}:{options.port}",
                "zone": options.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldRemainingMs": 0, "seq": self.sequence,
                "capacity": {"cpu": cpu, "memMb": memory, "gpu": gpu},
                "labels": options.labels.split(","), "born": self.born,
                "clockMs": int(self.clock_ms())}, timeout=1.0)
            await asyncio.sleep(options.heartbeat_ms / 1000)


async def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "host", "store", "zone", "labels", "capacity",
                 "backend"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--max-hold-ms", type=int, default=6000)
    parser.add_argument("--heartbeat-ms", type=int, default=1500)
    minion = Minion(parser.parse_args())
    server = web.Server(minion.handle)
    await server.start(minion.options.host, minion.options.port)
    minion.note("born", born=minion.born)
    await asyncio.gather(minion.beat(), minion.tick())


if __name__ == "__main__":
    sys.stdout.reconfigure(line_buffering=True)
    asyncio.run(main())
