/// \file
/// Check that the tasks of cancelled jobs end in time.
#pragma once

#include "testing/modelworker.h"

#include <map>
#include <set>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// What the check sees of the installation at one moment.
struct StopConditions {
  TimePoint Now{};
  /// When an unplanned fault was last active; zero if there was none.
  TimePoint LastFault{};
  /// Workers that no new owner can find in the list. Their runs end with their
  /// leases.
  std::set<std::string> UnlistedWorkers;
};

/// Reports each task that still runs although the cancellation of its job was
/// acknowledged. Must be called at short intervals.
class StopCheck {
public:
  /// Longest time that a worker needs for a stop.
  static constexpr milliseconds StopTime{500};
  /// Time without a fault after the acknowledgement in which the task must end.
  static constexpr milliseconds EndTime = JobOracle::CancelTime + StopTime;

  void check(const StopConditions &Conditions, JobOracle &Oracle);

private:
  /// When a fault was last active, and when each worker was last unlisted.
  TimePoint m_lastFault{};
  std::map<std::string, TimePoint> m_unlistedAt;
  std::set<TaskName> m_reported;
};

BASILCHUTE_NAMESPACE_END
