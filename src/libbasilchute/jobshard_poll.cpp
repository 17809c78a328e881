#include "libbasilchute/jobestimate.h"
#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Delay before a poll is repeated that was not answered. The first ones are
/// repeated quickly, since a takeover waits for them.
constexpr milliseconds MissedPollRetryDelay{250};
constexpr int MaxQuickRetries = 8;
/// Delay after more unanswered polls: a worker that answers again is seen
/// within about this time.
constexpr milliseconds SlowPollRetryDelay{1000};
constexpr milliseconds UnstoredPollInterval{300};
/// Maximum time that a poll waits at the worker while the owner needs evidence
/// for its orders, or gives short leases: several polls fit into the time for
/// which one counts.
constexpr milliseconds MaxShortPollWait{300};
/// Time for which leases on a worker are extended that has left the list. With
/// the lease, and the time by which hosts see the list differently, it is
/// shorter than the time for which JobHost remembers the worker.
constexpr milliseconds MaxUnlistedExtension{2000};
/// Minimum time between two requests of the list of workers.
constexpr milliseconds FleetRefreshInterval{500};
/// Delay before a failed task is started again.
constexpr milliseconds FailedRestartDelay{20};
/// Consecutive failed runs after which no tasks are started on a worker for
/// NoStartAfterFailures.
constexpr int SuspectAfterFailures = 2;
constexpr milliseconds NoStartAfterFailures{3000};
/// A trial keeps other tasks off its worker, so that its end is awaited
/// closely.
constexpr milliseconds TrialPollWait{100};

} // namespace

void JobShard::Impl::pollWorkers() {
  if (!canSendOrders())
    return;
  TimePoint Now = m_time.now();
  bool MayFence = isSoleOwner();
  for (auto &[Id, Slot] : m_slots) {
    if (!Slot.IsFenced && !MayFence)
      continue;
    // Every poll returns all completions that are not acknowledged yet. While
    // the store is unavailable and they cannot be stored, polls continue at a
    // longer interval, to receive new completions and to extend the leases.
    bool HasUnstored = Slot.LastSeenCompletion > Slot.LastStoredCompletion;
    TimePoint NextPoll =
        HasUnstored
            ? std::max(Slot.NextPollAt, Slot.LastAnswer + UnstoredPollInterval)
            : Slot.NextPollAt;
    if (!Slot.IsPollPending && Now >= NextPoll)
      poll(Slot);
  }
}

milliseconds JobShard::Impl::pollWaitFor(const WorkerSlot &Slot) const {
  if (!Slot.IsFenced || Slot.MissedPolls > 0 ||
      Slot.LastSeenCompletion > Slot.LastStoredCompletion ||
      hasAstrayRuns(Slot))
    return milliseconds(0);
  bool HasFill = false;
  bool HasServing = false;
  milliseconds Wait = m_options.MaxPollWait;
  if (!isSoleOwner() || Slot.Entry.IsDraining)
    Wait = std::min(Wait, MaxShortPollWait);
  milliseconds WorkerClock = Slot.clockAt(m_time.now());
  for (const auto &[Key, Run] : Slot.Runs) {
    HasFill |= Run.FullPaceMillicores > 0;
    HasServing |= Run.TailTarget.count() > 0;
    if (Run.Phase == RunPhase::Unconfirmed)
      Wait = std::min(
          Wait, std::max(Run.StartDeadline - WorkerClock + milliseconds(20),
                         milliseconds(100)));
  }
  if (HasFill && (HasServing || m_options.MeasuredFill))
    Wait = std::min(Wait, m_options.MaxPollWaitMixed);
  if (m_crashes.isTrialWorker(Slot.Entry.Id))
    Wait = std::min(Wait, TrialPollWait);
  return Wait;
}

// A poll without an answer may still have extended the leases. Until a poll is
// answered, further polls do not extend them, so that the leases on an
// unresponsive worker expire. The next owner does not know a worker that left
// the list long ago, so that no run may be left on it by then. The worker's
// clock is not known well enough if it has answered nothing for a lease's time.
bool JobShard::Impl::canExtendLeases(const WorkerSlot &Slot) const {
  bool IsKnown =
      Slot.IsListed || m_time.now() < Slot.UnlistedSince + MaxUnlistedExtension;
  return IsKnown && Slot.IsFenced && Slot.MissedPolls == 0 &&
         m_time.now() < Slot.LastAnswer + m_options.Leases.Sole;
}

std::optional<milliseconds> JobShard::Impl::leaseToGive() const {
  if (isSoleOwner())
    return m_options.Leases.Sole;
  // A new owner relies on the number that it may have read.
  size_t Counted = listedWorkers();
  if (m_options.PublishedWorkers) {
    size_t Published = m_options.PublishedWorkers();
    if (Published == 0)
      return std::nullopt;
    Counted = std::max(Counted, Published);
  }
  if (m_leaseEvidence.isSufficient(Counted, m_time.now()))
    return m_options.Leases.OnEvidence;
  return std::nullopt;
}

size_t JobShard::Impl::listedWorkers() const {
  return static_cast<size_t>(
      std::count_if(m_slots.begin(), m_slots.end(),
                    [](const auto &Slot) { return Slot.second.IsListed; }));
}

void JobShard::Impl::poll(WorkerSlot &Slot) {
  TimePoint Now = m_time.now();
  PollOrder Order{.Epoch = m_options.Epoch,
                  .Incarnation = Slot.Incarnation,
                  .Wait = pollWaitFor(Slot)};
  // After an unanswered poll the worker may be a new incarnation that numbers
  // its completions from 1 again, so none of them may be acknowledged.
  if (Slot.MissedPolls == 0)
    Order.AcknowledgedCompletions = Slot.LastStoredCompletion;
  std::optional<milliseconds> Lease =
      canExtendLeases(Slot) ? leaseToGive() : std::nullopt;
  if (Lease && Slot.Entry.IsDraining)
    Lease = std::min(*Lease, m_options.Leases.Draining);
  if (Lease) {
    Order.LeaseUntil = Slot.clockAt(Now) + *Lease;
    Slot.LeaseEnd = std::max(Slot.LeaseEnd, Now + maxLocalDuration(*Lease));
  }
  Slot.IsPollPending = true;
  ++m_counts.Polls;
  m_workers.poll(Slot.Entry, Order,
                 [Weak = weak_from_this(), Worker = Slot.Entry,
                  Now](Result<PollReply> Answer) {
                   if (auto Self = Weak.lock())
                     Self->onPoll(Worker, Now, std::move(Answer));
                 });
}

void JobShard::Impl::onPoll(const WorkerEntry &Polled, TimePoint Sent,
                            Result<PollReply> Answer) {
  const std::string &Worker = Polled.Id;
  auto It = m_slots.find(Worker);
  if (It == m_slots.end())
    return;
  WorkerSlot &Slot = It->second;
  Slot.IsPollPending = false;
  if (!Answer.has_value()) {
    onMissedPoll(Slot, Polled.Address, Answer.error());
    return;
  }
  PollReply &Reply = Answer.value();
  TimePoint Now = m_time.now();
  bool IsNext =
      Slot.Incarnation.count() != 0 && Reply.Incarnation != Slot.Incarnation;
  if (IsNext) {
    std::set<RunKey> Astray = runsForNext(Slot, Sent);
    loseIncarnation(Slot, "worker_reborn", Now - Reply.Clock, Astray);
    setAstray(Slot, Astray);
  }
  if (Slot.Incarnation != Reply.Incarnation || Slot.MissedPolls > 0)
    resolveExposures(Slot, Reply.Incarnation);
  if (auto Dropped = m_unconfirmed.find(Worker); Dropped != m_unconfirmed.end())
    resolveCrash(Worker, Dropped->second.Incarnation != Reply.Incarnation,
                 "worker_answers");
  Slot.setIncarnation(Reply.Incarnation);
  if (IsNext)
    stopUnansweredStarts(Slot);
  if (!Slot.isEntryCurrent())
    refreshFleet();
  Slot.setAlive(Reply.Clock, Now);
  Slot.setClock(Reply.Clock, Now);
  Slot.LastAnswer = Now;
  Slot.MissedPolls = 0;
  Slot.IsProcessGone = false;
  bool IsFirstPoll = !Slot.IsFenced;
  Slot.IsFenced = true;
  // Nobody else can extend the leases any more.
  if (IsFirstPoll)
    Slot.LeaseEnd =
        std::min(Slot.LeaseEnd, Now + maxLocalDuration(m_options.Leases.Sole));
  updateAstrayLeases(Slot);
  if (Slot.IsListed)
    m_leaseEvidence.onAnswer(Worker, Reply.Incarnation, Sent, isSoleOwner());
  // A run of a previous owner may be among the completions that follow.
  if (!Reply.HasMoreCompletions)
    m_previousRuns.resolve(Worker);
  std::sort(Reply.Completions.begin(), Reply.Completions.end(),
            [](const Completion &A, const Completion &B) {
              return A.Number < B.Number;
            });
  for (const Completion &Report : Reply.Completions)
    onCompletion(Slot, Report);
  for (const RunningTask &Running : Reply.Running)
    onRunningTask(Slot, Running);
  if (!Reply.HasMoreCompletions)
    releaseMissingRuns(Slot, Reply, Sent);
  stopAstrayRuns(Slot);
  stopLaggingRuns(Slot);
  observeInterference(Slot);
  observeFillRuns(Slot);
  updatePaces(Slot);
  Slot.NextPollAt = IsFirstPoll || awaitsPollAfterStop(Slot)
                        ? Now
                        : std::max(Now, Sent + m_options.MinPollInterval);
  pollWorkers();
  commit();
  place();
}

// The feed of the list may be late, and the list itself names a new incarnation
// only once the worker has reported there.
void JobShard::Impl::refreshFleet() {
  if (!m_options.RefreshFleet || m_time.now() < m_nextFleetRefresh)
    return;
  m_nextFleetRefresh = m_time.now() + FleetRefreshInterval;
  m_options.RefreshFleet();
}

void JobShard::Impl::onMissedPoll(WorkerSlot &Slot, const std::string &Address,
                                  const Error &Why) {
  TimePoint Now = m_time.now();
  if (Why.Code == ResultCode::StaleEpoch) {
    loseOwnership("fenced");
    return;
  }
  ++Slot.MissedPolls;
  Slot.setSilent(Now);
  if (Slot.MissedPolls == 1)
    storeExposures(Slot);
  if (Slot.MissedPolls == 1)
    log("worker_silent",
        fmt::format("worker={} shard={} result={} message=\"{}\"",
                    Slot.Entry.Id, m_options.Shard, resultCodeName(Why.Code),
                    Why.Message));
  Slot.NextPollAt =
      Now + (Slot.MissedPolls <= MaxQuickRetries ? MissedPollRetryDelay
                                                 : SlowPollRetryDelay);
  if (Why.Code == ResultCode::WrongIncarnation) {
    onOtherWorkerAt(Address, Slot);
    return;
  }
  // A worker can be missing from the list because it is cut off, also if it was
  // draining, and still run its tasks.
  if (hasLeaseExpired(Slot) && !Slot.Runs.empty()) {
    Slot.LostRuns = silentWorker(Slot).Runs;
    releaseAllRuns(Slot, "lease_over", {});
  }
}

// The process that has answered this owner is gone. Another one may not be: by
// a list that is old or was not followed, the worker may have been called at a
// former address, and run work of the previous owner at its present one.
void JobShard::Impl::onOtherWorkerAt(const std::string &Address,
                                     WorkerSlot &Slot) {
  bool IsListCurrent =
      isFleetComplete() &&
      !(m_options.MayHaveMoved && m_options.MayHaveMoved(Slot.Entry.Id));
  bool IsGone = Slot.Entry.Address == Address &&
                (Slot.Incarnation.count() != 0 || IsListCurrent);
  if (!IsGone) {
    log("former_address_called",
        fmt::format("worker={} shard={} address={}", Slot.Entry.Id,
                    m_options.Shard, Address));
    refreshFleet();
    return;
  }
  if (Slot.Incarnation.count() == 0)
    resolveExposures(Slot, milliseconds(-1));
  loseIncarnation(Slot, "worker_replaced", m_time.now(), {});
  m_previousRuns.resolve(Slot.Entry.Id);
}

// An owner that may have lost the shard must not conclude that the leases have
// expired: the new owner may have polled the worker and extended them.
bool JobShard::Impl::hasLeaseExpired(const WorkerSlot &Slot) const {
  return m_time.now() > Slot.LeaseEnd && isSoleOwner();
}

void JobShard::Impl::releaseAllRuns(WorkerSlot &Slot, std::string_view Why,
                                    const std::set<RunKey> &Kept) {
  std::vector<RunKey> Keys;
  for (const auto &[Key, Run] : Slot.Runs)
    if (!Kept.count(Key))
      Keys.push_back(Key);
  if (!Keys.empty())
    log("runs_lost", fmt::format("worker={} runs={} why={}", Slot.Entry.Id,
                                 Keys.size(), Why));
  for (const RunKey &Key : Keys)
    releaseRun(Slot, Key, Why);
}

// A previous owner can see too that the incarnation is gone, and may start its
// tasks again on a worker that has not answered this owner yet.
void JobShard::Impl::loseIncarnation(WorkerSlot &Slot, std::string_view Why,
                                     TimePoint NextSince,
                                     const std::set<RunKey> &Kept) {
  for (const auto &[Key, Run] : Slot.Runs)
    m_previousRuns.clearReported(Key.first);
  if (Slot.Incarnation.count() != 0)
    log("worker_process_ended",
        fmt::format("worker={} shard={} why={} born_ms={} runs={} "
                    "acknowledged={} not_stored={}",
                    Slot.Entry.Id, m_options.Shard, Why,
                    Slot.Incarnation.count(), Slot.Runs.size(),
                    Slot.LastStoredCompletion,
                    Slot.LastSeenCompletion - Slot.LastStoredCompletion));
  bool MayHaveLapsed = !Slot.LostRuns.empty() && NextSince > Slot.LeaseEnd;
  std::vector<JobEntry *> GivenUp = countCrash(
      Slot, Why, MayHaveLapsed ? CrashDoubt::MayHaveLapsed : CrashDoubt::None);
  releaseAllRuns(Slot, Why, Kept);
  Slot.resetIncarnation();
  for (JobEntry *Entry : GivenUp)
    giveUp(*Entry);
}

void JobShard::Impl::releaseRun(WorkerSlot &Slot, const RunKey &Key,
                                std::string_view Why) {
  const ReservedRun &Run = Slot.Runs.at(Key);
  bool NeverBegan = Run.mayBeOnItsWay();
  auto SinceConfirmed = (m_time.now() - Run.ConfirmedAt) / milliseconds(1);
  Slot.Runs.erase(Key);
  JobEntry *Entry = find(Key.first.Job);
  int Position = Entry ? Entry->positionOf(Key.first) : -1;
  if (Position < 0)
    return;
  TaskState &Task = Entry->Tasks[static_cast<size_t>(Position)];
  bool IsCurrentRun = Task.Phase == TaskPhase::Placed &&
                      Task.LastRun == Key.second &&
                      Task.Worker == Slot.Entry.Id;
  if (!IsCurrentRun)
    return;
  log("run_gone",
      fmt::format("job={} step={} index={} run={} worker={} why={} "
                  "confirmed_ms={}",
                  Key.first.Job, Key.first.Step, Key.first.Index, Key.second,
                  Slot.Entry.Id, Why, NeverBegan ? -1 : SinceConfirmed));
  setWaiting(*Entry, Position, milliseconds(0));
  Task.LastRunNeverBegan = NeverBegan;
}

void JobShard::Impl::onCompletion(WorkerSlot &Slot, const Completion &Report) {
  if (Report.Number <= Slot.LastSeenCompletion)
    return;
  Slot.LastSeenCompletion = Report.Number;
  Slot.UnstoredCompletions.emplace(Report.Number, Report.Task);
  updateWorkerHealth(Slot, Report.Outcome);
  RunKey Key{Report.Task, Report.Run};
  auto RunIt = Slot.Runs.find(Key);
  std::optional<ReservedRun> Run;
  if (RunIt != Slot.Runs.end()) {
    Run = RunIt->second;
    Slot.Runs.erase(RunIt);
  }
  JobEntry *Entry = find(Report.Task.Job);
  int Position = Entry ? Entry->positionOf(Report.Task) : -1;
  if (Position < 0) {
    log("completion_ignored",
        fmt::format("job={} step={} index={} run={} worker={} number={} how={} "
                    "why=unknown_job",
                    Report.Task.Job, Report.Task.Step, Report.Task.Index,
                    Report.Run, Slot.Entry.Id, Report.Number,
                    runOutcomeName(Report.Outcome)));
    return;
  }
  if (Report.Outcome == RunOutcome::Done)
    ++m_counts.RunsSucceeded;
  else
    ++m_counts.RunsNotSucceeded;
  TaskState &Task = Entry->Tasks[static_cast<size_t>(Position)];
  if (Run)
    onSuspectEnded(*Entry, Position, Report.Outcome);
  if (Run && Report.Outcome == RunOutcome::Done)
    recordRunTime(*Run, *Entry, Position);
  if (!Report.Checkpoint.empty() && Report.Run >= Task.LastRun &&
      Entry->stepOf(Position).Checkpointing)
    Task.Checkpoint = Report.Checkpoint;
  if (isFinal(Entry->State) || Task.Phase == TaskPhase::Done)
    return;
  applyCompletion(*Entry, Position, Slot, Report);
}

void JobShard::Impl::applyCompletion(JobEntry &Entry, int Position,
                                     const WorkerSlot &Slot,
                                     const Completion &Report) {
  TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  const JobStep &Step = Entry.stepOf(Position);
  bool IsCurrentRun =
      Task.Phase == TaskPhase::Waiting ||
      (Task.LastRun == Report.Run && Task.Worker == Slot.Entry.Id);
  Task.LastRun = std::max(Task.LastRun, Report.Run);
  markDirty(Entry);
  if (Report.Outcome == RunOutcome::Done && !Step.LongRunning) {
    removeWaiting(Entry, Position);
    Entry.markStarted();
    m_rates.addFinished(taskWork(Step), Step.IsFill);
    if (Step.Gang)
      finishGang(Entry, Position);
    else
      Entry.finish(Position);
    if (Entry.allDone())
      endJob(Entry, JobState::Completed, "all_done");
    else
      queueReady(Entry);
    return;
  }
  log("run_ended",
      fmt::format("job={} step={} index={} run={} worker={} how={}",
                  Entry.Spec.Id, Report.Task.Step, Report.Task.Index,
                  Report.Run, Slot.Entry.Id, runOutcomeName(Report.Outcome)));
  if (Report.Outcome == RunOutcome::Failed &&
      Entry.addFailedRun(Position, Report.Run)) {
    // A previous owner stores that a long-running task has failed before it
    // starts the task again, and had not stored it.
    if (Step.LongRunning && !Step.Gang && Report.Run >= Task.StoredRun)
      m_previousRuns.setReported(Report.Task);
    countFailure(Entry, Position, Report);
    if (isFinal(Entry.State))
      return;
  }
  if (IsCurrentRun)
    setWaiting(Entry, Position,
               Report.Outcome == RunOutcome::Failed ? FailedRestartDelay
                                                    : milliseconds(0));
}

void JobShard::Impl::countFailure(JobEntry &Entry, int Position,
                                  const Completion &Report) {
  TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  const JobQueue *Queue = queueOf(Entry);
  if (!Queue || Entry.stepOf(Position).LongRunning)
    return;
  std::set<int> FailedRuns = Task.FailedRuns;
  // All members of a gang are started with the same run number, so a run of the
  // gang counts as failed once.
  if (Entry.stepOf(Position).Gang)
    for (int MemberPosition : Entry.groupPositions(Position)) {
      const TaskState &Member =
          Entry.Tasks[static_cast<size_t>(MemberPosition)];
      FailedRuns.insert(Member.FailedRuns.begin(), Member.FailedRuns.end());
    }
  if (static_cast<int>(FailedRuns.size()) >= Queue->MaxAttempts)
    endJob(Entry, JobState::Failed,
           fmt::format("task {}.{} failed {} times", Report.Task.Step,
                       Report.Task.Index, FailedRuns.size()));
}

void JobShard::Impl::updateWorkerHealth(WorkerSlot &Slot, RunOutcome Outcome) {
  if (Outcome == RunOutcome::Done)
    Slot.ConsecutiveFailures = 0;
  if (Outcome != RunOutcome::Failed)
    return;
  if (++Slot.ConsecutiveFailures < SuspectAfterFailures)
    return;
  Slot.NextStartAt =
      std::max(Slot.NextStartAt, m_time.now() + NoStartAfterFailures);
  log("worker_suspected", fmt::format("worker={} failures_in_a_row={}",
                                      Slot.Entry.Id, Slot.ConsecutiveFailures));
}

void JobShard::Impl::onRunningTask(WorkerSlot &Slot, const RunningTask &Run) {
  RunKey Key{Run.Task, Run.Run};
  auto It = Slot.Runs.find(Key);
  if (It == Slot.Runs.end()) {
    adoptRun(Slot, Run);
    return;
  }
  ReservedRun &Reservation = It->second;
  TimePoint Now = m_time.now();
  if (Reservation.Phase != RunPhase::Stopping)
    Reservation.Phase = RunPhase::Running;
  Reservation.IsAstray = false;
  repeatStop(Slot, Key);
  Reservation.Percent = Run.Percent;
  Reservation.Usage = Run.Usage;
  if (!Reservation.SeenAtClock)
    Reservation.SeenAtClock = Slot.AliveClock;
  bool IsOverTarget = Reservation.TailTarget.count() > 0 &&
                      Reservation.Percent == 100 &&
                      Run.Usage > Reservation.TailTarget.count();
  if (!IsOverTarget)
    Reservation.OverTargetSince.reset();
  else if (!Reservation.OverTargetSince)
    Reservation.OverTargetSince = Now;
  JobEntry *Entry = find(Run.Task.Job);
  int Position = Entry ? Entry->positionOf(Run.Task) : -1;
  if (Position < 0)
    return;
  onSuspectSeen(*Entry, Position);
  TaskState &Task = Entry->Tasks[static_cast<size_t>(Position)];
  bool HasNewCheckpoint = !Run.Checkpoint.empty() && Task.LastRun == Run.Run &&
                          Task.Checkpoint != Run.Checkpoint;
  if (HasNewCheckpoint)
    Task.Checkpoint = Run.Checkpoint;
  if (Reservation.FullPaceMillicores > 0)
    Reservation.Meter.onReport(Run.Usage, Run.Percent, HasNewCheckpoint, Now);
}

// Takes over a run that this owner has no record of: the previous owner started
// it, or a start order of this owner took effect after the owner had given up
// on the order.
void JobShard::Impl::adoptRun(WorkerSlot &Slot, const RunningTask &Run) {
  RunKey Key{Run.Task, Run.Run};
  ReservedRun Reservation{.Phase = RunPhase::Running,
                          .ReservesAll = true,
                          .ConfirmedAt = m_time.now(),
                          .Percent = Run.Percent,
                          .Usage = Run.Usage,
                          .ObservedSince = m_time.now(),
                          .InitialPercent = Run.Percent,
                          .IsAdopted = true,
                          .SeenAtClock = Slot.AliveClock};
  JobEntry *Entry = find(Run.Task.Job);
  int Position = Entry ? Entry->positionOf(Run.Task) : -1;
  bool IsWanted = false;
  if (Position >= 0) {
    const JobStep &Step = Entry->stepOf(Position);
    Reservation.Reserved = Step.reservation();
    Reservation.ReservesAll = false;
    Reservation.LongRunning = Step.LongRunning;
    // A failed run of another task, on a worker that has not answered yet, may
    // still count as an attempt.
    if (Step.LongRunning)
      m_previousRuns.setReported(Run.Task);
    Reservation.FullPaceMillicores = Step.IsFill ? Step.Demand.Millicores : 0;
    Reservation.TailTarget = Step.TailTarget;
    Reservation.Kind = Entry->Kinds[static_cast<size_t>(Run.Task.Step)];
    Reservation.Class = Entry->Classes[static_cast<size_t>(Run.Task.Step)];
    Reservation.Group = Entry->Groups[static_cast<size_t>(Run.Task.Step)];
    Reservation.Expected = m_plan.expectedTime(*Entry, Position);
    TaskState &Task = Entry->Tasks[static_cast<size_t>(Position)];
    IsWanted = !isFinal(Entry->State) && Task.Phase == TaskPhase::Waiting &&
               !Task.FailedRuns.count(Run.Run);
    if (IsWanted) {
      removeWaiting(*Entry, Position);
      Task.Phase = TaskPhase::Placed;
      Task.LastRun = Run.Run;
      Task.Worker = Slot.Entry.Id;
      if (!Run.Checkpoint.empty())
        Task.Checkpoint = Run.Checkpoint;
      Entry->markStarted();
    }
  }
  Slot.Runs.emplace(Key, Reservation);
  if (!IsWanted)
    stop(Slot, Key);
}

void JobShard::Impl::releaseMissingRuns(WorkerSlot &Slot,
                                        const PollReply &Reply,
                                        TimePoint Sent) {
  std::set<RunKey> Present;
  for (const RunningTask &Running : Reply.Running)
    Present.insert({Running.Task, Running.Run});
  std::vector<RunKey> Missing;
  for (const auto &[Key, Run] : Slot.Runs) {
    if (Present.count(Key) || Run.Phase == RunPhase::Reserved)
      continue;
    bool IsConfirmed =
        Run.Phase == RunPhase::Running || Run.Phase == RunPhase::Stopping;
    bool IsGone = IsConfirmed
                      ? Run.ConfirmedAt < Sent
                      : Reply.Clock > Run.StartDeadline || isKeptOut(Run, Sent);
    if (IsGone)
      Missing.push_back(Key);
  }
  for (const RunKey &Key : Missing)
    releaseRun(Slot, Key, "not_on_worker");
}

// A worker that has left the list without notice has crashed or is cut off, so
// its end proves nothing against a task.
void JobShard::Impl::removeUnlistedWorkers() {
  confirmCrashes();
  std::vector<JobEntry *> GivenUp;
  for (auto It = m_slots.begin(); It != m_slots.end();) {
    WorkerSlot &Slot = It->second;
    bool IsGone =
        !Slot.IsListed && Slot.MissedPolls > 0 && hasLeaseExpired(Slot);
    if (!IsGone) {
      ++It;
      continue;
    }
    std::vector<JobEntry *> Ended =
        countCrash(Slot, "worker_gone", CrashDoubt::MayBeCutOff);
    GivenUp.insert(GivenUp.end(), Ended.begin(), Ended.end());
    releaseAllRuns(Slot, "worker_gone", {});
    log("worker_dropped", fmt::format("worker={}", Slot.Entry.Id));
    It = m_slots.erase(It);
  }
  for (JobEntry *Entry : GivenUp)
    giveUp(*Entry);
}

BASILCHUTE_NAMESPACE_END
