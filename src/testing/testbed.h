/// \file
/// Fake implementations of the scheduler's ports on one virtual clock, with
/// injectable faults of the platform and the network, and an oracle that checks
/// the invariants.
#pragma once

#include "basilchute/scheduler.h"
#include "memory.tablestore/memorytables.h"
#include "testing/workermodel.h"

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Checks the invariants independently of the scheduler: it observes only the
/// workers and the writes that reached the table store.
class Oracle {
public:
  void onStart(const std::string &Worker, const ModelTask &Task);
  void onEnd(const std::string &Worker, const ModelTask &Task);
  void onCapacity(const Host &Info, const Resources &Used);
  void onWrite(const Write &Applied);

  const std::vector<std::string> &violations() const { return m_violations; }
  /// Number of starts of every task so far.
  const std::map<std::string, uint32_t> &starts() const { return m_starts; }

private:
  void violate(std::string Message) {
    m_violations.push_back(std::move(Message));
  }

  /// Workers on which each task runs.
  std::map<std::string, std::set<std::string>> m_running;
  std::set<TaskAttempt> m_startedAttempts;
  /// Checkpoints that were resumed from, as "CHECKPOINT@TASK".
  std::set<std::string> m_resumedCheckpoints;
  std::map<std::string, uint32_t> m_starts;
  std::set<std::string> m_doneTasks;
  /// Tasks of which an attempt ended without a stop order since the task was
  /// last resumed.
  std::set<std::string> m_interruptedTasks;
  std::map<std::string, uint64_t> m_epochs;
  std::vector<std::string> m_violations;
};

class FakeTableStore;
class FakeWorkerPort;
class FakeHostList;

/// One scheduler process under test with its own ports.
struct TestNode {
  std::string Id;
  std::unique_ptr<FakeTableStore> Store;
  std::unique_ptr<FakeWorkerPort> Workers;
  std::unique_ptr<FakeHostList> Hosts;
  std::unique_ptr<Scheduler> Core;
  /// Number of starts and kills of the process; replies to an earlier
  /// incarnation are dropped.
  uint64_t Incarnation = 0;
  bool IsPaused = false;
  bool IsCutFromStore = false;
  /// Workers that this process cannot reach.
  std::set<std::string> CutWorkers;
  /// Replies that arrived while the process was paused.
  std::vector<std::function<void()>> Backlog;
};

/// Settings of a TestBed.
struct TestBedOptions {
  uint32_t Schedulers = 3;
  uint32_t Domains = 3;
  uint32_t WorkersPerDomain = 3;
  uint32_t ShardsPerDomain = 1;
  Resources WorkerCapacity{.Millicores = 8000, .MemoryMib = 16000};
  milliseconds GrantHorizon{60000};
  uint64_t Seed = 1;
  milliseconds Tick{20};
  SchedulerFaults Faults;
  PlacementPolicy Placement = spreadPackPolicy();
};

/// A batch job that a test submits.
struct TestJob {
  std::string Name;
  std::string Shard;
  uint32_t Tasks = 1;
  Resources Demand{.Millicores = 1000, .MemoryMib = 1000};
  milliseconds Work{5000};
  bool Urgent = false;
};

/// Several schedulers, a table store and workers on a virtual clock. Runs with
/// the same seed are identical.
class TestBed {
public:
  explicit TestBed(TestBedOptions Options);
  ~TestBed();

  /// Runs for \p Span of virtual time.
  void run(milliseconds Span);
  /// Runs until \p Done returns true; returns false if \p Limit passes first.
  bool runUntil(const std::function<bool()> &Done, milliseconds Limit);

  void submit(const TestJob &Job);
  void cancel(const TestJob &Job);
  void configure(uint64_t Revision, std::vector<ServiceSpec> Services,
                 std::vector<WorkerCordon> Cordons);

  void startNode(size_t Index);
  void killNode(size_t Index);
  void pauseNode(size_t Index);
  void resumeNode(size_t Index);
  /// Shuts a process down gracefully and starts a new one once the shutdown is
  /// complete.
  void restartNode(size_t Index);
  void restartWorker(const std::string &Worker);
  void setWorkerDead(const std::string &Worker, bool Dead);

  // Delays and faults; each stays in effect until it is changed.
  bool IsStoreDown = false;
  /// One-way delay between a scheduler and the store.
  milliseconds StoreDelay{5};
  /// One-way delay between a scheduler and a worker.
  milliseconds NetworkDelay{5};
  /// Percentage of commits whose reply is lost after they took effect.
  uint32_t LostReplyPercent = 0;
  /// If positive, commits get no reply and take effect only after this time,
  /// even if the store is down by then.
  milliseconds LateCommitDelay{0};
  /// Loses the reply of commit number N, counted from 1; 0 loses none.
  uint64_t LoseReplyOfCommit = 0;
  /// Percentage of exchanges with workers that are lost, delayed or duplicated,
  /// or whose reply is lost.
  uint32_t WorkerFaultPercent = 0;
  /// Workers that the host list shows as leaving, and workers that it omits.
  std::set<std::string> LeavingHosts;
  std::set<std::string> HiddenHosts;
  /// Workers on which every attempt fails as soon as it starts.
  std::set<std::string> FailingWorkers;

  /// Processor time used by the code of the schedulers.
  nanoseconds SchedulerTime{0};
  /// Called with every request that reaches a worker, and its report.
  std::function<void(const SyncRequest &, const SyncReply &)> OnSync;
  /// Called with one formatted line for every event of a scheduler.
  std::function<void(const std::string &)> OnEventLine;

  milliseconds now() const { return m_now; }
  uint64_t commits() const { return m_commits; }
  uint64_t storeReads() const { return m_reads; }
  MemoryTables &tables() { return m_tables; }
  const Oracle &oracle() const { return m_oracle; }
  std::vector<TestNode> &nodes() { return m_nodes; }
  size_t nodeCount() const { return m_nodes.size(); }
  std::map<std::string, WorkerModel> &workers() { return m_workers; }
  std::vector<std::string> workerNames() const;
  /// Returns true once all shares of \p Job are finished.
  bool jobFinished(const TestJob &Job) const;
  /// Number of running attempts of a service's replicas.
  uint32_t runningReplicas(const std::string &Service);
  /// Number of shards that a live node owns.
  size_t ownedShards() const;
  const Layout &layout() const { return m_layout; }

  // Interface for the fake ports.
  void after(milliseconds Delay, std::function<void()> Action);
  /// Runs \p Reply at \p Node after \p Delay unless the node was killed or
  /// restarted in the meantime; a paused node runs it when it resumes.
  void deliver(TestNode &Node, milliseconds Delay, std::function<void()> Reply);
  void commitFor(TestNode &Node, Transaction Tx, TableStore::CommitDone Done);
  bool storeReachable(const TestNode &Node);
  void syncFor(TestNode &Node, SyncRequest Request, WorkerPort::SyncDone Done);
  HostSnapshot hosts() const;
  uint32_t random(uint32_t Below);
  void countRead() { ++m_reads; }

private:
  struct Event {
    milliseconds At;
    uint64_t Order;
    std::function<void()> Action;
    bool operator>(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void commitLate(TestNode &Node, Transaction Tx, TableStore::CommitDone Done);
  void updateShares(const Write &Applied);
  void addWorkers();
  void step();
  void advanceWorkers();
  void runTimed(const std::function<void()> &Action);

  TestBedOptions m_options;
  Layout m_layout;
  ManualClock m_clock;
  milliseconds m_now{0};
  std::mt19937_64 m_random;
  MemoryTables m_tables;
  Oracle m_oracle;
  /// Per job and row key: whether the stored share is finished, and its number
  /// of tasks.
  std::map<std::string, std::map<std::string, std::pair<bool, uint32_t>>>
      m_shares;
  std::map<std::string, WorkerModel> m_workers;
  std::set<std::string> m_deadWorkers;
  std::vector<TestNode> m_nodes;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  uint64_t m_lastOrder = 0;
  uint64_t m_commits = 0;
  uint64_t m_reads = 0;
  uint64_t m_incarnations = 0;
};

BASILCHUTE_NAMESPACE_END
