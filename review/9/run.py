"""A client cancels a job while a repetition of its hand-in is on the way, and the store answers slowly.

The first attempt to hand the job in ends with a broken connection. The client's cancellation and the repetition of the
hand-in then reach two other entry VMs, the repetition a third of a second later. Without the disruption the store
answers as fast as the site's page says.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from fleet import TROUBLE, Fleet, random_id, run_case  # noqa: E402

# The bounds of the site: cancel_ms and stop_grace_ms.
CANCEL_S = 3.0
STOP_GRACE_S = 0.4
# "The platform's store is slow": its answers take 60 times as long as the 4 ms of the site, for 4.5 s.
SLOW_FACTOR = 60
SLOW_S = 4.5
WORK_S = 12.0
PERIODS = 3
# Times between the cancellation and the repetition of the hand-in, one for each job of a period.
DELAYS_S = (0.45, 0.55, 0.65, 0.75)
CALM_S = 6.0


async def break_off(fleet, vm, name):
    """Sends a part of a hand-in and breaks the connection."""
    _, writer = await asyncio.open_connection('127.0.0.1', vm.front)
    writer.write(('POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 300\r\n\r\n{' % (
        fleet.prefix, name, fleet.host)).encode())
    await writer.drain()
    writer.transport.abort()
    fleet.record.write('client POST', name, 'to', vm.name, 'ends with a broken connection')


async def hand_in_and_cancel(fleet, name, posted_at, cancelled_at, delay, cancelled):
    job = {'spec': 'notice', 'steps': [{'count': 3, 'cpu': 3600, 'mem_mb': 1000, 'est_runtime_ms': 8000}]}

    async def repeat():
        await asyncio.sleep(delay)
        return await fleet.ask(posted_at, 'POST', name, job)

    await break_off(fleet, posted_at, name)
    accepted, ended = await asyncio.gather(repeat(), fleet.ask(cancelled_at, 'DELETE', name))
    if accepted and accepted[0] == 200 and ended and ended[0] in (200, 410):
        cancelled[name] = fleet.record.now()


async def case(folder, fleets):
    fleet = Fleet(folder)
    fleet.max_hold_ms = 10000
    fleets.append(fleet)
    fleet.default_work_s = WORK_S
    for number, zone in enumerate(('zone-a', 'zone-b', 'zone-c')):
        fleet.add_vm('edge-%s-1' % zone, zone)
        for runner in range(4):
            fleet.add_runner('i-%d%d%s' % (number, runner, random_id(6)), zone, ['a', 'r1-%d' % number], 64000)
    await fleet.start()
    others = [vm for vm in fleet.vms.values() if vm.name != fleet.leader]
    usual = fleet.store.answer_ms
    cancelled = {}
    calls = []
    for period in range(PERIODS):
        if TROUBLE:
            fleet.record.write('the store turns slow')
            fleet.store.answer_ms = usual * SLOW_FACTOR
        began = fleet.record.now()
        await asyncio.sleep(0.2)
        for number, delay in enumerate(DELAYS_S):
            calls.append(asyncio.ensure_future(hand_in_and_cancel(
                fleet, random_id(), others[number % 2], others[1 - number % 2], delay, cancelled)))
            await asyncio.sleep(0.9)
        await asyncio.sleep(max(0.0, began + SLOW_S - fleet.record.now()))
        fleet.store.answer_ms = usual
        fleet.record.write('the store answers as usual')
        await asyncio.sleep(CALM_S)
    await asyncio.gather(*calls)
    states = {}
    for name in cancelled:
        states[name] = await fleet.ask(others[0], 'GET', name)
    await asyncio.sleep(WORK_S)
    broken = []
    for name, at in cancelled.items():
        last = await fleet.ask(others[0], 'GET', name)
        for moment, runner, task, run in fleet.starts:
            if not task.startswith(name):
                continue
            end = next((row for row in fleet.ends if row[1:4] == (runner, task, run)), None)
            until = end[0] if end else fleet.record.now()
            if until > at + CANCEL_S + STOP_GRACE_S:
                broken.append('UNASKED: the job of %s was cancelled at %.1f s (shown as %s, then %s), and the task ran '
                              'from %.1f s to %.1f s (%s)' % (task, at, states[name], last, moment, until,
                                                               end[4] if end else 'still'))
    fleet.record.write(len(cancelled), 'of', len(DELAYS_S) * PERIODS, 'jobs were accepted and cancelled')
    return broken


if __name__ == '__main__':
    run_case(HERE, case)
