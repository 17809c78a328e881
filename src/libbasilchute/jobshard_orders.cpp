#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds RefusedPause{250};
constexpr milliseconds UnansweredPause{250};

} // namespace

void JobShard::Impl::start(WorkerSlot &At, JobEntry &Of, int Position) {
  TimePoint Now = m_time.now();
  TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
  const JobStep &Step = Of.stepOf(Position);
  dropWaiting(Of, Position);
  Task.Phase = TaskPhase::Placed;
  ++Task.Run;
  Task.Worker = At.Entry.Id;
  RunKey Key{Of.nameOf(Position), Task.Run};
  HeldRun Held{.Phase = RunPhase::Starting,
               .Reserved = Step.reserved(),
               .LongRunning = Step.LongRunning,
               .FillMillicores = Step.Fills ? Step.Demand.Millicores : 0,
               .TailTarget = Step.TailTarget,
               .StartUntil = At.clockAt(Now) + m_options.StartLease,
               .Confirmed = Now,
               .Kind = Of.Kinds[static_cast<size_t>(Key.first.Step)],
               .Class = Of.Classes[static_cast<size_t>(Key.first.Step)],
               .Began = Now,
               .Group = Of.Groups[static_cast<size_t>(Key.first.Step)]};
  At.Held.emplace(Key, Held);
  At.LeaseEnd = std::max(At.LeaseEnd, Now + m_options.StartLease * 2);
  if (!Of.hasStarted()) {
    Of.noteStarted();
    Of.State = JobState::Running;
    markDirty(Of);
    log("job_started",
        fmt::format("job={} queue={} waited_ms={} worker={}", Of.Spec.Id,
                    Of.Spec.Queue, (Now - Of.Seen) / milliseconds(1),
                    At.Entry.Id));
  }
  ++m_counts.Starts;
  m_starts.sent();
  StartOrder Order{.Task = Key.first,
                   .Run = Key.second,
                   .Payload = Of.Spec.Payload,
                   .LeaseUntil = Held.StartUntil,
                   .Epoch = m_options.Epoch,
                   .Checkpoint = Step.Checkpointing ? Task.Checkpoint : ""};
  const std::string *Ticket = m_approvals.ticket(
      Of.stepName(Position), {.Worker = At.Entry.Id, .Born = At.Born});
  if (Ticket)
    Order.Ticket = *Ticket;
  m_workers.start(At.Entry, std::move(Order),
                  [Weak = weak_from_this(), Id = At.Entry.Id, Key,
                   Now](Result<StartReply> Answer) {
                    if (auto Self = Weak.lock())
                      Self->onStart(Id, Key, Now, std::move(Answer));
                  });
}

void JobShard::Impl::onStart(const std::string &Worker, const RunKey &Key,
                             TimePoint Sent, Result<StartReply> Answer) {
  if (Answer.has_value()) {
    nanoseconds Took = m_time.now() - Sent;
    m_starts.answered(Took, m_time.now());
    ++m_counts.StartsAnswered;
    m_counts.StartTime += Took;
  } else {
    m_starts.lost();
  }
  auto Slot = m_slots.find(Worker);
  if (Slot == m_slots.end())
    return;
  WorkerSlot &At = Slot->second;
  auto Found = At.Held.find(Key);
  if (Found == At.Held.end())
    return;
  HeldRun &Held = Found->second;
  TimePoint Now = m_time.now();
  if (Answer.has_value() && Answer.value().Outcome == StartOutcome::Started) {
    if (Held.Phase == RunPhase::Starting || Held.Phase == RunPhase::Unsure)
      Held.Phase = RunPhase::Running;
    Held.Confirmed = Now;
    return;
  }
  bool Unsure =
      !Answer.has_value() && Answer.error().Code != ResultCode::Unavailable;
  if (Unsure) {
    ++m_counts.Unanswered;
    if (Held.Phase == RunPhase::Starting)
      Held.Phase = RunPhase::Unsure;
    At.NoStartBefore = std::max(At.NoStartBefore, Now + UnansweredPause);
    log("start_unanswered",
        fmt::format("job={} step={} index={} run={} worker={} message=\"{}\"",
                    Key.first.Job, Key.first.Step, Key.first.Index, Key.second,
                    Worker, Answer.error().Message));
    return;
  }
  At.NoStartBefore = std::max(At.NoStartBefore, Now + RefusedPause);
  At.NextLook = Now;
  log("start_refused",
      fmt::format(
          "job={} step={} index={} run={} worker={} outcome={}", Key.first.Job,
          Key.first.Step, Key.first.Index, Key.second, Worker,
          Answer.has_value() ? static_cast<int>(Answer.value().Outcome) : -1));
  bool Fenced =
      Answer.has_value() && Answer.value().Outcome == StartOutcome::Fenced;
  if (Answer.has_value() && Answer.value().Outcome == StartOutcome::NoApproval)
    m_approvals.reject({.Job = Key.first.Job,
                        .Occurrence = Key.first.Occurrence,
                        .Step = Key.first.Step},
                       {.Worker = Worker, .Born = At.Born});
  release(At, Key, "start_refused");
  if (Fenced)
    lose("fenced");
  else
    place();
}

void JobShard::Impl::stop(WorkerSlot &At, const RunKey &Key) {
  auto Found = At.Held.find(Key);
  if (Found == At.Held.end() || !mayAct())
    return;
  // A run that may still be started stays unsure: the stop bars it, and its
  // lease says when it surely never comes.
  if (Found->second.Phase == RunPhase::Running)
    Found->second.Phase = RunPhase::Stopping;
  Found->second.StopSent = m_time.now();
  m_workers.stop(
      At.Entry,
      {.Task = Key.first, .Run = Key.second, .Epoch = m_options.Epoch},
      [](const Status &) {});
}

void JobShard::Impl::stopAll(const JobEntry &Of) {
  for (auto &[Id, Slot] : m_slots) {
    std::vector<RunKey> Keys;
    for (const auto &[Key, Run] : Slot.Held)
      if (Key.first.Job == Of.Spec.Id)
        Keys.push_back(Key);
    for (const RunKey &Key : Keys)
      stop(Slot, Key);
  }
}

BASILCHUTE_NAMESPACE_END
