#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A worker that was dropped and stays away for this long counts as crashed.
constexpr milliseconds MaxUnconfirmed{60000};

} // namespace

void JobShard::Impl::addUnconfirmed(const WorkerSlot &Slot, JobEntry &Entry,
                                    const CountedCrash &Crash) {
  UnconfirmedCrash &Dropped = m_unconfirmed[Slot.Entry.Id];
  Dropped.Incarnation = Slot.Incarnation;
  Dropped.Address = Slot.Entry.Address;
  Dropped.Since = m_time.now();
  int Position = Entry.positionOf(Crash.Run.Task);
  Dropped.Tasks[Crash.Run.Task] = Crash;
  CrashHistory::suspect(crashRecord(Entry, Position), Crash);
}

int JobShard::Impl::unconfirmedCrashes(const TaskName &Unit) const {
  return static_cast<int>(std::count_if(
      m_unconfirmed.begin(), m_unconfirmed.end(), [&](const auto &Dropped) {
        return Dropped.second.Tasks.count(Unit) > 0;
      }));
}

// Another worker at the address shows that the process is gone.
void JobShard::Impl::confirmCrashes() {
  std::map<std::string, std::string_view> Confirmed;
  for (const auto &[Id, Dropped] : m_unconfirmed) {
    bool IsReplaced = std::any_of(
        m_fleet.begin(), m_fleet.end(),
        [&Id = Id, &Address = Dropped.Address](const WorkerEntry &Worker) {
          return Worker.Id != Id && Worker.Address == Address;
        });
    if (IsReplaced)
      Confirmed[Id] = "replaced";
    else if (m_time.now() > Dropped.Since + MaxUnconfirmed)
      Confirmed[Id] = "stays_away";
  }
  for (const auto &[Id, How] : Confirmed)
    resolveCrash(Id, true, How);
}

void JobShard::Impl::resolveCrash(const std::string &Worker, bool HasCrashed,
                                  std::string_view How) {
  auto It = m_unconfirmed.find(Worker);
  if (It == m_unconfirmed.end())
    return;
  UnconfirmedCrash Dropped = std::move(It->second);
  m_unconfirmed.erase(It);
  for (const auto &[Unit, Crash] : Dropped.Tasks) {
    log(HasCrashed ? "crash_confirmed" : "crash_refuted",
        fmt::format("worker={} job={} step={} index={} how={} after_ms={}",
                    Worker, Unit.Job, Unit.Step, Unit.Index, How,
                    (m_time.now() - Dropped.Since) / milliseconds(1)));
    auto [Entry, Position] = findRunning(Unit);
    if (!Entry)
      continue;
    CrashRecord &Record = crashRecord(*Entry, Position);
    if (HasCrashed) {
      bool IsGivenUp = CrashHistory::count(Record, Crash);
      markDirty(*Entry);
      if (Record.IsSuspect)
        m_suspects.insert(Unit);
      if (IsGivenUp)
        giveUp(*Entry);
      continue;
    }
    bool IsCleared = Record.IsSuspect && Record.Crashes == 0 &&
                     Record.Worker.empty() && unconfirmedCrashes(Unit) == 0 &&
                     !m_crashes.trialOf(Unit);
    if (IsCleared)
      clearSuspicion(*Entry, Position);
  }
}

BASILCHUTE_NAMESPACE_END
