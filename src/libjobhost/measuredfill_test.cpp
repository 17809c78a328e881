// Tests of hosts that place, move and pace fill tasks by measurement.

#include "testing/jobtestbed.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

Job fillJob(const std::string &Id, int Tasks, milliseconds Estimate) {
  Job Out = chainJob(Id, 1, Tasks, Estimate);
  Out.Steps[0].IsFill = true;
  Out.Steps[0].Image = "fill";
  Out.Steps[0].Checkpointing = true;
  return Out;
}

/// Has \p Worker report that its runs use \p Millicores and make no progress.
void reportUse(JobTestBed &Bed, int Worker, int64_t Millicores) {
  Bed.worker(Worker).AlterAnswer = [Millicores](PollReply &Answer) {
    for (RunningTask &Run : Answer.Running) {
      Run.Usage = Millicores;
      Run.Percent = 1;
    }
  };
}

uint64_t fillMoves(JobTestBed &Bed) {
  uint64_t Out = 0;
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    if (Bed.host(Host).Process)
      Out += Bed.host(Host).Process->counts().FillMoves;
  return Out;
}

size_t runsOn(JobTestBed &Bed, int Worker) {
  return Bed.Oracle.tasksOn(Bed.worker(Worker).Entry.Id).size();
}

/// Starts a fill job of four tasks on two workers, the first of which lets fill
/// runs starve.
struct StarvedWorker {
  JobTestBed Bed;

  explicit StarvedWorker(bool IsMeasured)
      : Bed({.Workers = 2, .MeasuredFill = IsMeasured}) {
    Bed.run(3s);
    reportUse(Bed, 0, 20);
    reportUse(Bed, 1, 1000);
    // Its runs must not end while they starve.
    Bed.worker(0).Hangs = true;
    REQUIRE(Bed.submit(0, fillJob("fill", 4, 8s)).has_value());
    REQUIRE(Bed.runUntil([&] { return Bed.Oracle.running() == 4; }, 3s));
    REQUIRE(runsOn(Bed, 0) == 2);
    Bed.run(6s);
  }
};

} // namespace

// Guards against fill runs that stay on a worker that leaves them no processor
// time, although their pace was never lowered.
TEST_CASE("Starved fill runs move to a worker that leaves processor time") {
  StarvedWorker Measured(true);
  CHECK(fillMoves(Measured.Bed) == 2);
  CHECK(runsOn(Measured.Bed, 0) == 0);
  CHECK(runsOn(Measured.Bed, 1) == 4);
  for (const std::string &Violation : Measured.Bed.Oracle.violations())
    FAIL_CHECK(Violation);
  StarvedWorker Reserved(false);
  CHECK(fillMoves(Reserved.Bed) == 0);
  CHECK(runsOn(Reserved.Bed, 0) == 2);
}

// Guards against runs that move on and on where no worker has processor time.
TEST_CASE("A fill task is moved at most twice") {
  JobTestBed Bed({.Workers = 3, .MeasuredFill = true});
  Bed.run(3s);
  for (int Worker = 0; Worker < 3; ++Worker) {
    reportUse(Bed, Worker, 20);
    Bed.worker(Worker).Hangs = true;
  }
  REQUIRE(Bed.submit(0, fillJob("fill", 2, 8s)).has_value());
  Bed.run(30s);
  CHECK(fillMoves(Bed) <= 4);
  CHECK(Bed.Oracle.running() == 2);
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}
