/// \file
/// Which shard a job goes to, by what the shards' owners say of their load.
#pragma once

#include "basilchute/job.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What the owner of a shard says of its load.
struct ShardLoad {
  /// Millicores of the workers that can be used.
  int64_t Capacity = 0;
  /// Millicores of long-running tasks, placed or waiting.
  int64_t Lasting = 0;
  /// Millicores times seconds that are left of all other jobs.
  double Backlog = 0;
  /// Millicores of fill tasks that wait.
  int64_t FillWaiting = 0;
  /// Millicores that fill tasks of each known image could use now without harm
  /// to serving tasks.
  std::map<std::string, int64_t> FillRoom;
};

/// A shard that has workers for every step of a job.
struct ShardCandidate {
  int Shard = 0;
  ShardLoad Load;
  /// It has the rack that holds the job's data, or the job names none.
  bool HasData = true;
};

/// What a choice of shards needs to know of a job.
struct ShardDemand {
  std::string Job;
  bool LongRunning = false;
  /// Work, in millicores times seconds, or millicores of a long-running job.
  double Amount = 0;
  /// Millicores of its widest step, if it consists of fill tasks; else zero.
  int64_t FillWidth = 0;
  /// Images of its fill tasks.
  std::set<std::string> FillImages;
  /// Time that its longest chain of steps takes; that much longer away from its
  /// data.
  milliseconds Chain{0};
};

/// Returns what \p Value demands, by the submitter's estimates.
ShardDemand demandOf(const Job &Value);

/// Returns the time in seconds that \p Load holds back a new job of
/// \p Demand; for a long-running job the part of the shard that such jobs take.
/// For fill tasks it grows as the room that they would leave unharmed shrinks.
double holdBack(const ShardLoad &Load, const ShardDemand &Demand);

/// Returns the candidate for a new job, -1 if there are none.
///
/// A short job takes the better of two that follow from its id: loads are known
/// with a lag, and if all hosts took the best of all it would be flooded. A
/// long-running job is drawn, by its id, to where such jobs leave the most.
int chooseShard(const std::vector<ShardCandidate> &Candidates,
                const ShardDemand &Demand);

/// Returns where a waiting job of \p Own should move, -1 if it should stay. A
/// short job moves to the candidate that holds it back least, if that is less
/// by a margin that is worth the move; a long-running one, which waits only
/// where it does not fit, to any that long-running jobs hold less of.
int betterShard(const ShardCandidate &Own,
                const std::vector<ShardCandidate> &Others,
                const ShardDemand &Demand);

BASILCHUTE_NAMESPACE_END
