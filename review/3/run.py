"""A gang that can never start keeps all free capacity reserved: accepted jobs of another queue are never started."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin

FINISH_S = 14.0


async def play(make, trouble):
    site = make(routes=[standin.route("urgent", priority=0, stretch=1.5, target_ms=1000), standin.route("batch")],
                runners=[{"name": "w%d" % number, "labels": ["a", "r1-%d" % number]} for number in range(3)])
    await site.start()
    small = [{"count": 1, "cpu": 2000, "mem_mb": 512, "est_runtime_ms": 1000}]
    for number in range(20):
        await site.submit("urgent", "%016x" % (0x100 + number), small, {"run_ms": 500})
    if trouble:
        # Can never be done: 40 tasks of 8 cores that must run together, on three runners of 64 cores.
        await site.submit("urgent", "00000000000000ff",
                          [{"count": 40, "cpu": 8000, "mem_mb": 512, "est_runtime_ms": 120000, "gang": True}],
                          {"run_ms": 120000})
    await asyncio.sleep(1.0)
    jobs = ["%016x" % (0x200 + number) for number in range(5)]
    for job in jobs:
        await site.submit("batch", job, small, {"run_ms": 500})
    site.record.say("traffic ended")
    await asyncio.sleep(FINISH_S)
    idle_since = time.monotonic()
    while time.monotonic() < idle_since + 4.0:
        if site.used_share() > 0.0:
            idle_since = time.monotonic()
        await asyncio.sleep(0.05)
    states = {job: await site.state("batch", job) for job in jobs}
    started = {task.split(".")[0] for _, _, task, _ in site.starts}
    lost = [job for job in jobs if states[job] != "done" and job not in started]
    site.record.say("free cpu by runner: %s" % site.free_cpu())
    if lost:
        return ("LOST: %d of %d accepted jobs have nothing running for 4 s, %d s after the end of the traffic, with all "
                "runners idle; states %s" % (len(lost), len(jobs), FINISH_S, sorted(set(states.values()))))
    if any(state != "done" for state in states.values()):
        raise standin.CannotRun("a job is not done: %s" % states)


standin.main(os.path.dirname(os.path.abspath(__file__)), play)
