/// \file
/// Order in which the waiting jobs of a shard are placed. Addresses overload,
/// in which not all jobs can end in time, and long-running tasks that would
/// starve beside short ones.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/job.h"

#include <tuple>

BASILCHUTE_NAMESPACE_BEGIN

/// A job that ends after this many times its objective has no value left.
constexpr int NoValueFactor = 3;

/// Sort key of waiting jobs, lowest first: kind of tasks (long-running and
/// waited long, short, long-running, fill), lateness, priority, started jobs
/// before others, and last the negative worth per unit of remaining work for
/// started jobs, or the age for others.
using QueueRank = std::tuple<int, int, int, int, double>;

/// Returns the time after its submission within which a job should end whose
/// longest chain of steps takes \p Chain by the submitter's estimates.
milliseconds objectiveOf(milliseconds Chain, const JobQueue &Queue);

/// Returns 0 if a job that ends \p AgeAtEnd after its submission meets its
/// objective, 1 if it is late but still has value, and 2 if it has no value.
int latenessOf(nanoseconds AgeAtEnd, milliseconds Objective);

/// Properties of a waiting job on which its rank depends.
struct WaitingJob {
  bool IsLongRunning = false;
  bool IsFill = false;
  /// A long-running task of the job has waited long.
  bool HasWaitedLong = false;
  bool HasStarted = false;
  /// See latenessOf(); not used for long-running jobs.
  int Lateness = 0;
  int Priority = 0;
  nanoseconds Age{0};
  /// Work in millicores times seconds: of a job of the queue on average, of the
  /// whole job, and of its tasks that are not done.
  double MeanWork = 0;
  double TotalWork = 0;
  double RemainingWork = 0;
};

QueueRank queueRank(const WaitingJob &Value);

BASILCHUTE_NAMESPACE_END
