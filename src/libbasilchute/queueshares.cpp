#include "libbasilchute/queueshares.h"

#include <algorithm>
#include <deque>
#include <iterator>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Kind of short tasks in a QueueRank.
constexpr int ShortKind = 0;
/// Weight below which a queue's weight counts as this, so that shares are
/// finite.
constexpr double MinWeight = 0.001;

double fractionOf(int64_t Held, int64_t Capacity) {
  return Held == 0 ? 0
                   : static_cast<double>(Held) /
                         static_cast<double>(std::max<int64_t>(Capacity, 1));
}

/// Returns true if the jobs are ordered by the shares of their queues.
bool isSameGroup(const RankedJob &A, const RankedJob &B) {
  return std::get<0>(A.Rank) == std::get<0>(B.Rank) &&
         std::get<1>(A.Rank) == std::get<1>(B.Rank) &&
         std::get<2>(A.Rank) == std::get<2>(B.Rank);
}

} // namespace

double QueueShares::shareOf(const std::string &Queue) const {
  auto Held = m_held.find(Queue);
  if (Held == m_held.end())
    return 0;
  double Dominant = std::max(
      {fractionOf(Held->second.Millicores, m_capacity.Millicores),
       fractionOf(Held->second.MemoryMib, m_capacity.MemoryMib),
       fractionOf(Held->second.Accelerators, m_capacity.Accelerators)});
  auto Configured = m_queues.find(Queue);
  double Weight = Configured == m_queues.end() ? 1 : Configured->second.Weight;
  return Dominant / std::max(Weight, MinWeight);
}

std::map<std::string, double> QueueShares::shares() const {
  std::map<std::string, double> Out;
  for (const auto &[Queue, Held] : m_held)
    Out[Queue] = shareOf(Queue);
  return Out;
}

bool QueueShares::areNeeded(const std::vector<RankedJob> &Jobs) {
  const std::string *Queue = nullptr;
  for (const RankedJob &Job : Jobs) {
    if (std::get<0>(Job.Rank) != ShortKind)
      continue;
    if (Queue && *Queue != Job.Queue)
      return true;
    Queue = &Job.Queue;
  }
  return false;
}

void QueueShares::order(std::vector<RankedJob> &Jobs) {
  for (auto Begin = Jobs.begin(); Begin != Jobs.end();) {
    auto End = std::find_if(Begin, Jobs.end(), [&](const RankedJob &Job) {
      return !isSameGroup(*Begin, Job);
    });
    if (std::get<0>(Begin->Rank) == ShortKind)
      orderGroup(Begin, End);
    Begin = End;
  }
}

void QueueShares::orderGroup(JobIterator Begin, JobIterator End) {
  std::map<std::string, std::deque<RankedJob>> ByQueue;
  for (auto Job = Begin; Job != End; ++Job)
    ByQueue[Job->Queue].push_back(*Job);
  if (ByQueue.size() < 2)
    return;
  for (auto Job = Begin; Job != End; ++Job) {
    auto Next = std::min_element(ByQueue.begin(), ByQueue.end(),
                                 [this](const auto &A, const auto &B) {
                                   return shareOf(A.first) < shareOf(B.first);
                                 });
    *Job = std::move(Next->second.front());
    Next->second.pop_front();
    add(Job->Queue, Job->Demand);
    if (Next->second.empty())
      ByQueue.erase(Next);
  }
}

BASILCHUTE_NAMESPACE_END
