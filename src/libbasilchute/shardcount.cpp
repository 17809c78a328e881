#include "basilchute/shardcount.h"

#include <algorithm>
#include <queue>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A gain below this part of the busiest host's load does not justify another
/// shard.
constexpr double MinGain = 0.02;

/// A host and the number of shards that it owns.
struct OwnerLoad {
  int Weight;
  int Shards = 0;

  double loadWith(int Extra) const {
    return static_cast<double>(Shards + Extra) / Weight;
  }
  bool operator<(const OwnerLoad &Other) const {
    return loadWith(1) > Other.loadWith(1);
  }
};

/// Returns the largest number of shards per weight of any host if \p Shards
/// shards are distributed by weight.
double busiestLoad(int Shards, const std::vector<int> &HostWeights) {
  std::priority_queue<OwnerLoad> Owners;
  for (int Weight : HostWeights)
    Owners.push({.Weight = std::max(Weight, 1)});
  double Out = 0;
  for (int Shard = 0; Shard < Shards; ++Shard) {
    OwnerLoad Owner = Owners.top();
    Owners.pop();
    ++Owner.Shards;
    Out = std::max(Out, Owner.loadWith(0));
    Owners.push(Owner);
  }
  return Out;
}

} // namespace

int shardCountFor(size_t Workers, const std::vector<int> &HostWeights,
                  const ShardCountOptions &Options) {
  int PerShard = Options.WorkersPerShard;
  int BySize = std::clamp((static_cast<int>(Workers) + PerShard / 2) / PerShard,
                          Options.MinShards, Options.MaxShards);
  if (Options.WorkersPerWeight <= 0 || HostWeights.empty())
    return BySize;
  int MaxShards =
      std::min(Options.MaxShards, std::max(BySize, static_cast<int>(Workers)));
  int Best = BySize;
  double BestLoad = 0;
  for (int Shards = BySize; Shards <= MaxShards; ++Shards) {
    double WorkersPerWeight = busiestLoad(Shards, HostWeights) *
                              static_cast<double>(Workers) / Shards;
    if (Shards == BySize || WorkersPerWeight < BestLoad * (1 - MinGain)) {
      Best = Shards;
      BestLoad = WorkersPerWeight;
    }
    if (BestLoad <= Options.WorkersPerWeight)
      break;
  }
  return Best;
}

BASILCHUTE_NAMESPACE_END
