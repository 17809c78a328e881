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

std::string Layout::homeOf(std::string_view Name, uint32_t Index) const {
  uint64_t Start = stableHash(Name);
  const std::string &Domain = Domains[(Start + Index) % Domains.size()];
  uint64_t Turn = (Start + Index) / Domains.size();
  return fmt::format("{}.{}", Domain, Turn % ShardsPerDomain);
}

namespace {

/// How well \p Owner suits \p Shard; the greatest is first choice.
std::pair<bool, uint64_t> preference(const std::string &Shard,
                                     const Member &Owner) {
  bool Outside = Owner.FailureDomain != domainOfShard(Shard);
  return {Outside, stableHash(Shard + "|" + Owner.Id)};
}

} // namespace

std::map<std::string, std::string>
assignShards(const Layout &Over, const std::vector<Member> &Schedulers) {
  std::map<std::string, std::string> Out;
  if (Schedulers.empty())
    return Out;
  std::vector<std::string> Shards = Over.shards();
  size_t Share = (Shards.size() + Schedulers.size() - 1) / Schedulers.size();
  std::map<std::string, size_t> Taken;
  for (const std::string &Shard : Shards) {
    const Member *Best = nullptr;
    for (const Member &Each : Schedulers) {
      if (Taken[Each.Id] >= Share)
        continue;
      if (!Best || preference(Shard, Each) > preference(Shard, *Best))
        Best = &Each;
    }
    if (!Best)
      continue;
    Out[Shard] = Best->Id;
    ++Taken[Best->Id];
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
