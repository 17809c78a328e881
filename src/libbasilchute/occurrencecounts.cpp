#include "libbasilchute/occurrencecounts.h"

#include "libbasilchute/jobestimate.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

OccurrenceCounts::OccurrenceCounts(const Job &Spec)
    : m_occurrences(Spec.occurrences()) {
  for (const JobStep &Step : Spec.Steps) {
    m_counts.push_back(Step.Count);
    m_work.push_back(taskWork(Step));
    m_workOfOccurrence += Step.Count * m_work.back();
  }
}

int OccurrenceCounts::left(int Occurrence, int Step) const {
  if (Occurrence < m_first)
    return 0;
  size_t Index = indexOf(Occurrence, Step);
  return Index < m_left.size() ? m_left[Index]
                               : m_counts[static_cast<size_t>(Step)];
}

void OccurrenceCounts::add(int Occurrence, int Step, int Change) {
  if (Occurrence < m_first)
    return;
  while (Occurrence >= end())
    m_left.insert(m_left.end(), m_counts.begin(), m_counts.end());
  m_left[indexOf(Occurrence, Step)] += Change;
  auto Steps = static_cast<std::ptrdiff_t>(m_counts.size());
  auto IsDone = [&] {
    return !m_left.empty() &&
           std::all_of(m_left.begin(), m_left.begin() + Steps,
                       [](int Left) { return Left == 0; });
  };
  // Tasks of a job that runs once may come back from another shard.
  while (m_occurrences > 1 && IsDone()) {
    m_left.erase(m_left.begin(), m_left.begin() + Steps);
    ++m_first;
  }
}

int OccurrenceCounts::end() const {
  return m_counts.empty()
             ? m_first
             : m_first + static_cast<int>(m_left.size() / m_counts.size());
}

double OccurrenceCounts::remainingWork(int End) const {
  double Out = std::max(End - end(), 0) * m_workOfOccurrence;
  for (size_t Index = 0; Index < m_left.size(); ++Index)
    Out += m_left[Index] * m_work[Index % m_counts.size()];
  return Out;
}

BASILCHUTE_NAMESPACE_END
