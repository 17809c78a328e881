#include "testing/testbed.h"

#include "libbasilchute/rows.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

/// The table store as one node reaches it.
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

  // The node may start anew, with other adapters, before the reply.
  template <typename Value, typename Reader, typename Done>
  void read(Reader Read, Done Finished) {
    m_bed.noteRead();
    m_bed.after(m_bed.StoreDelay, [&Bed = m_bed, &Node = node(), Read, Finished,
                                   Life = node().Life]() mutable {
      if (Node.Life != Life)
        return;
      Result<Value> Reply =
          makeError(ResultCode::Unavailable, "table store unreachable");
      if (Bed.storeReachable(Node))
        Reply = Read(Bed);
      Bed.deliver(Node, Bed.StoreDelay,
                  [Finished, Reply]() mutable { Finished(std::move(Reply)); });
    });
  }

  TestBed &m_bed;
  size_t m_node;
};

/// The workers as one node reaches them.
class FakeWorkerPort final : public WorkerPort {
public:
  FakeWorkerPort(TestBed &Bed, size_t Node) : m_bed(Bed), m_node(Node) {}
  void sync(const std::string &, WorkerSync Request, SyncDone Done) override {
    m_bed.syncFor(m_bed.nodes()[m_node], std::move(Request), std::move(Done));
  }

private:
  TestBed &m_bed;
  size_t m_node;
};

/// The host list as one node reads it.
class FakeHostList final : public HostList {
public:
  FakeHostList(TestBed &Bed, size_t Node) : m_bed(Bed), m_node(Node) {}
  void snapshot(SnapshotDone Done) override {
    m_bed.deliver(m_bed.nodes()[m_node], m_bed.NetworkDelay,
                  [Done = std::move(Done), Now = m_bed.hosts()] { Done(Now); });
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
  m_tables.OnWrite = [this](const Write &What, uint64_t) {
    m_oracle.onWrite(What);
    noteShare(What);
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
      auto [Found, New] = m_workers.try_emplace(
          Name, Info, fmt::format("i{}", ++m_incarnations));
      WorkerModel &Model = Found->second;
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
      Model.FailsAtOnce = [this, Name](const ModelTask &) {
        return FailingWorkers.contains(Name);
      };
    }
  }
}

void TestBed::startNode(size_t Index) {
  TestNode &Node = m_nodes[Index];
  ++Node.Life;
  Node.Id = fmt::format("s{}.{}", Index, Node.Life);
  Node.Paused = false;
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
  Options.Division = m_layout;
  Options.Faults = m_options.Faults;
  Options.Placement = m_options.Placement;
  Options.OnEvent = [this, Id = Node.Id](std::string_view Event,
                                         std::string_view Detail) {
    if (OnLine)
      OnLine(fmt::format("{:>8} {} {} {}", m_now.count(), Id, Event, Detail));
  };
  Node.Core = std::make_unique<Scheduler>(std::move(Options), *Node.Store,
                                          *Node.Workers, *Node.Hosts, m_clock);
}

void TestBed::killNode(size_t Index) {
  TestNode &Node = m_nodes[Index];
  ++Node.Life;
  Node.Core.reset();
  Node.Backlog.clear();
  Node.Paused = false;
}

void TestBed::pauseNode(size_t Index) { m_nodes[Index].Paused = true; }

void TestBed::resumeNode(size_t Index) {
  TestNode &Node = m_nodes[Index];
  Node.Paused = false;
  std::vector<std::function<void()>> Backlog = std::move(Node.Backlog);
  Node.Backlog.clear();
  for (auto &Each : Backlog)
    Each();
}

void TestBed::restartNode(size_t Index) {
  TestNode &Node = m_nodes[Index];
  if (!Node.Core)
    return startNode(Index);
  Node.Core->shutDown([this, Index, Life = Node.Life] {
    after(milliseconds(1), [this, Index, Life] {
      if (m_nodes[Index].Life == Life)
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
  for (TestNode &Each : m_nodes)
    if (Each.Core && !Each.Paused)
      timed([&] { Each.Core->tick(); });
}

void TestBed::timed(const std::function<void()> &Action) {
  auto Read = [] {
    timespec Time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
    return std::chrono::seconds(Time.tv_sec) + nanoseconds(Time.tv_nsec);
  };
  nanoseconds Before = Read();
  Action();
  CoreTime += Read() - Before;
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
  after(Delay, [this, &Node, Life = Node.Life, Reply = std::move(Reply)] {
    if (Node.Life != Life)
      return;
    if (Node.Paused)
      Node.Backlog.push_back(Reply);
    else
      timed(Reply);
  });
}

uint32_t TestBed::random(uint32_t Below) {
  return static_cast<uint32_t>(m_random() % Below);
}

bool TestBed::storeReachable(const TestNode &Node) {
  return !StoreDown && !Node.CutFromStore;
}

void TestBed::commitFor(TestNode &Node, Transaction Tx,
                        TableStore::CommitDone Done) {
  // The write travels on its own: the writer's death does not recall it.
  bool SentWhileUp = storeReachable(Node);
  after(StoreDelay, [this, &Node, Life = Node.Life, SentWhileUp,
                     Tx = std::move(Tx), Done = std::move(Done)] {
    Result<uint64_t> Reply =
        makeError(ResultCode::Unavailable, "table store unreachable");
    bool Up = SentWhileUp && !StoreDown;
    if (Up) {
      ++m_commits;
      Reply = m_tables.commit(Tx);
    }
    bool Lost = m_commits == LoseReplyOfCommit ||
                (LostReplyPercent > 0 && random(100) < LostReplyPercent);
    if (Up && Lost)
      Reply = makeError(ResultCode::OutcomeUnknown, "reply lost");
    if (Node.Life == Life)
      deliver(Node, StoreDelay, [Done, Reply] { Done(Reply); });
  });
}

void TestBed::syncFor(TestNode &Node, WorkerSync Request,
                      WorkerPort::SyncDone Done) {
  constexpr milliseconds ReplyTimeout{2000};
  std::string Worker = Request.Worker;
  bool Cut = Node.CutWorkers.contains(Worker);
  bool Faulty = WorkerFaultPercent > 0 && random(100) < WorkerFaultPercent;
  uint32_t Kind = Faulty ? random(4) : 0;
  auto Answered = std::make_shared<bool>(false);
  auto AnswerOnce = [Done = std::move(Done),
                     Answered](Result<WorkerReport> Reply) {
    if (std::exchange(*Answered, true))
      return;
    Done(std::move(Reply));
  };
  deliver(Node, ReplyTimeout, [AnswerOnce] {
    AnswerOnce(makeError(ResultCode::OutcomeUnknown, "no answer in time"));
  });
  if (Cut || (Faulty && Kind == 0))
    return;
  auto Arrive = [this, &Node, Life = Node.Life, Worker, Request,
                 AnswerOnce](bool ReplyLost) {
    if (m_deadWorkers.contains(Worker))
      return;
    WorkerReport Report = m_workers.at(Worker).sync(Request, m_now);
    if (OnSync)
      OnSync(Request, Report);
    if (ReplyLost || Node.Life != Life)
      return;
    deliver(Node, NetworkDelay, [AnswerOnce, Report] { AnswerOnce(Report); });
  };
  milliseconds Delay = NetworkDelay;
  if (Faulty && Kind == 1)
    Delay += milliseconds(random(8000));
  after(Delay, [Arrive, Lost = Faulty && Kind == 2] { Arrive(Lost); });
  if (Faulty && Kind == 3)
    after(milliseconds(random(8000)), [Arrive] { Arrive(true); });
}

HostSnapshot TestBed::hosts() const {
  HostSnapshot Out;
  for (const auto &[Name, Model] : m_workers) {
    if (HiddenHosts.contains(Name))
      continue;
    Out.Hosts.push_back(Model.info());
    Out.Hosts.back().Leaving = LeavingHosts.contains(Name);
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
  for (TestNode &Each : m_nodes)
    if (Each.Core && !Each.Paused)
      Each.Core->nudge({Job.Shard});
}

void TestBed::cancel(const TestJob &Job) {
  auto Shares = m_shares[Job.Name];
  for (const auto &[Key, Known] : Shares) {
    std::optional<Row> Found = m_tables.get(Key);
    v1::ShareRow Share;
    if (!Found || !Share.ParseFromString(Found->Value) || Share.finished())
      continue;
    Share.set_cancelled(true);
    (void)m_tables.commit({.Writes = {{.Key = Found->Key,
                                       .Value = Share.SerializeAsString(),
                                       .ExpectedVersion = Found->Version}}});
  }
}

void TestBed::noteShare(const Write &What) {
  if (!What.Key.starts_with("share/"))
    return;
  size_t Begin = What.Key.rfind('/') + 1;
  std::string Job = What.Key.substr(Begin, What.Key.rfind('.') - Begin);
  v1::ShareRow Share;
  if (What.Remove || !Share.ParseFromString(What.Value))
    m_shares[Job].erase(What.Key);
  else
    m_shares[Job][What.Key] = {Share.finished(), Share.count()};
}

void TestBed::configure(uint64_t Revision, std::vector<ServiceSpec> Services,
                        std::vector<WorkerCordon> Cordons) {
  for (TestNode &Each : m_nodes)
    if (Each.Core)
      Each.Core->configure(Revision, Services, Cordons);
}

bool TestBed::jobFinished(const TestJob &Job) const {
  auto Found = m_shares.find(Job.Name);
  if (Found == m_shares.end())
    return false;
  uint32_t Tasks = 0;
  for (const auto &[Key, Share] : Found->second) {
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
  for (const TestNode &Each : m_nodes) {
    if (!Each.Core)
      continue;
    for (std::string &Shard : Each.Core->ownedShards())
      Out.insert(std::move(Shard));
  }
  return Out.size();
}

BASILCHUTE_NAMESPACE_END
