#include "basilchute/layout.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

uint64_t stableHash(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

std::string_view domainOfShard(std::string_view Shard) {
  return Shard.substr(0, Shard.rfind('.'));
}

std::vector<std::string> Layout::shards() const {
  std::vector<std::string> Out;
  for (const std::string &Domain : Domains)
    for (uint32_t Index = 0; Index < ShardsPerDomain; ++Index)
      Out.push_back(fmt::format("{}.{}", Domain, Index));
  return Out;
}

std::string Layout::shardOf(std::string_view Worker,
                            std::string_view FailureDomain) const {
  return fmt::format("{}.{}", FailureDomain,
                     stableHash(Worker) % ShardsPerDomain);
}

std::string Layout::homeShardOf(std::string_view Name, uint32_t Index) const {
  uint64_t Start = stableHash(Name);
  const std::string &Domain = Domains[(Start + Index) % Domains.size()];
  uint64_t Cycle = (Start + Index) / Domains.size();
  return fmt::format("{}.{}", Domain, Cycle % ShardsPerDomain);
}

namespace {

/// Returns how well \p Scheduler suits \p Shard as its owner; the highest value
/// is preferred.
std::pair<bool, uint64_t> preference(const std::string &Shard,
                                     const Member &Scheduler) {
  bool IsOutside = Scheduler.FailureDomain != domainOfShard(Shard);
  return {IsOutside, stableHash(Shard + "|" + Scheduler.Id)};
}

} // namespace

std::map<std::string, std::string>
assignShards(const Layout &FleetLayout, const std::vector<Member> &Schedulers) {
  std::map<std::string, std::string> Owners;
  if (Schedulers.empty())
    return Owners;
  std::vector<std::string> Shards = FleetLayout.shards();
  size_t MaxPerScheduler =
      (Shards.size() + Schedulers.size() - 1) / Schedulers.size();
  std::map<std::string, size_t> NumAssigned;
  for (const std::string &Shard : Shards) {
    const Member *Best = nullptr;
    for (const Member &Scheduler : Schedulers) {
      if (NumAssigned[Scheduler.Id] >= MaxPerScheduler)
        continue;
      if (!Best || preference(Shard, Scheduler) > preference(Shard, *Best))
        Best = &Scheduler;
    }
    if (!Best)
      continue;
    Owners[Shard] = Best->Id;
    ++NumAssigned[Best->Id];
  }
  return Owners;
}

BASILCHUTE_NAMESPACE_END
