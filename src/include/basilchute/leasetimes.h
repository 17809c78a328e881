/// \file
/// Bounds on the leases that the owner of a shard gives.
#pragma once

#include "basilchute/clock.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Bounds on orders and leases; all owners must use the same.
struct LeaseTimes {
  /// Longest lease that a sole owner gives.
  milliseconds Sole{4700};
  /// Longest lease that an owner gives on evidence. Long enough for two
  /// unanswered polls in a row.
  milliseconds OnEvidence{2400};
  /// Longest lease that any owner gives on a worker that drains. Its runs end
  /// without notice, and are known to have ended when their lease is over.
  milliseconds Draining{2400};
  /// Time from the sending of a poll for which its answer counts as evidence.
  milliseconds MaxEvidenceAge{1500};
};

BASILCHUTE_NAMESPACE_END
