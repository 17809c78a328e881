/// \file
/// Implementation of JobShard, by source file:
/// - jobshard.cpp, jobshard_commit.cpp: reading, following and committing rows;
/// - jobshard_crash.cpp: crashes of workers and the tasks under suspicion;
/// - jobshard_cutoff.cpp: crashes of workers that may only be cut off;
/// - jobshard_trial.cpp: starts of such tasks;
/// - jobshard_takeover.cpp: what previous owners may have left running;
/// - jobshard_poll.cpp: polls of workers and their answers;
/// - jobshard_rank.cpp: waiting tasks and their order;
/// - jobshard_place.cpp, jobshard_gang.cpp: choice of workers for tasks;
/// - jobshard_begin.cpp: whether a long-running job begins in this shard;
/// - jobshard_orders.cpp: start orders and stop orders;
/// - jobshard_astray.cpp: start orders that may reach the next process of
///   their worker;
/// - jobshard_lagging.cpp: runs that are too slow on their worker;
/// - jobshard_interference.cpp: interference and the pace of fill tasks;
/// - jobshard_keep.cpp: room that is kept for tasks that fit nowhere yet, and
///   long-running runs that move off draining workers;
/// - jobshard_relocate.cpp: fill runs that move to another worker;
/// - jobshard_transfer.cpp: transfer of waiting jobs to another shard;
/// - jobshard_delegate.cpp: tasks that another shard runs for this one;
/// - jobshard_addedtasks.cpp: tasks that other shards delegate to this one, or
///   back, of jobs of which it has tasks already;
/// - jobshard_waits.cpp: report of long-running tasks that find no room.
#pragma once

#include "basilchute/interference.h"
#include "basilchute/jobshard.h"
#include "libbasilchute/crashhistory.h"
#include "libbasilchute/handover.h"
#include "libbasilchute/heldjobs.h"
#include "libbasilchute/jobentry.h"
#include "libbasilchute/leaseevidence.h"
#include "libbasilchute/modelexchange.h"
#include "libbasilchute/orderwindow.h"
#include "libbasilchute/placementplan.h"
#include "libbasilchute/placementround.h"
#include "libbasilchute/previousruns.h"
#include "libbasilchute/queueorder.h"
#include "libbasilchute/queueshares.h"
#include "libbasilchute/unplacedsteps.h"
#include "libbasilchute/usedworkers.h"
#include "libbasilchute/workerfit.h"
#include "libbasilchute/workerslot.h"
#include "libbasilchute/workrates.h"

#include <deque>
#include <set>
#include <unordered_map>

BASILCHUTE_NAMESPACE_BEGIN

/// A long-running task that has waited longer is placed before short tasks, and
/// its job may be transferred at any age.
constexpr milliseconds LongRunningMaxWait{1200};

class JobShard::Impl : public std::enable_shared_from_this<JobShard::Impl> {
public:
  Impl(JobShardOptions Options, RowStore &Store, TaskWorkers &Workers,
       ApprovalService *Approvals, const Clock &Time);

  // Interface of JobShard.
  void readRows();
  void tick();
  void setWorkers(std::vector<WorkerEntry> Own, std::vector<WorkerEntry> Fleet);
  void addFormerWorkers(const std::vector<WorkerEntry> &Workers);
  void setQueues(std::shared_ptr<const JobQueues> Queues);
  std::optional<HandoverRecord> handOver();
  void resume() { m_isHandingOver = false; }
  std::optional<JobState> state(const std::string &Job) const;
  std::map<std::string, int> pendingJobs() const;
  size_t listedWorkers() const;
  ShardLoad load();
  ShardLoad reportedLoad();
  QueueShares heldShares();
  size_t jobBytes() const { return m_held.Bytes; }
  bool isLoaded() const { return m_isLoaded; }
  uint64_t epoch() const { return m_options.Epoch; }
  bool isTakeoverComplete() const;
  bool hasLostOwnership() const { return m_hasLostOwnership; }
  const JobShardCounts &counts();

private:
  using Slots = std::map<std::string, WorkerSlot>;

  // Reading and committing rows.
  void readJobs(const std::string &From, uint64_t FeedFrom, bool IsInitialLoad);
  void readProgress(const std::string &From);
  void finishLoad();
  void followJobs();
  void onJobRow(const StoredRow &Row);
  void addJob(const Job &Spec, uint64_t Version, const JobProgress *Stored);
  void addStored(const Job &Spec, const StoredRow &Row);
  void learnMeanWork(const std::string &Queue, double Work);
  /// Counts the memory of the jobs and releases those that have ended.
  void countJobBytes();
  void releaseEnded();
  TaskClass classOf(const std::string &Queue, const std::string &Image);
  void cancelJob(const std::string &Id);
  void endJob(JobEntry &Entry, JobState State, std::string_view Why);
  /// Has the job's progress committed after \p Delay, or earlier together with
  /// that of other jobs.
  void markDirty(JobEntry &Entry, milliseconds Delay);
  void markDirty(JobEntry &Entry) { markDirty(Entry, m_options.CommitDelay); }
  void commit();
  /// Last completion of one incarnation of a worker that a commit covers.
  struct CoveredCompletion {
    milliseconds Incarnation{0};
    uint64_t Number = 0;
  };
  void onCommitted(const std::map<std::string, JobState> &Jobs,
                   const std::map<std::string, CoveredCompletion> &Completions,
                   Result<uint64_t> Answer);
  /// Adds the progress of as many jobs as fit. Returns these with their states.
  std::map<std::string, JobState> addProgress(RowCommit &Commit);
  /// Returns the jobs for the next commit: those whose progress has changed, or
  /// one alone whose row was refused.
  std::vector<std::string> jobsToCommit() const;
  /// Returns the last completion before those of jobs in m_dirty.
  uint64_t coveredNumber(const WorkerSlot &Slot) const;
  void onRefused(const std::map<std::string, JobState> &Jobs);
  void onCommitFailed(const std::map<std::string, JobState> &Jobs,
                      const Error &Why);
  void verifyOwnership();
  void refreshRowVersions(std::vector<std::string> Jobs);
  void loseOwnership(std::string_view Why);

  void addFillLoad(ShardLoad &Load);

  // Transfer of jobs to other shards.
  void transfer();
  std::vector<std::string> transferable() const;
  bool canTransfer(const JobEntry &Entry) const;
  bool hasWorkersFor(const JobEntry &Entry) const;
  bool hasRunsOf(const JobEntry &Entry) const;
  void adoptJob(const Job &Spec, uint64_t JobVersion);
  void sendTransfer(const std::map<std::string, int> &Moves);
  void onTransferred(const std::map<std::string, int> &Moves,
                     Result<uint64_t> Answer);
  void forgetJob(const std::string &Id, uint64_t Version);
  void keepReturned(const JobEntry &Entry, const StoredRow &Row);
  bool wasTransferred(const std::string &Id, uint64_t Version);

  // Delegation of waiting long-running tasks to other shards.
  void delegateTasks();
  /// A job with tasks to delegate, and the rank of the first of these.
  struct DelegableJob {
    std::pair<bool, TimePoint> Rank;
    std::string Id;
    std::vector<int> Positions;
  };
  /// Returns these jobs in the order of their ranks.
  std::vector<DelegableJob> jobsToDelegate() const;
  std::vector<int> delegableTasks(const JobEntry &Entry) const;
  bool hasRunsOf(const TaskName &Task) const;
  static std::vector<int> delegatedTo(const DelegationTarget &Target,
                                      const JobEntry &Entry,
                                      const std::vector<int> &Positions);
  /// Adds the delegation of tasks of one job to \p Commit. Returns true if the
  /// tasks are added to others of the job.
  bool addDelegation(RowCommit &Commit, JobEntry &Entry,
                     const std::vector<int> &Positions, int Target);
  /// Returns the number of jobs that one commit may delegate if \p Entry is one
  /// of them.
  static size_t maxJobsWith(const JobEntry &Entry);
  /// The part of one job in a commit of delegations.
  struct Delegation {
    std::string Id;
    int Target = 0;
    bool IsAdded = false;
  };
  void onDelegated(const std::vector<Delegation> &Sent,
                   const Result<uint64_t> &Answer);
  void revertDelegation(JobEntry &Entry, const Delegation &Sent);
  static void markRunning(JobEntry &Entry);
  void finishDelegation(JobEntry &Entry);
  void onCurrentProgress(JobEntry &Entry, const StoredRow &Row);
  void onPartRow(const std::string &Id, const StoredRow &Row);
  /// Tasks that a row adds to those of a job that this shard has.
  struct AddedTasks {
    std::string JobId;
    std::string Key;
    uint64_t Version = 0;
    JobPart Part;
  };
  void onAddedTasksRow(const std::string &Id, const StoredRow &Row);
  void takeAddedTasks();
  /// Returns false if the row must wait.
  bool takeAdded(const AddedTasks &Row);
  void addTasks(JobEntry &Entry, const AddedTasks &Row);
  void onTasksAdded(JobEntry &Entry, const AddedTasks &Row);
  /// Returns the changes that must be stored together with the progress.
  std::vector<RowChange> changesForAddedTasks(JobEntry &Entry);
  void readHomesOfParts();
  void readHome(JobEntry &Entry);
  /// Returns the address of the progress row of a job, or of a part of one, in
  /// this shard.
  RowAddress progressAddressOf(const std::string &Id) const;

  void log(std::string_view Event, std::string_view Fields) const;
  JobEntry *find(const std::string &Id);
  const JobQueue *queueOf(const JobEntry &Entry) const;
  bool canSendOrders() const;
  bool isSoleOwner() const {
    return !m_options.IsSoleOwner || m_options.IsSoleOwner();
  }
  /// Returns the longest lease that may be given now. None if a new owner may
  /// exist that takes the leases of this one for ended; then nothing may be
  /// started either.
  std::optional<milliseconds> leaseToGive() const;
  bool canStart(JobEntry &Entry) const;

  // Takeover from the previous owner.
  /// Returns the time by which every run that any previous owner started has
  /// ended.
  TimePoint previousRunsEndAt() const {
    return m_takeoverTime + m_options.PreviousRunsTimeout;
  }
  /// Returns true if a run that a previous owner started may be on a worker
  /// that has not answered yet: of the task, or of any member of its gang.
  bool mayHavePreviousRun(const JobEntry &Entry, int Position) const;
  /// Returns true if any task of the job may have such a run.
  bool mayHavePreviousRuns(const JobEntry &Entry) const;
  /// Reads the record of the previous owner, and then the other rows.
  void readHandover();
  void onHandoverRows(const std::vector<StoredRow> &Rows);
  void initPreviousRuns();
  /// Ends the wait for unknown runs earlier if the workers that have answered
  /// show that their leases end earlier.
  void limitPreviousRuns();
  /// Counts the workers that have not accepted this owner's epoch.
  void countUnfenced(TimePoint Now);
  /// Has stored that the task has no run, if it stores its place and that is
  /// certain.
  void storeNoRun(JobEntry &Entry, int Position);
  /// Does so for all tasks that wait.
  void storeWaits();
  /// Returns true if the list of workers is newer than the takeover. An older
  /// one may lack workers that the previous owner used.
  bool isFleetComplete() const {
    return !m_options.FleetTime || m_options.FleetTime() >= m_takeoverTime;
  }
  /// Returns the workers that are listed or may have runs.
  std::set<std::string> workersInUse() const;
  /// Returns true if the worker has no runs, reports none that ended, and will
  /// get none.
  bool isDone(const WorkerSlot &Slot) const;
  UsedWorkersOptions usedWorkersOptions();
  /// Has these workers stored.
  void storeWorkersInUse();
  void updateStoredFlags();
  /// Returns true once every worker has answered a poll or missed one.
  bool wereAllWorkersPolled() const;
  /// Returns the number of ready tasks that wait for the end of previous runs.
  size_t countHeldBackTasks() const;
  void logTakeover();

  // Polls of workers and their answers.
  void pollWorkers();
  void poll(WorkerSlot &Slot);
  bool canExtendLeases(const WorkerSlot &Slot) const;
  milliseconds pollWaitFor(const WorkerSlot &Slot) const;
  /// \p Polled is the worker's entry when the poll was sent.
  void onPoll(const WorkerEntry &Polled, TimePoint Sent,
              Result<PollReply> Answer);
  void refreshFleet();
  void onMissedPoll(WorkerSlot &Slot, const std::string &Address,
                    const Error &Why);
  /// Called if another worker answers at \p Address, at which \p Slot's was
  /// polled.
  void onOtherWorkerAt(const std::string &Address, WorkerSlot &Slot);
  void onCompletion(WorkerSlot &Slot, const Completion &Report);
  void applyCompletion(JobEntry &Entry, int Position, const WorkerSlot &Slot,
                       const Completion &Report);
  void countFailure(JobEntry &Entry, int Position, const Completion &Report);
  void updateWorkerHealth(WorkerSlot &Slot, RunOutcome Outcome);
  void onRunningTask(WorkerSlot &Slot, const RunningTask &Run);
  void adoptRun(WorkerSlot &Slot, const RunningTask &Run);
  void releaseMissingRuns(WorkerSlot &Slot, const PollReply &Reply,
                          TimePoint Sent);
  bool hasLeaseExpired(const WorkerSlot &Slot) const;
  void releaseAllRuns(WorkerSlot &Slot, std::string_view Why,
                      const std::set<RunKey> &Kept);
  /// \p NextSince is the latest time at which the next one can have begun.
  void loseIncarnation(WorkerSlot &Slot, std::string_view Why,
                       TimePoint NextSince, const std::set<RunKey> &Kept);

  // Start orders that may reach the next process of their worker.
  /// Returns the runs that the next process of the worker may start, or may
  /// have started after it answered the poll that was sent at \p Polled.
  std::set<RunKey> runsForNext(const WorkerSlot &Slot, TimePoint Polled) const;
  void setAstray(WorkerSlot &Slot, const std::set<RunKey> &Runs);
  void addUnansweredStart(WorkerSlot &Slot, const RunKey &Key, TimePoint Sent);
  /// Has the worker reject the runs of these orders.
  void stopUnansweredStarts(WorkerSlot &Slot);
  /// Returns true if the start order of the astray run had not been carried out
  /// before a poll that was sent at \p Polled, and will not be.
  static bool isKeptOut(const ReservedRun &Run, TimePoint Polled);
  /// Has the worker stop the astray runs that it does not run.
  void stopAstrayRuns(WorkerSlot &Slot);
  void onAstrayStop(const std::string &Worker, milliseconds Incarnation,
                    const RunKey &Key, const Status &Answer);
  static bool hasAstrayRuns(const WorkerSlot &Slot);
  /// Returns true if a stop order for an astray run was confirmed after the
  /// last poll was sent.
  static bool awaitsPollAfterStop(const WorkerSlot &Slot);
  /// Takes into account that the worker may hold leases by orders that were
  /// sent for a former process.
  void updateAstrayLeases(WorkerSlot &Slot) const;
  /// Does so if another process has answered a start order.
  void checkStartClock(WorkerSlot &Slot, const RunKey &Key,
                       const StartReply &Answer) const;
  void releaseRun(WorkerSlot &Slot, const RunKey &Key, std::string_view Why);
  void removeUnlistedWorkers();

  // Crashes of workers.
  static TaskName crashUnit(const JobEntry &Entry, int Position);
  static CrashRecord &crashRecord(JobEntry &Entry, int Position);
  /// Returns true if the task starts as a trial only.
  static bool isSuspect(const JobEntry &Entry, int Position);
  /// Returns the entry and the position of a task; null and -1 if its job is
  /// not known or has ended.
  std::pair<JobEntry *, int> findRunning(const TaskName &Task);
  SilentWorker silentWorker(const WorkerSlot &Slot);
  /// Returns the runs on the worker that have been seen and are young, with the
  /// longest time that they can have lasted.
  std::map<TaskName, milliseconds> youngRuns(const WorkerSlot &Slot);
  std::vector<SilentWorker> otherSilentWorkers(const WorkerSlot &Slot);
  /// Counts a crash of the worker for its runs. Returns the jobs to be given
  /// up, which giveUp() ends.
  std::vector<JobEntry *> countCrash(WorkerSlot &Slot, std::string_view Why,
                                     CrashDoubt Doubt);
  void giveUp(JobEntry &Entry);
  void addUnconfirmed(const WorkerSlot &Slot, JobEntry &Entry,
                      const CountedCrash &Crash);
  /// Counts the unconfirmed crashes whose worker was replaced or stays away.
  void confirmCrashes();
  void resolveCrash(const std::string &Worker, bool HasCrashed,
                    std::string_view How);
  int unconfirmedCrashes(const TaskName &Unit) const;
  void logCrash(const SilentWorker &Crashed, std::string_view Why,
                const std::map<TaskName, CrashEvidence> &Judged,
                bool IsLeaseOver, bool IsOfDomain) const;
  /// Stores which tasks have just started on a worker that fell silent.
  void storeExposures(WorkerSlot &Slot);
  void setExposure(JobEntry &Entry, int Position, const std::string &Worker,
                   milliseconds Incarnation);
  void clearExposure(JobEntry &Entry, int Position);
  void passOverCrash(const SilentWorker &Crashed,
                     const std::map<TaskName, CrashEvidence> &Judged);
  /// Compares the incarnation of a worker with what is stored.
  void resolveExposures(WorkerSlot &Slot, milliseconds Incarnation);
  /// Returns the tasks, or gangs, for which a crash was counted: a gang may
  /// have several members on the worker.
  std::set<TaskName> resolveHandedOver(const WorkerSlot &Slot,
                                       milliseconds Incarnation);
  /// Counts a crash of \p Worker for young runs that a previous owner had seen.
  void countYoungRuns(const std::map<TaskName, milliseconds> &Young,
                      const std::string &Worker);
  /// Counts a crash of a worker that a previous owner has not counted.
  void countEarlierCrash(JobEntry &Entry, int Position,
                         const std::string &Worker);
  void restoreCrashes(JobEntry &Entry);
  void onStartSeen(WorkerSlot &Slot, ReservedRun &Run, milliseconds Clock);
  void onSuspectSeen(JobEntry &Entry, int Position);
  void onSuspectEnded(JobEntry &Entry, int Position, RunOutcome Outcome);
  void clearSuspicion(JobEntry &Entry, int Position);

  // Trials of suspects.
  /// Places a member of a unit, or a task, in a trial.
  struct TrialPlace {
    int Position = 0;
    std::string Worker;
    milliseconds Incarnation{0};
  };
  struct PendingTrial {
    std::vector<TrialPlace> Places;
    /// Commit of the job's progress that stores the trial.
    uint64_t Commit = 0;
  };
  /// Starts trials, and leaves only those candidates that have none.
  void placeTrials(std::vector<PlacementCandidate> &Candidates);
  void updateTrials(std::vector<PlacementCandidate> &Candidates);
  /// Goes on with a trial that a previous owner began on \p Worker.
  void resumeTrial(JobEntry &Entry, int Position, const std::string &Worker);
  std::vector<TaskName> suspectsInOrder();
  bool hasWaitedForTrial(const JobEntry &Entry, int Position) const;
  /// Returns true if a suspect has waited so long for a trial that it starts
  /// without one.
  bool canRelease(JobEntry &Entry, int Position);
  void release(JobEntry &Entry, int Position);
  static std::vector<int> trialPositions(const JobEntry &Entry, int Position);
  bool canTry(JobEntry &Entry, int Position);
  bool beginTrial(std::vector<PlacementCandidate> &Candidates, JobEntry &Entry,
                  int Position);
  PlacementCandidate *leastHarmful(std::vector<PlacementCandidate> &Candidates,
                                   JobEntry &Entry, int Position,
                                   const std::set<std::string> &GangWorkers);
  TrialHarm harmOf(const WorkerSlot &Slot);
  /// Returns the candidates of the pending trial's workers by place, or none if
  /// the trial cannot start now.
  std::vector<PlacementCandidate *>
  readyPlaces(std::vector<PlacementCandidate> &Candidates, JobEntry &Entry,
              const PendingTrial &Pending);
  void startTrial(std::vector<PlacementCandidate> &Candidates, JobEntry &Entry,
                  int Position, const PendingTrial &Pending);
  /// Returns true if a worker of the pending trial is evacuated.
  bool isEvacuated(const PendingTrial &Pending) const;
  void endTrial(const TaskName &Unit, std::string_view How);
  void endTrialsOf(const std::string &Job);
  void clearTrialExposures(JobEntry &Entry, int Position);
  bool hasTrialRuns(const JobEntry &Entry, int Position) const;
  std::set<std::string> silentWorkers() const;

  // Placement and orders.
  void place();
  /// Returns false if the round must end.
  bool placeRestarts(PlacementRound &Current);
  void placeOthers(PlacementRound &Current);
  /// Sort key of a restart: the time since which it has waited in units of
  /// some hundred milliseconds, and the negative demand. Then job and position.
  using Restart = std::tuple<int64_t, int64_t, std::string, int>;
  std::vector<Restart> waitingRestarts();
  std::vector<RankedJob> rankedJobs();
  /// Places as many of the waiting tasks of one job as possible that are no
  /// restarts.
  void placeJob(PlacementRound &Current, JobEntry &Entry);
  /// Starts the task if it may start now and a worker has the room.
  void placeTask(PlacementRound &Current, JobEntry &Entry, int Position);
  bool isWaiting(const JobEntry &Entry, int Position) const;
  void placeReserved(PlacementRound &Current);
  void addUnplaced(const JobEntry &Entry, int Position);
  RejectionKey rejectionKey(const JobEntry &Entry, int Position) const;
  std::vector<PlacementCandidate> placementCandidates();
  bool placeOne(std::vector<PlacementCandidate> &Candidates, JobEntry &Entry,
                int Position);
  bool placeGang(std::vector<PlacementCandidate> &Candidates, JobEntry &Entry,
                 int Position);
  bool shouldWaitForTransfer(const std::vector<PlacementCandidate> &Candidates,
                             const JobEntry &Entry, int Position);
  bool canStillTransfer(const JobEntry &Entry) const;
  bool canPlaceWholeStep(const std::vector<PlacementCandidate> &Candidates,
                         const JobEntry &Entry, int Position);
  bool restartRefusedMember(std::vector<PlacementCandidate> &Candidates,
                            JobEntry &Entry, int Position);
  void finishGang(JobEntry &Entry, int Position);
  PlacementCandidate *cheapest(std::vector<PlacementCandidate> &Candidates,
                               const JobEntry &Entry, int Position,
                               const std::vector<WorkerSlot *> &GangWorkers);
  bool isAllowed(const PlacementCandidate &Candidate, const JobEntry &Entry,
                 int Position) const;
  /// Checks everything that isAllowed() checks but the approval that the queue
  /// may require.
  bool canRunIfApproved(const PlacementCandidate &Candidate,
                        const JobEntry &Entry, int Position) const;
  bool needsApproval(const JobEntry &Entry) const;
  bool isApproved(const PlacementCandidate &Candidate, const JobEntry &Entry,
                  int Position) const;
  void requestApproval(const std::vector<PlacementCandidate> &Candidates,
                       const JobEntry &Entry, int Position, size_t Tasks);
  /// Returns where a listed worker can hold the task.
  StepFit fitOf(const JobEntry &Entry, int Position) const;
  bool mayFitHere(const JobEntry &Entry, int Position);
  int countOnWorker(const WorkerSlot &Slot, const JobEntry &Entry,
                    int Position) const;
  FillTask fillTask(const JobEntry &Entry, int Position) const;
  FillPlace fillPlace(const PlacementCandidate &Candidate,
                      const JobEntry &Entry, int Position) const;
  /// Returns true if the task may run on the worker once it has room.
  bool mayRunOn(const WorkerSlot &Slot, const JobEntry &Entry,
                int Position) const;
  /// True for other tasks.
  bool admitsFillTask(const JobEntry &Entry, int Position,
                      const FillPlace &Place) const;
  /// \p Place is that of a fill task.
  double cost(const PlacementCandidate &Candidate, const JobEntry &Entry,
              int Position, const FillPlace &Place) const;
  void reserveFor(PlacementCandidate &Candidate, const JobEntry &Entry,
                  int Position);
  /// Keeps room for the task on a worker that has it, or else on one that will
  /// have it. Returns the worker if it has the room now.
  PlacementCandidate *holdRoom(std::vector<PlacementCandidate> &Candidates,
                               const JobEntry &Entry, int Position);
  void keepRoom(std::vector<PlacementCandidate> &Candidates,
                const JobEntry &Entry, int Position);
  /// Returns the restarts that have waited for a while for room.
  RestartDemand overdueRestarts() const;
  /// Keeps room for restarts of other shards from long-running tasks that never
  /// ran.
  void keepRoomForOtherShards(std::vector<PlacementCandidate> &Candidates);
  bool hasLeavingRuns() const;
  void moveLeavingRuns(PlacementRound &Current);
  void moveLeavingRun(PlacementRound &Current, WorkerSlot &Slot,
                      const RunKey &Key);
  /// Reserves room for a run and sends the start order, or has the worker
  /// stored first.
  void start(WorkerSlot &Slot, JobEntry &Entry, int Position);
  /// Sends the start orders of tasks whose worker is stored.
  void sendStoredStarts();
  bool mayStart() const { return !m_options.MayStart || m_options.MayStart(); }
  void sendStart(WorkerSlot &Slot, JobEntry &Entry, int Position,
                 const RunKey &Key);
  static bool canTakeStart(const WorkerSlot &Slot) {
    return Slot.IsFenced && Slot.IsListed && Slot.IsStored &&
           Slot.Entry.takesTasks() && Slot.MissedPolls == 0 &&
           !Slot.IsProcessGone && Slot.isEntryCurrent();
  }
  /// A start order on its way.
  struct SentStart {
    std::string Worker;
    /// Process that it is for.
    milliseconds Incarnation{0};
    RunKey Key;
    TimePoint Sent;
  };
  void onStart(const SentStart &Order, Result<StartReply> Answer);
  void stop(WorkerSlot &Slot, const RunKey &Key);
  /// Sends the stop order for a run again that should have ended, if the last
  /// one was sent long enough ago.
  void repeatStop(WorkerSlot &Slot, const RunKey &Key);
  void stopAll(const JobEntry &Entry);
  void setWaiting(JobEntry &Entry, int Position, milliseconds Delay);
  void queueReady(JobEntry &Entry);
  /// Queues occurrences that have become due, and more tasks of large jobs.
  void queueMore();
  void removeWaiting(const JobEntry &Entry, int Position);
  const JobStep &waitingStepOf(const JobEntry &Entry) const;
  QueueRank rankOf(const JobEntry &Entry) const;
  bool hasWaitedLong(const JobEntry &Entry) const;
  bool hasWaitedLongHere(const JobEntry &Entry) const;
  int latenessOf(const JobEntry &Entry) const;
  /// Returns the age that the job will have at its end if its tasks run without
  /// delay from now on, as a multiple of its objective; zero if it has none.
  double endOverTarget(const JobEntry &Entry) const;
  void relocateStalledRuns();
  void moveFillRuns();
  /// Moves the run if \p Run would end clearly earlier on another worker.
  bool moveFillRun(std::vector<PlacementCandidate> &Candidates,
                   WorkerSlot &Slot, const RunKey &Key, const FillMoveRun &Run);
  void logState();
  void logLongTaskWaits(const std::vector<PlacementCandidate> &Candidates,
                        int64_t MostMillicores);
  /// Reports tasks that would fit only on evacuated workers.
  void logEvacuationWaits() const;
  /// Reports tasks that no listed worker can hold.
  void logMissingWorkers() const;
  bool needsEvacuated(const JobEntry &Entry, int Position) const;
  std::vector<const WorkerEntry *> listedEntries() const;
  /// Reports once for each wait that a task is overdue.
  void logOverdueTask(const std::vector<PlacementCandidate> &Candidates,
                      JobEntry &Entry, int Position);
  bool waitsForTrials(const std::vector<PlacementCandidate> &Candidates,
                      const JobEntry &Entry, int Position) const;
  std::string waitReason(const std::vector<PlacementCandidate> &Candidates,
                         const JobEntry &Entry, int Position) const;
  std::string waitFields(const std::vector<PlacementCandidate> &Candidates,
                         const JobEntry &Entry, int Position) const;
  /// Returns true if the worker is of the task's service and has its label.
  bool isOfKind(const WorkerSlot &Slot, const JobEntry &Entry,
                int Position) const;
  std::string
  fillWaitReasons(const std::vector<PlacementCandidate> &Candidates) const;
  void observeInterference(WorkerSlot &Slot);
  void observeFillRuns(WorkerSlot &Slot);
  static bool hasComparableSpeed(const ReservedRun &Run);
  void stopLaggingRuns(WorkerSlot &Slot);
  void recordRunTime(const ReservedRun &Run, JobEntry &Entry, int Position);
  RunProgress progressOf(const ReservedRun &Run) const;
  std::vector<milliseconds> siblingRunTimes(const JobEntry &Entry,
                                            int Position) const;
  ModelExchangeOptions modelOptions();
  /// Returns the weight of the progress of a job's fill tasks.
  double fillWeightOf(const std::string &Job);
  void updatePaces(WorkerSlot &Slot);
  void sendPace(WorkerSlot &Slot, const RunKey &Key, int Percent);

  JobShardOptions m_options;
  RowStore &m_store;
  TaskWorkers &m_workers;
  const Clock &m_time;
  JobShardCounts m_counts;
  std::unordered_map<std::string, JobEntry> m_jobs;
  HeldJobs m_held;
  /// Job rows that were read, kept until loading is complete.
  std::vector<StoredRow> m_loadedJobs;
  std::set<std::string> m_cancelled;
  /// Progress rows by job id, kept until loading is complete.
  std::map<std::string, StoredRow> m_loadedProgress;
  Slots m_slots;
  /// All workers with the largest capacity that each has had: a worker that has
  /// shrunk may grow again.
  std::vector<WorkerEntry> m_fleet;
  /// Number of the last list of workers or queues.
  uint64_t m_workerList = 1;
  /// All queues that were ever configured, since jobs outlive their queue.
  JobQueues m_queues;
  PlacementPlan m_plan;
  InterferenceModel m_interference;
  FillPlacementOptions m_fillPlacement;
  FillUsePeaks m_fillPeaks;
  std::shared_ptr<ModelExchange> m_models;
  ApprovalCache m_approvals;
  LagDetector m_lagDetector;
  std::map<std::pair<std::string, std::string>, TaskClass> m_classes;
  std::set<TaskKind> m_fillKinds;
  LoadGroup m_nextGroup = 0;
  /// Moving mean of the work of a job in millicore-seconds, by queue.
  std::map<std::string, double> m_meanWork;
  WorkRates m_rates;
  /// Positions of the tasks that are ready to start, by job.
  std::map<std::string, std::set<int>> m_waiting;
  /// Jobs whose progress has changed since the last commit.
  std::set<std::string> m_dirty;
  /// Jobs that are committed alone: the store has refused a commit with them.
  struct RefusedRow {
    milliseconds Delay{0};
    TimePoint RetryAt{};
  };
  std::map<std::string, RefusedRow> m_refusedRows;
  /// Jobs that were transferred to another shard, with the version of the
  /// transfer.
  std::map<std::string, uint64_t> m_transferredJobs;
  /// Rows of jobs that came back while the answer to their transfer is missing.
  std::map<std::string, StoredRow> m_returnedJobs;
  /// Parts of other shards' jobs that this shard runs, by job id.
  std::map<std::string, JobPart> m_parts;
  /// Rows that add tasks which are not taken yet, and the keys of all that were
  /// read.
  std::vector<AddedTasks> m_addedTasks;
  std::set<std::string> m_knownAddedRows;
  TimePoint m_nextDelegation{};
  TimePoint m_nextHomeRead{};
  uint64_t m_feedFrom = 0;
  /// Version of the store at which reading of the shard's rows began.
  uint64_t m_loadVersion = 0;
  /// Limits the start orders in flight. Hundreds are due after a takeover; if
  /// more are sent than the host can handle in time, they reach the workers
  /// after their leases have expired.
  OrderWindow m_startWindow;
  /// Runs whose worker is stored and whose start order is not sent, with the
  /// worker.
  std::deque<std::pair<std::string, RunKey>> m_storedStarts;
  TimePoint m_nextWaitStore{};
  bool m_isLoaded = false;
  bool m_hasLostOwnership = false;
  /// True while a handover is in progress: no orders are sent.
  bool m_isHandingOver = false;
  bool m_isCommitting = false;
  TimePoint m_nextRound{};
  UnplacedSteps m_unplacedSteps;
  TimePoint m_nextRelocate{};
  FillMoveBudget m_fillMoves;
  TimePoint m_nextTransfer{};
  TimePoint m_nextStateLog{};
  /// When long-running tasks that wait were last counted.
  TimePoint m_waitsCountedAt{};
  /// Counters at the last `shard_state` log line.
  JobShardCounts m_loggedCounts;
  /// No commit is sent before this time, because one has failed.
  TimePoint m_commitNotBefore{};
  /// When the progress of the jobs in m_dirty is to be committed.
  TimePoint m_commitAt{};
  /// True if most processor time is free, so that fill tasks do not wait for a
  /// better worker.
  bool m_isLightlyLoaded = false;
  /// Time of the takeover.
  TimePoint m_takeoverTime;
  /// What the previous owner left; none if it did not hand the shard over.
  std::optional<HandoverRecord> m_handover;
  /// Runs that previous owners may have left.
  PreviousRuns m_previousRuns;
  PreviousLeases m_previousLeases;
  std::shared_ptr<UsedWorkers> m_usedWorkers;
  /// Workers that the row named when it was read.
  std::set<std::string> m_previousWorkers;
  TimePoint m_nextWorkerStore{};
  TimePoint m_nextFleetRefresh{};
  LeaseEvidence m_leaseEvidence;
  CrashHistory m_crashes;
  /// Suspects, with those of ended jobs; gangs by their first members.
  std::set<TaskName> m_suspects;
  /// Tasks whose records name a worker, by worker; also some that no longer do.
  std::map<std::string, std::set<TaskName>> m_exposed;
  /// Runs on a worker that the previous owner had not seen to last, until the
  /// worker has answered.
  struct HandedOver {
    milliseconds Incarnation{0};
    std::set<TaskName> Tasks;
    /// Young runs that it had seen, with the longest time they can have lasted.
    std::map<TaskName, milliseconds> Young;
  };
  std::map<std::string, HandedOver> m_handedOver;
  /// Workers that were dropped and may only be cut off.
  std::map<std::string, UnconfirmedCrash> m_unconfirmed;
  /// Trials that are not started yet.
  std::map<TaskName, PendingTrial> m_pendingTrials;
  /// True once the end of the wait for previous runs was logged.
  bool m_isTakeoverLogged = false;
  TimePoint m_nextTakeoverLog{};
};

BASILCHUTE_NAMESPACE_END
