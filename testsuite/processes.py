"""Functions shared by the test cases that run real processes."""

import contextlib
import json
import os
import subprocess

from localcluster import LocalCluster

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Short intervals and leases keep the test cases short; their ratios are those
# of the production settings.
SHORT_MEMBER_TIMES = ["member.renew_ms=300", "member.timeout_ms=1200"]
SHORT_SCHEDULER_LEASES = ["task.lease_ms=3000", "task.sync_ms=300",
                          "owner.grant_horizon_ms=60000"]

SERVICE = """
[[service]]
name = "orders"
team = "sales"
replicas = 3
demand = { millicores = 2000, memory_mib = 1000 }
"""


def job(name, tasks=6, work_ms=4000):
    return f"""
[[job]]
name = "{name}"
team = "sales"
tasks = {tasks}
work_ms = {work_ms}
demand = {{ millicores = 2000, memory_mib = 1000 }}
"""


@contextlib.contextmanager
def cluster(schedulers=("a", "b", "c"), entries=("a", "b"), standin=(),
            entry_settings=()):
    """Runs a system that is killed at the end, also after an exception."""
    system = LocalCluster(os.environ["BIN_DIR"],
                          os.path.join(os.environ["WORK_DIR"], "logs"),
                          standin_settings=standin, settings=SHORT_MEMBER_TIMES)
    try:
        for domain in schedulers:
            system.start_scheduler(domain, SHORT_SCHEDULER_LEASES)
        for domain in entries:
            system.start_entry(domain, entry_settings)
        system.wait_ready()
        yield system
    finally:
        system.kill()


def apply(system, text):
    path = os.path.join(os.environ["WORK_DIR"], "documents.toml")
    with open(path, "w", encoding="utf-8") as out:
        out.write(text)
    system.ctl("apply", "-f", path)


def job_status(system, name):
    return json.loads(system.ctl("describe", "job", name, "-o", "json").stdout)


def wait_running(system, count):
    """Waits until the workers have started at least count tasks."""
    system.wait(f"{count} task starts",
                lambda: system.record()["task_starts"] >= count)


def start_load(system, *settings):
    return subprocess.Popen(system.load_command(*settings),
                            stdout=subprocess.PIPE, text=True)


def finish_load(load):
    output = load.communicate()[0]
    return dict(pair.split("=", 1) for pair in output.split())


def report(system, *jobs):
    """Waits for the jobs; prints their results and the number of violations."""
    for name in jobs:
        system.ctl("wait", "job", name, "--timeout", "90")
        status = job_status(system, name)
        print(f"job {name}: done {status['done']}, failed {status['failed']}")
    print(f"violations {system.record()['violations']}")


def report_load(result):
    for key in ("not_run", "lost", "wrong"):
        print(f"load {key} {result[key]}")
    print(f"all answered {result['sent'] == result['answered']}")
