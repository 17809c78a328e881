"""Checks what the soak's own clients, workers and store have seen against the
rules for submissions."""

import time

CANCEL_S = 3.0
CONTACT_S = 3.0
# Nothing starts in a zone later than this after the store has confirmed its
# evacuation (`bounds.evacuation_ms`).
EVACUATION_S = 5.0
REJECTIONS = (400, 404, 429, 503)
# Tasks that take longer than this are long.
LONG_S = 2.0


class Step:
    def __init__(self, count, cpu, work_s, after=(), fails=0, long_running=False,
                 checkpointing=False):
        self.count = count
        self.cpu = cpu
        self.mem_mb = 100
        self.work_s = work_s
        self.after = list(after)
        self.fails = fails
        self.long_running = long_running
        self.checkpointing = checkpointing

    def fields(self):
        out = {"count": self.count, "cpu": self.cpu, "mem_mb": self.mem_mb,
               "estimate_ms": int(self.work_s * 1000)}
        for name in ("after", "long_running", "checkpointing"):
            if getattr(self, name):
                out[name] = getattr(self, name)
        return out


class Submission:
    def __init__(self, job, spec, steps):
        self.job = job
        self.spec = spec
        self.steps = steps
        self.attempts = []  # [sent at, host, status or None while under way]
        self.cancel_sent = None
        self.cancelled_at = None
        self.checkpoints = {}
        self.states = []

    @property
    def is_accepted(self):
        return any(status and 200 <= status < 300
                   for _, _, status in self.attempts)

    @property
    def is_refused(self):
        return all(status in REJECTIONS for _, _, status in self.attempts)

    @property
    def long_running(self):
        return any(step.long_running for step in self.steps)

    @property
    def long_work_s(self):
        return max((step.work_s for step in self.steps if step.work_s > LONG_S),
                   default=0)

    def tasks(self):
        return [f"{self.job}.0.{number}.{index}"
                for number, step in enumerate(self.steps)
                for index in range(step.count)]


class Run:
    def __init__(self, task, number, worker, born, host, at):
        self.task = task
        self.number = number
        self.worker = worker
        self.born = born
        self.host = host
        self.started_at = at
        self.ended_at = None
        self.how = None
        self.end_number = None
        self.is_noted = False
        self.is_void = False

    def text(self):
        end = "" if self.ended_at is None else \
            f", {self.how} at {self.ended_at:.3f}"
        noted = ", noted" if self.is_noted else ""
        return (f"run {self.number} on {self.worker} by {self.host} at "
                f"{self.started_at:.3f}{end}{noted}")


class Impairments:
    """Moments at which something was impaired, by its name."""

    def __init__(self, clock):
        self.clock = clock
        self.until = {}

    def mark(self, name, duration=0.0):
        self.until[name] = max(self.until.get(name, 0), self.clock() + duration)

    def is_calm(self, name):
        return self.clock() >= self.until.get(name, -CONTACT_S) + CONTACT_S


class Judge:
    def __init__(self, max_attempts, out):
        self.began = time.monotonic()
        self.max_attempts = max_attempts
        self.out = out
        self.submissions = {}
        self.runs = {}  # task -> its runs
        self.by_end = {}  # (worker, born, number of the end) -> run
        self.violations = {}
        self.impairments = Impairments(self.now)
        self.evacuations = {}  # zone -> when its evacuation was confirmed
        self.starts = 0

    def now(self):
        return time.monotonic() - self.began

    def log(self, text):
        self.out.write(f"{self.now():8.3f} {text}\n")

    def violation(self, rule, subject, detail):
        key = (rule, subject)
        if key in self.violations:
            return
        self.violations[key] = detail
        line = f"violation {rule} at {self.now():.3f}: {subject}: {detail}"
        self.log(line)
        print(line, flush=True)

    def has_touch(self, host, worker):
        return host is not None and all(
            self.impairments.is_calm(name) for name in (host, worker, "store"))

    def step_of(self, task):
        job, _, number, _ = task.split(".")
        return self.submissions[job].steps[int(number)]

    def start(self, worker, born, order, call):
        """Notes a start; returns the run, or None for a task nobody sent."""
        task, number = order["task"], order["run"]
        run = Run(task, number, worker, born, call.host, self.now())
        self.starts += 1
        late = " (late)" if call.is_late else ""
        self.log(f"worker {worker}: {task} run {number} starts by "
                 f"{call.host}{late}")
        self.check_asked(run, order, call)
        if not self.is_sent(task):
            return None
        self.runs.setdefault(task, []).append(run)
        self.check_twice(task, run)
        self.check_order(run)
        self.check_budget(task)
        return run

    def is_sent(self, task):
        submission = self.submissions.get(task.split(".")[0])
        return submission is not None and task in submission.tasks()

    def check_asked(self, run, order, call):
        if not self.is_sent(run.task):
            self.violation("UNASKED", run.task, "nobody sent it: " + run.text())
            return
        submission = self.submissions[run.task.split(".")[0]]
        if order.get("spec") != submission.spec:
            self.violation("UNASKED", run.task, "other spec: " + run.text())
        checkpoint = order.get("checkpoint", "")
        if checkpoint and checkpoint not in submission.checkpoints.get(
                run.task, ()):
            self.violation("UNASKED", run.task, "checkpoint of another task: "
                           + run.text())
        cancelled = submission.cancelled_at
        if cancelled is not None and not call.is_late and \
                run.started_at > cancelled + CANCEL_S and \
                self.has_touch(call.host, run.worker):
            self.violation("UNASKED", run.task,
                           f"cancelled at {cancelled:.3f}: " + run.text())

    def check_twice(self, task, run):
        for other in self.runs[task]:
            if other is run:
                continue
            if other.ended_at is None:
                self.violation("TWICE", task, "at once: " + other.text() +
                               "; " + run.text())
            elif other.how == "done" and other.is_noted:
                self.violation("TWICE", task, "after its end: " + other.text() +
                               "; " + run.text())

    def check_order(self, run):
        submission = self.submissions[run.task.split(".")[0]]
        for number in self.step_of(run.task).after:
            for index in range(submission.steps[number].count):
                task = f"{submission.job}.0.{number}.{index}"
                if not self.is_done(task):
                    self.violation("ORDER", run.task,
                                   f"{task} has not ended: " + run.text())

    def check_budget(self, task):
        if self.step_of(task).long_running:
            return
        failed = [run.ended_at for run in self.runs[task]
                  if run.how == "failed" and run.is_noted]
        for run in self.runs[task]:
            before = sum(1 for at in failed if at < run.started_at)
            if before >= self.max_attempts:
                self.violation("BUDGET", task,
                               f"{before} runs have failed: " + run.text())

    def check_limit(self, run, used, capacity):
        if used > capacity:
            self.violation("LIMIT", run.worker, f"{used} of {capacity} "
                           f"millicores with {run.task} " + run.text())

    def evacuated(self, zone):
        self.evacuations[zone] = self.now()
        self.log(f"zone {zone}: evacuated")

    def taken_back(self, zone):
        del self.evacuations[zone]
        self.log(f"zone {zone}: taken back")

    def check_evacuated(self, run, zone, call, is_known=False):
        """A host that the store does not tell goes by what it knew; one that
        was stopped asks the store first. A late call was sent earlier.
        `is_known` tells that the host has shown to know of the evacuation."""
        since = self.evacuations.get(zone)
        if since is None or call.is_late or \
                run.started_at <= since + EVACUATION_S or \
                not (is_known or self.impairments.is_calm("store")):
            return
        self.violation("EVACUATED", run.task, f"{zone} since {since:.3f}: "
                       + run.text())

    def end(self, run, number, how):
        run.ended_at = self.now()
        run.how = how
        run.end_number = number
        if number:
            self.by_end[run.worker, run.born, number] = run
        self.log(f"worker {run.worker}: {run.task} run {run.number} ends {how}")

    def void(self, run):
        """The worker's lease lapsed before the end was taken note of."""
        run.is_void = True

    def acknowledged(self, worker, seen, listed, host):
        if seen > listed:
            self.violation("UNREAD", worker, f"{host} has seen its ends up to "
                           f"{seen}, {listed} were listed in this life")

    def noted(self, worker, born, number):
        run = self.by_end.get((worker, born, number))
        if run is None or run.is_noted or run.is_void:
            return
        run.is_noted = True
        if run.how == "failed":
            self.check_budget(run.task)
        if run.how != "done":
            return
        for other in self.runs[run.task]:
            if other.started_at > run.ended_at:
                self.violation("TWICE", run.task, "after its end: " + run.text()
                               + "; " + other.text())

    def is_done(self, task):
        return any(run.how == "done" for run in self.runs.get(task, ()))

    def has_crashed(self, task):
        return any(run.how == "crashed" for run in self.runs.get(task, ()))

    def failures(self, task):
        return sum(1 for run in self.runs.get(task, ()) if run.how == "failed")

    def shown(self, submission, state, host):
        """Checks a state that a host has shown."""
        if state == "completed":
            for task in submission.tasks():
                if not self.is_done(task):
                    self.violation("MIXED", submission.job,
                                   f"shown as completed by {host}, {task} has "
                                   "not ended")
        elif state == "failed":
            if not any(self.failures(task) >= self.max_attempts
                       for task in submission.tasks()):
                self.violation("LOST", submission.job,
                               f"shown as failed by {host} without cause")
        elif state == "cancelled" and submission.cancel_sent is None:
            self.violation("LOST", submission.job,
                           f"shown as cancelled by {host}, nobody cancelled it")

    def check_refused(self):
        for submission in self.submissions.values():
            if not submission.attempts or not submission.is_refused:
                continue
            started = [run for task in submission.tasks()
                       for run in self.runs.get(task, ())]
            if started:
                attempts = ", ".join(f"{host} {status} sent {at:.3f}" for
                                     at, host, status in submission.attempts)
                self.violation("REFUSED", submission.job, f"answers: {attempts}"
                               f"; {started[0].task} " + started[0].text())

    def check_settled(self, submission):
        """Returns what is missing from an accepted submission at the end."""
        if submission.cancel_sent is not None:
            left = [run.task for task in submission.tasks()
                    for run in self.runs.get(task, ()) if run.ended_at is None]
            is_sure = submission.cancelled_at is not None
            return f"cancelled, {left[0]} runs on" if left and is_sure else ""
        for task in submission.tasks():
            if self.step_of(task).long_running:
                if not any(run.ended_at is None for run in
                           self.runs.get(task, ())):
                    return f"{task} is not running"
            elif not self.is_done(task):
                if any(self.failures(other) >= self.max_attempts
                       for other in submission.tasks()):
                    return ""
                return f"{task} has not ended"
        return ""
