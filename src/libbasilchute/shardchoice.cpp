#include "basilchute/shardchoice.h"

#include "libbasilchute/jobestimate.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Minimum gain of a job's transfer to another shard. A transfer costs a
/// transaction and the time until the other owner learns of the job.
constexpr double TransferMarginSeconds = 0.4;
/// Fraction of a shard that long-running jobs can take.
constexpr double MaxLongRunningFraction = 0.93;
/// Fraction of a shard that is counted as free even if the shard is full.
constexpr double MinFreeFraction = 0.02;

uint64_t hashOf(const std::string &JobId) {
  return XXH64(JobId.data(), JobId.size(), 0);
}

double millicores(const ShardLoad &Load) {
  return static_cast<double>(std::max<int64_t>(Load.CapacityMillicores, 1));
}

double totalCost(const ShardCandidate &Candidate, const ShardDemand &Demand) {
  double Out = placementCost(Candidate.Load, Demand);
  if (!Candidate.HasData)
    Out += std::chrono::duration<double>(Demand.CriticalPath).count();
  return Out;
}

const ShardCandidate &cheaper(const ShardCandidate &A, const ShardCandidate &B,
                              const ShardDemand &Demand) {
  return totalCost(B, Demand) < totalCost(A, Demand) ? B : A;
}

const ShardCandidate &cheapest(const std::vector<ShardCandidate> &Candidates,
                               const ShardDemand &Demand) {
  const ShardCandidate *Out = &Candidates.front();
  for (const ShardCandidate &Candidate : Candidates)
    Out = &cheaper(*Out, Candidate, Demand);
  return *Out;
}

/// Returns the least millicores for entry \p Class of ShardLoad::RoomyWorkers.
/// Two entries a doubling count at most 1.4 times too little room.
double leastRoomOf(size_t Class) {
  return 1000 * std::exp2(static_cast<double>(Class) / 2);
}

/// Returns false if no worker with about as many processors as the largest task
/// of a job needs has the memory for it.
bool hasMemoryForLargestTask(const ShardLoad &Load, const ShardDemand &Demand) {
  if (Load.RoomyMemoryMib.empty())
    return true;
  size_t Class = 0;
  while (Class + 1 < Load.RoomyMemoryMib.size() &&
         leastRoomOf(Class + 1) <=
             static_cast<double>(Demand.LargestTaskMillicores))
    ++Class;
  return Load.RoomyMemoryMib[Class] >= Demand.LargestTaskMemoryMib;
}

/// Returns false if no worker of the shard can take the largest task of a
/// long-running job: the room that such jobs leave may be spread over many
/// workers.
bool hasRoomForLargestTask(const ShardLoad &Load, const ShardDemand &Demand) {
  return Load.LargestRoomMillicores == 0 ||
         (Load.LargestRoomMillicores >= Demand.LargestTaskMillicores &&
          hasMemoryForLargestTask(Load, Demand));
}

/// Draws a candidate by a hash of the job's id, weighted by the square of the
/// fraction that is left for long-running jobs.
const ShardCandidate &
drawForLongRunning(const std::vector<ShardCandidate> &Candidates,
                   const ShardDemand &Demand) {
  std::vector<double> Sums;
  double Sum = 0;
  for (const ShardCandidate &Candidate : Candidates) {
    double Left = hasRoomForLargestTask(Candidate.Load, Demand)
                      ? std::max(MinFreeFraction,
                                 1 - placementCost(Candidate.Load, Demand))
                      : MinFreeFraction;
    Sum += Left * Left;
    Sums.push_back(Sum);
  }
  double Point =
      static_cast<double>(hashOf(Demand.JobId) >> 11) * 0x1p-53 * Sum;
  auto It = std::upper_bound(Sums.begin(), std::prev(Sums.end()), Point);
  return Candidates[static_cast<size_t>(It - Sums.begin())];
}

/// Estimate of the room for fill tasks of an image that has not run on the
/// shard: the mean over the known images.
int64_t meanFillRoom(const ShardLoad &Load) {
  if (Load.FillCapacity.empty())
    return Load.CapacityMillicores;
  int64_t Sum = 0;
  for (const auto &[Image, Room] : Load.FillCapacity)
    Sum += Room;
  return Sum / static_cast<int64_t>(Load.FillCapacity.size());
}

double fillPlacementCost(const ShardLoad &Load, const ShardDemand &Demand) {
  int64_t Room = Load.CapacityMillicores;
  for (const std::string &Image : Demand.FillImages) {
    auto It = Load.FillCapacity.find(Image);
    Room = std::min(Room, It == Load.FillCapacity.end() ? meanFillRoom(Load)
                                                        : It->second);
  }
  auto Requested =
      static_cast<double>(Load.WaitingFillMillicores + Demand.FillMillicores);
  double MinRoom = millicores(Load) * MinFreeFraction;
  return std::chrono::duration<double>(Demand.CriticalPath).count() *
         Requested / std::max(static_cast<double>(Room), MinRoom);
}

} // namespace

double ShardLoad::waitingFiniteWork() const {
  double Out = 0;
  for (const auto &[Priority, Work] : WaitingWorkByPriority)
    Out += Work;
  return Out;
}

void RestartDemand::add(const Resources &Demand) {
  add(RestartDemand{.Millicores = Demand.Millicores, .Smallest = Demand});
}

void RestartDemand::add(const RestartDemand &Other) {
  if (Other.Millicores == 0)
    return;
  bool IsFirst = Millicores == 0;
  Millicores += Other.Millicores;
  Smallest = IsFirst ? Other.Smallest : smaller(Smallest, Other.Smallest);
}

ShardDemand demandOf(const Job &Value) {
  ShardDemand Out{.JobId = Value.Id,
                  .IsLongRunning = Value.hasLongRunningStep(),
                  .CriticalPath = criticalPath(Value.Steps)};
  for (const JobStep &Step : Value.Steps) {
    if (!Step.IsFill)
      continue;
    Out.FillMillicores =
        std::max(Out.FillMillicores, Step.Count * Step.Demand.Millicores);
    Out.FillImages.insert(Step.Image);
  }
  for (const JobStep &Step : Value.Steps) {
    if (Step.IsFill)
      Out.FillWork += Step.Count * taskWork(Step);
    if (Step.LongRunning)
      Out.Amount += static_cast<double>(Step.Count * Step.Demand.Millicores);
    else if (!Out.IsLongRunning)
      Out.Amount += Step.Count * taskWork(Step);
    if (Step.Demand.Millicores <= Out.LargestTaskMillicores)
      continue;
    Out.LargestTaskMillicores = Step.Demand.Millicores;
    Out.LargestTaskMemoryMib = Step.Demand.MemoryMib;
  }
  return Out;
}

double placementCost(const ShardLoad &Load, const ShardDemand &Demand) {
  if (Demand.CountsOwnKind && Demand.FillWork > 0 && Load.FillMillicores > 0)
    return (Load.RemainingFillWork + Demand.FillWork) /
           std::max(static_cast<double>(Load.FillMillicores),
                    millicores(Load) * MinFreeFraction);
  if (Demand.FillMillicores > 0)
    return fillPlacementCost(Load, Demand);
  if (Demand.IsLongRunning)
    return (static_cast<double>(Load.LongRunningMillicores) + Demand.Amount) /
           millicores(Load);
  // Capacity taken by long-running tasks is not expected to become free.
  double Left = std::max(millicores(Load) -
                             static_cast<double>(Load.LongRunningMillicores),
                         millicores(Load) / 10);
  double FillWork = Demand.CountsOwnKind ? Load.RemainingFillWork : 0;
  return std::max(0.0, Load.RemainingWork - FillWork) / Left;
}

int chooseShard(const std::vector<ShardCandidate> &Candidates,
                const ShardDemand &Demand) {
  if (Candidates.empty())
    return -1;
  if (Demand.IsLongRunning)
    return drawForLongRunning(Candidates, Demand).Shard;
  size_t Count = Candidates.size();
  uint64_t Hash = hashOf(Demand.JobId);
  const ShardCandidate &First = Candidates[Hash % Count];
  if (Count == 1)
    return First.Shard;
  size_t Step = 1 + Hash / Count % (Count - 1);
  const ShardCandidate &Second = Candidates[(Hash + Step) % Count];
  return cheaper(First, Second, Demand).Shard;
}

int chooseTransferTarget(const ShardCandidate &Own,
                         std::vector<ShardCandidate> Others,
                         const ShardDemand &Demand) {
  if (Demand.IsLongRunning)
    std::erase_if(Others, [&](const ShardCandidate &Other) {
      return !hasRoomForLargestTask(Other.Load, Demand);
    });
  if (Others.empty())
    return -1;
  if (Demand.IsLongRunning) {
    const ShardCandidate &Cheapest = cheapest(Others, Demand);
    bool CanHold =
        placementCost(Cheapest.Load, Demand) < MaxLongRunningFraction;
    bool HasMoreRoom =
        placementCost(Cheapest.Load, Demand) < placementCost(Own.Load, Demand);
    return CanHold && HasMoreRoom ? Cheapest.Shard : -1;
  }
  const ShardCandidate &Cheapest = cheapest(Others, Demand);
  return totalCost(Cheapest, Demand) + TransferMarginSeconds <
                 totalCost(Own, Demand)
             ? Cheapest.Shard
             : -1;
}

int shardWithRoom(const std::vector<ShardCandidate> &Candidates,
                  const ShardDemand &Demand) {
  int Out = -1;
  int64_t LargestRoom = std::max<int64_t>(Demand.LargestTaskMillicores, 1);
  for (const ShardCandidate &Candidate : Candidates) {
    if (Candidate.Load.LargestRoomMillicores < LargestRoom ||
        !hasMemoryForLargestTask(Candidate.Load, Demand))
      continue;
    Out = Candidate.Shard;
    LargestRoom = Candidate.Load.LargestRoomMillicores + 1;
  }
  return Out;
}

void addRoomyWorker(ShardLoad &Load, const Resources &Room) {
  Load.RoomyWorkers.resize(RoomClasses);
  Load.RoomyMemoryMib.resize(RoomClasses);
  for (size_t Class = 0; Class < RoomClasses; ++Class) {
    if (static_cast<double>(Room.Millicores) < leastRoomOf(Class))
      break;
    ++Load.RoomyWorkers[Class];
    Load.RoomyMemoryMib[Class] =
        std::max(Load.RoomyMemoryMib[Class], Room.MemoryMib);
  }
}

std::optional<size_t> workersWithRoom(const ShardLoad &Load,
                                      int64_t Millicores) {
  for (size_t Class = 0; Class < Load.RoomyWorkers.size(); ++Class)
    if (static_cast<double>(Millicores) <= leastRoomOf(Class))
      return Load.RoomyWorkers[Class];
  return std::nullopt;
}

std::optional<size_t> tasksInLargestRooms(const ShardLoad &Load,
                                          int64_t Millicores) {
  if (Load.RoomyWorkers.empty())
    return std::nullopt;
  auto Task = static_cast<double>(std::max<int64_t>(Millicores, 1));
  size_t Out = 0;
  for (size_t Class = 0; Class < Load.RoomyWorkers.size(); ++Class) {
    size_t AtLeast = Load.RoomyWorkers[Class];
    size_t AtLeastNext =
        Class + 1 < Load.RoomyWorkers.size() ? Load.RoomyWorkers[Class + 1] : 0;
    Out += (AtLeast - std::min(AtLeast, AtLeastNext)) *
           static_cast<size_t>(leastRoomOf(Class) / Task);
  }
  bool FitsOne = Load.LargestRoomMillicores >= Millicores;
  return std::max<size_t>(Out, FitsOne ? 1 : 0);
}

size_t tasksThatFit(const ShardLoad &Load, const ShardDemand &Demand) {
  int64_t Free = Load.CapacityMillicores - Load.LongRunningMillicores;
  int64_t Task = std::max<int64_t>(Demand.LargestTaskMillicores, 1);
  return static_cast<size_t>(std::max<int64_t>(Free / Task, 1));
}

BASILCHUTE_NAMESPACE_END
