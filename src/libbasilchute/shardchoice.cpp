#include "basilchute/shardchoice.h"

#include "libbasilchute/jobwork.h"

#include <algorithm>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A move costs a transaction and the time until the other owner hears of it.
constexpr double MoveMargin = 0.4;
/// Part of a shard that long-running jobs can hold.
constexpr double MostLasting = 0.93;
/// Part of a shard that counts as free even where nothing is.
constexpr double LeastRoom = 0.02;

uint64_t hashOf(const std::string &Job) {
  return XXH64(Job.data(), Job.size(), 0);
}

double millicores(const ShardLoad &Load) {
  return static_cast<double>(std::max<int64_t>(Load.Capacity, 1));
}

double costOf(const ShardCandidate &At, const ShardDemand &Demand) {
  double Out = holdBack(At.Load, Demand);
  if (!At.HasData)
    Out += std::chrono::duration<double>(Demand.Chain).count();
  return Out;
}

const ShardCandidate &better(const ShardCandidate &A, const ShardCandidate &B,
                             const ShardDemand &Demand) {
  return costOf(B, Demand) < costOf(A, Demand) ? B : A;
}

const ShardCandidate &best(const std::vector<ShardCandidate> &Candidates,
                           const ShardDemand &Demand) {
  const ShardCandidate *Out = &Candidates.front();
  for (const ShardCandidate &Each : Candidates)
    Out = &better(*Out, Each, Demand);
  return *Out;
}

/// A draw that follows from the job's id, weighted by the square of the part
/// that is left to long-running jobs.
const ShardCandidate &drawLasting(const std::vector<ShardCandidate> &Candidates,
                                  const ShardDemand &Demand) {
  std::vector<double> Sums;
  double Sum = 0;
  for (const ShardCandidate &Each : Candidates) {
    double Left = std::max(LeastRoom, 1 - holdBack(Each.Load, Demand));
    Sum += Left * Left;
    Sums.push_back(Sum);
  }
  double Point = static_cast<double>(hashOf(Demand.Job) >> 11) * 0x1p-53 * Sum;
  auto At = std::upper_bound(Sums.begin(), std::prev(Sums.end()), Point);
  return Candidates[static_cast<size_t>(At - Sums.begin())];
}

/// Room for fill tasks of an image that the shard has not seen.
int64_t usualFillRoom(const ShardLoad &Load) {
  if (Load.FillRoom.empty())
    return Load.Capacity;
  int64_t Sum = 0;
  for (const auto &[Image, Room] : Load.FillRoom)
    Sum += Room;
  return Sum / static_cast<int64_t>(Load.FillRoom.size());
}

double fillHoldBack(const ShardLoad &Load, const ShardDemand &Demand) {
  int64_t Room = Load.Capacity;
  for (const std::string &Image : Demand.FillImages) {
    auto Known = Load.FillRoom.find(Image);
    Room = std::min(Room, Known == Load.FillRoom.end() ? usualFillRoom(Load)
                                                       : Known->second);
  }
  auto Asked = static_cast<double>(Load.FillWaiting + Demand.FillWidth);
  double Least = millicores(Load) * LeastRoom;
  return std::chrono::duration<double>(Demand.Chain).count() * Asked /
         std::max(static_cast<double>(Room), Least);
}

} // namespace

ShardDemand demandOf(const Job &Value) {
  ShardDemand Out{.Job = Value.Id,
                  .LongRunning = Value.Steps.front().LongRunning,
                  .Chain = longestChain(Value.Steps)};
  for (const JobStep &Each : Value.Steps) {
    if (!Each.Fills)
      continue;
    Out.FillWidth =
        std::max(Out.FillWidth, Each.Count * Each.Demand.Millicores);
    Out.FillImages.insert(Each.Image);
  }
  for (const JobStep &Each : Value.Steps)
    Out.Amount += Each.Count *
                  (Out.LongRunning ? static_cast<double>(Each.Demand.Millicores)
                                   : taskWork(Each));
  return Out;
}

double holdBack(const ShardLoad &Load, const ShardDemand &Demand) {
  if (Demand.FillWidth > 0)
    return fillHoldBack(Load, Demand);
  if (Demand.LongRunning)
    return (static_cast<double>(Load.Lasting) + Demand.Amount) /
           millicores(Load);
  // Long-running tasks do not give their room back.
  double Left = std::max(millicores(Load) - static_cast<double>(Load.Lasting),
                         millicores(Load) / 10);
  return Load.Backlog / Left;
}

int chooseShard(const std::vector<ShardCandidate> &Candidates,
                const ShardDemand &Demand) {
  if (Candidates.empty())
    return -1;
  if (Demand.LongRunning)
    return drawLasting(Candidates, Demand).Shard;
  size_t Count = Candidates.size();
  uint64_t Hash = hashOf(Demand.Job);
  const ShardCandidate &First = Candidates[Hash % Count];
  if (Count == 1)
    return First.Shard;
  size_t Step = 1 + Hash / Count % (Count - 1);
  const ShardCandidate &Second = Candidates[(Hash + Step) % Count];
  return better(First, Second, Demand).Shard;
}

int betterShard(const ShardCandidate &Own,
                const std::vector<ShardCandidate> &Others,
                const ShardDemand &Demand) {
  if (Others.empty())
    return -1;
  if (Demand.LongRunning) {
    const ShardCandidate &Best = best(Others, Demand);
    bool Fits = holdBack(Best.Load, Demand) < MostLasting;
    bool Freer = holdBack(Best.Load, Demand) < holdBack(Own.Load, Demand);
    return Fits && Freer ? Best.Shard : -1;
  }
  const ShardCandidate &Best = best(Others, Demand);
  return costOf(Best, Demand) + MoveMargin < costOf(Own, Demand) ? Best.Shard
                                                                 : -1;
}

BASILCHUTE_NAMESPACE_END
