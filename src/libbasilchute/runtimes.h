/// \file
/// Run times of tasks, learned from runs that have ended. Addresses a load
/// whose submitters' estimates are off by up to 90%, and in which some runs in
/// a hundred take several times as long as the others.
#pragma once

#include "basilchute/job.h"

#include <map>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Tasks that are expected to take about the same time.
struct RunTimeKey {
  std::string Queue;
  std::string Image;
  int Step = 0;

  auto operator<=>(const RunTimeKey &) const = default;
};

/// Expected duration of a run.
struct RunTime {
  milliseconds Median{0};
  /// Nine of ten runs are shorter.
  milliseconds Late{0};
};

/// Mean and standard deviation of a logarithm, over the last values. A value
/// far from the mean counts only up to a bound, so that a few long runs do not
/// move the mean.
struct LogMean {
  double Count = 0;
  double Mean = 0;
  double Spread = 0;

  void add(double Value);
};

/// Learned run times of one key, as they are stored.
struct StoredRunTime {
  RunTimeKey Key;
  /// Logarithm of the duration in milliseconds.
  LogMean Duration;
  /// Logarithm of the ratio of the duration to the submitter's estimate.
  LogMean Ratio;
};

/// Learns run times by queue, image and step. Where too few runs of a key have
/// ended, the submitter's estimate counts, corrected by how far off the
/// estimates of the queue were.
///
/// Not thread-safe.
class RunTimes {
public:
  /// Maximum number of keys. The key whose last run ended first is replaced.
  static constexpr size_t MaxKeys = 128;

  /// Records a run that succeeded.
  void add(const RunTimeKey &Key, milliseconds Estimate, milliseconds Duration);
  /// Returns the expected duration. \p Estimate is the submitter's, or zero.
  /// Without any evidence, the result is a guess with a late bound far off.
  RunTime expected(const RunTimeKey &Key, milliseconds Estimate) const;
  /// Returns what the next owner of the shard needs.
  std::vector<StoredRunTime> stored() const;
  /// Adds what a previous owner has stored, for keys without any run here.
  /// Values that are out of range are ignored.
  void restore(const std::vector<StoredRunTime> &Values);
  /// Returns true if a run was added since the last call of stored().
  bool hasChanged() const { return m_hasChanged; }

private:
  struct Known {
    LogMean Duration;
    LogMean Ratio;
    uint64_t LastUse = 0;
  };
  Known &at(const RunTimeKey &Key);

  std::map<RunTimeKey, Known> m_known;
  /// Logarithm of the ratio of durations to estimates, by queue.
  std::map<std::string, LogMean> m_queues;
  uint64_t m_uses = 0;
  mutable bool m_hasChanged = false;
};

/// Returns when a run that began at \p Start is expected to end. A run that is
/// older than its late bound is assumed to need as long again: among long runs,
/// the older ones have more left.
TimePoint expectedEnd(TimePoint Start, const RunTime &Expected, TimePoint Now);

BASILCHUTE_NAMESPACE_END
