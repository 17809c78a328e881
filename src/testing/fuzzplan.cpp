#include "testing/fuzzplan.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, static_cast<size_t>(FuzzKind::Count)>
    Names = {"submit",
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
             "worker_faults",
             "host_leaves",
             "host_hidden",
             "worker_fails",
             "lose_domain",
             "wait"};

/// Every job finishes this long after the last fault: a dead owner's horizon,
/// the leases, and several turns of work on a small fleet.
constexpr milliseconds LivenessBound = 300s;

/// One session on its bed.
class Session {
public:
  Session(const TestBedOptions &Options, const SessionTrace &Trace)
      : m_bed(Options), m_trace(Trace) {
    m_bed.OnLine = Trace;
  }

  FuzzOutcome run(const std::vector<FuzzCommand> &Commands) {
    m_bed.run(3s);
    for (size_t I = 0; I < Commands.size(); ++I) {
      trace(fmt::format("{:>8} command {} {}({},{})", m_bed.now().count(), I,
                        fuzzKindName(Commands[I].Kind), Commands[I].A,
                        Commands[I].B));
      apply(Commands[I]);
      m_bed.run(milliseconds(200 + 100 * (Commands[I].B % 20)));
      if (auto Broken = violation())
        return {.Violation = Broken, .Step = I};
    }
    endFaults();
    bool Finished = m_bed.runUntil([&] { return violation() || allFinished(); },
                                   LivenessBound);
    if (auto Broken = violation())
      return {.Violation = Broken, .Step = Commands.size()};
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
    return std::all_of(m_jobs.begin(), m_jobs.end(), [&](const TestJob &Each) {
      return m_bed.jobFinished(Each);
    });
  }

  std::string describeUnfinished() {
    for (const TestJob &Each : m_jobs) {
      if (m_bed.jobFinished(Each))
        continue;
      explain(Each);
      return fmt::format("job {} in shard {} does not finish", Each.Name,
                         Each.Shard);
    }
    return {};
  }

  void explain(const TestJob &Job) {
    for (TestNode &Node : m_bed.nodes())
      for (uint32_t I = 0; I < Job.Tasks; ++I)
        for (const std::string &Each :
             Node.Core->explain(fmt::format("{}/{}", Job.Name, I)))
          trace(fmt::format("{}: {}", Node.Id, Each));
  }

  size_t nodeIndex(uint32_t Number) const { return Number % m_bed.nodeCount(); }
  std::string worker(uint32_t Number) const {
    std::vector<std::string> All = m_bed.workerNames();
    return All[Number % All.size()];
  }

  template <typename Set, typename Value>
  static void toggle(Set &In, const Value &What) {
    if (!In.erase(What))
      In.insert(What);
  }

  void submit(const FuzzCommand &Command, bool Urgent) {
    std::vector<std::string> Shards = m_bed.layout().shards();
    TestJob Job{.Name = fmt::format("j{}", m_jobs.size()),
                .Shard = Shards[Command.A % Shards.size()],
                .Tasks = 1 + Command.B % 6,
                .Demand = {.Millicores = 1000 + 1000 * (Command.A % 4),
                           .MemoryMib = 1000},
                .Work = milliseconds(500 + 700 * (Command.B % 12)),
                .Urgent = Urgent};
    m_jobs.push_back(Job);
    m_bed.submit(Job);
  }

  void configure(const FuzzCommand &Command) {
    m_bed.configure(++m_revision,
                    {{.Name = "quotes",
                      .Replicas = Command.A % 5,
                      .Demand = {.Millicores = 2000, .MemoryMib = 2000}}},
                    {});
  }

  void cordon(const FuzzCommand &Command) {
    m_bed.configure(
        ++m_revision, {},
        {{.Worker = worker(Command.A), .Drain = Command.B % 2 == 0}});
  }

  void loseDomain(uint32_t Number) {
    const std::string &Domain =
        m_bed.layout().Domains[Number % m_bed.layout().Domains.size()];
    for (const std::string &Each : m_bed.workerNames())
      if (Each.starts_with(Domain + "-"))
        m_bed.setWorkerDead(Each, true);
    m_bed.killNode(nodeIndex(Number));
  }

  void applyToNode(const FuzzCommand &Command) {
    size_t Index = nodeIndex(Command.A);
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
      return Node.Paused ? void() : m_bed.restartNode(Index);
    case FuzzKind::CutNodeFromStore:
      Node.CutFromStore = !Node.CutFromStore;
      return;
    default:
      return toggle(Node.CutWorkers, worker(Command.B));
    }
  }

  void applyToWorker(const FuzzCommand &Command) {
    std::string Worker = worker(Command.A);
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
        m_bed.cancel(m_jobs[Command.A % m_jobs.size()]);
      return;
    case FuzzKind::Configure:
      return configure(Command);
    case FuzzKind::Cordon:
      return cordon(Command);
    case FuzzKind::StoreDown:
      m_bed.StoreDown = !m_bed.StoreDown;
      return;
    case FuzzKind::StoreSlow:
      m_bed.StoreDelay = milliseconds(5 + 400 * (Command.A % 4));
      return;
    case FuzzKind::LoseReplies:
      m_bed.LostReplyPercent = 15 * (Command.A % 4);
      return;
    case FuzzKind::WorkerFaults:
      m_bed.WorkerFaultPercent = 15 * (Command.A % 4);
      return;
    case FuzzKind::LoseDomain:
      return loseDomain(Command.A);
    case FuzzKind::Wait:
      return m_bed.run(milliseconds(500 * (Command.A % 30)));
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
    m_bed.StoreDown = false;
    m_bed.StoreDelay = 5ms;
    m_bed.LostReplyPercent = 0;
    m_bed.WorkerFaultPercent = 0;
    m_bed.LeavingHosts.clear();
    m_bed.HiddenHosts.clear();
    m_bed.FailingWorkers.clear();
    for (const std::string &Each : m_bed.workerNames())
      m_bed.setWorkerDead(Each, false);
    for (size_t I = 0; I < m_bed.nodes().size(); ++I) {
      TestNode &Node = m_bed.nodes()[I];
      Node.CutFromStore = false;
      Node.CutWorkers.clear();
      if (Node.Paused)
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
  return Names[static_cast<size_t>(Kind)];
}

FuzzOutcome runSession(const TestBedOptions &Options,
                       const std::vector<FuzzCommand> &Commands,
                       const SessionTrace &Trace) {
  return Session(Options, Trace).run(Commands);
}

BASILCHUTE_NAMESPACE_END
