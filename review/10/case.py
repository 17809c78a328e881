"""A lasting task behind a finite step: it must run again after its worker has
crashed."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

from bed import (FINISH_S, LASTING_S, LOST_S, CaseStep,  # noqa: E402
                 has_trouble, main)

WORKERS = 8
# srv_crash: at most 14% of the workers for 4.5 s at the small sites.
DOWN_S = 4.5


async def wait_until(test, limit):
    for _ in range(int(limit / 0.05)):
        if test():
            return True
        await asyncio.sleep(0.05)
    return False


async def case(bed):
    workers = [(f"i-{number:08x}", ["a", f"r1-{number // 4 + 1}"])
               for number in range(WORKERS)]
    if not await bed.start({"/watch/": {}}, workers=workers):
        return False
    # One submission prepares something first and then serves; the other one
    # only serves, and shows that the stand-ins are sound.
    mixed = await bed.submit("/watch/", [
        CaseStep(1, 500, 0.5),
        CaseStep(2, 1000, 1.0, after=[0], long_running=True)])
    plain = await bed.submit("/watch/", [
        CaseStep(2, 1000, 1.0, long_running=True)])
    if not mixed.is_accepted or not plain.is_accepted:
        return False
    lasting = [f"{mixed.job}.0.1.{index}" for index in range(2)]
    lasting += [f"{plain.job}.0.0.{index}" for index in range(2)]
    if not await wait_until(lambda: all(map(bed.is_running, lasting)), 10):
        return False
    await asyncio.sleep(7)  # calm
    for task in (lasting[0], lasting[2]):
        run = bed.runs_of(task)[-1]
        worker = next(each for each in bed.workers if each.name == run.worker)
        bed.judge.log(f"next: the worker of {task}")
        if has_trouble():
            worker.go_down()
            await asyncio.sleep(DOWN_S)
            await worker.come_back()
        await asyncio.sleep(8)
    # The rule's span from the last run, and finish_s after the traffic.
    await asyncio.sleep(FINISH_S)
    for submission in (mixed, plain):
        await bed.ask(submission)
    for task in lasting:
        silence = bed.judge.now() - bed.last_end(task)
        bed.judge.log(f"{task}: runs now: {bed.is_running(task)}, runs so far: "
                      f"{len(bed.runs_of(task))}, in use {bed.use():.2f}")
        if (not bed.is_running(task) and silence > LASTING_S + LOST_S
                and bed.use() < 0.5):
            bed.judge.violation(
                "LOST", task, f"lasts, and has had no run for {silence:.1f} s; "
                f"{bed.use():.2f} of the service is in use")
    return True


if __name__ == "__main__":
    sys.exit(main(case, HERE))
