"""A job with many tasks on one minion is cancelled. Each stop takes 40 ms, and
the minion can carry out all of them at once. Do the tasks end in time?"""

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
COUNT = 128  # half a core each; a minion has 64
JOBS = [f"/plan/15000000000000a{number}" for number in range(4)]
CANCELLED = JOBS[3]
# The largest x of give_up in the site file is 900 ms.
CANCEL_AFTER_S = 0.8
RUN_MS = 30000
STOP_MS = 40  # bounds.stopTimeoutMs is 400
CANCEL_MS = 3000  # bounds.cancel_ms
STOP_TIMEOUT_MS = 400


def tasks_of(job):
    name = job.rsplit("/", 1)[1]
    return [f"{name}.0.0.{index}" for index in range(COUNT)]


async def case(lab):
    await lab.start_store()
    lab.configure(1, [{"name": "plan", "prefix": "/plan/", "priority": 1}])
    for number in range(MINIONS):
        lab.start_minion(f"i-{number}", rack=f"r{number % 2}")
    for number in range(3):
        lab.start_node(f"node-{number}")
    await lab.until(lambda: lab.ready("node-1"), 15, "no process is ready")
    await asyncio.sleep(4)
    acknowledged = 0.0
    for job in JOBS:
        await lab.submit(["node-1", "node-2"], job, {
            "spec": '{"run_ms": %d, "stop_ms": %d}' % (RUN_MS, STOP_MS),
            "steps": [{"count": COUNT, "cpu": 500, "memMb": 512,
                       "estimateMs": RUN_MS}]})
        acknowledged = time.monotonic()
    await lab.until(lambda: all(lab.is_running(task) for job in JOBS
                                for task in tasks_of(job)),
                    15, "the tasks do not all run")
    await asyncio.sleep(max(0.0, acknowledged + CANCEL_AFTER_S
                            - time.monotonic()))
    tasks = tasks_of(CANCELLED)
    places = sorted(lab.is_running(task) for task in tasks)
    lab.record("tasks of the job: " + ", ".join(
        f"{places.count(minion)} on {minion}" for minion in sorted(set(places))))
    if not TROUBLE:
        return all(lab.is_running(task) for task in tasks)
    status, _ = await lab.request("node-1", "DELETE", CANCELLED)
    if status not in (200, 410):
        raise lab_module.CannotRun("the cancel is not acknowledged")
    acknowledged_ms = time.time() * 1000
    await lab.holds_within(
        lambda: not any(lab.is_running(task) for task in tasks), 20)
    await asyncio.sleep(0.5)
    ends = [e["at_ms"] - acknowledged_ms for e in lab.events
            if e["event"] == "end" and e["task"] in tasks]
    late = [at for at in ends if at > CANCEL_MS + STOP_TIMEOUT_MS]
    missing = COUNT - len(ends)
    lab.record(f"ends: {len(ends)} of {COUNT}, the last "
               f"{max(ends, default=0) / 1000:.2f} s after the acknowledgement; "
               f"{len(late)} later than {CANCEL_MS + STOP_TIMEOUT_MS} ms")
    return not late and not missing


lab_module.run_case(FOLDER, case, TROUBLE)
