"""Case 14: tasks start on a runner that came back as another kind, without the label that they require."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit3"))
import standin  # noqa: E402

WORKERS = 12
PLAY_S = 60.0
random.seed(14)


async def scenario(site, trouble):
    record = site.record
    for pos, worker in enumerate(site.workers):
        worker.kind = "ab"[pos % 2]
    entries = [site.entry(f"entry-{letter}", zone) for letter, zone in zip("abc", site.zones)]
    for entry in entries:
        await entry.start()
    for entry in entries:
        await site.until_ready(entry)
    await asyncio.sleep(2.5)
    begun = standin.seconds()
    number = 0
    crashes = 0
    pending = []
    next_crash = begun + 4.0
    next_job = begun
    while standin.seconds() < begun + PLAY_S:
        await asyncio.sleep(0.05)
        now = standin.seconds()
        if now >= next_job:
            # More work for kind b than its six workers hold, so that some always waits.
            next_job = now + 2.0
            number += 1
            pending.append(asyncio.create_task(site.ask(
                random.choice(entries), "POST", f"/batch/{0x14a0000000000000 + number:016x}",
                {"spec": '{"ms":1500,"spread":0.3}', "steps": [
                    {"count": 32, "cpu": 16000, "mem_mb": 8192, "est_runtime_ms": 1500, "requires": "b"}]})))
        if trouble and now >= next_crash:
            # Two of twelve at a time: one of each kind comes back as the other.
            next_crash = now + 6.0
            crashes += 2
            for kind, other in (("a", "b"), ("b", "a")):
                worker = random.choice([item for item in site.workers if item.kind == kind and not item.is_down])
                pending.append(asyncio.create_task(worker.crash(1.0, other)))
    await asyncio.sleep(3.0)
    wrong = [start for worker in site.workers for start in worker.starts if start["kind"] != "b"]
    for start in wrong:
        record.write(f"ROUTE: run {start['run']} of {start['task']}, which requires b, began at {start['at']:.3f} s on "
                     f"{start['worker']}, which was of kind {start['kind']}")
    record.write(f"{crashes} crashes, {sum(len(worker.starts) for worker in site.workers)} starts")
    record.write("ROUTE is broken" if wrong else "ROUTE held")
    return 1 if wrong else 0


standin.main(os.path.dirname(os.path.abspath(__file__)), scenario, workers=WORKERS, advice=(10.0, 0.15, 2000))
