"""A client gives a submission up at a machine that stands still, and cancels the
job elsewhere. Does the job start all the same when the machine continues?"""

import asyncio
import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins-2"))

import lab as laboratory  # noqa: E402

NODES = 10           # one of them stands still: a share of 0.1
FREEZE_S = 5.0
GIVE_UP_S = 0.5      # half of the objective of 1,000 ms
CANCEL_S = 3.0       # cancel_ms
STAYING = 3          # of 4 clients one leaves: a share of 0.25
JOB = "c0c0c0c0c0c0c0c0"
BODY = {"spec": json.dumps({"run_s": 8.5}),
        "steps": [{"count": 5, "cpu": 26000, "memMb": 110000, "gpu": 1,
                   "estimateMs": 8500}]}
SHORT = {"spec": json.dumps({"run_s": 2.5}),
         "steps": [{"count": 3, "cpu": 7500, "memMb": 31000, "gpu": 1,
                    "estimateMs": 2500}]}


async def scenario(lab):
    await lab.start(nodes=NODES)
    for number in range(6):
        await lab.fleet.add(rack=f"r1-{number // 2 + 1}")
    await lab.wait_until_ready()
    await asyncio.sleep(4)
    leader = lab.leader()
    still, other = [n for n in lab.nodes if n is not leader][:2]

    began = time.monotonic()
    if lab.trouble:
        still.signal(signal.SIGSTOP)
        await asyncio.sleep(0.3)  # until all its threads stand still
    staying = [asyncio.create_task(lab.client(
        node, "POST", f"{number:016x}", SHORT)) for number, node in enumerate(
            [n for n in lab.nodes if n is not still][:STAYING], 1)]
    status, _ = await lab.client(still, "POST", JOB, BODY, timeout=GIVE_UP_S)
    lab.log(f"the client {'has an answer' if status else 'gives up'}")
    status, _ = await lab.client(other, "DELETE", JOB)
    acknowledged = time.monotonic()
    if status not in (200, 410):
        raise laboratory.CannotRun("the cancel had no 2xx or 410")
    await asyncio.sleep(began + FREEZE_S - time.monotonic())
    if lab.trouble:
        still.signal(signal.SIGCONT)
    await asyncio.sleep(6)
    late = [s for s in lab.fleet.starts if s[2].startswith(JOB)
            and s[0] > acknowledged + CANCEL_S]
    if any(status != 200 for status, _ in await asyncio.gather(*staying)):
        raise laboratory.CannotRun("a client that stayed was not served")
    await lab.client(other, "GET", JOB)
    if not late:
        return True, f"the cancel was answered {status}; nothing started late"
    if lab.leader() is not leader:
        raise laboratory.CannotRun("the leader has changed")
    return False, (
        f"the cancel was answered {status}; {late[0][0] - acknowledged:.1f} s "
        f"later the leader, which led all the while, started {len(late)} tasks "
        "of the job")


laboratory.play(HERE, scenario)
