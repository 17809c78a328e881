"""Submissions outlive their route: what was accepted must still run after the
route was removed and the process that schedules it was killed."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

from bed import (FINISH_S, LASTING_S, LOST_S, CaseStep,  # noqa: E402
                 has_trouble, main)

WORKERS = 8
# bounds.config_apply_ms and a margin; the kill comes long after the change.
CALM_S = 5.0
CHAIN = 8


async def case(bed):
    workers = [(f"i-{number:08x}", ["a", f"r1-{number // 4 + 1}"])
               for number in range(WORKERS)]
    if not await bed.start({"/old/": {}, "/new/": {}}, workers=workers):
        return False
    submissions = []
    for prefix in ("/old/", "/new/"):
        # A chain of steps of 3 s each, and a submission that lasts.
        chain = [CaseStep(1, 500, 3.0, after=[number - 1] if number else ())
                 for number in range(CHAIN)]
        submissions.append(await bed.submit(prefix, chain))
        submissions.append(await bed.submit(prefix, [
            CaseStep(2, 500, 1.0, long_running=True)]))
    if not all(each.is_accepted for each in submissions):
        return False
    await asyncio.sleep(4)
    # TROUBLE=config and TROUBLE=kill play one of the two only.
    which = os.environ.get("TROUBLE", "1") if has_trouble() else ""
    if which in ("1", "config"):
        bed.configure({"/new/": {}})
    await asyncio.sleep(CALM_S)
    owner = bed.owner()
    if owner is None:
        return False
    if which in ("1", "kill"):
        owner.kill()
        await asyncio.sleep(3)  # node_kill: for_s 3.0
        owner.start()
    # The chains take 24 s; finish_s counts from the end of the traffic.
    await asyncio.sleep(3 * CHAIN + FINISH_S)
    for submission in submissions:
        if which in ("1", "config") and submission.prefix == "/old/":
            continue  # its route is gone, nobody can ask
        await bed.ask(submission)
    for submission in submissions:
        left = [task for task in submission.tasks()
                if not bed.judge.is_done(task)]
        running = [task for task in left if bed.is_running(task)]
        silence = bed.judge.now() - max(map(bed.last_end, submission.tasks()))
        lasts = submission.long_running
        bed.judge.log(f"{submission.prefix}{submission.job}: {len(left)} tasks "
                      f"left, {len(running)} at work, last end {silence:.1f} s "
                      f"ago, in use {bed.use():.2f}")
        if (left and not running and bed.use() < 0.5 and
                silence > LOST_S + (LASTING_S if lasts else 0)):
            bed.judge.violation(
                "LOST", f"{submission.prefix}{submission.job}",
                f"{len(left)} of {len(submission.tasks())} tasks have not "
                f"ended and nothing has run for {silence:.1f} s; "
                f"{bed.use():.2f} of the service is in use")
    return True


if __name__ == "__main__":
    sys.exit(main(case, HERE))
