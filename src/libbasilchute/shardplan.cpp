#include "basilchute/shardplan.h"

#include <algorithm>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A host and the number of shards that it owns in the plan.
struct HostShare {
  const PlanHost *Host;
  int Count = 0;

  /// Returns the load relative to the host's weight if it owned \p Extra more
  /// shards.
  double loadWith(int Extra) const {
    return static_cast<double>(Count + Extra) / Host->Weight;
  }
};

/// Breaks ties between equally loaded hosts in the same way on every host.
uint64_t tieBreaker(const std::string &Host, size_t Shard) {
  return XXH64(Host.data(), Host.size(), Shard);
}

/// Returns the host with the lowest load after it gets \p Shard.
HostShare *leastLoaded(std::vector<HostShare> &Shares, size_t Shard) {
  return &*std::min_element(Shares.begin(), Shares.end(),
                            [&](const HostShare &A, const HostShare &B) {
                              double LoadA = A.loadWith(1);
                              double LoadB = B.loadWith(1);
                              if (LoadA != LoadB)
                                return LoadA < LoadB;
                              return tieBreaker(A.Host->Id, Shard) <
                                     tieBreaker(B.Host->Id, Shard);
                            });
}

/// Returns the share of the host \p Id, or null if there is no such host.
HostShare *findShare(std::vector<HostShare> &Shares, const std::string &Id) {
  auto It =
      std::find_if(Shares.begin(), Shares.end(), [&](const HostShare &Share) {
        return Share.Host->Id == Id;
      });
  return It == Shares.end() ? nullptr : &*It;
}

} // namespace

std::vector<std::string> planShards(const std::vector<PlanHost> &Hosts,
                                    const std::vector<std::string> &Owners) {
  if (Hosts.empty())
    return {};
  std::vector<HostShare> Shares;
  for (const PlanHost &Host : Hosts)
    Shares.push_back({&Host});
  std::vector<std::string> Plan = Owners;
  for (std::string &Owner : Plan) {
    HostShare *Current = findShare(Shares, Owner);
    if (Current)
      ++Current->Count;
    else
      Owner.clear();
  }
  for (size_t Shard = 0; Shard < Plan.size(); ++Shard) {
    if (!Plan[Shard].empty())
      continue;
    HostShare *Target = leastLoaded(Shares, Shard);
    Plan[Shard] = Target->Host->Id;
    ++Target->Count;
  }
  for (size_t Shard = 0; Shard < Plan.size(); ++Shard) {
    HostShare *Source = findShare(Shares, Plan[Shard]);
    HostShare *Target = leastLoaded(Shares, Shard);
    if (Target == Source || Target->loadWith(1) >= Source->loadWith(0))
      continue;
    --Source->Count;
    ++Target->Count;
    Plan[Shard] = Target->Host->Id;
  }
  return Plan;
}

BASILCHUTE_NAMESPACE_END
