"""A submission whose label only the workers of one rack carry must not be given
up while that rack is down for some seconds."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

from bed import FINISH_S, CaseStep, has_trouble, main  # noqa: E402

WORKERS = 15
RACK = 2
# srv_crash: at most 14% of the workers for 4.5 s at the small sites; `rack`
# takes all workers of one rack.
DOWN_S = 4.5


async def case(bed):
    workers = [(f"i-{number:08x}", ["a", f"r1-{number // RACK + 1}"])
               for number in range(WORKERS)]
    if not await bed.start({"/quote/": {}}, workers=workers):
        return False
    rack = [worker for worker in bed.workers if "r1-1" in worker.labels]
    # Accepted before the crash: the second step needs the rack. The lasting
    # one is at work there.
    early = await bed.submit("/quote/", [
        CaseStep(2, 500, 2.5, extra={"requirements": "r1-2"}),
        CaseStep(2, 500, 0.5, after=[0], extra={"requirements": "r1-1"})])
    lasting = await bed.submit("/quote/", [
        CaseStep(2, 500, 1.0, long_running=True,
                 extra={"requirements": "r1-1"})])
    await asyncio.sleep(1)
    if has_trouble():
        bed.judge.log(f"next: {len(rack)} of {WORKERS} workers, the rack r1-1")
        for worker in rack:
            worker.go_down()
    await asyncio.sleep(1)
    # Accepted while the rack is down, with its entries still listed.
    late = await bed.submit("/quote/", [
        CaseStep(2, 500, 0.5, extra={"requirements": "r1-1"})])
    # Needs no label: it shows that the others are served.
    plain = await bed.submit("/quote/", [CaseStep(2, 500, 0.5)])
    submissions = [early, lasting, late, plain]
    if not all(each.is_accepted for each in submissions):
        return False
    await asyncio.sleep(DOWN_S - 1)
    if has_trouble():
        for worker in rack:
            await worker.come_back()
    await asyncio.sleep(FINISH_S + 4)
    for submission in submissions:
        # Bed.ask() judges the state: `failed` without cause is LOST.
        state = await bed.ask(submission)
        missing = bed.judge.check_settled(submission)
        if missing and state not in ("failed",):
            bed.judge.violation("LOST", submission.job, missing)
    return True


if __name__ == "__main__":
    sys.exit(main(case, HERE))
