"""The write that places a service's tasks gets no answer and is carried out late, when the value that it puts has been
divided into several. A task that was replaced in between is started twice after an absence of all controllers."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from deployment import job, main  # noqa: E402

ZONE = "gauteng-rack"
PLACES = f"dappleshore/places/{ZONE}.0"
# The late write comes within 12 s; the controllers are away for longer than `lease_s` (26 s).
LATE_S, AWAY_S = 11.5, 28.0
REPLICAS = 120
SERVICE = "j-400001"


async def case(site, trouble):
    first = {}

    def commit_fault(node, body):
        values = [change["value"] for change in body.get("apply") or [] if change.get("put") == PLACES]
        if first or not values or not values[0]["on"]:
            return None
        first.update(at=time.monotonic(), value=values[0])
        site.record("first write of the block", attempts=sum(map(len, values[0]["on"].values())), when=body["when"][:3])
        return ("late", LATE_S) if trouble else None

    site.state.commit_fault = commit_fault
    await site.state.start(site.state_ports)
    await site.platform.start(site.cloud_port)
    for node in (0, 1):
        await site.start_node(node)
    service = job(400001, "transcribers-00", REPLICAS, cpus=0.1, ramGb=0.2, shape="service", precedence="prod",
                  docket="lineage-lookup", wing=ZONE, expectS=0.0, imageGb=0.1)
    if await site.submit(service) not in (200, 201):
        return 2
    if not await site.until(lambda: len(site.running(SERVICE)) == REPLICAS, 20):
        return 2
    site.record("all replicas run")
    # The third controller comes back with the new program: the last one of the upgrade.
    await site.start_node(2)
    if not await site.until(lambda: "dappleshore/format" in site.state.keys, 6):
        return 2
    site.record("the format is switched on")
    other = job(400002, "transcribers-01", cpus=0.1, ramGb=0.2, wing=ZONE, imageGb=0.1)
    if await site.submit(other, run_s=1.0) not in (200, 201):
        return 2
    # The next write of the block, which the limits don't allow in one value any more.
    if not await site.until(lambda: PLACES not in site.state.keys, first["at"] + LATE_S - 0.5 - time.monotonic()):
        site.record("the value was not divided in time")
        return 2
    site.record("the value is divided", keys=[key for key in sorted(site.state.keys) if "/places" in key])
    machine, attempts = next(iter(sorted(first["value"]["on"].items())))
    name = "j-" + attempts[0].split(":")[0]
    site.platform.machines[machine].exit(site.platform.machines[machine].tasks[name], "error")
    site.record("a replica exits with error", task=name, machine=machine)
    if not await site.until(lambda: len(site.running(SERVICE)) == REPLICAS, 5):
        return 2
    await asyncio.sleep(max(0, first["at"] + LATE_S + 1 - time.monotonic()))
    site.record("records of placements", keys=[k for k in sorted(site.state.keys) if "/places" in k])
    for node in range(site.count):
        await site.kill(node)
    await asyncio.sleep(AWAY_S)
    for node in range(site.count):
        await site.start_node(node)
    await site.until(lambda: len(site.running(SERVICE)) >= REPLICAS, 20)
    await asyncio.sleep(3)
    site.record("rules broken", broken=site.platform.broken)
    return 1 if any(rule == "ran_twice" for rule, _ in site.platform.broken) else 0


main(case, seed=4, boot_s=(1.0, 1.05), next_limits={"value_kb": 2.0, "txn_ops": 5, "write_rps": 15.0})
