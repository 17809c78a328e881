#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds WaitLogInterval{1000};
/// Maximum number of workers that a log line names.
constexpr size_t MaxLoggedWorkers = 5;

} // namespace

void JobShard::Impl::initPreviousRuns() {
  m_previousRuns.setUnknown(m_loadVersion, previousRunsEndAt());
  m_previousRuns.setListComplete(isFleetComplete());
  for (auto &[Id, Slot] : m_slots) {
    m_previousRuns.addWorker(Id);
    // The previous owner may have extended the leases of runs on the worker.
    Slot.LeaseEnd = m_previousRuns.endsAt(Id);
  }
}

bool JobShard::Impl::mayHavePreviousRun(const JobEntry &Entry,
                                        int Position) const {
  TimePoint Now = m_time.now();
  if (m_previousRuns.isResolved(Now))
    return false;
  if (!Entry.stepOf(Position).Gang)
    return m_previousRuns.mayRun(Entry.nameOf(Position), Entry.JobVersion, Now);
  std::vector<int> Members = Entry.groupPositions(Position);
  return std::any_of(Members.begin(), Members.end(), [&](int Member) {
    return m_previousRuns.mayRun(Entry.nameOf(Member), Entry.JobVersion, Now);
  });
}

bool JobShard::Impl::mayHavePreviousRuns(const JobEntry &Entry) const {
  for (int Position = 0; Position < static_cast<int>(Entry.Tasks.size());
       ++Position)
    if (mayHavePreviousRun(Entry, Position))
      return true;
  return false;
}

bool JobShard::Impl::isTakeoverComplete() const {
  return m_isLoaded && m_previousRuns.isResolved(m_time.now());
}

bool JobShard::Impl::wereAllWorkersPolled() const {
  return std::all_of(m_slots.begin(), m_slots.end(), [](const auto &Slot) {
    return Slot.second.IsFenced || Slot.second.MissedPolls > 0;
  });
}

size_t JobShard::Impl::countHeldBackTasks() const {
  size_t Out = 0;
  for (const auto &[Id, Positions] : m_waiting)
    for (int Position : Positions)
      Out += mayHavePreviousRun(m_jobs.at(Id), Position) ? 1 : 0;
  return Out;
}

// Logs that tasks wait for previous runs, at once and then each second, and
// when the wait is over.
void JobShard::Impl::logTakeover() {
  if (m_isTakeoverLogged)
    return;
  TimePoint Now = m_time.now();
  if (isTakeoverComplete()) {
    bool HaveAllAnswered =
        std::all_of(m_slots.begin(), m_slots.end(),
                    [](const auto &Slot) { return Slot.second.IsFenced; });
    m_isTakeoverLogged = true;
    m_counts.TakeoverSilentWorkers = 0;
    m_counts.TasksHeldBack = 0;
    log("takeover_complete",
        fmt::format("shard={} epoch={} took_ms={} why={}", m_options.Shard,
                    m_options.Epoch, (Now - m_takeoverTime) / milliseconds(1),
                    HaveAllAnswered ? "all_answered" : "runs_over"));
    return;
  }
  if (Now < m_nextTakeoverLog)
    return;
  m_nextTakeoverLog = Now + WaitLogInterval;
  std::vector<std::string> Silent = m_previousRuns.workers(Now);
  m_counts.TakeoverSilentWorkers = Silent.size();
  m_counts.TasksHeldBack = countHeldBackTasks();
  TimePoint Until = m_previousRuns.endsAt(Now);
  size_t SilentCount = Silent.size();
  Silent.resize(std::min(SilentCount, MaxLoggedWorkers));
  std::string Names =
      Silent.empty() ? "-" : fmt::format("{}", fmt::join(Silent, ","));
  log("takeover_waits",
      fmt::format("shard={} epoch={} silent={} workers={} worker_list={} "
                  "tasks={} until_ms={}",
                  m_options.Shard, m_options.Epoch, SilentCount, Names,
                  isFleetComplete() ? "complete" : "old",
                  m_counts.TasksHeldBack, (Until - Now) / milliseconds(1)));
}

BASILCHUTE_NAMESPACE_END
