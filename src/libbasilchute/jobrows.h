/// \file
/// The rows that jobs, shards and hosts leave in the store.
#pragma once

#include "basilchute/hostcluster.h"
#include "basilchute/job.h"
#include "basilchute/result.h"
#include "basilchute/rowstore.h"

#include <map>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What is stored of a task that was started at least once.
struct TaskProgress {
  /// Position among the job's tasks, by occurrence, step and index.
  int Position = 0;
  int Run = 0;
  std::vector<int> FailedRuns;
  bool Done = false;
  std::string Checkpoint;
};

/// What is stored of a job's progress.
struct JobProgress {
  JobState State = JobState::Queued;
  std::vector<TaskProgress> Tasks;
};

/// What is stored of a pair of images.
struct ImagePair {
  std::string Serving;
  std::string Fill;
  double Slope = 0;
  double Variance = 0;
};

/// What a host says of itself.
struct HostRecord {
  /// Share of the shards that it can carry, relative to others.
  int Weight = 1;
  /// Grows with each renewal.
  uint64_t Beat = 0;
  bool Leaving = false;
  /// Of the shards that this host owns and has read.
  std::map<int, ShardReport> Shards;
};

/// Names of tables and parts.
std::string shardPart(int Shard);
RowPlace jobPlace(int Shard, const std::string &Job);
RowPlace cancelPlace(int Shard, const std::string &Job);
RowPlace progressPlace(int Shard, const std::string &Job);
RowPlace shardOwnerPlace(int Shard);
RowPlace interferencePlace(int Shard);
RowPlace hostPlace(const std::string &Host);
RowPlace assignmentPlace(const std::string &Worker);
/// Row that says how many shards there are.
RowPlace layoutPlace();
/// Row that says which shard holds \p Job.
RowPlace indexPlace(const std::string &Job);
/// Returns the shard of a part that shardPart() named, or -1 for another part.
int shardOfPart(const std::string &Part);
/// Table of a shard's accepted jobs and their cancellations.
std::string jobTable(int Shard);
inline constexpr const char *ProgressTable = "progress";
inline constexpr const char *InterferenceTable = "interference";
inline constexpr const char *ShardTable = "shards";
inline constexpr const char *HostTable = "hosts";
inline constexpr const char *AssignmentTable = "assignments";
inline constexpr const char *IndexTable = "index";

/// Returns the job that a key of a job table belongs to, and whether the row
/// is its cancellation.
std::pair<std::string, bool> parseJobKey(const std::string &Key);

std::string encodeJob(const Job &Value);
/// Fails with InvalidArgument if \p Bytes are not a job.
Result<Job> decodeJob(const std::string &Bytes);
std::string encodeProgress(const JobProgress &Value);
Result<JobProgress> decodeProgress(const std::string &Bytes);
std::string encodeHost(const HostRecord &Value);
Result<HostRecord> decodeHost(const std::string &Bytes);
std::string encodeInterference(const std::vector<ImagePair> &Value);
Result<std::vector<ImagePair>> decodeInterference(const std::string &Bytes);
std::string encodeLayout(int Shards);
Result<int> decodeLayout(const std::string &Bytes);
std::string encodeJobIndex(int Shard);
Result<int> decodeJobIndex(const std::string &Bytes);
std::string encodeShardOwner(const std::string &Host);
Result<std::string> decodeShardOwner(const std::string &Bytes);

BASILCHUTE_NAMESPACE_END
