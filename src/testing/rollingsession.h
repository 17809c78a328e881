/// \file
/// Fuzz sessions of series that overlap: hosts are restarted one by one while
/// workers are replaced, crash or fall silent.
#pragma once

#include "testing/capacitychanges.h"
#include "testing/jobtestbed.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One session of random series. Sessions with the same seed are identical.
class RollingSession {
public:
  /// With \p ChangesCapacity, workers shrink and grow meanwhile.
  RollingSession(uint64_t Seed, bool ChangesCapacity, bool Trace);

  /// Returns the violations of invariants, the jobs that did not end and the
  /// long-running tasks that do not run at the end.
  std::vector<std::string> run();

private:
  /// What a session has beside planned work.
  enum class Faults { None, Workers, All };

  /// Returns a random number of at least \p Min and below \p End.
  int randomInt(int Min, int End);
  milliseconds randomTime(int MinMs, int EndMs);
  bool chance(int Percent) { return randomInt(0, 100) < Percent; }
  /// Plans \p Action for \p At after the start of the series.
  void plan(milliseconds At, std::function<void()> Action);
  void runPlan();

  // Each plans one series.
  void planJobs();
  void planTaskFailures();
  void planRoll(milliseconds At);
  void planReplacements();
  void planLosses();
  void planCuts();
  void planStoreFaults();
  void planStrikes(int Host, milliseconds At, milliseconds Grace);

  void submitShort();
  void submitLongRunning();
  void failLongRunningTask();
  /// Starts a worker, and lets another one drain.
  void replaceWorker(milliseconds Stay);
  void loseWorker(milliseconds Listed);
  /// Cuts a worker off from some or all hosts; one that is cut off from all
  /// leaves the list, whether it was draining or not.
  void cutWorker(milliseconds Duration, bool FromAll, bool Draining);
  void strike(int Host, int Kind, milliseconds Duration);
  /// Returns a random usable worker, or -1 if there are too few.
  int randomUsableWorker();
  void startAllHosts();
  void endFaults();
  void findUnfinished(std::vector<std::string> &Out);

  std::mt19937_64 m_random;
  Faults m_faults;
  JobTestBed m_bed;
  CapacityChanges m_capacities;
  bool m_changesCapacity;
  int m_minUsableWorkers;
  std::multimap<milliseconds, std::function<void()>> m_plan;
  std::vector<Job> m_longRunning;
  std::vector<std::string> m_accepted;
  int m_jobs = 0;
  int64_t m_longRunningMillicores = 0;
};

BASILCHUTE_NAMESPACE_END
