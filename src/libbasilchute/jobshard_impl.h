/// \file
/// The parts of JobShard: jobshard.cpp holds rows, jobshard_look.cpp what
/// workers say, jobshard_rank.cpp the order of waiting work, jobshard_place.cpp
/// and jobshard_gang.cpp its place, jobshard_orders.cpp what workers are told,
/// jobshard_slow.cpp what is too slow where it runs, jobshard_harm.cpp how fill
/// tasks are paced beside serving ones, jobshard_move.cpp what has to leave a
/// worker, jobshard_transfer.cpp what waits and does better in another shard.
#pragma once

#include "basilchute/interference.h"
#include "basilchute/jobshard.h"
#include "libbasilchute/jobentry.h"
#include "libbasilchute/orderwindow.h"
#include "libbasilchute/workerslot.h"

#include <set>
#include <tuple>
#include <unordered_map>

BASILCHUTE_NAMESPACE_BEGIN

/// A fill task waits rather than join a worker with less headroom, or one that
/// is expected to use this part of its processors already.
constexpr double LeastHeadroom = 1.15;
constexpr double MostFillLoad = 1.1;

class JobShard::Impl : public std::enable_shared_from_this<JobShard::Impl> {
public:
  Impl(JobShardOptions Options, RowStore &Store, TaskWorkers &Workers,
       ApprovalService *Approvals, const Clock &Time);

  // Rows.
  void readRows();
  void tick();
  void setWorkers(std::vector<WorkerEntry> Own, std::vector<WorkerEntry> Fleet);
  void setFormerWorkers(const std::vector<WorkerEntry> &Former);
  void setQueues(std::shared_ptr<const JobQueues> Queues);
  void retire() { m_retired = true; }
  std::optional<JobState> state(const std::string &Job) const;
  std::map<std::string, int> pending() const;
  ShardLoad load();
  bool isLoaded() const { return m_loaded; }
  uint64_t epoch() const { return m_options.Epoch; }
  bool isSettled() const;
  bool isLost() const { return m_lost; }
  const JobShardCounts &counts() {
    m_counts.ApprovalCalls = m_approvals.calls();
    m_counts.StartsUnderWay = m_starts.underWay();
    return m_counts;
  }

private:
  /// Order in which waiting jobs are served: kind of room, lateness, priority,
  /// begun ones first, and within these by worth for the work that is left or
  /// by age.
  using Rank = std::tuple<int, int, int, int, double>;
  using Slots = std::map<std::string, WorkerSlot>;
  /// A usable worker while tasks are placed.
  struct Spot {
    WorkerSlot *Slot;
    Resources Room;
    double Load;
    /// Processor that is kept for tasks that wait.
    int64_t Kept = 0;
    /// With the fill tasks on the worker taken off.
    std::vector<ServingLoad> Serving;
  };

  // Rows.
  void readJobs(const std::string &From, uint64_t FeedFrom, bool WithProgress);
  void readProgress(const std::string &From);
  void finishLoad();
  void followJobs();
  void onJobRow(const PlacedRow &Row);
  void addJob(const Job &Spec, uint64_t Version, const JobProgress *Stored);
  void addStored(const Job &Spec, const PlacedRow &Row);
  TaskKind kindOf(const std::string &Image);
  TaskClass classOf(const std::string &Queue, const std::string &Image);
  void cancelJob(const std::string &Id);
  void endJob(JobEntry &Of, JobState State, std::string_view Why);
  void markDirty(JobEntry &Of);
  void commit();
  /// Last end of one life of a worker that a commit covers.
  struct CoveredEnd {
    milliseconds Born{0};
    uint64_t Number = 0;
  };
  void onCommitted(const std::map<std::string, JobState> &Jobs,
                   const std::map<std::string, CoveredEnd> &Ends,
                   Result<uint64_t> Answer);
  void recheck();
  void recheckNext(std::vector<std::string> Jobs);
  void lose(std::string_view Why);

  int64_t fillRoom(const std::vector<Spot> &Spots, TaskKind Kind) const;
  void addFillLoad(ShardLoad &To);

  // Jobs that go to another shard.
  void transfer();
  std::vector<std::string> transferable() const;
  bool mayTransfer(const JobEntry &Of) const;
  bool hasWorkers() const;
  bool holdsRunOf(const JobEntry &Of) const;
  void adoptJob(const Job &Spec, uint64_t JobVersion);
  void sendTransfer(const std::map<std::string, int> &Moves);
  void onTransferred(const std::map<std::string, int> &Moves,
                     Result<uint64_t> Answer);
  void forgetJob(const std::string &Id, uint64_t Version);
  bool hasMovedAway(const std::string &Id, uint64_t Version);

  void log(std::string_view Event, std::string_view Fields) const;
  JobEntry *find(const std::string &Id);
  const JobQueue *queueOf(const JobEntry &Of) const;
  bool mayAct() const;
  /// It came after the shard was taken, so that nothing of it was started
  /// before. The epoch does not tell: an owner may lose a shard and have it
  /// back.
  bool isOwn(const JobEntry &Of) const { return Of.JobVersion > m_loadedAs; }
  bool mayBegin(JobEntry &Of) const;
  /// What the former owner started has surely ended by then.
  TimePoint writtenOffAt() const { return m_taken + m_options.WriteOff; }

  // What workers say.
  void lookAround();
  void look(WorkerSlot &At);
  milliseconds waitAt(const WorkerSlot &At) const;
  void onLook(const std::string &Worker, TimePoint Sent,
              Result<LookReply> Answer);
  void onMissedLook(WorkerSlot &At, const Error &Why);
  void onEnd(WorkerSlot &At, const EndedTask &Ended);
  void onCurrentEnd(JobEntry &Of, int Position, const WorkerSlot &At,
                    const EndedTask &Ended);
  void countFailure(JobEntry &Of, int Position, const EndedTask &Ended);
  void noteHealth(WorkerSlot &At, RunEnd End);
  void onRunning(WorkerSlot &At, const RunningTask &Run);
  void adopt(WorkerSlot &At, const RunningTask &Run);
  void dropMissing(WorkerSlot &At, const LookReply &Reply, TimePoint Sent);
  bool isLeaseOver(const WorkerSlot &At) const;
  void loseRuns(WorkerSlot &At, std::string_view Why);
  void release(WorkerSlot &At, const RunKey &Key, std::string_view Why);
  void dropGoneSlots();

  /// Service, label and kind of tasks that found no place in a round, with what
  /// they asked for.
  using RejectionKey = std::tuple<std::string, std::string, TaskKind>;
  using Rejections = std::map<RejectionKey, std::vector<Resources>>;

  // What workers are told.
  void place();
  /// Places what it can of one job; returns how many of its steps found no
  /// place.
  size_t placeJob(JobEntry &Of, std::vector<Spot> &Spots, Rejections &Rejected);
  bool isLikeRejected(const Rejections &Rejected, const JobEntry &Of,
                      int Position) const;
  void noteRejected(Rejections &Rejected, const JobEntry &Of,
                    int Position) const;
  RejectionKey rejectionKey(const JobEntry &Of, int Position) const;
  std::vector<Spot> spots();
  bool isRoomy(const std::vector<Spot> &Spots) const;
  bool placeOne(std::vector<Spot> &Spots, JobEntry &Of, int Position);
  bool placeGang(std::vector<Spot> &Spots, JobEntry &Of, int Position);
  bool mayYetMove(const JobEntry &Of) const;
  bool fitsWhole(const std::vector<Spot> &Spots, const JobEntry &Of,
                 int Position);
  bool rejoinGang(std::vector<Spot> &Spots, JobEntry &Of, int Position);
  void finishGang(JobEntry &Of, int Position);
  Spot *cheapest(std::vector<Spot> &Spots, const JobEntry &Of, int Position,
                 const std::vector<WorkerSlot *> &Beside);
  static bool sharesRack(const WorkerSlot &A, const WorkerSlot &B);
  void failIfImpossible(JobEntry &Of, int Position);
  bool isAllowed(const Spot &At, const JobEntry &Of, int Position) const;
  /// All but the approval that the queue may want.
  bool couldRun(const Spot &At, const JobEntry &Of, int Position) const;
  bool needsApproval(const JobEntry &Of) const;
  bool isApproved(const Spot &At, const JobEntry &Of, int Position) const;
  void askForApproval(const std::vector<Spot> &Spots, const JobEntry &Of,
                      int Position, size_t Tasks);
  bool canEverFit(const JobEntry &Of, int Position) const;
  int countOnWorker(const WorkerSlot &At, const JobEntry &Of,
                    int Position) const;
  bool isWorthwhile(const Spot &At, const JobStep &Step, double Headroom) const;
  double cost(const Spot &At, const JobEntry &Of, int Position,
              double Headroom) const;
  double headroomWith(const Spot &At, const JobEntry &Of, int Position) const;
  double togetherness(const Spot &At, const JobEntry &Of, int Position) const;
  static double strangers(const Spot &At, TaskKind Kind);
  void take(Spot &At, const JobEntry &Of, int Position);
  void keepRoom(std::vector<Spot> &Spots, const JobEntry &Of, int Position);
  void evacuate();
  void start(WorkerSlot &At, JobEntry &Of, int Position);
  void onStart(const std::string &Worker, const RunKey &Key, TimePoint Sent,
               Result<StartReply> Answer);
  void stop(WorkerSlot &At, const RunKey &Key);
  void stopAll(const JobEntry &Of);
  void setWaiting(JobEntry &Of, int Position, milliseconds Delay);
  void queueReady(JobEntry &Of);
  void dropWaiting(const JobEntry &Of, int Position);
  Rank rankOf(const JobEntry &Of) const;
  bool hasAged(const JobEntry &Of) const;
  int latenessOf(const JobEntry &Of) const;
  void relocate();
  void logState();
  std::string placingFields();
  std::string whyFillWaits(const std::vector<Spot> &Spots) const;
  static bool isFull(const Spot &At);
  void learn(WorkerSlot &At);
  static bool showsSpeed(const HeldRun &Run);
  void leaveSlowRuns(WorkerSlot &At);
  void learnSpeed(const HeldRun &Run, TaskState &Task);
  ProgressSeen progressOf(const HeldRun &Run) const;
  std::vector<milliseconds> siblings(const JobEntry &Of, int Position) const;
  void readModel();
  void keepModel();
  void followModels();
  void onModels(const Result<RowPage> &Answer);
  std::vector<PairSlope> pairsIn(const PlacedRow &Row);
  /// What the progress of a job's fill tasks is worth.
  double weightOf(const std::string &Job);
  void pace(WorkerSlot &At);
  void sendPace(WorkerSlot &At, const RunKey &Key, int Percent);

  JobShardOptions m_options;
  RowStore &m_store;
  TaskWorkers &m_workers;
  const Clock &m_time;
  JobShardCounts m_counts;
  std::unordered_map<std::string, JobEntry> m_jobs;
  /// Read from the store, until loading is done.
  std::vector<PlacedRow> m_loadedJobs;
  std::set<std::string> m_cancelled;
  std::map<std::string, PlacedRow> m_loadedProgress;
  Slots m_slots;
  std::vector<WorkerEntry> m_fleet;
  /// Every queue that was ever configured; jobs outlive their queue.
  JobQueues m_queues;
  InterferenceModel m_harm;
  ApprovalBook m_approvals;
  ProgressWatch m_progress;
  std::map<std::pair<std::string, std::string>, TaskClass> m_classes;
  std::map<std::string, TaskKind> m_kinds;
  /// Kinds of fill tasks.
  std::set<TaskKind> m_fillKinds;
  LoadGroup m_nextGroup = 0;
  /// The model has changed since it was stored.
  bool m_learned = false;
  TimePoint m_nextModel{};
  /// Other shards' rows are read from this version on; none before the first
  /// reading.
  uint64_t m_modelsFrom = 0;
  TimePoint m_nextModels{};
  bool m_readingModels = false;
  /// Mean work of a job, by queue.
  std::map<std::string, double> m_meanWork;
  /// Positions of the tasks that could be started, by job.
  std::map<std::string, std::set<int>> m_waiting;
  std::set<std::string> m_dirty;
  /// Jobs that went to another shard, and the version at which they went.
  std::map<std::string, uint64_t> m_movedAway;
  uint64_t m_feedFrom = 0;
  /// Version of the store at which the shard's rows were read.
  uint64_t m_loadedAs = 0;
  /// Start orders without an answer yet. After a takeover hundreds are due;
  /// more than the host can send in time would come too late at the workers.
  OrderWindow m_starts;
  bool m_loaded = false;
  bool m_lost = false;
  bool m_retired = false;
  bool m_committing = false;
  TimePoint m_nextPlace{};
  TimePoint m_nextRelocate{};
  TimePoint m_nextTransfer{};
  TimePoint m_nextStateLog{};
  /// Counts at the last line of state.
  JobShardCounts m_loggedCounts;
  TimePoint m_commitNotBefore{};
  /// So little is used that no task may wait for a better place.
  bool m_roomy = false;
  TimePoint m_taken;
};

BASILCHUTE_NAMESPACE_END
