// Tests of the time for which tasks wait for the leases that a previous owner
// may have extended, and of what an owner does while the store is away.

#include "testing/jobtestbed.h"

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Time after a task's last run within which it should run again, and the same
/// counted from the last crash; the later one holds.
constexpr milliseconds MaxDown = RestartCheck::LostTime;
constexpr milliseconds MaxDownAfterCrash =
    RestartCheck::CalmTime + RestartCheck::IdleTime;
/// Time for which hosts and workers have been up when a test begins. After the
/// longer one, hosts know which workers left the list lately.
constexpr milliseconds ShortUptime = 500ms;
constexpr milliseconds LongUptime = 12s;

JobTestBedOptions traced(JobTestBedOptions Options) {
  Options.Trace = std::getenv("BASILCHUTE_TRACE") != nullptr;
  return Options;
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

bool allRun(const JobTestBed &Bed, const Job &Job) {
  for (int Index = 0; Index < Job.Steps[0].Count; ++Index)
    if (Bed.Oracle.workerOf({Job.Id, 0, 0, Index}).empty())
      return false;
  return true;
}

/// A test bed with \p Lasting on all workers for \p Uptime.
struct BusyBed {
  BusyBed(JobTestBedOptions Options, const Job &Lasting, milliseconds Uptime)
      : Bed(traced(Options)) {
    Bed.run(3s);
    REQUIRE(Bed.submit(0, Lasting).has_value());
    REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
    Bed.run(Uptime);
  }
  JobTestBed Bed;
};

/// Lets a worker crash for good without a sign \p Before the owner is killed,
/// and checks that all tasks of \p Lasting run again in time. The kill is tried
/// at several moments of the hosts' renewals.
void checkRestartAfterCrashes(const Job &Lasting, milliseconds Before,
                              bool DoesHostRestart,
                              milliseconds Uptime = LongUptime) {
  for (milliseconds Phase = 0ms; Phase < 500ms; Phase += 100ms) {
    CAPTURE(Phase.count());
    BusyBed Busy({}, Lasting, Uptime);
    JobTestBed &Bed = Busy.Bed;
    Bed.run(Phase);
    TimePoint CrashedAt = Bed.now();
    Bed.worker(0).IsDown = true;
    Bed.worker(0).crash();
    Bed.run(Before);
    int Owner = Bed.ownerIndex();
    TimePoint KilledAt = Bed.now();
    Bed.killHost(Owner);
    if (DoesHostRestart)
      Bed.later(1s, [&Bed, Owner] { Bed.startHost(Owner); });
    TimePoint Until =
        std::max(CrashedAt + MaxDown, KilledAt + MaxDownAfterCrash);
    CHECK(Bed.runUntil([&] { return allRun(Bed, Lasting); },
                       std::chrono::ceil<milliseconds>(Until - Bed.now())));
    checkNoViolations(Bed);
  }
}

/// Lets the store be away for \p Outage at several moments of the owner's
/// renewals and checks that no run ends.
void checkRunsOutlast(milliseconds Outage) {
  for (milliseconds Phase = 0ms; Phase < 500ms; Phase += 100ms) {
    CAPTURE(Phase.count());
    Job Lasting = longRunningJob("lasting", 12);
    BusyBed Busy({}, Lasting, LongUptime);
    JobTestBed &Bed = Busy.Bed;
    Bed.run(Phase);
    Bed.Store.IsDown = true;
    Bed.run(Outage);
    Bed.Store.IsDown = false;
    Bed.run(15s);
    CHECK(Bed.Oracle.starts() == 12);
    CHECK(allRun(Bed, Lasting));
    checkNoViolations(Bed);
  }
}

/// Random cuts around a change of the owner: the old owner loses the store and
/// goes on with the workers that it reaches, and the new one reaches others.
class CutSession {
public:
  /// If \p ReplacesWorkers, some workers are replaced at their addresses.
  CutSession(uint64_t Seed, int Workers, bool ReplacesWorkers = false)
      : m_random(Seed * 64 + static_cast<uint64_t>(Workers)),
        m_job(Seed % 4 < 2 ? longRunningJob("lasting", 2 * Workers + 1)
                           : chainJob("lasting", 1, 2 * Workers + 1, 120s)),
        m_busy({.Hosts = 3,
                .Workers = Workers,
                .MaxAttempts = 1000,
                .MaxListDelay = 300ms * (Seed % 2),
                .WorkerReturn = 700ms,
                .Crashes =
                    ReplacesWorkers ? CrashStyle::Replaced : CrashStyle::Silent,
                .Seed = Seed},
               m_job, Seed % 3 == 0 ? ShortUptime : LongUptime),
        m_bed(m_busy.Bed), m_replacesWorkers(ReplacesWorkers) {}

  const std::vector<std::string> &run() {
    m_bed.run(milliseconds(randomInt(0, 500)));
    int Owner = m_bed.ownerIndex();
    cutHosts(Owner);
    if (m_replacesWorkers)
      replaceWorkers();
    m_bed.run(milliseconds(randomInt(0, 1500)));
    m_bed.host(Owner).Store->IsRefused = true;
    bool HasSecondCrash = randomInt(0, 3) == 0;
    bool DoesGrow = randomInt(0, 4) == 0;
    for (int Step = 0; Step < 40; ++Step) {
      m_bed.run(milliseconds(randomInt(50, 700)));
      switch (randomInt(0, 7)) {
      case 0:
      case 1:
      case 2:
        (void)m_bed.failTask({"lasting", 0, 0, randomInt(0, tasks())});
        break;
      case 3:
        togglePause(Owner);
        break;
      case 4:
        if (HasSecondCrash && Step > 8)
          crashSuccessor(Owner);
        break;
      case 5:
        restartWorker(randomInt(0, m_bed.workers()));
        break;
      default:
        if (DoesGrow)
          (void)m_bed.addWorker();
        break;
      }
    }
    return m_bed.Oracle.violations();
  }

private:
  int randomInt(int Min, int End) {
    return Min + static_cast<int>(m_random() % static_cast<uint64_t>(
                                                   std::max(1, End - Min)));
  }
  int tasks() const { return m_job.Steps[0].Count; }

  /// Of each worker, the old owner or all others or neither of them lose sight.
  void cutHosts(int Owner) {
    for (int Worker = 0; Worker < m_bed.workers(); ++Worker) {
      int Cut = randomInt(0, 4);
      for (int Host = 0; Host < m_bed.hosts(); ++Host)
        if ((Cut == 0 && Host == Owner) || (Cut == 1 && Host != Owner))
          m_bed.host(Host).UnreachableWorkers.insert(
              m_bed.worker(Worker).Entry.Id);
    }
  }

  void replaceWorkers() {
    std::vector<int> Crashing;
    for (int Worker = 0; Worker < m_bed.workers(); ++Worker)
      if (randomInt(0, 3) == 0)
        Crashing.push_back(Worker);
    m_bed.later(milliseconds(randomInt(0, 3000)),
                [this, Crashing] { m_bed.crashWorkers(Crashing); });
  }

  void togglePause(int Host) {
    if (m_bed.host(Host).IsPaused)
      m_bed.resume(Host);
    else
      m_bed.pause(Host);
  }

  /// The new incarnation has not seen any epoch.
  void restartWorker(int Index) {
    m_bed.worker(Index).IsDown = true;
    m_bed.worker(Index).crash();
    m_bed.later(1s, [this, Index] { m_bed.worker(Index).IsDown = false; });
  }

  void crashSuccessor(int Owner) {
    for (int Host = 0; Host < m_bed.hosts(); ++Host) {
      if (Host == Owner || !m_bed.host(Host).Process ||
          m_bed.host(Host).Process->ownedShards() == 0)
        continue;
      m_bed.killHost(Host);
      m_bed.later(1s, [this, Host] { m_bed.startHost(Host); });
      return;
    }
  }

  std::mt19937_64 m_random;
  Job m_job;
  BusyBed m_busy;
  JobTestBed &m_bed;
  bool m_replacesWorkers;
};

} // namespace

// Guards against a wait for horizon and lease together: the tasks of a worker
// that is gone stayed down for 12 s after each change of the owner.
TEST_CASE("Long-running tasks of a worker that crashes unseen up to 1 s before "
          "its owner run again in time") {
  for (milliseconds Before : {0ms, 1000ms}) {
    CAPTURE(Before.count());
    checkRestartAfterCrashes(longRunningJob("lasting", 12), Before, false);
    checkRestartAfterCrashes(longRunningJob("lasting", 12), Before, true);
  }
}

// The same, where no host knows which workers left the list lately.
TEST_CASE("Long-running tasks of a worker that crashes unseen run again in "
          "time although hosts and workers have just started") {
  for (milliseconds Before : {0ms, 1000ms, 3000ms}) {
    CAPTURE(Before.count());
    Job Lasting = longRunningJob("lasting", 12);
    checkRestartAfterCrashes(Lasting, Before, false, ShortUptime);
    checkRestartAfterCrashes(Lasting, Before, true, ShortUptime);
  }
}

// The same, where the leases that the killed owner gave are nearly over.
TEST_CASE("Long-running tasks of a worker that crashes unseen 3 s to 5 s "
          "before its owner run again in time") {
  for (milliseconds Before : {3000ms, 5000ms}) {
    CAPTURE(Before.count());
    checkRestartAfterCrashes(longRunningJob("lasting", 12), Before, false);
    checkRestartAfterCrashes(longRunningJob("lasting", 12), Before, true);
  }
}

// The same for tasks that end by themselves, of which nothing is stored.
TEST_CASE("Short tasks of a worker that crashes unseen before its owner run "
          "again in time") {
  Job Short = chainJob("short", 1, 12, 120s);
  for (milliseconds Before : {0ms, 1000ms, 3000ms, 5000ms}) {
    CAPTURE(Before.count());
    checkRestartAfterCrashes(Short, Before, false);
    checkRestartAfterCrashes(Short, Before, true);
  }
}

// Guards against processes that are certainly gone and count as workers that
// may give evidence to the previous owner: its leases then seem to last for 12
// s.
TEST_CASE("Long-running tasks of a worker that crashes unseen before its owner "
          "run again in time beside workers that were replaced") {
  for (milliseconds Phase = 0ms; Phase < 500ms; Phase += 100ms) {
    CAPTURE(Phase.count());
    Job Lasting = longRunningJob("lasting", 18);
    BusyBed Busy({.Workers = 9, .Crashes = CrashStyle::Replaced}, Lasting,
                 ShortUptime);
    JobTestBed &Bed = Busy.Bed;
    Bed.crashWorkers({1, 2, 3, 4});
    REQUIRE(Bed.runUntil([&] { return Bed.workers() == 13; }, 10s));
    Bed.run(1s + Phase);
    std::vector<TaskName> OnSilent = Bed.Oracle.tasksOn(Bed.worker(0).Entry.Id);
    REQUIRE(!OnSilent.empty());
    TimePoint CrashedAt = Bed.now();
    Bed.worker(0).IsDown = true;
    Bed.worker(0).crash();
    Bed.killHost(Bed.ownerIndex());
    TimePoint Until =
        std::max(CrashedAt + MaxDown, CrashedAt + MaxDownAfterCrash);
    CHECK(Bed.runUntil(
        [&] {
          return std::none_of(OnSilent.begin(), OnSilent.end(),
                              [&](const TaskName &Task) {
                                return Bed.Oracle.workerOf(Task).empty();
                              });
        },
        std::chrono::ceil<milliseconds>(Until - Bed.now())));
    checkNoViolations(Bed);
  }
}

// Guards against a wait of 12 s where more than a third of the workers are
// silent, although those that answer are too many for any other owner's
// evidence.
TEST_CASE("Long-running tasks of five of nine workers that crash unseen before "
          "their owner run again in time") {
  for (milliseconds Phase = 0ms; Phase < 500ms; Phase += 100ms) {
    CAPTURE(Phase.count());
    Job Lasting = longRunningJob("lasting", 12);
    BusyBed Busy({.Workers = 9}, Lasting, LongUptime);
    JobTestBed &Bed = Busy.Bed;
    Bed.run(Phase);
    TimePoint CrashedAt = Bed.now();
    for (int Worker = 0; Worker < 5; ++Worker) {
      Bed.worker(Worker).IsDown = true;
      Bed.worker(Worker).crash();
    }
    Bed.killHost(Bed.ownerIndex());
    TimePoint Until = CrashedAt + std::max(MaxDown, MaxDownAfterCrash);
    CHECK(Bed.runUntil([&] { return allRun(Bed, Lasting); },
                       std::chrono::ceil<milliseconds>(Until - Bed.now())));
    checkNoViolations(Bed);
  }
}

// Guards against workers that have drained and left, without a run, and count
// as evidence that a previous owner may have.
TEST_CASE("Long-running tasks of a worker that crashes unseen before its owner "
          "run again in time beside workers that have drained") {
  for (milliseconds Phase = 0ms; Phase < 500ms; Phase += 100ms) {
    CAPTURE(Phase.count());
    Job Lasting = longRunningJob("lasting", 12);
    BusyBed Busy({.Workers = 12, .MaxListDelay = 10ms}, Lasting, LongUptime);
    JobTestBed &Bed = Busy.Bed;
    for (int Worker = 5; Worker < 12; ++Worker)
      Bed.drainWorker(Worker, 4s);
    Bed.run(4500ms + Phase);
    TimePoint CrashedAt = Bed.now();
    Bed.worker(0).IsDown = true;
    Bed.worker(0).crash();
    Bed.killHost(Bed.ownerIndex());
    TimePoint Until = CrashedAt + std::max(MaxDown, MaxDownAfterCrash);
    CHECK(Bed.runUntil([&] { return allRun(Bed, Lasting); },
                       std::chrono::ceil<milliseconds>(Until - Bed.now())));
    checkNoViolations(Bed);
  }
}

// Guards against leases that end with the renewals: all work would stop in an
// outage of the store.
TEST_CASE("Long-running tasks go on while the store is away for 9 s") {
  checkRunsOutlast(9s);
}

TEST_CASE("Long-running tasks go on while the store is away for 12 s") {
  checkRunsOutlast(12s);
}

// Guards against a new owner that takes leases for ended which the old owner,
// cut off from the store, still extends on a worker that only it reaches.
TEST_CASE("An owner without the store and its successor, with different "
          "workers in reach, start no task twice") {
  const char *More = std::getenv("BASILCHUTE_SEEDS");
  uint64_t Seeds = More ? std::strtoull(More, nullptr, 10) : 200;
  for (int Workers : {1, 2, 3, 5, 9})
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      CAPTURE(Workers);
      CAPTURE(Seed);
      CutSession Session(Seed, Workers);
      for (const std::string &Violation : Session.run())
        FAIL_CHECK(Violation);
    }
}

// Guards against the same where processes that are gone are no silent workers.
TEST_CASE("An owner without the store and its successor start no task twice "
          "beside workers that were replaced") {
  for (int Workers : {2, 3, 5, 9})
    for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
      CAPTURE(Workers);
      CAPTURE(Seed);
      CutSession Session(Seed, Workers, true);
      for (const std::string &Violation : Session.run())
        FAIL_CHECK(Violation);
    }
}

// Guards against an owner that goes on to start tasks where its leases end: the
// store and most workers are out of its reach, and the new owner can't reach
// the one that is left.
TEST_CASE("An owner without evidence starts no tasks") {
  Job Short = chainJob("short", 1, 12, 120s);
  BusyBed Busy({.Workers = 3}, Short, ShortUptime);
  JobTestBed &Bed = Busy.Bed;
  int Owner = Bed.ownerIndex();
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers = Host == Owner
                                            ? std::set<std::string>{"w1", "w2"}
                                            : std::set<std::string>{"w0"};
  Bed.host(Owner).Store->IsRefused = true;
  Bed.run(15s);
  CHECK(allRun(Bed, Short));
  checkNoViolations(Bed);
}

// Guards against a start that was stored before a pause and is sent after it,
// when another owner has started the task elsewhere.
TEST_CASE("An owner that was paused sends a stored start only with evidence") {
  for (int Silent = 0; Silent < 6; ++Silent)
    for (milliseconds Offset = 0ms; Offset < 80ms; Offset += 4ms)
      for (milliseconds Pause : {8500ms, 9500ms}) {
        CAPTURE(Silent);
        CAPTURE(Offset.count());
        CAPTURE(Pause.count());
        BusyBed Busy({.Hosts = 3}, longRunningJob("lasting", 12), LongUptime);
        JobTestBed &Bed = Busy.Bed;
        int Owner = Bed.ownerIndex();
        for (int Host = 0; Host < Bed.hosts(); ++Host)
          if (Host != Owner)
            Bed.host(Host).UnreachableWorkers.insert(
                Bed.worker(Silent).Entry.Id);
        REQUIRE(Bed.failTask({"lasting", 0, 0, 0}));
        Bed.run(Offset);
        Bed.pause(Owner);
        Bed.run(Pause);
        Bed.resume(Owner);
        Bed.run(5s);
        checkNoViolations(Bed);
      }
}

// Guards against an owner that goes on with workers of which the next one has
// never heard: they left the list before its process started.
TEST_CASE("An owner whose evidence comes from workers that have left the list "
          "starts no task twice") {
  for (int Unlisted : {0, 3, 4, 5, 6}) {
    CAPTURE(Unlisted);
    BusyBed Busy({.Hosts = 3, .Workers = 9, .MaxListDelay = 10ms},
                 longRunningJob("lasting", 12), LongUptime);
    JobTestBed &Bed = Busy.Bed;
    int Owner = Bed.ownerIndex();
    for (int Host = 0; Host < Bed.hosts(); ++Host) {
      int FirstCut = Host == Owner ? 7 : 0;
      int EndCut = Host == Owner ? 9 : 7;
      for (int Worker = FirstCut; Worker < EndCut; ++Worker)
        Bed.host(Host).UnreachableWorkers.insert(Bed.worker(Worker).Entry.Id);
      if (Host != Owner)
        Bed.killHost(Host);
    }
    Bed.host(Owner).Store->IsRefused = true;
    Bed.run(900ms);
    for (int Worker = 0; Worker < Unlisted; ++Worker)
      Bed.setWorkerListed(Worker, false);
    Bed.run(100ms);
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      if (Host != Owner)
        Bed.startHost(Host);
    Bed.run(14s);
    checkNoViolations(Bed);
  }
}
