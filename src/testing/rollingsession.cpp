#include "testing/rollingsession.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time in which the series begin and end.
constexpr milliseconds SeriesTime{32000};
/// Time after the last fault in which all work must be done again.
constexpr milliseconds SettleTime{40000};
/// Time after which a worker that does not report leaves the list.
constexpr milliseconds SilentEntryTime{3000};
/// Largest part of the fleet that long-running tasks reserve, in percent.
constexpr int MaxLongRunningPercent = 40;
constexpr int InitialLongRunningJobs = 4;
/// Time until a worker that has shrunk must take no more starts: the time after
/// which a host is in touch again, and one report of the worker.
constexpr milliseconds CapacityAllowance{4000};

/// What befalls a host during a handover.
enum StrikeKind { Kill, Pause, RefuseStore, LoseReplies, DelayCommits };

JobTestBedOptions bedOptions(uint64_t Seed, bool Trace) {
  return {.Hosts = 3 + static_cast<int>(Seed % 4),
          .Workers = 6 + static_cast<int>(Seed / 4 % 7),
          .MinShards = 1 + static_cast<int>(Seed / 28 % 2),
          .FailPercent = 5,
          .MaxAttempts = 6,
          .MaxListDelay = milliseconds(Seed % 5 * 250),
          .CapacityAllowance = CapacityAllowance,
          .Seed = Seed,
          .Trace = Trace};
}

} // namespace

RollingSession::RollingSession(uint64_t Seed, bool ChangesCapacity, bool Trace)
    : m_random(Seed), m_faults(static_cast<Faults>(Seed % 3)),
      m_bed(bedOptions(Seed, Trace)), m_capacities(m_bed, Seed),
      m_changesCapacity(ChangesCapacity),
      m_minUsableWorkers(m_bed.workers() * 2 / 3) {}

int RollingSession::randomInt(int Min, int End) {
  auto Span = static_cast<uint64_t>(End - Min);
  return Min + static_cast<int>(m_random() % Span);
}

milliseconds RollingSession::randomTime(int MinMs, int EndMs) {
  return milliseconds(randomInt(MinMs, EndMs));
}

void RollingSession::plan(milliseconds At, std::function<void()> Action) {
  if (At < SeriesTime)
    m_plan.emplace(At, std::move(Action));
}

// A command may itself take time, so that later ones are behind their plan.
void RollingSession::runPlan() {
  TimePoint Begin = m_bed.now();
  for (const auto &[At, Action] : m_plan) {
    if (Begin + At > m_bed.now())
      m_bed.run(
          std::chrono::duration_cast<milliseconds>(Begin + At - m_bed.now()));
    Action();
  }
}

std::vector<std::string> RollingSession::run() {
  m_bed.run(milliseconds(4000));
  for (int Number = 0; Number < InitialLongRunningJobs; ++Number)
    submitLongRunning();
  m_bed.run(milliseconds(1000));
  planJobs();
  planTaskFailures();
  planRoll(randomTime(500, 5000));
  if (chance(50))
    planRoll(randomTime(8000, 16000));
  planReplacements();
  if (m_faults != Faults::None) {
    planLosses();
    planCuts();
  }
  if (m_faults == Faults::All)
    planStoreFaults();
  if (m_changesCapacity)
    m_capacities.start(SeriesTime);
  runPlan();
  endFaults();
  m_bed.run(SettleTime);
  std::vector<std::string> Out = m_bed.Oracle.violations();
  findUnfinished(Out);
  return Out;
}

void RollingSession::planJobs() {
  for (milliseconds At{0}; At < SeriesTime; At += randomTime(200, 900))
    plan(At, [this] { submitShort(); });
  for (milliseconds At = randomTime(2000, 9000); At < SeriesTime;
       At += randomTime(6000, 12000))
    plan(At, [this] { submitLongRunning(); });
}

void RollingSession::planTaskFailures() {
  for (milliseconds At{0}; At < SeriesTime; At += randomTime(200, 2500))
    plan(At, [this] { failLongRunningTask(); });
}

void RollingSession::planRoll(milliseconds At) {
  milliseconds Gap = randomTime(500, 3000);
  milliseconds Grace = randomTime(200, 2500);
  milliseconds Pause = randomTime(100, 1500);
  int First = randomInt(0, m_bed.hosts());
  for (int Number = 0; Number < m_bed.hosts(); ++Number, At += Gap) {
    int Host = (First + Number) % m_bed.hosts();
    plan(At,
         [this, Host, Grace, Pause] { m_bed.restartHost(Host, Grace, Pause); });
    if (m_faults == Faults::All && chance(40))
      planStrikes(Host, At, Grace);
  }
}

// The steps of a handover follow one another within tens of milliseconds, those
// of a takeover within a second.
void RollingSession::planStrikes(int Host, milliseconds At,
                                 milliseconds Grace) {
  milliseconds StrikeAt =
      At + (chance(60) ? randomTime(0, 40) : randomTime(0, 1500));
  int Kind = randomInt(0, 5);
  milliseconds Duration = randomTime(50, 6000);
  bool IsNewOwner = chance(50);
  plan(StrikeAt, [this, Host, Kind, Duration, IsNewOwner] {
    int Owner = m_bed.ownerIndex();
    strike(IsNewOwner && Owner >= 0 ? Owner : Host, Kind, Duration);
  });
  plan(At + Grace + randomTime(1000, 5000), [this] { startAllHosts(); });
}

void RollingSession::planReplacements() {
  int Count = randomInt(4, 24);
  milliseconds Gap = randomTime(300, 1500);
  // In the other sessions some workers leave before all hosts have heard that
  // they are draining.
  milliseconds Stay = randomTime(300, 4000);
  if (m_faults == Faults::None)
    Stay += m_bed.options().MaxListDelay + milliseconds(700);
  milliseconds At = randomTime(0, 4000);
  for (int Number = 0; Number < Count; ++Number, At += Gap)
    plan(At, [this, Stay] { replaceWorker(Stay); });
}

void RollingSession::planLosses() {
  for (int Number = randomInt(1, 4); Number > 0; --Number) {
    milliseconds Listed = randomTime(2000, 6000);
    plan(randomTime(1000, 20000), [this, Listed] { loseWorker(Listed); });
  }
}

void RollingSession::planCuts() {
  for (int Number = randomInt(0, 4); Number > 0; --Number) {
    milliseconds Duration = randomTime(500, 10000);
    bool FromAll = chance(60);
    bool Draining = chance(40);
    plan(randomTime(1000, 22000), [this, Duration, FromAll, Draining] {
      cutWorker(Duration, FromAll, Draining);
    });
  }
}

void RollingSession::planStoreFaults() {
  for (int Number = randomInt(0, 4); Number > 0; --Number) {
    int Host = randomInt(0, m_bed.hosts());
    int Kind = randomInt(RefuseStore, DelayCommits + 1);
    milliseconds Duration = randomTime(50, 3000);
    plan(randomTime(0, 25000),
         [this, Host, Kind, Duration] { strike(Host, Kind, Duration); });
  }
  if (!chance(30))
    return;
  milliseconds Duration = randomTime(300, 5000);
  plan(randomTime(2000, 20000), [this, Duration] {
    m_bed.Store.IsDown = true;
    m_bed.later(Duration, [this] {
      m_bed.Store.IsDown = false;
      m_bed.publishWorkers();
    });
  });
}

void RollingSession::strike(int Index, int Kind, milliseconds Duration) {
  TestJobHost &Host = m_bed.host(Index);
  switch (Kind) {
  case Kill:
    if (Host.Process)
      m_bed.killHost(Index);
    return;
  case Pause:
    if (!Host.Process || Host.IsPaused)
      return;
    m_bed.pause(Index);
    m_bed.later(Duration, [this, Index] {
      if (m_bed.host(Index).IsPaused)
        m_bed.resume(Index);
      m_bed.publishWorkers();
    });
    return;
  case RefuseStore:
    Host.Store->IsRefused = true;
    m_bed.later(Duration, [this, Index] {
      m_bed.host(Index).Store->IsRefused = false;
      m_bed.publishWorkers();
    });
    return;
  case LoseReplies:
    m_bed.Store.LostReplyPercent = 50;
    m_bed.later(Duration / 4, [this] { m_bed.Store.LostReplyPercent = 0; });
    return;
  default:
    m_bed.Store.DelayedCommitPercent = 30;
    m_bed.later(Duration / 4, [this] { m_bed.Store.DelayedCommitPercent = 0; });
  }
}

void RollingSession::submitShort() {
  int Steps = randomInt(1, 4);
  int Width = randomInt(1, 5);
  milliseconds Estimate = randomTime(100, 2500);
  Job Value =
      chainJob(fmt::format("short-{}", m_jobs++), Steps, Width, Estimate);
  if (m_bed.submit(randomInt(0, m_bed.hosts()), Value).has_value())
    m_accepted.push_back(Value.Id);
}

void RollingSession::submitLongRunning() {
  int Tasks = randomInt(1, 7);
  int Millicores = randomInt(1, 3) * 1000;
  int64_t Capacity =
      m_bed.options().Workers * m_bed.options().WorkerCapacity.Millicores;
  m_longRunningMillicores += Tasks * Millicores;
  if (m_longRunningMillicores * 100 > Capacity * MaxLongRunningPercent)
    return;
  Job Value =
      longRunningJob(fmt::format("lasting-{}", m_jobs++), Tasks, Millicores);
  if (m_bed.submit(randomInt(0, m_bed.hosts()), Value).has_value())
    m_longRunning.push_back(Value);
}

void RollingSession::failLongRunningTask() {
  if (m_longRunning.empty())
    return;
  const Job &Value = m_longRunning[m_random() % m_longRunning.size()];
  (void)m_bed.failTask(
      {Value.Id, 0, 0, randomInt(0, Value.Steps.front().Count)});
}

int RollingSession::randomUsableWorker() {
  std::vector<int> Usable;
  for (int Worker = 0; Worker < m_bed.workers(); ++Worker)
    if (m_bed.isWorkerUsable(Worker))
      Usable.push_back(Worker);
  if (static_cast<int>(Usable.size()) <= m_minUsableWorkers)
    return -1;
  return Usable[m_random() % Usable.size()];
}

void RollingSession::replaceWorker(milliseconds Stay) {
  int Worker = randomUsableWorker();
  m_bed.addWorker();
  m_bed.later(milliseconds(300), [this, Worker, Stay] {
    if (Worker >= 0 && m_bed.isWorkerUsable(Worker))
      m_bed.drainWorker(Worker, Stay);
  });
}

void RollingSession::loseWorker(milliseconds Listed) {
  int Worker = randomUsableWorker();
  if (Worker < 0)
    return;
  m_bed.loseWorker(Worker, Listed);
  m_bed.later(milliseconds(1000), [this] { m_bed.addWorker(); });
}

void RollingSession::cutWorker(milliseconds Duration, bool FromAll,
                               bool Draining) {
  int Worker = randomUsableWorker();
  if (Worker < 0)
    return;
  std::string Id = m_bed.worker(Worker).Entry.Id;
  int OnlyHost = FromAll ? -1 : randomInt(0, m_bed.hosts());
  for (int Host = 0; Host < m_bed.hosts(); ++Host)
    if (FromAll || Host == OnlyHost)
      m_bed.host(Host).UnreachableWorkers.insert(Id);
  if (Draining) {
    m_bed.worker(Worker).Entry.IsDraining = true;
    m_bed.publishWorkers();
  }
  if (FromAll && Duration > SilentEntryTime)
    m_bed.later(SilentEntryTime,
                [this, Worker] { m_bed.setWorkerListed(Worker, false); });
  m_bed.later(Duration, [this, Worker, Id, Draining] {
    for (int Host = 0; Host < m_bed.hosts(); ++Host)
      m_bed.host(Host).UnreachableWorkers.erase(Id);
    if (Draining)
      m_bed.drainWorker(Worker, milliseconds(500));
    else
      m_bed.setWorkerListed(Worker, true);
  });
}

void RollingSession::startAllHosts() {
  for (int Host = 0; Host < m_bed.hosts(); ++Host)
    if (!m_bed.host(Host).Process)
      m_bed.startHost(Host);
}

void RollingSession::endFaults() {
  m_bed.Store.IsDown = false;
  m_bed.Store.LostReplyPercent = 0;
  m_bed.Store.DelayedCommitPercent = 0;
  startAllHosts();
  for (int Index = 0; Index < m_bed.hosts(); ++Index) {
    m_bed.host(Index).Store->IsRefused = false;
    if (m_bed.host(Index).IsPaused)
      m_bed.resume(Index);
  }
  m_bed.publishWorkers();
  if (m_changesCapacity)
    m_capacities.end();
}

void RollingSession::findUnfinished(std::vector<std::string> &Out) {
  for (const std::string &Id : m_accepted) {
    Result<JobState> State = m_bed.state(0, Id);
    if (!State.has_value() || !isFinal(State.value()))
      Out.push_back(fmt::format("job {} did not end", Id));
  }
  for (const Job &Value : m_longRunning)
    for (int Index = 0; Index < Value.Steps.front().Count; ++Index)
      if (m_bed.Oracle.workerOf({Value.Id, 0, 0, Index}).empty())
        Out.push_back(fmt::format("task {}.0.{} does not run at the end",
                                  Value.Id, Index));
}

BASILCHUTE_NAMESPACE_END
