#include "libbasilchute/jobshard_impl.h"

#include "basilchute/limits.h"
#include "libbasilchute/fitchoice.h"

#include <algorithm>
#include <limits>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// No tasks are started on a worker whose last answer is older.
constexpr milliseconds MaxAnswerAge{2600};
/// Minimum time between two rounds, and after a round that placed no task.
constexpr milliseconds MinRoundInterval{15};
constexpr milliseconds UnsuccessfulRoundInterval{45};
/// Restarts that began to wait within this time count as equally old.
constexpr milliseconds SameTime{500};
/// Stands for all kinds but those of fill tasks: whether a task that reserves
/// processors can be placed does not depend on its kind.
constexpr TaskKind AnyNonFillKind = -1;
/// Room is reserved for a task that has waited for this long.
constexpr milliseconds ReserveRoomAfter{800};
/// Cost of a gang member on another rack than the first one, in units of a
/// worker's load.
constexpr double RemoteRackCost = 1.0;
/// Headroom is predicted for this time from now.
constexpr milliseconds HeadroomLookahead{800};
/// Fill tasks leave one part in this many of a worker's memory free.
constexpr int64_t FillMemoryReserveDivisor = 8;

/// Returns true if room is kept from the task for restarts of other shards.
bool isKeptFrom(const PlacementRound &Current, const JobEntry &Entry,
                int Position) {
  return Entry.stepOf(Position).LongRunning && !Entry.isRestart(Position) &&
         std::any_of(Current.Candidates.begin(), Current.Candidates.end(),
                     [](const PlacementCandidate &Candidate) {
                       return Candidate.IsKeptForRestarts;
                     });
}

/// Returns true if no step of the same kind with at least the same demand can
/// be placed once this step could not. A gang or a limit per worker can be the
/// reason for the rejection instead of the demand, so that no other step is
/// rejected because of such a step.
bool excludesOthers(const JobStep &Step) {
  return !Step.Gang && Step.MaxPerWorker == 0;
}

bool sharesRack(const WorkerSlot &A, const WorkerSlot &B) {
  return A.Entry.Labels.empty() || B.Entry.Labels.empty() ||
         A.Entry.Labels.back() == B.Entry.Labels.back();
}

} // namespace

// Every waiting step is compared with every worker, so the work of one round is
// bounded; the remaining tasks wait for the next round.
void JobShard::Impl::place() {
  TimePoint Now = m_time.now();
  if ((m_waiting.empty() && !hasLeavingRuns()) || Now < m_nextRound ||
      !canSendOrders() || !leaseToGive() || !mayStart())
    return;
  m_nextRound = Now + MinRoundInterval;
  uint64_t StartsBefore = m_counts.Starts;
  PlacementRound Current{.Candidates = placementCandidates()};
  m_isLightlyLoaded = isLightlyLoaded(Current.Candidates);
  m_plan.markKept(Current.Candidates);
  placeTrials(Current.Candidates);
  m_unplacedSteps.beginRound();
  if (placeRestarts(Current)) {
    moveLeavingRuns(Current);
    keepRoomForOtherShards(Current.Candidates);
    placeReserved(Current);
    placeOthers(Current);
  }
  if (!m_startWindow.isOpen())
    ++m_counts.RoundsAtStartLimit;
  else if (m_unplacedSteps.hasReachedLimit())
    ++m_counts.RoundsAtStepLimit;
  else
    ++m_counts.RoundsCompleted;
  // No waiting task could be placed, and the state of the workers changes more
  // slowly than rounds follow one another.
  if (m_counts.Starts == StartsBefore &&
      (m_unplacedSteps.any() || m_waiting.empty()))
    m_nextRound = Now + UnsuccessfulRoundInterval;
  commit();
}

// Room is kept for each restart that finds none, so that their waits do not add
// up.
bool JobShard::Impl::placeRestarts(PlacementRound &Current) {
  for (const auto &[Since, Millicores, Id, Position] : waitingRestarts()) {
    if (!m_startWindow.isOpen())
      return false;
    JobEntry &Entry = *find(Id);
    if (!isWaiting(Entry, Position))
      continue;
    placeTask(Current, Entry, Position);
    if (isWaiting(Entry, Position) && !mayHavePreviousRun(Entry, Position))
      (void)holdRoom(Current.Candidates, Entry, Position);
  }
  return true;
}

void JobShard::Impl::placeOthers(PlacementRound &Current) {
  for (const RankedJob &Next : rankedJobs()) {
    placeJob(Current, *find(Next.Id));
    if (m_unplacedSteps.isRoundOver() || !m_startWindow.isOpen())
      return;
  }
}

// Places the tasks that found no room in the previous round before all others,
// and reserves room for those that still find none.
void JobShard::Impl::placeReserved(PlacementRound &Current) {
  for (const UnplacedTask &Task :
       m_plan.beginRound(Current.Candidates, m_time.now())) {
    JobEntry *Entry = find(Task.Job);
    if (!Entry || !isWaiting(*Entry, Task.Position) || !canStart(*Entry) ||
        isSuspect(*Entry, Task.Position) ||
        fitOf(*Entry, Task.Position) != StepFit::ThisShard)
      continue;
    if (m_startWindow.isOpen())
      placeTask(Current, *Entry, Task.Position);
    else
      m_plan.addUnplaced(Task, m_time.now());
    if (isWaiting(*Entry, Task.Position))
      m_plan.reserve(Current.Candidates, Entry->nameOf(Task.Position),
                     Entry->stepOf(Task.Position).reservation(),
                     [&](size_t Index) {
                       return mayRunOn(*Current.Candidates[Index].Slot, *Entry,
                                       Task.Position);
                     });
  }
  m_plan.endReservations();
}

// Returns the restarts that may be placed. The task that has waited longest
// comes first, whichever job it is of. Of tasks that began to wait at about the
// same time, such as those of one worker, the largest comes first: little room
// is left that is too small for any.
std::vector<JobShard::Impl::Restart> JobShard::Impl::waitingRestarts() {
  std::vector<Restart> Out;
  for (const auto &[Id, Positions] : m_waiting) {
    JobEntry &Entry = *find(Id);
    if (!Entry.HasLongRunningStep || !canStart(Entry))
      continue;
    for (int Position : Positions) {
      if (!Entry.isRestart(Position) || isSuspect(Entry, Position) ||
          fitOf(Entry, Position) != StepFit::ThisShard)
        continue;
      TimePoint Since = Entry.Tasks[static_cast<size_t>(Position)].WaitingSince;
      Out.emplace_back(Since.time_since_epoch() / SameTime,
                       -Entry.stepOf(Position).Demand.Millicores, Id, Position);
    }
  }
  std::sort(Out.begin(), Out.end());
  return Out;
}

// Returns the jobs that may be started, in the order of their placement.
std::vector<RankedJob> JobShard::Impl::rankedJobs() {
  std::vector<RankedJob> Out;
  for (const auto &[Id, Positions] : m_waiting) {
    JobEntry &Entry = *find(Id);
    bool HasOthers =
        canStart(Entry) &&
        std::any_of(Positions.begin(), Positions.end(),
                    [&, &Entry = Entry](int Position) {
                      return !Entry.isRestart(Position) &&
                             !isSuspect(Entry, Position) &&
                             !mayHavePreviousRun(Entry, Position) &&
                             mayFitHere(Entry, Position);
                    });
    if (!HasOthers)
      continue;
    Out.push_back({.Rank = rankOf(Entry), .Id = Id, .Queue = Entry.Spec.Queue});
  }
  std::sort(Out.begin(), Out.end());
  if (!m_options.OrdersByShares || !QueueShares::areNeeded(Out))
    return Out;
  for (RankedJob &Job : Out)
    for (int Position : m_waiting.at(Job.Id))
      Job.Demand += find(Job.Id)->stepOf(Position).reservation();
  heldShares().order(Out);
  return Out;
}

// Tasks that no worker of this shard can hold wait for one without a turn.
bool JobShard::Impl::mayFitHere(const JobEntry &Entry, int Position) {
  if (fitOf(Entry, Position) == StepFit::ThisShard)
    return true;
  m_unplacedSteps.addWithoutWorker();
  return false;
}

// Returns what the finite runs of each queue hold.
QueueShares JobShard::Impl::heldShares() {
  Resources Capacity;
  for (const auto &[Worker, Slot] : m_slots)
    if (Slot.isUsable())
      Capacity += Slot.Entry.Capacity;
  QueueShares Out(Capacity, m_queues);
  for (const auto &[Worker, Slot] : m_slots)
    for (const auto &[Key, Run] : Slot.Runs)
      if (const JobEntry *Entry =
              Run.LongRunning ? nullptr : find(Key.first.Job))
        Out.add(Entry->Spec.Queue, Run.Reserved);
  return Out;
}

bool JobShard::Impl::canStart(JobEntry &Entry) const {
  if (Entry.MayBeCancelledAtHome)
    return false;
  if (!Entry.IsOwnershipCertain)
    Entry.IsOwnershipCertain =
        !m_options.WasOwnerAt || m_options.WasOwnerAt(Entry.JobVersion);
  return Entry.IsOwnershipCertain;
}

bool JobShard::Impl::isWaiting(const JobEntry &Entry, int Position) const {
  auto Waiting = m_waiting.find(Entry.Spec.Id);
  return Waiting != m_waiting.end() && Waiting->second.count(Position) > 0;
}

void JobShard::Impl::placeJob(PlacementRound &Current, JobEntry &Entry) {
  auto Waiting = m_waiting.find(Entry.Spec.Id);
  if (Waiting == m_waiting.end())
    return;
  std::set<int> Positions = Waiting->second;
  std::erase_if(Positions, [&](int Position) {
    return isSuspect(Entry, Position) || Entry.isRestart(Position) ||
           fitOf(Entry, Position) != StepFit::ThisShard;
  });
  if (Positions.empty())
    return;
  if (shouldWaitForTransfer(Current.Candidates, Entry, *Positions.begin())) {
    m_unplacedSteps.addPlain();
    return;
  }
  if (m_options.MeasuredFill)
    Entry.FillWeight = fillUrgency(endOverTarget(Entry));
  for (int Position : Positions) {
    if (isFinal(Entry.State) || !m_startWindow.isOpen())
      break;
    if (isWaiting(Entry, Position))
      placeTask(Current, Entry, Position);
  }
}

void JobShard::Impl::placeTask(PlacementRound &Current, JobEntry &Entry,
                               int Position) {
  TimePoint Now = m_time.now();
  milliseconds WallTime =
      m_options.WallTime ? m_options.WallTime() : milliseconds(0);
  const std::string &Id = Entry.Spec.Id;
  const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  int StepIndex = Entry.nameOf(Position).Step;
  bool IsLimited = !excludesOthers(Entry.stepOf(Position));
  // The place that is stored must be the only one.
  bool MayStart =
      Task.EarliestStart <= Now && Entry.dueAt(Position) <= WallTime &&
      !Current.SkippedSteps.count({Id, StepIndex}) &&
      !mayHavePreviousRun(Entry, Position) &&
      !(Entry.storesPlace(Position) && hasRunsOf(Entry.nameOf(Position)));
  if (!MayStart)
    return;
  RejectionKey Key = rejectionKey(Entry, Position);
  const Resources &Demand = Entry.stepOf(Position).Demand;
  milliseconds LateTime = m_plan.lateTime(Entry, Position, Now);
  if (Current.Rejected.matches(Key, Demand, LateTime) ||
      (IsLimited && !m_unplacedSteps.mayTry(Id, StepIndex))) {
    Current.SkippedSteps.insert({Id, StepIndex});
    addUnplaced(Entry, Position);
    return;
  }
  bool IsPlaced = Entry.stepOf(Position).Gang
                      ? placeGang(Current.Candidates, Entry, Position)
                      : placeOne(Current.Candidates, Entry, Position);
  if (IsPlaced)
    return;
  Current.SkippedSteps.insert({Id, StepIndex});
  if (isFinal(Entry.State))
    return;
  if (needsApproval(Entry)) {
    requestApproval(Current.Candidates, Entry, Position, m_waiting[Id].size());
    return;
  }
  if (IsLimited)
    m_unplacedSteps.addLimited(Id, StepIndex);
  else
    m_unplacedSteps.addPlain();
  // Short tasks may take what is kept from this one.
  if (isKeptFrom(Current, Entry, Position))
    return;
  if (!IsLimited)
    Current.Rejected.add(Key, Demand, LateTime);
  addUnplaced(Entry, Position);
  if (!m_plan.canReserve(Entry.stepOf(Position)) &&
      !Entry.isRestart(Position) && Now > Task.WaitingSince + ReserveRoomAfter)
    keepRoom(Current.Candidates, Entry, Position);
}

void JobShard::Impl::addUnplaced(const JobEntry &Entry, int Position) {
  const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  if (!m_plan.canReserve(Entry.stepOf(Position)) || needsApproval(Entry))
    return;
  // Room for jobs that will have no value comes last; that of started jobs
  // first, as in rankOf().
  int Rank = (latenessOf(Entry) == 2 ? 2 : 0) + (Entry.hasStarted() ? 0 : 1);
  m_plan.addUnplaced({.Rank = Rank,
                      .WaitingSince = Task.WaitingSince,
                      .Job = Entry.Spec.Id,
                      .Position = Position},
                     m_time.now());
}

RejectionKey JobShard::Impl::rejectionKey(const JobEntry &Entry,
                                          int Position) const {
  const JobQueue *Queue = queueOf(Entry);
  const JobStep &Step = Entry.stepOf(Position);
  TaskKind Kind = Entry.Kinds[static_cast<size_t>(Entry.nameOf(Position).Step)];
  return {Queue ? Queue->Service : std::string(), Step.RequiredLabel,
          Step.IsFill ? Kind : AnyNonFillKind};
}

std::vector<PlacementCandidate> JobShard::Impl::placementCandidates() {
  TimePoint Now = m_time.now();
  std::vector<PlacementCandidate> Candidates;
  for (auto &[Id, Slot] : m_slots) {
    bool IsUsable = canTakeStart(Slot) && Slot.Entry.hasCapacity() &&
                    Now >= Slot.NextStartAt &&
                    Now < Slot.LastAnswer + MaxAnswerAge;
    if (!IsUsable)
      continue;
    std::vector<ServingLoad> Serving =
        Slot.servingLoads(m_interference, Now, HeadroomLookahead);
    Resources Free = Slot.freeCapacity();
    Candidates.push_back(
        {.Slot = &Slot,
         .Room = Free,
         .Load = Slot.load(),
         .Later = {.Free = Free, .Eventual = Slot.eventualFreeCapacity()},
         .Serving = std::move(Serving)});
    if (m_options.MeasuredFill)
      Candidates.back().Fill = Slot.fillRoom(Now);
    for (const auto &[Kind, Share] : Slot.plannedFillShares())
      Candidates.back().addFillShare(Kind, Share, m_interference);
  }
  return Candidates;
}

bool JobShard::Impl::placeOne(std::vector<PlacementCandidate> &Candidates,
                              JobEntry &Entry, int Position) {
  PlacementCandidate *Best = cheapest(Candidates, Entry, Position, {});
  if (Best) {
    if (Best->Reservation)
      m_plan.onBackfilled();
    reserveFor(*Best, Entry, Position);
    start(*Best->Slot, Entry, Position);
    return true;
  }
  return false;
}

PlacementCandidate *
JobShard::Impl::cheapest(std::vector<PlacementCandidate> &Candidates,
                         const JobEntry &Entry, int Position,
                         const std::vector<WorkerSlot *> &GangWorkers) {
  const JobStep &Step = Entry.stepOf(Position);
  PlacementCandidate *Best = nullptr;
  double BestCost = 0;
  for (PlacementCandidate &Candidate : Candidates) {
    // Gang members that were placed earlier in this call of placeGang() are not
    // yet among the worker's runs.
    auto ChosenHere =
        std::count(GangWorkers.begin(), GangWorkers.end(), Candidate.Slot);
    bool IsAtMaxPerWorker =
        Step.MaxPerWorker > 0 && ChosenHere >= Step.MaxPerWorker;
    if (IsAtMaxPerWorker || !isAllowed(Candidate, Entry, Position))
      continue;
    FillPlace Place = fillPlace(Candidate, Entry, Position);
    if (!admitsFillTask(Entry, Position, Place))
      continue;
    double Cost = cost(Candidate, Entry, Position, Place);
    if (Step.RackSensitive && !GangWorkers.empty() &&
        !sharesRack(*Candidate.Slot, *GangWorkers.front()))
      Cost += RemoteRackCost;
    if (Best && Cost >= BestCost)
      continue;
    Best = &Candidate;
    BestCost = Cost;
  }
  return Best;
}

// Accounts for the task in the candidate's room, load and headroom, for tasks
// that are placed later in the round.
void JobShard::Impl::reserveFor(PlacementCandidate &Candidate,
                                const JobEntry &Entry, int Position) {
  const JobStep &Step = Entry.stepOf(Position);
  TaskKind Kind = Entry.Kinds[static_cast<size_t>(Entry.nameOf(Position).Step)];
  TimePoint Now = m_time.now();
  Candidate.take(Step, Kind, m_interference,
                 Now + m_plan.lateTime(Entry, Position, Now));
  if (Step.IsFill)
    Candidate.Fill.add(fillTask(Entry, Position));
}

bool JobShard::Impl::isAllowed(const PlacementCandidate &Candidate,
                               const JobEntry &Entry, int Position) const {
  return canRunIfApproved(Candidate, Entry, Position) &&
         isApproved(Candidate, Entry, Position);
}

bool JobShard::Impl::needsApproval(const JobEntry &Entry) const {
  const JobQueue *Queue = queueOf(Entry);
  return Queue && Queue->needsApproval();
}

bool JobShard::Impl::isApproved(const PlacementCandidate &Candidate,
                                const JobEntry &Entry, int Position) const {
  if (!needsApproval(Entry))
    return true;
  ApprovalCandidate Worker{.Worker = Candidate.Slot->Entry.Id,
                           .Incarnation = Candidate.Slot->Incarnation};
  return m_approvals.ticket(Entry.stepName(Position), Worker) != nullptr;
}

// Requests approvals only for workers where the task would fit. Reserves no
// room, so other tasks are not delayed.
void JobShard::Impl::requestApproval(
    const std::vector<PlacementCandidate> &Candidates, const JobEntry &Entry,
    int Position, size_t Tasks) {
  std::vector<std::pair<double, ApprovalCandidate>> Fitting;
  for (const PlacementCandidate &Candidate : Candidates)
    if (canRunIfApproved(Candidate, Entry, Position))
      Fitting.push_back({cost(Candidate, Entry, Position,
                              fillPlace(Candidate, Entry, Position)),
                         {.Worker = Candidate.Slot->Entry.Id,
                          .Incarnation = Candidate.Slot->Incarnation}});
  std::sort(Fitting.begin(), Fitting.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<ApprovalCandidate> Workers;
  for (auto &[Cost, Worker] : Fitting)
    Workers.push_back(std::move(Worker));
  m_approvals.request(Entry.stepName(Position), Tasks,
                      queueOf(Entry)->ApprovalValidity, Workers);
}

bool JobShard::Impl::canRunIfApproved(const PlacementCandidate &Candidate,
                                      const JobEntry &Entry,
                                      int Position) const {
  const JobQueue *Queue = queueOf(Entry);
  const JobStep &Step = Entry.stepOf(Position);
  if (!Queue || Candidate.Slot->Entry.Service != Queue->Service)
    return false;
  if (Candidate.IsKeptForRestarts && Step.LongRunning)
    return false;
  if (!m_plan.mayUse(Candidate, Entry, Position, m_time.now()))
    return false;
  if (!Step.RequiredLabel.empty() &&
      !Candidate.Slot->hasLabel(Step.RequiredLabel))
    return false;
  Resources Room = Candidate.Room;
  if (Step.IsFill)
    Room.MemoryMib -=
        Candidate.Slot->Entry.Capacity.MemoryMib / FillMemoryReserveDivisor;
  if (!Step.reservation().fits(Room))
    return false;
  return Step.MaxPerWorker == 0 ||
         countOnWorker(*Candidate.Slot, Entry, Position) < Step.MaxPerWorker;
}

int JobShard::Impl::countOnWorker(const WorkerSlot &Slot, const JobEntry &Entry,
                                  int Position) const {
  TaskName Name = Entry.nameOf(Position);
  return static_cast<int>(
      std::count_if(Slot.Runs.begin(), Slot.Runs.end(), [&](const auto &Run) {
        const TaskName &Other = Run.first.first;
        return Other.Job == Name.Job && Other.Occurrence == Name.Occurrence &&
               Other.Step == Name.Step;
      }));
}

StepFit JobShard::Impl::fitOf(const JobEntry &Entry, int Position) const {
  const JobQueue *Queue = queueOf(Entry);
  if (!Queue)
    return StepFit::ThisShard;
  const JobStep &Step = Entry.stepOf(Position);
  KnownStepFit &Known =
      Entry.Fits[static_cast<size_t>(&Step - Entry.Spec.Steps.data())];
  if (Known.List == m_workerList)
    return Known.Fit;
  auto CanRun = [&](const WorkerEntry &Worker) {
    return canRunOn(Worker, Step, Queue->Service);
  };
  bool IsHere = std::any_of(m_slots.begin(), m_slots.end(), [&](auto &Slot) {
    return Slot.second.IsListed && CanRun(Slot.second.Entry);
  });
  bool IsAnywhere =
      IsHere || std::any_of(m_fleet.begin(), m_fleet.end(), CanRun);
  Known = {.List = m_workerList,
           .Fit = IsHere       ? StepFit::ThisShard
                  : IsAnywhere ? StepFit::OtherShard
                               : StepFit::Nowhere};
  return Known.Fit;
}

FillTask JobShard::Impl::fillTask(const JobEntry &Entry, int Position) const {
  return {.Millicores =
              static_cast<double>(Entry.stepOf(Position).Demand.Millicores),
          .Weight = Entry.FillWeight};
}

FillPlace JobShard::Impl::fillPlace(const PlacementCandidate &Candidate,
                                    const JobEntry &Entry, int Position) const {
  const JobStep &Step = Entry.stepOf(Position);
  if (!Step.IsFill)
    return {};
  double Share =
      static_cast<double>(Step.Demand.Millicores) / Candidate.millicores();
  TaskKind Kind = Entry.Kinds[static_cast<size_t>(Entry.nameOf(Position).Step)];
  return {.Load = Candidate.Load,
          .Headroom =
              headroomWithFill(Candidate.Serving, Kind, Share, m_interference),
          .Room = Candidate.Fill};
}

bool JobShard::Impl::admitsFillTask(const JobEntry &Entry, int Position,
                                    const FillPlace &Place) const {
  return !Entry.stepOf(Position).IsFill || m_isLightlyLoaded ||
         admitsFill(fillTask(Entry, Position), Place, m_fillPlacement);
}

double JobShard::Impl::cost(const PlacementCandidate &Candidate,
                            const JobEntry &Entry, int Position,
                            const FillPlace &Place) const {
  const JobStep &Step = Entry.stepOf(Position);
  const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  bool IsServing = Step.TailTarget.count() > 0;
  return placementCost(
      Candidate, Step,
      {.Kind = Entry.Kinds[static_cast<size_t>(Entry.nameOf(Position).Step)],
       .FillCost = Step.IsFill ? fillPlaceCost(fillTask(Entry, Position), Place,
                                               m_fillPlacement)
                               : 0,
       .HeldHere =
           IsServing ? countOnWorker(*Candidate.Slot, Entry, Position) : 0,
       .HadPreviousRun =
           Task.Worker == Candidate.Slot->Entry.Id && Task.LastRun > 0},
      {.IsPlanned = m_plan.isOn(), .IsLightlyLoaded = m_isLightlyLoaded});
}

BASILCHUTE_NAMESPACE_END
