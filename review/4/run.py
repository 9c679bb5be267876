"""A submission has no answer while the store loses answers; its cancel is answered 410, and the job runs all the same."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin

CONTACT_S, CANCEL_S = 3.0, 3.0
LOST_FOR_S, LATE_S, MOST_LOST = 4.5, 5.5, 0.35


async def play(make, trouble):
    site = make(routes=[standin.route("batch")],
                runners=[{"name": "w%d" % number, "labels": ["a", "r1-%d" % number]} for number in range(3)])
    await site.start()
    small = [{"count": 1, "cpu": 2000, "mem_mb": 512, "est_runtime_ms": 500}]
    job = "00000000000000a1"
    lost = []
    writes_before = site.store.writes
    begun = time.monotonic()

    def lose(body):
        if ("job/" + job).encode() in body and time.monotonic() < begun + LOST_FOR_S:
            lost.append(time.monotonic())
            return LATE_S
        return None

    async def background():
        for number in range(40):
            await site.submit("batch", "%016x" % (0x300 + number), small, {"run_ms": 300})
            await asyncio.sleep(0.1)

    if trouble:
        site.store.lose = lose
    others = asyncio.ensure_future(background())
    site.sizes[(job, 0)] = 2000
    body = standin.json.dumps({"spec": standin.json.dumps({"run_ms": 60000}),
                               "steps": [{"count": 1, "cpu": 2000, "mem_mb": 512, "est_runtime_ms": 60000}]}).encode()
    status, _ = await site.request("POST", "batch", job, body, attempts=1)
    site.record.say("the client has %s for its submission and cancels the job" % (status or "no acceptance"))
    status, _ = await site.request("DELETE", "batch", job)
    if status not in (200, 410):
        raise standin.CannotRun("the cancel was not acknowledged: %s" % status)
    acknowledged = time.monotonic()
    await others
    share = len(lost) / max(1, site.store.writes - writes_before)
    site.record.say("%d of %d writes were lost" % (len(lost), site.store.writes - writes_before))
    if share > MOST_LOST:
        raise standin.CannotRun("too many writes were lost")
    steady = begun + LOST_FOR_S + 1.5 + CONTACT_S
    await asyncio.sleep(max(steady, acknowledged) + CANCEL_S + standin.STOP_GRACE_MS / 1000 + 1.0 - time.monotonic())
    if site.is_running(job):
        started = max(at for at, _, task, _ in site.starts if task.startswith(job))
        return ("UNASKED: a task of a job whose cancelling was acknowledged with %d was started %.1f s after that and "
                "still runs %.1f s after that" % (status, started - acknowledged, time.monotonic() - acknowledged))


standin.main(os.path.dirname(os.path.abspath(__file__)), play)
