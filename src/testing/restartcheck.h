/// \file
/// Check that long-running tasks that do not run are started again in time.
#pragma once

#include "testing/modelworker.h"

#include <map>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What the check sees of the installation at one moment.
struct RestartConditions {
  TimePoint Now{};
  /// When an unplanned fault was last active; zero if there was none.
  TimePoint LastFault{};
  /// Free capacity of each listed worker that is up and not draining.
  std::vector<Resources> FreeCapacity;
};

/// Reports each long-running task of an accepted job that does not run although
/// the workers have room for it twice over. Must be called at short intervals.
class RestartCheck {
public:
  /// Time after a task's last run from which the task should run again. For a
  /// task that has not run yet it counts from the job's acceptance.
  static constexpr milliseconds RestartTime{6000};
  /// A task is lost if it does not run for this long after that, with room for
  /// it all the while.
  static constexpr milliseconds IdleTime{3000};
  /// Nothing is reported until this long after an unplanned fault.
  static constexpr milliseconds CalmTime{4000};
  /// Planned work alone must not keep a task from running for longer.
  static constexpr milliseconds LostTime = RestartTime + IdleTime;

  /// Begins to check the long-running tasks of \p Value.
  void onAccepted(const Job &Value, TimePoint Now);
  /// Ends the check of a job's tasks, because it may have been cancelled.
  void onCancelling(const std::string &Job);
  /// Compares the tasks that run with those that should.
  void check(const RestartConditions &Conditions, JobOracle &Oracle);

private:
  struct CheckedTask {
    Resources Demand;
    /// When the task last ran, or when its job was accepted.
    TimePoint LastRan{};
    bool WasReported = false;
  };

  TimePoint roomSince(const Resources &Demand,
                      const RestartConditions &Conditions);

  std::map<TaskName, CheckedTask> m_tasks;
  /// Since when there has been room for two tasks, by their demand.
  std::map<std::pair<int64_t, int64_t>, TimePoint> m_roomSince;
  TimePoint m_lastFault{};
};

BASILCHUTE_NAMESPACE_END
