/// \file
/// Which hosts without a shard stay ready to take one over.
#pragma once

#include "basilchute/shardplan.h"

#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Returns the hosts without a shard that should follow the fleet as closely as
/// owners do: the heaviest ones, at least two and one for each four owners.
/// \p Owners holds the owner of each shard. The result is the same on all
/// hosts.
///
/// All other hosts without a shard need little of the store, so that the load
/// on the store grows with the owners and not with the hosts.
std::set<std::string> chooseStandbys(const std::vector<PlanHost> &Hosts,
                                     const std::vector<std::string> &Owners);

BASILCHUTE_NAMESPACE_END
