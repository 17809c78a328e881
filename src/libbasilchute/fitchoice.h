/// \file
/// Choice among the workers that have room for a task. Addresses a load of
/// tasks of very different sizes: if each goes to the least loaded worker, the
/// room for large ones is broken up.
#pragma once

#include "basilchute/job.h"
#include "libbasilchute/placementround.h"

#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What the choice considers of a task, beside its step.
struct TaskFit {
  TaskKind Kind = 0;
  /// Cost by the processor time and the headroom on the worker; for fill
  /// tasks.
  double FillCost = 0;
  /// Number of the step's tasks on the worker; for serving tasks.
  int HeldHere = 0;
  /// The worker had the task's previous run, which failed or was lost.
  bool HadPreviousRun = false;
};

/// State of the shard that the choice considers.
struct FitOptions {
  /// See PlacementOptions.
  bool IsPlanned = false;
  /// Most processor time is free.
  bool IsLightlyLoaded = false;
};

/// Returns the part of a large worker that is left of \p Room by a task with
/// \p Demand.
double leftoverPart(const Resources &Room, const Resources &Demand);

/// Returns the cost of a task on a worker that has the room: the lowest is
/// best. The unit is a worker's load.
double placementCost(const PlacementCandidate &Candidate, const JobStep &Step,
                     const TaskFit &Task, const FitOptions &Options);

/// Returns true if most processor time of the workers is free.
bool isLightlyLoaded(const std::vector<PlacementCandidate> &Candidates);

BASILCHUTE_NAMESPACE_END
