#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds NoStartAfterRefusal{250};
constexpr milliseconds NoStartAfterNoAnswer{250};
constexpr milliseconds StopResendInterval{600};

} // namespace

void JobShard::Impl::start(WorkerSlot &Slot, JobEntry &Entry, int Position) {
  TimePoint Now = m_time.now();
  TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  const JobStep &Step = Entry.stepOf(Position);
  removeWaiting(Entry, Position);
  Task.Phase = TaskPhase::Placed;
  ++Task.LastRun;
  Task.Worker = Slot.Entry.Id;
  RunKey Key{Entry.nameOf(Position), Task.LastRun};
  ReservedRun Reservation{
      .Phase = RunPhase::Reserved,
      .Reserved = Step.reservation(),
      .LongRunning = Step.LongRunning,
      .FullPaceMillicores = Step.IsFill ? Step.Demand.Millicores : 0,
      .TailTarget = Step.TailTarget,
      .Kind = Entry.Kinds[static_cast<size_t>(Key.first.Step)],
      .Class = Entry.Classes[static_cast<size_t>(Key.first.Step)],
      .Expected = m_plan.expectedTime(Entry, Position),
      .Group = Entry.Groups[static_cast<size_t>(Key.first.Step)],
      .FillWeight = Entry.FillWeight};
  m_plan.onStarted(Key.first, Now);
  Slot.Runs.emplace(Key, Reservation);
  if (Entry.storesPlace(Position)) {
    Entry.place(Position, Slot.Entry.Id);
    markDirty(Entry, milliseconds(0));
  }
  if (!Entry.hasStarted()) {
    Entry.markStarted();
    Entry.State = JobState::Running;
    markDirty(Entry);
    log("job_started",
        fmt::format("job={} queue={} waited_ms={} worker={}", Entry.Spec.Id,
                    Entry.Spec.Queue, (Now - Entry.ArrivedAt) / milliseconds(1),
                    Slot.Entry.Id));
  }
  m_crashes.addWorker(crashUnit(Entry, Position), Slot.Entry.Id);
  if (!Entry.storesPlace(Position))
    sendStart(Slot, Entry, Position, Key);
}

// A run whose worker was lost, drains or is evacuated meanwhile is dropped: the
// task is placed, and that stored, again.
void JobShard::Impl::sendStoredStarts() {
  if (!mayStart())
    return;
  while (!m_storedStarts.empty() && m_startWindow.isOpen()) {
    auto [Worker, Key] = m_storedStarts.front();
    m_storedStarts.pop_front();
    auto Slot = m_slots.find(Worker);
    if (Slot == m_slots.end())
      continue;
    auto Run = Slot->second.Runs.find(Key);
    JobEntry *Entry = find(Key.first.Job);
    bool IsPending = Entry && Run != Slot->second.Runs.end() &&
                     Run->second.Phase == RunPhase::Reserved;
    if (!IsPending)
      continue;
    if (canSendOrders() && leaseToGive() && canTakeStart(Slot->second))
      sendStart(Slot->second, *Entry, Entry->positionOf(Key.first), Key);
    else
      releaseRun(Slot->second, Key, "not_started");
  }
}

void JobShard::Impl::sendStart(WorkerSlot &Slot, JobEntry &Entry, int Position,
                               const RunKey &Key) {
  TimePoint Now = m_time.now();
  const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  ReservedRun &Reservation = Slot.Runs.at(Key);
  Reservation.Phase = RunPhase::Starting;
  Reservation.StartDeadline = Slot.clockAt(Now) + m_options.StartLease;
  Reservation.ConfirmedAt = Now;
  Reservation.ObservedSince = Now;
  Slot.LeaseEnd = std::max(Slot.LeaseEnd, Now + m_options.StartLease * 2);
  ++m_counts.Starts;
  m_startWindow.onSent();
  StartOrder Order{.Task = Key.first,
                   .Run = Key.second,
                   .Incarnation = Slot.Incarnation,
                   .Payload = Entry.Spec.Payload,
                   .LeaseUntil = Reservation.StartDeadline,
                   .Epoch = m_options.Epoch,
                   .Checkpoint = Entry.stepOf(Position).Checkpointing
                                     ? Task.Checkpoint
                                     : ""};
  const std::string *Ticket = m_approvals.ticket(
      Entry.stepName(Position),
      {.Worker = Slot.Entry.Id, .Incarnation = Slot.Incarnation});
  if (Ticket)
    Order.Ticket = *Ticket;
  m_workers.start(Slot.Entry, std::move(Order),
                  [Weak = weak_from_this(),
                   Sent = SentStart{.Worker = Slot.Entry.Id,
                                    .Incarnation = Slot.Incarnation,
                                    .Key = Key,
                                    .Sent = Now}](Result<StartReply> Answer) {
                    if (auto Self = Weak.lock())
                      Self->onStart(Sent, std::move(Answer));
                  });
}

void JobShard::Impl::onStart(const SentStart &Order,
                             Result<StartReply> Answer) {
  const auto &[Worker, Incarnation, Key, Sent] = Order;
  if (Answer.has_value()) {
    const StartReply &Reply = Answer.value();
    if (Reply.ProbeRoundTrip.count() > 0)
      m_startWindow.onProbed(Reply.ProbeRoundTrip, m_time.now());
    nanoseconds RoundTrip = m_time.now() - Sent - Reply.Waited;
    m_startWindow.onAnswered(RoundTrip, m_time.now());
    ++m_counts.StartsAnswered;
    m_counts.TotalStartRoundTrip += RoundTrip;
  } else {
    m_startWindow.onUnanswered();
  }
  sendStoredStarts();
  auto SlotIt = m_slots.find(Worker);
  if (SlotIt == m_slots.end())
    return;
  WorkerSlot &Slot = SlotIt->second;
  // The former process may have sent the answer, or the present one, of which
  // the order's sender knew nothing.
  bool IsOfThisProcess = Slot.Incarnation == Incarnation;
  if (IsOfThisProcess && Answer.has_value())
    checkStartClock(Slot, Key, Answer.value());
  bool IsOutcomeUnknown =
      !Answer.has_value() && Answer.error().Code != ResultCode::Unavailable;
  if (IsOutcomeUnknown)
    addUnansweredStart(Slot, Key, Sent);
  // A member of a gang may have been ordered again under its number since.
  auto RunIt = Slot.Runs.find(Key);
  if (RunIt == Slot.Runs.end() || RunIt->second.ObservedSince != Sent)
    return;
  ReservedRun &Reservation = RunIt->second;
  TimePoint Now = m_time.now();
  if (Answer.has_value() && Answer.value().Outcome == StartOutcome::Started) {
    if (Reservation.Phase == RunPhase::Starting ||
        Reservation.Phase == RunPhase::Unconfirmed)
      Reservation.Phase = RunPhase::Running;
    Reservation.ConfirmedAt = Now;
    if (IsOfThisProcess)
      onStartSeen(Slot, Reservation, Answer.value().Clock);
    repeatStop(Slot, Key);
    return;
  }
  if (IsOutcomeUnknown) {
    ++m_counts.StartsUnanswered;
    if (IsOfThisProcess)
      Slot.setSilent(Now);
    if (Reservation.Phase == RunPhase::Starting)
      Reservation.Phase = RunPhase::Unconfirmed;
    Slot.NextStartAt = std::max(Slot.NextStartAt, Now + NoStartAfterNoAnswer);
    log("start_unanswered",
        fmt::format("job={} step={} index={} run={} worker={} message=\"{}\"",
                    Key.first.Job, Key.first.Step, Key.first.Index, Key.second,
                    Worker, Answer.error().Message));
    return;
  }
  Slot.NextStartAt = std::max(Slot.NextStartAt, Now + NoStartAfterRefusal);
  Slot.NextPollAt = Now;
  log("start_refused",
      fmt::format(
          "job={} step={} index={} run={} worker={} outcome={}", Key.first.Job,
          Key.first.Step, Key.first.Index, Key.second, Worker,
          Answer.has_value() ? static_cast<int>(Answer.value().Outcome) : -1));
  bool IsFenced =
      Answer.has_value() && Answer.value().Outcome == StartOutcome::StaleEpoch;
  if (IsOfThisProcess && Answer.has_value() &&
      Answer.value().Outcome == StartOutcome::WrongIncarnation)
    Slot.IsProcessGone = true;
  if (Answer.has_value() && Answer.value().Outcome == StartOutcome::NoApproval)
    m_approvals.removeTicket({.Job = Key.first.Job,
                              .Occurrence = Key.first.Occurrence,
                              .Step = Key.first.Step},
                             {.Worker = Worker, .Incarnation = Incarnation});
  releaseRun(Slot, Key, "start_refused");
  if (IsFenced)
    loseOwnership("fenced");
  else
    place();
}

void JobShard::Impl::stop(WorkerSlot &Slot, const RunKey &Key) {
  auto It = Slot.Runs.find(Key);
  if (It == Slot.Runs.end())
    return;
  if (It->second.Phase == RunPhase::Reserved)
    return releaseRun(Slot, Key, "not_started");
  It->second.IsStopWanted = true;
  if (!canSendOrders())
    return;
  // A run that may still be started keeps its phase: the stop order keeps the
  // worker from starting it later, and the run can no longer start once the
  // lease of the start order has expired. If that stop order is lost, the run
  // is stopped when it is seen.
  if (It->second.Phase == RunPhase::Running)
    It->second.Phase = RunPhase::Stopping;
  It->second.StopSentAt = m_time.now();
  m_workers.stop(Slot.Entry,
                 {.Task = Key.first,
                  .Run = Key.second,
                  .Incarnation = Slot.Incarnation,
                  .Epoch = m_options.Epoch},
                 [](const Status &) {});
}

// Neither the order nor its answer is certain to arrive, so a run that is seen
// although it should have ended is told to stop again.
void JobShard::Impl::repeatStop(WorkerSlot &Slot, const RunKey &Key) {
  const ReservedRun &Run = Slot.Runs.at(Key);
  if (!Run.IsStopWanted || m_time.now() <= Run.StopSentAt + StopResendInterval)
    return;
  log("stop_repeated",
      fmt::format("job={} step={} index={} run={} worker={}", Key.first.Job,
                  Key.first.Step, Key.first.Index, Key.second, Slot.Entry.Id));
  stop(Slot, Key);
}

void JobShard::Impl::stopAll(const JobEntry &Entry) {
  for (auto &[Id, Slot] : m_slots) {
    std::vector<RunKey> Keys;
    for (const auto &[Key, Run] : Slot.Runs)
      if (Key.first.Job == Entry.Spec.Id)
        Keys.push_back(Key);
    for (const RunKey &Key : Keys)
      stop(Slot, Key);
  }
}

BASILCHUTE_NAMESPACE_END
