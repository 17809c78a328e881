/// \file
/// Owner of one shard: its jobs, its workers, and what runs where.
#pragma once

#include "basilchute/approval.h"
#include "basilchute/job.h"
#include "basilchute/rowstore.h"
#include "basilchute/shardchoice.h"
#include "basilchute/taskworker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a JobShard.
struct JobShardOptions {
  int Shard = 0;
  /// Version of the shard's owner row; workers refuse lower ones.
  uint64_t Epoch = 0;
  /// Time for which a look extends the runs on a worker.
  milliseconds Lease{6000};
  /// Time that a start order stays valid.
  milliseconds StartLease{500};
  /// Longest time that a look waits at the worker.
  milliseconds LookWait{1000};
  /// The same on a worker where latency is watched.
  milliseconds WatchWait{500};
  /// Least time between two looks at one worker.
  milliseconds LookPause{120};
  /// Time over which ends are gathered into one commit.
  milliseconds CommitPause{40};
  /// Time after which what the previous owner started on a worker that cannot
  /// be reached has surely ended.
  milliseconds WriteOff{12000};
  /// Returns whether this host may still give orders; asked before each one.
  std::function<bool()> MayAct;
  /// Returns whether no other host can own the shard; asked before the first
  /// look at a worker's life, which knows of no newer owner.
  std::function<bool()> MayFence;
  /// Returns whether the shard was surely this host's at that version of the
  /// store; asked before the first start of a job that was accepted there.
  std::function<bool(uint64_t)> MayBegin;
  /// Returns the time as of which the list of workers is complete. A list from
  /// before the takeover may lack workers that the former owner used.
  std::function<TimePoint()> FleetAsOf;
  /// Returns the time since 1970.
  std::function<milliseconds()> WallTime;
  /// Returns the shard where a job that waits here would do better, -1 for
  /// none.
  std::function<int(const Job &)> Elsewhere;
  /// Returns the number of shards.
  std::function<int()> Shards;
  /// Receives one line for each decision: event and key=value fields.
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Counts of one shard since it was taken.
struct JobShardCounts {
  uint64_t Starts = 0;
  uint64_t Looks = 0;
  uint64_t Commits = 0;
  uint64_t EndsDone = 0;
  uint64_t EndsOther = 0;
  uint64_t Unanswered = 0;
  uint64_t ApprovalCalls = 0;
  /// Start orders that were answered, and the time that they took together.
  uint64_t StartsAnswered = 0;
  nanoseconds StartTime{0};
  /// Start orders without an answer now.
  uint64_t StartsUnderWay = 0;
  /// Why rounds of placing ended: all that waited was tried, the limit of start
  /// orders under way, or the limit of steps that found no place.
  uint64_t RoundsWhole = 0;
  uint64_t RoundsAtStartLimit = 0;
  uint64_t RoundsAtStepLimit = 0;
  /// Jobs that were handed to another shard.
  uint64_t Transfers = 0;
  /// Orders that set the share at which a fill task works.
  uint64_t Paces = 0;
};

/// Runs the jobs of one shard on the shard's workers.
///
/// Not safe for several threads. Give it its workers and queues, call load()
/// once and tick() every few tens of milliseconds; everything else happens in
/// the callbacks of the ports.
class JobShard {
public:
  /// \p Approvals may be null; then work that needs approval waits.
  JobShard(JobShardOptions Options, RowStore &Store, TaskWorkers &Workers,
           ApprovalService *Approvals, const Clock &Time);
  /// Gives up the shard. Answers that are still under way are ignored.
  ~JobShard();
  JobShard(const JobShard &) = delete;
  JobShard &operator=(const JobShard &) = delete;

  /// Reads the shard's rows and begins to look at the workers.
  void load();
  /// Replaces the list of workers: \p Own are this shard's, \p Fleet are all.
  void setWorkers(std::vector<WorkerEntry> Own, std::vector<WorkerEntry> Fleet);
  /// Workers of this shard that have left the list a short time ago; call it
  /// before load().
  void setFormerWorkers(const std::vector<WorkerEntry> &Former);
  /// Replaces the queues.
  void setQueues(std::shared_ptr<const JobQueues> Queues);
  /// Does what has become due.
  void tick();
  /// Stops giving orders, so that another host may take the shard.
  void retire();

  /// Returns the state that is stored for \p Job, or none if the shard does not
  /// know the job (yet).
  std::optional<JobState> state(const std::string &Job) const;
  /// Jobs without a started task, by queue.
  std::map<std::string, int> pending() const;
  /// What the shard's owner says of its load.
  ShardLoad currentLoad();
  /// True once all rows are read.
  bool isLoaded() const;
  uint64_t epoch() const;
  /// True once all rows are read and all workers are looked at.
  bool isSettled() const;
  /// True once another owner was met; the shard gives no orders any more.
  bool isLost() const;
  const JobShardCounts &counts() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
