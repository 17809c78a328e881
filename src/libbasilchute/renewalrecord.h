/// \file
/// What the renewals of a host's row tell it about its ownership of shards.
#pragma once

#include "basilchute/clock.h"

#include <map>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// Records the renewals of this host's row, and whether another host may have
/// claimed one of this host's shards between two of them. A renewal alone does
/// not prove ownership; after a gap the owner rows must be read again.
class RenewalRecord {
public:
  /// Another host claims a shard only if this host's row has not changed for
  /// longer than \p MaxUnclaimedAge.
  explicit RenewalRecord(nanoseconds MaxUnclaimedAge)
      : m_maxUnclaimedAge(MaxUnclaimedAge) {}

  /// Returns true if a renewal that was sent at \p SentAt is newer than all
  /// others that were answered.
  bool isNewer(TimePoint SentAt) const { return !m_last || SentAt > *m_last; }
  /// Returns true if a shard may have been claimed before the renewal that is
  /// answered at \p Now takes effect. It may have taken effect at any time
  /// until then.
  bool hasGap(TimePoint Now) const {
    return m_last && Now > *m_last + m_maxUnclaimedAge;
  }
  /// Returns the time from the last renewal to \p SentAt; zero for the first.
  nanoseconds sinceLast(TimePoint SentAt) const {
    return m_last ? SentAt - *m_last : nanoseconds(0);
  }
  /// Records a renewal. After a gap, setUnverified() must have been called for
  /// all owned shards.
  void add(TimePoint SentAt);
  /// The owner row of \p Shard must be read at \p Now or later.
  void setUnverified(int Shard, TimePoint Now) { m_unverified[Shard] = Now; }
  /// The owner row of \p Shard was read by a request sent at \p SentAt, and if
  /// it names another host the shard was given up.
  void onOwnerRead(int Shard, TimePoint SentAt);

  /// Returns true if this host certainly owned its shards at the last renewal.
  bool isCertain() const { return m_unverified.empty(); }
  /// Returns true if the last renewal at which this host certainly owned its
  /// shards is younger than \p Age.
  bool isYoungerThan(nanoseconds Age, TimePoint Now) const {
    return m_lastCertain && Now < *m_lastCertain + Age;
  }

  /// Returns when the last renewal at which this host certainly owned its
  /// shards was sent.
  std::optional<TimePoint> lastCertain() const { return m_lastCertain; }

private:
  nanoseconds m_maxUnclaimedAge;
  /// Send time of the last renewal, ...
  std::optional<TimePoint> m_last;
  /// ... and of the last after which this host certainly owned its shards.
  std::optional<TimePoint> m_lastCertain;
  /// Shards whose owner rows must be read, with the time from which on.
  std::map<int, TimePoint> m_unverified;
};

BASILCHUTE_NAMESPACE_END
