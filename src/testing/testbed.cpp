#include "testing/testbed.h"

#include "libbasilchute/rows.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

/// Access of one node to the table store.
class FakeTableStore final : public TableStore {
public:
  FakeTableStore(TestBed &Bed, size_t Node) : m_bed(Bed), m_node(Node) {}

  void get(const std::string &Key, GetDone Done) override {
    read<std::optional<Row>>(
        [Key](TestBed &Bed) { return Bed.tables().get(Key); }, std::move(Done));
  }
  void scan(const std::string &Prefix, ScanDone Done) override {
    read<std::vector<Row>>(
        [Prefix](TestBed &Bed) { return Bed.tables().scan(Prefix); },
        std::move(Done));
  }
  void commit(Transaction Tx, CommitDone Done) override {
    m_bed.commitFor(node(), std::move(Tx), std::move(Done));
  }

private:
  TestNode &node() { return m_bed.nodes()[m_node]; }

  // Captures the node instead of this: the node may restart, which replaces
  // its ports, before the reply arrives.
  template <typename Value, typename Reader, typename Done>
  void read(Reader ReadRows, Done OnReply) {
    m_bed.countRead();
    m_bed.after(m_bed.StoreDelay, [&Bed = m_bed, &Node = node(), ReadRows,
                                   OnReply,
                                   Incarnation = node().Incarnation]() mutable {
      if (Node.Incarnation != Incarnation)
        return;
      Result<Value> Reply =
          makeError(ResultCode::Unavailable, "table store unreachable");
      if (Bed.storeReachable(Node))
        Reply = ReadRows(Bed);
      Bed.deliver(Node, Bed.StoreDelay,
                  [OnReply, Reply]() mutable { OnReply(std::move(Reply)); });
    });
  }

  TestBed &m_bed;
  size_t m_node;
};

/// Access of one node to the workers.
class FakeWorkerPort final : public WorkerPort {
public:
  FakeWorkerPort(TestBed &Bed, size_t Node) : m_bed(Bed), m_node(Node) {}
  void sync(const std::string &, SyncRequest Request, SyncDone Done) override {
    m_bed.syncFor(m_bed.nodes()[m_node], std::move(Request), std::move(Done));
  }

private:
  TestBed &m_bed;
  size_t m_node;
};

/// Access of one node to the host list.
class FakeHostList final : public HostList {
public:
  FakeHostList(TestBed &Bed, size_t Node) : m_bed(Bed), m_node(Node) {}
  void snapshot(SnapshotDone Done) override {
    m_bed.deliver(
        m_bed.nodes()[m_node], m_bed.NetworkDelay,
        [Done = std::move(Done), Snapshot = m_bed.hosts()] { Done(Snapshot); });
  }

private:
  TestBed &m_bed;
  size_t m_node;
};

TestBed::TestBed(TestBedOptions Options)
    : m_options(std::move(Options)), m_random(m_options.Seed) {
  for (uint32_t I = 0; I < m_options.Domains; ++I)
    m_layout.Domains.push_back(std::string(1, static_cast<char>('a' + I)));
  m_layout.ShardsPerDomain = m_options.ShardsPerDomain;
  m_tables.OnWrite = [this](const Write &Applied, uint64_t) {
    m_oracle.onWrite(Applied);
    updateShares(Applied);
  };
  addWorkers();
  m_nodes.resize(m_options.Schedulers);
  for (size_t I = 0; I < m_nodes.size(); ++I)
    startNode(I);
}

TestBed::~TestBed() = default;

void TestBed::addWorkers() {
  for (const std::string &Domain : m_layout.Domains) {
    for (uint32_t I = 0; I < m_options.WorkersPerDomain; ++I) {
      std::string Name = fmt::format("{}-w{}", Domain, I);
      Host Info{.Worker = Name,
                .Address = Name,
                .FailureDomain = Domain,
                .Rack = fmt::format("{}-r{}", Domain, I / 8),
                .Capacity = m_options.WorkerCapacity};
      auto [It, IsNew] = m_workers.try_emplace(
          Name, Info, fmt::format("i{}", ++m_incarnations));
      WorkerModel &Model = It->second;
      Model.OnStart = [this, &Model, Name](const ModelTask &Task) {
        m_oracle.onStart(Name, Task);
        m_oracle.onCapacity(Model.info(), Model.used());
      };
      Model.OnEnd = [this, Name](const ModelTask &Task) {
        m_oracle.onEnd(Name, Task);
      };
      Model.AddressOf = [Name](const ModelTask &Task) {
        return Name + "/" + Task.Id.Task;
      };
      Model.ShouldFailOnStart = [this, Name](const ModelTask &) {
        return FailingWorkers.contains(Name);
      };
    }
  }
}

void TestBed::startNode(size_t Index) {
  TestNode &Node = m_nodes[Index];
  ++Node.Incarnation;
  Node.Id = fmt::format("s{}.{}", Index, Node.Incarnation);
  Node.IsPaused = false;
  Node.Backlog.clear();
  Node.Core.reset();
  Node.Store = std::make_unique<FakeTableStore>(*this, Index);
  Node.Workers = std::make_unique<FakeWorkerPort>(*this, Index);
  Node.Hosts = std::make_unique<FakeHostList>(*this, Index);
  SchedulerOptions Options;
  Options.Self = {.Id = Node.Id,
                  .Role = MemberRole::Scheduler,
                  .FailureDomain =
                      m_layout.Domains[Index % m_layout.Domains.size()],
                  .GrantHorizon = m_options.GrantHorizon};
  Options.Partitioning = m_layout;
  Options.Faults = m_options.Faults;
  Options.Placement = m_options.Placement;
  Options.OnEvent = [this, Id = Node.Id](std::string_view Event,
                                         std::string_view Detail) {
    if (OnEventLine)
      OnEventLine(
          fmt::format("{:>8} {} {} {}", m_now.count(), Id, Event, Detail));
  };
  Node.Core = std::make_unique<Scheduler>(std::move(Options), *Node.Store,
                                          *Node.Workers, *Node.Hosts, m_clock);
}

void TestBed::killNode(size_t Index) {
  TestNode &Node = m_nodes[Index];
  ++Node.Incarnation;
  Node.Core.reset();
  Node.Backlog.clear();
  Node.IsPaused = false;
}

void TestBed::pauseNode(size_t Index) { m_nodes[Index].IsPaused = true; }

void TestBed::resumeNode(size_t Index) {
  TestNode &Node = m_nodes[Index];
  Node.IsPaused = false;
  std::vector<std::function<void()>> Backlog = std::move(Node.Backlog);
  Node.Backlog.clear();
  for (auto &Reply : Backlog)
    Reply();
}

void TestBed::restartNode(size_t Index) {
  TestNode &Node = m_nodes[Index];
  if (!Node.Core)
    return startNode(Index);
  Node.Core->shutDown([this, Index, Incarnation = Node.Incarnation] {
    after(milliseconds(1), [this, Index, Incarnation] {
      if (m_nodes[Index].Incarnation == Incarnation)
        startNode(Index);
    });
  });
}

void TestBed::restartWorker(const std::string &Worker) {
  m_workers.at(Worker).restart(fmt::format("i{}", ++m_incarnations));
}

void TestBed::setWorkerDead(const std::string &Worker, bool Dead) {
  if (!Dead) {
    m_deadWorkers.erase(Worker);
    return;
  }
  m_deadWorkers.insert(Worker);
  restartWorker(Worker);
}

void TestBed::run(milliseconds Span) {
  milliseconds End = m_now + Span;
  while (m_now < End)
    step();
}

bool TestBed::runUntil(const std::function<bool()> &Done, milliseconds Limit) {
  milliseconds End = m_now + Limit;
  while (m_now < End) {
    if (Done())
      return true;
    step();
  }
  return Done();
}

void TestBed::step() {
  m_now += m_options.Tick;
  m_clock.advance(m_options.Tick);
  advanceWorkers();
  while (!m_events.empty() && m_events.top().At <= m_now) {
    auto Action = m_events.top().Action;
    m_events.pop();
    Action();
  }
  for (TestNode &Node : m_nodes)
    if (Node.Core && !Node.IsPaused)
      runTimed([&] { Node.Core->tick(); });
}

void TestBed::runTimed(const std::function<void()> &Action) {
  auto ThreadTime = [] {
    timespec Time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
    return std::chrono::seconds(Time.tv_sec) + nanoseconds(Time.tv_nsec);
  };
  nanoseconds Begin = ThreadTime();
  Action();
  SchedulerTime += ThreadTime() - Begin;
}

void TestBed::advanceWorkers() {
  for (auto &[Name, Model] : m_workers)
    Model.advance(m_now);
}

void TestBed::after(milliseconds Delay, std::function<void()> Action) {
  m_events.push({m_now + Delay, ++m_lastOrder, std::move(Action)});
}

void TestBed::deliver(TestNode &Node, milliseconds Delay,
                      std::function<void()> Reply) {
  after(Delay, [this, &Node, Incarnation = Node.Incarnation,
                Reply = std::move(Reply)] {
    if (Node.Incarnation != Incarnation)
      return;
    if (Node.IsPaused)
      Node.Backlog.push_back(Reply);
    else
      runTimed(Reply);
  });
}

uint32_t TestBed::random(uint32_t Below) {
  return static_cast<uint32_t>(m_random() % Below);
}

bool TestBed::storeReachable(const TestNode &Node) {
  return !IsStoreDown && !Node.IsCutFromStore;
}

void TestBed::commitFor(TestNode &Node, Transaction Tx,
                        TableStore::CommitDone Done) {
  // A write that was sent takes effect even if the writer dies meanwhile.
  bool WasReachable = storeReachable(Node);
  if (WasReachable && LateCommitDelay > milliseconds(0))
    return commitLate(Node, std::move(Tx), std::move(Done));
  after(StoreDelay, [this, &Node, Incarnation = Node.Incarnation, WasReachable,
                     Tx = std::move(Tx), Done = std::move(Done)] {
    Result<uint64_t> Reply =
        makeError(ResultCode::Unavailable, "table store unreachable");
    bool IsApplied = WasReachable && !IsStoreDown;
    if (IsApplied) {
      ++m_commits;
      Reply = m_tables.commit(Tx);
    }
    bool IsReplyLost = m_commits == LoseReplyOfCommit ||
                       (LostReplyPercent > 0 && random(100) < LostReplyPercent);
    if (IsApplied && IsReplyLost)
      Reply = makeError(ResultCode::OutcomeUnknown, "commit reply lost");
    if (Node.Incarnation == Incarnation)
      deliver(Node, StoreDelay, [Done, Reply] { Done(Reply); });
  });
}

void TestBed::commitLate(TestNode &Node, Transaction Tx,
                         TableStore::CommitDone Done) {
  constexpr milliseconds ReplyTimeout{2000};
  after(LateCommitDelay, [this, Tx = std::move(Tx)] {
    ++m_commits;
    (void)m_tables.commit(Tx);
  });
  deliver(Node, ReplyTimeout, [Done = std::move(Done)] {
    Done(makeError(ResultCode::OutcomeUnknown, "no reply in time"));
  });
}

void TestBed::syncFor(TestNode &Node, SyncRequest Request,
                      WorkerPort::SyncDone Done) {
  constexpr milliseconds ReplyTimeout{2000};
  std::string Worker = Request.Worker;
  bool IsCut = Node.CutWorkers.contains(Worker);
  bool IsFaulty = WorkerFaultPercent > 0 && random(100) < WorkerFaultPercent;
  uint32_t FaultKind = IsFaulty ? random(4) : 0;
  auto IsAnswered = std::make_shared<bool>(false);
  auto AnswerOnce = [Done = std::move(Done),
                     IsAnswered](Result<SyncReply> Reply) {
    if (std::exchange(*IsAnswered, true))
      return;
    Done(std::move(Reply));
  };
  deliver(Node, ReplyTimeout, [AnswerOnce] {
    AnswerOnce(
        makeError(ResultCode::OutcomeUnknown, "worker did not reply in time"));
  });
  if (IsCut || (IsFaulty && FaultKind == 0))
    return;
  auto Arrive = [this, &Node, Incarnation = Node.Incarnation, Worker, Request,
                 AnswerOnce](bool IsReplyLost) {
    if (m_deadWorkers.contains(Worker))
      return;
    SyncReply Report = m_workers.at(Worker).sync(Request, m_now);
    if (OnSync)
      OnSync(Request, Report);
    if (IsReplyLost || Node.Incarnation != Incarnation)
      return;
    deliver(Node, NetworkDelay, [AnswerOnce, Report] { AnswerOnce(Report); });
  };
  milliseconds Delay = NetworkDelay;
  if (IsFaulty && FaultKind == 1)
    Delay += milliseconds(random(8000));
  after(Delay, [Arrive, IsReplyLost = IsFaulty && FaultKind == 2] {
    Arrive(IsReplyLost);
  });
  if (IsFaulty && FaultKind == 3)
    after(milliseconds(random(8000)), [Arrive] { Arrive(true); });
}

HostSnapshot TestBed::hosts() const {
  HostSnapshot Out;
  for (const auto &[Name, Model] : m_workers) {
    if (HiddenHosts.contains(Name))
      continue;
    Out.Hosts.push_back(Model.info());
    Out.Hosts.back().IsLeaving = LeavingHosts.contains(Name);
  }
  return Out;
}

std::vector<std::string> TestBed::workerNames() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Model] : m_workers)
    Out.push_back(Name);
  return Out;
}

void TestBed::submit(const TestJob &Job) {
  v1::ShareRow Share;
  Share.set_job(Job.Name);
  *Share.mutable_demand() = toProto(Job.Demand);
  Share.set_work_ms(Job.Work.count());
  Share.set_urgent(Job.Urgent);
  Share.set_count(Job.Tasks);
  (void)m_tables.commit(
      {.Writes = {{.Key = shareKey(Job.Shard, shareName(Job.Name, 0)),
                   .Value = Share.SerializeAsString()}}});
  for (TestNode &Node : m_nodes)
    if (Node.Core && !Node.IsPaused)
      Node.Core->pollSharesSoon({Job.Shard});
}

void TestBed::cancel(const TestJob &Job) {
  auto Shares = m_shares[Job.Name];
  for (const auto &[Key, Known] : Shares) {
    std::optional<Row> Stored = m_tables.get(Key);
    v1::ShareRow Share;
    if (!Stored || !Share.ParseFromString(Stored->Value) || Share.finished())
      continue;
    Share.set_cancelled(true);
    (void)m_tables.commit({.Writes = {{.Key = Stored->Key,
                                       .Value = Share.SerializeAsString(),
                                       .ExpectedVersion = Stored->Version}}});
  }
}

void TestBed::updateShares(const Write &Applied) {
  if (!Applied.Key.starts_with("share/"))
    return;
  size_t NameBegin = Applied.Key.rfind('/') + 1;
  std::string Job =
      Applied.Key.substr(NameBegin, Applied.Key.rfind('.') - NameBegin);
  v1::ShareRow Share;
  if (Applied.Remove || !Share.ParseFromString(Applied.Value))
    m_shares[Job].erase(Applied.Key);
  else
    m_shares[Job][Applied.Key] = {Share.finished(), Share.count()};
}

void TestBed::configure(uint64_t Revision, std::vector<ServiceSpec> Services,
                        std::vector<WorkerCordon> Cordons) {
  for (TestNode &Node : m_nodes)
    if (Node.Core)
      Node.Core->configure(Revision, Services, Cordons);
}

bool TestBed::jobFinished(const TestJob &Job) const {
  auto It = m_shares.find(Job.Name);
  if (It == m_shares.end())
    return false;
  uint32_t Tasks = 0;
  for (const auto &[Key, Share] : It->second) {
    if (!Share.first)
      return false;
    Tasks += Share.second;
  }
  return Tasks == Job.Tasks;
}

uint32_t TestBed::runningReplicas(const std::string &Service) {
  uint32_t Out = 0;
  for (auto &[Name, Model] : m_workers)
    for (const auto &[Id, Task] : Model.tasks())
      Out += Task.Service == Service && Task.State == AttemptState::Running;
  return Out;
}

size_t TestBed::ownedShards() const {
  std::set<std::string> Out;
  for (const TestNode &Node : m_nodes) {
    if (!Node.Core)
      continue;
    for (std::string &Shard : Node.Core->ownedShards())
      Out.insert(std::move(Shard));
  }
  return Out.size();
}

BASILCHUTE_NAMESPACE_END
