"""Short requests of an unknown client must not take a process over the memory
of its machine, and ordinary callers must still be served."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

from bed import FINISH_S, LOST_S, CaseStep, has_trouble, main  # noqa: E402

WORKERS = 8
MEMORY_MB = 260  # limits.memory_mb in the settings
# Schedules of the unknown client: one task each second for a day, from an hour
# from now. Nothing of it is due during the case.
SCHEDULES = 12
OCCURRENCES = 86400
# "on a tenth of the machines in use (two at least) processes end by themselves
# three times in the day ... (memory over the limit counts)"
ENDS = 3
MACHINES = 2
TRAFFIC_S = 40


class Platform:
    """Kills each process that exceeds memory_mb, and starts it again after a
    short delay."""

    def __init__(self, bed):
        self.bed = bed
        self.ends = {}
        self.most = {}

    async def watch(self):
        while True:
            for host in self.bed.up_hosts():
                used = host.rss_mb()
                if used > self.most.get(host.name, 0) + 25:
                    self.most[host.name] = used
                    self.bed.judge.log(f"host {host.name}: {used:.0f} MB "
                                       "resident")
                if used > MEMORY_MB:
                    asyncio.ensure_future(self.end(host, used))
            await asyncio.sleep(0.03)

    async def end(self, host, used):
        self.ends[host.name] = self.ends.get(host.name, 0) + 1
        self.bed.judge.log(f"platform: {host.name} has {used:.0f} MB, over "
                           f"{MEMORY_MB}: killed, end {self.ends[host.name]}")
        host.kill()
        await asyncio.sleep(1)
        host.start()


async def case(bed):
    workers = [(f"i-{number:08x}", ["a", f"r1-{number // 4 + 1}"])
               for number in range(WORKERS)]
    if not await bed.start({"/quote/": {}}, workers=workers):
        return False
    platform = Platform(bed)
    watcher = asyncio.ensure_future(platform.watch())
    ordinary = []

    async def client():
        end = bed.judge.now() + TRAFFIC_S
        while bed.judge.now() < end:
            ordinary.append(await bed.submit(
                "/quote/", [CaseStep(2, 500, 0.5)]))
            await asyncio.sleep(1)

    traffic = asyncio.ensure_future(client())
    await asyncio.sleep(3)
    if has_trouble():
        due = int(time.time() * 1000) + 3600_000
        for _ in range(SCHEDULES):
            await bed.submit("/quote/", [CaseStep(1, 100, 0.1)], tries=1,
                             extra={"repetitions": OCCURRENCES,
                                    "first_run_ms": due, "interval_ms": 1000})
            await asyncio.sleep(0.5)
    await traffic
    await asyncio.sleep(FINISH_S)
    bed.judge.log(f"ends by memory: {platform.ends}, most MB: "
                  f"{ {name: int(used) for name, used in platform.most.items()} }")
    if sum(1 for ends in platform.ends.values() if ends >= ENDS) >= MACHINES:
        bed.judge.violation("FAULT", "memory over the limit",
                            f"ends of processes by machine: {platform.ends}")
    accepted = [each for each in ordinary if each.is_accepted]
    bed.judge.log(f"ordinary submissions: {len(ordinary)}, "
                  f"{len(accepted)} accepted")
    await asyncio.sleep(LOST_S)
    for submission in accepted:
        state = await bed.ask(submission)
        missing = bed.judge.check_settled(submission)
        if missing and bed.use() < 0.5:
            bed.judge.violation("LOST", submission.job,
                                f"shown as {state}, {missing}")
    watcher.cancel()
    return bool(accepted)


if __name__ == "__main__":
    sys.exit(main(case, HERE))
