"""A small deployment on loopback: controllers as processes, the stand-ins around them, users, and the record."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

import http1
from machines import Platform
from state import StateService

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Below the ports that the system gives to connections, and another range for each process, so that runs of several
# cases at a time don't take each other's ports.
_next_port = 12000 + os.getpid() % 64 * 300


def free_port():
    global _next_port
    while True:
        port, _next_port = _next_port, _next_port + 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, what, **fields):
        text = " ".join(f"{k}={json.dumps(v, default=str)}" for k, v in fields.items())
        self.file.write(f"{time.monotonic() - self.start:8.3f} {what} {text}\n")
        self.file.flush()


def job(number, team, entries=1, cpus=2.0, shape="sweep", **fields):
    base = {
        "id": f"j-{number:06}", "docket": "scan-clean", "desk": team, "shape": shape, "precedence": "standard",
        "entries": entries, "cpus": cpus, "cards": 0.0, "ramGb": 2.0, "bundle": "img-1", "imageGb": 0.2,
        "berthKinds": None, "wing": None, "samePlace": False, "scatter": False, "loaner": False, "expectS": 5.0,
        "stampEveryS": 0.0, "stampS": 0.0, "dueS": None,
    }
    return {**base, **fields}


UMBHALO_TYPES = [
    {"name": "kiepersol-small", "cpus": 4.0, "cards": 0.0, "ramGb": 16.0, "cacheGb": 25.0, "pullGbPerS": 0.25,
     "rate": 0.27, "spotPrice": 0.07, "readyS": 25.0, "wings": ["gauteng-rack", "cape-rack", "durban-rack"]},
    {"name": "kiepersol-medium", "cpus": 8.0, "cards": 0.0, "ramGb": 64.0, "cacheGb": 50.0, "pullGbPerS": 0.8,
     "rate": 0.74, "spotPrice": 0.23, "readyS": 25.0, "wings": ["gauteng-rack", "cape-rack", "durban-rack"]},
]


class Site:
    def __init__(self, folder, zones=("gauteng-rack", "cape-rack", "durban-rack"), node_zones=None, count=3,
                 teams=None, types=None, capacity=None, workers=None, state=None, cloud=None, next_limits=None,
                 boot_s=(1.0, 2.0), seed=1, features=None, policy=None, arguments=()):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.mkdtemp(prefix="case-")
        self.random = random.Random(seed)
        self.zones, self.count = list(zones), count
        self.node_zones = node_zones or [self.zones[i % len(self.zones)] for i in range(count)]
        self.teams = teams or [(f"transcribers-0{i}", 32.0, 56.0) for i in range(6)]
        self.workers = workers or {"report_s": 3.0, "lease_s": 26.0, "gang_wait_s": 50.0, "gang_peer_s": 6.0,
                                   "cancel_s": 56.0}
        self.state_limits = state or {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 16}
        self.cloud_limits = cloud or {"rps": 5.0, "list_lag_s": 8.0}
        self.next_limits = next_limits
        self.names = [f"berth-{i}" for i in range(count)]
        self.public = [free_port() for _ in range(count)]
        self.back = [free_port() for _ in range(count)]
        self.state_ports = [free_port() for _ in range(count)]
        self.cloud_port = free_port()
        self.processes = [None] * count
        self.restarts = []
        self.policy, self.arguments = policy, list(arguments)
        self.features = features
        types = types or UMBHALO_TYPES
        if capacity is None:
            capacity = {}
            for zone in self.zones:
                capacity.update({("kiepersol-small", zone, False): 6, ("kiepersol-small", zone, True): 4,
                                 ("kiepersol-medium", zone, False): 1, ("kiepersol-medium", zone, True): 1})
        limits = {name: limit or float("inf") for name, _, limit in self.teams}
        self.platform = Platform(types, capacity, self.public, self.names, free_port, self.record, self.random,
                                 self.workers["report_s"], self.workers["lease_s"], self.workers["cancel_s"], limits,
                                 self.cloud_limits["list_lag_s"], boot_s)
        self.state = StateService(self.state_limits["rps"], self.state_limits["write_rps"],
                                  self.state_limits["value_kb"], self.state_limits["txn_ops"], self.record)
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            self.run_command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1).split()

    def peer_port(self, node, other):
        """The port at which `node` reaches `other`."""
        return self.back[other]

    def settings(self, node):
        lines = [f'node_name = "{self.names[node]}"', f'domain = "{self.node_zones[node]}"',
                 f'bind = "127.0.0.1:{self.public[node]}"', f'back = "127.0.0.1:{self.back[node]}"']
        for other in range(self.count):
            if other != node:
                lines += ["[[members]]", f'node_name = "{self.names[other]}"', f'domain = "{self.node_zones[other]}"',
                          f'peer_addr = "127.0.0.1:{self.peer_port(node, other)}"']
        lines += ["[external]", f'cloud = "127.0.0.1:{self.cloud_port}"',
                  f'state = "127.0.0.1:{self.state_ports[node]}"',
                  "[params]", f"count = {self.count}", f"zones = {json.dumps(sorted(self.zones))}",
                  "clock_off_ms = 1000.0"]
        for name, cpus, limit in self.teams:
            lines += ["[[params.teams]]", f'name = "{name}"', f"cpus = {cpus}", f"cpus_max = {limit}",
                      "gpus = 0.0", "gpus_max = 0.0"]
        for table, values in (("workers", self.workers), ("state", self.state_limits), ("cloud", self.cloud_limits)):
            lines += [f"[params.{table}]"] + [f"{k} = {v}" for k, v in values.items()]
        if self.next_limits:
            lines += ["[params.state.next]"] + [f"{k} = {v}" for k, v in self.next_limits.items()]
        lines += ["[params.quota]", "cpu = 0.16", "ram_mb = 104.0", "sockets = 2500"]
        return "\n".join(lines) + "\n"

    async def start(self):
        await self.state.start(self.state_ports)
        await self.platform.start(self.cloud_port)
        for node in range(self.count):
            await self.start_node(node)

    async def start_node(self, node):
        path = os.path.join(self.temp, f"{self.names[node]}.toml")
        with open(path, "w") as file:
            file.write(self.settings(node))
        command = [*self.run_command, path, *self.arguments]
        log = open(os.path.join(self.temp, f"{self.names[node]}.log"), "ab")
        self.processes[node] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log, env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "debug")})
        log.close()
        self.record("controller started", node=self.names[node], pid=self.processes[node].pid)

    async def kill(self, node):
        process = self.processes[node]
        if process and process.returncode is None:
            process.kill()
            await process.wait()
            self.record("controller killed", node=self.names[node])

    async def restart(self, node, after=5.0):
        await self.kill(node)
        await asyncio.sleep(after)
        await self.start_node(node)

    def pause(self, node):
        self.processes[node].send_signal(signal.SIGSTOP)
        self.record("controller stopped", node=self.names[node])

    def resume(self, node):
        self.processes[node].send_signal(signal.SIGCONT)
        self.record("controller continued", node=self.names[node])

    def ended_by_themselves(self):
        return [self.names[i] for i, p in enumerate(self.processes) if p is not None and p.returncode not in (None, -9)]

    async def close(self):
        for node, process in enumerate(self.processes):
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)

    # Users.

    def leader(self):
        entry = self.state.keys.get("dappleshore/leader")
        return self.names.index(entry[0]["node"]) if entry else None

    async def submit(self, body, node=None, patience=60.0, run_s=5.0):
        """Submits a job as a user does: retried after 1 s or more for up to 60 s. Returns the last status."""
        self.platform.submitted[body["id"]] = body
        self.platform.runs[body["id"]] = run_s
        until = time.monotonic() + patience
        while True:
            target = self.random.randrange(self.count) if node is None else node
            answer = await http1.call(self.public[target], "POST", "/submissions", body, timeout=5.0)
            status = answer[0] if answer else None
            self.record("submitted", job=body["id"], node=self.names[target], status=status,
                        answer=answer[1] if answer else None)
            if status in (200, 201, 400, 422) or time.monotonic() > until:
                return status
            await asyncio.sleep(1.0)

    async def poll(self, name, node=None, quiet=False):
        target = self.random.randrange(self.count) if node is None else node
        answer = await http1.call(self.public[target], "GET", f"/submissions/{name}", timeout=2.0)
        if not quiet:
            self.record("polled", job=name, node=self.names[target], answer=answer)
        return answer

    async def cancel(self, name, node=None, patience=60.0):
        self.platform.asked_cancel.add(name)
        until = time.monotonic() + patience
        while True:
            target = self.random.randrange(self.count) if node is None else node
            answer = await http1.call(self.public[target], "POST", f"/submissions/{name}/cancel", timeout=5.0)
            self.record("cancel", job=name, node=self.names[target], answer=answer)
            if answer and answer[0] == 200:
                if answer[1]["status"] == "cancelled":
                    self.platform.told_cancelled.setdefault(name, time.monotonic())
                return answer
            if time.monotonic() > until:
                return answer
            await asyncio.sleep(1.0)

    async def healthy(self, timeout=30.0):
        """Waits until every controller answers its health check."""
        until = time.monotonic() + timeout
        for node in range(self.count):
            while True:
                answer = await http1.call(self.public[node], "GET", "/up", timeout=1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.2)
        return True

    async def until(self, condition, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.1)
        return condition()

    def running(self, name):
        return [m for (m, task) in self.platform.on if task.split("/")[0] == name]


def main(case, **options):
    """Runs a case: `case(site, trouble)` returns 0, 1 or 2. Exits with that number."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    folder = os.environ.get("CASE_FOLDER", folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = Site(folder, **options)
        site.record("begin", trouble=trouble)
        try:
            code = await asyncio.wait_for(case(site, trouble), float(os.environ.get("LIMIT", "117")))
        except Exception as error:  # pylint: disable=broad-except
            site.record("the case could not run", error=repr(error))
            code = 2
        finally:
            await site.close()
        site.record("end", exit=code)
        return code

    os._exit(asyncio.run(run()))
