"""Runners crash and start again under their ids as another kind, while tasks wait that need the former kind.

Without the disruption they start again as the kind that they were.
"""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from fleet import TROUBLE, Fleet, random_id, run_case  # noqa: E402

DOWN_S = 1.0
ROUNDS = 28


async def come_back(runner, kind):
    """Lets a runner crash, and start again under its id and address as a kind."""
    await runner.crash()
    await asyncio.sleep(DOWN_S)
    runner.labels = [kind] + runner.labels[1:]
    await runner.start()


async def case(folder, fleets):
    fleet = Fleet(folder)
    fleets.append(fleet)
    fleet.default_work_s = 6.0
    fleet.noted_events = ('worker_restarted', 'worker_changed')
    runners = []
    for number, zone in enumerate(('zone-a', 'zone-b', 'zone-c')):
        fleet.add_vm('edge-%s-1' % zone, zone)
        for place in range(6):
            kind = 'b' if place < 2 else 'a'
            runners.append(fleet.add_runner('i-%d%d%s' % (number, place, random_id(6)), zone,
                                            [kind, 'r%d-1' % number], 64000))
    broken = []

    def check(runner, run):
        if 'b' not in runner.labels:
            broken.append('ROUTE: %s, which requires the label b, starts at %.2f s on %s with the labels %s' % (
                run.task, fleet.record.now(), runner.name, ', '.join(runner.labels)))

    fleet.on_start = check
    await fleet.start()
    # More tasks than the runners of kind b have room for.
    job = {'spec': 'rota', 'steps': [{'count': 400, 'cpu': 18000, 'mem_mb': 1000, 'est_runtime_ms': 6000,
                                      'requires': 'b'}]}
    vm = next(iter(fleet.vms.values()))
    await fleet.ask(vm, 'POST', random_id(), job)
    await asyncio.sleep(2.0)
    for _ in range(ROUNDS):
        # Two of the eighteen runners at a time, one of each kind.
        for kind, other in (('b', 'a'), ('a', 'b')):
            runner = random.choice([item for item in runners if item.labels[0] == kind and item.is_up])
            asyncio.ensure_future(come_back(runner, other if TROUBLE else kind))
        await asyncio.sleep(DOWN_S + 1.5)
    return broken


if __name__ == '__main__':
    run_case(HERE, case)
