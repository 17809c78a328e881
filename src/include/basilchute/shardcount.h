/// \file
/// Number of shards that a fleet is divided into.
#pragma once

#include "basilchute/namespace.h"

#include <cstddef>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of shardCountFor().
struct ShardCountOptions {
  /// Target number of workers per shard.
  int WorkersPerShard = 160;
  /// Number of workers for which a host of weight 1 has processor time; zero if
  /// hosts are not a limit.
  double WorkersPerWeight = 0;
  /// Bounds on the number of shards.
  int MinShards = 1;
  int MaxShards = 64;
};

/// Returns the number of shards for \p Workers workers if hosts of the weights
/// \p HostWeights own them as planShards() distributes them.
///
/// The result is one shard for each WorkersPerShard workers, or as many more as
/// are needed so that no host owns more workers than it has processor time for:
/// a shard has one owner at a time, so that large shards overload small hosts
/// while others are idle. If no number within the bounds achieves that, the
/// smallest number that loads the busiest host least is returned.
int shardCountFor(size_t Workers, const std::vector<int> &HostWeights,
                  const ShardCountOptions &Options);

BASILCHUTE_NAMESPACE_END
