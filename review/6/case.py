"""The leader is stopped as planned while the runs of a cancelled job are being
stopped. Are the minions used again after that?"""

import asyncio
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins-2"))

import lab as laboratory  # noqa: E402

MINIONS = 6
TASKS_PER_MINION = 4  # of 2 of the 8 GPUs
FINISH_S = 14  # finish_s
MORE_S = 15
WAIT_S = 3     # "for 3 s, a job has nothing running"
TERM_AFTER_S = 0.05

WIDE, LATER = "a0a0a0a0a0a0a0a0", "b0b0b0b0b0b0b0b0"


def job(tasks, run_s):
    return {"spec": json.dumps({"run_s": run_s}),
            "steps": [{"count": tasks, "cpu": 7500, "memMb": 31000, "gpu": 2,
                       "estimateMs": int(run_s * 1000)}]}


async def scenario(lab):
    await lab.start(nodes=8)
    for number in range(MINIONS):
        await lab.fleet.add(rack=f"r1-{number // 2 + 1}")
    await lab.wait_until_ready()
    await asyncio.sleep(4)
    leader = lab.leader()
    entry = next(n for n in lab.nodes if n is not leader)

    await lab.client(entry, "POST", WIDE, job(MINIONS * TASKS_PER_MINION, 9.5))
    await asyncio.sleep(3)
    status, _ = await lab.client(entry, "DELETE", WIDE)
    if status != 200:
        raise laboratory.CannotRun("the job was not cancelled")
    await asyncio.sleep(TERM_AFTER_S)
    if lab.trouble:
        leader.signal(signal.SIGTERM)
        restart = asyncio.create_task(leader.start_when_ended())
    await asyncio.sleep(8)
    if lab.trouble:
        await restart
    lab.log(f"{lab.leader().name} leads; {len(lab.fleet.ends)} runs of the "
            f"cancelled job have ended, on all minions "
            f"{sum(len(m.running) for m in lab.fleet.minions)} are at work")

    status, _ = await lab.client(entry, "POST", LATER, job(4, 2))
    if status != 200:
        raise laboratory.CannotRun("the later job was not accepted")
    # The traffic ends here. Jobs are asked for finish_s after that.
    await asyncio.sleep(FINISH_S)
    idle = 0.0
    while idle < WAIT_S:
        status, content = await lab.client(entry, "GET", LATER, quiet=True)
        if lab.fleet.tasks_at_work(LATER) or \
                content.get("state") == "completed":
            return True, f"the later job is {content.get('state')}"
        await asyncio.sleep(0.1)
        idle += 0.1
    # Room for it twice over, and under half of the capacity in use: all of it.
    if any(m.running or not m.up for m in lab.fleet.minions):
        raise laboratory.CannotRun("the minions are not idle")
    # It is shown to last.
    await asyncio.sleep(MORE_S)
    _, content = await lab.client(entry, "GET", LATER)
    started = [s for s in lab.fleet.starts if s[2].startswith(LATER)]
    stops = sum(m.calls["run-stop"] for m in lab.fleet.minions)
    return False, (
        f"{FINISH_S + WAIT_S + MORE_S} s after the last request the later job is "
        f"{content.get('state')} with {len(started)} starts; all {MINIONS} "
        f"minions are up and idle and had {stops} stop orders")


laboratory.play(HERE, scenario)
