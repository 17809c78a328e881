#include "testing/fuzzplan.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, static_cast<size_t>(FuzzKind::Count)>
    KindNames = {"submit",
                 "submit_urgent",
                 "cancel",
                 "configure",
                 "cordon",
                 "kill_node",
                 "start_node",
                 "pause_node",
                 "resume_node",
                 "restart_node",
                 "restart_worker",
                 "kill_worker",
                 "revive_worker",
                 "cut_node_from_store",
                 "cut_node_from_worker",
                 "store_down",
                 "store_slow",
                 "lose_replies",
                 "late_commits",
                 "worker_faults",
                 "host_leaves",
                 "host_hidden",
                 "worker_fails",
                 "lose_domain",
                 "wait"};

/// Time within which every job finishes after the last fault ends: the horizon
/// of a dead owner, the leases, and the run times of several tasks in sequence,
/// because the fleet is small.
constexpr milliseconds LivenessBound = 300s;

/// One session on its own test bed.
class Session {
public:
  Session(const TestBedOptions &Options, const SessionTrace &Trace)
      : m_bed(Options), m_trace(Trace) {
    m_bed.OnEventLine = Trace;
  }

  FuzzOutcome run(const std::vector<FuzzCommand> &Commands) {
    m_bed.run(3s);
    for (size_t I = 0; I < Commands.size(); ++I) {
      trace(fmt::format("{:>8} command {} {}({},{})", m_bed.now().count(), I,
                        fuzzKindName(Commands[I].Kind), Commands[I].FirstArg,
                        Commands[I].SecondArg));
      apply(Commands[I]);
      m_bed.run(milliseconds(200 + 100 * (Commands[I].SecondArg % 20)));
      if (auto Violated = violation())
        return {.Violation = Violated, .Step = I};
    }
    endFaults();
    bool Finished = m_bed.runUntil([&] { return violation() || allFinished(); },
                                   LivenessBound);
    if (auto Violated = violation())
      return {.Violation = Violated, .Step = Commands.size()};
    if (!Finished)
      return {.Violation = describeUnfinished(), .Step = Commands.size()};
    return {};
  }

private:
  void trace(const std::string &Line) const {
    if (m_trace)
      m_trace(Line);
  }

  std::optional<std::string> violation() const {
    if (m_bed.oracle().violations().empty())
      return std::nullopt;
    return m_bed.oracle().violations().front();
  }

  bool allFinished() const {
    return std::all_of(m_jobs.begin(), m_jobs.end(), [&](const TestJob &Job) {
      return m_bed.jobFinished(Job);
    });
  }

  std::string describeUnfinished() {
    for (const TestJob &Job : m_jobs) {
      if (m_bed.jobFinished(Job))
        continue;
      explain(Job);
      return fmt::format("job {} in shard {} did not finish in time", Job.Name,
                         Job.Shard);
    }
    return {};
  }

  void explain(const TestJob &Job) {
    for (TestNode &Node : m_bed.nodes())
      for (uint32_t I = 0; I < Job.Tasks; ++I)
        for (const std::string &Reason :
             Node.Core->explain(fmt::format("{}/{}", Job.Name, I)))
          trace(fmt::format("{}: {}", Node.Id, Reason));
  }

  size_t nodeIndex(uint32_t Number) const { return Number % m_bed.nodeCount(); }
  std::string worker(uint32_t Number) const {
    std::vector<std::string> Workers = m_bed.workerNames();
    return Workers[Number % Workers.size()];
  }

  template <typename Set, typename Value>
  static void toggle(Set &Elements, const Value &Element) {
    if (!Elements.erase(Element))
      Elements.insert(Element);
  }

  void submit(const FuzzCommand &Command, bool Urgent) {
    std::vector<std::string> Shards = m_bed.layout().shards();
    TestJob Job{.Name = fmt::format("j{}", m_jobs.size()),
                .Shard = Shards[Command.FirstArg % Shards.size()],
                .Tasks = 1 + Command.SecondArg % 6,
                .Demand = {.Millicores = 1000 + 1000 * (Command.FirstArg % 4),
                           .MemoryMib = 1000},
                .Work = milliseconds(500 + 700 * (Command.SecondArg % 12)),
                .Urgent = Urgent};
    m_jobs.push_back(Job);
    m_bed.submit(Job);
  }

  void configure(const FuzzCommand &Command) {
    m_bed.configure(++m_revision,
                    {{.Name = "quotes",
                      .Replicas = Command.FirstArg % 5,
                      .Demand = {.Millicores = 2000, .MemoryMib = 2000}}},
                    {});
  }

  void cordon(const FuzzCommand &Command) {
    m_bed.configure(++m_revision, {},
                    {{.Worker = worker(Command.FirstArg),
                      .ShouldDrain = Command.SecondArg % 2 == 0}});
  }

  void loseDomain(uint32_t Number) {
    const std::string &Domain =
        m_bed.layout().Domains[Number % m_bed.layout().Domains.size()];
    for (const std::string &Worker : m_bed.workerNames())
      if (Worker.starts_with(Domain + "-"))
        m_bed.setWorkerDead(Worker, true);
    m_bed.killNode(nodeIndex(Number));
  }

  void applyToNode(const FuzzCommand &Command) {
    size_t Index = nodeIndex(Command.FirstArg);
    TestNode &Node = m_bed.nodes()[Index];
    switch (Command.Kind) {
    case FuzzKind::KillNode:
      return m_bed.killNode(Index);
    case FuzzKind::StartNode:
      return Node.Core ? void() : m_bed.startNode(Index);
    case FuzzKind::PauseNode:
      return m_bed.pauseNode(Index);
    case FuzzKind::ResumeNode:
      return m_bed.resumeNode(Index);
    case FuzzKind::RestartNode:
      return Node.IsPaused ? void() : m_bed.restartNode(Index);
    case FuzzKind::CutNodeFromStore:
      Node.IsCutFromStore = !Node.IsCutFromStore;
      return;
    default:
      return toggle(Node.CutWorkers, worker(Command.SecondArg));
    }
  }

  void applyToWorker(const FuzzCommand &Command) {
    std::string Worker = worker(Command.FirstArg);
    switch (Command.Kind) {
    case FuzzKind::RestartWorker:
      return m_bed.restartWorker(Worker);
    case FuzzKind::KillWorker:
      return m_bed.setWorkerDead(Worker, true);
    case FuzzKind::ReviveWorker:
      return m_bed.setWorkerDead(Worker, false);
    case FuzzKind::HostLeaves:
      return toggle(m_bed.LeavingHosts, Worker);
    case FuzzKind::HostHidden:
      return toggle(m_bed.HiddenHosts, Worker);
    default:
      return toggle(m_bed.FailingWorkers, Worker);
    }
  }

  void apply(const FuzzCommand &Command) {
    switch (Command.Kind) {
    case FuzzKind::Submit:
    case FuzzKind::SubmitUrgent:
      return submit(Command, Command.Kind == FuzzKind::SubmitUrgent);
    case FuzzKind::Cancel:
      if (!m_jobs.empty())
        m_bed.cancel(m_jobs[Command.FirstArg % m_jobs.size()]);
      return;
    case FuzzKind::Configure:
      return configure(Command);
    case FuzzKind::Cordon:
      return cordon(Command);
    case FuzzKind::StoreDown:
      m_bed.IsStoreDown = !m_bed.IsStoreDown;
      return;
    case FuzzKind::StoreSlow:
      m_bed.StoreDelay = milliseconds(5 + 400 * (Command.FirstArg % 4));
      return;
    case FuzzKind::LoseReplies:
      m_bed.LostReplyPercent = 15 * (Command.FirstArg % 4);
      return;
    case FuzzKind::LateCommits:
      m_bed.LateCommitDelay = milliseconds(1500 * (Command.FirstArg % 4));
      return;
    case FuzzKind::WorkerFaults:
      m_bed.WorkerFaultPercent = 15 * (Command.FirstArg % 4);
      return;
    case FuzzKind::LoseDomain:
      return loseDomain(Command.FirstArg);
    case FuzzKind::Wait:
      return m_bed.run(milliseconds(500 * (Command.FirstArg % 30)));
    case FuzzKind::RestartWorker:
    case FuzzKind::KillWorker:
    case FuzzKind::ReviveWorker:
    case FuzzKind::HostLeaves:
    case FuzzKind::HostHidden:
    case FuzzKind::WorkerFails:
      return applyToWorker(Command);
    default:
      return applyToNode(Command);
    }
  }

  void endFaults() {
    m_bed.IsStoreDown = false;
    m_bed.StoreDelay = 5ms;
    m_bed.LostReplyPercent = 0;
    m_bed.LateCommitDelay = 0ms;
    m_bed.WorkerFaultPercent = 0;
    m_bed.LeavingHosts.clear();
    m_bed.HiddenHosts.clear();
    m_bed.FailingWorkers.clear();
    for (const std::string &Worker : m_bed.workerNames())
      m_bed.setWorkerDead(Worker, false);
    for (size_t I = 0; I < m_bed.nodes().size(); ++I) {
      TestNode &Node = m_bed.nodes()[I];
      Node.IsCutFromStore = false;
      Node.CutWorkers.clear();
      if (Node.IsPaused)
        m_bed.resumeNode(I);
      if (!Node.Core)
        m_bed.startNode(I);
    }
    m_bed.configure(++m_revision, {}, {});
  }

  TestBed m_bed;
  const SessionTrace &m_trace;
  std::vector<TestJob> m_jobs;
  uint64_t m_revision = 0;
};

} // namespace

std::string_view fuzzKindName(FuzzKind Kind) {
  return KindNames[static_cast<size_t>(Kind)];
}

FuzzOutcome runSession(const TestBedOptions &Options,
                       const std::vector<FuzzCommand> &Commands,
                       const SessionTrace &Trace) {
  return Session(Options, Trace).run(Commands);
}

BASILCHUTE_NAMESPACE_END
