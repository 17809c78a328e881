/// \file
/// Several job hosts, a store and workers under one virtual clock.
#pragma once

#include "libjobhost/jobhost.h"
#include "testing/modelstore.h"
#include "testing/modelworker.h"

#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a JobBed.
struct JobBedOptions {
  int Hosts = 3;
  int Workers = 6;
  /// The least; more if there are many workers.
  int Shards = 1;
  Resources WorkerCapacity{.Millicores = 8000, .MemoryMib = 16000};
  int FailPercent = 0;
  int MaxAttempts = 3;
  /// Time that an approval holds; zero if the queue needs none. Every other
  /// worker is approved.
  milliseconds ApprovalValidity{0};
  /// Processor time of a host for each order to a worker and for each answer;
  /// a host does one after the other.
  nanoseconds OrderCost{0};
  /// Time of an order to a worker, and of the answer back.
  milliseconds Way{3};
  uint64_t Seed = 1;
  /// Prints every decision with its time and host.
  bool Trace = false;
};

class JobBed;

/// The workers, as one host reaches them.
class HostTaskWorkers : public TaskWorkers {
public:
  HostTaskWorkers(JobBed &Bed, int Host) : m_bed(Bed), m_host(Host) {}
  void start(const WorkerEntry &To, StartOrder Order, StartDone Done) override;
  void stop(const WorkerEntry &To, StopOrder Order, OrderDone Done) override;
  void pace(const WorkerEntry &To, PaceOrder Order, OrderDone Done) override;
  void look(const WorkerEntry &To, LookOrder Order, LookDone Done) override;
  /// Most start orders that were without an answer at the same time.
  int mostStarts() const { return m_mostStarts; }
  /// Start orders that reached their worker after their own lease.
  int lateStarts() const { return m_lateStarts; }

private:
  /// Runs \p Action once the host's processor has done what came before.
  void spend(std::function<void()> Action);
  void send(std::function<void()> Action);
  void answer(milliseconds Delay, std::function<void()> Action);
  void lookAt(const std::string &Worker, const LookOrder &Order,
              const LookDone &Done);

  JobBed &m_bed;
  int m_host;
  int m_lateStarts = 0;
  TimePoint m_busyUntil{};
  int m_starts = 0;
  int m_mostStarts = 0;
};

/// The approval service, as one host reaches it. Approves every other worker.
class ModelApprovals : public ApprovalService {
public:
  ModelApprovals(JobBed &Bed, int Host) : m_bed(Bed), m_host(Host) {}
  void ask(const StepName &Step, std::vector<std::string> Workers,
           Done Answer) override;

private:
  JobBed &m_bed;
  int m_host;
};

/// One host under test.
struct JobBedHost {
  std::unique_ptr<HostRowStore> Store;
  std::unique_ptr<HostTaskWorkers> Workers;
  std::unique_ptr<ModelApprovals> Approvals;
  std::unique_ptr<JobHost> Core;
  int Life = 0;
  bool Frozen = false;
  std::set<std::string> CutWorkers;
  std::vector<std::function<void()>> Backlog;
};

/// The whole installation. Every method may be called between two run()s.
class JobBed {
public:
  /// Objective of the queue's jobs: this many times their longest chain, and
  /// TargetDuration more.
  static constexpr int SlackFactor = 2;
  static constexpr milliseconds TargetDuration{1000};

  explicit JobBed(JobBedOptions Options);

  /// Lets virtual time pass.
  void run(milliseconds Span);
  /// Runs until \p Holds or \p Most has passed; returns whether it holds.
  bool runUntil(const std::function<bool()> &Holds, milliseconds Most);

  /// Submits through \p Host until some answer comes; returns the result.
  Status submit(int Host, const Job &Value);
  Status cancel(int Host, const std::string &Id);
  Result<JobState> state(int Host, const std::string &Id);

  void kill(int Host);
  void boot(int Host);
  void freeze(int Host) { host(Host).Frozen = true; }
  void thaw(int Host);
  /// Index of the host that owns a shard, or -1.
  int owner() const;
  JobBedHost &host(int Index) { return m_hosts[static_cast<size_t>(Index)]; }
  ModelWorker &worker(int Index) {
    return *m_workers[static_cast<size_t>(Index)];
  }
  ModelWorker *workerById(const std::string &Id);
  int workers() const { return static_cast<int>(m_workers.size()); }
  int hosts() const { return static_cast<int>(m_hosts.size()); }
  /// Tells all hosts the present list of workers.
  void publishWorkers();
  /// Takes a worker out of the list, or puts it back.
  void list(int Worker, bool Listed);

  /// Runs \p Action on the host after \p Delay, if it lives then.
  void deliver(int Host, nanoseconds Delay, std::function<void()> Action);
  void later(nanoseconds Delay, std::function<void()> Action);
  TimePoint now() const { return m_clock.now(); }
  const JobBedOptions &options() const { return m_options; }

  JobOracle Oracle;
  ModelStore Store;
  /// Calls for approval from all hosts; while it is down they are refused.
  int ApprovalCalls = 0;
  bool ApprovalsDown = false;

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
  void giveFleet(JobBedHost &To, const std::vector<WorkerEntry> &Fleet);
  void tickAll();
  void trace(int Host, std::string_view Event, std::string_view Fields) const;

  JobBedOptions m_options;
  ManualClock m_clock;
  std::priority_queue<Event> m_events;
  uint64_t m_order = 0;
  std::vector<JobBedHost> m_hosts;
  std::vector<std::unique_ptr<ModelWorker>> m_workers;
  std::unordered_map<std::string, ModelWorker *> m_workersById;
  std::set<int> m_unlisted;
  /// Ports of processes that died; their last calls are still under way.
  std::vector<std::unique_ptr<HostRowStore>> m_formerStores;
  std::vector<std::unique_ptr<HostTaskWorkers>> m_formerWorkers;
  std::vector<std::unique_ptr<ModelApprovals>> m_formerApprovals;
  std::shared_ptr<const JobQueues> m_queues;
};

/// Returns a job of steps that follow each other, of \p Width tasks each.
Job chainJob(const std::string &Id, int Steps, int Width,
             milliseconds Estimate = milliseconds(400));

BASILCHUTE_NAMESPACE_END
