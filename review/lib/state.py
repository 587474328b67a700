"""The state service: keys, transactions, holds (leases), and follow (watches). One listener for each controller."""
import bisect
import threading
import time

from wire import Drop, Server


class State:
    def __init__(self, record, rps=100.0, write_rps=20.0, value_kb=8.0, txn_ops=16):
        self.record = record
        self.lock = threading.Condition()
        self.keys = {}
        self.line = 0
        self.news = []
        self.holds = {}
        self.next_hold = 1
        self.out = False
        self.limits = {"r": [rps, rps, time.monotonic()], "w": [write_rps, write_rps, time.monotonic()]}
        self.txn_ops = txn_ops
        self.listeners = {}
        self.count429 = 0
        threading.Thread(target=self.expire, daemon=True).start()

    def listen(self, name):
        door = Door(self, name)
        self.listeners[name] = door
        return door

    def set_out(self, out):
        with self.lock:
            self.out = out
            if not out:
                now = time.monotonic()
                for hold in self.holds.values():
                    hold[1] = now + hold[0]
            self.lock.notify_all()
        self.record("state", "outage begins" if out else "outage ends")

    def expire(self):
        while True:
            time.sleep(0.03)
            with self.lock:
                if self.out:
                    continue
                now = time.monotonic()
                for hold in [h for h, (_, end) in self.holds.items() if end < now]:
                    self.end_hold(hold)

    def end_hold(self, hold):
        self.holds.pop(hold, None)
        gone = [k for k, (_, _, tenure) in self.keys.items() if tenure == hold]
        if gone:
            self.line += 1
            for key in gone:
                del self.keys[key]
                self.news.append((self.line, {"remove": key, "amended": self.line}))
            self.lock.notify_all()

    def take(self, kind, amount):
        limit = self.limits[kind]
        now = time.monotonic()
        limit[1] = min(limit[0], limit[1] + (now - limit[2]) * limit[0])
        limit[2] = now
        if limit[1] < amount:
            self.count429 += 1
            return False
        limit[1] -= amount
        return True

    def multi(self, body):
        when, apply = body.get("when") or [], body.get("apply") or []
        if len(apply) > self.txn_ops or len(when) > 4 * self.txn_ops:
            return 400, {"error": "too large"}
        if not self.take("w", len(apply)):
            return 429, {"error": "rate"}
        for change in apply:
            tenure = change.get("tenure")
            if tenure is not None and tenure not in self.holds:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in when if self.keys.get(c["k"], (None, 0, None))[1] != c["amended"]]
        if failed:
            return 409, {"failed": failed, "ledgerLine": self.line}
        if apply:
            self.line += 1
            for change in apply:
                if "put" in change:
                    self.keys[change["put"]] = (change.get("value"), self.line, change.get("tenure"))
                    self.news.append((self.line, {"put": change["put"], "value": change.get("value"),
                                                  "amended": self.line}))
                elif self.keys.pop(change["remove"], None) is not None:
                    self.news.append((self.line, {"remove": change["remove"], "amended": self.line}))
            self.lock.notify_all()
        return 200, {"ledgerLine": self.line}

    def serve(self, door, method, path, query, body):
        if not self.take("r", 1):
            return 429, {"error": "rate"}
        if path == "/multi":
            return self.multi(body)
        if path.startswith("/keys/"):
            key = path[len("/keys/"):]
            if key not in self.keys:
                return 404, {"ledgerLine": self.line}
            value, amended, tenure = self.keys[key]
            return 200, {"k": key, "value": value, "amended": amended, "tenure": tenure}
        if path == "/keys":
            names = sorted(k for k in self.keys if k.startswith(query.get("prefix", "")))
            names = names[bisect.bisect_right(names, query.get("after", "")):]
            most = min(int(query.get("most", 1000)), 1000)
            rows = [{"k": k, "value": self.keys[k][0], "amended": self.keys[k][1]} for k in names[:most]]
            return 200, {"rows": rows, "more": len(names) > most, "ledgerLine": self.line}
        if path == "/holds":
            hold = self.next_hold
            self.next_hold += 1
            life = body["lifeMs"] / 1000
            self.holds[hold] = [life, time.monotonic() + life]
            return 200, {"tenure": hold}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_hold(hold)
            else:
                self.holds[hold][1] = time.monotonic() + self.holds[hold][0]
            return 200, {"tenure": hold}
        if path == "/follow":
            after, prefix = int(query["after"]), query.get("prefix", "")
            end = time.monotonic() + min(int(query.get("holdMs", 0)), 60000) / 1000
            while True:
                start = bisect.bisect_right(self.news, after, key=lambda n: n[0])
                found = [n for _, n in self.news[start:] if (n.get("put") or n.get("remove")).startswith(prefix)]
                left = end - time.monotonic()
                blocked = self.out or door.refused
                if not blocked and (found or left <= 0):
                    return 200, {"ledgerLine": self.line, "news": found}
                self.lock.wait(left if left > 0 and not blocked else 0.1)
        return 400, {"error": "no such path"}


class Door:
    """One controller's access to the state service, with its troubles."""

    def __init__(self, state, name):
        self.state, self.name = state, name
        self.refused = False
        self.rule = None
        self.server = Server(self.handle)
        self.addr = self.server.addr

    def refuse(self, refused):
        with self.state.lock:
            self.refused = refused
            self.state.lock.notify_all()
        self.state.record("state", "%s %s" % ("refuses" if refused else "serves", self.name))

    def handle(self, method, path, query, body):
        action = self.rule(method, path, body) if self.rule else None
        if action == "lost":
            raise Drop()
        if isinstance(action, tuple):
            # ("late", s): no answer, and carried out that much later.
            threading.Timer(action[1], self.late, [method, path, query, body]).start()
            time.sleep(5.0)
            raise Drop()
        with self.state.lock:
            if self.state.out or self.refused:
                return 503, {"error": "unavailable"}
            answer = self.state.serve(self, method, path, query, body)
        if action == "answer lost":
            raise Drop()
        if isinstance(action, (int, float)):
            time.sleep(action)
        return answer

    def late(self, method, path, query, body):
        with self.state.lock:
            answer = self.state.serve(self, method, path, query, body)
        self.state.record("state", "late request of %s carried out: %s" % (self.name, answer))
