"""The one minion without a serving task is lost for good while a task that
fills runs on it. Does the task start again beside a serving task?"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins-3"))
import lab as lab_module  # noqa: E402

MINIONS = 8
SERVING = "/serve/13000000000000a1"
FILLING = "/fill/13000000000000b2"
FILLING_TASK = "13000000000000b2.0.0.0"
RUN_MS = 6000
FINISH_S = 14  # bounds.finish_s
IDLE_S = 3  # the time without a run that the rule allows after that


async def case(lab):
    await lab.start_store()
    lab.configure(1, [{"name": "serve", "prefix": "/serve/", "priority": 0},
                      {"name": "fill", "prefix": "/fill/", "priority": 1}])
    for number in range(MINIONS):
        lab.start_minion(f"i-{number}", rack=f"r{number % 2}")
    for number in range(3):
        lab.start_node(f"node-{number}")
    await lab.until(lambda: lab.ready("node-1"), 15, "no process is ready")
    await asyncio.sleep(4)
    # One serving task on each minion but one; each uses 1 GPU of 8.
    await lab.submit(["node-1", "node-2"], SERVING, {
        "spec": '{"run_ms": 0}',
        "steps": [{"count": MINIONS - 1, "cpu": 4000, "memMb": 8192, "gpu": 1,
                   "estimateMs": 1000, "antiAffinity": 1, "persistent": True,
                   "image": "web", "targetMs": 200}]})
    serving = [f"13000000000000a1.0.0.{i}" for i in range(MINIONS - 1)]
    await lab.until(lambda: all(lab.is_running(task) for task in serving), 10,
                    "the serving tasks do not all run")
    await lab.submit(["node-2", "node-1"], FILLING, {
        "spec": '{"run_ms": %d}' % RUN_MS,
        "steps": [{"count": 1, "cpu": 8000, "memMb": 8192, "gpu": 1,
                   "estimateMs": RUN_MS, "fills": True, "image": "batch"}]})
    traffic_ended = time.monotonic()
    await lab.until(lambda: lab.is_running(FILLING_TASK), 10,
                    "the filling task does not start at first")
    if lab.trouble:
        await asyncio.sleep(2)
        lost = lab.is_running(FILLING_TASK)
        if lost is None:
            raise lab_module.CannotRun("the filling task has ended early")
        lab.kill_minion(lost)
        lab.events.append({"task": FILLING_TASK, "event": "lost"})
    # The jobs are asked for finish_s after the traffic, and for a while more.
    idle_since = None
    broken = False
    until = traffic_ended + FINISH_S + 40
    while time.monotonic() < until:
        await asyncio.sleep(0.5)
        now = time.monotonic()
        status, answer = await lab.request("node-1", "GET", FILLING)
        state = answer.get("state") if status == 200 else None
        if state == "completed":
            break
        idle = lab.is_running(FILLING_TASK) is None
        if not idle or now < traffic_ended + FINISH_S:
            idle_since = None
        else:
            idle_since = idle_since or now
            broken = broken or now - idle_since > IDLE_S
    lab.record(f"runs of the filling task: {lab.runs(FILLING_TASK)}")
    lab.record(f"serving tasks at work: "
               f"{sum(1 for task in serving if lab.is_running(task))} of "
               f"{len(serving)}, 1 GPU of 8 on each of {MINIONS - 1} minions")
    return not broken


lab_module.run_case(FOLDER, case)
