#include "testing/crashsession.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time in which the series begin and end.
constexpr milliseconds SeriesTime{28000};
/// Time after the last fault in which all work must be done and all deadly jobs
/// given up.
constexpr milliseconds SettleTime{60000};
/// Time after which a worker that does not report leaves the list.
constexpr milliseconds SilentEntryTime{3000};
/// Largest part of the fleet that long-running tasks reserve, in percent.
constexpr int MaxLastingPercent = 35;
constexpr int MaxDeadlyJobs = 6;
/// One session in this number has no deadly task.
constexpr int InnocentSessions = 5;
/// Largest number of kills of owners. With more of them, each right after a
/// start, no owner could know of three crashes.
constexpr int MaxKills = 3;

JobTestBedOptions bedOptions(uint64_t Seed, bool Trace) {
  return {.Hosts = 3 + static_cast<int>(Seed % 3),
          .Workers = 8 + static_cast<int>(Seed / 3 % 8),
          .MinShards = 1 + static_cast<int>(Seed / 24 % 2),
          .FailPercent = Seed % 2 == 0 ? 0 : 4,
          .MaxAttempts = 5,
          .MaxListDelay = milliseconds(Seed % 7 * 150),
          .Crashes = static_cast<CrashStyle>(Seed / 5 % 3),
          .Seed = Seed,
          .Trace = Trace};
}

} // namespace

CrashSession::CrashSession(uint64_t Seed, bool Trace)
    : m_random(Seed), m_faults(static_cast<Faults>(Seed % 4)),
      m_maxDeadlyJobs(Seed % InnocentSessions == 0 ? 0 : MaxDeadlyJobs),
      m_bed(bedOptions(Seed, Trace)),
      m_minUsableWorkers(m_bed.workers() * 2 / 3) {
  m_bed.Oracle.OnDeadlyStart = [this] { onDeadlyStart(); };
}

int CrashSession::randomInt(int Min, int End) {
  auto Span = static_cast<uint64_t>(End - Min);
  return Min + static_cast<int>(m_random() % Span);
}

milliseconds CrashSession::randomTime(int MinMs, int EndMs) {
  return milliseconds(randomInt(MinMs, EndMs));
}

void CrashSession::plan(milliseconds At, std::function<void()> Action) {
  if (At < SeriesTime)
    m_plan.emplace(At, std::move(Action));
}

// A command may itself take time, so that later ones are behind their plan.
void CrashSession::runPlan() {
  TimePoint Begin = m_bed.now();
  for (const auto &[At, Action] : m_plan) {
    if (Begin + At > m_bed.now())
      m_bed.run(
          std::chrono::duration_cast<milliseconds>(Begin + At - m_bed.now()));
    Action();
  }
}

std::vector<std::string> CrashSession::run() {
  m_bed.run(milliseconds(5000));
  planJobs();
  if (chance(50))
    planRoll();
  if (m_faults == Faults::Hosts || m_faults == Faults::All)
    planHostFaults();
  if (m_faults == Faults::Workers || m_faults == Faults::All)
    planWorkerFaults();
  runPlan();
  endFaults();
  m_bed.run(SettleTime);
  std::vector<std::string> Out;
  findUnfinished(Out);
  // After the states were read, since these are checked too.
  const std::vector<std::string> &Violations = m_bed.Oracle.violations();
  Out.insert(Out.begin(), Violations.begin(), Violations.end());
  return Out;
}

void CrashSession::planJobs() {
  for (milliseconds At{0}; At < SeriesTime; At += randomTime(200, 900))
    plan(At, [this] { submitRandomJob(); });
}

void CrashSession::planRoll() {
  milliseconds At = randomTime(3000, 15000);
  milliseconds Gap = randomTime(800, 3000);
  milliseconds Grace = randomTime(300, 2000);
  milliseconds Pause = randomTime(100, 1500);
  int First = randomInt(0, m_bed.hosts());
  for (int Number = 0; Number < m_bed.hosts(); ++Number, At += Gap)
    plan(At, [this, Host = (First + Number) % m_bed.hosts(), Grace, Pause] {
      m_bed.restartHost(Host, Grace, Pause);
    });
}

void CrashSession::planHostFaults() {
  if (chance(60)) {
    milliseconds DownTime = randomTime(300, 4000);
    plan(randomTime(2000, 20000), [this, DownTime] { killOwner(DownTime); });
  }
  if (!chance(30))
    return;
  milliseconds Duration = randomTime(300, 3000);
  plan(randomTime(2000, 20000), [this, Duration] {
    m_bed.Store.IsDown = true;
    m_bed.later(Duration, [this] {
      m_bed.Store.IsDown = false;
      m_bed.publishWorkers();
    });
  });
}

void CrashSession::planWorkerFaults() {
  for (int Number = randomInt(0, 3); Number > 0; --Number) {
    int Percent = randomInt(15, 36);
    plan(randomTime(1000, 22000), [this, Percent] { crashHerd(Percent); });
  }
  for (int Number = randomInt(0, 6); Number > 0; --Number) {
    milliseconds Stay = randomTime(300, 4000);
    plan(randomTime(0, 20000), [this, Stay] { replaceWorker(Stay); });
  }
  for (int Number = randomInt(0, 3); Number > 0; --Number) {
    milliseconds Listed = randomTime(2000, 6000);
    plan(randomTime(1000, 20000), [this, Listed] { loseWorker(Listed); });
  }
  for (int Number = randomInt(0, 4); Number > 0; --Number) {
    milliseconds Duration = randomTime(500, 9000);
    bool FromAll = chance(60);
    plan(randomTime(1000, 20000),
         [this, Duration, FromAll] { cutWorker(Duration, FromAll); });
  }
}

Job CrashSession::randomJob(JobKind Kind) {
  std::string Id = fmt::format("job-{}", m_jobs++);
  if (Kind == JobKind::LongRunning) {
    int Tasks = randomInt(1, 5);
    return longRunningJob(Id, Tasks, randomInt(1, 3) * 1000);
  }
  int Steps = Kind == JobKind::Gang ? 1 : randomInt(1, 4);
  int Width = randomInt(1, 6);
  Job Out = chainJob(Id, Steps, Width, randomTime(100, 2500));
  for (JobStep &Step : Out.Steps) {
    Step.Gang = Kind == JobKind::Gang;
    Step.IsFill = Kind == JobKind::Fill;
  }
  return Out;
}

bool CrashSession::hasRoomForLasting(const Job &Value) {
  const JobStep &Step = Value.Steps.front();
  int64_t Capacity =
      m_bed.options().Workers * m_bed.options().WorkerCapacity.Millicores;
  int64_t Reserved = m_lastingMillicores + Step.Count * Step.Demand.Millicores;
  if (Reserved * 100 > Capacity * MaxLastingPercent)
    return false;
  m_lastingMillicores = Reserved;
  return true;
}

void CrashSession::submitRandomJob() {
  int Draw = randomInt(0, 100);
  JobKind Kind = Draw < 55   ? JobKind::Chain
                 : Draw < 70 ? JobKind::Gang
                 : Draw < 85 ? JobKind::Fill
                             : JobKind::LongRunning;
  Job Value = randomJob(Kind);
  if (Kind == JobKind::LongRunning && !hasRoomForLasting(Value))
    return;
  bool IsDeadly = m_deadlyJobs < m_maxDeadlyJobs && chance(15);
  if (IsDeadly)
    makeDeadly(Value);
  if (m_bed.submit(randomInt(0, m_bed.hosts()), Value).has_value())
    (IsDeadly ? m_deadly : m_innocent).push_back(Value);
}

void CrashSession::makeDeadly(const Job &Value) {
  constexpr int CrashTimesMs[] = {0, 10, 10, 100, 1000};
  ++m_deadlyJobs;
  int Step = randomInt(0, static_cast<int>(Value.Steps.size()));
  int Index = randomInt(0, Value.Steps[static_cast<size_t>(Step)].Count);
  milliseconds CrashAfter(
      CrashTimesMs[randomInt(0, static_cast<int>(std::size(CrashTimesMs)))]);
  // A run must not end before it crashes its worker.
  const JobStep &Deadly = Value.Steps[static_cast<size_t>(Step)];
  if (!Deadly.LongRunning && CrashAfter >= Deadly.EstimatedRunTime)
    CrashAfter = milliseconds(CrashTimesMs[1]);
  m_bed.Oracle.setDeadly({Value.Id, 0, Step, Index}, CrashAfter);
}

void CrashSession::onDeadlyStart() {
  if ((m_faults != Faults::Hosts && m_faults != Faults::All) || !chance(25))
    return;
  milliseconds Delay = chance(60) ? randomTime(0, 40) : randomTime(0, 4000);
  m_bed.later(
      Delay, [this, DownTime = randomTime(300, 4000)] { killOwner(DownTime); });
}

void CrashSession::killOwner(milliseconds DownTime) {
  int Owner = m_bed.ownerIndex();
  if (Owner < 0 || m_kills >= MaxKills)
    return;
  ++m_kills;
  m_bed.killHost(Owner);
  m_bed.later(DownTime, [this, Owner] {
    if (!m_bed.host(Owner).Process)
      m_bed.startHost(Owner);
  });
}

int CrashSession::randomUsableWorker() {
  std::vector<int> Usable;
  for (int Worker = 0; Worker < m_bed.workers(); ++Worker)
    if (m_bed.isWorkerUsable(Worker))
      Usable.push_back(Worker);
  if (static_cast<int>(Usable.size()) <= m_minUsableWorkers)
    return -1;
  return Usable[m_random() % Usable.size()];
}

void CrashSession::crashHerd(int Percent) {
  std::vector<int> Herd;
  for (int Worker = 0; Worker < m_bed.workers(); ++Worker)
    if (m_bed.isWorkerUsable(Worker) && chance(Percent))
      Herd.push_back(Worker);
  m_bed.crashWorkers(Herd);
}

void CrashSession::replaceWorker(milliseconds Stay) {
  int Worker = randomUsableWorker();
  m_bed.addWorker();
  m_bed.later(milliseconds(300), [this, Worker, Stay] {
    if (Worker >= 0 && m_bed.isWorkerUsable(Worker))
      m_bed.drainWorker(Worker, Stay);
  });
}

void CrashSession::loseWorker(milliseconds Listed) {
  int Worker = randomUsableWorker();
  if (Worker < 0)
    return;
  m_bed.loseWorker(Worker, Listed);
  m_bed.later(milliseconds(1000), [this] { m_bed.addWorker(); });
}

void CrashSession::cutWorker(milliseconds Duration, bool FromAll) {
  int Worker = randomUsableWorker();
  if (Worker < 0)
    return;
  std::string Id = m_bed.worker(Worker).Entry.Id;
  int OnlyHost = FromAll ? -1 : randomInt(0, m_bed.hosts());
  for (int Host = 0; Host < m_bed.hosts(); ++Host)
    if (FromAll || Host == OnlyHost)
      m_bed.host(Host).UnreachableWorkers.insert(Id);
  bool LeavesList = FromAll && Duration > SilentEntryTime;
  if (LeavesList)
    m_bed.later(SilentEntryTime,
                [this, Worker] { m_bed.setWorkerListed(Worker, false); });
  m_bed.later(Duration, [this, Worker, Id, LeavesList] {
    for (int Host = 0; Host < m_bed.hosts(); ++Host)
      m_bed.host(Host).UnreachableWorkers.erase(Id);
    if (LeavesList)
      m_bed.setWorkerListed(Worker, true);
  });
}

void CrashSession::endFaults() {
  m_bed.Store.IsDown = false;
  m_kills = MaxKills;
  for (int Host = 0; Host < m_bed.hosts(); ++Host)
    if (!m_bed.host(Host).Process)
      m_bed.startHost(Host);
  m_bed.publishWorkers();
}

void CrashSession::findUnfinished(std::vector<std::string> &Out) {
  for (const Job &Value : m_deadly) {
    Result<JobState> State = m_bed.state(0, Value.Id);
    if (!State.has_value() || State.value() != JobState::Failed)
      Out.push_back(fmt::format("deadly job {} was not given up", Value.Id));
  }
  for (const Job &Value : m_innocent) {
    Result<JobState> State = m_bed.state(0, Value.Id);
    const JobStep &Step = Value.Steps.front();
    if (!Step.LongRunning && (!State.has_value() || !isFinal(State.value())))
      Out.push_back(fmt::format("job {} did not end", Value.Id));
    for (int Index = 0; Step.LongRunning && Index < Step.Count; ++Index)
      if (m_bed.Oracle.workerOf({Value.Id, 0, 0, Index}).empty())
        Out.push_back(fmt::format("task {}.0.{} does not run at the end",
                                  Value.Id, Index));
  }
}

BASILCHUTE_NAMESPACE_END
