/// \file
/// Test bed for job hosts: several hosts, a row store and workers on one
/// virtual clock.
#pragma once

#include "libjobhost/jobhost.h"
#include "testing/modelstore.h"
#include "testing/modelworker.h"
#include "testing/restartcheck.h"
#include "testing/stopcheck.h"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// How a worker behaves that a deadly task or the crash of a herd has taken
/// down.
enum class CrashStyle {
  /// It does not answer until it is back under the same id.
  Silent,
  /// It refuses connections until it is back under the same id.
  Refusing,
  /// It refuses connections until another worker, with a new id, is there at
  /// the
  /// same address, which takes its place in the list.
  Replaced,
};

/// Settings of a JobTestBed.
struct JobTestBedOptions {
  int Hosts = 3;
  int Workers = 6;
  /// Failure domains that the workers are in by turns; zero if they name none.
  int FailureDomains = 0;
  /// Whether hosts hear of evacuations, and how much later than by a read of
  /// the store.
  bool HasEvacuations = false;
  milliseconds EvacuationDelay{0};
  /// Minimum number of shards; there are more if there are many workers.
  int MinShards = 1;
  /// Weight of each host, and number of workers that a host of weight 1 can
  /// serve; zero if hosts do not limit the size of shards.
  int HostWeight = 1;
  /// Memory that each host can spare for jobs; zero for no limit.
  size_t MaxJobBytes = 0;
  double WorkersPerWeight = 0;
  Resources WorkerCapacity{.Millicores = 8000, .MemoryMib = 16000};
  int FailPercent = 0;
  int MaxAttempts = 3;
  /// How long an approval is valid; zero if the queue needs no approvals. Every
  /// second worker is approved.
  milliseconds ApprovalValidity{0};
  /// Processor time that a host needs for each order to a worker and for each
  /// reply; a host handles them one at a time.
  nanoseconds ProcessorTimePerOrder{0};
  /// One-way network delay between a host and a worker.
  milliseconds NetworkDelay{3};
  /// Time after which the last host hears of a change of the worker list; the
  /// others hear of it earlier. Zero if all hear of it at once, paused ones not
  /// at all.
  milliseconds MaxListDelay{0};
  /// Time from a crash by a deadly task or of a herd until the worker is back.
  milliseconds WorkerReturn{3000};
  /// Time after a change of a worker's capacity in which starts may still fill
  /// the worker up to the previous capacity. Zero for the time in which all
  /// hosts hear of it and their orders on the way arrive.
  milliseconds CapacityAllowance{0};
  /// Longest lease of a worker, as the hosts know it.
  milliseconds MaxWorkerLease{6000};
  PlacementOptions Placement;
  /// As in JobHostOptions.
  bool MeasuredFill = false;
  CrashStyle Crashes = CrashStyle::Silent;
  /// Whether a commit may span several partitions.
  bool CanSpanPartitions = true;
  /// See JobHostOptions.
  bool RefusesJobs = false;
  bool OrdersByShares = false;
  uint64_t Seed = 1;
  /// Prints every event of the hosts with its time and host.
  bool Trace = false;
};

class JobTestBed;

/// Access of one host to the workers.
class HostTaskWorkers : public TaskWorkers {
public:
  HostTaskWorkers(JobTestBed &Bed, int Host) : m_bed(Bed), m_host(Host) {}
  void start(const WorkerEntry &Worker, StartOrder Order,
             StartDone Done) override;
  void stop(const WorkerEntry &Worker, StopOrder Order,
            OrderDone Done) override;
  void pace(const WorkerEntry &Worker, PaceOrder Order,
            OrderDone Done) override;
  void poll(const WorkerEntry &Worker, PollOrder Order, PollDone Done) override;
  /// Maximum number of start orders that were in flight at the same time.
  int maxStartsInFlight() const { return m_maxStartsInFlight; }
  /// Number of start orders that reached their worker after the end of the
  /// lease that they carry.
  int expiredStarts() const { return m_expiredStarts; }

private:
  /// Why a worker cannot carry out a call, and when the host hears of it.
  struct CallFailure {
    Error Why;
    milliseconds After{0};
  };
  /// Returns nothing if the worker is up and reachable. A call that is not
  /// answered fails after \p Timeout.
  std::optional<CallFailure> failureOf(const std::string &Worker,
                                       const std::string &Address,
                                       milliseconds Timeout) const;
  /// Runs \p Action once the host's processor has finished earlier work.
  void runOnProcessor(std::function<void()> Action);
  /// Runs \p Action at the worker, after processor time and network delay.
  void send(std::function<void()> Action);
  /// Runs \p Action on the host's processor after \p Delay.
  void reply(milliseconds Delay, std::function<void()> Action);
  /// An order for one process of a worker, or for any if none is named.
  struct ProcessOrder {
    milliseconds Incarnation{0};
    TimePoint Since{};
    /// Called at the worker with the time for which the order waited for a
    /// probe.
    std::function<void(nanoseconds)> Arrived;
    /// Called at the host.
    std::function<void(const Error &)> Failed;
  };
  void sendToProcess(ModelWorker &Model, ProcessOrder Order);
  /// \p Answered is the process that has answered the probe, if any did.
  void endProbe(ModelWorker &Model, std::optional<milliseconds> Answered);
  void sendOnConnection(ModelWorker &Model, const ProcessOrder &Order,
                        nanoseconds Waited);
  /// Holds a start order up.
  void delayStart(ModelWorker &Model, const StartOrder &Order,
                  const StartDone &Done);
  void executeStart(ModelWorker &Model, const StartOrder &Order,
                    const StartDone &Done);
  /// A poll on its way or at the worker.
  struct PendingPoll {
    std::string Address;
    PollOrder Order;
    PollDone Done;
    /// Process that it has reached; none before.
    std::optional<TimePoint> Process;
  };
  /// Returns why the poll ends without an answer of \p Model: no connection
  /// leads to the process that it is for, or the connection has ended.
  std::optional<Error> brokenConnection(const ModelWorker &Model,
                                        const PendingPoll &Poll) const;
  /// Polls the worker again at short intervals until it has a completion or
  /// the wait is over.
  void pollWorker(const std::string &Worker, PendingPoll Poll);
  void answerPoll(ModelWorker &Model, PendingPoll Poll);

  JobTestBed &m_bed;
  int m_host;
  int m_expiredStarts = 0;
  TimePoint m_busyUntil{};
  int m_startsInFlight = 0;
  int m_maxStartsInFlight = 0;
  /// Process at the other end of the connection for polls, by worker.
  std::map<std::string, TimePoint> m_pollConnections;
  /// Start of the process at the other end of the connections for orders, by
  /// worker.
  std::map<std::string, milliseconds> m_orderConnections;
  /// Orders that wait for the end of a probe, by worker.
  std::map<std::string, std::vector<ProcessOrder>> m_probes;
};

/// Access of one host to the approval service, which approves every second
/// worker.
class ModelApprovals : public ApprovalService {
public:
  ModelApprovals(JobTestBed &Bed, int Host) : m_bed(Bed), m_host(Host) {}
  void ask(const StepName &Step, std::vector<std::string> Workers,
           Done Answer) override;

private:
  JobTestBed &m_bed;
  int m_host;
};

/// One job host under test.
struct TestJobHost {
  std::unique_ptr<HostRowStore> Store;
  std::unique_ptr<HostTaskWorkers> Workers;
  std::unique_ptr<ModelApprovals> Approvals;
  std::unique_ptr<JobHost> Process;
  /// Number of starts and kills of the process; callbacks of an earlier
  /// incarnation are dropped.
  int Incarnation = 0;
  bool IsPaused = false;
  /// Workers that this host cannot reach.
  std::set<std::string> UnreachableWorkers;
  /// Time by which the answers to start orders that were carried out are late;
  /// they are lost if it is the timeout of orders or more.
  milliseconds StartReplyDelay{0};
  /// Start orders are answered after StartReplyDelay even if that is longer
  /// than the time-out of a call: an order may wait for a probe of its
  /// connection for as long, and is then sent with the whole time-out.
  bool AnswersLateStarts = false;
  /// The process is about to end, as planned.
  bool IsStopping = false;
  /// When the worker list that the process has was read.
  TimePoint FleetAsOf{};
  /// The process gets no newer list of workers.
  bool IsFleetStale = false;
  /// A list did not reach the process, which may have missed changes of
  /// workers.
  bool HasMissedFleet = false;
  /// Number of the last change of the evacuations that was sent to the process,
  /// and of the last that it has.
  uint64_t SentEvacuations = 0;
  uint64_t KnownEvacuations = 0;
  /// Callbacks that arrived while the host was paused.
  std::vector<std::function<void()>> Backlog;
};

/// The whole installation. Methods may be called whenever run() is not active.
class JobTestBed {
public:
  /// The objective of the queue's jobs is SlackFactor times the duration of
  /// their longest chain of steps, plus TargetDuration.
  static constexpr int SlackFactor = 2;
  static constexpr milliseconds TargetDuration{1000};

  explicit JobTestBed(JobTestBedOptions Options);

  /// Advances the virtual clock by \p Span.
  void run(milliseconds Span);
  /// Runs until \p Condition returns true; returns false if \p Limit passes
  /// first.
  bool runUntil(const std::function<bool()> &Condition, milliseconds Limit);

  /// Submits \p Value through \p Host and runs until the host replies or the
  /// call times out. cancel() and state() do the same for their calls.
  Status submit(int Host, const Job &Value);
  Status cancel(int Host, const std::string &Id);
  Result<JobState> state(int Host, const std::string &Id);
  /// Submits \p Value through \p Host without a wait for the answer. Calls
  /// \p OnAccepted if the host answers that it has the job. Restarts does not
  /// check the job.
  void beginSubmit(int Host, const Job &Value,
                   std::function<void()> OnAccepted);
  /// Sends a cancellation to \p Host without a wait for the answer, which does
  /// not come if the host ends before.
  void beginCancel(int Host, const std::string &Id);

  void killHost(int Host);
  void startHost(int Host);
  /// Stops the process as planned: it hands its shards over, goes on for
  /// \p Grace, removes its row and ends. It starts again \p Pause later.
  void restartHost(int Host, milliseconds Grace, milliseconds Pause);
  void pause(int Host) { host(Host).IsPaused = true; }
  void resume(int Host);
  /// Index of the first host that owns a shard, or -1.
  int ownerIndex() const;
  TestJobHost &host(int Index) { return m_hosts[static_cast<size_t>(Index)]; }
  ModelWorker &worker(int Index) {
    return *m_workers[static_cast<size_t>(Index)];
  }
  ModelWorker *workerById(const std::string &Id);
  int workers() const { return static_cast<int>(m_workers.size()); }
  int hosts() const { return static_cast<int>(m_hosts.size()); }
  /// Sends the current worker list to all hosts that run and are not paused.
  void publishWorkers();
  /// Adds a worker to the worker list or removes it.
  void setWorkerListed(int Worker, bool Listed);
  /// Starts a new worker, with a name that no worker had before, and returns
  /// its index.
  int addWorker();
  /// Lets the worker crash and start again at another address at once. Another
  /// worker answers the hosts that call the former address.
  void moveWorker(int Worker);
  /// Changes the worker's capacity and lists it so. The oracle reports starts
  /// that bring the worker over it later than all hosts must have heard of it.
  void setCapacity(int Worker, const Resources &Capacity);
  /// Lists the worker as draining. After \p Stay it ends all its runs, leaves
  /// the list and does not reply any more. That counts as a crash if not all
  /// hosts had notice of it for long enough to move the worker's tasks.
  void drainWorker(int Worker, milliseconds Stay);
  /// Lets the worker crash for good. It stays in the list for \p Listed.
  void loseWorker(int Worker, milliseconds Listed);
  /// Lets those of \p Workers that are up crash at the same moment. They stay
  /// in the list and are back, as new incarnations, after Options.WorkerReturn.
  void crashWorkers(const std::vector<int> &Workers);
  /// Largest number of workers that were down at a time because deadly tasks
  /// crashed them.
  int maxDownByTasks() const { return m_maxDownByTasks; }
  bool isWorkerListed(int Worker) const { return !m_unlisted.count(Worker); }
  /// Time after which nothing starts any more in a failure domain that is
  /// evacuated. The oracle reports later starts.
  static constexpr milliseconds EvacuationTime{5000};
  /// Has the store confirm the operator's row that evacuates \p Domain, or the
  /// removal of that row.
  void evacuate(const std::string &Domain);
  void endEvacuation(const std::string &Domain);
  /// Returns the number of starts on workers of \p Domain so far.
  int startsIn(const std::string &Domain) const;
  /// Returns true if the worker is listed, up, not draining and not evacuated.
  bool isWorkerUsable(int Worker);
  /// Ends the run of \p Task as failed, on whichever worker it is. Returns
  /// false if it does not run.
  bool failTask(const TaskName &Task);

  /// Runs \p Action on the host after \p Delay unless the host was killed or
  /// restarted in the meantime; a paused host runs it when it resumes.
  void deliver(int Host, nanoseconds Delay, std::function<void()> Action);
  void later(nanoseconds Delay, std::function<void()> Action);
  TimePoint now() const { return m_clock.now(); }
  /// Time since the Unix epoch on the hosts' clocks.
  milliseconds wallTime() const {
    return std::chrono::duration_cast<milliseconds>(now().time_since_epoch());
  }
  /// Sets the memory that hosts which start from now on can spare for jobs.
  void setMaxJobBytes(size_t Bytes) { m_options.MaxJobBytes = Bytes; }
  const JobTestBedOptions &options() const { return m_options; }

  JobOracle Oracle;
  RestartCheck Restarts;
  StopCheck Stops;
  ModelStore Store;
  /// Number of calls to the approval service from all hosts.
  int ApprovalCalls = 0;
  /// Number of log lines of all hosts, by event.
  std::map<std::string, int> LogLines;
  /// Called with the event and the fields of each log line, if set.
  std::function<void(std::string_view, std::string_view)> OnLogLine;
  /// Changes each entry of the worker list that hosts read, if set.
  std::function<void(WorkerEntry &)> AlterEntry;
  /// While set, the approval service rejects all calls.
  bool AreApprovalsDown = false;

private:
  struct Event {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  std::vector<WorkerEntry> fleet();
  void updateFleet(TestJobHost &Target, const std::vector<WorkerEntry> &Fleet,
                   TimePoint AsOf);
  std::unique_ptr<ModelWorker> newWorker();
  void tickAll();
  std::set<std::string> evacuated() const;
  /// Sends a change of the evacuations to the host if it has none newer.
  void updateEvacuated(int Host);
  void readEvacuated(int Host);
  void onStart(const WorkerEntry &Worker, const TaskName &Task);
  bool isCalm();
  void checkRestarts();
  void checkStops();
  void countDownByTasks();
  /// Lets a crashed worker come back, or another one take its place.
  void endCrash(const std::string &Worker);
  /// Returns true if each task of \p Value fits on a worker that it may run on.
  bool canRun(const Job &Value) const;
  void trace(int Host, std::string_view Event, std::string_view Fields);

  JobTestBedOptions m_options;
  ManualClock m_clock;
  std::priority_queue<Event> m_events;
  uint64_t m_nextEvent = 0;
  std::vector<TestJobHost> m_hosts;
  std::vector<std::unique_ptr<ModelWorker>> m_workers;
  std::unordered_map<std::string, ModelWorker *> m_workersById;
  std::set<int> m_unlisted;
  int m_maxDownByTasks = 0;
  /// When the store has confirmed the evacuation of each failure domain.
  std::map<std::string, TimePoint> m_evacuatedSince;
  uint64_t m_evacuationChanges = 0;
  std::map<std::string, int> m_startsByDomain;
  /// When a host was last killed.
  TimePoint m_lastKill{};
  /// Ports of host processes that ended; their last calls may still be in
  /// flight.
  std::vector<std::unique_ptr<HostRowStore>> m_formerStores;
  std::vector<std::unique_ptr<HostTaskWorkers>> m_formerWorkers;
  std::vector<std::unique_ptr<ModelApprovals>> m_formerApprovals;
  std::shared_ptr<const JobQueues> m_queues;
};

/// Returns a job of \p Tasks long-running tasks of \p Millicores each.
Job longRunningJob(const std::string &Id, int Tasks, int Millicores = 1000);

/// Returns a job of \p Steps sequential steps with \p Width tasks each.
Job chainJob(const std::string &Id, int Steps, int Width,
             milliseconds Estimate = milliseconds(400));

BASILCHUTE_NAMESPACE_END
