#include "basilchute/shardplan.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <set>
#include <string>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Renewals after which a host is known not to have ended right after its
/// start.
constexpr uint64_t MinRenewals = 3;
/// Hosts whose loads differ by a smaller factor count as equally loaded, so
/// that a shard does not change its owner for a small gain.
constexpr double MinLoadRatio = 1.25;

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

bool isLessLoaded(const HostShare &A, const HostShare &B, size_t Shard) {
  double LoadA = A.loadWith(1);
  double LoadB = B.loadWith(1);
  if (LoadA != LoadB)
    return LoadA < LoadB;
  return tieBreaker(A.Host->Id, Shard) < tieBreaker(B.Host->Id, Shard);
}

/// Returns the host with the lowest load after it gets \p Shard.
HostShare *leastLoaded(std::vector<HostShare> &Shares, size_t Shard) {
  return &*std::min_element(Shares.begin(), Shares.end(),
                            [&](const HostShare &A, const HostShare &B) {
                              return isLessLoaded(A, B, Shard);
                            });
}

/// Returns the order of magnitude of a host's age. Hosts read the rows at
/// different times, so that their exact counts differ. A host that may end
/// right after its start, perhaps again and again, counts as the oldest.
int ageClass(const PlanHost &Host) {
  if (Host.RenewalCount < MinRenewals)
    return std::numeric_limits<int>::max();
  return static_cast<int>(std::bit_width(Host.RenewalCount));
}

/// Returns the host that should get \p Shard, which has no owner or whose owner
/// is leaving.
HostShare *nextOwner(std::vector<HostShare> &Shares, size_t Shard,
                     bool IsOwnerLeaving) {
  double LoadLimit = leastLoaded(Shares, Shard)->loadWith(1) * MinLoadRatio;
  auto RankOf = [IsOwnerLeaving](const HostShare &Share) {
    bool IsYoung = Share.Host->RenewalCount < SettledRenewals;
    return IsOwnerLeaving ? ageClass(*Share.Host) : static_cast<int>(IsYoung);
  };
  HostShare *Best = nullptr;
  for (HostShare &Share : Shares) {
    if (Share.loadWith(1) >= LoadLimit)
      continue;
    int Rank = RankOf(Share);
    int BestRank = Best ? RankOf(*Best) : Rank;
    if (!Best || Rank < BestRank ||
        (Rank == BestRank && isLessLoaded(Share, *Best, Shard)))
      Best = &Share;
  }
  return Best;
}

/// Returns true if no host has started lately: in a rolling restart, a shard
/// that is moved to even out the load would soon have to move again.
bool areAllSettled(const std::vector<PlanHost> &Hosts) {
  return std::all_of(Hosts.begin(), Hosts.end(), [](const PlanHost &Host) {
    return Host.IsLeaving || Host.RenewalCount >= SettledRenewals;
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
  std::vector<HostShare> Shares;
  std::set<std::string> LeavingHosts;
  for (const PlanHost &Host : Hosts) {
    if (Host.IsLeaving)
      LeavingHosts.insert(Host.Id);
    else
      Shares.push_back({&Host});
  }
  if (Shares.empty())
    return {};
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
    HostShare *Target =
        nextOwner(Shares, Shard, LeavingHosts.contains(Owners[Shard]));
    Plan[Shard] = Target->Host->Id;
    ++Target->Count;
  }
  if (!areAllSettled(Hosts))
    return Plan;
  for (size_t Shard = 0; Shard < Plan.size(); ++Shard) {
    HostShare *Source = findShare(Shares, Plan[Shard]);
    HostShare *Target = leastLoaded(Shares, Shard);
    if (Target == Source ||
        Target->loadWith(1) * MinLoadRatio > Source->loadWith(0))
      continue;
    --Source->Count;
    ++Target->Count;
    Plan[Shard] = Target->Host->Id;
  }
  return Plan;
}

BASILCHUTE_NAMESPACE_END
