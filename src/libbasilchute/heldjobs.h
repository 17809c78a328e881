/// \file
/// State that the owner of a shard keeps on its jobs: those whose tasks are
/// queued in part, schedules that are not due, and jobs that have ended.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/job.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Bounds what a shard's owner keeps in memory for its jobs.
class HeldJobs {
public:
  /// Memory of all jobs in bytes at the last count, with what was added since.
  size_t Bytes = 0;
  /// When the memory is counted again.
  TimePoint NextCount{};
  /// Jobs of which more tasks are ready than are queued.
  std::set<std::string> PartlyQueued;
  /// Jobs that have ended and whose tasks are held.
  std::set<std::string> Ended;

  /// Records that the next occurrence of a schedule is to be queued at \p At
  /// since the Unix epoch.
  void addLater(const std::string &Id, milliseconds At) {
    m_later.emplace(At, Id);
  }
  /// Removes and returns the schedules to be queued at \p WallTime.
  std::vector<std::string> takeDue(milliseconds WallTime);

  /// Records that nothing but the id of an ended job is held, and its stored
  /// state. None for a part, of which the home shard tells the state.
  void release(const std::string &Id, std::optional<JobState> State);
  bool isReleased(const std::string &Id) const {
    return m_released.count(Id) > 0;
  }
  std::optional<JobState> releasedState(const std::string &Id) const;
  /// Returns the memory of the released jobs in bytes.
  size_t releasedBytes() const;

private:
  std::set<std::pair<milliseconds, std::string>> m_later;
  std::unordered_map<std::string, std::optional<JobState>> m_released;
};

BASILCHUTE_NAMESPACE_END
