/// \file
/// Order among queues whose short tasks wait: weighted dominant shares.
/// Addresses a queue that takes the room of others by a burst, and wide jobs
/// that take it from narrow ones.
#pragma once

#include "basilchute/job.h"
#include "libbasilchute/queueorder.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A waiting job in the order of its rank.
struct RankedJob {
  QueueRank Rank;
  std::string Id;
  std::string Queue;
  /// Sum over the tasks of the job that wait.
  Resources Demand;

  bool operator<(const RankedJob &Other) const {
    return std::tie(Rank, Id) < std::tie(Other.Rank, Other.Id);
  }
};

/// What the finite runs of each queue hold of the resources of a shard.
class QueueShares {
public:
  /// \p Capacity is that of the usable workers. Queues without an entry in
  /// \p Queues have weight 1.
  QueueShares(const Resources &Capacity, const JobQueues &Queues)
      : m_capacity(Capacity), m_queues(Queues) {}

  /// Adds resources that runs of \p Queue hold.
  void add(const std::string &Queue, const Resources &Held) {
    m_held[Queue] += Held;
  }
  /// Returns the largest fraction of any resource that the queue holds, divided
  /// by its weight.
  double shareOf(const std::string &Queue) const;
  /// Returns the share of each queue that holds anything.
  std::map<std::string, double> shares() const;
  /// Returns true if short jobs of several queues are among \p Jobs.
  static bool areNeeded(const std::vector<RankedJob> &Jobs);
  /// Reorders \p Jobs, which are sorted by rank: among short jobs of the same
  /// lateness and priority, the queue with the lowest share goes first, and
  /// what its job demands counts as held. The order within a queue and of all
  /// other jobs is kept.
  void order(std::vector<RankedJob> &Jobs);

private:
  using JobIterator = std::vector<RankedJob>::iterator;
  void orderGroup(JobIterator Begin, JobIterator End);

  Resources m_capacity;
  const JobQueues &m_queues;
  std::map<std::string, Resources> m_held;
};

BASILCHUTE_NAMESPACE_END
