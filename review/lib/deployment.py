"""A small deployment like umbhalo-records: three controllers as processes, and stand-ins around them."""
import os
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

from cloud import Cloud, Gangs, Ledger, Worker
from state import State
from wire import call

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = ["gauteng-rack", "cape-rack", "durban-rack"]
FLAVORS = [
    {"name": "kiepersol-small", "cpus": 4.0, "cards": 0, "ramGb": 16.0, "cacheGb": 25.0, "pullGbPerS": 0.25,
     "rate": 0.27, "spotPrice": 0.07, "readyS": 25.0, "wings": ZONES},
    {"name": "kiepersol-medium", "cpus": 8.0, "cards": 0, "ramGb": 64.0, "cacheGb": 50.0, "pullGbPerS": 0.8,
     "rate": 0.74, "spotPrice": 0.23, "readyS": 25.0, "wings": ZONES},
    {"name": "kiepersol-large", "cpus": 32.0, "cards": 0, "ramGb": 128.0, "cacheGb": 50.0, "pullGbPerS": 0.4,
     "rate": 2.16, "spotPrice": 0.57, "readyS": 20.0, "wings": ZONES},
]


UMBHALO = {
    "zones": ZONES, "flavors": FLAVORS, "teams": [("transcribers-%02d" % i, 32.0, 56.0) for i in range(6)],
    "state": (100.0, 20.0, 8.0, 16), "cloud": (5.0, 8.0), "quota": (0.16, 104.0),
}
TABYLGY = {
    "zones": ["cityhall-room"],
    "flavors": [{"name": "alatau-node", "cpus": 32.0, "cards": 0, "ramGb": 128.0, "cacheGb": 60.0,
                 "pullGbPerS": 0.6, "rate": 1.57, "spotPrice": 0.36, "readyS": 35.0, "wings": ["cityhall-room"]}],
    "teams": [("intake-desk", 240.0, 600.0), ("returns-desk", 304.0, 544.0), ("transit-liaison", 600.0, 1800.0)],
    "state": (150.0, 50.0, 16.0, 16), "cloud": (6.0, 10.0), "quota": (0.12, 136.0),
}
# The large deployment once more, as the hunt page has it.
TABYLGY_HUNT = dict(
    TABYLGY, teams=[("intake-desk", 8000.0, 20000.0), ("returns-desk", 10000.0, 18000.0),
                    ("transit-liaison", 20000.0, 60000.0)], quota=(0.112, 128.0), sockets=2289)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Deployment:
    def __init__(self, folder, site=UMBHALO, run_s=None, extra="", capacity=None, controllers=3,
                 report_s=3.0, lease_s=26.0, cancel_s=56.0, domains=None):
        zones = site["zones"]
        self.site = site
        self.folder = folder
        self.tmp = tempfile.mkdtemp(prefix="case-")
        self.started = time.monotonic()
        self.log = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.log_lock = threading.Lock()
        self.ledger = Ledger(self.record)
        self.gangs = Gangs(run_s) if run_s else None
        self.lease_s, self.report_s, self.cancel_s, self.run_s = lease_s, report_s, cancel_s, run_s
        self.descriptions = {}
        self.workers = {}
        self.state = State(self.record, *site["state"])
        self.names = ["berth-%d" % i for i in range(controllers)]
        self.public = {n: "127.0.0.1:%d" % free_port() for n in self.names}
        self.back = {n: "127.0.0.1:%d" % free_port() for n in self.names}
        self.doors = {n: self.state.listen(n) for n in self.names}
        self.clerks = dict(self.public)
        capacity = capacity if capacity is not None else {
            (f["name"], z, False): 6 for f in site["flavors"][:1] for z in zones}
        self.cloud = Cloud(self.record, site["flavors"], capacity, self.boot, site["cloud"][1])
        self.teams = site["teams"]
        self.cloud_addr = {n: self.cloud.addr for n in self.names}
        self.peer_addr = {}
        self.zones, self.extra = zones, extra
        self.domains = domains or [zones[i % len(zones)] for i in range(controllers)]
        self.processes, self.ended = {}, []
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            self.command = shlex.split(tomllib.load(f)["run"])

    def record(self, who, what):
        with self.log_lock:
            if not self.log.closed:
                self.log.write("%8.3f %s: %s\n" % (time.monotonic() - self.started, who, what))

    def boot(self, machine):
        size = next(f for f in self.site["flavors"] if f["name"] == machine["berthKind"])
        worker = Worker(self.record, self.ledger, machine, self.clerks, self.descriptions.get, size,
                        self.report_s, self.lease_s, self.run_s, self.gangs)
        self.workers[machine["id"]] = worker
        return worker

    def settings(self, name):
        i = self.names.index(name)
        text = 'node_name = "%s"\ndomain = "%s"\nbind = "%s"\nback = "%s"\n' % (
            name, self.domains[i], self.public[name], self.back[name])
        for other in self.names:
            if other != name:
                text += '[[members]]\nnode_name = "%s"\ndomain = "%s"\npeer_addr = "%s"\n' % (
                    other, self.domains[self.names.index(other)],
                    self.peer_addr.get((name, other), self.back[other]))
        text += '[external]\ncloud = "%s"\nstate = "%s"\n' % (self.cloud_addr[name], self.doors[name].addr)
        text += '[params]\ncount = %d\nzones = [%s]\nclock_off_ms = 1000.0\n' % (
            len(self.names), ", ".join('"%s"' % z for z in sorted(self.zones)))
        for team, cpus, most in self.teams:
            text += ('[[params.teams]]\nname = "%s"\ncpus = %s\ncpus_max = %s\ngpus = 0.0\ngpus_max = 0.0\n'
                     % (team, cpus, most))
        text += '[[params.objectives]]\nkind = "guarantee"\nwithin_s = 5.0\nshare = 0.92\n'
        text += ('[params.workers]\nreport_s = %s\nlease_s = %s\ngang_wait_s = 50.0\ngang_peer_s = 6.0\n'
                 'cancel_s = %s\n[params.state]\nrps = %s\nwrite_rps = %s\nvalue_kb = %s\ntxn_ops = %d\n'
                 '[params.cloud]\nrps = %s\nlist_lag_s = %s\n[params.quota]\ncpu = %s\nram_mb = %s\n'
                 'sockets = %d\n' % ((self.report_s, self.lease_s, self.cancel_s) + self.site["state"]
                                       + self.site["cloud"] + self.site["quota"]
                                       + (self.site.get("sockets", 2500),)))
        return text + self.extra

    def start(self, name):
        path = os.path.join(self.tmp, name + ".toml")
        with open(path, "w") as f:
            f.write(self.settings(name))
        log = open(os.path.join(self.tmp, name + ".log"), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        process = subprocess.Popen(self.command + [path], cwd=ROOT, env=env, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        self.processes[name] = process
        self.record("process", "start %s" % name)

    def signal(self, name, number):
        self.record("process", "%s to %s" % (signal.Signals(number).name, name))
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def kill(self, name):
        self.signal(name, signal.SIGKILL)

    def healthy(self, name):
        answer = call(self.public[name], "GET", "/up", timeout=1.0)
        return bool(answer) and answer[0] == 200

    def wait_healthy(self, names=None, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(self.healthy(n) for n in names or self.names):
                return True
            time.sleep(0.1)
        return False

    def leader(self):
        with self.state.lock:
            for key, (value, _, _) in self.state.keys.items():
                if key.endswith("/leader"):
                    for name in self.names:
                        if name in repr(value):
                            return name
        return None

    def job(self, number, **fields):
        job = {"id": "j-%06d" % number, "docket": "scan-clean", "desk": self.teams[0][0], "shape": "sweep",
               "precedence": "standard", "entries": 1, "cpus": 4.0, "cards": 0.0, "ramGb": 9.9,
               "bundle": "img-01", "imageGb": 0.1, "berthKinds": None, "wing": None, "samePlace": False,
               "scatter": False, "loaner": False, "expectS": 25.0, "stampEveryS": 0.0, "stampS": 0.0, "dueS": None}
        job.update(fields)
        self.descriptions[job["id"]] = job
        return job

    def ask(self, name, method, path, body=None, timeout=5.0):
        answer = call(self.public[name], method, path, body, timeout)
        self.record("user", "%s %s at %s: %s" % (method, path, name, answer[:2] if answer else None))
        return answer

    def until(self, name, method, path, body, good, seconds=60, timeout=5.0):
        """Repeats a request as the page tells users to, each time at the next node."""
        end, at = time.monotonic() + seconds, self.names.index(name)
        while time.monotonic() < end:
            answer = self.ask(self.names[at % len(self.names)], method, path, body, timeout)
            if answer and answer[0] in good:
                return answer
            at += 1
            time.sleep(1.0)
        return None

    def submit(self, name, job, seconds=60):
        return self.until(name, "POST", "/submissions", job, (200, 201, 400, 422), seconds)

    def cancel(self, name, job_id, seconds=60):
        return self.until(name, "POST", "/submissions/%s/cancel" % job_id, None, (200, 404), seconds)

    def on_machines(self, job_id):
        with self.ledger.lock:
            return [(t, m) for (t, m) in self.ledger.on if t.split("/")[0] == job_id]

    def wait_for(self, what, seconds, step=0.1):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if what():
                return True
            time.sleep(step)
        return False

    def crashed(self):
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def close(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for worker in list(self.workers.values()):
            worker.off = True
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)
        self.log.close()
