#include "testing/cutssession.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time in which episodes begin and jobs are submitted.
constexpr milliseconds SeriesTime{32000};
/// Time after the last fault in which all work must be done.
constexpr milliseconds SettleTime{60000};
constexpr milliseconds MaxCutDelay{4000};
/// Longest time for which a fault lasts.
constexpr int MaxFaultMs = 13000;
/// With more crashes of workers under one of its tasks a job may be given up.
constexpr int MaxCrashesPerTask = JobOracle::CrashesUntilFailed - 1;
/// Longest time between two jobs if there is one worker; it is shorter by the
/// number of workers.
constexpr int MaxPauseOfOneWorkerMs = 7000;
constexpr milliseconds DrainRetry{500};
constexpr milliseconds UsualStoreDelay{4};
/// Largest part of the fleet that long-running tasks reserve, in percent.
constexpr int MaxLastingPercent = 30;

JobTestBedOptions bedOptions(uint64_t Seed, bool Trace) {
  int Shards = 1 + static_cast<int>(Seed / 15 % 2);
  return {.Hosts = 2 + static_cast<int>(Seed % 3),
          .Workers = Shards * (3 + static_cast<int>(Seed / 3 % 5)),
          .MinShards = Shards,
          .FailPercent = Seed % 2 == 0 ? 0 : 4,
          .MaxAttempts = 6,
          .NetworkDelay = milliseconds(Seed / 2 % 4 == 0 ? 40 : 3),
          .MaxListDelay = milliseconds(Seed % 7 * 200),
          .Crashes = static_cast<CrashStyle>(Seed / 5 % 3),
          .Seed = Seed,
          .Trace = Trace};
}

} // namespace

CutsSession::CutsSession(uint64_t Seed, bool Trace)
    : m_random(Seed), m_bed(bedOptions(Seed, Trace)) {}

int CutsSession::randomInt(int Min, int End) {
  auto Span = static_cast<uint64_t>(End - Min);
  return Min + static_cast<int>(m_random() % Span);
}

milliseconds CutsSession::randomTime(int MinMs, int EndMs) {
  return milliseconds(randomInt(MinMs, EndMs));
}

void CutsSession::plan(milliseconds At, std::function<void()> Action) {
  if (At < SeriesTime)
    m_plan.emplace(At, std::move(Action));
}

void CutsSession::runPlan() {
  TimePoint Begin = m_bed.now();
  for (const auto &[At, Action] : m_plan) {
    m_bed.run(
        std::chrono::duration_cast<milliseconds>(Begin + At - m_bed.now()));
    Action();
  }
}

std::vector<std::string> CutsSession::run() {
  m_bed.run(milliseconds(4000));
  planJobs();
  for (milliseconds At = randomTime(500, 3000); At < SeriesTime;
       At += randomTime(2000, 14000))
    plan(At, [this] { beginEpisode(); });
  runPlan();
  // Faults that have begun end by themselves.
  m_bed.run(milliseconds(MaxFaultMs) + MaxCutDelay);
  endFaults();
  m_bed.run(SettleTime);
  std::vector<std::string> Unfinished;
  findUnfinished(Unfinished);
  // After the states were read, since these are checked too.
  std::vector<std::string> Out = m_bed.Oracle.violations();
  Out.insert(Out.end(), Unfinished.begin(), Unfinished.end());
  return Out;
}

void CutsSession::planJobs() {
  int MaxPause = MaxPauseOfOneWorkerMs / m_bed.workers();
  for (milliseconds At{0}; At < SeriesTime; At += randomTime(100, MaxPause))
    plan(At, [this] { submitRandomJob(); });
}

Job CutsSession::randomJob() {
  std::string Id = fmt::format("job-{}", m_jobs++);
  if (chance(12))
    return longRunningJob(Id, randomInt(1, 4));
  int Steps = randomInt(1, 3);
  int Width = randomInt(1, 5);
  milliseconds Estimate = chance(50)   ? randomTime(3000, 6000)
                          : chance(50) ? randomTime(100, 1000)
                                       : randomTime(100, 12000);
  Job Out = chainJob(Id, Steps, Width, Estimate);
  if (chance(10))
    for (JobStep &Step : Out.Steps)
      Step.Gang = true;
  return Out;
}

bool CutsSession::hasRoomForLasting(const Job &Value) {
  const JobStep &Step = Value.Steps.front();
  int64_t Capacity =
      m_bed.options().Workers * m_bed.options().WorkerCapacity.Millicores;
  int64_t Reserved = m_lastingMillicores + Step.Count * Step.Demand.Millicores;
  if (Reserved * 100 > Capacity * MaxLastingPercent)
    return false;
  m_lastingMillicores = Reserved;
  return true;
}

void CutsSession::submitRandomJob() {
  Job Value = randomJob();
  if (Value.Steps.front().LongRunning && !hasRoomForLasting(Value))
    return;
  m_bed.beginSubmit(randomHost(), Value,
                    [this, Value] { m_accepted.push_back(Value); });
}

int CutsSession::randomOwner() {
  std::vector<int> Owners;
  for (int Host = 0; Host < m_bed.hosts(); ++Host)
    if (m_bed.host(Host).Process && m_bed.host(Host).Process->ownedShards() > 0)
      Owners.push_back(Host);
  return Owners.empty() ? -1 : Owners[m_random() % Owners.size()];
}

int CutsSession::randomUpWorker() {
  std::vector<int> Up;
  for (int Worker = 0; Worker < m_bed.workers(); ++Worker)
    if (!m_bed.worker(Worker).IsDown && !m_bed.worker(Worker).Entry.IsDraining)
      Up.push_back(Worker);
  return Up.empty() ? -1 : Up[m_random() % Up.size()];
}

void CutsSession::beginEpisode() {
  int Owner = randomOwner();
  if (Owner < 0)
    return;
  note("episode owner=host-{}", Owner);
  constexpr int CutPercents[] = {10, 30, 60};
  cutWorkers(Owner, CutPercents[randomInt(0, 3)]);
  m_bed.later(randomTime(0, 4000), [this, Owner] { strike(Owner); });
  int Host = randomHost();
  if (chance(30))
    keepOldList(Host, randomTime(1000, MaxFaultMs));
  Host = randomHost();
  if (chance(20))
    delayStartAnswers(Host, randomTime(500, 4000));
  for (int Number = randomInt(0, 5); Number > 0; --Number)
    m_bed.later(randomTime(0, 10000), [this] { troubleWorker(); });
}

void CutsSession::cutWorkers(int Owner, int Percent) {
  for (int Worker = 0; Worker < m_bed.workers(); ++Worker) {
    if (!chance(Percent))
      continue;
    int Draw = randomInt(0, 100);
    for (int Host = 0; Host < m_bed.hosts(); ++Host)
      if (Draw >= 80 || (Host == Owner) == (Draw < 40))
        cut(Host, Worker);
  }
}

void CutsSession::cut(int Host, int Worker) {
  milliseconds Delay = randomTime(0, static_cast<int>(MaxCutDelay.count()));
  milliseconds Duration = randomTime(100, MaxFaultMs);
  std::string Id = workerId(Worker);
  m_bed.later(Delay, [this, Host, Id] {
    note("cut host-{} {}", Host, Id);
    m_bed.host(Host).UnreachableWorkers.insert(Id);
  });
  m_bed.later(Delay + Duration, [this, Host, Id] {
    note("uncut host-{} {}", Host, Id);
    m_bed.host(Host).UnreachableWorkers.erase(Id);
  });
}

void CutsSession::strike(int Owner) {
  milliseconds Duration = randomTime(100, MaxFaultMs);
  switch (randomInt(0, 10)) {
  case 0:
  case 1:
  case 2:
    m_bed.killHost(Owner);
    m_bed.later(Duration / 2, [this, Owner] {
      if (!m_bed.host(Owner).Process)
        m_bed.startHost(Owner);
    });
    return;
  case 3:
  case 4:
    return refuseStore(Owner, Duration);
  case 5:
    return slowStore(Duration / 2);
  case 6:
    return loseStoreAnswers(Duration / 2);
  case 7:
  case 8:
    return pauseHost(Owner, Duration);
  default:
    return m_bed.restartHost(Owner, Duration / 8, Duration / 8);
  }
}

void CutsSession::refuseStore(int Host, milliseconds Duration) {
  note("refuse_store host-{} ms={}", Host, Duration.count());
  m_bed.host(Host).Store->IsRefused = true;
  m_bed.later(Duration, [this, Host] {
    m_bed.host(Host).Store->IsRefused = false;
    m_bed.publishWorkers();
  });
}

void CutsSession::slowStore(milliseconds Duration) {
  note("slow_store ms={}", Duration.count());
  milliseconds Delay = randomTime(100, 1500);
  if (chance(50))
    m_bed.Store.Delay = Delay;
  else
    m_bed.Store.CommitDelay = Delay;
  m_bed.later(Duration, [this] {
    m_bed.Store.Delay = UsualStoreDelay;
    m_bed.Store.CommitDelay.reset();
  });
}

void CutsSession::loseStoreAnswers(milliseconds Duration) {
  note("lose_store_answers ms={}", Duration.count());
  m_bed.Store.LostReplyPercent = randomInt(0, 60);
  m_bed.Store.DelayedCommitPercent = randomInt(0, 30);
  m_bed.later(Duration, [this] {
    m_bed.Store.LostReplyPercent = 0;
    m_bed.Store.DelayedCommitPercent = 0;
  });
}

void CutsSession::pauseHost(int Host, milliseconds Duration) {
  note("pause host-{} ms={}", Host, Duration.count());
  if (!m_bed.host(Host).Process)
    return;
  m_bed.pause(Host);
  m_bed.later(Duration, [this, Host] {
    if (!m_bed.host(Host).IsPaused)
      return;
    m_bed.resume(Host);
    m_bed.publishWorkers();
  });
}

void CutsSession::keepOldList(int Host, milliseconds Duration) {
  note("old_list host-{} ms={}", Host, Duration.count());
  m_bed.host(Host).IsFleetStale = true;
  m_bed.later(Duration, [this, Host] {
    m_bed.host(Host).IsFleetStale = false;
    m_bed.publishWorkers();
  });
}

void CutsSession::delayStartAnswers(int Host, milliseconds Duration) {
  note("delay_start_answers host-{} ms={}", Host, Duration.count());
  m_bed.host(Host).StartReplyDelay = randomTime(50, 900);
  m_bed.later(Duration, [this, Host] {
    m_bed.host(Host).StartReplyDelay = milliseconds(0);
  });
}

void CutsSession::troubleWorker() {
  int Worker = randomUpWorker();
  if (Worker < 0)
    return;
  switch (randomInt(0, 10)) {
  case 0:
    return unlistWorker(Worker, randomTime(500, MaxFaultMs));
  case 1:
    return delayStarts(Worker, randomTime(500, 5000));
  case 2:
    return drainAndReplace(Worker, randomTime(300, 6000));
  default:
    return crashWorker(Worker);
  }
}

void CutsSession::crashWorker(int Worker) {
  if (!mayCrash(Worker))
    return;
  note("crash {}", workerId(Worker));
  countCrash(Worker);
  switch (randomInt(0, 7)) {
  case 0:
  case 1:
  case 2:
    return restartWorkerAtOnce(Worker);
  case 3:
  case 4:
    return m_bed.moveWorker(Worker);
  case 5:
    return takeWorkerDown(Worker, randomTime(100, 8000));
  default:
    return m_bed.crashWorkers({Worker});
  }
}

bool CutsSession::mayCrash(int Worker) {
  for (const TaskName &Task : m_bed.Oracle.tasksOn(workerId(Worker)))
    if (m_crashes[Task] >= MaxCrashesPerTask)
      return false;
  return true;
}

void CutsSession::countCrash(int Worker) {
  for (const TaskName &Task : m_bed.Oracle.tasksOn(workerId(Worker)))
    ++m_crashes[Task];
}

// The list names the new process a while later.
void CutsSession::restartWorkerAtOnce(int Worker) {
  m_bed.worker(Worker).crash();
  m_bed.later(randomTime(0, 2000), [this] { m_bed.publishWorkers(); });
}

void CutsSession::takeWorkerDown(int Worker, milliseconds Duration) {
  m_bed.worker(Worker).IsDown = true;
  m_bed.worker(Worker).crash();
  m_bed.later(Duration, [this, Worker] {
    m_bed.worker(Worker).comeBack();
    m_bed.publishWorkers();
  });
}

void CutsSession::unlistWorker(int Worker, milliseconds Duration) {
  note("unlist {} ms={}", workerId(Worker), Duration.count());
  m_bed.setWorkerListed(Worker, false);
  m_bed.later(Duration, [this, Worker] {
    if (!m_bed.worker(Worker).Entry.IsDraining &&
        !m_bed.worker(Worker).ReplacedBy)
      m_bed.setWorkerListed(Worker, true);
  });
}

void CutsSession::delayStarts(int Worker, milliseconds Duration) {
  note("delay_starts {} ms={}", workerId(Worker), Duration.count());
  m_bed.worker(Worker).DelayedStartPercent = randomInt(10, 60);
  m_bed.later(Duration,
              [this, Worker] { m_bed.worker(Worker).DelayedStartPercent = 0; });
}

void CutsSession::drainAndReplace(int Worker, milliseconds Stay) {
  note("drain {} ms={}", workerId(Worker), Stay.count());
  m_bed.addWorker();
  m_bed.worker(Worker).Entry.IsDraining = true;
  m_bed.publishWorkers();
  m_bed.later(Stay, [this, Worker] { endDraining(Worker); });
}

void CutsSession::endDraining(int Worker) {
  if (!mayCrash(Worker)) {
    m_bed.later(DrainRetry, [this, Worker] { endDraining(Worker); });
    return;
  }
  countCrash(Worker);
  m_bed.worker(Worker).IsDown = true;
  note("end_draining {}", workerId(Worker));
  m_bed.worker(Worker).crash();
  m_bed.setWorkerListed(Worker, false);
}

void CutsSession::endFaults() {
  for (int Host = 0; Host < m_bed.hosts(); ++Host) {
    if (!m_bed.host(Host).Process)
      m_bed.startHost(Host);
    if (m_bed.host(Host).IsPaused)
      m_bed.resume(Host);
    m_bed.host(Host).Store->IsRefused = false;
    m_bed.host(Host).IsFleetStale = false;
    m_bed.host(Host).UnreachableWorkers.clear();
  }
  m_bed.publishWorkers();
}

void CutsSession::findUnfinished(std::vector<std::string> &Out) {
  for (const Job &Value : m_accepted) {
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
