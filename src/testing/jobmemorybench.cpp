// Measures the memory that jobs take in the owner of their shard. Prints one
// JSON line per value.

#include "libbasilchute/jobentry.h"
#include "libbasilchute/jobmemory.h"

#include <fmt/format.h>
#include <malloc.h>
#include <memory>
#include <set>
#include <string_view>

using namespace basilchute;

namespace {

constexpr int Jobs = 100;

void printValue(std::string_view Name, double Value, std::string_view Unit) {
  fmt::print("{{\"name\":\"{}\",\"value\":{:.6g},\"unit\":\"{}\","
             "\"baseline\":\"\"}}\n",
             Name, Value, Unit);
}

Job jobOf(int Number, int Tasks, int Repetitions) {
  Job Out{.Id = fmt::format("{:016x}", Number), .Queue = "queue"};
  Out.Steps = {JobStep{.Count = Tasks,
                       .EstimatedRunTime = std::chrono::seconds(1),
                       .Image = "image"}};
  Out.Repetitions = Repetitions;
  Out.Interval = std::chrono::seconds(Repetitions > 0 ? 1 : 0);
  return Out;
}

/// A job as its owner holds it.
struct HeldJob {
  JobEntry Entry;
  std::set<int> Waiting;
};

/// Returns the bytes of one job of which the owner has queued what is due, or
/// of which all is done.
double bytesOfJob(int Tasks, int Repetitions, bool IsDone) {
  std::vector<std::unique_ptr<HeldJob>> Held;
  size_t Before = mallinfo2().uordblks;
  for (int Number = 0; Number < Jobs; ++Number) {
    Held.push_back(std::make_unique<HeldJob>(HeldJob{
        JobEntry(jobOf(Number, Tasks, Repetitions), 1, TimePoint{}), {}}));
    JobEntry &Entry = Held.back()->Entry;
    for (int Position :
         Entry.readyTasks(milliseconds(0), MaxQueuedTasks).Positions) {
      Entry.Tasks[static_cast<size_t>(Position)].WaitingSince = TimePoint{};
      Held.back()->Waiting.insert(Position);
    }
    if (!IsDone)
      continue;
    Held.back()->Waiting.clear();
    for (int Position = 0; Position < Tasks; ++Position)
      Entry.finish(Position);
  }
  return static_cast<double>(mallinfo2().uordblks - Before) / Jobs;
}

} // namespace

int main() {
  double One = bytesOfJob(1, 0, false);
  printValue("job_memory_of_one_task", One, "B a job");
  printValue("job_memory_per_waiting_task",
             (bytesOfJob(512, 0, false) - One) / 511, "B a task");
  printValue("job_memory_of_100000_tasks", bytesOfJob(100000, 0, false),
             "B a job");
  printValue("job_memory_of_100000_done_tasks", bytesOfJob(100000, 0, true),
             "B a job");
  printValue("job_memory_of_86400_occurrences", bytesOfJob(1, 86400, false),
             "B a job");
  printValue("job_memory_of_a_job_expected", expectedBytes(jobOf(0, 512, 0)),
             "B a job of 512 tasks, as the admission counts it");
  return 0;
}
