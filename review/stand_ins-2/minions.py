"""Stand-ins of minions. They run the tasks that they are told to start and keep
a list of all starts and ends, from which a case judges."""

import asyncio
import json
import random
import time

import web

PREFIX = "/kingcuprudder/"
MAX_HOLD_MS = 6000
GANG_TIMEOUT_S = 3.0
# Runs are torn down one after the other. A stop may take 400 ms at most.
STOP_S = 0.1
MAX_STOP_S = 0.4
HEARTBEAT_S = 1.5


class Run:
    def __init__(self, task, run, spec, started):
        self.task = task
        self.run = run
        self.spec = spec
        self.started = started
        self.begun = None
        self.stopping = None


class Fleet:
    """All minions of a deployment, and what has run on them."""

    def __init__(self, store, log, pool="pool"):
        self.store = store
        self.log = log
        self.pool = pool
        self.minions = []
        self.starts = []
        self.ends = []

    async def add(self, rack="r1-1", cpu=64000, mem=262144, gpu=8):
        minion = Minion(self, f"i-{random.getrandbits(40):010x}", rack,
                        {"cpu": cpu, "memMb": mem, "gpu": gpu})
        self.minions.append(minion)
        await minion.start()
        return minion

    def gang_members(self, task, run):
        step = task.rpartition(".")[0]
        return [(m, r) for m in self.minions for r in m.running.values()
                if r.task.rpartition(".")[0] == step and r.run == run]

    def tasks_at_work(self, job):
        return [r for m in self.minions for r in m.running.values()
                if r.task.split(".")[0] == job]


class Minion:
    def __init__(self, fleet, ident, rack, capacity):
        self.fleet = fleet
        self.id = ident
        self.rack = rack
        self.capacity = capacity
        self.up = False
        self._dark = False
        self.hold_back = None
        self.running = {}
        self.calls = {"run-start": 0, "run-stop": 0, "hold": 0}
        self.server = web.Server(self._handle)

    async def start(self):
        self.born = int(time.time() * 1000)
        self._clock0 = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.barred = {}
        self.ended = []
        self.count = 0
        self.seq = 0
        self.up = True
        self._ended_event = asyncio.Event()
        if self._dark:
            self._dark = False
            self.server.speak()
        else:
            await self.server.start(self.server.port)
        self._tasks = [asyncio.create_task(self._work()),
                       asyncio.create_task(self._register())]

    async def crash(self, dark=False):
        """Ends at once; all runs are lost. A dark machine answers nothing."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        lost = [f"{r.task} run {r.run}" for r in self.running.values()]
        self.fleet.log(f"{self.id} crashes; lost: {', '.join(lost) or 'none'}")
        self.running = {}
        self._expiry = asyncio.create_task(self._expire_entry())
        self._dark = dark
        if dark:
            self.server.go_silent()
        else:
            await self.server.stop()

    def clock(self):
        return 1000 + int((time.monotonic() - self._clock0) * 1000)

    def entry(self):
        return {"backend": self.fleet.pool, "address": self.server.address,
                "zone": "z1", "version": "1", "slots": 8, "state": "ready",
                "coldRemainingMs": 0, "seq": self.seq, "born": self.born,
                "capacity": self.capacity, "labels": ["a", self.rack],
                "clockMs": self.clock()}

    async def _register(self):
        while True:
            self.seq += 1
            self.fleet.store.put(f"servers/{self.id}", self.entry())
            self._last_beat = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    async def _expire_entry(self):
        """Removes the entry after three heartbeat intervals of silence."""
        beat = self._last_beat
        await asyncio.sleep(beat + 3 * HEARTBEAT_S - time.monotonic())
        if self._last_beat == beat:
            self.fleet.store.remove(f"servers/{self.id}")

    def _end(self, run, how):
        self.running.pop(run.task, None)
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        self.count += 1
        self.ended.append([self.count, run.task, run.run, how, ""])
        self.fleet.ends.append((time.monotonic(), self.id, run.task, run.run,
                                how))
        self.fleet.log(f"{self.id} ends {run.task} run {run.run}: {how}")
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    async def _work(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.running and self.clock() > self.deadline:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                if self.running.get(run.task) is run:
                    self._advance(run, now)

    def _advance(self, run, now):
        if run.stopping is not None:
            if now >= run.stopping:
                self._end(run, "stopped")
                self._break_gang(run)
            return
        if run.begun is None:
            members = run.spec.get("gang", 1)
            if members > 1:
                present = self.fleet.gang_members(run.task, run.run)
                if len(present) < members:
                    if now - run.started > GANG_TIMEOUT_S:
                        self._end(run, "alone")
                    return
            run.begun = now
        if now - run.begun >= run.spec["run_s"]:
            if run.spec.get("gang", 1) > 1:
                for minion, member in self.fleet.gang_members(run.task,
                                                              run.run):
                    minion._end(member, "done")
            else:
                self._end(run, "done")

    def _break_gang(self, run):
        if run.spec.get("gang", 1) > 1:
            for minion, member in self.fleet.gang_members(run.task, run.run):
                minion._end(member, "broken")

    async def _handle(self, request):
        if request.headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        name = request.path[len(PREFIX):]
        body = request.json()
        if name not in ("run-start", "run-stop", "hold"):
            return 404, {}
        self.calls[name] += 1
        if self.hold_back is not None and self.hold_back(name, body):
            return web.NO_ANSWER
        return await self.carry_out(name, body)

    async def carry_out(self, name, body):
        """Carries a call out, now or later."""
        if body.get("fencingToken", 0) < self.fence:
            return self._refuse("fence")
        self.fence = body.get("fencingToken", 0)
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        return await self._hold(body)

    def _refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    def _extend(self, deadline):
        if deadline is not None:
            self.deadline = max(self.deadline, min(
                int(deadline), self.clock() + MAX_HOLD_MS))

    def _start(self, body):
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.run == number:
            return 200, {"clockMs": self.clock()}
        if number <= self.barred.get(task, 0):
            self._extend(body["deadlineMs"])
            return self._refuse("old")
        if body["deadlineMs"] <= self.clock():
            return self._refuse("late")
        self._extend(body["deadlineMs"])
        run = Run(task, number, json.loads(body["spec"]), time.monotonic())
        self.running[task] = run
        self.fleet.starts.append((run.started, self.id, task, number,
                                  body["fencingToken"]))
        self.fleet.log(f"{self.id} starts {task} run {number} "
                       f"(fence {body['fencingToken']})")
        return 200, {"clockMs": self.clock()}

    def _stop(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        self.barred[task] = max(self.barred.get(task, 0), number)
        if run is not None and run.run == number and run.stopping is None:
            ahead = sum(r.stopping is not None for r in self.running.values())
            run.stopping = time.monotonic() + min(MAX_STOP_S,
                                                  STOP_S * (ahead + 1))
        return 200, {"clockMs": self.clock()}

    async def _hold(self, body):
        self._extend(body.get("deadlineMs"))
        seen = body.get("lastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.fleet.log(f"{self.id}: the end of {end[1]} run {end[2]} "
                               "is taken note of")
        self.ended = [e for e in self.ended if e[0] > seen]
        if not self.ended and body.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self._ended_event.wait(),
                                       body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": [[r.task, r.run, "", self._percent(r),
                                  0 if r.begun is None else 5000]
                                 for r in self.running.values()],
                     "ended": self.ended[:500]}

    def _percent(self, run):
        if run.begun is None:
            return 0
        done = (time.monotonic() - run.begun) / run.spec["run_s"]
        return min(99, int(100 * done))
