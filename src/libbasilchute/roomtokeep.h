/// \file
/// Choice of the worker on which room is kept for a task that fits nowhere yet.
#pragma once

#include "basilchute/resources.h"

#include <functional>
#include <optional>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Room of one worker, less what was given away or kept before.
struct WorkerRoom {
  /// Room that no run uses. Negative where more is kept than is free.
  Resources Free;
  /// Room that no long-running run uses: free once all short runs have ended.
  Resources Eventual;
};

/// Returns the index of the worker of \p Workers where room for \p Demand is to
/// be kept, or none if no worker will have it when its short runs have ended.
/// \p CanRun tells whether the task may run on the worker with an index.
///
/// Of the room that short runs use, the smallest part has to become free on the
/// chosen worker, so that the task waits for as few of these runs as possible.
std::optional<size_t>
chooseRoomToKeep(const std::vector<WorkerRoom> &Workers,
                 const Resources &Demand,
                 const std::function<bool(size_t)> &CanRun);

BASILCHUTE_NAMESPACE_END
