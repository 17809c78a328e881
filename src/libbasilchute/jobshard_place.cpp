#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A worker that has not answered for this long gets no starts.
constexpr milliseconds FreshEnough{2600};
constexpr milliseconds RefusedPause{250};
constexpr milliseconds UnansweredPause{250};
/// Time between two rounds of placing, and steps without a place after which a
/// round ends.
constexpr milliseconds PlacePause{15};
constexpr size_t MostHopelessSteps = 40;
/// A task that found no room for this long has room kept for it.
constexpr milliseconds KeepRoomAfter{800};
/// A job is told to be impossible after this, once the list of workers had
/// time to arrive.
constexpr milliseconds ImpossibleAfter{300};
/// Cost of a rack that makes the task run slower, in units of load.
constexpr double FarRackCost = 1.0;
/// Cost of the part of a tail target that a fill task is expected to take
/// beyond what is left.
constexpr double HarmCost = 8.0;
constexpr double HarmAbove = 0.70;
/// A fill task waits rather than join a worker where it would have to stop ...
constexpr double MostExpectedRatio = 0.85;
/// A run is moved only where this much more is left.
constexpr double HarmMargin = 0.15;
/// ... or where as much work is present as this part of the worker ...
constexpr double MostFillLoad = 1.1;
/// One part in this many of a worker's memory is not for fill tasks.
constexpr int64_t FillMemoryPart = 8;
/// A fill run that is all but stopped moves to a better worker after this.
constexpr milliseconds StalledAfter{1500};
constexpr int StalledPace = 25;
constexpr milliseconds RelocatePause{400};
constexpr int MostRelocations = 6;
/// The longest task of a step takes this many times the estimate of one.
constexpr double WidthFactor = 1.5;
constexpr milliseconds LeastChain{200};
/// A job is worth nothing after this many times its objective.
constexpr int LateFactor = 3;
constexpr milliseconds StateLogEvery{1000};
/// A long-running task that has waited for this long comes before short ones.
constexpr milliseconds LongPatience{1200};
/// Part of a job's worth that does not depend on its size.
constexpr double WorthOfAnyJob = 0.3;
/// Cost of a worker where the same task failed or was lost before.
constexpr double SameWorkerCost = 3.0;

/// A change of pace shows in the measurements after this.
constexpr milliseconds PacePause{420};

} // namespace

void JobShard::Impl::dropWaiting(const JobEntry &Of, int Position) {
  auto Found = m_waiting.find(Of.Spec.Id);
  if (Found == m_waiting.end())
    return;
  Found->second.erase(Position);
  if (Found->second.empty())
    m_waiting.erase(Found);
}

// 0: can still end in time; 1: late, but worth something; 2: worth nothing.
int JobShard::Impl::latenessOf(const JobEntry &Of) const {
  const JobQueue *Queue = queueOf(Of);
  if (!Queue || Of.Spec.Repetitions > 0)
    return 0;
  auto Chain = std::chrono::duration_cast<milliseconds>(
      std::max(Of.longestChain(), LeastChain) * WidthFactor);
  auto Objective =
      std::chrono::duration_cast<milliseconds>(Chain * Queue->SlackFactor) +
      Queue->TargetDuration;
  auto Age = m_time.now() - Of.Seen;
  if (Age < Objective)
    return 0;
  return Age < LateFactor * Objective ? 1 : 2;
}

bool JobShard::Impl::hasAged(const JobEntry &Of) const {
  auto Waiting = m_waiting.find(Of.Spec.Id);
  if (Waiting == m_waiting.end())
    return false;
  TimePoint Limit = m_time.now() - LongPatience;
  return std::any_of(
      Waiting->second.begin(), Waiting->second.end(), [&](int Position) {
        return Of.Tasks[static_cast<size_t>(Position)].WaitingSince < Limit;
      });
}

JobShard::Impl::Rank JobShard::Impl::rankOf(const JobEntry &Of) const {
  const JobQueue *Queue = queueOf(Of);
  const JobStep &First = Of.Spec.Steps.front();
  int Priority = Queue ? Queue->Priority : 0;
  // Short tasks earn more on a core than long-running ones and leave it soon,
  // but long-running ones must not wait for ever.
  if (First.LongRunning)
    return {hasAged(Of) ? -1 : 1, 0, Priority, 0};
  // Worth for each unit of work that is left: what is almost done comes first,
  // and large jobs are not put behind small ones for their size.
  auto Mean = m_meanWork.find(Of.Spec.Queue);
  double Usual = Mean == m_meanWork.end() ? Of.TotalWork : Mean->second;
  double Worth = WorthOfAnyJob * Usual + (1 - WorthOfAnyJob) * Of.TotalWork;
  double Left = std::max(Of.workLeft(), 1.0);
  return {First.Fills ? 2 : 0, latenessOf(Of), Priority, -Worth / Left};
}

void JobShard::Impl::queueReady(JobEntry &Of) {
  if (isFinal(Of.State))
    return;
  for (int Position = 0; Position < static_cast<int>(Of.Tasks.size());
       ++Position) {
    const TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
    if (Task.Phase != TaskPhase::Waiting || !Of.isReady(Position))
      continue;
    bool New = m_waiting[Of.Spec.Id].insert(Position).second;
    if (New)
      Of.Tasks[static_cast<size_t>(Position)].WaitingSince = m_time.now();
  }
}

void JobShard::Impl::setWaiting(JobEntry &Of, int Position,
                                milliseconds Delay) {
  TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
  Task.Phase = TaskPhase::Waiting;
  Task.NotBefore = m_time.now() + Delay;
  Task.WaitingSince = m_time.now();
  if (!isFinal(Of.State))
    m_waiting[Of.Spec.Id].insert(Position);
}

// Placing is bounded, since every step that waits is weighed against every
// worker: what is left waits for the next round.
void JobShard::Impl::place() {
  TimePoint Now = m_time.now();
  if (m_waiting.empty() || Now < m_nextPlace || !mayAct() || !isSettled())
    return;
  m_nextPlace = Now + PlacePause;
  std::vector<Spot> Spots = spots();
  m_roomy = isRoomy(Spots);
  std::vector<std::pair<Rank, std::string>> Jobs;
  for (const auto &[Id, Positions] : m_waiting)
    Jobs.push_back({rankOf(*find(Id)), Id});
  std::sort(Jobs.begin(), Jobs.end());
  size_t HopelessSteps = 0;
  for (const auto &[Rank, Id] : Jobs) {
    JobEntry &Of = *find(Id);
    std::set<int> Positions = m_waiting[Id];
    // Tasks of one step are alike: if one finds no room, the others do not.
    std::set<int> Hopeless;
    for (int Position : Positions) {
      TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
      int Step = Of.nameOf(Position).Step;
      if (isFinal(Of.State))
        break;
      if (Task.NotBefore > Now || Hopeless.count(Step))
        continue;
      if (placeOne(Spots, Of, Position))
        continue;
      Hopeless.insert(Step);
      if (Now > Task.WaitingSince + KeepRoomAfter)
        keepRoom(Spots, Of, Position);
    }
    HopelessSteps += Hopeless.size();
    if (HopelessSteps >= MostHopelessSteps)
      return;
  }
}

void JobShard::Impl::logState() {
  TimePoint Now = m_time.now();
  if (Now < m_nextStateLog)
    return;
  m_nextStateLog = Now + StateLogEvery;
  Resources Free;
  Resources Most;
  std::vector<Spot> Spots = spots();
  for (const Spot &Each : Spots) {
    Free += Each.Room;
    Most.Millicores = std::max(Most.Millicores, Each.Room.Millicores);
    Most.MemoryMib = std::max(Most.MemoryMib, Each.Room.MemoryMib);
  }
  std::array<size_t, 3> Waiting{};
  for (const auto &[Id, Positions] : m_waiting) {
    const JobStep &First = find(Id)->Spec.Steps.front();
    Waiting[First.LongRunning ? 1 : First.Fills ? 2 : 0] += Positions.size();
  }
  log("shard_state",
      fmt::format("shard={} workers={} usable={} free_cores={} most_cores={} "
                  "free_gib={} most_gib={} waiting_short={} waiting_long={} "
                  "waiting_fill={}",
                  m_options.Shard, m_slots.size(), Spots.size(),
                  Free.Millicores / 1000, Most.Millicores / 1000,
                  Free.MemoryMib / 1024, Most.MemoryMib / 1024, Waiting[0],
                  Waiting[1], Waiting[2]));
}

bool JobShard::Impl::isRoomy(const std::vector<Spot> &Spots) const {
  int64_t Free = 0;
  int64_t Total = 0;
  for (const Spot &Each : Spots) {
    Free += Each.Room.Millicores;
    Total += Each.Slot->Entry.Capacity.Millicores;
  }
  return Free * 2 > Total;
}

std::vector<JobShard::Impl::Spot> JobShard::Impl::spots() {
  TimePoint Now = m_time.now();
  std::vector<Spot> Out;
  for (auto &[Id, At] : m_slots) {
    bool Usable = At.Fenced && At.Listed && !At.Entry.Draining &&
                  At.MissedLooks == 0 && Now >= At.NoStartBefore &&
                  Now < At.LastAnswer + FreshEnough;
    if (Usable)
      Out.push_back({.Slot = &At,
                     .Room = At.room(),
                     .Load = At.load(),
                     .Serving = At.serving()});
  }
  return Out;
}

bool JobShard::Impl::placeOne(std::vector<Spot> &Spots, JobEntry &Of,
                              int Position) {
  Spot *Best = nullptr;
  bool Allowed = false;
  double BestCost = 0;
  for (Spot &Each : Spots) {
    if (!isAllowed(Each, Of, Position))
      continue;
    Allowed = true;
    double Ratio = ratioWith(Each, Of, Position);
    if (!isWorthwhile(Each, Of.stepOf(Position), Ratio))
      continue;
    double Cost = cost(Each, Of, Position, Ratio);
    if (Best && Cost >= BestCost)
      continue;
    Best = &Each;
    BestCost = Cost;
  }
  if (Best) {
    take(*Best, Of, Position);
    start(*Best->Slot, Of, Position);
    return true;
  }
  bool Old = m_time.now() > Of.Seen + ImpossibleAfter;
  if (Old && !Allowed && queueOf(Of) && !m_fleet.empty() &&
      !canEverFit(Of, Position))
    endJob(Of, JobState::Failed, "fits_no_worker");
  return false;
}

// Saved progress is not lost by a move, and a worker that serves
// latency-critical tasks may stay busy for long.
void JobShard::Impl::relocate() {
  TimePoint Now = m_time.now();
  if (Now < m_nextRelocate || !mayAct() || !isSettled())
    return;
  m_nextRelocate = Now + RelocatePause;
  std::vector<Spot> Spots;
  int Moved = 0;
  for (auto &[Id, At] : m_slots) {
    std::vector<RunKey> Stalled;
    for (const auto &[Key, Run] : At.Held)
      if (Run.FillMillicores > 0 && Run.Phase == RunPhase::Running &&
          Run.Pace <= StalledPace && Now > Run.PacedAt + StalledAfter)
        Stalled.push_back(Key);
    for (const RunKey &Key : Stalled) {
      JobEntry *Of = find(Key.first.Job);
      int Position = Of ? Of->positionOf(Key.first) : -1;
      if (Position < 0 || !Of->stepOf(Position).Checkpointing)
        continue;
      if (Spots.empty())
        Spots = spots();
      auto Better = std::find_if(Spots.begin(), Spots.end(), [&](Spot &Each) {
        return Each.Slot != &At && isAllowed(Each, *Of, Position) &&
               isWorthwhile(Each, Of->stepOf(Position),
                            ratioWith(Each, *Of, Position) + HarmMargin);
      });
      if (Better == Spots.end())
        continue;
      take(*Better, *Of, Position);
      stop(At, Key);
      if (++Moved == MostRelocations)
        return;
    }
  }
}

// Smaller tasks would take the room that becomes free on every worker; a large
// one that has waited gets the next room on the worker where the most is free.
void JobShard::Impl::keepRoom(std::vector<Spot> &Spots, const JobEntry &Of,
                              int Position) {
  const JobStep &Step = Of.stepOf(Position);
  if (Step.Fills)
    return;
  Spot *Best = nullptr;
  for (Spot &Each : Spots) {
    const JobQueue *Queue = queueOf(Of);
    const WorkerEntry &Entry = Each.Slot->Entry;
    bool Possible =
        Queue && Entry.Service == Queue->Service &&
        Step.reserved().fits(Entry.Capacity) &&
        (Step.RequiredLabel.empty() ||
         Each.Slot->hasLabel(Step.RequiredLabel)) &&
        (Step.MaxPerWorker == 0 ||
         countOnWorker(*Each.Slot, Of, Position) < Step.MaxPerWorker);
    if (Possible && (!Best || Each.Slot->movableRoom().Millicores >
                                  Best->Slot->movableRoom().Millicores))
      Best = &Each;
  }
  if (Best)
    Best->Room.Millicores = 0;
}

// Long-running tasks leave a draining worker while it still runs, as far as
// there is room elsewhere.
void JobShard::Impl::evacuate() {
  if (!mayAct() || !isSettled())
    return;
  std::vector<Spot> Spots;
  for (auto &[Id, At] : m_slots) {
    if (!At.Entry.Draining)
      continue;
    if (Spots.empty())
      Spots = spots();
    std::vector<RunKey> Keys;
    for (const auto &[Key, Run] : At.Held)
      if (Run.Phase == RunPhase::Running)
        Keys.push_back(Key);
    for (const RunKey &Key : Keys) {
      JobEntry *Of = find(Key.first.Job);
      int Position = Of ? Of->positionOf(Key.first) : -1;
      if (Position < 0 || !Of->stepOf(Position).LongRunning)
        continue;
      auto Free = std::find_if(Spots.begin(), Spots.end(), [&](const Spot &S) {
        return isAllowed(S, *Of, Position);
      });
      if (Free == Spots.end())
        continue;
      take(*Free, *Of, Position);
      stop(At, Key);
    }
  }
}

// Keeps the spot true for the tasks that are placed after this one.
void JobShard::Impl::take(Spot &At, const JobEntry &Of, int Position) {
  const JobStep &Step = Of.stepOf(Position);
  auto Capacity = static_cast<double>(At.Slot->Entry.Capacity.Millicores);
  double Share = static_cast<double>(Step.Demand.Millicores) / Capacity;
  At.Room -= Step.reserved();
  At.Load += Step.Fills ? Share : Share / 2;
  if (!Step.Fills)
    return;
  TaskKind Kind = Of.Kinds[static_cast<size_t>(Of.nameOf(Position).Step)];
  for (ServingLoad &Each : At.Serving)
    Each.Ratio += m_harm.slope(Each.Kind, Kind) * Share;
}

bool JobShard::Impl::isAllowed(const Spot &At, const JobEntry &Of,
                               int Position) const {
  const JobQueue *Queue = queueOf(Of);
  const JobStep &Step = Of.stepOf(Position);
  if (!Queue || At.Slot->Entry.Service != Queue->Service)
    return false;
  if (!Step.RequiredLabel.empty() && !At.Slot->hasLabel(Step.RequiredLabel))
    return false;
  Resources Room = At.Room;
  if (Step.Fills)
    Room.MemoryMib -= At.Slot->Entry.Capacity.MemoryMib / FillMemoryPart;
  if (!Step.reserved().fits(Room))
    return false;
  return Step.MaxPerWorker == 0 ||
         countOnWorker(*At.Slot, Of, Position) < Step.MaxPerWorker;
}

int JobShard::Impl::countOnWorker(const WorkerSlot &At, const JobEntry &Of,
                                  int Position) const {
  TaskName Name = Of.nameOf(Position);
  return static_cast<int>(
      std::count_if(At.Held.begin(), At.Held.end(), [&](const auto &Each) {
        const TaskName &Other = Each.first.first;
        return Other.Job == Name.Job && Other.Occurrence == Name.Occurrence &&
               Other.Step == Name.Step;
      }));
}

bool JobShard::Impl::canEverFit(const JobEntry &Of, int Position) const {
  const JobQueue *Queue = queueOf(Of);
  const JobStep &Step = Of.stepOf(Position);
  return std::any_of(
      m_fleet.begin(), m_fleet.end(), [&](const WorkerEntry &Each) {
        bool Labelled = Step.RequiredLabel.empty() ||
                        std::find(Each.Labels.begin(), Each.Labels.end(),
                                  Step.RequiredLabel) != Each.Labels.end();
        return Each.Service == Queue->Service && Labelled &&
               Step.reserved().fits(Each.Capacity);
      });
}

double JobShard::Impl::ratioWith(const Spot &At, const JobEntry &Of,
                                 int Position) const {
  const JobStep &Step = Of.stepOf(Position);
  if (!Step.Fills)
    return 0;
  double Share = static_cast<double>(Step.Demand.Millicores) /
                 static_cast<double>(At.Slot->Entry.Capacity.Millicores);
  TaskKind Kind = Of.Kinds[static_cast<size_t>(Of.nameOf(Position).Step)];
  return expectedRatio(At.Serving, Kind, Share, m_harm);
}

bool JobShard::Impl::isWorthwhile(const Spot &At, const JobStep &Step,
                                  double Ratio) const {
  if (!Step.Fills || m_roomy)
    return true;
  return At.Load < MostFillLoad && Ratio < MostExpectedRatio;
}

double JobShard::Impl::cost(const Spot &At, const JobEntry &Of, int Position,
                            double Ratio) const {
  const JobStep &Step = Of.stepOf(Position);
  const TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
  // Serving tasks are packed, so that some workers have none and can run the
  // fill tasks that would disturb them.
  double Out = Step.TailTarget.count() > 0 ? -At.Load : At.Load;
  if (Step.Fills)
    Out += HarmCost * std::max(0.0, Ratio - HarmAbove);
  if (!Step.DataRack.empty() && !At.Slot->hasLabel(Step.DataRack))
    Out += FarRackCost;
  if (Task.Worker == At.Slot->Entry.Id && Task.Run > 0)
    Out += SameWorkerCost;
  return Out;
}

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
  std::vector<ServingLoad> Serving = At.serving();
  if (Serving.empty())
    return;
  FillShares Shares = At.fillShares();
  for (const ServingLoad &Each : Serving)
    m_harm.observe(Each.Kind, Each.Ratio, Shares);
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
         .FullShare = static_cast<double>(Run.FillMillicores) / Capacity});
    Keys.push_back(Key);
  }
  if (Fills.empty())
    return;
  std::vector<int> Paces = planPaces(At.serving(), Fills, m_harm);
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
