#!/usr/bin/env python3
"""Tests of the soak's checks: each rule is broken once, and kept in a session
that differs little."""

import io
import types
import unittest

from configs import CONFIG_APPLY_S, Configs
from judge import EVACUATION_S, Judge, Step, Submission

JOB = "00000000000000aa"
TASK = JOB + ".0.0.0"


class JudgeTest(unittest.TestCase):
    def setUp(self):
        self.judge = Judge(2, io.StringIO())
        self.time = 100.0
        self.judge.now = lambda: self.time
        self.judge.impairments.clock = self.judge.now

    def submit(self, *steps, status=200):
        out = Submission(JOB, "spec", list(steps) or [Step(1, 500, 1.0)])
        out.attempts.append([self.time, "a", status])
        self.judge.submissions[JOB] = out
        return out

    def start(self, worker="w1", run=1, task=TASK, spec="spec", late=False,
              checkpoint=""):
        self.time += 0.1
        call = types.SimpleNamespace(host="a", is_late=late)
        return self.judge.start(worker, 1, {"task": task, "run": run,
                                            "spec": spec,
                                            "checkpoint": checkpoint}, call)

    def end(self, run, number, how):
        self.time += 0.1
        self.judge.end(run, number, how)

    def broken(self):
        return sorted({rule for rule, _ in self.judge.violations})

    def check_start_in_zone(self, after_s, zone="zone-a", late=False):
        self.submit()
        self.judge.evacuated("zone-a")
        self.time += after_s - 0.1
        run = self.start(late=late)
        self.judge.check_evacuated(run, zone,
                                   types.SimpleNamespace(is_late=late))

    def test_start_in_an_evacuated_zone(self):
        self.check_start_in_zone(EVACUATION_S - 0.01)
        self.check_start_in_zone(EVACUATION_S + 1, zone="zone-b")
        self.check_start_in_zone(EVACUATION_S + 1, late=True)
        self.assertNotIn("EVACUATED", self.broken())
        self.check_start_in_zone(EVACUATION_S + 0.01)
        self.assertIn("EVACUATED", self.broken())

    def test_start_in_a_zone_that_was_taken_back(self):
        self.submit()
        self.judge.evacuated("zone-a")
        self.time += EVACUATION_S + 1
        self.judge.taken_back("zone-a")
        self.judge.check_evacuated(self.start(), "zone-a",
                                   types.SimpleNamespace(is_late=False))
        self.assertEqual(self.broken(), [])

    def test_start_in_an_evacuated_zone_without_word_from_the_store(self):
        self.submit()
        self.judge.evacuated("zone-a")
        self.time += EVACUATION_S + 1
        self.judge.impairments.mark("store")
        call = types.SimpleNamespace(is_late=False)
        run = self.start()
        self.judge.check_evacuated(run, "zone-a", call)
        self.assertEqual(self.broken(), [])
        self.judge.check_evacuated(run, "zone-a", call, is_known=True)
        self.assertEqual(self.broken(), ["EVACUATED"])

    def test_two_runs_at_once(self):
        self.submit()
        first = self.start()
        self.end(first, 1, "lapsed")
        self.start("w2", 2)
        self.assertEqual(self.broken(), [])
        self.start("w3", 3)
        self.assertEqual(self.broken(), ["TWICE"])

    def test_start_before_an_end_is_noted(self):
        self.submit()
        self.end(self.start(), 1, "done")
        self.start("w2", 2)
        self.assertEqual(self.broken(), [])
        self.judge.noted("w1", 1, 1)
        self.assertEqual(self.broken(), ["TWICE"])

    def test_an_end_that_was_not_listed_is_acknowledged(self):
        self.judge.acknowledged("w1", 3, 3, "a")
        self.assertEqual(self.broken(), [])
        self.judge.acknowledged("w1", 4, 3, "a")
        self.assertEqual(self.broken(), ["UNREAD"])

    def test_start_after_an_end_that_lapsed(self):
        self.submit()
        run = self.start()
        self.end(run, 1, "done")
        self.judge.void(run)
        self.judge.noted("w1", 1, 1)
        self.start("w2", 2)
        self.assertEqual(self.broken(), [])

    def test_start_after_a_noted_end(self):
        self.submit()
        self.end(self.start(), 1, "done")
        self.judge.noted("w1", 1, 1)
        self.assertEqual(self.broken(), [])
        self.start("w2", 2)
        self.assertEqual(self.broken(), ["TWICE"])

    def test_refused(self):
        submission = self.submit(status=503)
        self.start()
        submission.attempts.append([self.time, "b", 0])
        self.judge.check_refused()
        self.assertEqual(self.broken(), [])
        submission.attempts[1][2] = 429
        self.judge.check_refused()
        self.assertEqual(self.broken(), ["REFUSED"])

    def test_asked_by_nobody(self):
        self.submit()
        self.start()
        self.assertEqual(self.broken(), [])
        for task in (JOB + ".0.0.1", "00000000000000bb.0.0.0"):
            self.judge.violations.clear()
            self.assertIsNone(self.start(task=task))
            self.assertEqual(self.broken(), ["UNASKED"])

    def test_other_spec(self):
        self.submit()
        self.start(spec="another")
        self.assertEqual(self.broken(), ["UNASKED"])

    def test_checkpoint_of_another_task(self):
        self.submit().checkpoints[TASK] = {"1"}
        self.end(self.start(checkpoint="1"), 1, "lapsed")
        self.assertEqual(self.broken(), [])
        self.start("w2", 2, checkpoint="2")
        self.assertEqual(self.broken(), ["UNASKED"])

    def test_start_after_a_cancel(self):
        submission = self.submit()
        submission.cancelled_at = self.time
        self.time += 2
        self.end(self.start(), 1, "lapsed")
        self.time += 3
        self.end(self.start(run=2, late=True), 2, "lapsed")
        self.judge.impairments.mark("a")
        self.end(self.start(run=3), 3, "lapsed")
        self.assertEqual(self.broken(), [])
        self.time += 4
        self.start(run=4)
        self.assertEqual(self.broken(), ["UNASKED"])

    def test_budget(self):
        self.submit()
        for number in (1, 2):
            self.end(self.start(run=number), number, "failed")
        self.judge.noted("w1", 1, 1)
        self.start(run=3)
        self.assertEqual(self.broken(), [])
        self.judge.noted("w1", 1, 2)
        self.assertEqual(self.broken(), ["BUDGET"])

    def test_order(self):
        self.submit(Step(1, 500, 1.0), Step(1, 500, 1.0, after=[0]))
        run = self.start()
        self.start(task=JOB + ".0.1.0")
        self.assertEqual(self.broken(), ["ORDER"])
        self.judge.violations.clear()
        self.end(run, 1, "done")
        self.start(run=2, task=JOB + ".0.1.0", worker="w2")
        self.assertNotIn("ORDER", self.broken())

    def test_limit(self):
        self.submit()
        run = self.start()
        self.judge.check_limit(run, 8000, 8000)
        self.assertEqual(self.broken(), [])
        self.judge.check_limit(run, 8500, 8000)
        self.assertEqual(self.broken(), ["LIMIT"])

    def test_shown_as_completed(self):
        submission = self.submit()
        run = self.start()
        self.judge.shown(submission, "running", "a")
        self.assertEqual(self.broken(), [])
        self.judge.shown(submission, "completed", "a")
        self.assertEqual(self.broken(), ["MIXED"])
        self.judge.violations.clear()
        self.end(run, 1, "done")
        self.judge.shown(submission, "completed", "a")
        self.assertEqual(self.broken(), [])

    def test_shown_as_failed(self):
        submission = self.submit()
        self.end(self.start(), 1, "failed")
        self.judge.shown(submission, "failed", "a")
        self.assertEqual(self.broken(), ["LOST"])
        self.judge.violations.clear()
        self.end(self.start(run=2), 2, "failed")
        self.judge.shown(submission, "failed", "a")
        self.assertEqual(self.broken(), [])

    def test_settled(self):
        lasting = self.submit(Step(1, 500, 1.0, long_running=True))
        self.assertTrue(self.judge.check_settled(lasting))
        run = self.start()
        self.assertFalse(self.judge.check_settled(lasting))
        lasting.cancel_sent = lasting.cancelled_at = self.time
        self.assertTrue(self.judge.check_settled(lasting))
        self.end(run, 1, "stopped")
        self.assertFalse(self.judge.check_settled(lasting))

    def test_the_work_of_long_tasks_is_waited_for(self):
        self.assertEqual(self.submit(Step(1, 500, 1.5)).long_work_s, 0)
        self.assertEqual(self.submit(Step(1, 500, 1.0, long_running=True))
                         .long_work_s, 0)
        self.assertEqual(self.submit(Step(1, 500, 8.0)).long_work_s, 8.0)

    def changed(self):
        """Returns configurations that added and dropped /r3/, the time moved on
        until that is due."""
        self.published = []
        out = Configs({"version": 1, "routes": [{"name": "q", "prefix": "/q/"}]},
                      self.published.append, self.judge)
        out.change(2)
        return out

    def test_a_route_that_is_not_served_in_time_is_a_violation(self):
        configs = self.changed()
        self.assertEqual([route["prefix"] for route in
                          self.published[0]["routes"]],
                         ["/q/", "/r3/", "/other0/", "/other1/"])
        due = self.time + CONFIG_APPLY_S
        configs.check("/r3/", "a", due, 404)
        configs.check("/r3/", "a", due + 1, 200)
        configs.check("/r3/", "a", due + 1, 503)
        self.assertFalse(self.judge.violations)
        configs.check("/r3/", "a", due + 0.01, 404)
        self.assertEqual(self.broken(), ["CONFIG"])

    def test_a_route_that_is_served_after_it_was_dropped_is_a_violation(self):
        configs = self.changed()
        while not configs.dropped:
            configs.change(0)
        due = self.time + CONFIG_APPLY_S
        configs.check("/r3/", "a", due + 0.01, 404)
        self.assertFalse(self.judge.violations)
        configs.check("/r3/", "a", due + 0.01, 200)
        self.assertEqual(self.broken(), ["CONFIG"])


if __name__ == "__main__":
    unittest.main()
