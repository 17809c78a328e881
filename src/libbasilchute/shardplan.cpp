#include "basilchute/shardplan.h"

#include <algorithm>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A host with what it is to own.
struct Share {
  const PlanHost *Host;
  int Count = 0;

  double loadWith(int More) const {
    return static_cast<double>(Count + More) / Host->Weight;
  }
};

uint64_t affinity(const std::string &Host, size_t Shard) {
  return XXH64(Host.data(), Host.size(), Shard);
}

Share *leastLoaded(std::vector<Share> &Shares, size_t Shard) {
  return &*std::min_element(
      Shares.begin(), Shares.end(), [&](const Share &A, const Share &B) {
        double First = A.loadWith(1);
        double Second = B.loadWith(1);
        if (First != Second)
          return First < Second;
        return affinity(A.Host->Id, Shard) < affinity(B.Host->Id, Shard);
      });
}

Share *shareOf(std::vector<Share> &Shares, const std::string &Id) {
  auto Found = std::find_if(Shares.begin(), Shares.end(),
                            [&](const Share &S) { return S.Host->Id == Id; });
  return Found == Shares.end() ? nullptr : &*Found;
}

} // namespace

std::vector<std::string> planShards(const std::vector<PlanHost> &Hosts,
                                    const std::vector<std::string> &Owners) {
  if (Hosts.empty())
    return {};
  std::vector<Share> Shares;
  for (const PlanHost &Each : Hosts)
    Shares.push_back({&Each});
  std::vector<std::string> Plan = Owners;
  for (std::string &Owner : Plan) {
    Share *Present = shareOf(Shares, Owner);
    if (Present)
      ++Present->Count;
    else
      Owner.clear();
  }
  for (size_t Shard = 0; Shard < Plan.size(); ++Shard) {
    if (!Plan[Shard].empty())
      continue;
    Share *To = leastLoaded(Shares, Shard);
    Plan[Shard] = To->Host->Id;
    ++To->Count;
  }
  for (size_t Shard = 0; Shard < Plan.size(); ++Shard) {
    Share *From = shareOf(Shares, Plan[Shard]);
    Share *To = leastLoaded(Shares, Shard);
    if (To == From || To->loadWith(1) >= From->loadWith(0))
      continue;
    --From->Count;
    ++To->Count;
    Plan[Shard] = To->Host->Id;
  }
  return Plan;
}

BASILCHUTE_NAMESPACE_END
