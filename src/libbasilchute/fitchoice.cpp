#include "libbasilchute/fitchoice.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Cost of a rack on which the task runs slower, in units of a worker's load
/// like all costs and gains below.
constexpr double RemoteRackCost = 1.0;
/// Cost for a serving task of a worker where all serving tasks are of other
/// kinds.
constexpr double OtherKindsCost = 2.0;
/// Gain for a serving task of a worker that can take all tasks of its step.
constexpr double ColocationGain = 2.0;
/// Gain for a serving task of a full worker over an empty one.
constexpr double PackingGain = 0.2;
/// Cost of the worker of the task's previous run, which failed or was lost.
constexpr double SameWorkerCost = 3.0;
/// Cost of a worker that is kept for finite tasks: more than all others
/// together.
constexpr double KeptWorkerCost = 100;
/// Leftover room that costs as much as a unit of load: the processors of the
/// largest workers of the measured fleet.
constexpr double LargeWorkerMillicores = 48000;

/// Returns the fraction of the step's tasks that the worker runs or has room
/// for. Serving tasks of one step share their users, so on one worker their
/// load falls at the same time and leaves room for fill tasks.
double colocatableFraction(const PlacementCandidate &Candidate,
                           const JobStep &Step, int HeldHere) {
  int MaxHere = Step.MaxPerWorker > 0 ? Step.MaxPerWorker : Step.Count;
  Resources RoomLeft = Candidate.Room;
  int Fitting = 0;
  while (HeldHere + Fitting < MaxHere && Step.reservation().fits(RoomLeft)) {
    RoomLeft -= Step.reservation();
    ++Fitting;
  }
  return static_cast<double>(HeldHere + Fitting) /
         static_cast<double>(Step.Count);
}

/// Returns the fraction of the worker's serving tasks that are of other kinds.
/// Serving tasks of one kind tolerate the same kinds of fill task. Packing them
/// together leaves other workers to the fill tasks that would interfere with
/// them.
double otherKindsFraction(const PlacementCandidate &Candidate, TaskKind Kind) {
  if (Candidate.Serving.empty())
    return 0;
  auto Others = std::count_if(
      Candidate.Serving.begin(), Candidate.Serving.end(),
      [Kind](const auto &ServingTask) { return ServingTask.Kind != Kind; });
  return static_cast<double>(Others) /
         static_cast<double>(Candidate.Serving.size());
}

double servingCost(const PlacementCandidate &Candidate, const JobStep &Step,
                   const TaskFit &Task, const FitOptions &Options) {
  double Cost =
      OtherKindsCost * otherKindsFraction(Candidate, Task.Kind) -
      ColocationGain * colocatableFraction(Candidate, Step, Task.HeldHere);
  // In a full shard, fragments are what lacks; elsewhere serving tasks share
  // the fullest workers.
  if (Options.IsPlanned && !Options.IsLightlyLoaded)
    return Cost + leftoverPart(Candidate.Later.Eventual, Step.reservation());
  return Cost - PackingGain * Candidate.Load;
}

double baseCost(const PlacementCandidate &Candidate, const JobStep &Step,
                const TaskFit &Task, const FitOptions &Options) {
  if (Step.TailTarget.count() > 0)
    return servingCost(Candidate, Step, Task, Options);
  if (Step.IsFill)
    return Task.FillCost;
  if (!Options.IsPlanned)
    return Candidate.Load;
  // Finite tasks leave a long-running one room that it can use later.
  return leftoverPart(Step.LongRunning ? Candidate.Later.Eventual
                                       : Candidate.Room,
                      Step.reservation());
}

} // namespace

double leftoverPart(const Resources &Room, const Resources &Demand) {
  return static_cast<double>(Room.Millicores - Demand.Millicores) /
         LargeWorkerMillicores;
}

double placementCost(const PlacementCandidate &Candidate, const JobStep &Step,
                     const TaskFit &Task, const FitOptions &Options) {
  double Cost = baseCost(Candidate, Step, Task, Options);
  if (!Step.DataRack.empty() && !Candidate.Slot->hasLabel(Step.DataRack))
    Cost += RemoteRackCost;
  if (Task.HadPreviousRun)
    Cost += SameWorkerCost;
  if (Candidate.IsKeptForFinite && Step.LongRunning)
    Cost += KeptWorkerCost;
  return Cost;
}

bool isLightlyLoaded(const std::vector<PlacementCandidate> &Candidates) {
  int64_t Free = 0;
  int64_t Total = 0;
  for (const PlacementCandidate &Candidate : Candidates) {
    Free += Candidate.Room.Millicores;
    Total += Candidate.Slot->Entry.Capacity.Millicores;
  }
  return Free * 2 > Total;
}

BASILCHUTE_NAMESPACE_END
