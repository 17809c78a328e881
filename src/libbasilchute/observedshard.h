/// \file
/// What a host knows of the owner row of a shard.
#pragma once

#include "basilchute/clock.h"

#include <cstdint>
#include <optional>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// State of a shard's owner row.
struct ObservedShard {
  std::string Owner;
  uint64_t Version = 0;
  /// When this host first saw this version.
  TimePoint SeenAt{};
  /// See HostCluster::previousSoleUntil(); set while a claim takes effect.
  std::optional<TimePoint> PreviousSoleUntil;
  /// See HostCluster::previousWorkers(); set as long.
  uint32_t PreviousWorkers = 0;
  /// Whether the row was read or written at least once.
  bool IsKnown = false;
  /// Epoch under which this host owns the shard, or 0 if it does not. Set when
  /// OnAcquired is called.
  uint64_t OwnedEpoch = 0;
  bool IsWriting = false;
  /// The row is being written with this host as the owner.
  bool IsClaiming = false;
  /// Number of consecutive plans that assign this host's shard to another host.
  int HandoverPlans = 0;
  /// The shard is being handed over to HandoverTarget, or given up if that is
  /// empty.
  bool IsHandingOver = false;
  std::string HandoverTarget;
  /// A handover may have taken effect, or may still take effect.
  bool IsHandoverUncertain = false;
  TimePoint NextHandover{};
};

BASILCHUTE_NAMESPACE_END
