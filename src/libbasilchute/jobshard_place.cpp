#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <limits>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A worker that has not answered for this long gets no starts.
constexpr milliseconds FreshEnough{2600};
/// Least time between two rounds, and after one that placed nothing.
constexpr milliseconds PlacePause{15};
constexpr milliseconds FruitlessPause{45};
/// Steps without a place after which a round ends.
constexpr size_t MostHopelessSteps = 40;
/// Tasks that reserve what they use need room alike, whatever their kind.
constexpr TaskKind AnyReservingKind = -1;
/// A long-running job is begun in part once no other shard is better, or after
/// this if that is not known.
constexpr milliseconds WholePatience{4000};
/// A task that found no room for this long has room kept for it.
constexpr milliseconds KeepRoomAfter{800};
/// A job is refused as impossible only after this, since the list of workers
/// may take that time to arrive.
constexpr milliseconds ImpossibleAfter{300};
/// Cost of a rack that makes the task run slower, in units of load.
constexpr double FarRackCost = 1.0;
/// Cost of each unit of headroom that a fill task leaves short of HarmBelow.
constexpr double HarmCost = 2.0;
constexpr double HarmBelow = 1.6;
/// The headroom of a worker is that of this time from now.
constexpr milliseconds PlaceAhead{800};
/// One part in this many of a worker's memory is not for fill tasks.
constexpr int64_t FillMemoryPart = 8;
/// Headroom of a serving task that has not begun.
constexpr double NewHeadroom = 2.0;
/// Cost of a worker where all serving tasks are of other kinds.
constexpr double StrangerCost = 2.0;
/// Gain of a worker that can take all serving tasks of a step.
constexpr double TogetherGain = 2.0;
/// Gain of a full worker over an empty one for serving tasks.
constexpr double PackingGain = 0.2;
/// Cost of a worker where the same task failed or was lost before.
constexpr double SameWorkerCost = 3.0;

} // namespace

// Placing is bounded, since every step that waits is weighed against every
// worker: what is left waits for the next round.
void JobShard::Impl::place() {
  TimePoint Now = m_time.now();
  if (m_waiting.empty() || Now < m_nextPlace || !mayAct())
    return;
  bool Settled = isSettled();
  m_nextPlace = Now + PlacePause;
  uint64_t StartsBefore = m_counts.Starts;
  std::vector<Spot> Spots = spots();
  m_roomy = isRoomy(Spots);
  std::vector<std::pair<Rank, std::string>> Jobs;
  for (const auto &[Id, Positions] : m_waiting) {
    // What the former owner may have started waits until every worker has told
    // what runs there.
    JobEntry &Of = *find(Id);
    if ((Settled || isOwn(Of)) && mayBegin(Of))
      Jobs.push_back({rankOf(Of), Id});
  }
  std::sort(Jobs.begin(), Jobs.end());
  size_t HopelessSteps = 0;
  Rejections Rejected;
  for (const auto &[Rank, Id] : Jobs) {
    HopelessSteps += placeJob(*find(Id), Spots, Rejected);
    if (HopelessSteps >= MostHopelessSteps || !m_starts.isOpen())
      break;
  }
  if (!m_starts.isOpen())
    ++m_counts.RoundsAtStartLimit;
  else if (HopelessSteps >= MostHopelessSteps)
    ++m_counts.RoundsAtStepLimit;
  else
    ++m_counts.RoundsWhole;
  // Nothing that waits found a place: what changes that takes longer.
  if (m_counts.Starts == StartsBefore && HopelessSteps > 0)
    m_nextPlace = Now + FruitlessPause;
}

bool JobShard::Impl::mayBegin(JobEntry &Of) const {
  if (!Of.IsSure)
    Of.IsSure = !m_options.MayBegin || m_options.MayBegin(Of.JobVersion);
  return Of.IsSure;
}

size_t JobShard::Impl::placeJob(JobEntry &Of, std::vector<Spot> &Spots,
                                Rejections &Rejected) {
  TimePoint Now = m_time.now();
  milliseconds Wall =
      m_options.WallTime ? m_options.WallTime() : milliseconds(0);
  const std::string &Id = Of.Spec.Id;
  std::set<int> Positions = m_waiting[Id];
  if (mayYetMove(Of) && !fitsWhole(Spots, Of, *Positions.begin()))
    return 1;
  // Tasks of one step are alike: if one finds no room, the others do not.
  std::set<int> Hopeless;
  size_t Weighed = 0;
  for (int Position : Positions) {
    TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
    int Step = Of.nameOf(Position).Step;
    if (isFinal(Of.State) || !m_starts.isOpen())
      break;
    if (!m_waiting.count(Id) || !m_waiting[Id].count(Position))
      continue;
    if (Task.NotBefore > Now || Hopeless.count(Step) ||
        Of.dueAt(Position) > Wall)
      continue;
    if (isLikeRejected(Rejected, Of, Position)) {
      Hopeless.insert(Step);
      continue;
    }
    bool Placed = Of.stepOf(Position).Gang ? placeGang(Spots, Of, Position)
                                           : placeOne(Spots, Of, Position);
    if (Placed)
      continue;
    Hopeless.insert(Step);
    if (needsApproval(Of)) {
      askForApproval(Spots, Of, Position, Positions.size());
      continue;
    }
    ++Weighed;
    noteRejected(Rejected, Of, Position);
    if (Now > Task.WaitingSince + KeepRoomAfter)
      keepRoom(Spots, Of, Position);
  }
  return Weighed;
}

// Where one task found no place, another that takes as much finds none either;
// of fill tasks that holds within a kind. Without this a backlog would use up
// the round, and what could run would wait behind it beside idle cores.
bool JobShard::Impl::isLikeRejected(const Rejections &Rejected,
                                    const JobEntry &Of, int Position) const {
  auto Before = Rejected.find(rejectionKey(Of, Position));
  if (Before == Rejected.end())
    return false;
  const Resources &Demand = Of.stepOf(Position).Demand;
  return std::any_of(Before->second.begin(), Before->second.end(),
                     [&](const Resources &Each) { return Each.fits(Demand); });
}

void JobShard::Impl::noteRejected(Rejections &Rejected, const JobEntry &Of,
                                  int Position) const {
  const JobStep &Step = Of.stepOf(Position);
  // What such a step asks for says less than why it found no place.
  if (Step.Gang || Step.MaxPerWorker > 0)
    return;
  Rejected[rejectionKey(Of, Position)].push_back(Step.Demand);
}

JobShard::Impl::RejectionKey JobShard::Impl::rejectionKey(const JobEntry &Of,
                                                          int Position) const {
  const JobQueue *Queue = queueOf(Of);
  const JobStep &Step = Of.stepOf(Position);
  TaskKind Kind = Of.Kinds[static_cast<size_t>(Of.nameOf(Position).Step)];
  return {Queue ? Queue->Service : std::string(), Step.RequiredLabel,
          Step.Fills ? Kind : AnyReservingKind};
}

// While a long-running job is whole it can go to a shard that has room for all
// of it; once it has begun it stays.
bool JobShard::Impl::mayYetMove(const JobEntry &Of) const {
  bool Several = m_options.Shards && m_options.Shards() > 1;
  if (!Several || !Of.Spec.Steps.front().LongRunning || Of.hasStarted())
    return false;
  bool Asked = Of.AskedAt > Of.Seen;
  return Asked ? Of.HasBetter : m_time.now() < Of.Seen + WholePatience;
}

bool JobShard::Impl::fitsWhole(const std::vector<Spot> &Spots,
                               const JobEntry &Of, int Position) {
  std::vector<Spot> Trial = Spots;
  for (int Each : Of.groupPositions(Position)) {
    Spot *Best = cheapest(Trial, Of, Each, {});
    if (!Best)
      return false;
    take(*Best, Of, Each);
  }
  return true;
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
    if (!Usable)
      continue;
    std::vector<ServingLoad> Serving = At.serving(m_harm, Now, PlaceAhead);
    for (const auto &[Kind, Share] : At.plannedShares())
      for (ServingLoad &Each : Serving)
        Each.Headroom -= m_harm.slope(Each.Kind, Kind) * Share;
    Out.push_back({.Slot = &At,
                   .Room = At.room(),
                   .Load = At.load(),
                   .Serving = std::move(Serving)});
  }
  return Out;
}

bool JobShard::Impl::placeOne(std::vector<Spot> &Spots, JobEntry &Of,
                              int Position) {
  Spot *Best = cheapest(Spots, Of, Position, {});
  if (Best) {
    take(*Best, Of, Position);
    start(*Best->Slot, Of, Position);
    return true;
  }
  failIfImpossible(Of, Position);
  return false;
}

JobShard::Impl::Spot *
JobShard::Impl::cheapest(std::vector<Spot> &Spots, const JobEntry &Of,
                         int Position,
                         const std::vector<WorkerSlot *> &Beside) {
  const JobStep &Step = Of.stepOf(Position);
  Spot *Best = nullptr;
  double BestCost = 0;
  for (Spot &Each : Spots) {
    // Members of a gang that were chosen before do not yet count on the worker.
    auto Chosen = std::count(Beside.begin(), Beside.end(), Each.Slot);
    bool Full = Step.MaxPerWorker > 0 && Chosen >= Step.MaxPerWorker;
    if (Full || !isAllowed(Each, Of, Position))
      continue;
    double Headroom = headroomWith(Each, Of, Position);
    if (!isWorthwhile(Each, Step, Headroom))
      continue;
    double Cost = cost(Each, Of, Position, Headroom);
    if (Step.RackSensitive && !Beside.empty() &&
        !sharesRack(*Each.Slot, *Beside.front()))
      Cost += FarRackCost;
    if (Best && Cost >= BestCost)
      continue;
    Best = &Each;
    BestCost = Cost;
  }
  return Best;
}

bool JobShard::Impl::sharesRack(const WorkerSlot &A, const WorkerSlot &B) {
  return A.Entry.Labels.empty() || B.Entry.Labels.empty() ||
         A.Entry.Labels.back() == B.Entry.Labels.back();
}

void JobShard::Impl::failIfImpossible(JobEntry &Of, int Position) {
  bool Old = m_time.now() > Of.Seen + ImpossibleAfter;
  if (Old && queueOf(Of) && !m_fleet.empty() && !canEverFit(Of, Position))
    endJob(Of, JobState::Failed, "fits_no_worker");
}

// Keeps the spot true for the tasks that are placed after this one.
void JobShard::Impl::take(Spot &At, const JobEntry &Of, int Position) {
  const JobStep &Step = Of.stepOf(Position);
  auto Capacity = static_cast<double>(At.Slot->Entry.Capacity.Millicores);
  double Share = static_cast<double>(Step.Demand.Millicores) / Capacity;
  At.Room -= Step.reserved();
  At.Load += Step.LongRunning ? Share / 2 : Share;
  TaskKind Kind = Of.Kinds[static_cast<size_t>(Of.nameOf(Position).Step)];
  if (Step.TailTarget.count() > 0)
    At.Serving.push_back({.Kind = Kind, .Headroom = NewHeadroom});
  if (!Step.Fills)
    return;
  for (ServingLoad &Each : At.Serving)
    Each.Headroom -= m_harm.slope(Each.Kind, Kind) * Share;
}

bool JobShard::Impl::isAllowed(const Spot &At, const JobEntry &Of,
                               int Position) const {
  return couldRun(At, Of, Position) && isApproved(At, Of, Position);
}

bool JobShard::Impl::needsApproval(const JobEntry &Of) const {
  const JobQueue *Queue = queueOf(Of);
  return Queue && Queue->needsApproval();
}

bool JobShard::Impl::isApproved(const Spot &At, const JobEntry &Of,
                                int Position) const {
  if (!needsApproval(Of))
    return true;
  ApprovalCandidate Candidate{.Worker = At.Slot->Entry.Id,
                              .Born = At.Slot->Born};
  return m_approvals.ticket(Of.stepName(Position), Candidate) != nullptr;
}

// Asks only where the task would fit, and does not hold back other work.
void JobShard::Impl::askForApproval(const std::vector<Spot> &Spots,
                                    const JobEntry &Of, int Position,
                                    size_t Tasks) {
  std::vector<std::pair<double, ApprovalCandidate>> Fitting;
  for (const Spot &Each : Spots)
    if (couldRun(Each, Of, Position))
      Fitting.push_back(
          {cost(Each, Of, Position, headroomWith(Each, Of, Position)),
           {.Worker = Each.Slot->Entry.Id, .Born = Each.Slot->Born}});
  std::sort(Fitting.begin(), Fitting.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<ApprovalCandidate> Candidates;
  for (auto &[Cost, Candidate] : Fitting)
    Candidates.push_back(std::move(Candidate));
  m_approvals.want(Of.stepName(Position), Tasks, queueOf(Of)->ApprovalValidity,
                   Candidates);
}

bool JobShard::Impl::couldRun(const Spot &At, const JobEntry &Of,
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

double JobShard::Impl::headroomWith(const Spot &At, const JobEntry &Of,
                                    int Position) const {
  const JobStep &Step = Of.stepOf(Position);
  if (!Step.Fills)
    return std::numeric_limits<double>::max();
  double Share = static_cast<double>(Step.Demand.Millicores) /
                 static_cast<double>(At.Slot->Entry.Capacity.Millicores);
  TaskKind Kind = Of.Kinds[static_cast<size_t>(Of.nameOf(Position).Step)];
  return headroomBeside(At.Serving, Kind, Share, m_harm);
}

bool JobShard::Impl::isFull(const Spot &At) { return At.Load >= MostFillLoad; }

bool JobShard::Impl::isWorthwhile(const Spot &At, const JobStep &Step,
                                  double Headroom) const {
  if (!Step.Fills || m_roomy)
    return true;
  return !isFull(At) && Headroom > LeastHeadroom;
}

double JobShard::Impl::cost(const Spot &At, const JobEntry &Of, int Position,
                            double Headroom) const {
  const JobStep &Step = Of.stepOf(Position);
  const TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
  double Out = At.Load;
  if (Step.TailTarget.count() > 0) {
    TaskKind Kind = Of.Kinds[static_cast<size_t>(Of.nameOf(Position).Step)];
    Out = StrangerCost * strangers(At, Kind) -
          TogetherGain * togetherness(At, Of, Position) - PackingGain * At.Load;
  }
  if (Step.Fills)
    Out += HarmCost * std::max(0.0, HarmBelow - Headroom);
  if (!Step.DataRack.empty() && !At.Slot->hasLabel(Step.DataRack))
    Out += FarRackCost;
  if (Task.Worker == At.Slot->Entry.Id && Task.Run > 0)
    Out += SameWorkerCost;
  return Out;
}

// Serving tasks of one step have the same users: kept together their load falls
// at the same time, and fill tasks find room then. Returns the part of the step
// that could be on the worker.
double JobShard::Impl::togetherness(const Spot &At, const JobEntry &Of,
                                    int Position) const {
  const JobStep &Step = Of.stepOf(Position);
  int Here = countOnWorker(*At.Slot, Of, Position);
  int Most = Step.MaxPerWorker > 0 ? Step.MaxPerWorker : Step.Count;
  Resources Left = At.Room;
  int Fitting = 0;
  while (Here + Fitting < Most && Step.reserved().fits(Left)) {
    Left -= Step.reserved();
    ++Fitting;
  }
  return static_cast<double>(Here + Fitting) / static_cast<double>(Step.Count);
}

// Serving tasks of one kind bear the same fill tasks. Kept together and packed
// they leave workers to the fill tasks that would disturb them.
double JobShard::Impl::strangers(const Spot &At, TaskKind Kind) {
  if (At.Serving.empty())
    return 0;
  auto Others =
      std::count_if(At.Serving.begin(), At.Serving.end(),
                    [Kind](const auto &Each) { return Each.Kind != Kind; });
  return static_cast<double>(Others) / static_cast<double>(At.Serving.size());
}

BASILCHUTE_NAMESPACE_END
