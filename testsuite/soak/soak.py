#!/usr/bin/env python3
"""Fault soak of real hosts.

Exits with 1 if a rule was broken, 2 if the soak could not run. The logs of such
a run stay in the folder that is printed.
"""

import argparse
import asyncio
import copy
import ctypes
import json
import os
import random as randoms
import shutil
import signal
import socket
import subprocess
import sys
import tempfile

from configs import Configs
from judge import CONTACT_S, Judge, Step, Submission
from plan import Player, make_plan
from standins import ZONES, Store, Worker, encode
from wire import Client

HOSTS = 4
WORKERS = 7
CLIENTS = 6
# Each host has an address of its own, 127.0.NUMBER.1.
MAX_HOSTS = 254
# More of them would fill the workers after a long outage.
MAX_LONG_TASKS = 24
START_GAP_S = 0.15
MAX_ATTEMPTS = 3
# For even and odd seeds. The longer one lasts beyond the leases that owners give.
MAX_HOLDS_MS = (6000, 10000)
SETTLE_S = 20.0
# Seeds from this one on play about twice as many faults.
FIRST_DENSE_SEED = 1000
PREFIX = "/short/"
# Of the routes that came and went, so many of the newest are asked about.
MAX_PROBED = 16
CLOSING_CHANGES = 14
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def die_with_parent():
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Host:
    """A process of basilchute-host."""

    def __init__(self, program, folder, number, store_port, judge, max_hold_ms):
        self.name = f"edge-a-{number + 1}"
        self.program = program
        self.judge = judge
        self.ip = f"127.0.{number + 1}.1"
        self.front, self.status = self.free_ports()
        self.log_path = os.path.join(folder, self.name + ".log")
        self.settings = os.path.join(folder, self.name + ".toml")
        self.process = None
        self.is_busy = False
        self.is_ending = False
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(f"""[host]
id = "{self.name}"
cpu_share = "0.5"
[listen]
callers = "{self.ip}:{self.front}"
status = "{self.ip}:{self.status}"
[store]
address = "127.0.0.1:{store_port}"
spans_parts = true
[jobs]
max_lease_ms = {max_hold_ms}
[stop]
grace_ms = 6000
""")

    def free_ports(self):
        sockets = [socket.socket() for _ in range(2)]
        for each in sockets:
            each.bind((self.ip, 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    @property
    def pid(self):
        return self.process.pid if self.process else 0

    def start(self):
        self.is_ending = False
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [self.program, "--config", self.settings], stdout=log,
                stderr=log, preexec_fn=die_with_parent)
        self.judge.log(f"host {self.name}: started as {self.process.pid}")

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
        self.judge.log(f"host {self.name}: {signal.Signals(number).name}")

    def pause(self):
        self.send(signal.SIGSTOP)

    def resume(self):
        self.send(signal.SIGCONT)

    def kill(self):
        self.is_ending = True
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def terminate(self, grace):
        self.is_ending = True
        self.send(signal.SIGTERM)
        for _ in range(int(grace / 0.05)):
            if self.process.poll() is not None:
                return
            self.judge.impairments.mark(self.name)
            await asyncio.sleep(0.05)
        self.kill()

    def has_failed(self):
        return not self.is_ending and self.process.poll() is not None


class Traffic:
    """Clients that submit, ask and cancel as the protocol allows."""

    def __init__(self, world, random):
        self.world = world
        self.judge = world.judge
        self.random = random
        self.is_over = False
        self.number = 0
        self.lasting = 0

    def new_submission(self):
        random = self.random
        self.number += 1
        job = f"{random.getrandbits(64):016x}"
        spec = f"spec-{self.number}-{random.getrandbits(32):08x}"
        submission = Submission(job, spec, self.new_steps(random))
        self.judge.submissions[job] = submission
        return submission

    def new_steps(self, random):
        cpu = random.choice([500, 1000, 2000])
        if self.lasting < 16 and random.random() < 0.12:
            self.lasting += 1
            return [Step(random.randint(1, 3), 500, 1.0, long_running=True)]
        fails = random.choices([0, 1, 2, MAX_ATTEMPTS], [20, 3, 1, 1])[0]
        steps = [Step(random.randint(1, 4), cpu, random.uniform(0.05, 1.5),
                      fails=fails, checkpointing=random.random() < 0.3)]
        if random.random() < 0.3:
            steps.append(Step(random.randint(1, 2), cpu,
                              random.uniform(0.05, 0.8), after=[0]))
        return steps

    async def client(self):
        client = Client()
        while not self.is_over:
            await asyncio.sleep(self.random.uniform(0.2, 1.6))
            submission = self.new_submission()
            await self.submit(client, submission)
            if submission.is_accepted:
                asyncio.ensure_future(self.follow(submission))
        client.close()

    async def post(self, client, submission, host):
        body = json.dumps({"spec": submission.spec, "steps": [
            step.fields() for step in submission.steps]}).encode()
        attempt = [self.judge.now(), host.name, None]
        submission.attempts.append(attempt)
        status, _ = await client.call((host.ip, host.front), "POST",
                                      PREFIX + submission.job, body)
        attempt[2] = status
        self.judge.log(f"client: POST {submission.job} sent {attempt[0]:.3f} "
                       f"to {host.name}: {status}")
        return status

    async def submit(self, client, submission):
        may_ask_again = self.random.random() < 0.3
        host = self.random.choice(self.world.hosts)
        for _ in range(8):
            status = await self.post(client, submission, host)
            others = [each for each in self.world.hosts if each is not host]
            host = self.random.choice(others)
            if status == 503 and may_ask_again:
                may_ask_again = False
            elif status not in (0, 502, 504):
                return
            await asyncio.sleep(self.random.uniform(0.05, 0.6))

    async def follow(self, submission):
        client = Client()
        random = self.random
        if random.random() < 0.08:
            await asyncio.sleep(random.uniform(0.5, 4))
            await self.post(client, submission, random.choice(self.world.hosts))
        will_cancel = random.random() < (0.6 if submission.long_running else 0.1)
        for _ in range(random.randint(1, 4)):
            await asyncio.sleep(random.uniform(0.2, 3))
            await self.ask(client, submission)
        if will_cancel and not self.is_over:
            await self.cancel(client, submission)
        client.close()

    async def ask(self, client, submission):
        host = self.random.choice(self.world.hosts)
        was_accepted_at = submission.attempts[0][0]
        status, body = await client.call((host.ip, host.front), "GET",
                                         PREFIX + submission.job)
        calm = self.is_calm(host)
        if status == 410 and calm and submission.cancel_sent is None and \
                self.judge.now() > was_accepted_at + 8:
            self.judge.violation("LOST", submission.job,
                                 f"410 from {host.name}")
        if status != 200:
            return status
        state = json.loads(body).get("state")
        self.judge.shown(submission, state, host.name)
        return state

    async def probe(self):
        """Asks hosts about routes that come and go."""
        client = Client()
        configs = self.world.configs
        # Apart, so that the clients of a seed stay the same.
        random = copy.copy(self.random)
        while not self.is_over:
            await asyncio.sleep(random.uniform(0.05, 0.2))
            if not configs.added:
                continue
            prefix = random.choice(list(configs.added)[-MAX_PROBED:])
            host = random.choice(self.world.hosts)
            sent, was_dropped = self.judge.now(), prefix in configs.dropped
            calm = self.is_calm(host)
            status, _ = await client.call((host.ip, host.front), "GET", prefix)
            if calm and was_dropped == (prefix in configs.dropped):
                configs.check(prefix, host.name, sent, status)
        client.close()

    def is_calm(self, host):
        return all(self.judge.impairments.is_calm(name)
                   for name in (host.name, "store"))

    async def cancel(self, client, submission):
        submission.cancel_sent = self.judge.now()
        for _ in range(10):
            host = self.random.choice(self.world.hosts)
            status, _ = await client.call((host.ip, host.front), "DELETE",
                                          PREFIX + submission.job)
            self.judge.log(f"client: DELETE {submission.job} at {host.name}: "
                           f"{status}")
            if 200 <= status < 300:
                submission.cancelled_at = self.judge.now()
            if status not in (0, 502, 503, 504):
                return
            await asyncio.sleep(self.random.uniform(0.1, 0.8))


class LongTraffic(Traffic):
    """Clients whose tasks last longer than any lease."""

    def new_steps(self, random):
        return [Step(random.randint(1, 4), 200, random.uniform(8, 12))]

    async def submit(self, client, submission):
        left = sum(1 for each in self.judge.submissions.values()
                   if each.long_work_s and each.is_accepted
                   for task in each.tasks() if not self.judge.is_done(task))
        if left < MAX_LONG_TASKS:
            await super().submit(client, submission)


class World:
    def __init__(self, program, seed, folder, hosts, workers, clients):
        self.host_count = hosts
        self.worker_count = workers
        self.client_count = clients
        self.random = randoms.Random(seed)
        self.max_hold_ms = MAX_HOLDS_MS[seed % 2]
        self.folder = folder
        self.program = program
        self.journal = open(os.path.join(folder, "soak.log"), "w",
                            encoding="utf-8")
        self.judge = Judge(MAX_ATTEMPTS, self.journal)
        self.hosts = []
        self.workers = []
        self.store = None
        self.configs = None

    def publish(self, config):
        self.store.apply([(("op", "", "config"), encode(config))], [])

    def pids(self):
        return {host.name: host.pid for host in self.hosts}

    async def start(self):
        self.store = Store(self.pids, randoms.Random(self.random.random()),
                           self.judge.log)
        await self.store.server.start()
        self.configs = Configs(self.config(), self.publish, self.judge)
        self.publish(self.config())
        for number in range(self.worker_count):
            name = f"i-{self.random.getrandbits(32):08x}"
            worker = Worker(name, self.store, self.judge, self.pids,
                            self.random, self.max_hold_ms,
                            ZONES[number % 3 % len(ZONES)])
            worker.is_busy = False
            self.workers.append(worker)
            await worker.start()
        for number in range(self.host_count):
            host = Host(self.program, self.folder, number,
                        self.store.server.port, self.judge,
                        self.max_hold_ms)
            self.hosts.append(host)
            host.start()
            # The stand-ins do not bear many new hosts at once.
            if number >= HOSTS:
                await asyncio.sleep(START_GAP_S)
        client = Client()
        for _ in range(150):
            await asyncio.sleep(0.2)
            ready = [await client.call((host.ip, host.status), "GET",
                                       "/basilchute/readiness")
                     for host in self.hosts]
            if all(status == 200 for status, _ in ready):
                await asyncio.sleep(2)
                return True
        return False

    @staticmethod
    def config():
        route = {"name": "q-short", "host": "desk.example", "prefix": PREFIX,
                 "kind": "non_idempotent", "timeout_ms": 3000,
                 "target_duration_ms": 1000, "priority": 0, "service": "desk",
                 "max_attempts": MAX_ATTEMPTS, "slack_factor": 2.0}
        service = {"name": "desk", "health_path": "/health",
                   "max_connections": 64, "protocol": "h1", "tls": False,
                   "rejects_overload": False, "standby": False}
        return {"version": 1, "routes": [route], "services": [service],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    def check_hosts(self):
        for host in self.hosts:
            if host.has_failed():
                self.judge.violation("FAULT", host.name,
                                     f"ended by itself, {host.process.poll()}")

    def stop(self):
        for host in self.hosts:
            host.kill()
        self.journal.close()


async def silence_at_the_end(world):
    """All connections to the store go silent at once, and nothing else happens
    while the configuration changes."""
    await asyncio.sleep(CONTACT_S)
    world.judge.log("all connections to the store go silent")
    world.judge.impairments.mark("store")
    world.store.server.silence(set(world.pids()))
    for _ in range(CLOSING_CHANGES):
        world.configs.change(0)
        await asyncio.sleep(0.5)


async def settle(world, traffic):
    """Waits for what was accepted; reports what is missing at the limit."""
    judge = world.judge
    end = judge.now() + SETTLE_S
    owed = [each for each in judge.submissions.values() if each.is_accepted]
    client = Client()
    while owed:
        left = []
        for submission in owed:
            missing = judge.check_settled(submission)
            if not missing:
                missing = await wrong_state(traffic, client, submission)
            if missing:
                left.append((submission, missing))
        owed = [submission for submission, _ in left]
        for submission, missing in left:
            is_cancelled = submission.cancel_sent is not None
            # A long task is at work at the limit, and has its time.
            work_s = 0 if is_cancelled else submission.long_work_s
            if judge.now() > end + work_s:
                rule = "UNASKED" if is_cancelled else "LOST"
                judge.violation(rule, submission.job, missing)
                owed.remove(submission)
        await asyncio.sleep(0.5)


async def wrong_state(traffic, client, submission):
    state = await traffic.ask(client, submission)
    if submission.cancel_sent is not None or state in ("completed", "failed"):
        return ""
    if submission.long_running and state == "running":
        return ""
    return f"shown as {state}"


async def play(world, seed, seconds):
    if not await world.start():
        print("could not run: the hosts are not ready")
        return 2
    judge = world.judge
    plan = make_plan(world.random, seconds, world.host_count,
                     world.worker_count, seed >= FIRST_DENSE_SEED)
    print(f"seed {seed}, {seconds} s, logs in {world.folder}")
    for fault in plan:
        print("plan:", fault.text())
    sys.stdout.flush()
    traffic = Traffic(world, randoms.Random(world.random.random()))
    clients = [asyncio.ensure_future(traffic.client())
               for _ in range(world.client_count)]
    clients.append(asyncio.ensure_future(traffic.probe()))
    # A copy, so that the other clients and the faults of a seed stay the same.
    long = LongTraffic(world, randoms.Random(copy.copy(traffic.random).random()))
    clients.append(asyncio.ensure_future(long.client()))
    player = Player(world, randoms.Random(world.random.random()))
    judge.log("the plan begins")
    await player.play(plan)
    await silence_at_the_end(world)
    traffic.is_over = long.is_over = True
    await asyncio.gather(*clients)
    judge.log("the faults are over")
    world.check_hosts()
    await settle(world, traffic)
    world.check_hosts()
    judge.check_refused()
    done = sum(1 for each in judge.submissions.values() if each.is_accepted)
    print(f"{len(judge.submissions)} submissions, {done} accepted, "
          f"{judge.starts} starts, {len(judge.violations)} violations")
    if not done or not judge.starts:
        print("could not run: nothing was accepted")
        return 2
    return 1 if judge.violations else 0


async def run(options):
    seed, seconds = options.seed, options.seconds
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    world = World(options.program, seed, folder, options.hosts, options.workers,
                  options.clients)
    code = 2
    try:
        async with asyncio.timeout(seconds + 120):
            code = await play(world, seed, seconds)
    except TimeoutError:
        print("could not run: it took too long")
    finally:
        world.stop()
        if code == 0:
            shutil.rmtree(folder)
        else:
            print(f"logs: {folder}")
    return code


def parse(arguments):
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program", metavar="PROGRAM")
    parser.add_argument("seed", metavar="SEED", type=int)
    parser.add_argument("seconds", metavar="SECONDS", type=float)
    for name, count, most in (("hosts", HOSTS, MAX_HOSTS),
                              ("workers", WORKERS, 1000),
                              ("clients", CLIENTS, 1000)):
        parser.add_argument("--" + name, metavar="N", type=int, default=count,
                            choices=range(2, most + 1),
                            help=f"2 to {most}, {count} if not given")
    return parser.parse_args(arguments)


def main():
    options = parse(sys.argv[1:])
    if not os.access(options.program, os.X_OK):
        print(f"could not run: no program {options.program}")
        return 2
    return asyncio.run(run(options))


if __name__ == "__main__":
    sys.exit(main())
