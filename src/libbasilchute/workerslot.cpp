#include "libbasilchute/workerslot.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Part of a reservation that long-running tasks use on average. Other tasks
/// use their whole reservation.
constexpr double LongRunningUsage = 0.5;
/// If the measured headroom is lower than the expected one, this part of the
/// difference is assumed to persist, up to a bound.
constexpr double UnexplainedPart = 0.6;
constexpr double MaxUnexplained = 0.8;
/// Upper bound on the ratio of this host's clock rate to another clock's.
constexpr double MaxClockRateRatio = 1.03;
constexpr milliseconds LeaseMargin{150};

} // namespace

nanoseconds maxLocalDuration(milliseconds Span) {
  return std::chrono::duration_cast<nanoseconds>(Span * MaxClockRateRatio) +
         LeaseMargin;
}

std::string_view runOutcomeName(RunOutcome Outcome) {
  switch (Outcome) {
  case RunOutcome::Done:
    return "done";
  case RunOutcome::Failed:
    return "failed";
  case RunOutcome::Stopped:
    return "stopped";
  case RunOutcome::LeaseExpired:
    return "lapsed";
  case RunOutcome::GangMemberEnded:
    return "broken";
  case RunOutcome::GangTimedOut:
    return "alone";
  }
  return "unknown";
}

milliseconds ReservedRun::timeOverTarget(TimePoint Now) const {
  if (!OverTargetSince)
    return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(Now - *OverTargetSince);
}

void WorkerSlot::setIncarnation(milliseconds Answered) {
  if (Incarnation != Answered)
    FormerIncarnation = Incarnation;
  Incarnation = Answered;
}

// A worker may come back on a machine whose clock is behind, so that the start
// of the former incarnation can be the later one.
bool WorkerSlot::isEntryCurrent() const {
  if (Entry.Incarnation.count() == 0)
    return true;
  return Entry.Incarnation >= Incarnation &&
         Entry.Incarnation != FormerIncarnation;
}

void WorkerSlot::setAlive(milliseconds Clock, TimePoint Now) {
  AliveAt = Now;
  AliveClock = std::max(AliveClock, Clock);
  SilentAt = TimePoint{};
  LostRuns.clear();
}

void WorkerSlot::setSilent(TimePoint Now) {
  if (SilentAt == TimePoint{})
    SilentAt = Now;
}

milliseconds WorkerSlot::knownAge(const ReservedRun &Run) const {
  if (!Run.SeenAtClock)
    return milliseconds(0);
  return std::max(milliseconds(0), AliveClock - *Run.SeenAtClock);
}

void WorkerSlot::setStored(uint64_t Number) {
  LastStoredCompletion = std::max(LastStoredCompletion, Number);
  UnstoredCompletions.erase(
      UnstoredCompletions.begin(),
      UnstoredCompletions.upper_bound(LastStoredCompletion));
}

void WorkerSlot::setClock(milliseconds Clock, TimePoint Now) {
  m_workerClock = Clock;
  m_answeredAt = Now;
}

milliseconds WorkerSlot::clockAt(TimePoint Now) const {
  return m_workerClock +
         std::chrono::duration_cast<milliseconds>(Now - m_answeredAt);
}

Resources WorkerSlot::freeCapacity() const {
  Resources Out = Entry.Capacity;
  for (const auto &[Key, Run] : Runs)
    Out -= reservedBy(Run);
  return Out;
}

Resources WorkerSlot::eventualFreeCapacity() const {
  Resources Out = Entry.Capacity;
  for (const auto &[Key, Run] : Runs)
    if (Run.LongRunning)
      Out -= reservedBy(Run);
  return Out;
}

double WorkerSlot::reservedLoad() const {
  double Used = 0;
  for (const auto &[Key, Run] : Runs)
    Used += (Run.LongRunning ? LongRunningUsage : 1.0) *
            static_cast<double>(reservedBy(Run).Millicores);
  return Used / millicores();
}

double WorkerSlot::load() const {
  double FillUse = 0;
  for (const auto &[Key, Run] : Runs)
    FillUse += static_cast<double>(Run.FullPaceMillicores);
  return reservedLoad() + FillUse / millicores();
}

double WorkerSlot::millicores() const {
  return static_cast<double>(std::max<int64_t>(Entry.Capacity.Millicores, 1));
}

double WorkerSlot::leftByReservations() const {
  return millicores() * (1 - reservedLoad());
}

// A run that is stopping does not tell whether it gets what it asks for.
void WorkerSlot::observeFillRuns(FillUsePeaks &Peaks, TimePoint Now) {
  std::vector<FillReport> Reports;
  for (const auto &[Key, Run] : Runs) {
    if (Run.FullPaceMillicores == 0)
      continue;
    TimePoint Since = std::max(Run.ObservedSince, Run.PacedAt);
    FillReport Report{.AllowedMillicores =
                          Run.FullPaceMillicores * Run.Pace / 100,
                      .UsedMillicores = Run.Usage};
    if (Run.Phase == RunPhase::Running)
      Report.Age = std::chrono::duration_cast<milliseconds>(Now - Since);
    Peaks.observe(Run.Kind, Report, Now);
    Report.AllowedMillicores =
        static_cast<int64_t>(static_cast<double>(Report.AllowedMillicores) *
                             Peaks.partOf(Run.Kind, Now));
    Reports.push_back(Report);
  }
  if (!Reports.empty())
    Left.observe(Reports, leftByReservations(), Now);
}

// On a worker that has shrunk, runs may have used more than it has now.
FillRoom WorkerSlot::fillRoom(TimePoint Now) const {
  FillRoom Out(
      std::min(Left.millicores(leftByReservations(), Now), millicores()));
  for (const auto &[Key, Run] : Runs)
    if (Run.FullPaceMillicores > 0 && Run.Phase != RunPhase::Stopping)
      Out.add({.Millicores = static_cast<double>(Run.FullPaceMillicores),
               .Weight = Run.FillWeight});
  return Out;
}

FillMoveRun WorkerSlot::fillMoveRun(const ReservedRun &Run,
                                    double Estimate) const {
  FillRoom Room(leftByReservations());
  for (const auto &[Key, Other] : Runs)
    if (&Other != &Run && Other.FullPaceMillicores > 0)
      Room.add({.Millicores = static_cast<double>(Other.FullPaceMillicores),
                .Weight = Other.FillWeight});
  auto Millicores = static_cast<double>(Run.FullPaceMillicores);
  FillTask Task{.Millicores = Millicores, .Weight = Run.FillWeight};
  return {.Step = Run.Group,
          .Millicores = Millicores,
          .Weight = Run.FillWeight,
          .Usage = Run.Meter.usage(),
          .LaterUsage = Run.Meter.laterUsage(Room.shareFor(Task) * Millicores),
          .RemainingWork = Run.Meter.remainingWork(Estimate),
          .WorkSinceCheckpoint = Run.Meter.workSinceCheckpoint(),
          .ObservedFor = Run.Meter.observedFor(),
          .CanMove = Run.Phase == RunPhase::Running};
}

int64_t WorkerSlot::usedFillMillicores() const {
  int64_t Out = 0;
  for (const auto &[Key, Run] : Runs)
    if (Run.FullPaceMillicores > 0)
      Out += Run.Usage;
  return Out;
}

size_t WorkerSlot::runsOverTarget() const {
  return static_cast<size_t>(
      std::count_if(Runs.begin(), Runs.end(), [](const auto &Run) {
        return Run.second.OverTargetSince.has_value();
      }));
}

bool WorkerSlot::hasLabel(const std::string &Label) const {
  return Entry.hasLabel(Label);
}

void WorkerSlot::resetIncarnation() {
  UnstoredCompletions.clear();
  LastSeenCompletion = 0;
  LastStoredCompletion = 0;
  LastAcknowledgedCompletion = 0;
  IsFenced = false;
  ConsecutiveFailures = 0;
  AliveClock = milliseconds(0);
  SilentAt = TimePoint{};
  LostRuns.clear();
  Left = ProcessorLeft();
}

std::vector<ServingLoad>
WorkerSlot::servingLoads(const InterferenceModel &Model, TimePoint Now,
                         milliseconds Ahead) const {
  std::vector<ServingLoad> Out;
  FillShares Shares = measuredFillShares();
  for (const auto &[Key, Run] : Runs) {
    if (Run.TailTarget.count() == 0)
      continue;
    ServingLoad Load{.Kind = Run.Kind,
                     .Headroom = Model.headroom(Run.Group, Now, Ahead),
                     .TimeOverTarget = Run.timeOverTarget(Now)};
    // A difference that the model does not explain is attributed to this worker
    // and lowers the forecast of this run only.
    if (Run.Percent == 100 && Run.Usage > 0) {
      double Measured = static_cast<double>(Run.TailTarget.count()) /
                        static_cast<double>(Run.Usage);
      double Unexplained =
          Measured - Model.expectedHeadroom(Run.Kind, Run.Group, Now, Shares);
      Load.Headroom +=
          std::clamp(Unexplained * UnexplainedPart, -MaxUnexplained, 0.0);
    }
    Out.push_back(Load);
  }
  return Out;
}

FillShares WorkerSlot::measuredFillShares() const {
  FillShares Out;
  double Capacity = millicores();
  for (const auto &[Key, Run] : Runs)
    if (Run.FullPaceMillicores > 0)
      Out.push_back({Run.Kind, static_cast<double>(Run.Usage) / Capacity});
  return Out;
}

FillShares WorkerSlot::plannedFillShares() const {
  FillShares Out;
  double Capacity = millicores();
  for (const auto &[Key, Run] : Runs)
    if (Run.FullPaceMillicores > 0)
      Out.push_back({Run.Kind, static_cast<double>(Run.FullPaceMillicores) *
                                   Run.Pace / 100 / Capacity});
  return Out;
}

BASILCHUTE_NAMESPACE_END
