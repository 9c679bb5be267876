"""A task fails once on each of two runners, while a long job fills the third one.

Without the disruption the task does not fail.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from fleet import TROUBLE, CannotRun, Fleet, random_id, run_case  # noqa: E402

FINISH_S = 14.0
STILL_S = 3.0
CPU = 64000


async def case(folder, fleets):
    fleet = Fleet(folder)
    fleets.append(fleet)
    for number, zone in enumerate(('zone-a', 'zone-b', 'zone-c')):
        fleet.add_vm('edge-%s-1' % zone, zone)
        fleet.add_runner('i-%d0%s' % (number, random_id(6)), zone, ['a', 'r1-%d' % number], CPU)
    await fleet.start()
    vm = next(iter(fleet.vms.values()))
    long, small, last = random_id(), random_id(), random_id()
    fleet.work = {long: 100.0, small: 2.0, last: 2.0}

    def count(job):
        return sum(run.task.startswith(job) for _, run in fleet.running())

    def steps(cpu, estimate_ms):
        return {'spec': 'rota', 'steps': [{'count': 1, 'cpu': cpu, 'mem_mb': 1000, 'est_runtime_ms': estimate_ms}]}

    def fail_soon(runner, run):
        if TROUBLE and run.task.startswith(small):
            # The task's own fault, or the runner's; it has two of its four attempts left after the second failure.
            asyncio.get_running_loop().call_later(0.5, runner.finish, run, 'failed')

    fleet.on_start = fail_soon
    await fleet.ask(vm, 'POST', long, steps(CPU, 100000))
    await asyncio.sleep(1.5)
    await fleet.ask(vm, 'POST', small, steps(4000, 2000))
    await asyncio.sleep(6.0)
    # A later job of the same size is done at once.
    await fleet.ask(vm, 'POST', last, steps(4000, 2000))
    await asyncio.sleep(4.0)
    if count(long) != 1 or (await fleet.ask(vm, 'GET', last))[1] != {'state': 'done'}:
        raise CannotRun('the other jobs do not run as planned')
    await asyncio.sleep(FINISH_S)
    broken = []
    attempts = sum(task.startswith(small) for _, _, task, _ in fleet.starts)
    before = len(fleet.starts)
    await asyncio.sleep(STILL_S)
    answer = await fleet.ask(vm, 'GET', small)
    if count(small) == 0 and len(fleet.starts) == before and answer[1]['state'] in ('queued', 'running'):
        broken.append('LOST: %.1f s after the last hand-in %s is shown as %s and has nothing running; it had %d of 4 '
                      'attempts, and two of three runners are idle' % (FINISH_S + STILL_S + 4.0, small,
                                                                        answer[1]['state'], attempts))
    return broken


if __name__ == '__main__':
    run_case(HERE, case)
