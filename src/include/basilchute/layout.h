/// \file
/// Division of the workers into shards, and who should own each shard.
#pragma once

#include "basilchute/membership.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// The fixed division of workers into shards. A shard's workers all lie in one
/// failure domain.
struct Layout {
  std::vector<std::string> Domains;
  uint32_t ShardsPerDomain = 1;

  /// Names of all shards, such as "a.0".
  std::vector<std::string> shards() const;
  /// Shard of \p Worker in \p FailureDomain.
  std::string shardOf(std::string_view Worker,
                      std::string_view FailureDomain) const;
  /// Home of replica or task \p Index of \p Name; consecutive indexes lie in
  /// different failure domains.
  std::string homeOf(std::string_view Name, uint32_t Index) const;
};

/// Returns the failure domain of \p Shard.
std::string_view domainOfShard(std::string_view Shard);

/// A stable hash of \p Text, equal in every process.
uint64_t stableHash(std::string_view Text);

/// Assigns each shard to one of \p Schedulers by rendezvous hashing.
///
/// No scheduler gets more than its even share rounded up. A scheduler outside
/// the shard's failure domain is preferred, so that the loss of a domain does
/// not take workers and their owner together. Returns shard to member id, empty
/// if there is no scheduler.
std::map<std::string, std::string>
assignShards(const Layout &Over, const std::vector<Member> &Schedulers);

BASILCHUTE_NAMESPACE_END
