/// \file
/// Fakes at the scheduler's ports under one virtual clock, with the faults that
/// the platform and the network can show, and the oracle of the invariants.
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

/// Knows only what must always hold, and what the workers did.
class Oracle {
public:
  void onStart(const std::string &Worker, const ModelTask &Task);
  void onEnd(const std::string &Worker, const ModelTask &Task);
  void onCapacity(const Host &Info, const Resources &Used);
  void onWrite(const Write &What);

  const std::vector<std::string> &violations() const { return m_violations; }
  /// Starts of every task so far.
  const std::map<std::string, uint32_t> &starts() const { return m_starts; }

private:
  void violate(std::string What) { m_violations.push_back(std::move(What)); }

  std::map<std::string, std::set<std::string>> m_running;
  std::set<TaskAttempt> m_started;
  std::set<std::string> m_resumed;
  std::map<std::string, uint32_t> m_starts;
  std::set<std::string> m_done;
  std::set<std::string> m_lostSince;
  std::map<std::string, uint64_t> m_epochs;
  std::vector<std::string> m_violations;
};

class FakeTableStore;
class FakeWorkerPort;
class FakeHostList;

/// One process under test with its own ports.
struct TestNode {
  std::string Id;
  std::unique_ptr<FakeTableStore> Store;
  std::unique_ptr<FakeWorkerPort> Workers;
  std::unique_ptr<FakeHostList> Hosts;
  std::unique_ptr<Scheduler> Core;
  /// Counts lives; replies to an earlier life are dropped.
  uint64_t Life = 0;
  bool Paused = false;
  bool CutFromStore = false;
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

/// A batch job as the tests submit it.
struct TestJob {
  std::string Name;
  std::string Shard;
  uint32_t Tasks = 1;
  Resources Demand{.Millicores = 1000, .MemoryMib = 1000};
  milliseconds Work{5000};
  bool Urgent = false;
};

/// Several schedulers, a table store and workers on a virtual clock. Every run
/// with one seed is the same.
class TestBed {
public:
  explicit TestBed(TestBedOptions Options);
  ~TestBed();

  /// Runs until \p Span has passed.
  void run(milliseconds Span);
  /// Runs until \p Done holds; returns false if \p Limit passes first.
  bool runUntil(const std::function<bool()> &Done, milliseconds Limit);

  void submit(const TestJob &Job);
  void cancel(const TestJob &Job);
  void configure(uint64_t Revision, std::vector<ServiceSpec> Services,
                 std::vector<WorkerCordon> Cordons);

  void startNode(size_t Index);
  void killNode(size_t Index);
  void pauseNode(size_t Index);
  void resumeNode(size_t Index);
  /// Shuts a process down in order and starts a new one once it has left.
  void restartNode(size_t Index);
  void restartWorker(const std::string &Worker);
  void setWorkerDead(const std::string &Worker, bool Dead);

  /// Faults of the store, in force until changed.
  bool StoreDown = false;
  milliseconds StoreDelay{5};
  milliseconds NetworkDelay{5};
  /// Share of commits whose reply is lost after they took effect, in percent.
  uint32_t LostReplyPercent = 0;
  /// Loses the reply of commit number N, counted from 1; 0 loses none.
  uint64_t LoseReplyOfCommit = 0;
  /// Share of worker exchanges that are duplicated, delayed and lost.
  uint32_t WorkerFaultPercent = 0;
  /// Workers that the host list shows as leaving, or not at all.
  std::set<std::string> LeavingHosts;
  std::set<std::string> HiddenHosts;
  /// Workers on which every start fails.
  std::set<std::string> FailingWorkers;

  /// Processor time that the schedulers' own code took.
  nanoseconds CoreTime{0};
  /// Called with every exchange with a worker that arrives.
  std::function<void(const WorkerSync &, const WorkerReport &)> OnSync;
  /// Called with one line for every event of a scheduler.
  std::function<void(const std::string &)> OnLine;

  milliseconds now() const { return m_now; }
  uint64_t commits() const { return m_commits; }
  uint64_t storeReads() const { return m_reads; }
  MemoryTables &tables() { return m_tables; }
  const Oracle &oracle() const { return m_oracle; }
  std::vector<TestNode> &nodes() { return m_nodes; }
  size_t nodeCount() const { return m_nodes.size(); }
  std::map<std::string, WorkerModel> &workers() { return m_workers; }
  std::vector<std::string> workerNames() const;
  /// True once the share of \p Job is finished.
  bool jobFinished(const TestJob &Job) const;
  /// Running attempts of a service's replicas.
  uint32_t runningReplicas(const std::string &Service);
  /// Shards that some live node owns.
  size_t ownedShards() const;
  const Layout &layout() const { return m_layout; }

  // For the fakes.
  void after(milliseconds Delay, std::function<void()> Action);
  /// Runs \p Reply at \p Node unless it died meanwhile.
  void deliver(TestNode &Node, milliseconds Delay, std::function<void()> Reply);
  void commitFor(TestNode &Node, Transaction Tx, TableStore::CommitDone Done);
  bool storeReachable(const TestNode &Node);
  void syncFor(TestNode &Node, WorkerSync Request, WorkerPort::SyncDone Done);
  HostSnapshot hosts() const;
  uint32_t random(uint32_t Below);
  void noteRead() { ++m_reads; }

private:
  struct Event {
    milliseconds At;
    uint64_t Order;
    std::function<void()> Action;
    bool operator>(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void noteShare(const Write &What);
  void addWorkers();
  void step();
  void advanceWorkers();
  void timed(const std::function<void()> &Action);

  TestBedOptions m_options;
  Layout m_layout;
  ManualClock m_clock;
  milliseconds m_now{0};
  std::mt19937_64 m_random;
  MemoryTables m_tables;
  Oracle m_oracle;
  /// Shares of each job by key, as the store holds them.
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
