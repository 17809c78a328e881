#!/usr/bin/env python3
"""Measures the resource use of idle processes; prints one JSON line per figure.

Runs real processes on loopback with fleets of three sizes. One service runs on
the stand-in's workers and receives no requests.
"""

import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from localcluster import LocalCluster  # noqa: E402
from requestbench import (ROOT, SERVICE, emit, processor_seconds,  # noqa: E402
                          resident_mib)

IDLE_SECONDS = 10


def measure(bin_dir, work_dir, per_domain):
    cluster = LocalCluster(bin_dir, work_dir, standin_settings=[
        f"fleet.workers_per_domain={per_domain}"])
    try:
        for domain in cluster.domains:
            cluster.start_scheduler(domain)
            cluster.start_entry(domain)
        cluster.wait_ready()
        path = os.path.join(work_dir, "service.toml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(SERVICE)
        cluster.ctl("apply", "-f", path)
        cluster.wait_endpoints(3)
        processes = {"entry": cluster.entries[0],
                     "sched": cluster.schedulers[0]}
        processor_before = {name: processor_seconds(process)
                            for name, process in processes.items()}
        record_before = cluster.record()
        time.sleep(IDLE_SECONDS)
        label = f"{3 * per_domain}w"
        for name, process in processes.items():
            used = processor_seconds(process) - processor_before[name]
            emit(f"idle_{name}_{label}", 100 * used / IDLE_SECONDS,
                 "% of a core", 1.9)
            emit(f"memory_{name}_{label}", resident_mib(process), "MiB", 32)
        record_after = cluster.record()
        for key in ("commits", "reads"):
            emit(f"idle_{key}_{label}",
                 (record_after[key] - record_before[key]) / IDLE_SECONDS, "1/s",
                 2000 if key == "reads" else "several hundred")
    finally:
        cluster.kill()


def main():
    bin_dir = os.path.join(ROOT, os.environ.get("BUILD", "build"), "bin")
    with tempfile.TemporaryDirectory(prefix="basilchute-bench-") as work_dir:
        for per_domain in (10, 40, 100):
            measure(bin_dir, os.path.join(work_dir, str(per_domain)),
                    per_domain)


if __name__ == "__main__":
    main()
