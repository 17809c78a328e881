// Fuzzing of job hosts with random faults, checked by the oracle.
//
// Usage: basilchute_jobfuzz FIRST_SEED COUNT [shards|rolling|crashing|cuts]
// [capacity] [lost-answers] [cancels]. Prints each seed that violated an
// invariant; sessions with the same seed are identical. With "shards" there are
// two or three shards, and many workers leave the worker list, so that jobs are
// transferred between shards. With "rolling" hosts and workers are replaced one
// by one at the same time, see RollingSession. With "crashing" some tasks crash
// the workers that start them, see CrashSession. With "cuts" owners reach
// different workers and the store at different times, see CutsSession. With
// "capacity" workers shrink and grow meanwhile, but not in sessions with
// "crashing". With "lost-answers" answers to start orders are late or lost at
// times, and long-running jobs are submitted and cancelled, but not in sessions
// with "rolling" or "crashing". With "cancels" wide long-running jobs are
// submitted, and jobs are cancelled while they are transferred or tasks of them
// delegated, in sessions with "shards". BASILCHUTE_TRACE prints every event of
// the hosts.

#include "libbasilchute/jobrows.h"
#include "testing/capacitychanges.h"
#include "testing/crashsession.h"
#include "testing/cutssession.h"
#include "testing/jobtestbed.h"
#include "testing/rollingsession.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <random>
#include <set>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr int CommandsPerSession = 70;
constexpr size_t MaxWideJobs = 10;
/// Time until a worker that has shrunk must take no more starts: the time after
/// which a host is in touch again, and one report of the worker.
constexpr milliseconds CapacityAllowance{4000};
/// A session ends earlier.
constexpr milliseconds MaxSessionTime{600000};

/// Returns the jobs that \p Commit moves to another shard, or some of whose
/// tasks it delegates.
std::set<std::string> movedJobs(const RowCommit &Commit) {
  std::set<std::string> Out;
  for (const RowChange &Change : Commit.Changes) {
    const std::string &Key = Change.Address.Key;
    if (!Change.Address.Table.starts_with("jobs-"))
      continue;
    std::optional<std::string> Part = parsePartKey(Key);
    std::optional<std::string> Added = parseAddedTasksKey(Key);
    if (Part || Added) {
      if (!Change.IsRemoval)
        Out.insert(Part ? *Part : *Added);
    } else if (Change.IsRemoval) {
      Out.insert(Key);
    }
  }
  return Out;
}

/// Cancels jobs while a commit that moves them is on its way to the store. The
/// commit takes long, so that the reads of a cancellation may come before it,
/// after it, or one of them before and one after.
class CancelsInMoves {
public:
  CancelsInMoves(JobTestBed &Bed, uint64_t Seed)
      : m_bed(Bed), m_usualDelay(Bed.Store.Delay), m_random(Seed) {}

  void start() {
    m_bed.Store.RefusesCommit = [this](const RowCommit &Commit) {
      onCommit(Commit);
      return false;
    };
  }
  void end() { m_bed.Store.RefusesCommit = nullptr; }

private:
  static constexpr milliseconds MaxCommitTime{24};

  milliseconds randomTime() {
    return milliseconds(m_random() %
                        static_cast<uint64_t>(MaxCommitTime.count()));
  }

  void onCommit(const RowCommit &Commit) {
    std::set<std::string> Moved = movedJobs(Commit);
    if (Moved.empty() || m_random() % 4 == 0)
      return;
    m_bed.Store.Delay = randomTime();
    m_bed.later(0ms, [this] { m_bed.Store.Delay = m_usualDelay; });
    for (const std::string &Id : Moved) {
      int Host =
          static_cast<int>(m_random() % static_cast<uint64_t>(m_bed.hosts()));
      m_bed.later(randomTime(),
                  [this, Host, Id] { m_bed.beginCancel(Host, Id); });
    }
  }

  JobTestBed &m_bed;
  milliseconds m_usualDelay;
  std::mt19937_64 m_random;
};

/// One session of random commands and faults.
class Session {
public:
  Session(uint64_t Seed, bool ManyShards, bool ChangesCapacity,
          bool LosesAnswers, bool CancelsMoved)
      : m_random(Seed), m_answerRandom(Seed), m_manyShards(ManyShards),
        m_changesCapacity(ChangesCapacity), m_losesAnswers(LosesAnswers),
        m_cancelsMoved(CancelsMoved),
        m_bed({.Hosts = 3,
               .Workers = ManyShards ? 6 : 5,
               .MinShards = ManyShards ? 2 + static_cast<int>(Seed % 2)
                                       : 1 + static_cast<int>(Seed % 3),
               .FailPercent = 5,
               .MaxAttempts = 3,
               .CapacityAllowance = CapacityAllowance,
               .Seed = Seed,
               .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr}),
        m_capacities(m_bed, Seed), m_cancels(m_bed, Seed) {}

  /// Returns the violations of invariants and the jobs that did not end.
  std::vector<std::string> run() {
    m_bed.run(3s);
    if (m_changesCapacity)
      m_capacities.start(MaxSessionTime);
    if (m_cancelsMoved)
      m_cancels.start();
    for (int Index = 0; Index < CommandsPerSession; ++Index) {
      runRandomCommand();
      if (m_losesAnswers)
        loseAnswers();
      if (m_cancelsMoved)
        submitWide();
      m_bed.run(milliseconds(randomInt(10, 700)));
    }
    endFaults();
    m_cancels.end();
    if (m_losesAnswers || m_cancelsMoved)
      cancelLasting();
    m_bed.run(60s);
    std::vector<std::string> Unfinished;
    for (const std::string &Id : m_accepted) {
      Result<JobState> State = m_bed.state(0, Id);
      if (!State.has_value() || !isFinal(State.value()))
        Unfinished.push_back(fmt::format("job {} did not end", Id));
    }
    // The oracle also judges the states that were just read.
    std::vector<std::string> Out = m_bed.Oracle.violations();
    Out.insert(Out.end(), Unfinished.begin(), Unfinished.end());
    return Out;
  }

private:
  /// Returns a random number of at least \p Min and below \p End.
  int randomInt(int Min, int End) {
    auto Span = static_cast<uint64_t>(End - Min);
    return Min + static_cast<int>(m_random() % Span);
  }

  int randomHost() { return randomInt(0, m_bed.hosts()); }

  void runRandomCommand() {
    if (m_manyShards && randomInt(0, 6) == 0)
      return toggleListedWorker();
    switch (randomInt(0, 16)) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
      return submit();
    case 5:
      return cancel();
    case 6:
      return m_bed.killHost(randomHost());
    case 7:
      return startAllHosts();
    case 8:
      return togglePause();
    case 9:
      m_bed.Store.IsDown = !m_bed.Store.IsDown;
      return;
    case 10:
      m_bed.Store.LostReplyPercent = randomInt(0, 2) * 30;
      m_bed.Store.DelayedCommitPercent = randomInt(0, 2) * 20;
      return;
    case 11:
      return toggleCutWorker();
    case 12:
      return toggleWorker();
    case 13:
      return setDelayedStarts();
    case 14:
      m_bed.Store.dropHistory();
      return;
    default:
      return toggleStoreRefusal();
    }
  }

  void submit() {
    int Steps = randomInt(1, 4);
    int Width = randomInt(1, 6);
    milliseconds Estimate(randomInt(100, 3000));
    Job Value =
        chainJob(fmt::format("job-{}", m_jobs++), Steps, Width, Estimate);
    if (m_bed.submit(randomHost(), Value).has_value())
      m_accepted.push_back(Value.Id);
  }

  void cancel() {
    if (!m_accepted.empty())
      (void)m_bed.cancel(randomHost(),
                         m_accepted[m_random() % m_accepted.size()]);
  }

  void startAllHosts() {
    for (int Host = 0; Host < m_bed.hosts(); ++Host)
      if (!m_bed.host(Host).Process)
        m_bed.startHost(Host);
  }

  void togglePause() {
    int Host = randomHost();
    if (!m_bed.host(Host).IsPaused)
      return m_bed.pause(Host);
    m_bed.resume(Host);
    // The host has missed the changes since it was paused.
    if (m_changesCapacity)
      m_bed.publishWorkers();
  }

  void toggleCutWorker() {
    std::set<std::string> &Cut = m_bed.host(randomHost()).UnreachableWorkers;
    std::string Worker = m_bed.worker(randomInt(0, m_bed.workers())).Entry.Id;
    if (!Cut.insert(Worker).second)
      Cut.erase(Worker);
  }

  void toggleWorker() {
    ModelWorker &Worker = m_bed.worker(randomInt(0, m_bed.workers()));
    Worker.IsDown = !Worker.IsDown;
    if (Worker.IsDown)
      Worker.crash();
  }

  void toggleListedWorker() {
    int Worker = randomInt(0, m_bed.workers());
    if (!m_unlisted.erase(Worker))
      m_unlisted.insert(Worker);
    m_bed.setWorkerListed(Worker, !m_unlisted.count(Worker));
  }

  void setDelayedStarts() {
    m_bed.worker(randomInt(0, m_bed.workers())).DelayedStartPercent =
        randomInt(0, 3) * 15;
  }

  // Has a random source of its own, so that the other commands of a seed are
  // the same with and without it.
  void loseAnswers() {
    milliseconds Delay =
        m_answerRandom() % 2 ? milliseconds(m_answerRandom() % 1000) : 0ms;
    for (int Host = 0; Host < m_bed.hosts(); ++Host)
      m_bed.host(Host).StartReplyDelay = Delay;
    if (m_answerRandom() % 4 == 0)
      cancelAtBegin(static_cast<int>(m_answerRandom() %
                                     static_cast<uint64_t>(m_bed.hosts())));
  }

  // Submits a long-running job, and cancels it while no host reaches the worker
  // that has just begun it, so that the stop order is lost as well.
  void cancelAtBegin(int Host) {
    std::string Id = fmt::format("lasting-{}", m_jobs++);
    m_lasting.push_back(Id);
    (void)m_bed.submit(Host, longRunningJob(Id, 1));
    m_bed.run(milliseconds(m_answerRandom() % 150));
    std::string Worker = m_bed.Oracle.workerOf({Id, 0, 0, 0});
    if (Worker.empty())
      return;
    for (int Cut = 0; Cut < m_bed.hosts(); ++Cut)
      m_bed.host(Cut).UnreachableWorkers.insert(Worker);
    (void)m_bed.cancel(Host, Id);
    m_bed.run(milliseconds(m_answerRandom() % 2500));
    for (int Cut = 0; Cut < m_bed.hosts(); ++Cut)
      m_bed.host(Cut).UnreachableWorkers.erase(Worker);
  }

  // Submits a long-running job whose tasks may need several shards. Has the
  // random source of loseAnswers().
  void submitWide() {
    if (m_answerRandom() % 6 != 0 || m_lasting.size() >= MaxWideJobs)
      return;
    std::string Id = fmt::format("wide-{}", m_jobs++);
    m_lasting.push_back(Id);
    auto Host = static_cast<int>(m_answerRandom() %
                                 static_cast<uint64_t>(m_bed.hosts()));
    auto Tasks = static_cast<int>(1 + m_answerRandom() % 6);
    (void)m_bed.submit(Host, longRunningJob(Id, Tasks, 3000));
  }

  // A job is there also if the answer to its submission was lost. The hosts
  // need a moment after the faults until they take a cancellation.
  void cancelLasting() {
    m_bed.run(5s);
    for (const std::string &Id : m_lasting)
      for (int Host = 0; !m_bed.cancel(Host, Id).has_value();)
        if (++Host == m_bed.hosts())
          break;
  }

  void toggleStoreRefusal() {
    TestJobHost &Host = m_bed.host(randomHost());
    Host.Store->IsRefused = !Host.Store->IsRefused;
  }

  void endFaults() {
    m_bed.Store.IsDown = false;
    m_bed.Store.LostReplyPercent = 0;
    m_bed.Store.DelayedCommitPercent = 0;
    startAllHosts();
    for (int Index = 0; Index < m_bed.hosts(); ++Index) {
      m_bed.host(Index).UnreachableWorkers.clear();
      m_bed.host(Index).Store->IsRefused = false;
      m_bed.host(Index).StartReplyDelay = 0ms;
      if (m_bed.host(Index).IsPaused)
        m_bed.resume(Index);
    }
    for (int Index = 0; Index < m_bed.workers(); ++Index) {
      m_bed.worker(Index).IsDown = false;
      m_bed.worker(Index).DelayedStartPercent = 0;
    }
    for (int Worker : m_unlisted)
      m_bed.setWorkerListed(Worker, true);
    m_bed.publishWorkers();
    if (m_changesCapacity)
      m_capacities.end();
  }

  std::mt19937_64 m_random;
  std::mt19937_64 m_answerRandom;
  bool m_manyShards;
  bool m_changesCapacity;
  bool m_losesAnswers;
  bool m_cancelsMoved;
  JobTestBed m_bed;
  CapacityChanges m_capacities;
  CancelsInMoves m_cancels;
  std::set<int> m_unlisted;
  std::vector<std::string> m_accepted;
  std::vector<std::string> m_lasting;
  int m_jobs = 0;
};

std::vector<std::string> runSession(const std::set<std::string> &Modes,
                                    uint64_t Seed, bool HasTrace) {
  bool ChangesCapacity = Modes.count("capacity") > 0;
  if (Modes.count("rolling"))
    return RollingSession(Seed, ChangesCapacity, HasTrace).run();
  if (Modes.count("crashing"))
    return CrashSession(Seed, HasTrace).run();
  if (Modes.count("cuts"))
    return CutsSession(Seed, HasTrace).run();
  return Session(Seed, Modes.count("shards") > 0, ChangesCapacity,
                 Modes.count("lost-answers") > 0, Modes.count("cancels") > 0)
      .run();
}

} // namespace

int main(int ArgCount, char **Args) {
  uint64_t First = ArgCount > 1 ? std::strtoull(Args[1], nullptr, 10) : 1;
  uint64_t Count = ArgCount > 2 ? std::strtoull(Args[2], nullptr, 10) : 20;
  std::set<std::string> Modes(Args + std::min(ArgCount, 3), Args + ArgCount);
  bool HasTrace = std::getenv("BASILCHUTE_TRACE") != nullptr;
  uint64_t Failed = 0;
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    std::vector<std::string> Violations = runSession(Modes, Seed, HasTrace);
    if (Violations.empty())
      continue;
    ++Failed;
    for (const std::string &Violation : Violations)
      fmt::print("seed {}: {}\n", Seed, Violation);
  }
  fmt::print("{} passed, {} failed\n", Count - Failed, Failed);
  return Failed == 0 ? 0 : 1;
}
