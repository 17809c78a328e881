/// \file
/// Load of a shard, above all the part on which the admission of new jobs
/// depends.
#pragma once

#include "basilchute/job.h"
#include "basilchute/shardchoice.h"
#include "libbasilchute/jobentry.h"

#include <functional>

BASILCHUTE_NAMESPACE_BEGIN

/// Adds a usable worker that is not kept for finite work. Long-running tasks
/// leave \p Room on it, of which \p Free is free.
void addOpenWorker(ShardLoad &Load, const Resources &Room,
                   const Resources &Free);

/// Adds the tasks of a job that are not done. Of long-running tasks only those
/// count for which \p Counts returns true.
void addRemainingWork(ShardLoad &Load, const JobEntry &Entry,
                      const std::function<bool(const TaskState &)> &Counts);

/// Adds a ready task of \p Step without a run, of a queue of \p Priority.
/// \p HasValue tells whether its job can still end with value.
void addWaitingTask(ShardLoad &Load, const JobStep &Step, int Priority,
                    bool HasValue, int Count = 1);

BASILCHUTE_NAMESPACE_END
