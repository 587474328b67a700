"""A gang bound to one zone that no zone can hold keeps out another team's gang of the same size, which may use all
zones and has room in them."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from deployment import job, main  # noqa: E402

WAITING_S = 90.0
# 10 tasks of 3 CPUs are 30 CPUs of the 32 that each team is guaranteed. A zone has 6 machines of 4 CPUs and one of 8,
# together room for 8 such tasks.
TASKS, CPUS, RAM_GB = 10, 3.0, 6.4


def tasks_that_fit(site):
    """For each zone: how many tasks of the gang the machines that are up have room for."""
    zones = dict.fromkeys(site.zones, 0)
    for machine in site.platform.machines.values():
        tasks = [task.job for task in machine.tasks.values() if task.status != "exited"]
        kind = site.platform.types[machine.kind]
        cpus = kind["cpus"] - sum(task["cpus"] for task in tasks)
        ram = kind["ramGb"] - sum(task["ramGb"] for task in tasks)
        if machine.up and not machine.spot:
            zones[machine.zone] += int(min(cpus // CPUS, ram // RAM_GB))
    return zones


def gang(number, team, same_place):
    return job(number, team, TASKS, cpus=CPUS, ramGb=RAM_GB, shape="ensemble", docket="census-merge",
               samePlace=same_place, stampEveryS=20.0, stampS=2.0)


async def case(site, trouble):
    await site.start()
    if not await site.healthy():
        return 2
    # With TROUBLE=0 this gang may use all zones too.
    if await site.submit(gang(100001, "transcribers-00", trouble), run_s=10.0) not in (200, 201):
        return 2
    await asyncio.sleep(2)
    if await site.submit(gang(300001, "transcribers-01", False), run_s=10.0) not in (200, 201):
        return 2
    accepted = time.monotonic()
    room_since = None
    while time.monotonic() - accepted < WAITING_S + 20:
        await asyncio.sleep(0.5)
        if any(task.startswith("j-300001/") for _, task, _, _ in site.platform.starts):
            site.record("the other team's gang has begun", after_s=time.monotonic() - accepted)
            return 0
        room = tasks_that_fit(site)
        if sum(room.values()) < TASKS:
            room_since = None
        elif room_since is None:
            room_since = time.monotonic()
            site.record("room for the whole gang", tasks_that_fit=room)
        elif time.monotonic() - room_since > WAITING_S:
            await site.poll("j-300001")
            site.record("RULE BROKEN: a job within its team's guarantee waits beside room", tasks_that_fit=room,
                        waited_s=time.monotonic() - accepted)
            return 1
    site.record("the gang waits, but there was no room for the whole time")
    return 2


main(case, seed=6)
