"""One transaction gets no answer and is carried out 12 s later, after newer ones of the same controller."""
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import TABYLGY, Deployment
from runner import run

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 12.0
POOL = ("alatau-node", "cityhall-room", False)
RUN_S = {"j-000001": 12.0, "j-000002": None, "j-000003": 6.0, "j-000004": 50.0}


def main(folder):
    d = Deployment(folder, TABYLGY, run_s=lambda task: RUN_S[task.split("/")[0]], capacity={POOL: 3})
    try:
        return play(d)
    finally:
        d.close()


def play(d):
    portal = dict(docket="claim-portal", desk="returns-desk", shape="service", precedence="prod", cpus=2.0,
                  ramGb=4.3, bundle="img-portal", imageGb=1.8, expectS=0.0)
    match = dict(docket="photo-match", desk="intake-desk", cpus=8.0, ramGb=27.0, imageGb=0.9)
    d.cloud.boot_s = lambda ready: 1.5
    for name in d.names:
        d.start(name)
    if not d.wait_healthy():
        d.record("case", "not healthy")
        return 2
    # One rental request gets no answer and is carried out late, while there is no other machine: when it is repeated,
    # it is refused.
    unanswered = []

    def rent_late(method, path, body):
        if path == "/machines" and method == "POST" and len(d.workers) == 3 and not unanswered:
            unanswered.append(body)
            d.record("cloud", "no answer to %s" % body)
            time.sleep(6.0)
            return "lost"
        return None

    d.cloud.rule = rent_late
    # A burst of work, for which the service rents all three machines that there are.
    d.submit("berth-0", d.job(1, entries=14, bundle="img-first", **match))
    if not d.wait_for(lambda: len(d.workers) == 3, 15):
        d.record("case", "the machines were not rented")
        return 2
    if not d.wait_for(lambda: status(d, 1) == "done", 45, 1.0):
        return 2
    d.submit("berth-1", d.job(2, entries=1, **portal))
    if not d.wait_for(lambda: d.on_machines("j-000002"), 15):
        return 2
    # The service returns the idle machines by itself.
    if not d.wait_for(lambda: gone(d) == 2, 70):
        d.record("case", "the idle machines were not returned")
        return 2
    returned = time.monotonic()
    if not unanswered:
        d.record("case", "no rental went unanswered")
        return 2
    time.sleep(2.6)
    # The rental request without an answer is carried out: now the cloud has one machine for it.
    newcomer = "m-%06d" % d.cloud.next
    held = {}

    def late(method, path, body):
        if path == "/multi" and newcomer in repr(body.get("apply")) and not held:
            held["at"] = time.monotonic()
            d.record("state", "transaction %s" % body)
            if TROUBLE:
                d.record("state", "gets no answer and is carried out %.0f s later" % LATE_S)
                return ("late", LATE_S)
        return None

    for door in d.doors.values():
        door.rule = late
    d.cloud.capacity[POOL] = 2
    d.cloud.boot_s = lambda ready: 0.0
    d.record("cloud", "carried out late: %s" % (d.cloud.serve("POST", "/machines", {}, unanswered[0]),))
    d.cloud.capacity[POOL] = 0
    if not d.wait_for(lambda: held, 10):
        d.record("case", "the new machine was not recorded")
        return 2
    d.record("case", "the new machine's record was written %.1f s after the return" % (held["at"] - returned))
    # New work: short tasks, then long ones.
    d.submit("berth-0", d.job(3, entries=3, bundle="img-second", **match))
    d.submit("berth-0", d.job(4, entries=3, bundle="img-second", **match))
    d.wait_for(lambda: d.ledger.broken, LATE_S + 16.0 - (time.monotonic() - held["at"]))
    if not any(i[0].startswith("j-000004/") for i in d.ledger.intervals):
        d.record("case", "the long tasks did not start")
        return 2
    return 1 if d.ledger.broken else 0


def status(d, number):
    answer = d.ask("berth-1", "GET", "/submissions/j-%06d" % number, timeout=2.0)
    return answer[1].get("status") if answer and answer[0] == 200 else None


def gone(d):
    return sum(m["gone"] is not None for m in d.cloud.machines.values())


if __name__ == "__main__":
    run(os.path.dirname(os.path.abspath(__file__)), main)
