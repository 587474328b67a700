"""The cloud and the workers of its machines. Each worker is a thread with an address of its own."""
import random
import threading
import time

from wire import Drop, Server, call


class Cloud:
    """Rents machines. `boot(machine)` is called when a machine is up and starts its worker."""

    def __init__(self, record, flavors, capacity, boot, lag=8.0):
        self.record, self.flavors, self.capacity, self.boot, self.lag = record, flavors, capacity, boot, lag
        self.lock = threading.Lock()
        self.machines, self.requisitions, self.history = {}, {}, []
        self.next = 1
        self.rule = None
        self.boot_s = lambda ready: ready * random.uniform(0.6, 1.2)
        self.server = Server(self.handle)
        self.addr = self.server.addr

    def rent(self, kind, wing, loaner, boot_s):
        name = "m-%06d" % self.next
        self.next += 1
        machine = {"id": name, "berthKind": kind, "wing": wing, "loaner": loaner, "status": "booting",
                   "since": time.monotonic(), "endpoint": None, "worker": None, "gone": None}
        self.machines[name] = machine
        if boot_s:
            threading.Timer(boot_s, self.up, [machine]).start()
        else:
            self.up(machine)
        return name

    def up(self, machine):
        if machine["gone"] is None:
            machine["worker"] = self.boot(machine)
            machine["endpoint"] = machine["worker"].addr
            machine["status"] = "running"
            machine["up"] = time.monotonic()

    def delete(self, names):
        for name in names:
            machine = self.machines.get(name)
            if machine and machine["gone"] is None:
                machine["gone"] = time.monotonic()
                self.record("cloud", "deleted %s" % name)
                if machine["worker"]:
                    machine["worker"].power_off()

    def handle(self, method, path, query, body):
        action = self.rule(method, path, body) if self.rule else None
        if action == "lost":
            raise Drop()
        if isinstance(action, tuple):
            return action
        answer = self.serve(method, path, query, body)
        if action == "answer lost":
            raise Drop()
        if isinstance(action, (int, float)):
            time.sleep(action)
        return answer

    def serve(self, method, path, query, body):
        with self.lock:
            if path == "/flavors":
                return 200, {"berthKinds": self.flavors}
            if path == "/machines" and method == "POST":
                name = body["requisition"]
                self.record("cloud", "rental %s" % body)
                if name in self.requisitions:
                    return 200, {"berths": self.requisitions[name]}
                key = (body["berthKind"], body["wing"], body["loaner"])
                used = sum((m["berthKind"], m["wing"], m["loaner"]) == key and m["gone"] is None
                           for m in self.machines.values())
                count = min(body["howMany"], 50, self.capacity.get(key, 0) - used)
                if count <= 0:
                    return 503, {"error": "no capacity"}
                ready = next(f["readyS"] for f in self.flavors if f["name"] == body["berthKind"])
                names = [self.rent(*key, self.boot_s(ready)) for _ in range(count)]
                self.requisitions[name] = names
                return 200, {"berths": names}
            if path == "/machines/delete":
                self.delete(body["berths"])
                return 200, {}
            if path == "/machines":
                then = time.monotonic() - self.lag
                rows = [m for name, m in sorted(self.machines.items()) if name > query.get("after", "")
                        and m["since"] <= then and (m["gone"] is None or m["gone"] > then)]
                most = int(query.get("most", 500))
                def row(m):
                    up = m["status"] == "running" and m.get("up", 0) <= then
                    return {"id": m["id"], "endpoint": m["endpoint"] if up else None, "berthKind": m["berthKind"],
                            "wing": m["wing"], "loaner": m["loaner"], "status": "running" if up else "booting",
                            "heldS": then - m["since"]}
                return 200, {"berths": [row(m) for m in rows[:most]], "more": len(rows) > most}
        return 400, {"error": "no such path"}


class Ledger:
    """What runs where, for the rules: one interval for each time that a task is on a machine."""

    def __init__(self, record):
        self.record, self.lock = record, threading.Lock()
        self.on = {}
        self.intervals = []
        self.broken = []

    def begin(self, task, attempt, machine):
        with self.lock:
            others = [m for (t, m) in self.on if t == task and m != machine]
            self.on[(task, machine)] = len(self.intervals)
            self.intervals.append([task, attempt, machine, time.monotonic(), None, None])
            self.record("task", "%s try %d on %s" % (task, attempt, machine))
            if others:
                self.broken.append("ran_twice: %s starts on %s while it is on %s" % (task, machine, others))
                self.record("BROKEN", self.broken[-1])

    def end(self, task, machine, why):
        with self.lock:
            at = self.on.pop((task, machine), None)
            if at is not None:
                self.intervals[at][4:] = [time.monotonic(), why]
                self.record("task", "%s try %d leaves %s: %s" % (task, self.intervals[at][1], machine, why))


class Gangs:
    """The tasks of gangs find each other by their attempt number: they run and complete together."""

    def __init__(self, length, peer_s=6.0, wait_s=50.0):
        self.lock, self.waiting = threading.RLock(), {}
        self.length, self.peer_s, self.wait_s = length, peer_s, wait_s

    def arrive(self, job, attempt, task, worker):
        with self.lock:
            tasks = self.waiting.setdefault((job["id"], attempt), {})
            tasks[task] = worker
            if len(tasks) == job["entries"]:
                end = time.monotonic() + self.length(task)
                for name, other in tasks.items():
                    entry = other.tasks.get(name)
                    if entry and entry["try"] == attempt and entry["status"] == "waiting":
                        entry.update(status="running", gang_end=end)
                        other.changed.set()

    def gone(self, task, attempt):
        with self.lock:
            tasks = self.waiting.get((task.split("/")[0], attempt), {})
            tasks.pop(task, None)
            for name, other in tasks.items():
                entry = other.tasks.get(name)
                if entry and entry["try"] == attempt and entry["status"] == "running":
                    entry["peers_at"] = time.monotonic() + random.uniform(0.2, 0.95) * self.peer_s


class Worker:
    """`jobs(id)` returns the description that the user uploaded, or None. `clerks`: the controllers' addresses."""

    def __init__(self, record, ledger, machine, clerks, jobs, size, report_s=3.0, lease_s=26.0, run_s=None,
                 gangs=None):
        self.record, self.ledger, self.machine, self.jobs, self.size = record, ledger, machine, jobs, size
        self.clerks, self.names = clerks, sorted(clerks)
        self.report_s, self.lease_s, self.run_s = report_s, lease_s, run_s
        self.gangs = gangs
        self.name = machine["id"]
        self.lock = threading.RLock()
        self.shift, self.folio, self.seal = 1, 0, 0
        self.tasks = {}
        self.images = {}
        self.off = False
        self.hung = threading.Event()
        self.rule = None
        self.faulty = False
        self.lease_end = time.monotonic() + lease_s
        self.changed = threading.Event()
        self.server = Server(self.handle)
        self.addr = self.server.addr
        self.clerk = random.choice(self.names)
        threading.Thread(target=self.report_loop, daemon=True).start()
        threading.Thread(target=self.clock_loop, daemon=True).start()

    def power_off(self):
        with self.lock:
            self.off = True
            for task in list(self.tasks):
                self.leave(task, "machine gone")
            self.tasks.clear()
        threading.Thread(target=self.server.close, daemon=True).start()

    def leave(self, task, why):
        if self.tasks[task].get("on"):
            self.tasks[task]["on"] = False
            self.ledger.end(task, self.name, why)
            if self.gangs and why != "done":
                threading.Thread(target=self.gangs.gone, args=(task, self.tasks[task]["try"]), daemon=True).start()

    def exit(self, task, why):
        self.leave(task, why)
        self.tasks[task].update(status="exited", cause=why)
        self.changed.set()

    def report(self):
        self.folio += 1
        entries = []
        for task, t in self.tasks.items():
            entry = {"entry": task, "try": t["try"], "status": t["status"]}
            if t.get("cause"):
                entry["cause"] = t["cause"]
            entries.append(entry)
        m = self.machine
        return {"berth": self.name, "endpoint": self.addr, "berthKind": m["berthKind"], "wing": m["wing"],
                "loaner": m["loaner"], "shift": self.shift, "folio": self.folio, "seal": self.seal,
                "recallS": None, "entries": entries}

    def execute(self, orders):
        for order in orders:
            task, attempt = order["entry"], order["try"]
            known = self.tasks.get(task)
            same = known is not None and known["try"] == attempt
            if order["order"] == "launch":
                if same:
                    continue
                self.changed.set()
                job = self.jobs(task.split("/")[0])
                refused = None
                if known is not None and known["status"] != "exited":
                    refused = "in_use"
                elif job is None:
                    refused = "unknown"
                else:
                    used = [self.jobs(t.split("/")[0]) for t, e in self.tasks.items() if e["status"] != "exited"]
                    for what in ("cpus", "ramGb"):
                        if sum(j[what] for j in used) + job[what] > self.size[what] + 1e-6:
                            refused = "no_room"
                if refused == "in_use":
                    continue
                self.tasks[task] = {"try": attempt, "status": "pulling"}
                if refused:
                    self.tasks[task].update(status="exited", cause=refused)
                    continue
                fetch = 0.0 if job["bundle"] in self.images else job["imageGb"] / self.size["pullGbPerS"]
                self.tasks[task]["ready"] = time.monotonic() + fetch
            elif order["order"] == "stop" and same and known["status"] != "exited":
                self.exit(task, "halted")
            elif order["order"] == "reap" and same and known["status"] == "exited":
                del self.tasks[task]
                self.changed.set()

    def see(self, seal):
        if seal > self.seal:
            self.seal = seal
            self.changed.set()

    def wait_hung(self):
        while self.hung.is_set() and not self.off:
            time.sleep(0.02)

    def handle(self, method, path, query, body):
        action = self.rule(path, body) if self.rule else None
        if action == "lost" or self.off:
            raise Drop()
        if isinstance(action, (int, float)):
            time.sleep(action)
        self.wait_hung()
        with self.lock:
            if self.off:
                raise Drop()
            self.check_lease()
            if path == "/inspect":
                return 200, self.report()
            if body.get("seal") is None or body.get("shift") is None:
                return 400, {}
            if body["seal"] < self.seal or body["shift"] != self.shift:
                return 409, self.report()
            self.see(body["seal"])
            if body["orders"]:
                self.record("command", "%s %s" % (self.name, body))
            self.execute(body["orders"])
            answer = 200, self.report()
        if action == "answer lost":
            raise Drop()
        return answer

    def check_lease(self):
        if time.monotonic() > self.lease_end:
            for task in list(self.tasks):
                self.leave(task, "lease expired")
            self.tasks.clear()
            self.shift += 1
            self.lease_end = time.monotonic() + self.lease_s
            self.record("worker", "%s lease expired, session %d" % (self.name, self.shift))
            self.changed.set()

    def clock_loop(self):
        while not self.off:
            time.sleep(0.05)
            if self.hung.is_set():
                stopped = time.monotonic()
                self.wait_hung()
                for t in self.tasks.values():
                    if "until" in t and t["until"]:
                        t["until"] += time.monotonic() - stopped
            with self.lock:
                if self.off:
                    return
                self.check_lease()
                now, arrived = time.monotonic(), []
                for task, t in list(self.tasks.items()):
                    job = self.jobs(task.split("/")[0])
                    if t["status"] == "pulling" and now >= t["ready"] and job["shape"] == "ensemble":
                        self.images[job["bundle"]] = True
                        t.update(status="waiting", on=True, alone_at=now + self.gangs.wait_s)
                        self.ledger.begin(task, t["try"], self.name)
                        arrived.append((job, t["try"], task))
                        self.changed.set()
                    elif t["status"] == "waiting" and now >= t["alone_at"]:
                        self.exit(task, "alone")
                    elif t["status"] == "running" and t.get("peers_at") and now >= t["peers_at"]:
                        self.exit(task, "peers")
                    elif t["status"] == "running" and t.get("gang_end") and now >= t["gang_end"]:
                        self.exit(task, "done")
                    elif t["status"] == "pulling" and now >= t["ready"]:
                        self.images[job["bundle"]] = True
                        t.update(status="running", on=True)
                        length = self.run_s(task) if self.run_s else job["expectS"]
                        t["until"] = None if job["shape"] == "service" or length is None else now + length
                        self.ledger.begin(task, t["try"], self.name)
                        self.changed.set()
                    elif t["status"] == "running" and self.faulty:
                        self.exit(task, "error")
                    elif t["status"] == "running" and t.get("until") and now >= t["until"]:
                        self.exit(task, "done")

            for arrival in arrived:
                self.gangs.arrive(*arrival, self)

    def report_loop(self):
        pause = 0.0
        while not self.off:
            self.changed.wait(pause)
            time.sleep(0.05)
            self.wait_hung()
            with self.lock:
                if self.off:
                    return
                self.check_lease()
                self.changed.clear()
                sent, shift, body = time.monotonic(), self.shift, self.report()
            action = self.rule("/v1/report", body) if self.rule else None
            answer = None if action == "lost" else call(self.clerks[self.clerk], "POST", "/v1/report", body, 4.0)
            if action == "answer lost":
                answer = None
            self.wait_hung()
            pause = 0.5
            if answer and time.monotonic() - sent > 4.0:
                answer = None
            status, value = (answer[0], answer[1]) if answer else (None, None)
            if status == 200:
                with self.lock:
                    self.check_lease()
                    seal = value.get("seal")
                    if seal is not None and seal >= self.seal and shift == self.shift and not self.off:
                        self.lease_end = sent + self.lease_s
                        self.see(seal)
                        if value.get("orders"):
                            self.record("answer", "%s %s" % (self.name, value))
                        self.execute(value.get("orders") or [])
                time.sleep(0.45)
                pause = self.report_s * random.uniform(0.75, 1.25) - 0.5
                continue
            named = value.get("clerk") if status == 421 and isinstance(value, dict) else None
            if named in self.clerks and named != self.clerk:
                self.clerk = named
                time.sleep(random.uniform(0, 0.5))
                self.changed.set()
            else:
                self.clerk = self.names[(self.names.index(self.clerk) + 1) % len(self.names)]
                time.sleep(1.0)
                self.changed.set()
