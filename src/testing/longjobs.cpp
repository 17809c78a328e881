#include "testing/longjobs.h"

#include "basilchute/shardchoice.h"

#include <algorithm>
#include <doctest/doctest.h>

BASILCHUTE_NAMESPACE_BEGIN

Job longJob(const std::string &Id, int Width, int64_t Millicores) {
  Job Out = chainJob(Id, 1, Width);
  Out.Steps[0].LongRunning = true;
  Out.Steps[0].Demand.Millicores = Millicores;
  return Out;
}

TaskName taskOf(const std::string &Id, int Index) {
  return {.Job = Id, .Occurrence = 0, .Step = 0, .Index = Index};
}

int workerOf(JobTestBed &Bed, const TaskName &Task) {
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Bed.worker(Worker).runs(Task))
      return Worker;
  return -1;
}

int shardOf(JobTestBed &Bed, const TaskName &Task) {
  int Worker = workerOf(Bed, Task);
  return Worker < 0 ? -1
                    : Bed.host(0).Process->shardOf(Bed.worker(Worker).Entry.Id);
}

bool runsWithin(JobTestBed &Bed, const TaskName &Task, milliseconds Limit) {
  return Bed.runUntil([&] { return workerOf(Bed, Task) >= 0; }, Limit);
}

bool allRunWithin(JobTestBed &Bed, size_t Tasks, milliseconds Limit) {
  return Bed.runUntil([&] { return Bed.Oracle.running() == Tasks; }, Limit);
}

bool holdsJob(JobTestBed &Bed, int Shard, const std::string &Id) {
  RowPage Page =
      Bed.Store.read({.Table = "jobs-" + std::to_string(Shard),
                      .Partition = "shard-" + std::to_string(Shard)});
  return std::any_of(
      Page.Rows.begin(), Page.Rows.end(),
      [&](const StoredRow &Row) { return Row.Address.Key == Id; });
}

void loseWorker(JobTestBed &Bed, int Worker) {
  Bed.worker(Worker).IsDown = true;
  Bed.worker(Worker).crash();
  Bed.setWorkerListed(Worker, false);
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

std::string idForShard(const std::string &Prefix, int Shard) {
  return withIdForShard(longJob(Prefix, 1), Shard).Id;
}

Job withIdForShard(Job Value, int Shard) {
  ShardLoad Load{.CapacityMillicores = 24000};
  std::vector<ShardCandidate> Equal{{.Shard = 0, .Load = Load},
                                    {.Shard = 1, .Load = Load}};
  const std::string Prefix = Value.Id;
  for (int Number = 0;; ++Number) {
    Value.Id = Prefix + std::to_string(Number);
    if (chooseShard(Equal, demandOf(Value)) == Shard)
      return Value;
  }
}

BASILCHUTE_NAMESPACE_END
