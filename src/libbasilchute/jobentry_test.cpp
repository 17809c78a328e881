#include "libbasilchute/jobentry.h"

#include <doctest/doctest.h>

using namespace basilchute;

// Guards against two runs of a task with one number: the second owner of a job
// skips some numbers, and the owner of the shard to which the job is
// transferred then begins below them.
TEST_CASE(
    "The run numbers of a transferred job lie above those of owners before") {
  constexpr int RunGap = 64;
  Job Spec{.Id = "job", .Steps = {JobStep{.Count = 1}}};
  Spec.AcceptedAt = milliseconds(1000000);
  for (milliseconds Takeover : {milliseconds(100), milliseconds(5000)})
    for (milliseconds Transfer : {milliseconds(0), milliseconds(4000)}) {
      CAPTURE(Takeover.count());
      CAPTURE(Transfer.count());
      milliseconds At = Spec.AcceptedAt + Takeover;
      JobEntry Second(Spec, 1, TimePoint{});
      Second.restore(JobProgress{}, RunGap, At);
      JobEntry Elsewhere(Spec, 1, TimePoint{});
      Elsewhere.skipRunNumbers(RunGap, At + Transfer);
      // An owner uses one number for each start that it does not store.
      CHECK(Elsewhere.Tasks[0].LastRun >= Second.Tasks[0].LastRun);
    }
}
