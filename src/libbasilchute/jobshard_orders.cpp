#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// What progress is worth while a job can end in time, once it is late, and
/// once it is worth nothing.
constexpr std::array<double, 3> LatenessWeights = {1.0, 0.3, 0.05};

/// A worker that has not answered for this long gets no starts.
constexpr milliseconds FreshEnough{2600};
constexpr milliseconds RefusedPause{250};
constexpr milliseconds UnansweredPause{250};
/// Paces of one worker are not planned anew sooner.
constexpr milliseconds PacePause{200};
/// Time until a change of pace shows in the measurements and can be mended.
constexpr milliseconds PaceAhead{1000};

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
               .Group = Of.Groups[static_cast<size_t>(Key.first.Step)],
               .Moved = Now};
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
  StartOrder Order{.Task = Key.first,
                   .Run = Key.second,
                   .Payload = Of.Spec.Payload,
                   .LeaseUntil = Held.StartUntil,
                   .Epoch = m_options.Epoch,
                   .Checkpoint = Step.Checkpointing ? Task.Checkpoint : ""};
  m_workers.start(At.Entry, std::move(Order),
                  [Weak = weak_from_this(), Id = At.Entry.Id,
                   Key](Result<StartReply> Answer) {
                    if (auto Self = Weak.lock())
                      Self->onStart(Id, Key, std::move(Answer));
                  });
}

void JobShard::Impl::onStart(const std::string &Worker, const RunKey &Key,
                             Result<StartReply> Answer) {
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

void JobShard::Impl::learn(WorkerSlot &At) {
  FillShares Shares = At.fillShares();
  for (const auto &[Key, Run] : At.Held) {
    if (Run.TailTarget.count() == 0 || Run.Percent < 100)
      continue;
    m_harm.observe({.Kind = Run.Kind,
                    .Group = Run.Group,
                    .Tail = milliseconds(Run.Usage),
                    .Target = Run.TailTarget},
                   m_time.now(), Shares);
  }
}

double JobShard::Impl::weightOf(const std::string &Job) {
  const JobEntry *Of = find(Job);
  if (!Of || isFinal(Of->State))
    return LatenessWeights.back();
  return LatenessWeights[static_cast<size_t>(latenessOf(*Of))];
}

void JobShard::Impl::pace(WorkerSlot &At) {
  TimePoint Now = m_time.now();
  if (Now < At.PaceChanged + PacePause)
    return;
  std::vector<FillLoad> Fills;
  std::vector<RunKey> Keys;
  auto Capacity = static_cast<double>(At.Entry.Capacity.Millicores);
  for (const auto &[Key, Run] : At.Held) {
    if (Run.FillMillicores == 0 || Run.Phase != RunPhase::Running)
      continue;
    Fills.push_back(
        {.Kind = Run.Kind,
         .Pace = Run.Pace,
         .FullShare = static_cast<double>(Run.FillMillicores) / Capacity,
         .Weight = weightOf(Key.first.Job)});
    Keys.push_back(Key);
  }
  if (Fills.empty())
    return;
  std::vector<int> Paces =
      planPaces(At.serving(m_harm, Now, PaceAhead), Fills, m_harm);
  for (size_t Each = 0; Each < Keys.size(); ++Each) {
    if (Paces[Each] == Fills[Each].Pace)
      continue;
    At.PaceChanged = Now;
    sendPace(At, Keys[Each], Paces[Each]);
  }
}

void JobShard::Impl::sendPace(WorkerSlot &At, const RunKey &Key, int Percent) {
  if (!mayAct())
    return;
  At.Held.at(Key).Pace = Percent;
  At.Held.at(Key).PacedAt = m_time.now();
  m_workers.pace(
      At.Entry,
      {.Task = Key.first,
       .Run = Key.second,
       .Percent = Percent,
       .Epoch = m_options.Epoch},
      [Weak = weak_from_this(), Id = At.Entry.Id, Key](const Status &Answer) {
        auto Self = Weak.lock();
        if (!Self || Answer.has_value())
          return;
        // What the run works at is unknown; it is told anew.
        auto Slot = Self->m_slots.find(Id);
        if (Slot == Self->m_slots.end())
          return;
        auto Found = Slot->second.Held.find(Key);
        if (Found != Slot->second.Held.end())
          Found->second.Pace = 100;
      });
}

BASILCHUTE_NAMESPACE_END
