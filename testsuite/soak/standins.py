"""Stand-ins for the platform's store and for workers."""

import asyncio
import base64
import json
import random as randoms
import time

from wire import Server

# Failure domains of the workers.
ZONES = ("zone-a", "zone-b")
HEARTBEAT_S = 1.0
MAX_LISTED_ENDS = 500
# A poll waits for up to 2 s.
IDLE_LIMIT_S = 2.5
# The clocks of processes that began long ago are far ahead.
FIRST_AGE_S = 1000.0


class Store:
    """The platform's metadata store."""

    def __init__(self, hosts, random, log):
        self.rows = {}
        self.history = []
        self.version = 100
        self.changed = {}  # table -> event of its next change
        self.server = Server(self.serve, hosts, random, log)
        self.is_down = 0
        # Host -> version up to which it has the operator's changes: it asks for
        # those after it.
        self.known = {}

    async def serve(self, call):
        if call.path == "/basilchute/rows-tx":
            await asyncio.sleep(0.003)
            return self.transact(json.loads(call.body))
        if call.path == "/basilchute/rows-get":
            return 200, json.dumps(self.get(call.query))
        if call.path == "/basilchute/rows-feed":
            if call.query.get("table") == "op":
                after = int(call.query.get("after", 0))
                self.known[call.host] = max(after, self.known.get(call.host, 0))
            return await self.feed(call.query)
        return 404, "{}"

    def tail(self, out):
        out["schema_version"] = self.version
        out["current_time_ms"] = int(time.monotonic() * 1000)
        return out

    @staticmethod
    def row(address, value, version):
        table, part, key = address
        return {"table": table, "part": part, "key": key, "value": value,
                "schema_version": version}

    @staticmethod
    def address(entry):
        return entry["table"], entry.get("part", ""), entry["key"]

    def transact(self, body):
        conditions = [(self.address(entry), entry.get("schema_version", 0))
                      for entry in body.get("precondition", ())]
        writes = [(self.address(entry), entry["value"])
                  for entry in body.get("writes", ())]
        removals = [self.address(entry) for entry in body.get("remove", ())]
        entries = len(conditions) + len(writes) + len(removals)
        if entries > 100 or any(len(value) > 87384 for _, value in writes):
            return 400, "{}"
        if any(self.rows.get(address, ("", 0))[1] != version
               for address, version in conditions):
            rows = [self.row(address, *self.rows[address])
                    for address, _ in conditions if address in self.rows]
            return 412, json.dumps(self.tail({"rows": rows}))
        self.apply(writes, removals)
        return 200, json.dumps(self.tail({}))

    def apply(self, writes, removals):
        self.version += 1
        for address, value in writes:
            self.rows[address] = (value, self.version)
            self.history.append((self.version, address, value))
        for address in removals:
            self.rows.pop(address, None)
            self.history.append((self.version, address, None))
        self.wake({address[0] for address, _ in writes} |
                  {address[0] for address in removals})

    def evacuate(self, zone):
        self.apply([(("op", "", "evacuate/" + zone), encode({}))], [])

    def is_evacuation_known(self, zone, host):
        _, version = self.rows.get(("op", "", "evacuate/" + zone), ("", None))
        return version is not None and self.known.get(host, 0) >= version

    def take_back(self, zone):
        self.apply([], [("op", "", "evacuate/" + zone)])

    def wake(self, tables=None):
        """Wakes the feeds of the tables, of all if none are given."""
        for table in list(self.changed) if tables is None else tables:
            if table in self.changed:
                self.changed.pop(table).set()

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, last = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(address for address in self.rows
                      if address[:2] == (table, part) and address[2] >= first
                      and (not last or address[2] < last))
        rows = [self.row(address, *self.rows[address])
                for address in keys[:limit]]
        return self.tail({"rows": rows, "has_more": len(keys) > limit})

    def changes(self, table, after):
        out = []
        for version, address, value in reversed(self.history):
            if version <= after:
                break
            if address[0] != table:
                continue
            row = self.row(address, value or "", version)
            if value is None:
                row["deleted"] = True
            out.append(row)
        return out[::-1]

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        rows = self.changes(table, after)
        while not rows and time.monotonic() < end:
            try:
                change = self.changed.setdefault(table, asyncio.Event())
                await asyncio.wait_for(change.wait(), end - time.monotonic())
            except TimeoutError:
                pass
            if self.is_down:
                return 503, "{}"
            rows = self.changes(table, after)
        return 200, json.dumps(self.tail({"rows": rows}))


class Worker:
    """A worker that doesn't guard its capacity."""

    CAPACITY = 8000

    def __init__(self, name, store, judge, hosts, random, max_hold_ms=6000,
                 zone=ZONES[0]):
        self.name = name
        self.zone = zone
        self.max_hold_ms = max_hold_ms
        self.store = store
        self.judge = judge
        self.hosts = hosts
        self.random = randoms.Random(random.random())
        self.rules = []
        self.rate = random.choice([1.0, 0.98, 0.99])
        self.server = None
        self.is_up = False
        self.is_listed = True
        self.is_draining = False
        self.is_cut = False
        self.life = 0
        self.task = None
        self.ordered = {}  # host -> when its last call was taken

    async def start(self):
        port = self.random.choice([0, self.server.port]) if self.server else 0
        self.server = self.new_server()
        await self.server.start(port)
        self.begin(0 if self.life else FIRST_AGE_S)

    def new_server(self):
        server = Server(self.serve, self.hosts, self.random, self.judge.log)
        server.rules = self.rules
        return server

    def begin(self, age=0.0):
        """Begins a new life, which knows nothing of an earlier one."""
        self.life += 1
        self.born = max(int((time.time() - age) * 1000),
                        getattr(self, "born", 0) + 1)
        self.born_at = time.monotonic() - age
        self.token = 0
        self.lease_ms = 0
        self.has_lapsed = True
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.last_end = 0
        self.listed = 0
        # The protocol leaves open whether an acknowledgement also holds for
        # ends that come while its poll waits.
        self.forgets_later = self.random.random() < 0.5
        self.sequence = 0
        self.is_draining = False
        self.is_listed = True
        self.changed = asyncio.Event()
        self.is_up = True
        self.task = asyncio.ensure_future(self.work(self.life))
        self.judge.log(f"worker {self.name}: up, born {self.born}")

    def crash(self, is_removed=False):
        """Ends the life without a word; a worker that has left is removed."""
        self.end_life()
        self.server.stop()
        if is_removed:
            self.unlist()

    def end_life(self):
        self.is_up = False
        self.life += 1
        self.changed.set()
        self.task.cancel()
        for run, _, _ in self.runs.values():
            self.judge.end(run, 0, "crashed")
        self.runs = {}
        self.judge.log(f"worker {self.name}: gone")

    def is_spared(self):
        """Hosts give a task up that seems to crash its workers."""
        return any(self.judge.has_crashed(run.task)
                   for run, _, _ in self.runs.values())

    async def restart(self):
        """Begins a new life between two calls, at the same address at once."""
        def act():
            if self.is_spared():
                return
            self.end_life()
            self.server.end_connections()
            self.begin()

        await self.server.between_calls(act, IDLE_LIMIT_S)

    async def start_again(self, down, is_noticed=True):
        """Crashes, and begins a new life at the same address after `down`
        seconds. Connections that come meanwhile wait for that life."""
        self.end_life()
        self.server.may_accept.clear()
        if is_noticed:
            self.server.end_connections()
        else:
            self.server.lose_connections()
        await asyncio.sleep(down)
        self.begin()
        self.server.may_accept.set()

    def cut_off(self):
        """No host and not the store is reached; what runs goes on."""
        self.is_cut = True
        self.server.cut()
        self.judge.log(f"worker {self.name}: cut off")

    def mend(self):
        self.is_cut = False
        self.server.mend()

    async def move(self, other):
        """As restart(), at a new address. Returns the server at the former one,
        where the other worker answers now, or the new one if it is spared."""
        former, new = self.server, self.new_server()
        await new.start()

        def act():
            if self.is_spared():
                return
            self.end_life()
            former.handle = other.serve
            former.end_connections()
            self.server = new
            self.begin()

        await former.between_calls(act, IDLE_LIMIT_S)
        return new if self.server is former else former

    def unlist(self):
        address = ("servers", "", self.name)
        if address in self.store.rows:
            self.store.apply([], [address])

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000 * self.rate)

    def used(self):
        return sum(step.cpu for _, step, _ in self.runs.values())

    def entry(self):
        return {"service": "desk", "address": f"127.0.0.1:{self.server.port}",
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "draining" if self.is_draining else "ready",
                "cold_remaining_ms": 0, "labels": ["small", "r1-1"],
                "capacity": {"cpu": self.CAPACITY, "mem_mb": 64000, "gpus": 0},
                "clock_ms": self.clock(), "born": self.born,
                "sequence": self.sequence}

    def beat(self):
        if self.is_cut or not self.is_listed or self.store.is_down:
            return
        self.sequence += 1
        self.last_beat = time.monotonic()
        self.store.apply([(("servers", "", self.name),
                           encode(self.entry()))], [])

    async def work(self, life):
        next_beat = 0
        self.last_beat = time.monotonic()
        while life == self.life:
            self.check_lease()
            self.end_due()
            now = time.monotonic()
            if now >= next_beat:
                next_beat = now + HEARTBEAT_S
                self.beat()
            if now > self.last_beat + 3 * HEARTBEAT_S and not self.store.is_down:
                self.unlist()
            await asyncio.sleep(0.01)

    def check_lease(self):
        if self.has_lapsed or self.clock() <= self.lease_ms:
            return
        self.has_lapsed = True
        for key in list(self.runs):
            self.end(key, "lapsed")
        for _, run, _, _ in self.ends:
            self.judge.void(run)

    def end_due(self):
        now = time.monotonic()
        for key, (run, step, due) in list(self.runs.items()):
            if due is None or now < due[0]:
                continue
            self.end(key, due[1])

    def end(self, key, how):
        run, step, _ = self.runs.pop(key)
        task, number = key
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.last_end += 1
        saved = ""
        if step.checkpointing and how != "done":
            saved = f"{self.random.getrandbits(64):016x}"
            submission = self.judge.submissions[task.split(".")[0]]
            submission.checkpoints.setdefault(task, set()).add(saved)
        self.ends.append((self.last_end, run, how, saved))
        self.judge.end(run, self.last_end, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, status, reason=""):
        body = {"clock_ms": self.clock()}
        if reason:
            body["reason"] = reason
        return status, json.dumps(body)

    async def serve(self, call):
        life = self.life
        if not self.is_up:
            return None
        if call.headers.get("expected-instance", self.name) != self.name:
            return self.answer(421)
        body = json.loads(call.body)
        if body.get("fencing_token", 0) < self.token:
            return self.answer(409, "fence")
        self.token = body.get("fencing_token", 0)
        self.ordered[call.host] = self.judge.now()
        self.check_lease()
        if call.path == "/basilchute/run-start":
            return self.start_task(body, call)
        if call.path == "/basilchute/run-stop":
            return self.stop_task(body)
        if call.path == "/basilchute/hold":
            return await self.hold(body, life, call.host)
        return self.answer(200 if call.path == "/basilchute/pace" else 400)

    def extend(self, body):
        wanted, most = body.get("deadline_ms", 0), self.clock() + self.max_hold_ms
        if wanted > most:
            self.judge.log(f"worker {self.name}: lease of {wanted} shortened to "
                           f"{most}, born {self.born}")
        until = min(wanted, most)
        self.lease_ms = max(self.lease_ms, until)
        self.has_lapsed = self.has_lapsed and self.lease_ms <= self.clock()

    def start_task(self, body, call):
        key = body["task"], body["run"]
        if key in self.runs:
            self.extend(body)
            return self.answer(200)
        if key[1] <= self.highest.get(key[0], 0):
            self.extend(body)
            return self.answer(409, "old")
        if body["deadline_ms"] <= self.clock():
            return self.answer(409, "late")
        self.extend(body)
        run = self.judge.start(self.name, self.born, body, call)
        if run is None:
            return self.answer(400)
        step = self.judge.step_of(run.task)
        how = "failed" if self.judge.failures(run.task) < step.fails else "done"
        due = None if step.long_running else \
            (time.monotonic() + step.work_s, how)
        self.runs[key] = (run, step, due)
        self.judge.check_limit(run, self.used(), self.CAPACITY)
        self.judge.check_evacuated(
            run, self.zone, call,
            self.store.is_evacuation_known(self.zone, call.host))
        return self.answer(200)

    def stop_task(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        for key, (run, step, _) in list(self.runs.items()):
            if key[0] != task or key[1] > number:
                continue
            due = time.monotonic() + self.random.uniform(0, 0.3)
            self.runs[key] = (run, step, (due, "stopped"))
        return self.answer(200)

    def forget(self, seen):
        for number, *_ in self.ends:
            if number <= seen:
                self.judge.noted(self.name, self.born, number)
        self.ends = [end for end in self.ends if end[0] > seen]

    async def hold(self, body, life, host):
        if "deadline_ms" in body:
            self.extend(body)
        seen = body.get("last_seen", 0)
        self.judge.acknowledged(self.name, seen, self.listed, host)
        self.forget(seen)
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until and life == self.life:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       max(0.001, until - time.monotonic()))
            except TimeoutError:
                pass
            if self.forgets_later and life == self.life:
                self.forget(seen)
        if life != self.life:
            return None
        running = [[run.task, run.number, "", self.percent(run, step),
                    step.cpu] for run, step, _ in self.runs.values()]
        finished = [[number, run.task, run.number, how, saved]
                    for number, run, how, saved in self.ends[:MAX_LISTED_ENDS]]
        self.listed = max([self.listed] + [end[0] for end in finished])
        return 200, json.dumps({"clock_ms": self.clock(), "born": self.born,
                                "running": running, "finished": finished})

    def percent(self, run, step):
        if step.long_running:
            return 100
        age = self.judge.now() - run.started_at
        return min(99, int(age * 100 / max(step.work_s, 0.01)))


def encode(value):
    return base64.b64encode(json.dumps(value).encode()).decode()
