"""The faults of one soak: a plan made from the seed, and what carries it out."""

import asyncio
import copy

from standins import ZONES
from wire import Rule

EXCHANGES = ("before", "undone", "done", "middle")
WORKER_KINDS = (("exchange", 6), ("late", 3), ("silent", 1), ("mute", 1),
                ("slow", 1))
STORE_KINDS = (("exchange", 6), ("late", 2), ("silent", 1), ("mute", 1),
               ("slow", 1), ("down", 1), ("one_host", 2))
HOST_KINDS = (("stop", 3), ("kill", 2), ("term", 2))
LIFE_KINDS = (("crash", 1), ("cut", 2), ("unlist", 2), ("drain", 2))
GROUPS = (("worker", WORKER_KINDS, 4), ("store", STORE_KINDS, 4),
          ("host", HOST_KINDS, 2), ("life", LIFE_KINDS, 2))
STOP_AFTER_DRAIN_S = 2.0
GRACE_S = 6.0
# The owner of a shard has called workers in this time.
OWNER_S = 1.0


class Fault:
    def __init__(self, at, duration, group, kind, targets, details):
        self.at = at
        self.duration = duration
        self.group = group
        self.kind = kind
        self.targets = targets
        self.details = details

    def text(self):
        details = " ".join(f"{key}={value}" for key, value in
                           sorted(self.details.items()))
        targets = "+".join(map(str, self.targets))
        return (f"{self.at:.2f} for {self.duration:.2f} s: {self.group} "
                f"{self.kind} {targets} {details}").rstrip()


def pick(random, weighted):
    return random.choices([name for name, *_ in weighted],
                          [row[-1] for row in weighted])[0]


def exchange_details(random):
    return {"point": random.choice(EXCHANGES),
            "chance": round(random.choice([0.2, 0.5, 1.0]), 2),
            "status": random.choice([503, 503, 429]),
            "refuse_for": random.choice([0, 1, 2.5, 4])}


def make_fault(random, at, hosts, workers):
    group = pick(random, GROUPS)
    kinds = next(rows for name, rows, _ in GROUPS if name == group)
    kind = pick(random, kinds)
    duration = random.uniform(0.3, 4)
    details = {}
    if kind == "exchange":
        details = exchange_details(random)
    elif kind in ("late", "silent", "mute", "slow"):
        details = {"chance": random.choice([0.2, 0.5, 1.0])}
    elif kind == "one_host":
        details = {"with": random.choice(["503", "reset"])}
    elif kind == "stop":
        duration = random.uniform(0.5, 5)
    if group == "worker":
        targets = random.sample(range(workers), random.choice([1, 2, workers]))
    elif group == "life":
        targets = [random.randrange(workers)]
    elif group == "host":
        targets = random.sample(range(hosts), random.choice([1, 1, 1, 2, hosts]))
    elif kind == "one_host":
        targets = [random.randrange(hosts)]
    else:
        targets = random.sample(range(hosts), random.choice([1, hosts]))
    return Fault(at, duration, group, kind, targets, details)


def make_restarts(random, seconds, workers, is_dense):
    """Workers that start again at once, between two polls of their owner."""
    out = []
    at = 3.0
    while at < seconds - 5:
        kind = random.choice(["restart", "restart", "move"])
        out.append(Fault(at, random.uniform(0.3, 4), "life", kind,
                         random.sample(range(workers), 2), {}))
        at += random.uniform(0.5, 3 if is_dense else 6)
    return out


def make_rebirths(random, seconds, workers, is_dense):
    """Workers that start again at once under their ids, the owner of their shard
    that is killed then, and some of them that are cut off a moment later."""
    out = []
    # The first one meets hosts that nothing else has disturbed yet.
    at = 2.0
    while at < seconds - 5:
        count = random.choice([1, 2, 3, 4, 5])
        details = {"count": count,
                   "cut_count": random.choice([1, count, count]),
                   "down": random.choice([0.1, 0.3, 0.6]),
                   "is_noticed": random.random() < 0.3,
                   "kill_after": round(random.uniform(0.05, 1.0), 2),
                   "cut_after": round(random.uniform(0, 0.6), 2)}
        out.append(Fault(at, random.uniform(3, 8), "reborn", "cut",
                         random.sample(range(workers), workers), details))
        # The next owner is at work by then.
        at += random.uniform(7, 9 if is_dense else 12)
    return out


def make_silences(random, seconds, hosts, is_dense):
    """Connections to the store that go silent for good, beside a configuration
    that changes in series."""
    out = []
    at = 3.0
    while at < seconds - 5:
        out.append(Fault(at, 0, "config", "change", [],
                         {"filler": random.choice([0, 0, 300, 1400])}))
        at += random.uniform(0.3, 2.5)
    at = 4.0
    while at < seconds - 5:
        out.append(Fault(at, 0, "kept", "silence",
                         random.sample(range(hosts), random.choice([1, hosts])),
                         {}))
        at += random.uniform(3.5, 5 if is_dense else 12)
    return out


def make_evacuations(random, seconds, is_dense):
    """Zones of workers that the operator evacuates, mostly one at a time."""
    out = []
    at = 5.0
    # An evacuation takes effect after 5 s, and is over before the end.
    while at < seconds - 10:
        duration = min(random.uniform(6, 9), seconds - 2 - at)
        zones = random.sample(range(len(ZONES)),
                              random.choice([1, 1, 1, len(ZONES)]))
        out.append(Fault(at, duration, "evacuate", "zone", zones, {}))
        at += duration + random.uniform(0, 1 if is_dense else 3)
    return out


def make_plan(random, seconds, hosts, workers, is_dense):
    """Returns bursts of faults that overlap, with calm spans between some."""
    out = []
    sizes = [2, 3, 4, 6] if is_dense else [1, 2, 3, 4]
    pauses = [0.3, 0.8, 1.5, 1.5, 4.5] if is_dense else [0.5, 1.0, 1.5, 3.0, 6.5]
    at = 3.0
    while at < seconds - 5:
        for _ in range(random.choice(sizes)):
            out.append(make_fault(random, at + random.uniform(0, 1.5), hosts,
                                  workers))
        at += random.choice(pauses)
    # A copy, so that the other faults and the clients of a seed stay the same.
    out += make_restarts(copy.copy(random), seconds, workers, is_dense)
    out += make_silences(copy.copy(random), seconds, hosts, is_dense)
    out += make_rebirths(copy.copy(random), seconds, workers, is_dense)
    out += make_evacuations(copy.copy(random), seconds, is_dense)
    return sorted(out, key=lambda fault: fault.at)


class Player:
    """Carries a plan out on a deployment."""

    def __init__(self, world, random):
        self.world = world
        self.judge = world.judge
        self.random = random

    async def play(self, plan):
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = []
        for fault in plan:
            await asyncio.sleep(max(0, began + fault.at - loop.time()))
            self.judge.log("fault " + fault.text())
            tasks.append(asyncio.ensure_future(self.carry_out(fault)))
        await asyncio.gather(*tasks)

    async def carry_out(self, fault):
        if fault.group == "host":
            await asyncio.gather(*(self.host(fault, number)
                                   for number in fault.targets))
        elif fault.group == "life":
            await self.worker_life(fault, *fault.targets)
        elif fault.group == "reborn":
            await self.reborn(fault)
        elif fault.group == "evacuate":
            await self.evacuate(fault)
        elif fault.group == "config":
            self.world.configs.change(fault.details["filler"])
        elif fault.group == "kept":
            self.judge.impairments.mark("store")
            self.world.store.server.silence({self.world.hosts[number].name
                                             for number in fault.targets})
        elif fault.kind == "down":
            await self.store_down(fault)
        else:
            await self.network(fault)

    def rule(self, fault, hosts):
        kind = fault.details.get("point", fault.kind)
        if kind == "one_host":
            kind = "refuse" if fault.details["with"] == "503" else "cut"
        return Rule(kind, self.random, hosts,
                    fault.details.get("chance", 1.0),
                    fault.details.get("status", 503),
                    fault.details.get("refuse_for", 0))

    async def network(self, fault):
        world = self.world
        if fault.group == "worker":
            names = [world.workers[number].name for number in fault.targets]
            places = [world.workers[number] for number in fault.targets]
            rules = [self.rule(fault, None) for _ in places]
        else:
            names = ["store"]
            places = [world.store.server]
            rules = [self.rule(fault, {world.hosts[number].name
                                       for number in fault.targets})]
        for name in names:
            self.judge.impairments.mark(name, fault.duration)
        for place, rule in zip(places, rules):
            place.rules.append(rule)
            if rule.kind == "before":
                getattr(place, "server", place).end_kept(rule)
        await asyncio.sleep(fault.duration)
        for name, place, rule in zip(names, places, rules):
            place.rules.remove(rule)
            # Copies of refused calls and calls carried out late follow.
            extra = max(rule.refuse_for, 3.0 if rule.kind == "late" else 0)
            self.judge.impairments.mark(name, extra)
            self.judge.log(f"fault at {name} {rule.kind}: over, "
                           f"{rule.hits} calls")
            if rule.refuse_for:
                self.keep_refusing(place, rule)

    @staticmethod
    def keep_refusing(place, rule):
        rule.chance = 0
        place.rules.append(rule)
        asyncio.get_running_loop().call_later(
            rule.refuse_for, lambda: place.rules.remove(rule))

    async def store_down(self, fault):
        store = self.world.store
        rule = Rule("refuse", self.random)
        self.judge.impairments.mark("store", fault.duration)
        store.server.rules.insert(0, rule)
        store.is_down += 1
        store.wake()
        await asyncio.sleep(fault.duration)
        store.is_down -= 1
        store.server.rules.remove(rule)
        self.judge.impairments.mark("store")

    async def host(self, fault, number):
        host = self.world.hosts[number]
        if host.is_busy:
            return
        host.is_busy = True
        self.judge.impairments.mark(host.name, fault.duration)
        if fault.kind == "stop":
            host.pause()
            await asyncio.sleep(fault.duration)
            host.resume()
        else:
            if fault.kind == "kill":
                host.kill()
            else:
                await host.terminate(GRACE_S)
            await asyncio.sleep(min(fault.duration, 2.0))
            host.start()
        self.judge.impairments.mark(host.name)
        host.is_busy = False

    async def evacuate(self, fault):
        zones = [ZONES[number] for number in fault.targets]
        for zone in zones:
            self.world.store.evacuate(zone)
            self.judge.evacuated(zone)
        await asyncio.sleep(fault.duration)
        for zone in zones:
            self.judge.taken_back(zone)
            self.world.store.take_back(zone)

    async def reborn(self, fault):
        """Of the targets, the first that are free take part."""
        details = fault.details
        free = [worker for worker in (self.world.workers[number]
                                      for number in fault.targets)
                if not worker.is_busy and not worker.is_spared()]
        chosen = free[:details["count"]]
        for worker in chosen:
            worker.is_busy = True
            self.judge.impairments.mark(worker.name, fault.duration + 3)
        await asyncio.gather(*(worker.start_again(details["down"],
                                                  details["is_noticed"])
                               for worker in chosen))
        await asyncio.sleep(details["kill_after"])
        owner = self.owner(chosen)
        if owner is not None:
            asyncio.ensure_future(self.host(
                Fault(0, fault.duration, "host", "kill", [owner], {}), owner))
        await asyncio.sleep(details["cut_after"])
        for worker in chosen[:details["cut_count"]]:
            worker.cut_off()
        await asyncio.sleep(fault.duration)
        for worker in chosen:
            worker.mend()
            self.judge.impairments.mark(worker.name)
            worker.is_busy = False

    def owner(self, workers):
        """Returns the number of the host that called these workers last, or
        else any worker, or None."""
        since = self.judge.now() - OWNER_S
        for some in (workers, self.world.workers):
            orders = [(at, host) for worker in some
                      for host, at in worker.ordered.items()
                      if host is not None and at >= since]
            if orders:
                names = [host.name for host in self.world.hosts]
                return names.index(max(orders)[1])
        return None

    async def worker_life(self, fault, number, other=None):
        worker = self.world.workers[number]
        if worker.is_busy:
            return
        worker.is_busy = True
        impair = self.judge.impairments
        impair.mark(worker.name, fault.duration)
        if fault.kind == "crash":
            worker.crash()
            await asyncio.sleep(fault.duration)
            await worker.start()
        elif fault.kind == "cut":
            rule = Rule("silent", self.random)
            worker.rules.insert(0, rule)
            worker.is_cut = True
            await asyncio.sleep(fault.duration)
            worker.is_cut = False
            worker.rules.remove(rule)
        elif fault.kind == "restart":
            await worker.restart()
        elif fault.kind == "move":
            former = await worker.move(self.world.workers[other])
            await asyncio.sleep(fault.duration)
            former.stop()
        elif fault.kind == "unlist":
            worker.is_listed = False
            worker.unlist()
            await asyncio.sleep(fault.duration)
            worker.is_listed = True
        else:
            worker.is_draining = True
            worker.beat()
            await asyncio.sleep(STOP_AFTER_DRAIN_S + fault.duration)
            worker.crash(is_removed=True)
            await asyncio.sleep(1.0)
            await worker.start()
        impair.mark(worker.name)
        worker.is_busy = False
