/// \file
/// Numbers of workers that this host's reports on its shards count.
#pragma once

#include "basilchute/hostcluster.h"

#include <map>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// Records which numbers of workers other hosts may read in this host's row. A
/// host that claims a shard relies on the number in the row that it has read;
/// the owner does not know which renewal wrote that row, only that none before
/// its last certain one did.
class PublishedWorkers {
public:
  /// Reports older than \p MaxAge are forgotten, since orders depend on younger
  /// renewals only.
  explicit PublishedWorkers(milliseconds MaxAge) : m_maxAge(MaxAge) {}

  /// Records the reports of a renewal that is sent now.
  void onSent(TimePoint Now, const std::map<int, ShardReport> &Reports);
  /// No row that was written before the renewal sent at \p SentAt counts.
  void onCertain(std::optional<TimePoint> SentAt);
  /// Returns the largest number in a report on \p Shard under \p Epoch; zero if
  /// the renewal of the last call to onCertain() had none.
  uint32_t most(int Shard, uint64_t Epoch) const;

private:
  struct Report {
    uint64_t Epoch = 0;
    uint32_t Workers = 0;
  };

  milliseconds m_maxAge;
  std::optional<TimePoint> m_certain;
  /// Reports by shard, by the time at which they were sent.
  std::map<TimePoint, std::map<int, Report>> m_sent;
};

BASILCHUTE_NAMESPACE_END
