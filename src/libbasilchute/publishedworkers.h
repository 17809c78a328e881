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
/// its last certain one did, unless that was not answered and took effect late.
class PublishedWorkers {
public:
  /// Renewals that were sent longer than \p MaxAge ago are forgotten.
  explicit PublishedWorkers(milliseconds MaxAge) : m_maxAge(MaxAge) {}

  /// Records the reports of a renewal that is sent at \p Now.
  void onSent(TimePoint Now, const std::map<int, ShardReport> &Reports);
  /// The renewal that was sent at \p SentAt has taken effect or not.
  void onAnswered(TimePoint SentAt, bool HasTakenEffect);
  /// This host certainly owned its shards at the renewal sent at \p SentAt.
  void onCertain(std::optional<TimePoint> SentAt);
  /// Returns the largest number in a report on \p Shard under \p Epoch; zero if
  /// the row may have no such report.
  uint32_t most(int Shard, uint64_t Epoch) const;

private:
  struct Renewal {
    bool IsAnswered = false;
    std::map<int, ShardReport> Reports;
  };

  milliseconds m_maxAge;
  bool m_hasCertain = false;
  /// Renewals that may have written the row, by the time of sending.
  std::map<TimePoint, Renewal> m_sent;
};

BASILCHUTE_NAMESPACE_END
