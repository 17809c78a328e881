#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time from its sending for which a start order may be on its way.
constexpr milliseconds MaxOrderDelay{12000};
/// Delay before a stop order for an astray run is sent again.
constexpr milliseconds AstrayStopInterval{600};
/// The clock of another process is behind by more than this; answers of one
/// process may overtake each other by less.
constexpr milliseconds MaxClockStepBack{1000};

} // namespace

// An order that was answered is not on its way any more. If it was answered
// since the poll was sent, the next process may have carried it out and may not
// name the run yet.
std::set<RunKey> JobShard::Impl::runsForNext(const WorkerSlot &Slot,
                                             TimePoint Polled) const {
  std::set<RunKey> Out;
  for (const auto &[Key, Run] : Slot.Runs) {
    if (Run.Phase == RunPhase::Reserved)
      continue;
    bool MayStart = Run.mayBeOnItsWay()
                        ? m_time.now() < Run.ObservedSince + MaxOrderDelay
                        : Run.ConfirmedAt >= Polled;
    if (MayStart)
      Out.insert(Key);
  }
  return Out;
}

void JobShard::Impl::setAstray(WorkerSlot &Slot, const std::set<RunKey> &Runs) {
  for (const RunKey &Key : Runs) {
    ReservedRun &Run = Slot.Runs.at(Key);
    Run.SeenAtClock.reset();
    if (!Run.mayBeOnItsWay())
      continue;
    Run.IsAstray = true;
    Run.StopConfirmedAt.reset();
    Run.StopSentAt = TimePoint{};
    Slot.UnansweredStarts[Key] = Run.ObservedSince;
  }
}

void JobShard::Impl::addUnansweredStart(WorkerSlot &Slot, const RunKey &Key,
                                        TimePoint Sent) {
  std::erase_if(Slot.UnansweredStarts, [Now = m_time.now()](const auto &Start) {
    return Now >= Start.second + MaxOrderDelay;
  });
  Slot.UnansweredStarts[Key] = Sent;
}

// The former process could not carry these orders out any more, since their
// time on its clock was over, and their tasks may run elsewhere by now.
void JobShard::Impl::stopUnansweredStarts(WorkerSlot &Slot) {
  TimePoint Now = m_time.now();
  for (const auto &[Key, Sent] : Slot.UnansweredStarts) {
    if (Now >= Sent + MaxOrderDelay)
      continue;
    Slot.AstrayOrdersUntil =
        std::max(Slot.AstrayOrdersUntil, Sent + MaxOrderDelay);
    if (!Slot.Runs.count(Key) && canSendOrders())
      m_workers.stop(Slot.Entry,
                     {.Task = Key.first,
                      .Run = Key.second,
                      .Incarnation = Slot.Incarnation,
                      .Epoch = m_options.Epoch},
                     [](const Status &) {});
  }
}

bool JobShard::Impl::hasAstrayRuns(const WorkerSlot &Slot) {
  return std::any_of(Slot.Runs.begin(), Slot.Runs.end(), [](const auto &Run) {
    return Run.second.IsAstray && Run.second.mayBeOnItsWay();
  });
}

bool JobShard::Impl::awaitsPollAfterStop(const WorkerSlot &Slot) {
  return std::any_of(Slot.Runs.begin(), Slot.Runs.end(), [](const auto &Run) {
    return Run.second.IsAstray && Run.second.StopConfirmedAt;
  });
}

// The task waits until the process has confirmed that it will reject the run,
// and a later poll shows that it had not started the run before.
void JobShard::Impl::stopAstrayRuns(WorkerSlot &Slot) {
  TimePoint Now = m_time.now();
  for (auto &[Key, Run] : Slot.Runs) {
    bool IsDue = Run.IsAstray && Run.mayBeOnItsWay() && !Run.StopConfirmedAt &&
                 (Run.StopSentAt == TimePoint{} ||
                  Now > Run.StopSentAt + AstrayStopInterval);
    if (!IsDue || !canSendOrders())
      continue;
    log("astray_start",
        fmt::format("job={} step={} index={} run={} worker={} sent_ms={}",
                    Key.first.Job, Key.first.Step, Key.first.Index, Key.second,
                    Slot.Entry.Id,
                    (Now - Run.ObservedSince) / milliseconds(1)));
    Run.IsStopWanted = true;
    Run.StopSentAt = Now;
    m_workers.stop(Slot.Entry,
                   {.Task = Key.first,
                    .Run = Key.second,
                    .Incarnation = Slot.Incarnation,
                    .Epoch = m_options.Epoch},
                   [Weak = weak_from_this(), Id = Slot.Entry.Id,
                    Incarnation = Slot.Incarnation,
                    Stopped = Key](const Status &Answer) {
                     if (auto Self = Weak.lock())
                       Self->onAstrayStop(Id, Incarnation, Stopped, Answer);
                   });
  }
}

// The wait ends with the time for which the order can be on its way, if no stop
// order is answered.
bool JobShard::Impl::isKeptOut(const ReservedRun &Run, TimePoint Polled) {
  if (!Run.IsAstray)
    return false;
  return (Run.StopConfirmedAt && *Run.StopConfirmedAt <= Polled) ||
         Polled >= Run.ObservedSince + MaxOrderDelay;
}

// If a process after this one has confirmed it, the next poll shows that.
void JobShard::Impl::onAstrayStop(const std::string &Worker,
                                  milliseconds Incarnation, const RunKey &Key,
                                  const Status &Answer) {
  auto Slot = m_slots.find(Worker);
  bool IsConfirmed = Answer.has_value() && Slot != m_slots.end() &&
                     Slot->second.Incarnation == Incarnation;
  if (!IsConfirmed)
    return;
  auto Run = Slot->second.Runs.find(Key);
  if (Run == Slot->second.Runs.end() || !Run->second.IsAstray)
    return;
  Run->second.StopConfirmedAt = m_time.now();
  Slot->second.NextPollAt = m_time.now();
  pollWorkers();
}

// An order that arrives after its run was stopped is rejected, but extends the
// leases of the other runs.
void JobShard::Impl::updateAstrayLeases(WorkerSlot &Slot) const {
  TimePoint Now = m_time.now();
  if (Now < Slot.AstrayOrdersUntil)
    Slot.AstrayLeaseEnd = Now + maxLocalDuration(m_options.MaxWorkerLease);
  Slot.LeaseEnd = std::max(Slot.LeaseEnd, Slot.AstrayLeaseEnd);
}

void JobShard::Impl::checkStartClock(WorkerSlot &Slot, const RunKey &Key,
                                     const StartReply &Answer) const {
  bool TakesLease = Answer.Outcome == StartOutcome::Started ||
                    Answer.Outcome == StartOutcome::StaleRun ||
                    Answer.Outcome == StartOutcome::NoRoom;
  if (!TakesLease || Answer.Clock + MaxClockStepBack >= Slot.AliveClock)
    return;
  TimePoint Now = m_time.now();
  log("other_process_answered",
      fmt::format("job={} step={} index={} run={} worker={} clock_ms={} "
                  "expected_ms={}",
                  Key.first.Job, Key.first.Step, Key.first.Index, Key.second,
                  Slot.Entry.Id, Answer.Clock.count(),
                  Slot.clockAt(Now).count()));
  Slot.AstrayLeaseEnd = Now + maxLocalDuration(m_options.MaxWorkerLease);
  Slot.LeaseEnd = std::max(Slot.LeaseEnd, Slot.AstrayLeaseEnd);
  Slot.NextPollAt = Now;
}

BASILCHUTE_NAMESPACE_END
