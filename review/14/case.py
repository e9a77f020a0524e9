"""A gang that wants one rack loses its minion for good; no rack has room for it
left, but the racks together have more than twice that. Is it started again?"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins-3"))
import lab as lab_module  # noqa: E402

# With TROUBLE=0 the script does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RACKS = 5
GANG = "/plan/14000000000000a1"
MEMBERS = 2
GANG_TASKS = [f"14000000000000a1.0.0.{index}" for index in range(MEMBERS)]
GANG_RUN_MS = 20000
OTHER = "/plan/14000000000000b2"
OTHER_TASKS = [f"14000000000000b2.0.0.{index}" for index in range(RACKS - 1)]
SHORT = "/plan/14000000000000c3"
FINISH_S = 14  # bounds.finish_s
IDLE_S = 3  # the time without a run that the rule allows after that
WATCH_S = 45


async def case(lab):
    await lab.start_store()
    lab.configure(1, [{"name": "plan", "prefix": "/plan/", "priority": 1}])
    # Two minions in each rack. The second one of each rack but the first has
    # the label that the other job requires.
    for rack in range(RACKS):
        lab.start_minion(f"i-{rack}-0", rack=f"r{rack}")
        lab.start_minion(f"i-{rack}-1",
                         rack=f"r{rack}" + (",big" if rack > 0 else ""))
    for number in range(3):
        lab.start_node(f"node-{number}")
    await lab.until(lambda: lab.ready("node-1"), 15, "no process is ready")
    await asyncio.sleep(4)
    # One long task on one minion of each rack but the first: 1 GPU of 8.
    await lab.submit(["node-1", "node-2"], OTHER, {
        "spec": '{"run_ms": 300000}',
        "steps": [{"count": RACKS - 1, "cpu": 4000, "memMb": 8192, "gpu": 1,
                   "estimateMs": 300000, "antiAffinity": 1,
                   "requiredLabel": "big"}]})
    await lab.until(lambda: all(lab.is_running(t) for t in OTHER_TASKS), 10,
                    "the other job's tasks do not all run")
    await lab.submit(["node-2", "node-1"], GANG, {
        "spec": '{"run_ms": %d}' % GANG_RUN_MS,
        "steps": [{"count": MEMBERS, "cpu": 16000, "memMb": 65536, "gpu": 8,
                   "estimateMs": GANG_RUN_MS, "gang": True,
                   "sameRack": True}]})
    await lab.until(lambda: all(lab.is_running(t) for t in GANG_TASKS), 10,
                    "the gang does not start at first")
    if TROUBLE:
        await asyncio.sleep(2)
        lost = lab.is_running(GANG_TASKS[0])
        if lost is None:
            raise lab_module.CannotRun("the gang has ended early")
        lab.kill_minion(lost)
        lab.events.append({"task": GANG_TASKS[0], "event": "lost"})
    # The traffic ends after the crash, with one more job.
    await asyncio.sleep(0.5)
    await lab.submit(["node-2", "node-1"], SHORT, {
        "spec": '{"run_ms": 500}',
        "steps": [{"count": 1, "cpu": 1000, "memMb": 1024,
                   "estimateMs": 500}]})
    traffic_ended = time.monotonic()
    # The jobs are asked for finish_s after the traffic, and for a while more.
    idle_since = None
    longest = 0.0
    asked = False
    until = traffic_ended + WATCH_S
    while time.monotonic() < until:
        await asyncio.sleep(0.5)
        now = time.monotonic()
        status, answer = await lab.request("node-1", "GET", GANG)
        state = answer.get("state") if status == 200 else None
        if now > traffic_ended + FINISH_S and not asked:
            asked = True
            await lab.request("node-2", "GET", SHORT)
        if state == "completed":
            break
        idle = not any(lab.is_running(task) for task in GANG_TASKS)
        if not idle or now < traffic_ended + FINISH_S:
            idle_since = None
        else:
            idle_since = idle_since or now
            longest = max(longest, now - idle_since)
    lab.record(f"from finish_s after the traffic on, the gang had nothing "
               f"running for {longest:.1f} s on end")
    for task in GANG_TASKS:
        lab.record(f"runs of {task}: {lab.runs(task)}")
    return longest <= IDLE_S


lab_module.run_case(FOLDER, case, TROUBLE)
