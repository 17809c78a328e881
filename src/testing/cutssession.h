/// \file
/// Fuzz sessions of old and new owners that reach different workers and the
/// store at different times, while workers start again, move, drain or leave
/// the list.
#pragma once

#include "testing/jobtestbed.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One session of random jobs and episodes of faults. Sessions with the same
/// seed are identical.
class CutsSession {
public:
  CutsSession(uint64_t Seed, bool Trace);

  /// Returns the violations of invariants, the jobs that did not end and the
  /// long-running tasks that do not run at the end.
  std::vector<std::string> run();

private:
  /// Returns a random number of at least \p Min and below \p End.
  int randomInt(int Min, int End);
  milliseconds randomTime(int MinMs, int EndMs);
  bool chance(int Percent) { return randomInt(0, 100) < Percent; }
  /// Plans \p Action for \p At after the start of the series.
  void plan(milliseconds At, std::function<void()> Action);
  void runPlan();
  void planJobs();

  Job randomJob();
  void submitRandomJob();
  /// Returns true if the job's tasks have room beside those that last already.
  bool hasRoomForLasting(const Job &Value);

  /// An owner is struck while it and the others are cut off from workers of
  /// their own, and some workers have troubles.
  void beginEpisode();
  void cutWorkers(int Owner, int Percent);
  void cut(int Host, int Worker);
  void strike(int Owner);
  void refuseStore(int Host, milliseconds Duration);
  void slowStore(milliseconds Duration);
  void loseStoreAnswers(milliseconds Duration);
  void pauseHost(int Host, milliseconds Duration);
  void keepOldList(int Host, milliseconds Duration);
  void delayStartAnswers(int Host, milliseconds Duration);

  void troubleWorker();
  void crashWorker(int Worker);
  /// Returns true if no task on the worker has seen too many crashes.
  bool mayCrash(int Worker);
  void countCrash(int Worker);
  void restartWorkerAtOnce(int Worker);
  void takeWorkerDown(int Worker, milliseconds Duration);
  void unlistWorker(int Worker, milliseconds Duration);
  void delayStarts(int Worker, milliseconds Duration);
  void drainAndReplace(int Worker, milliseconds Stay);
  void endDraining(int Worker);

  const std::string &workerId(int Worker) {
    return m_bed.worker(Worker).Entry.Id;
  }
  /// Prints what befalls whom, in a session with a trace.
  template <typename... Values>
  void note(const char *Format, const Values &...Args) {
    if (m_bed.options().Trace)
      fmt::print(
          "{:9.3f} session {}\n",
          std::chrono::duration<double>(m_bed.now().time_since_epoch()).count(),
          fmt::format(fmt::runtime(Format), Args...));
  }
  /// Returns a random host that owns a shard, or -1.
  int randomOwner();
  int randomHost() { return randomInt(0, m_bed.hosts()); }
  /// Returns a random worker that is up and does not drain, or -1.
  int randomUpWorker();
  void endFaults();
  void findUnfinished(std::vector<std::string> &Out);

  std::mt19937_64 m_random;
  JobTestBed m_bed;
  std::multimap<milliseconds, std::function<void()>> m_plan;
  std::vector<Job> m_accepted;
  /// Number of crashes of workers under each task.
  std::map<TaskName, int> m_crashes;
  int m_jobs = 0;
  int64_t m_lastingMillicores = 0;
};

BASILCHUTE_NAMESPACE_END
