/// \file
/// Helpers of the tests of long-running jobs that fill their shard.
#pragma once

#include "testing/jobtestbed.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Time after the end of its last run within which a long-running task must run
/// again while there is capacity for it anywhere.
constexpr milliseconds RestartBound{9000};
/// Capacity of a worker in these tests: two tasks of longJob().
constexpr Resources TwoTasks{.Millicores = 8000, .MemoryMib = 16000};

/// Returns a job with one step of \p Width long-running tasks.
Job longJob(const std::string &Id, int Width, int64_t Millicores = 4000);
TaskName taskOf(const std::string &Id, int Index = 0);
/// Returns the index of the worker that runs \p Task, or -1 if none does.
int workerOf(JobTestBed &Bed, const TaskName &Task);
/// Returns the shard of the worker that runs \p Task, or -1 if none does.
int shardOf(JobTestBed &Bed, const TaskName &Task);
bool runsWithin(JobTestBed &Bed, const TaskName &Task, milliseconds Limit);
/// Returns true once \p Tasks tasks run; false if \p Limit passes first.
bool allRunWithin(JobTestBed &Bed, size_t Tasks, milliseconds Limit);
/// Returns true if the row of the job \p Id is in the table of \p Shard.
bool holdsJob(JobTestBed &Bed, int Shard, const std::string &Id);
/// Ends \p Worker for good: it does not answer and leaves the list.
void loseWorker(JobTestBed &Bed, int Worker);
/// Returns an id with \p Prefix whose job is sent to \p Shard of two shards
/// with equal loads.
std::string idForShard(const std::string &Prefix, int Shard);
/// Returns \p Value with its id as the prefix of one that is sent there.
Job withIdForShard(Job Value, int Shard);
/// Fails the test case with each violation that the oracle has seen.
void checkNoViolations(const JobTestBed &Bed);

BASILCHUTE_NAMESPACE_END
