/// \file
/// Load generator for a JobTestBed: submits jobs at a fixed rate and measures
/// which share of them is served in time.
#pragma once

#include "testing/jobtestbed.h"

#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a JobLoad.
struct JobLoadOptions {
  /// Interval between two jobs.
  milliseconds JobInterval{100};
  /// Numbers of tasks per step; each job takes the next entry of the shuffled
  /// list, which is shuffled again when it is used up.
  std::vector<int> TasksPerStep{20};
  int Steps = 1;
  /// Run time of each task.
  milliseconds TaskDuration{500};
  /// Resources that each task requests.
  Resources Demand{.Millicores = 1000, .MemoryMib = 500};
  /// The tasks are fill tasks, which use only resources that other tasks leave
  /// idle.
  bool IsFill = false;
  uint64_t Seed = 1;
};

/// Submits jobs without waiting for replies and tracks their completion through
/// the oracle.
class JobLoad {
public:
  /// A job counts as served if it completes within LateFactor times its
  /// objective.
  static constexpr int LateFactor = 3;

  JobLoad(JobTestBed &Bed, JobLoadOptions Options);

  /// Submits jobs for \p Span, to the hosts in turn.
  void submitFor(milliseconds Span);
  /// Runs for \p Span without new jobs, so that submitted jobs can complete.
  void settle(milliseconds Span);

  size_t submitted() const { return m_jobs.size(); }
  /// Returns the fraction of jobs that were served, among those whose number of
  /// tasks lies between the quantiles \p From and \p To.
  double servedFraction(double From = 0, double To = 1) const {
    return fractionWithin(LateFactor, From, To);
  }
  /// Returns the fraction of jobs that completed within their objective.
  double onTimeFraction() const { return fractionWithin(1, 0, 1); }

private:
  struct SubmittedJob {
    std::string Id;
    int Tasks = 0;
    TimePoint SubmittedAt{};
    /// Time until all tasks were done; zero before.
    nanoseconds Duration{0};
  };

  /// Returns the fraction of jobs that completed within \p Objectives times
  /// their objective.
  double fractionWithin(int Objectives, double From, double To) const;
  void submitNext();
  void recordCompletions();

  JobTestBed &m_bed;
  JobLoadOptions m_options;
  std::mt19937_64 m_random;
  /// Shuffled widths of the next jobs; the last entry is used next.
  std::vector<int> m_widths;
  std::vector<SubmittedJob> m_jobs;
};

BASILCHUTE_NAMESPACE_END
