/// \file
/// Selection of the shard for a job, based on the load that the shards' owners
/// publish.
#pragma once

#include "basilchute/job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Long-running tasks that ran before and wait for room.
struct RestartDemand {
  /// Sum over the tasks.
  int64_t Millicores = 0;
  /// The least of each resource that any of the tasks needs.
  Resources Smallest;

  /// Adds a task that needs \p Demand.
  void add(const Resources &Demand);
  /// Adds the tasks of \p Other.
  void add(const RestartDemand &Other);
};

/// Load of a shard as published by its owner.
struct ShardLoad {
  /// Millicores of the usable workers.
  int64_t CapacityMillicores = 0;
  /// Millicores of all long-running tasks, both placed and waiting.
  int64_t LongRunningMillicores = 0;
  /// Most millicores on one usable worker that no long-running task reserves;
  /// zero if the owner does not report them.
  int64_t LargestRoomMillicores = 0;
  /// Number of usable workers on which long-running tasks leave at least 1,
  /// 1.4, 2, 2.8, 4, ... cores; empty if the owner does not report them.
  std::vector<uint32_t> RoomyWorkers;
  /// By entry of RoomyWorkers: most memory that long-running tasks leave on one
  /// of these workers; empty if the owner does not report it.
  std::vector<int64_t> RoomyMemoryMib;
  /// Long-running tasks that ran before and find no room in the shard.
  RestartDemand WaitingRestarts;
  /// Remaining work of all other jobs, in millicores times seconds.
  double RemainingWork = 0;
  /// Remaining work of fill jobs that will have value, part of RemainingWork.
  double RemainingFillWork = 0;
  /// Millicores that fill tasks can use together, with those in use; zero if
  /// the owner does not report them.
  int64_t FillMillicores = 0;
  /// Millicores of waiting fill tasks.
  int64_t WaitingFillMillicores = 0;
  /// Millicores that fill tasks could use now without interference with serving
  /// tasks, by image, for all known images.
  std::map<std::string, int64_t> FillCapacity;
  /// True if the owner reports the following fields.
  bool HasAdmissionLoad = false;
  /// Room that long-running tasks leave on each usable worker that is not kept
  /// for finite work, in tenths of a core rounded down; workers without room
  /// are left out. Classes as of RoomyWorkers would count one task of 6.4 cores
  /// too few on most workers.
  std::vector<uint32_t> OpenRooms;
  /// Memory that long-running tasks leave on these workers.
  int64_t OpenMemoryMib = 0;
  /// Millicores of long-running tasks without a run.
  int64_t WaitingLongRunningMillicores = 0;
  /// Millicores of long-running tasks that arrive per second, a moving mean.
  double LongRunningArrivals = 0;
  /// Demand of finite tasks that reserve processors.
  int64_t FiniteDemandMillicores = 0;
  /// Waiting work of tasks that reserve processors and end, by priority of
  /// their queue, in millicores times seconds. Jobs that will have no value are
  /// left out.
  std::map<int, double> WaitingWorkByPriority;
  /// Such work that the shard finishes per second while some waits, in
  /// millicores: a moving mean; zero if it is not known.
  double FinishedWorkPerSecond = 0;
  double FinishedFillWorkPerSecond = 0;

  /// Memory that the owner needs for the shard's jobs, in bytes; zero if it
  /// does not report it.
  size_t JobBytes = 0;

  /// Returns the sum over all priorities of WaitingWorkByPriority.
  double waitingFiniteWork() const;
};

/// A shard that has workers for every step of a job.
struct ShardCandidate {
  int Shard = 0;
  ShardLoad Load;
  /// The shard has workers in the rack that holds the job's data, or the job
  /// names no rack.
  bool HasData = true;
};

/// Properties of a job on which the choice of its shard depends.
struct ShardDemand {
  std::string JobId;
  bool IsLongRunning = false;
  /// Work in millicores times seconds; for a job with long-running steps the
  /// millicores of these.
  double Amount = 0;
  /// Millicores of the largest task, and its memory.
  int64_t LargestTaskMillicores = 0;
  int64_t LargestTaskMemoryMib = 0;
  /// Millicores of the widest step of fill tasks; zero if there is none.
  int64_t FillMillicores = 0;
  /// Images of the job's fill tasks.
  std::set<std::string> FillImages;
  /// The part of Amount that is work of fill tasks.
  double FillWork = 0;
  /// Only work of the same kind counts as backlog: for a job of fill tasks
  /// theirs, for another short job the rest.
  bool CountsOwnKind = false;
  /// Run time of the longest chain of steps. On a shard without its data the
  /// job is expected to take this much longer.
  milliseconds CriticalPath{0};
};

/// Returns the demand of \p Value according to the submitter's estimates.
ShardDemand demandOf(const Job &Value);

/// Returns the cost of placing a new job of \p Demand on a shard with \p Load:
/// the expected delay in seconds, or for a long-running job the fraction of the
/// shard that such jobs would then take. The delay of fill tasks grows as the
/// room for them that causes no interference shrinks.
double placementCost(const ShardLoad &Load, const ShardDemand &Demand);

/// Returns the shard for a new job, or -1 if there are no candidates.
///
/// A short job goes to the cheaper of two candidates picked by a hash of its
/// id: loads are known with a lag, and the cheapest shard would be overloaded
/// if all hosts chose it. For a long-running job a shard is drawn by a hash of
/// its id, weighted towards shards where such jobs leave the most capacity and
/// one worker has room for the largest task.
int chooseShard(const std::vector<ShardCandidate> &Candidates,
                const ShardDemand &Demand);

/// Returns the shard to which a job that waits on \p Own should be transferred,
/// or -1 if the job should stay. A short job is transferred to the cheapest
/// candidate if the difference exceeds the cost of the transfer. A long-running
/// job, which only waits if it does not fit, is transferred to the cheapest
/// candidate if it fits there, one worker has room for its largest task, and
/// such jobs take a smaller fraction of that shard than of \p Own.
int chooseTransferTarget(const ShardCandidate &Own,
                         std::vector<ShardCandidate> Others,
                         const ShardDemand &Demand);

/// Returns the candidate with the largest room on one worker that long-running
/// tasks leave, if that takes the largest task of \p Demand and a worker of
/// that size has the memory; otherwise -1.
int shardWithRoom(const std::vector<ShardCandidate> &Candidates,
                  const ShardDemand &Demand);

/// Number of entries of ShardLoad::RoomyWorkers; the last one counts workers
/// with 32 cores.
constexpr size_t RoomClasses = 11;

/// Adds a worker on which long-running tasks leave \p Room.
void addRoomyWorker(ShardLoad &Load, const Resources &Room);

/// Returns a number of workers that have room for a task of \p Millicores
/// beside their long-running tasks; there may be more. Returns std::nullopt if
/// it is not known.
std::optional<size_t> workersWithRoom(const ShardLoad &Load,
                                      int64_t Millicores);

/// Returns a number of tasks of \p Millicores for which the workers of a shard
/// have room beside their long-running tasks; there may be more, and there is
/// at least one if one fits into the largest room. Returns std::nullopt if that
/// is not known.
std::optional<size_t> tasksInLargestRooms(const ShardLoad &Load,
                                          int64_t Millicores);

/// Returns how many tasks as large as the largest one of \p Demand a shard with
/// \p Load takes beside its long-running tasks, at least one. The room may be
/// spread so that fewer fit.
size_t tasksThatFit(const ShardLoad &Load, const ShardDemand &Demand);

BASILCHUTE_NAMESPACE_END
