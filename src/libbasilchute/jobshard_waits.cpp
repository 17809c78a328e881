#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

// Counts long-running tasks of started jobs whose wait has become long, and
// reports the one that has waited longest. \p MostMillicores is the largest
// room on one worker of this shard.
void JobShard::Impl::logLongTaskWaits(int64_t MostMillicores) {
  TimePoint Limit = m_time.now() - LongRunningMaxWait;
  const JobEntry *LongestEntry = nullptr;
  int LongestPosition = -1;
  TimePoint LongestSince = Limit;
  size_t Waiting = 0;
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Entry = m_jobs.at(Id);
    if (!Entry.Spec.Steps.front().LongRunning || !Entry.hasStarted())
      continue;
    for (int Position : Positions) {
      TimePoint Since = Entry.Tasks[static_cast<size_t>(Position)].WaitingSince;
      if (Since >= Limit)
        continue;
      ++Waiting;
      m_counts.LongTaskWaits += Since + LongRunningMaxWait >= m_waitsCountedAt;
      if (Since >= LongestSince)
        continue;
      LongestEntry = &Entry;
      LongestPosition = Position;
      LongestSince = Since;
    }
  }
  m_waitsCountedAt = m_time.now();
  if (!LongestEntry)
    return;
  TaskName Task = LongestEntry->nameOf(LongestPosition);
  std::optional<DelegationTarget> Target;
  if (m_options.FindShardWithRoom)
    Target = m_options.FindShardWithRoom(LongestEntry->Spec,
                                         LongestEntry->PartShards);
  log("long_task_waits",
      fmt::format("shard={} tasks={} job={} step={} index={} waited_ms={} "
                  "needs_cores={:.1f} most_cores={:.1f} target={}",
                  m_options.Shard, Waiting, Task.Job, Task.Step, Task.Index,
                  (m_time.now() - LongestSince) / milliseconds(1),
                  static_cast<double>(
                      LongestEntry->stepOf(LongestPosition).Demand.Millicores) /
                      1000,
                  static_cast<double>(MostMillicores) / 1000,
                  Target ? Target->Shard : -1));
}

BASILCHUTE_NAMESPACE_END
