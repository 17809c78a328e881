"""A small deployment for the cases review/6 to review/10.

It starts basilchute-host as the deploy file says (deploy/host.toml with its
fields filled in) beside stand-ins of the platform's store and of the workers,
all on loopback addresses and the real clock. The store, the workers and the
judge are those of the project's soak (testsuite/soak); this module adds what
the cases need: labels, memory, a platform that removes silent entries, and a
record of what was sent, answered and run.
"""

import asyncio
import base64
import ctypes
import json
import os
import random as randoms
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(
    __file__))))
sys.path.insert(0, os.path.join(ROOT, "testsuite", "soak"))

from judge import Judge, Step, Submission  # noqa: E402
from standins import Store, Worker  # noqa: E402
from wire import Client  # noqa: E402

PROGRAM = "target/bin/basilchute-host"
TEMPLATE = "deploy/host.toml"
HEARTBEAT_S = 1.0
# An entry is removed after three status report intervals of silence.
SILENT_INTERVALS = 3
# bounds.finish_s of the small sites, and the spans of the rule LOST.
FINISH_S = 14.0
LOST_S = 3.0
LASTING_S = 6.0
STATUS_LIMIT_S = 3.0
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1

# Fields of the settings file, as `fleetbench wire` shows them for a small
# site. Addresses and the name are filled in for each host.
FIELDS = {
    "limits": {"cpu_share": "0.25", "cores": "1", "memory_mb": "260",
               "file_descriptors": "4100"},
    "bounds": {"max_hold_ms": "6000", "evacuation_ms": ""},
    "platform": {"cross_shard": "true"},
    "recommendation": "",
}


def encode(value):
    return base64.b64encode(json.dumps(value).encode()).decode()


def lookup(fields, name):
    for part in name.split("."):
        fields = fields.get(part, "") if isinstance(fields, dict) else ""
    return fields


def render(text, fields):
    """Fills a template in as DEPLOY.md says, as far as deploy/host.toml uses
    it: values, and sections on whether there is a value."""
    def section(match):
        value = lookup(fields, match.group(2)) not in ("", "false")
        return match.group(3) if value == (match.group(1) == "#") else ""

    text = re.sub(r"\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/\2\}\}", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([a-z_.]+)\}\}",
                  lambda match: str(lookup(fields, match.group(1))), text)


def die_with_parent():
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CaseStep(Step):
    """A step of a submission; `extra` holds further fields of PROTOCOL.md."""

    def __init__(self, count, cpu, work_s, extra=None, **others):
        super().__init__(count, cpu, work_s, **others)
        self.extra = extra or {}

    def fields(self):
        return {**super().fields(), **self.extra}


class CaseSubmission(Submission):
    """A submission that may have occurrences."""

    occurrences = 1

    def tasks(self):
        return [f"{self.job}.{occurrence}.{number}.{index}"
                for occurrence in range(self.occurrences)
                for number, step in enumerate(self.steps)
                for index in range(step.count)]


class CaseWorker(Worker):
    """A worker with labels of its own, on a rack. The platform removes its
    entry after three intervals of silence."""

    def __init__(self, name, bed, labels):
        self.labels = labels
        super().__init__(name, bed.store, bed.judge, bed.pids, bed.random,
                         bed.max_hold_ms)
        self.rate = 1.0

    def entry(self):
        return {**super().entry(), "labels": self.labels}

    def go_down(self):
        """Crashes without a word."""
        life = self.life
        self.end_life()
        self.server.stop()
        asyncio.ensure_future(self.expire(life + 1))

    async def expire(self, life):
        await asyncio.sleep(max(0.0, self.last_beat + SILENT_INTERVALS *
                                HEARTBEAT_S - time.monotonic()))
        if not self.is_up and self.life == life:
            self.judge.log(f"platform: entry of {self.name} is removed after "
                           f"{SILENT_INTERVALS} silent intervals")
            self.unlist()

    async def come_back(self):
        await self.start()


class CaseHost:
    """A process of basilchute-host."""

    def __init__(self, bed, number):
        self.bed = bed
        self.name = f"edge-a-{number + 1}"
        self.ip = f"127.0.{number + 1}.1"
        self.front, self.ready = bed.free_ports(self.ip)
        self.log_path = os.path.join(bed.folder, self.name + ".log")
        self.settings = os.path.join(bed.folder, self.name + ".conf")
        self.process = None
        self.expected_end = True
        fields = dict(FIELDS, node_name=self.name, listen_addresses={
            "front": f"{self.ip}:{self.front}",
            "ready": f"{self.ip}:{self.ready}"})
        fields["limits"] = dict(FIELDS["limits"], cpu_share=bed.cpu_share)
        fields["bounds"] = dict(FIELDS["bounds"],
                                max_hold_ms=str(bed.max_hold_ms))
        fields["platform"] = dict(
            FIELDS["platform"],
            address=f"127.0.0.1:{bed.store.server.port}")
        with open(os.path.join(ROOT, TEMPLATE), encoding="utf-8") as template:
            text = render(template.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)

    @property
    def pid(self):
        return self.process.pid if self.process else 0

    def start(self):
        self.expected_end = False
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, PROGRAM), "--config", self.settings],
                cwd=ROOT, stdout=log, stderr=log, preexec_fn=die_with_parent)
        self.bed.judge.log(f"host {self.name}: started")

    def kill(self):
        self.expected_end = True
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.bed.judge.log(f"host {self.name}: SIGKILL")

    def terminate(self):
        self.expected_end = True
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            self.bed.judge.log(f"host {self.name}: SIGTERM")

    def has_failed(self):
        return (not self.expected_end and self.process is not None
                and self.process.poll() is not None)

    def rss_mb(self):
        """Resident memory in MB (1,000,000 bytes)."""
        try:
            with open(f"/proc/{self.pid}/statm", encoding="ascii") as statm:
                pages = int(statm.read().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGESIZE") / 1e6


class Bed:
    def __init__(self, folder, seed=1, cpu_share="0.25", max_hold_ms=6000):
        self.cpu_share = cpu_share
        self.max_hold_ms = max_hold_ms
        self.out = open(os.path.join(folder, "record.txt"), "w",
                        encoding="utf-8")
        self.judge = Judge(3, self.out)
        self.random = randoms.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="basilchute-case-")
        self.store = None
        self.hosts = []
        self.workers = []
        self.version = 0
        self.client = Client()
        self.last_host = 0

    def pids(self):
        return {host.name: host.pid for host in self.hosts}

    def free_ports(self, ip):
        import socket
        sockets = [socket.socket() for _ in range(2)]
        for each in sockets:
            each.bind((ip, 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    async def start(self, routes, hosts=3, workers=None):
        """`workers` is a list of (name, labels)."""
        self.store = Store(self.pids, self.random, self.judge.log)
        await self.store.server.start()
        self.configure(routes)
        for name, labels in workers:
            worker = CaseWorker(name, self, labels)
            self.workers.append(worker)
            await worker.start()
        for number in range(hosts):
            self.hosts.append(CaseHost(self, number))
            self.hosts[-1].start()
        for _ in range(150):
            await asyncio.sleep(0.1)
            states = [await self.client.call((host.ip, host.ready), "GET",
                                             "/basilchute/readiness")
                      for host in self.hosts]
            if all(status == 200 for status, _ in states):
                break
        else:
            return False
        # Traffic starts 10 s after the machines do.
        await asyncio.sleep(8)
        return True

    def configure(self, routes):
        """Publishes a configuration with these routes: prefix -> fields."""
        self.version += 2
        rows = [dict({"name": "q" + prefix.strip("/"), "host": "desk.example",
                      "prefix": prefix, "kind": "non_idempotent",
                      "timeout_ms": 3000, "target_duration_ms": 1000,
                      "priority": 0, "service": "desk", "max_attempts": 3,
                      "slack_factor": 2.0}, **fields)
                for prefix, fields in routes.items()]
        service = {"name": "desk", "health_path": "/health",
                   "max_connections": 64, "protocol": "h1", "tls": False,
                   "rejects_overload": False, "standby": False}
        config = {"version": self.version, "routes": rows,
                  "services": [service],
                  "limits": {"max_header_bytes": 16384,
                             "max_body_bytes": 262144,
                             "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000}}
        self.store.apply([(("op", "", "config"), encode(config))], [])
        self.judge.log(f"operator: configuration {self.version} confirmed, "
                       f"routes {' '.join(routes)}")

    def owner(self):
        """The host that ordered last: it sends the orders to the workers."""
        newest = max(((at, host) for worker in self.workers
                      for host, at in worker.ordered.items() if host),
                     default=None)
        if newest is None:
            return None
        return next(host for host in self.hosts if host.name == newest[1])

    def up_hosts(self):
        return [host for host in self.hosts
                if host.process and host.process.poll() is None
                and not host.expected_end]

    def next_host(self):
        hosts = self.up_hosts()
        self.last_host += 1
        return hosts[self.last_host % len(hosts)]

    async def submit(self, prefix, steps, extra=None, host=None, tries=5,
                     job=None):
        """Submits until an answer is final, as clients do. Returns the
        submission."""
        job = job or f"{self.random.getrandbits(64):016x}"
        submission = CaseSubmission(job, f"spec-{job[:6]}", steps)
        submission.prefix = prefix
        submission.occurrences = (extra or {}).get("repetitions", 1)
        self.judge.submissions[job] = submission
        body = json.dumps({"spec": submission.spec,
                           "steps": [step.fields() for step in steps],
                           **(extra or {})}).encode()
        for _ in range(tries):
            target = host or self.next_host()
            attempt = [self.judge.now(), target.name, None]
            submission.attempts.append(attempt)
            status, _ = await self.client.call(
                (target.ip, target.front), "POST", prefix + job, body)
            attempt[2] = status
            self.judge.log(f"client: POST {prefix}{job} to {target.name}: "
                           f"{status}, {len(body)} bytes")
            if status not in (0, 502, 503, 504):
                break
            await asyncio.sleep(0.5)
        submission.accepted_at = self.judge.now()
        return submission

    async def ask(self, submission):
        """Returns the state, or the status if there is none."""
        # A kept channel may have been closed since; a client opens a new one.
        for _ in range(2):
            target = self.next_host()
            status, body = await self.client.call(
                (target.ip, target.front), "GET",
                submission.prefix + submission.job)
            if status:
                break
        state = json.loads(body).get("state") if status == 200 else status
        self.judge.log(f"client: GET {submission.prefix}{submission.job} at "
                       f"{target.name}: {state}")
        if status == 200:
            self.judge.shown(submission, state, target.name)
        return state

    def runs_of(self, task):
        return self.judge.runs.get(task, [])

    def is_running(self, task):
        return any(run.ended_at is None for run in self.runs_of(task))

    def last_end(self, task):
        return max((run.ended_at or 0 for run in self.runs_of(task)),
                   default=0)

    def use(self):
        """Share of the processors of all live workers that is reserved."""
        live = [worker for worker in self.workers if worker.is_up]
        return (sum(worker.used() for worker in live) /
                sum(worker.CAPACITY for worker in live))

    def check_hosts(self):
        for host in self.hosts:
            if host.has_failed():
                self.judge.violation("FAULT", host.name,
                                     f"ended by itself, "
                                     f"{host.process.poll()}")

    def stop(self):
        for host in self.hosts:
            host.kill()
        for worker in self.workers:
            if worker.is_up:
                worker.end_life()
        self.keep_decisions()
        self.out.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Lines of the hosts' logs that tell what they decided.
    EVENTS = ("job_ended", "shard_owned", "shard_loaded", "long_task_overdue",
              "config_applied", "worker_crashed", "task_given_up",
              "job_refused", "commit_failed", "run_ended", "suspect_released")

    def keep_decisions(self):
        self.out.write("\nfrom the logs of the hosts:\n")
        for host in self.hosts:
            lines = 0
            with open(host.log_path, encoding="utf-8",
                      errors="replace") as log:
                for line in log:
                    if any(event in line for event in self.EVENTS):
                        lines += 1
                        if lines <= 60:
                            self.out.write(f"{host.name}: {line[:300].rstrip()}"
                                           "\n")
            if lines > 60:
                self.out.write(f"{host.name}: {lines - 60} more\n")


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder, **options):
    """Runs `case(bed)`; it returns False if it could not run."""
    if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
        print(f"could not run: {PROGRAM} is not built")
        return 2

    async def play():
        bed = Bed(folder, **options)
        try:
            async with asyncio.timeout(114):
                ran = await case(bed)
                bed.check_hosts()
        except TimeoutError:
            print("could not run: it took too long")
            ran = False
        finally:
            bed.stop()
        if bed.judge.violations:
            return 1
        return 0 if ran else 2

    code = asyncio.run(play())
    print({0: "held", 1: "broken", 2: "could not run"}[code], flush=True)
    return code
