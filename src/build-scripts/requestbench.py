#!/usr/bin/env python3
"""Measures the latency that an entry adds to a request, and requests per core.

The same load is sent alternately to the stand-in's endpoint directly and
through one entry; both figures are medians over the rounds. Also measures the
resident memory of both daemons. Prints one JSON line per figure.
"""

import json
import os
import statistics
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from localcluster import LocalCluster  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
ROUNDS = int(os.environ.get("BENCH_ROUNDS", "5"))
SERVICE = """
[[service]]
name = "orders"
replicas = 3
demand = { millicores = 2000, memory_mib = 1000 }
"""


def emit(name, value, unit, baseline):
    print(json.dumps({"name": name, "value": round(value, 4), "unit": unit,
                      "baseline": baseline}), flush=True)


def run_load(cluster, entries, path, rate, non_idempotent_percent):
    command = [os.path.join(cluster.bin_dir, "basilchute-load")]
    for setting in (f"load.entries={json.dumps(entries)}", f"load.path={path}",
                    f"load.rate={rate}", "load.duration_ms=2000",
                    "load.work_ms=0", "load.body_bytes=1024",
                    f"load.non_idempotent_percent={non_idempotent_percent}"):
        command += ["--set", setting]
    output = subprocess.run(command, capture_output=True, text=True,
                            check=False).stdout
    return {key: float(value) for key, value in
            (pair.split("=", 1) for pair in output.split())}


def processor_seconds(process):
    with open(f"/proc/{process.popen.pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mib(process):
    with open(f"/proc/{process.popen.pid}/status", encoding="utf-8") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def measure(cluster, rate, non_idempotent_percent, label):
    direct_path = cluster.direct_path
    added = {"p50_ms": [], "p99_ms": [], "p99.9_ms": []}
    per_core = []
    for _ in range(ROUNDS):
        direct = run_load(cluster, [cluster.platform], direct_path, rate,
                          non_idempotent_percent)
        before = processor_seconds(cluster.entries[0])
        through = run_load(cluster, cluster.callers(), "/orders", rate,
                           non_idempotent_percent)
        used = processor_seconds(cluster.entries[0]) - before
        for key, values in added.items():
            values.append(through[key] - direct[key])
        per_core.append(through["answered"] / max(used, 0.01))
    for key, goal in (("p50_ms", 0.3), ("p99_ms", 1.0), ("p99.9_ms", "")):
        emit(f"added_{key}_{label}", statistics.median(added[key]), "ms", goal)
    emit(f"requests_per_core_{label}", statistics.median(per_core),
         "requests/s a core", 20000)


def main():
    bin_dir = os.path.join(ROOT, os.environ.get("BUILD", "build"), "bin")
    with tempfile.TemporaryDirectory(prefix="basilchute-bench-") as work_dir:
        cluster = LocalCluster(bin_dir, work_dir,
                               standin_settings=["standin.threads=2"])
        try:
            cluster.start_scheduler("a")
            cluster.start_entry("a")
            cluster.wait_ready()
            path = os.path.join(work_dir, "service.toml")
            with open(path, "w", encoding="utf-8") as out:
                out.write(SERVICE)
            cluster.ctl("apply", "-f", path)
            cluster.wait_endpoints(3)
            log = cluster.schedulers[0].log()
            placed = [line for line in log.splitlines()
                      if "event=task_running" in line][0]
            fields = dict(pair.split("=", 1) for pair in placed.split())
            cluster.direct_path = f"/w/{fields['worker']}/task/{fields['task']}"
            measure(cluster, 1000, 0, "idempotent_1000")
            measure(cluster, 1000, 100, "orders_1000")
            emit("entry_memory", resident_mib(cluster.entries[0]), "MiB", 32)
            emit("sched_memory", resident_mib(cluster.schedulers[0]), "MiB", 32)
        finally:
            cluster.kill()


if __name__ == "__main__":
    main()
