"""The state service, under the protocol's section on it: one store, with one address for each controller so that
a single controller can be refused."""

import asyncio
import json
import time

import http1


class Bucket:
    def __init__(self, rate):
        self.rate = rate
        self.tokens = rate
        self.at = time.monotonic()

    def take(self, amount):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class Lease:
    def __init__(self, life):
        self.life = life
        self.until = time.monotonic() + life
        self.keys = set()


class StateService:
    def __init__(self, rps, write_rps, value_kb, txn_ops, log):
        self.requests = Bucket(rps)
        self.writes = Bucket(write_rps)
        self.value_bytes = value_kb * 1024
        self.txn_ops = txn_ops
        self.log = log
        self.keys = {}
        self.revision = 0
        self.news = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.outage = False
        self.refused = set()
        self.latency = 0.003
        # Asked for each transaction: None, or ("late", seconds) or ("lost", 0).
        self.commit_fault = lambda node, body: None
        # Added to the latency of a node's requests.
        self.slow = lambda node, method, path: 0.0

    async def start(self, ports):
        self.servers = [await http1.serve(port, self.handler(node)) for node, port in enumerate(ports)]
        asyncio.ensure_future(self.expire())

    def set_outage(self, outage):
        self.outage = outage
        if not outage:
            for lease in self.leases.values():
                lease.until = time.monotonic() + lease.life
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            now = time.monotonic()
            for number in [n for n, lease in self.leases.items() if lease.until <= now]:
                lease = self.leases.pop(number)
                self.apply([("remove", key, None, None) for key in sorted(lease.keys)])

    def apply(self, changes):
        if not changes:
            return
        self.revision += 1
        for kind, key, value, tenure in changes:
            old = self.keys.pop(key, None)
            if old and old[2] in self.leases:
                self.leases[old[2]].keys.discard(key)
            if kind == "put":
                self.keys[key] = (value, self.revision, tenure)
                if tenure is not None:
                    self.leases[tenure].keys.add(key)
                self.news.append((self.revision, key, value))
            elif old:
                self.news.append((self.revision, key, None))
        del self.news[:-10000]
        self.wake()

    def handler(self, node):
        async def handle(method, path, query, body):
            await asyncio.sleep(self.latency + self.slow(node, method, path))
            if path == "/follow":
                return await self.follow(node, query)
            if self.outage or node in self.refused:
                return 503, {"error": "trouble"}
            if not self.requests.take(1):
                return 429, {"error": "busy"}
            if path == "/multi":
                return await self.multi(node, body)
            if path == "/keys" and method == "GET":
                return self.page(query)
            if path.startswith("/keys/"):
                key = path[len("/keys/"):]
                if key not in self.keys:
                    return 404, {"ledgerLine": self.revision}
                value, amended, tenure = self.keys[key]
                return 200, {"k": key, "value": value, "amended": amended, "tenure": tenure}
            if path == "/holds":
                life = body["lifeMs"] / 1000
                self.last_lease += 1
                self.leases[self.last_lease] = Lease(life)
                return 200, {"tenure": self.last_lease}
            if path.startswith("/holds/"):
                number = int(path.split("/")[2])
                if number not in self.leases:
                    return 404, {"error": "no such lease"}
                lease = self.leases[number]
                lease.until = time.monotonic() + lease.life
                return 200, {"tenure": number}
            return 404, {"error": "no such path"}

        return handle

    def page(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        most = min(int(query.get("most", 1000)), 1000)
        rows, size, more = [], 0, False
        for key in sorted(self.keys):
            if not key.startswith(prefix) or key <= after:
                continue
            value, amended, _ = self.keys[key]
            size += len(json.dumps(value, separators=(",", ":"), ensure_ascii=False)) + len(key) + 30
            if len(rows) >= most or size > 512 * 1024:
                more = True
                break
            rows.append({"k": key, "value": value, "amended": amended})
        return 200, {"rows": rows, "more": more, "ledgerLine": self.revision}

    async def follow(self, node, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        if self.outage or node in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "busy"}
        if self.news and after + 1 < self.news[0][0] and len(self.news) >= 10000:
            return 410, {"error": "too old"}
        until = time.monotonic() + min(int(query.get("holdMs", 0)), 60000) / 1000
        while True:
            if not (self.outage or node in self.refused):
                news = []
                for revision, key, value in reversed(self.news):
                    if revision <= after:
                        break
                    if key.startswith(prefix):
                        entry = {"remove": key} if value is None else {"put": key, "value": value}
                        news.append({**entry, "amended": revision})
                left = until - time.monotonic()
                if news or left <= 0:
                    news.reverse()
                    return 200, {"ledgerLine": self.revision, "news": news}
            else:
                left = 0.1
            try:
                await asyncio.wait_for(self.changed.wait(), min(max(left, 0.01), 0.1))
            except asyncio.TimeoutError:
                pass

    async def multi(self, node, body):
        apply = body.get("apply") or []
        if not self.writes.take(len(apply)):
            return 429, {"error": "busy"}
        if len(apply) > self.txn_ops or len(body["when"]) > 4 * self.txn_ops:
            return 400, {"error": "too many"}
        total = 0
        for change in apply:
            size = len(json.dumps(change.get("value"), separators=(",", ":"), ensure_ascii=False))
            total += size
            if size > self.value_bytes or total > 65536:
                self.log("state: value too large", size=size, key=change.get("put"))
                return 400, {"error": "too large"}
        fault = self.commit_fault(node, body)
        if fault is None:
            return self.commit(body)
        kind, seconds = fault
        if kind == "lost":
            status, _ = self.commit(body)
            self.log("state: answer lost", node=node, status=status)
        else:
            async def later():
                await asyncio.sleep(seconds)
                while self.outage:
                    await asyncio.sleep(0.1)
                status, _ = self.commit(body)
                self.log("state: transaction carried out late", node=node, status=status)
            asyncio.ensure_future(later())
        raise http1.NoAnswer

    def commit(self, body):
        failed = [c["k"] for c in body["when"] if self.keys.get(c["k"], (0, 0, 0))[1] != c["amended"]]
        changes = []
        for change in body.get("apply") or []:
            if "put" in change:
                tenure = change.get("tenure")
                if tenure is not None and tenure not in self.leases:
                    return 400, {"error": "no such lease"}
                changes.append(("put", change["put"], change["value"], tenure))
            else:
                changes.append(("remove", change["remove"], None, None))
        if failed:
            return 409, {"failed": failed, "ledgerLine": self.revision}
        self.apply(changes)
        return 200, {"ledgerLine": self.revision}
