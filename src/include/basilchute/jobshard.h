/// \file
/// Owner of one shard: schedules the shard's jobs onto the shard's workers.
#pragma once

#include "basilchute/approval.h"
#include "basilchute/job.h"
#include "basilchute/leasetimes.h"
#include "basilchute/placementoptions.h"
#include "basilchute/rowstore.h"
#include "basilchute/shardchoice.h"
#include "basilchute/taskworker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

struct HandoverRecord;

/// A shard to which tasks of a job can be delegated.
struct DelegationTarget {
  int Shard = 0;
  /// Number of workers that take tasks of the job.
  size_t Workers = 0;
  /// Number of tasks for which there are processors.
  size_t MaxTasks = 1;
};

/// Settings of a JobShard.
struct JobShardOptions {
  int Shard = 0;
  /// Version of the shard's owner row. Workers refuse orders with a lower
  /// epoch than the highest that they have seen.
  uint64_t Epoch = 0;
  /// Bounds on the leases that polls give to the runs on a worker.
  LeaseTimes Leases;
  /// Longest lease that a worker grants, also by an order with a time on the
  /// clock of another process.
  milliseconds MaxWorkerLease{6000};
  /// Fill tasks are placed, moved and paced by the processor time that workers
  /// leave them by measurement, in place of reservations.
  bool MeasuredFill = false;
  /// Time for which a start order is valid.
  milliseconds StartLease{500};
  /// Maximum time that a poll waits at the worker for a completion.
  milliseconds MaxPollWait{1000};
  /// Maximum poll wait on a worker that runs both fill tasks and serving
  /// tasks, whose tail latency decides the pace of the fill tasks.
  milliseconds MaxPollWaitMixed{500};
  /// Minimum time between two polls of one worker.
  milliseconds MinPollInterval{120};
  /// Time for which changes of jobs are batched into one commit.
  milliseconds CommitDelay{40};
  /// Time after the takeover by which every run that the previous owner started
  /// on an unreachable worker has ended, because its lease has expired.
  milliseconds PreviousRunsTimeout{12000};
  /// Time from which no previous owner was a sole owner any more; the takeover
  /// if none.
  std::optional<TimePoint> PreviousSoleUntil;
  /// Number of workers that every previous owner counts at least when it looks
  /// for evidence. Zero if that is not known, or if a previous owner may not
  /// have kept to LeaseTimes.
  size_t PreviousWorkers = 0;
  /// Whether previous owners take only workers for evidence that UsedWorkers
  /// has stored.
  bool HasPreviousStoredEvidence = false;
  /// Version of the rows with the previous owner's record. Zero if there is no
  /// record that names all runs that are left, for example because this host
  /// has owned the shard under this epoch before.
  uint64_t HandoverVersion = 0;
  PlacementOptions Placement;
  /// Memory in bytes that this host can spare for jobs; zero for no limit.
  size_t MaxJobBytes = 0;
  /// Returns whether this host may still send orders; called before each order.
  std::function<bool()> CanSendOrders;
  /// Returns whether no other host can own the shard. Called before the first
  /// poll of an incarnation of a worker: a new incarnation has not seen the
  /// epoch of a newer owner and would accept the poll of a stale one.
  std::function<bool()> IsSoleOwner;
  /// Returns the number of workers that a new owner may count, see
  /// PreviousWorkers; zero if it may have none.
  std::function<size_t()> PublishedWorkers;
  /// Returns whether this host certainly owned the shard at a version of the
  /// store. Called with the version at which a job was accepted, before the
  /// first start of the job.
  std::function<bool(uint64_t)> WasOwnerAt;
  /// Returns the time as of which the list of workers is complete. A list from
  /// before the takeover may lack workers that the previous owner used.
  std::function<TimePoint()> FleetTime;
  /// Returns whether a worker that left the list may have had another address
  /// before, since this host has not seen each change of the list.
  std::function<bool(const std::string &)> MayHaveMoved;
  /// Requests the current list of workers.
  std::function<void()> RefreshFleet;
  /// Returns the time since 1970.
  std::function<milliseconds()> WallTime;
  /// Returns the shard where a job that waits in this shard would wait less, -1
  /// for none.
  std::function<int(const Job &)> ChooseTransferTarget;
  /// Returns another shard where one worker has room for the largest task of
  /// the job, beside the tasks that were sent there before; std::nullopt for
  /// none. Of the shards given, which have or may have tasks of the job, only
  /// those count whose owners take added tasks. The last argument is the number
  /// of tasks that will be sent; zero for a mere question.
  std::function<std::optional<DelegationTarget>(const Job &,
                                                const std::set<int> &, size_t)>
      FindShardWithRoom;
  /// Returns the long-running tasks that find no room in any of the other
  /// shards, as their owners report them.
  std::function<RestartDemand()> RestartsElsewhere;
  /// Returns whether runs may be started now. Polls and all other orders go on
  /// while it returns false.
  std::function<bool()> MayStart;
  /// Returns the number of shards.
  std::function<int()> ShardCount;
  /// Whether queues whose short tasks wait are ordered by their shares of the
  /// resources.
  bool OrdersByShares = false;
  /// Logs one decision: the event's name and its key=value fields.
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Counters of one shard since the takeover.
struct JobShardCounts {
  uint64_t Starts = 0;
  uint64_t Polls = 0;
  uint64_t Commits = 0;
  /// Commits of one job alone that the store refused as invalid.
  uint64_t RowsRefused = 0;
  /// Completions of runs that succeeded, and of all other runs.
  uint64_t RunsSucceeded = 0;
  uint64_t RunsNotSucceeded = 0;
  /// Start orders whose outcome is unknown.
  uint64_t StartsUnanswered = 0;
  uint64_t ApprovalCalls = 0;
  /// Start orders that were answered, and the sum of their round-trip times.
  uint64_t StartsAnswered = 0;
  nanoseconds TotalStartRoundTrip{0};
  /// Start orders in flight.
  uint64_t StartsInFlight = 0;
  /// Rounds by the reason for which they ended: all waiting tasks were tried,
  /// the limit of start orders in flight was reached, or the limit of steps
  /// that could not be placed was reached.
  uint64_t RoundsCompleted = 0;
  uint64_t RoundsAtStartLimit = 0;
  uint64_t RoundsAtStepLimit = 0;
  /// Jobs that were transferred to another shard.
  uint64_t Transfers = 0;
  /// Long-running tasks of started jobs that waited longer than expected for
  /// room in the shard.
  uint64_t LongTaskWaits = 0;
  /// Long-running tasks that were delegated to another shard.
  uint64_t Delegations = 0;
  /// Crashes of workers that had runs, trials of tasks that may have caused
  /// one, trials that the worker survived, and jobs that were given up.
  uint64_t WorkerCrashes = 0;
  uint64_t CrashTrials = 0;
  uint64_t CrashTrialsSurvived = 0;
  uint64_t CrashJobsGivenUp = 0;
  /// Orders that set the pace of a fill task.
  uint64_t PaceOrders = 0;
  /// Reservations of room for waiting tasks: tasks that got one, changes of
  /// worker, and tasks that started as early as reserved, or later.
  uint64_t ReservationsMade = 0;
  uint64_t ReservationsMoved = 0;
  uint64_t ReservationsMet = 0;
  uint64_t ReservationsMissed = 0;
  /// Tasks that were started in room that was reserved for another one later.
  uint64_t TasksBackfilled = 0;
  /// Workers that are kept for finite tasks, and their room beside long-running
  /// tasks.
  uint64_t KeptWorkers = 0;
  int64_t KeptMillicores = 0;
  /// Runs whose duration was predicted, those that took longer than the bound
  /// for nine of ten, and the sum of the differences.
  uint64_t RunsPredicted = 0;
  uint64_t RunsOverLateBound = 0;
  milliseconds TotalPredictionError{0};
  /// Fill runs that were stopped to go on sooner on another worker.
  uint64_t FillMoves = 0;
  /// Workers for whose answer ready tasks wait after the takeover, and the
  /// number of these tasks; updated each second.
  uint64_t TakeoverSilentWorkers = 0;
  uint64_t TasksHeldBack = 0;
  /// Takeovers of shards by this process; only set in sums over shards.
  uint64_t Takeovers = 0;
};

/// Runs the jobs of one shard on the shard's workers.
///
/// Not thread-safe. The caller sets the workers and queues, calls load() once
/// and then tick() every few tens of milliseconds; all other work is done in
/// the callbacks of the store, worker and approval ports.
class JobShard {
public:
  /// \p Approvals may be null; tasks that need an approval then wait.
  JobShard(JobShardOptions Options, RowStore &Store, TaskWorkers &Workers,
           ApprovalService *Approvals, const Clock &Time);
  /// Stops managing the shard. Answers that arrive later are ignored.
  ~JobShard();
  JobShard(const JobShard &) = delete;
  JobShard &operator=(const JobShard &) = delete;

  /// Starts to read the shard's rows, and polls the workers once all are read.
  void load();
  /// Replaces the list of workers: \p Own are the workers of this shard,
  /// \p Fleet those of all shards with the largest capacity that each has had.
  /// A job whose tasks fit on none of \p Fleet is failed.
  void setWorkers(std::vector<WorkerEntry> Own, std::vector<WorkerEntry> Fleet);
  /// Adds workers of this shard that left the list recently: they may still run
  /// tasks that the previous owner started. Must be called before load().
  void addFormerWorkers(const std::vector<WorkerEntry> &Workers);
  /// Adds or updates the queues in \p Queues. Queues that are no longer
  /// configured are kept, because jobs outlive their queue.
  void setQueues(std::shared_ptr<const JobQueues> Queues);
  /// Performs the periodic work that is due.
  void tick();
  /// Stops sending orders, and returns what the new owner must know of the runs
  /// that are left. Returns none, and changes nothing, if the rows are not read
  /// yet or ownership is lost.
  std::optional<HandoverRecord> handOver();
  /// Sends orders again after a handover that certainly did not take place.
  void resume();

  /// Returns the stored state of \p Job, or none if the shard does not know the
  /// job or has not read it yet.
  std::optional<JobState> state(const std::string &Job) const;
  /// Returns the number of jobs without a started task, by queue.
  std::map<std::string, int> pendingJobs() const;
  /// Returns the number of the shard's workers in the list.
  size_t listedWorkers() const;
  /// Returns the load that the shard's owner reports for the choice of shards.
  ShardLoad currentLoad();
  /// Returns the same with what the admission of new jobs depends on.
  ShardLoad reportedLoad();
  /// Returns the memory in bytes that the shard's jobs need in this process.
  size_t jobBytes() const;
  /// Returns the weighted dominant share of each queue that has finite runs.
  std::map<std::string, double> queueShares();
  /// Returns true once all rows are read.
  bool isLoaded() const;
  uint64_t epoch() const;
  /// Returns true once all rows are read and no task waits for the end of a run
  /// that a previous owner may have started: every worker was polled, or these
  /// runs have ended by Options.PreviousRunsTimeout.
  bool isTakeoverComplete() const;
  /// Returns true once a newer owner was detected; no more orders are sent.
  bool hasLostOwnership() const;
  const JobShardCounts &counts() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
