/// \file
/// Division of the workers into shards, and assignment of shards to schedulers.
#pragma once

#include "basilchute/membership.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// The fixed division of workers into shards. All workers of a shard are in the
/// same failure domain.
struct Layout {
  std::vector<std::string> Domains;
  uint32_t ShardsPerDomain = 1;

  /// Returns the names of all shards, such as "a.0".
  std::vector<std::string> shards() const;
  /// Returns the shard of \p Worker, which is in \p FailureDomain.
  std::string shardOf(std::string_view Worker,
                      std::string_view FailureDomain) const;
  /// Returns the home shard of replica or task \p Index of the service or job
  /// \p Name. Consecutive indexes are placed in different failure domains.
  std::string homeShardOf(std::string_view Name, uint32_t Index) const;
};

/// Returns the failure domain of \p Shard.
std::string_view domainOfShard(std::string_view Shard);

/// Returns a hash of \p Text that is the same in every process.
uint64_t stableHash(std::string_view Text);

/// Assigns each shard to one of \p Schedulers by rendezvous hashing.
///
/// No scheduler gets more than an even share of the shards, rounded up. A
/// scheduler outside the shard's failure domain is preferred, so that the loss
/// of one domain does not take down workers and their owner together. Returns a
/// map from shard to member id, which is empty if there are no schedulers.
std::map<std::string, std::string>
assignShards(const Layout &FleetLayout, const std::vector<Member> &Schedulers);

BASILCHUTE_NAMESPACE_END
