#include "testing/restartcheck.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Returns true if tasks of \p Demand fit twice into \p FreeCapacity.
bool hasRoomTwice(const Resources &Demand,
                  std::vector<Resources> FreeCapacity) {
  int Fitting = 0;
  for (Resources &Free : FreeCapacity)
    while (Fitting < 2 && Demand.fits(Free)) {
      Free -= Demand;
      ++Fitting;
    }
  return Fitting == 2;
}

} // namespace

void RestartCheck::onAccepted(const Job &Value, TimePoint Now) {
  for (int Step = 0; Step < static_cast<int>(Value.Steps.size()); ++Step) {
    const JobStep &Spec = Value.Steps[static_cast<size_t>(Step)];
    if (!Spec.LongRunning || !Spec.Predecessors.empty())
      continue;
    for (int Index = 0; Index < Spec.Count; ++Index)
      m_tasks.try_emplace(
          {Value.Id, 0, Step, Index},
          CheckedTask{.Demand = Spec.reservation(), .LastRan = Now});
  }
}

void RestartCheck::onCancelling(const std::string &Job) {
  std::erase_if(m_tasks,
                [&](const auto &Task) { return Task.first.Job == Job; });
}

TimePoint RestartCheck::roomSince(const Resources &Demand,
                                  const RestartConditions &Conditions) {
  TimePoint &Since =
      m_roomSince
          .try_emplace({Demand.Millicores, Demand.MemoryMib}, Conditions.Now)
          .first->second;
  if (!hasRoomTwice(Demand, Conditions.FreeCapacity))
    Since = Conditions.Now;
  return Since;
}

void RestartCheck::check(const RestartConditions &Conditions,
                         JobOracle &Oracle) {
  TimePoint Now = Conditions.Now;
  m_lastFault = std::max(m_lastFault, Conditions.LastFault);
  std::map<std::pair<int64_t, int64_t>, TimePoint> RoomSince;
  for (const auto &[Name, Task] : m_tasks)
    RoomSince.try_emplace({Task.Demand.Millicores, Task.Demand.MemoryMib});
  for (auto &[Demand, Since] : RoomSince)
    Since = roomSince({.Millicores = Demand.first, .MemoryMib = Demand.second},
                      Conditions);
  for (auto &[Name, Task] : m_tasks) {
    // The run of a deadly task may be too short to be seen here.
    if (Oracle.deadly(Name) || Oracle.mayGiveUp(Name.Job))
      continue;
    if (!Oracle.workerOf(Name).empty()) {
      Task.LastRan = Now;
      Task.WasReported = false;
      continue;
    }
    TimePoint IdleSince =
        std::max({Task.LastRan + RestartTime, m_lastFault + CalmTime,
                  RoomSince[{Task.Demand.Millicores, Task.Demand.MemoryMib}]});
    if (Task.WasReported || Now <= IdleSince + IdleTime)
      continue;
    Task.WasReported = true;
    Oracle.report(fmt::format(
        "task {}.{}.{} has not run for {} ms although there is room", Name.Job,
        Name.Step, Name.Index, (Now - Task.LastRan) / milliseconds(1)));
  }
}

BASILCHUTE_NAMESPACE_END
