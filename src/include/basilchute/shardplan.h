/// \file
/// Which host should own which shard; a pure function that all hosts compute
/// alike.
#pragma once

#include "basilchute/namespace.h"

#include <map>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A host that may own shards.
struct PlanHost {
  std::string Id;
  /// Capacity relative to other hosts; at least 1.
  int Weight = 1;
};

/// Returns the owner that each of \p Shards shards should have, given the
/// present \p Owners (an id that is not among \p Hosts counts as none). Shards
/// move only if their owner is gone, or if the move evens out the load by a
/// whole shard. Empty if there are no hosts.
std::vector<std::string> planShards(const std::vector<PlanHost> &Hosts,
                                    const std::vector<std::string> &Owners);

BASILCHUTE_NAMESPACE_END
