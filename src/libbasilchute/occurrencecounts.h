/// \file
/// Numbers of tasks that are left in each step of each occurrence of a job.
/// Addresses schedules of many occurrences, of which few are due at a time.
#pragma once

#include "basilchute/job.h"

#include <deque>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Counts the tasks that are not done, by occurrence and step. Takes memory for
/// the occurrences from the first one with tasks left to the last one of which
/// a task is done.
class OccurrenceCounts {
public:
  OccurrenceCounts() = default;
  explicit OccurrenceCounts(const Job &Spec);

  int left(int Occurrence, int Step) const;
  void add(int Occurrence, int Step, int Change);
  /// Returns the first occurrence with tasks left; zero if the job runs once.
  int first() const { return m_first; }
  /// Returns the end of the occurrences of which any task was done.
  int end() const;
  /// Returns the work that is left in the occurrences before \p End in
  /// millicores times seconds, by the submitter's estimates.
  double remainingWork(int End) const;
  size_t bytes() const { return m_left.size() * sizeof(int); }

private:
  size_t indexOf(int Occurrence, int Step) const {
    return static_cast<size_t>(Occurrence - m_first) * m_counts.size() +
           static_cast<size_t>(Step);
  }

  int m_occurrences = 1;
  /// By step: number of its tasks in one occurrence, and the work of a task.
  std::vector<int> m_counts;
  std::vector<double> m_work;
  double m_workOfOccurrence = 0;
  int m_first = 0;
  /// By occurrence from m_first on, and step.
  std::deque<int> m_left;
};

BASILCHUTE_NAMESPACE_END
