/// \file
/// Plan of which host should own which shard: a pure function with the same
/// result on all hosts.
#pragma once

#include "basilchute/namespace.h"

#include <cstdint>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Renewals of its row after which a host counts as settled: 10 s at the
/// default interval.
inline constexpr uint64_t SettledRenewals = 20;

/// A host that may own shards.
struct PlanHost {
  std::string Id;
  /// Capacity relative to other hosts; at least 1.
  int Weight = 1;
  /// Renewals of the host's row since its start, as a measure of its age.
  uint64_t RenewalCount = SettledRenewals;
  /// True if the host hands over its shards and gets no others.
  bool IsLeaving = false;
};

/// Returns the id of the host that should own each shard. \p Owners holds the
/// present owner of each shard; an id that is not among \p Hosts counts as no
/// owner.
///
/// A shard whose owner is leaving goes to a host with little load, preferably
/// to one that started lately: in a rolling restart, such a host has no stop
/// ahead. A shard whose owner is gone goes to a host with little load,
/// preferably to a settled one: it knows which workers left the fleet shortly
/// before. Any other owner gives a shard away only if this evens out the load
/// clearly, and if no host has started lately. Returns an empty plan if there
/// are no hosts.
std::vector<std::string> planShards(const std::vector<PlanHost> &Hosts,
                                    const std::vector<std::string> &Owners);

BASILCHUTE_NAMESPACE_END
