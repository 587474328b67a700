"""The cloud and the workers of its machines, under the protocol's sections on them. `Platform` also observes which
task is on which machine and compares that with the protocol's rules."""

import asyncio
import time

import http1

class Task:
    def __init__(self, name, attempt, job, now):
        self.name, self.attempt, self.job = name, attempt, job
        self.status, self.cause, self.kept = "pulling", None, False
        self.since = now
        self.progress = 0.0
        self.exits_at = None

    @property
    def on_machine(self):
        return self.status in ("running", "flushing", "waiting")

    def entry(self):
        entry = {"entry": self.name, "try": self.attempt, "status": self.status}
        if self.status == "exited":
            entry["cause"] = self.cause
            if self.kept:
                entry["kept"] = True
        return entry


class Machine:
    """One machine with its worker."""

    def __init__(self, platform, name, kind, zone, spot, port, boot_s):
        self.platform, self.name, self.kind, self.zone, self.spot, self.port = platform, name, kind, zone, spot, port
        self.type = platform.types[kind]
        self.rented = time.monotonic()
        self.up_at = self.rented + boot_s
        self.up = False
        self.gone = False
        self.dead = False
        self.hung = asyncio.Event()
        self.hung.set()
        self.is_hung = False
        self.deaf = False
        self.mute = False
        # Tasks fail here a second after they began.
        self.faulty = False
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks = {}
        self.images = set()
        self.fetching = {}
        self.changed = False
        self.last_answered = None
        self.node = hash(name) % len(platform.nodes)
        self.server = None
        self.jobs = []

    def start(self):
        self.jobs = [asyncio.ensure_future(self.run())]

    async def run(self):
        await asyncio.sleep(max(0, self.up_at - time.monotonic()))
        self.server = await http1.serve(self.port, self.handle)
        self.up = True
        self.last_answered = time.monotonic()
        self.platform.log("worker up", machine=self.name, zone=self.zone, kind=self.kind)
        self.jobs += [asyncio.ensure_future(self.work()), asyncio.ensure_future(self.report_loop())]

    def end(self):
        """The machine is gone, with everything on it."""
        self.gone = True
        self.drop_all("machine gone")
        for job in self.jobs:
            job.cancel()
        if self.server:
            self.server.close()

    def drop_all(self, why):
        for task in self.tasks.values():
            if task.on_machine:
                self.platform.left(self, task, why)
        self.tasks.clear()

    def hang(self):
        self.is_hung = True
        self.hung.clear()
        self.platform.log("machine hangs", machine=self.name)

    def go_on(self):
        self.is_hung = False
        self.hung.set()
        self.platform.log("machine goes on", machine=self.name)

    # The tasks.

    def exit(self, task, cause, kept=False):
        if task.on_machine:
            self.platform.left(self, task, cause)
        task.status, task.cause, task.kept = "exited", cause, kept
        if cause == "done":
            self.platform.results.add(task.name)
        self.changed = True

    def begin(self, task):
        gang = task.job["shape"] == "ensemble" and task.name not in self.platform.results
        task.status = "waiting" if gang else "running"
        task.since = time.monotonic()
        self.changed = True
        self.platform.began(self, task)
        if task.name in self.platform.results:
            self.exit(task, "done")

    async def work(self):
        step = 0.05
        while not self.gone:
            before = time.monotonic()
            await asyncio.sleep(step)
            await self.hung.wait()
            now = time.monotonic()
            if now - self.last_answered > self.platform.lease_s:
                self.platform.log("worker lease expired", machine=self.name, session=self.session)
                self.drop_all("lease expired")
                self.session += 1
                self.last_answered = now
                self.changed = True
            elapsed = min(now - before, 0.5)
            for image in list(self.fetching):
                if any(t.status == "pulling" and t.job["bundle"] == image for t in self.tasks.values()):
                    self.fetching[image] -= elapsed
                    if self.fetching[image] <= 0:
                        del self.fetching[image]
                        self.images.add(image)
                else:
                    del self.fetching[image]
            for task in list(self.tasks.values()):
                if task.status == "pulling":
                    image = task.job["bundle"]
                    if image in self.images:
                        self.begin(task)
                    elif image not in self.fetching:
                        self.fetching[image] = task.job["imageGb"] / self.type["pullGbPerS"]
                elif task.status == "running" and self.faulty and now - task.since > 1.0:
                    self.exit(task, "error")
                elif task.status == "waiting":
                    self.wait_for_gang(task, now)
                elif task.status == "running" and task.job["shape"] == "ensemble":
                    self.run_in_gang(task, elapsed, now)
                elif task.status == "running":
                    task.progress += elapsed
                    run_s = self.platform.run_s(task.name)
                    if run_s is not None and task.progress >= run_s:
                        self.exit(task, "done")
                elif task.status == "flushing" and now >= task.exits_at:
                    self.exit(task, "halted", kept=True)

    def gang(self, task):
        """The tasks of this start of the gang that are on a machine which goes on, with their machines."""
        return [(machine, other) for machine, other in self.platform.on.values()
                if other.job is task.job and other.attempt == task.attempt and not machine.is_hung]

    def wait_for_gang(self, task, now):
        members = self.gang(task)
        if len(members) == task.job["entries"]:
            for machine, member in members:
                member.status, member.since, machine.changed = "running", None, True
        elif now - task.since > self.platform.gang_wait_s:
            self.exit(task, "alone")

    def run_in_gang(self, task, elapsed, now):
        members = [member for _, member in self.gang(task) if member.status == "running"]
        if len(members) < task.job["entries"]:
            task.since = task.since or now
            if now - task.since > self.platform.gang_peer_s * 0.8:
                self.exit(task, "peers")
            return
        task.since = None
        task.progress += elapsed
        if task.progress >= self.platform.run_s(task.name):
            name = task.job["id"]
            self.platform.results.update(f"{name}/{i}" for i in range(task.job["entries"]))
            for machine, member in self.gang(task):
                machine.exit(member, "done")

    def execute(self, orders):
        now = time.monotonic()
        for order in orders:
            name, attempt = order["entry"], order["try"]
            task = self.tasks.get(name)
            same = task is not None and task.attempt == attempt
            if order["order"] == "launch":
                if same:
                    continue
                job = self.platform.job_of(name)
                fresh = Task(name, attempt, job, now)
                self.platform.log("launch", machine=self.name, task=name, attempt=attempt)
                if job is None:
                    fresh.status, fresh.cause = "exited", "unknown"
                elif task is not None and task.status != "exited":
                    self.platform.log("start refused: in use", machine=self.name, task=name)
                    continue
                elif not self.has_room(job):
                    fresh.status, fresh.cause = "exited", "no_room"
                self.tasks[name] = fresh
                self.changed = True
            elif order["order"] == "stop" and same and task.status != "exited":
                self.platform.log("stop", machine=self.name, task=name, attempt=attempt)
                job = task.job
                saves = job["stampEveryS"] > 0 and order["leaveS"] >= job["stampS"] and task.status == "running"
                if saves:
                    task.status, task.exits_at = "flushing", now + job["stampS"]
                    self.changed = True
                elif task.status != "flushing" or order["leaveS"] == 0:
                    self.exit(task, "halted")
            elif order["order"] == "reap" and same and task.status == "exited":
                del self.tasks[name]
                self.changed = True

    def has_room(self, job):
        for amount in ("cpus", "cards", "ramGb"):
            used = sum(t.job[amount] for t in self.tasks.values() if t.status != "exited")
            if used + job[amount] > self.type[amount] + 1e-6:
                return False
        return True

    # The protocol.

    def report(self):
        self.seq += 1
        return {
            "berth": self.name, "endpoint": f"127.0.0.1:{self.port}", "berthKind": self.kind, "wing": self.zone,
            "loaner": self.spot, "shift": self.session, "folio": self.seq, "seal": self.token, "recallS": None,
            "entries": [task.entry() for task in self.tasks.values()],
        }

    async def handle(self, method, path, query, body):
        await self.hung.wait()
        if self.deaf or self.dead:
            raise http1.NoAnswer
        if path == "/inspect":
            return 200, self.report()
        fault = self.platform.command_fault(self, body)
        if fault:
            async def later():
                await asyncio.sleep(fault)
                await self.hung.wait()
                self.command(body)
            asyncio.ensure_future(later())
            raise http1.NoAnswer
        return self.command(body)

    def command(self, body):
        if "seal" not in body or "shift" not in body:
            return 400, {"error": "missing"}
        if body["seal"] < self.token or body["shift"] != self.session:
            return 409, self.report()
        if body["seal"] > self.token:
            self.token, self.changed = body["seal"], True
        self.execute(body["orders"])
        return 200, self.report()

    async def report_loop(self):
        client = None
        last = 0.0
        while not self.gone:
            next_at = last + self.platform.report_s * (0.75 + 0.5 * self.platform.random.random())
            while time.monotonic() < next_at and not (self.changed and time.monotonic() - last > 0.5):
                await asyncio.sleep(0.05)
            await self.hung.wait()
            if self.dead or self.mute:
                await asyncio.sleep(0.5)
                last = 0
                continue
            self.changed = False
            last = sent = time.monotonic()
            session = self.session
            port = self.platform.nodes[self.node]
            if client is None or client.port != port:
                if client:
                    client.close()
                client = http1.Client(port)
            report = self.report()
            self.platform.copy_report(self, self.node, report)
            answer = await client.request("POST", "/v1/report", report, timeout=4.0)
            await self.hung.wait()
            if self.deaf or time.monotonic() - sent > 4.0:
                answer = None
            if answer and answer[0] == 200:
                body = answer[1]
                if session == self.session and body.get("seal", -1) >= self.token:
                    if body["seal"] > self.token:
                        self.token, self.changed = body["seal"], True
                    self.last_answered = sent
                    self.execute(body["orders"])
                continue
            client.close()
            clerk = answer[1].get("clerk") if answer and answer[0] == 421 else None
            other = self.platform.node_names.index(clerk) if clerk in self.platform.node_names else self.node
            self.changed = True
            if other != self.node:
                self.node = other
                last = 0
            else:
                await asyncio.sleep(1.0)
                self.node = (self.node + 1) % len(self.platform.nodes)
                last = 0


class Platform:
    """The cloud, its machines, and what users submitted. `types` are those of GET /flavors."""

    def __init__(self, types, capacity, nodes, node_names, free_port, log, random, report_s, lease_s, cancel_s, teams,
                 list_lag_s=8.0, boot_s=(1.0, 2.0)):
        self.types = {t["name"]: t for t in types}
        self.capacity = capacity
        self.nodes, self.node_names, self.free_port = nodes, node_names, free_port
        self.log, self.random = log, random
        self.report_s, self.lease_s, self.cancel_s = report_s, lease_s, cancel_s
        self.gang_wait_s, self.gang_peer_s = 50.0, 6.0
        self.teams = teams
        self.list_lag_s, self.boot_s = list_lag_s, boot_s
        self.machines = {}
        self.listings = []
        self.requests = {}
        self.last_machine = 0
        self.submitted = {}
        self.told_cancelled = {}
        self.asked_cancel = set()
        self.results = set()
        self.runs = {}
        self.on = {}
        self.broken = []
        self.starts = []
        self.outage = False
        self.slow = 0.0
        self.command_fault = lambda machine, body: None
        self.copy_report = lambda machine, node, report: None

    async def start(self, port):
        self.server = await http1.serve(port, self.handle)
        asyncio.ensure_future(self.snapshots())
        asyncio.ensure_future(self.watch_rules())

    def run_s(self, task):
        job = self.submitted.get(task.split("/")[0])
        if job is None or job["shape"] == "service":
            return None
        run_s = self.runs.get(job["id"], 5.0)
        return run_s(task) if callable(run_s) else run_s

    def job_of(self, task):
        name, _, index = task.partition("/")
        job = self.submitted.get(name)
        return job if job and int(index) < job["entries"] else None

    # The rules.

    def break_rule(self, rule, **fields):
        self.broken.append((rule, fields))
        self.log("RULE BROKEN", rule=rule, **fields)

    def began(self, machine, task):
        job = task.job
        now = time.monotonic()
        self.starts.append((now, task.name, task.attempt, machine.name))
        self.log("task started", task=task.name, attempt=task.attempt, machine=machine.name, zone=machine.zone)
        others = [other for other, t in self.on if t == task.name]
        if others:
            self.break_rule("ran_twice", task=task.name, machines=[machine.name, *others])
        self.on[(machine.name, task.name)] = (machine, task)
        if (job["berthKinds"] is not None and machine.kind not in job["berthKinds"]
                or job["wing"] not in (None, machine.zone) or machine.spot and not job["loaner"]):
            self.break_rule("wrong_place", task=task.name, machine=machine.name, kind=machine.kind, zone=machine.zone)
        zones = [m.zone for m, t in self.on.values() if t.job is job]
        if job["samePlace"] and len(set(zones)) > 1:
            self.break_rule("wrong_place", task=task.name, zones=zones)
        if job["scatter"] and zones.count(machine.zone) > (job["entries"] + 1) // 2:
            self.break_rule("wrong_place", task=task.name, zones=zones)
        used = sum(t.job["cpus"] for _, t in self.on.values() if t.job["desk"] == job["desk"])
        if used > self.teams[job["desk"]] + 1e-6:
            self.break_rule("quota", team=job["desk"], used=used)
        told = self.told_cancelled.get(job["id"])
        if told is not None and now - told > self.cancel_s:
            self.break_rule("ran_cancelled", task=task.name, after=now - told)

    def left(self, machine, task, why):
        self.on.pop((machine.name, task.name), None)
        self.log("task left", task=task.name, machine=machine.name, why=why)

    async def watch_rules(self):
        late = set()
        while True:
            await asyncio.sleep(0.1)
            for (machine, name), (_, task) in list(self.on.items()):
                told = self.told_cancelled.get(task.job["id"])
                if told is not None and time.monotonic() - told > self.cancel_s and (machine, name) not in late:
                    late.add((machine, name))
                    self.break_rule("ran_cancelled", task=name, machine=machine, after=time.monotonic() - told)

    # The cloud.

    def rent(self, kind, zone, spot, count, boot_s=None):
        names = []
        for _ in range(count):
            rented = [m for m in self.machines.values() if (m.kind, m.zone, m.spot) == (kind, zone, spot)]
            if len(rented) >= self.capacity.get((kind, zone, spot), 0):
                break
            self.last_machine += 1
            name = f"m-{self.last_machine:06}"
            boot = self.random.uniform(*self.boot_s) if boot_s is None else boot_s
            machine = Machine(self, name, kind, zone, spot, self.free_port(), boot)
            self.machines[name] = machine
            machine.start()
            names.append(name)
        return names

    def delete(self, name):
        machine = self.machines.pop(name, None)
        if machine:
            machine.end()
            self.log("machine deleted", machine=name)

    async def snapshots(self):
        while True:
            now = time.monotonic()
            self.listings.append((now, [{
                "id": m.name, "endpoint": f"127.0.0.1:{m.port}", "berthKind": m.kind, "wing": m.zone,
                "loaner": m.spot, "status": "running" if m.up else "booting", "heldS": now - m.rented,
            } for m in sorted(self.machines.values(), key=lambda m: m.name)]))
            while len(self.listings) > 1 and self.listings[1][0] < now - self.list_lag_s:
                self.listings.pop(0)
            await asyncio.sleep(0.5)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.1 + self.slow)
        if self.outage:
            return 503, {"error": "trouble"}
        if path == "/flavors":
            return 200, {"berthKinds": list(self.types.values())}
        if path == "/machines" and method == "POST":
            name = body["requisition"]
            if name not in self.requests:
                names = self.rent(body["berthKind"], body["wing"], body["loaner"], min(body["howMany"], 50))
                self.log("rental", request=name, kind=body["berthKind"], zone=body["wing"], spot=body["loaner"],
                         asked=body["howMany"], given=names)
                if not names:
                    return 503, {"error": "no capacity"}
                self.requests[name] = names
            return 200, {"berths": self.requests[name]}
        if path == "/machines/delete":
            for name in body["berths"][:100]:
                self.delete(name)
            return 200, {}
        if path == "/machines":
            listing = self.listings[0][1]
            after, most = query.get("after", ""), min(int(query.get("most", 500)), 500)
            listed = [entry for entry in listing if entry["id"] > after]
            return 200, {"berths": listed[:most], "more": len(listed) > most}
        return 404, {"error": "no such path"}
