#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds MissedLookPause{250};
constexpr milliseconds UnstoredPause{300};
/// Workers' clocks run at most this much slow.
constexpr double ClockRate = 1.03;
constexpr milliseconds LeaseMargin{150};
/// A task that failed is started again after this.
constexpr milliseconds FailedPause{20};
/// Failures in a row after which a worker gets no starts for a while.
constexpr int SuspectFailures = 2;
constexpr milliseconds SuspectPause{3000};
constexpr milliseconds StopRepeat{600};

nanoseconds stretched(milliseconds Lease) {
  return std::chrono::duration_cast<nanoseconds>(Lease * ClockRate) +
         LeaseMargin;
}

} // namespace

void JobShard::Impl::lookAround() {
  if (!mayAct())
    return;
  TimePoint Now = m_time.now();
  bool MayFence = !m_options.MayFence || m_options.MayFence();
  for (auto &[Id, Slot] : m_slots) {
    if (!Slot.Fenced && !MayFence)
      continue;
    // Ends that are not stored yet come again with each look. While the store
    // is away, looks go on at a slower pace, for new ends and for the leases.
    bool Unstored = Slot.SeenEnds > Slot.StoredEnds;
    TimePoint Next =
        Unstored ? std::max(Slot.NextLook, Slot.LastAnswer + UnstoredPause)
                 : Slot.NextLook;
    if (!Slot.Looking && Now >= Next)
      look(Slot);
  }
}

milliseconds JobShard::Impl::waitAt(const WorkerSlot &At) const {
  if (!At.Fenced || At.MissedLooks > 0 || At.SeenEnds > At.StoredEnds)
    return milliseconds(0);
  bool HasFill = false;
  bool HasTarget = false;
  milliseconds Wait = m_options.LookWait;
  milliseconds Clock = At.clockAt(m_time.now());
  for (const auto &[Key, Run] : At.Held) {
    HasFill |= Run.FillMillicores > 0;
    HasTarget |= Run.TailTarget.count() > 0;
    if (Run.Phase == RunPhase::Unsure)
      Wait = std::min(Wait, std::max(Run.StartUntil - Clock + milliseconds(20),
                                     milliseconds(100)));
  }
  if (HasFill && HasTarget)
    Wait = std::min(Wait, m_options.WatchWait);
  return Wait;
}

void JobShard::Impl::look(WorkerSlot &At) {
  TimePoint Now = m_time.now();
  LookOrder Order{.Epoch = m_options.Epoch, .Wait = waitAt(At)};
  // After a miss the worker may live anew and count its ends from 1 again.
  if (At.MissedLooks == 0)
    Order.NotedEnds = At.StoredEnds;
  // A look that is not answered may still extend the leases. Until one is
  // answered the others extend nothing, so that the leases of a silent worker
  // come to an end.
  if (At.Fenced && At.MissedLooks == 0) {
    Order.LeaseUntil = At.clockAt(Now) + m_options.Lease;
    At.LeaseEnd = std::max(At.LeaseEnd, Now + stretched(m_options.Lease));
  }
  At.Looking = true;
  ++m_counts.Looks;
  m_workers.look(At.Entry, Order,
                 [Weak = weak_from_this(), Id = At.Entry.Id,
                  Now](Result<LookReply> Answer) {
                   if (auto Self = Weak.lock())
                     Self->onLook(Id, Now, std::move(Answer));
                 });
}

void JobShard::Impl::onLook(const std::string &Worker, TimePoint Sent,
                            Result<LookReply> Answer) {
  auto Found = m_slots.find(Worker);
  if (Found == m_slots.end())
    return;
  WorkerSlot &At = Found->second;
  At.Looking = false;
  if (!Answer.has_value()) {
    onMissedLook(At, Answer.error());
    return;
  }
  LookReply &Reply = Answer.value();
  TimePoint Now = m_time.now();
  if (At.Born.count() != 0 && Reply.Born != At.Born) {
    loseRuns(At, "worker_reborn");
    At.forgetLife();
  }
  At.Born = Reply.Born;
  At.setClock(Reply.Clock, Now);
  At.LastAnswer = Now;
  At.MissedLooks = 0;
  bool First = !At.Fenced;
  At.Fenced = true;
  std::sort(Reply.Ended.begin(), Reply.Ended.end(),
            [](const EndedTask &A, const EndedTask &B) {
              return A.Number < B.Number;
            });
  for (const EndedTask &Each : Reply.Ended)
    onEnd(At, Each);
  for (const RunningTask &Each : Reply.Running)
    onRunning(At, Each);
  dropMissing(At, Reply, Sent);
  leaveSlowRuns(At);
  learn(At);
  pace(At);
  At.NextLook = First ? Now : std::max(Now, Sent + m_options.LookPause);
  lookAround();
  commit();
  place();
}

void JobShard::Impl::onMissedLook(WorkerSlot &At, const Error &Why) {
  TimePoint Now = m_time.now();
  if (Why.Code == ResultCode::StaleEpoch) {
    lose("fenced");
    return;
  }
  ++At.MissedLooks;
  if (At.MissedLooks == 1)
    log("worker_silent",
        fmt::format("worker={} shard={} result={} message=\"{}\"", At.Entry.Id,
                    m_options.Shard, resultCodeName(Why.Code), Why.Message));
  At.NextLook = Now + MissedLookPause;
  // Another life at this address: the runs of the former one are gone.
  if (Why.Code == ResultCode::WrongIncarnation) {
    loseRuns(At, "worker_replaced");
    At.forgetLife();
    return;
  }
  // A worker that drained and left has ended its runs.
  bool Left = At.Entry.Draining && !At.Listed;
  if (Left || isLeaseOver(At))
    loseRuns(At, Left ? "worker_left" : "lease_over");
}

// An owner that cannot renew must not conclude that: its successor may have
// reached the worker and extended the leases.
bool JobShard::Impl::isLeaseOver(const WorkerSlot &At) const {
  return m_time.now() > At.LeaseEnd &&
         (!m_options.MayFence || m_options.MayFence());
}

void JobShard::Impl::loseRuns(WorkerSlot &At, std::string_view Why) {
  std::vector<RunKey> Keys;
  for (const auto &[Key, Run] : At.Held)
    Keys.push_back(Key);
  if (!Keys.empty())
    log("runs_lost",
        fmt::format("worker={} runs={} why={}", At.Entry.Id, Keys.size(), Why));
  for (const RunKey &Key : Keys)
    release(At, Key, Why);
}

void JobShard::Impl::release(WorkerSlot &At, const RunKey &Key,
                             std::string_view Why) {
  RunPhase Phase = At.Held.at(Key).Phase;
  At.Held.erase(Key);
  JobEntry *Of = find(Key.first.Job);
  int Position = Of ? Of->positionOf(Key.first) : -1;
  if (Position < 0)
    return;
  TaskState &Task = Of->Tasks[static_cast<size_t>(Position)];
  bool Current = Task.Phase == TaskPhase::Placed && Task.Run == Key.second &&
                 Task.Worker == At.Entry.Id;
  if (!Current)
    return;
  log("run_gone", fmt::format("job={} step={} index={} run={} worker={} why={}",
                              Key.first.Job, Key.first.Step, Key.first.Index,
                              Key.second, At.Entry.Id, Why));
  setWaiting(*Of, Position, milliseconds(0));
  Task.NeverRan = Phase == RunPhase::Starting || Phase == RunPhase::Unsure;
}

void JobShard::Impl::onEnd(WorkerSlot &At, const EndedTask &Ended) {
  if (Ended.Number <= At.SeenEnds)
    return;
  At.SeenEnds = Ended.Number;
  noteHealth(At, Ended.End);
  RunKey Key{Ended.Task, Ended.Run};
  auto Held = At.Held.find(Key);
  std::optional<HeldRun> Run;
  if (Held != At.Held.end()) {
    Run = Held->second;
    At.Held.erase(Held);
  }
  JobEntry *Of = find(Ended.Task.Job);
  int Position = Of ? Of->positionOf(Ended.Task) : -1;
  if (Position < 0)
    return;
  if (Ended.End == RunEnd::Done)
    ++m_counts.EndsDone;
  else
    ++m_counts.EndsOther;
  TaskState &Task = Of->Tasks[static_cast<size_t>(Position)];
  if (Run && Ended.End == RunEnd::Done)
    learnSpeed(*Run, Task);
  if (!Ended.Checkpoint.empty() && Ended.Run >= Task.Run &&
      Of->stepOf(Position).Checkpointing)
    Task.Checkpoint = Ended.Checkpoint;
  if (isFinal(Of->State) || Task.Phase == TaskPhase::Done)
    return;
  onCurrentEnd(*Of, Position, At, Ended);
}

void JobShard::Impl::onCurrentEnd(JobEntry &Of, int Position,
                                  const WorkerSlot &At,
                                  const EndedTask &Ended) {
  TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
  const JobStep &Step = Of.stepOf(Position);
  bool Current = Task.Phase == TaskPhase::Waiting ||
                 (Task.Run == Ended.Run && Task.Worker == At.Entry.Id);
  Task.Run = std::max(Task.Run, Ended.Run);
  markDirty(Of);
  if (Ended.End == RunEnd::Done && !Step.LongRunning) {
    dropWaiting(Of, Position);
    Of.noteStarted();
    if (Step.Gang)
      finishGang(Of, Position);
    else
      Of.finish(Position);
    if (Of.allDone())
      endJob(Of, JobState::Completed, "all_done");
    else
      queueReady(Of);
    return;
  }
  log("run_ended",
      fmt::format("job={} step={} index={} run={} worker={} how={}", Of.Spec.Id,
                  Ended.Task.Step, Ended.Task.Index, Ended.Run, At.Entry.Id,
                  runEndName(Ended.End)));
  if (Ended.End == RunEnd::Failed && Task.FailedRuns.insert(Ended.Run).second) {
    countFailure(Of, Position, Ended);
    if (isFinal(Of.State))
      return;
  }
  if (Current)
    setWaiting(Of, Position,
               Ended.End == RunEnd::Failed ? FailedPause : milliseconds(0));
}

void JobShard::Impl::countFailure(JobEntry &Of, int Position,
                                  const EndedTask &Ended) {
  TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
  const JobQueue *Queue = queueOf(Of);
  if (!Queue || Of.stepOf(Position).LongRunning)
    return;
  std::set<int> Failed = Task.FailedRuns;
  // Members of a gang share their runs.
  if (Of.stepOf(Position).Gang)
    for (int Each : Of.groupPositions(Position)) {
      const TaskState &Member = Of.Tasks[static_cast<size_t>(Each)];
      Failed.insert(Member.FailedRuns.begin(), Member.FailedRuns.end());
    }
  if (static_cast<int>(Failed.size()) >= Queue->MaxAttempts)
    endJob(Of, JobState::Failed,
           fmt::format("task {}.{} failed {} times", Ended.Task.Step,
                       Ended.Task.Index, Failed.size()));
}

void JobShard::Impl::noteHealth(WorkerSlot &At, RunEnd End) {
  if (End == RunEnd::Done)
    At.FailuresInARow = 0;
  if (End != RunEnd::Failed)
    return;
  if (++At.FailuresInARow < SuspectFailures)
    return;
  At.NoStartBefore = std::max(At.NoStartBefore, m_time.now() + SuspectPause);
  log("worker_suspected", fmt::format("worker={} failures_in_a_row={}",
                                      At.Entry.Id, At.FailuresInARow));
}

void JobShard::Impl::onRunning(WorkerSlot &At, const RunningTask &Run) {
  RunKey Key{Run.Task, Run.Run};
  auto Found = At.Held.find(Key);
  if (Found == At.Held.end()) {
    adopt(At, Run);
    return;
  }
  HeldRun &Held = Found->second;
  TimePoint Now = m_time.now();
  if (Held.Phase == RunPhase::Starting || Held.Phase == RunPhase::Unsure)
    Held.Phase = RunPhase::Running;
  if (Held.Phase == RunPhase::Stopping && Now > Held.StopSent + StopRepeat)
    stop(At, Key);
  Held.Percent = Run.Percent;
  Held.Usage = Run.Usage;
  bool Over = Held.TailTarget.count() > 0 && Held.Percent == 100 &&
              Run.Usage > Held.TailTarget.count();
  if (!Over)
    Held.OverSince.reset();
  else if (!Held.OverSince)
    Held.OverSince = Now;
  JobEntry *Of = find(Run.Task.Job);
  int Position = Of ? Of->positionOf(Run.Task) : -1;
  if (Position < 0 || Run.Checkpoint.empty())
    return;
  TaskState &Task = Of->Tasks[static_cast<size_t>(Position)];
  if (Task.Run == Run.Run)
    Task.Checkpoint = Run.Checkpoint;
}

// A run that this owner did not start: the previous owner did, or an order
// that was given up on came late.
void JobShard::Impl::adopt(WorkerSlot &At, const RunningTask &Run) {
  RunKey Key{Run.Task, Run.Run};
  HeldRun Held{.Phase = RunPhase::Running,
               .Reserved = At.Entry.Capacity,
               .Confirmed = m_time.now(),
               .Percent = Run.Percent,
               .Usage = Run.Usage,
               .Began = m_time.now(),
               .BeganPercent = Run.Percent,
               .Adopted = true};
  JobEntry *Of = find(Run.Task.Job);
  int Position = Of ? Of->positionOf(Run.Task) : -1;
  bool Wanted = false;
  if (Position >= 0) {
    const JobStep &Step = Of->stepOf(Position);
    Held.Reserved = Step.reserved();
    Held.LongRunning = Step.LongRunning;
    Held.FillMillicores = Step.Fills ? Step.Demand.Millicores : 0;
    Held.TailTarget = Step.TailTarget;
    Held.Kind = Of->Kinds[static_cast<size_t>(Run.Task.Step)];
    Held.Class = Of->Classes[static_cast<size_t>(Run.Task.Step)];
    Held.Group = Of->Groups[static_cast<size_t>(Run.Task.Step)];
    TaskState &Task = Of->Tasks[static_cast<size_t>(Position)];
    Wanted = !isFinal(Of->State) && Task.Phase == TaskPhase::Waiting &&
             !Task.FailedRuns.count(Run.Run);
    if (Wanted) {
      dropWaiting(*Of, Position);
      Task.Phase = TaskPhase::Placed;
      Task.Run = Run.Run;
      Task.Worker = At.Entry.Id;
      if (!Run.Checkpoint.empty())
        Task.Checkpoint = Run.Checkpoint;
      Of->noteStarted();
    }
  }
  At.Held.emplace(Key, Held);
  if (!Wanted)
    stop(At, Key);
}

void JobShard::Impl::dropMissing(WorkerSlot &At, const LookReply &Reply,
                                 TimePoint Sent) {
  std::set<RunKey> Present;
  for (const RunningTask &Each : Reply.Running)
    Present.insert({Each.Task, Each.Run});
  std::vector<RunKey> Missing;
  for (const auto &[Key, Run] : At.Held) {
    if (Present.count(Key))
      continue;
    bool Sure =
        Run.Phase == RunPhase::Running || Run.Phase == RunPhase::Stopping;
    bool Gone = Sure ? Run.Confirmed < Sent : Reply.Clock > Run.StartUntil;
    if (Gone)
      Missing.push_back(Key);
  }
  for (const RunKey &Key : Missing)
    release(At, Key, "not_on_worker");
}

void JobShard::Impl::dropGoneSlots() {
  for (auto Each = m_slots.begin(); Each != m_slots.end();) {
    WorkerSlot &Slot = Each->second;
    bool Gone = !Slot.Listed && Slot.MissedLooks > 0 && isLeaseOver(Slot);
    if (!Gone) {
      ++Each;
      continue;
    }
    loseRuns(Slot, "worker_gone");
    log("worker_dropped", fmt::format("worker={}", Slot.Entry.Id));
    Each = m_slots.erase(Each);
  }
}

BASILCHUTE_NAMESPACE_END
