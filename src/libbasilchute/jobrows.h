/// \file
/// Rows of jobs, shards and hosts: their addresses in the store and their
/// encoding.
#pragma once

#include "basilchute/hostcluster.h"
#include "basilchute/job.h"
#include "basilchute/result.h"
#include "basilchute/rowstore.h"
#include "libbasilchute/crashhistory.h"
#include "libbasilchute/runtimes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Stored progress of a task that was started at least once.
struct TaskProgress {
  /// Index among all tasks of the job, ordered by occurrence, step and index.
  int Position = 0;
  int Run = 0;
  std::vector<int> FailedRuns;
  bool Done = false;
  std::string Checkpoint;
  /// The only worker on which a run of the task may be; empty if there is
  /// certainly no run, no value if that is not known.
  std::optional<std::string> Place;
  CrashRecord Crash;
  /// Time for which the task has waited when another shard sent it.
  milliseconds Waited{0};
  /// Time since 1970 since which a task that runs nowhere has waited, in the
  /// shard that stores it; zero if not known.
  milliseconds WaitingSince{0};
};

/// Stored progress of a job.
struct JobProgress {
  JobState State = JobState::Queued;
  std::vector<TaskProgress> Tasks;
  /// The shard that holds the job has delegated tasks of it, see JobEntry.
  bool WasDelegated = false;
  /// By position: tasks that are done beside those of Tasks. A row that was
  /// read has these in Tasks.
  std::vector<bool> DoneTasks;
  /// No run of a task that Tasks lacks has a higher number.
  int HighestRun = 0;
};

/// Tasks of a job that a shard runs for the shard that holds the job.
struct JobPart {
  Job Spec;
  /// Shard that holds the job and its cancellation.
  int HomeShard = 0;
  /// Positions of the tasks.
  std::vector<int> Positions;
  /// State of the tasks when they were delegated, if the row adds them to those
  /// of the job that the shard has.
  std::optional<JobProgress> Added;
};

/// Stored interference of fill tasks of one image with serving tasks of
/// another.
struct ImagePair {
  std::string Serving;
  std::string Fill;
  double Slope = 0;
  double Variance = 0;
};

/// Contents of a host's membership row.
struct HostRecord {
  /// Capacity for shards, relative to other hosts.
  int Weight = 1;
  /// Age of the process in default intervals between renewals; it rises with
  /// each renewal.
  uint64_t RenewalCount = 0;
  /// Time after which the row is renewed; zero for the default interval.
  milliseconds RenewInterval{0};
  bool IsLeaving = false;
  /// The host keeps to LeaseTimes, and claims a shard only while the row of its
  /// owner is unchanged. Hosts of earlier versions do not.
  bool BoundsLeases = false;
  /// The host takes only answers of workers that UsedWorkers has stored as
  /// evidence. Hosts of earlier versions take those of others too.
  bool HasStoredEvidence = false;
  /// Memory that the host can spare for jobs; zero for no limit.
  size_t MaxJobBytes = 0;
  /// Reports on the shards that the host owns and whose rows it has read.
  std::map<int, ShardReport> Shards;
};

/// Returns the name of the partition that holds the rows of \p Shard.
std::string shardPartition(int Shard);
/// Returns the address of the row of an accepted job.
RowAddress jobAddress(int Shard, const std::string &JobId);
/// Returns the address of the row that records the cancellation of a job.
RowAddress cancellationAddress(int Shard, const std::string &JobId);
/// Returns the address of the row with the progress of a job.
RowAddress progressAddress(int Shard, const std::string &JobId);
/// Returns the address of the row with the part of a job that \p Shard runs.
RowAddress partAddress(int Shard, const std::string &JobId);
/// Returns the address of a row that adds tasks to those of a job that \p Shard
/// has. \p Source is the shard that delegates them, \p Version that of its
/// progress row before.
RowAddress addedTasksAddress(int Shard, const std::string &JobId, int Source,
                             uint64_t Version);
/// Returns the address of the row with the progress of that part.
RowAddress partProgressAddress(int Shard, const std::string &JobId);
/// Returns the address of the row that names the owner of a shard.
RowAddress shardOwnerAddress(int Shard);
/// Returns the address of the row with a shard's interference model.
RowAddress interferenceAddress(int Shard);
/// Returns the address of a host's membership row.
RowAddress hostAddress(const std::string &Host);
/// Returns the address of the row that assigns a worker to a shard.
RowAddress assignmentAddress(const std::string &Worker);
RowAddress largestCapacityAddress(const std::string &Worker);
/// Returns the address of the row that holds the number of shards.
RowAddress shardCountAddress();
/// Returns the address of the index row, which names the shard that holds the
/// job.
RowAddress jobIndexAddress(const std::string &JobId);
/// Returns the shard whose rows \p Partition holds, or -1 if the name does not
/// come from shardPartition().
int shardOfPartition(const std::string &Partition);
/// Returns the name of the table of a shard's accepted jobs and their
/// cancellations.
std::string jobTable(int Shard);
/// Maximum size of a progress row. The store takes rows of 65,536 bytes.
inline constexpr size_t MaxProgressBytes = 60000;
inline constexpr const char *ProgressTable = "progress";
inline constexpr const char *InterferenceTable = "interference";
inline constexpr const char *ShardTable = "shards";
inline constexpr const char *HostTable = "hosts";
inline constexpr const char *AssignmentTable = "assignments";
/// Partition of AssignmentTable with the largest capacities of workers.
inline constexpr const char *CapacityPartition = "capacities";
inline constexpr const char *IndexTable = "index";

/// Returns the id of the job to which a key of a job table belongs, and whether
/// the row records the job's cancellation.
std::pair<std::string, bool> parseJobKey(const std::string &Key);

/// Returns the id of the job if \p Key is that of a part's row.
std::optional<std::string> parsePartKey(const std::string &Key);
/// Returns the id of the job if \p Key is that of a row that adds tasks.
std::optional<std::string> parseAddedTasksKey(const std::string &Key);

std::string encodeJob(const Job &Value);
/// This and the other decoders fail with InvalidArgument if \p Bytes are not a
/// valid record.
Result<Job> decodeJob(const std::string &Bytes);
std::string encodePart(const JobPart &Value);
Result<JobPart> decodePart(const std::string &Bytes);
/// Returns at most MaxProgressBytes. A large row names the tasks that are done
/// and the highest run number, and of the other tasks as much as fits: places,
/// crashes and failed runs before checkpoints.
std::string encodeProgress(const JobProgress &Value);
Result<JobProgress> decodeProgress(const std::string &Bytes);
std::string encodeHost(const HostRecord &Value);
Result<HostRecord> decodeHost(const std::string &Bytes);
std::string encodeInterference(const std::vector<ImagePair> &Value,
                               const std::vector<StoredRunTime> &Times = {});
Result<std::vector<ImagePair>> decodeInterference(const std::string &Bytes);
/// Returns the run times in the same row; none if it cannot be read.
std::vector<StoredRunTime> decodeRunTimes(const std::string &Bytes);
std::string encodeShardCount(int Shards);
Result<int> decodeShardCount(const std::string &Bytes);
std::string encodeJobIndex(int Shard);
/// Returns BarredShard for the id of a job that was cancelled before it was
/// stored and never will be.
Result<int> decodeJobIndex(const std::string &Bytes);
inline constexpr int BarredShard = -1;
/// Index row of a job that was refused and may be submitted again. It names
/// BarredShard.
std::string encodeRefusedJobIndex();
bool isRefusedJobIndex(const std::string &Bytes);
std::string encodeShardOwner(const std::string &Host);
Result<std::string> decodeShardOwner(const std::string &Bytes);

BASILCHUTE_NAMESPACE_END
