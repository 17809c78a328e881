/// \file
/// State of one round in which the owner of a shard places waiting tasks.
#pragma once

#include "basilchute/interference.h"
#include "basilchute/shardchoice.h"
#include "libbasilchute/rejections.h"
#include "libbasilchute/roomplan.h"
#include "libbasilchute/roomtokeep.h"
#include "libbasilchute/workerslot.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A worker that can take tasks in a round, with the effects of the tasks that
/// were placed on it in the round.
struct PlacementCandidate {
  WorkerSlot *Slot;
  /// Room for starts in the round.
  Resources Room;
  double Load;
  /// Room for tasks for which room is kept. Free is less than Room by what is
  /// kept but not free yet.
  WorkerRoom Later;
  /// Long-running tasks that never ran are not placed here.
  bool IsKeptForRestarts = false;
  /// Nor here, unless no other worker has room for them.
  bool IsKeptForFinite = false;
  /// Room that is reserved for a task that waits.
  std::optional<RoomReservation> Reservation;
  /// Serving tasks on the worker, with the headroom that the fill tasks on the
  /// worker leave them.
  std::vector<ServingLoad> Serving;
  /// Processor time for fill tasks.
  FillRoom Fill;

  double millicores() const {
    return static_cast<double>(Slot->Entry.Capacity.Millicores);
  }
  /// Lowers the headroom by fill tasks that use \p Share of the worker.
  void addFillShare(TaskKind Kind, double Share,
                    const InterferenceModel &Model) {
    for (ServingLoad &ServingTask : Serving)
      ServingTask.Headroom -= Model.slope(ServingTask.Kind, Kind) * Share;
  }

  /// Accounts for a task that is placed here, for tasks that are placed later
  /// in the round. It surely has ended by \p LateEnd.
  void take(const JobStep &Step, TaskKind Kind, const InterferenceModel &Model,
            TimePoint LateEnd);
  /// Keeps room for a task, which is free once other runs have ended.
  void keep(const Resources &Demand);
};

/// Returns the millicores that fill tasks of \p Kind could add on all workers
/// until the headroom of serving tasks falls to the minimum.
int64_t fillCapacity(const std::vector<PlacementCandidate> &Candidates,
                     TaskKind Kind, const InterferenceModel &Model,
                     const FillPlacementOptions &Options);

/// Keeps workers with the most room for \p Restarts from long-running tasks
/// that never ran.
void keepForRestarts(std::vector<PlacementCandidate> &Candidates,
                     const RestartDemand &Restarts);

/// One round.
struct PlacementRound {
  std::vector<PlacementCandidate> Candidates;
  Rejections Rejected;
  /// Steps of which a task could not be placed, by job: all tasks of a step
  /// have the same demand.
  std::set<std::pair<std::string, int>> SkippedSteps;
};

BASILCHUTE_NAMESPACE_END
