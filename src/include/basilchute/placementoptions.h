/// \file
/// Settings of the choice of workers for tasks.
#pragma once

#include "basilchute/namespace.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of the choice of workers for tasks.
struct PlacementOptions {
  /// Whether placement considers what waits and which runs end soon: finite
  /// tasks go where they leave the least room, whole workers are kept free of
  /// long-running tasks that never ran, and tasks that find no room get a
  /// reservation with a time, which others may use until then.
  bool IsPlanned = false;
};

BASILCHUTE_NAMESPACE_END
