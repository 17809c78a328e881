/// \file
/// Plan of which host should own which shard: a pure function with the same
/// result on all hosts.
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

/// Returns the id of the host that should own each shard. \p Owners holds the
/// present owner of each shard; an id that is not among \p Hosts counts as no
/// owner. A shard changes its owner only if its owner is gone, or if the change
/// evens out the load by a whole shard. Returns an empty plan if there are no
/// hosts.
std::vector<std::string> planShards(const std::vector<PlanHost> &Hosts,
                                    const std::vector<std::string> &Owners);

BASILCHUTE_NAMESPACE_END
