#include "libbasilchute/previousruns.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

TaskName task(const std::string &Job, int Index = 0) {
  return {.Job = Job, .Index = Index};
}

} // namespace

// Guards against a wait of all tasks for one worker: only the tasks that a
// previous owner has named for the worker wait.
TEST_CASE("A known run holds back its task only") {
  PreviousRuns Runs;
  Runs.addKnown("w0", {task("a"), task("b")}, Start + 6s);
  CHECK(Runs.mayRun(task("a"), 1, Start));
  CHECK_FALSE(Runs.mayRun(task("a", 1), 1, Start));
  CHECK_FALSE(Runs.mayRun(task("c"), 1, Start));
  CHECK(Runs.workers(Start) == std::vector<std::string>{"w0"});
  CHECK(Runs.endsAt("w0") == Start + 6s);
  CHECK(Runs.endsAt("w1") == TimePoint{});
}

TEST_CASE("A known run ends with its worker's answer or its time") {
  PreviousRuns Runs;
  Runs.addKnown("w0", {task("a")}, Start + 6s);
  Runs.addKnown("w1", {task("b")}, Start + 3s);
  CHECK(Runs.mayRun(task("b"), 1, Start + 3s));
  CHECK_FALSE(Runs.mayRun(task("b"), 1, Start + 3s + 1ms));
  CHECK_FALSE(Runs.isResolved(Start + 4s));
  CHECK(Runs.lastEnd(Start) == Start + 6s);
  Runs.resolve("w0");
  CHECK_FALSE(Runs.mayRun(task("a"), 1, Start));
  CHECK(Runs.isResolved(Start + 4s));
}

// A task can be named for two workers: a completion on one of them was not
// stored yet, and the task was started again on the other.
TEST_CASE("A task that is named for two workers waits for both") {
  PreviousRuns Runs;
  Runs.addKnown("w0", {task("a")}, Start + 6s);
  Runs.addKnown("w1", {task("a")}, Start + 6s);
  Runs.resolve("w0");
  CHECK(Runs.mayRun(task("a"), 1, Start));
  Runs.resolve("w1");
  CHECK_FALSE(Runs.mayRun(task("a"), 1, Start));
}

TEST_CASE("Unknown runs hold back all tasks of older jobs until every worker "
          "has answered") {
  PreviousRuns Runs;
  Runs.setUnknown(10, Start + 12s);
  Runs.addWorker("w0");
  Runs.addWorker("w1");
  CHECK(Runs.mayRun(task("a"), 10, Start));
  CHECK_FALSE(Runs.mayRun(task("a"), 11, Start));
  Runs.resolve("w0");
  CHECK(Runs.mayRun(task("a"), 10, Start));
  Runs.resolve("w1");
  CHECK_FALSE(Runs.mayRun(task("a"), 10, Start));
  CHECK(Runs.isResolved(Start));
  // A worker that is listed late may have been used by a previous owner.
  Runs.addWorker("w2");
  CHECK(Runs.mayRun(task("a"), 10, Start));
  CHECK_FALSE(Runs.mayRun(task("a"), 10, Start + 12s + 1ms));
}

TEST_CASE("Unknown runs may be on unlisted workers while the list is "
          "incomplete") {
  PreviousRuns Runs;
  Runs.setUnknown(10, Start + 12s);
  Runs.setListComplete(false);
  CHECK(Runs.mayRun(task("a"), 10, Start));
  Runs.setListComplete(true);
  CHECK_FALSE(Runs.mayRun(task("a"), 10, Start));
}

TEST_CASE("Unknown runs are not on workers that were resolved before") {
  PreviousRuns Runs;
  Runs.addWorker("w0");
  Runs.setUnknown(10, Start + 12s, {"w0", "w1"});
  Runs.addWorker("w1");
  CHECK(Runs.isResolved(Start));
  CHECK(Runs.endsAt("w0") == TimePoint{});
  Runs.addWorker("w2");
  CHECK(Runs.mayRun(task("a"), 10, Start));
  CHECK(Runs.endsAt("w2") == Start + 12s);
}

// Guards against lost long-running tasks: one that a worker has reported and
// that then fails need not wait for a silent worker.
TEST_CASE("A task whose run was reported is nowhere else") {
  PreviousRuns Runs;
  Runs.setUnknown(10, Start + 12s);
  Runs.addWorker("w0");
  Runs.addKnown("w1", {task("a")}, Start + 6s);
  Runs.setReported(task("a"));
  CHECK_FALSE(Runs.mayRun(task("a"), 10, Start));
  CHECK(Runs.mayRun(task("a", 1), 10, Start));
  Runs.clearReported(task("a"));
  CHECK(Runs.mayRun(task("a"), 10, Start));
}

// Guards against a wait for all silent workers of a task that can be on one
// only, which its job's row names.
TEST_CASE("A task whose place is stored waits for that worker only") {
  PreviousRuns Runs;
  Runs.setUnknown(10, Start + 12s);
  Runs.addWorker("w0");
  Runs.addWorker("w1");
  Runs.setPlace(task("a", 0), "w0");
  Runs.setPlace(task("a", 1), "w1");
  Runs.setPlace(task("a", 2), "");
  Runs.resolve("w1");
  CHECK(Runs.mayRun(task("a", 0), 10, Start + 12s));
  CHECK_FALSE(Runs.mayRun(task("a", 0), 11, Start));
  CHECK_FALSE(Runs.mayRun(task("a", 0), 10, Start + 12s + 1ms));
  CHECK_FALSE(Runs.mayRun(task("a", 1), 10, Start));
  CHECK_FALSE(Runs.mayRun(task("a", 2), 10, Start));
  CHECK(Runs.mayRun(task("b"), 10, Start));
  // No predecessor can start the task elsewhere.
  Runs.clearReported(task("a", 1));
  CHECK_FALSE(Runs.mayRun(task("a", 1), 10, Start));
  // A report from another worker says nothing of the stored place.
  Runs.setReported(task("a", 0));
  CHECK(Runs.mayRun(task("a", 0), 10, Start));
}

// Guards against a takeover that counts as complete because all workers of the
// list have answered: a row can name a worker that is in no list.
TEST_CASE("A stored place on a worker that is in no list is waited for and "
          "handed on") {
  PreviousRuns Runs;
  Runs.setUnknown(10, Start + 12s);
  Runs.addWorker("w0");
  Runs.setPlace(task("a"), "unseen");
  Runs.resolve("w0");
  CHECK(Runs.mayRun(task("a"), 10, Start));
  CHECK_FALSE(Runs.mayRun(task("b"), 10, Start));
  CHECK_FALSE(Runs.isResolved(Start));
  CHECK(Runs.workers(Start) == std::vector<std::string>{"unseen"});
  CHECK(Runs.lastEnd(Start) == Start + 12s);
  CHECK(Runs.known(Start).at("unseen").Tasks == std::set{task("a")});
  CHECK(Runs.known(Start).at("unseen").EndsAt == Start + 12s);
  Runs.resolve("unseen");
  CHECK(Runs.isResolved(Start));
  CHECK(Runs.known(Start).empty());
}

TEST_CASE("A stored place on a worker that a previous owner has resolved is "
          "not waited for") {
  PreviousRuns Runs;
  Runs.setUnknown(10, Start + 12s, {"w0"});
  Runs.setPlace(task("a"), "w0");
  CHECK_FALSE(Runs.mayRun(task("a"), 10, Start));
  CHECK(Runs.isResolved(Start));
}
