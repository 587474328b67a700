"""All controllers are restarted one after the other, with a lower number of blocks in the operators' own settings.
After that no task is started any more."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from deployment import job, main  # noqa: E402

WAITING_S = 90.0


def machine_with_room(site, need):
    """The name of a machine that is up and has room for a task, if there is one."""
    for machine in site.platform.machines.values():
        used = sum(task.job["cpus"] for task in machine.tasks.values() if task.status != "exited")
        if machine.up and used + need["cpus"] <= machine.type["cpus"]:
            return machine.name
    return None


async def case(site, trouble):
    policy = os.path.join(site.temp, "policy.toml")

    def write_policy(blocks):
        with open(policy, "w") as file:
            file.write(f'blocks_per_controller = "{blocks}"\n')
        site.record("operators' own settings", blocks_per_controller=blocks)

    write_policy("2.0")
    site.arguments = ["--policy", policy]
    await site.start()
    if not await site.healthy():
        return 2
    first = job(1, "transcribers-00", entries=2)
    if await site.submit(first) not in (200, 201):
        return 2
    if not await site.until(lambda: len(site.platform.results) == 2, 20):
        return 2

    if trouble:
        write_policy("1.0")
    for node in range(site.count):
        await site.restart(node, after=0.3)
        await asyncio.sleep(1.5)
    if not await site.healthy(15):
        return 2
    site.record("all controllers are back", leader=site.leader())

    second = job(2, "transcribers-00", entries=2)
    if await site.submit(second) not in (200, 201):
        return 2
    accepted = time.monotonic()
    room_since = None
    while time.monotonic() - accepted < WAITING_S + 3:
        await asyncio.sleep(0.5)
        if any(task.startswith("j-000002/") for _, task, _, _ in site.platform.starts):
            site.record("the second job has begun", after_s=time.monotonic() - accepted)
            return 0
        machine = machine_with_room(site, second)
        if machine is None:
            room_since = None
        elif room_since is None:
            room_since = time.monotonic()
        elif time.monotonic() - room_since > WAITING_S:
            await site.poll("j-000002")
            site.record("RULE BROKEN: an accepted job waits beside room", machine=machine,
                        waited_s=time.monotonic() - accepted)
            for key in sorted(site.state.keys):
                if key.startswith(("dappleshore/grant/", "dappleshore/leader")):
                    site.record("record", key=key, value=site.state.keys[key][0])
            return 1
    site.record("the job waits, but no machine had room for the whole time")
    return 2


main(case, seed=5)
