"""One machine turns faulty. The replicas that failed on it never run again, although other machines have room."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from deployment import job, main  # noqa: E402

WAITING_S = 90.0
REPLICAS = 6
SERVICE = "j-000001"

ALATAU = {"name": "alatau-node", "cpus": 32.0, "cards": 0.0, "ramGb": 128.0, "cacheGb": 60.0, "pullGbPerS": 0.6,
          "rate": 1.57, "spotPrice": 0.36, "readyS": 35.0, "wings": ["cityhall-room"]}


def sound_machines_with_room(site, need):
    """The machines that are up, are not faulty, and have room for a task."""
    names = []
    for machine in site.platform.machines.values():
        used = sum(task.job["cpus"] for task in machine.tasks.values() if task.status != "exited")
        if machine.up and not machine.faulty and used + need["cpus"] <= machine.type["cpus"]:
            names.append(machine.name)
    return names


def sound_replicas(site):
    return [m for m in site.running(SERVICE) if not site.platform.machines[m].faulty]


async def case(site, trouble):
    await site.start()
    if not await site.healthy():
        return 2
    service = job(1, "intake-desk", REPLICAS, cpus=2.0, ramGb=4.3, shape="service", precedence="prod",
                  docket="claim-portal", expectS=0.0)
    if await site.submit(service) not in (200, 201):
        return 2
    if not await site.until(lambda: len(site.running(SERVICE)) == REPLICAS, 20):
        return 2
    await asyncio.sleep(2)

    if trouble:
        on = site.running(SERVICE)
        name = max(set(on), key=on.count)
        site.platform.machines[name].faulty = True
        site.record("a machine turns faulty: tasks fail on it", machine=name, replicas=on.count(name))
    begun = time.monotonic()
    missing_since, fewest, room = None, REPLICAS, []
    while time.monotonic() - begun < WAITING_S + 12:
        await asyncio.sleep(0.2)
        running = sound_replicas(site)
        room = sound_machines_with_room(site, service)
        fewest = min(fewest, len(running))
        if len(running) == REPLICAS or not room:
            missing_since = None
        elif missing_since is None:
            missing_since = time.monotonic()
        elif time.monotonic() - missing_since > WAITING_S:
            await site.poll(SERVICE)
            site.record("RULE BROKEN: replicas do not run beside room", running=running, wanted=REPLICAS,
                        machines_with_room=room, faulty_machine_rented=any(
                            machine.faulty for machine in site.platform.machines.values()))
            return 1
    site.record("the replicas run", running=sound_replicas(site), fewest=fewest)
    return 0 if len(sound_replicas(site)) == REPLICAS else 2


main(case, seed=4, zones=["cityhall-room"], types=[ALATAU],
     capacity={("alatau-node", "cityhall-room", False): 30, ("alatau-node", "cityhall-room", True): 18},
     teams=[("intake-desk", 240.0, 600.0), ("returns-desk", 304.0, 544.0), ("transit-liaison", 600.0, 1800.0)],
     state={"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 16}, cloud={"rps": 6.0, "list_lag_s": 10.0},
     workers={"report_s": 3.0, "lease_s": 26.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 56.0})
