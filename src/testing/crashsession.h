/// \file
/// Fuzz sessions of tasks that crash the workers that start them, beside owners
/// that are killed or restarted and workers that crash, leave or are cut off.
#pragma once

#include "testing/jobtestbed.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One session of random jobs and faults. Sessions with the same seed are
/// identical.
class CrashSession {
public:
  CrashSession(uint64_t Seed, bool Trace);

  /// Returns the violations of invariants, the jobs that did not end and the
  /// long-running tasks that do not run at the end.
  std::vector<std::string> run();

private:
  /// What a session has beside deadly tasks and planned restarts of hosts.
  enum class Faults { None, Hosts, Workers, All };
  enum class JobKind { Chain, Gang, Fill, LongRunning };

  /// Returns a random number of at least \p Min and below \p End.
  int randomInt(int Min, int End);
  milliseconds randomTime(int MinMs, int EndMs);
  bool chance(int Percent) { return randomInt(0, 100) < Percent; }
  /// Plans \p Action for \p At after the start of the series.
  void plan(milliseconds At, std::function<void()> Action);
  void runPlan();

  // Each plans one series.
  void planJobs();
  void planRoll();
  void planHostFaults();
  void planWorkerFaults();

  void submitRandomJob();
  Job randomJob(JobKind Kind);
  /// Returns true if the job's tasks have room beside those that last already.
  bool hasRoomForLasting(const Job &Value);
  void makeDeadly(const Job &Value);
  /// Kills the owner soon after the start of a deadly task, a few times in a
  /// session.
  void onDeadlyStart();
  void killOwner(milliseconds DownTime);
  void crashHerd(int Percent);
  void replaceWorker(milliseconds Stay);
  void loseWorker(milliseconds Listed);
  /// Cuts a worker off from some or all hosts; one that is cut off from all for
  /// long leaves the list meanwhile.
  void cutWorker(milliseconds Duration, bool FromAll);
  /// Returns a random usable worker, or -1 if there are too few.
  int randomUsableWorker();
  void endFaults();
  void findUnfinished(std::vector<std::string> &Out);

  std::mt19937_64 m_random;
  Faults m_faults;
  int m_maxDeadlyJobs;
  JobTestBed m_bed;
  int m_minUsableWorkers;
  std::multimap<milliseconds, std::function<void()>> m_plan;
  /// Accepted jobs without deadly tasks.
  std::vector<Job> m_innocent;
  /// Accepted jobs with a deadly task.
  std::vector<Job> m_deadly;
  int m_jobs = 0;
  int m_deadlyJobs = 0;
  int m_kills = 0;
  int64_t m_lastingMillicores = 0;
};

BASILCHUTE_NAMESPACE_END
