#include "libbasilchute/placementplan.h"

#include "basilchute/limits.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time between two choices of the kept workers. The room beside long-running
/// tasks changes only when one of these starts or ends.
constexpr milliseconds KeptUpdateInterval{200};
/// A worker that has missed more polls in a row is not kept.
constexpr int MaxMissedPolls = 2;

PlannedWorker plannedWorker(const PlacementCandidate &Candidate,
                            TimePoint Now) {
  PlannedWorker Out{.Id = Candidate.Slot->Entry.Id,
                    .Free = Candidate.Later.Free,
                    .Releases = {}};
  for (const auto &[Key, Run] : Candidate.Slot->Runs)
    if (!Run.LongRunning && !Run.ReservesAll)
      Out.Releases.push_back(
          {expectedEnd(Run.ObservedSince, Run.Expected, Now), Run.Reserved});
  return Out;
}

} // namespace

void PlacementPlan::update(const std::map<std::string, WorkerSlot> &Workers,
                           TimePoint Now) {
  if (!isOn() || Now < m_nextKeptUpdate)
    return;
  m_nextKeptUpdate = Now + KeptUpdateInterval;
  std::map<std::string, std::vector<KeepableWorker>> Keepable;
  for (const auto &[Id, Slot] : Workers) {
    bool IsUsable = Slot.IsListed && Slot.Entry.takesTasks() &&
                    Slot.Entry.hasCapacity() &&
                    Slot.MissedPolls <= MaxMissedPolls;
    if (IsUsable)
      Keepable[Slot.Entry.Service].push_back(
          {.Id = Id,
           .CapacityMillicores = Slot.Entry.Capacity.Millicores,
           .RoomMillicores = Slot.eventualFreeCapacity().Millicores});
  }
  std::erase_if(m_kept, [&](const auto &Kept) {
    return !Keepable.count(Kept.first) || !Demand.isInUse(Kept.first, Now);
  });
  for (auto &[Service, Listed] : Keepable) {
    if (!Demand.isInUse(Service, Now))
      continue;
    int64_t Capacity = 0;
    for (const KeepableWorker &Worker : Listed)
      Capacity += Worker.CapacityMillicores;
    m_kept[Service].update(
        std::move(Listed),
        roomForFinite(Capacity, Demand.millicores(Service, Now)));
  }
}

void PlacementPlan::markKept(
    std::vector<PlacementCandidate> &Candidates) const {
  for (PlacementCandidate &Candidate : Candidates)
    Candidate.IsKeptForFinite = isKept(Candidate.Slot->Entry);
}

bool PlacementPlan::isKept(const WorkerEntry &Worker) const {
  auto Kept = m_kept.find(Worker.Service);
  return Kept != m_kept.end() && Kept->second.isKept(Worker.Id);
}

std::vector<UnplacedTask>
PlacementPlan::beginRound(const std::vector<PlacementCandidate> &Candidates,
                          TimePoint Now) {
  std::vector<UnplacedTask> Out;
  Out.swap(m_unplaced);
  if (!isOn())
    return Out;
  std::vector<PlannedWorker> Workers;
  if (!Out.empty()) {
    Workers.reserve(Candidates.size());
    for (const PlacementCandidate &Candidate : Candidates)
      Workers.push_back(plannedWorker(Candidate, Now));
  }
  m_room.beginRound(std::move(Workers), Now);
  return Out;
}

void PlacementPlan::reserve(std::vector<PlacementCandidate> &Candidates,
                            const TaskName &Task, const Resources &Demand,
                            const std::function<bool(size_t)> &CanRun) {
  for (size_t Index = 0; Index < Candidates.size(); ++Index)
    m_room.setFree(Index, Candidates[Index].Later.Free);
  auto Found = m_room.reserve(Task, Demand, CanRun);
  if (Found)
    Candidates[Found->first].Reservation = Found->second;
}

void PlacementPlan::addUnplaced(UnplacedTask Task, TimePoint Now) {
  if (!isOn() || Now < Task.WaitingSince + ReserveAfter)
    return;
  auto At = std::lower_bound(m_unplaced.begin(), m_unplaced.end(), Task);
  m_unplaced.insert(At, std::move(Task));
  if (m_unplaced.size() > RoomPlan::MaxReservations)
    m_unplaced.pop_back();
}

void PlacementPlan::onRunEnded(const JobEntry &Entry, int Position,
                               const RunTime &Expected, milliseconds Duration) {
  Times.add(Entry.runTimeKey(Position), Entry.stepOf(Position).EstimatedRunTime,
            Duration);
  if (!isOn() || Expected.Median.count() <= 0)
    return;
  ++m_predictions.Runs;
  m_predictions.LateRuns += Duration > Expected.Late;
  m_predictions.TotalError += std::chrono::abs(Duration - Expected.Median);
}

void PlacementPlan::addReady(const JobEntry &Entry, int Position,
                             const std::string &Service, TimePoint Now) {
  const JobStep &Step = Entry.stepOf(Position);
  Demand.addJob(Service);
  if (Step.LongRunning || Step.IsFill)
    return;
  RunTime Expected =
      Times.expected(Entry.runTimeKey(Position), Step.EstimatedRunTime);
  Demand.addReady(Service,
                  static_cast<double>(Step.Demand.Millicores) *
                      std::chrono::duration<double>(Expected.Median).count(),
                  Now);
}

RunTime PlacementPlan::expectedTime(const JobEntry &Entry, int Position) const {
  const JobStep &Step = Entry.stepOf(Position);
  if (!isOn() || Step.LongRunning)
    return {};
  return Times.expected(Entry.runTimeKey(Position), Step.EstimatedRunTime);
}

milliseconds PlacementPlan::lateTime(const JobEntry &Entry, int Position,
                                     TimePoint Now) const {
  const JobStep &Step = Entry.stepOf(Position);
  if (!isOn())
    return milliseconds(0);
  if (Step.LongRunning && isBarredFromKept(Entry, Position, Now))
    return MaxDuration + milliseconds(1);
  if (Step.LongRunning || Step.IsFill)
    return MaxDuration;
  return expectedTime(Entry, Position).Late;
}

bool PlacementPlan::isBarredFromKept(const JobEntry &Entry, int Position,
                                     TimePoint Now) {
  const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  return Entry.stepOf(Position).LongRunning && !Entry.isRestart(Position) &&
         Now < Task.WaitingSince + MaxWaitForOpenWorker;
}

bool PlacementPlan::mayUse(const PlacementCandidate &Candidate,
                           const JobEntry &Entry, int Position,
                           TimePoint Now) const {
  if (isBarred(Candidate, Entry, Position, Now))
    return false;
  return !Candidate.Reservation ||
         Candidate.Reservation->admits(Entry.stepOf(Position).reservation(),
                                       Now + lateTime(Entry, Position, Now));
}

size_t PlacementPlan::keptWorkers() const {
  size_t Sum = 0;
  for (const auto &[Service, Kept] : m_kept)
    Sum += Kept.ids().size();
  return Sum;
}

int64_t PlacementPlan::keptMillicores() const {
  int64_t Sum = 0;
  for (const auto &[Service, Kept] : m_kept)
    Sum += Kept.millicores();
  return Sum;
}

std::string PlacementPlan::fields() const {
  const RoomPlanCounts &Room = m_room.counts();
  return fmt::format(
      "kept_workers={} kept_cores={} reservations={} made={} moved={} met={} "
      "missed={} backfilled={} predicted={} late={} error_ms={}",
      keptWorkers(), keptMillicores() / 1000, m_room.reservations(), Room.Made,
      Room.Moved, Room.Met, Room.Missed, m_backfilled, m_predictions.Runs,
      m_predictions.LateRuns,
      m_predictions.TotalError.count() /
          static_cast<int64_t>(std::max<uint64_t>(m_predictions.Runs, 1)));
}

void PlacementPlan::report(JobShardCounts &Counts) const {
  const RoomPlanCounts &Room = m_room.counts();
  Counts.ReservationsMade = Room.Made;
  Counts.ReservationsMoved = Room.Moved;
  Counts.ReservationsMet = Room.Met;
  Counts.ReservationsMissed = Room.Missed;
  Counts.TasksBackfilled = m_backfilled;
  Counts.KeptWorkers = keptWorkers();
  Counts.KeptMillicores = keptMillicores();
  Counts.RunsPredicted = m_predictions.Runs;
  Counts.RunsOverLateBound = m_predictions.LateRuns;
  Counts.TotalPredictionError = m_predictions.TotalError;
}

BASILCHUTE_NAMESPACE_END
