"""Among many lasting jobs come two that can never work: each of their runs fails
shortly after its start. Does a gang still start on the minions' idle GPUs?"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins-3"))
import lab as lab_module  # noqa: E402

# With TROUBLE=0 the script does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

MINIONS = 8
# Of the lasting jobs that come within 2.8 s, 1 in 18 can never work.
LASTING = [f"/serve/13000000000000{number:02x}" for number in range(36)]
BAD = LASTING[10:12]
GANG = "/plan/13000000000000b1"
MEMBERS = 3
GANG_TASKS = [f"13000000000000b1.0.0.{index}" for index in range(MEMBERS)]
# A lasting task of a bad job ends this long after its start.
FAIL_AFTER_MS = 400
FINISH_S = 14  # bounds.finish_s
IDLE_S = 3  # the time without a run that the rule allows after that
WATCH_S = 40


async def case(lab):
    await lab.start_store()
    lab.configure(1, [{"name": "serve", "prefix": "/serve/", "priority": 1},
                      {"name": "plan", "prefix": "/plan/", "priority": 1}])
    for number in range(MINIONS):
        lab.start_minion(f"i-{number}", rack=f"r{number % 2}")
    for number in range(3):
        lab.start_node(f"node-{number}")
    await lab.until(lambda: lab.ready("node-1"), 15, "no process is ready")
    await asyncio.sleep(4)
    for job in LASTING:
        bad = TROUBLE and job in BAD
        await lab.submit(["node-1", "node-2"], job, {
            "spec": ('{"run_ms": %d, "fails": true}' % FAIL_AFTER_MS if bad
                     else '{"run_ms": 0}'),
            "steps": [{"count": 1, "cpu": 1000, "memMb": 1024,
                       "estimateMs": 1000, "persistent": True}]})
        await asyncio.sleep(0.065)
    await asyncio.sleep(6)
    await lab.submit(["node-2", "node-1"], GANG, {
        "spec": '{"run_ms": 3000}',
        "steps": [{"count": MEMBERS, "cpu": 24000, "memMb": 65536, "gpu": 8,
                   "estimateMs": 3000, "gang": True}]})
    accepted = time.monotonic()
    idle_since = None
    broken = False
    while time.monotonic() < accepted + WATCH_S:
        await asyncio.sleep(0.5)
        now = time.monotonic()
        status, answer = await lab.request("node-1", "GET", GANG)
        state = answer.get("state") if status == 200 else None
        if state == "completed":
            break
        idle = not any(lab.is_running(task) for task in GANG_TASKS)
        if not idle or now < accepted + FINISH_S:
            idle_since = None
        else:
            idle_since = idle_since or now
            broken = broken or now - idle_since > IDLE_S
    starts = [e["task"] for e in lab.events if e["event"] == "start"]
    bad_tasks = [job.rsplit("/", 1)[1] + ".0.0.0" for job in BAD]
    lab.record(f"starts of the gang's tasks: "
               f"{sum(1 for task in starts if task in GANG_TASKS)}, of the two "
               f"jobs' tasks: "
               f"{sum(1 for task in starts if task in bad_tasks)}; lasting "
               f"jobs at work: "
               f"{sum(1 for job in LASTING if job not in BAD and lab.is_running(job.rsplit('/', 1)[1] + '.0.0.0'))}")
    return not broken


lab_module.run_case(FOLDER, case, TROUBLE)
