/// \file
/// A stream of jobs against a JobBed, and what share of it was served.
#pragma once

#include "testing/jobbed.h"

#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What a JobLoad submits.
struct JobLoadOptions {
  /// Time between two jobs.
  milliseconds JobsEvery{100};
  /// Tasks of one step; jobs take one after the other, in a shuffled order.
  std::vector<int> Widths{20};
  int Steps = 1;
  /// Run time of each task.
  milliseconds Task{500};
  /// What each task asks for.
  Resources Demand{.Millicores = 1000, .MemoryMib = 500};
  /// Tasks use only what others leave.
  bool Fills = false;
  uint64_t Seed = 1;
};

/// Submits jobs without waiting and follows them by the oracle.
class JobLoad {
public:
  /// A job counts as served if it ends within this many times its objective.
  static constexpr int LateFactor = 3;

  JobLoad(JobBed &Bed, JobLoadOptions Options);

  /// Submits jobs for \p Span, each through the next host.
  void submitFor(milliseconds Span);
  /// Lets what was submitted end.
  void settle(milliseconds Span);

  size_t submitted() const { return m_jobs.size(); }
  /// Part of the jobs that was served, of those whose size lies between the
  /// quantiles \p From and \p To.
  double servedShare(double From = 0, double To = 1) const {
    return shareWithin(LateFactor, From, To);
  }
  /// Part of the jobs that ended within their objective.
  double inTimeShare() const { return shareWithin(1, 0, 1); }

private:
  struct Sent {
    std::string Id;
    int Tasks = 0;
    TimePoint At{};
    /// Time until all tasks were done; zero while they are not.
    nanoseconds Took{0};
  };

  double shareWithin(int Objectives, double From, double To) const;
  void submitNext();
  void noteEnds();

  JobBed &m_bed;
  JobLoadOptions m_options;
  std::mt19937_64 m_random;
  std::vector<int> m_widths;
  std::vector<Sent> m_jobs;
};

BASILCHUTE_NAMESPACE_END
