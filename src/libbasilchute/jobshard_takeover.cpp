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

bool JobShard::Impl::isTakeoverComplete() const {
  if (!m_isLoaded)
    return false;
  if (m_time.now() > previousRunsEndAt())
    return true;
  if (isFleetIncomplete())
    return false;
  return std::all_of(m_slots.begin(), m_slots.end(),
                     [](const auto &Slot) { return Slot.second.IsFenced; });
}

bool JobShard::Impl::isFleetIncomplete() const {
  return m_options.FleetTime && m_options.FleetTime() < m_takeoverTime;
}

std::vector<std::string> JobShard::Impl::silentWorkers() const {
  std::vector<std::string> Out;
  for (const auto &[Id, Slot] : m_slots)
    if (!Slot.IsFenced)
      Out.push_back(Id);
  return Out;
}

size_t JobShard::Impl::countHeldBackTasks() const {
  size_t Out = 0;
  for (const auto &[Id, Positions] : m_waiting)
    if (!arrivedAfterTakeover(m_jobs.at(Id)))
      Out += Positions.size();
  return Out;
}

// Logs that tasks wait for previous runs, at once and then each second, and
// when the wait is over.
void JobShard::Impl::logTakeover() {
  if (m_isTakeoverLogged)
    return;
  TimePoint Now = m_time.now();
  if (isTakeoverComplete()) {
    m_isTakeoverLogged = true;
    m_counts.TakeoverSilentWorkers = 0;
    m_counts.TasksHeldBack = 0;
    log("takeover_complete",
        fmt::format("shard={} epoch={} took_ms={} why={}", m_options.Shard,
                    m_options.Epoch, (Now - m_takeoverTime) / milliseconds(1),
                    Now > previousRunsEndAt() ? "time_over" : "all_answered"));
    return;
  }
  if (Now < m_nextTakeoverLog)
    return;
  m_nextTakeoverLog = Now + WaitLogInterval;
  std::vector<std::string> Silent = silentWorkers();
  m_counts.TakeoverSilentWorkers = Silent.size();
  m_counts.TasksHeldBack = countHeldBackTasks();
  size_t SilentCount = Silent.size();
  Silent.resize(std::min(Silent.size(), MaxLoggedWorkers));
  log("takeover_waits",
      fmt::format(
          "shard={} epoch={} silent={} workers={} worker_list={} "
          "tasks={} until_ms={}",
          m_options.Shard, m_options.Epoch, SilentCount,
          Silent.empty() ? "-" : fmt::format("{}", fmt::join(Silent, ",")),
          isFleetIncomplete() ? "old" : "complete", m_counts.TasksHeldBack,
          (previousRunsEndAt() - Now) / milliseconds(1)));
}

BASILCHUTE_NAMESPACE_END
