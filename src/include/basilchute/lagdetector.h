/// \file
/// Detects stragglers: runs that are much slower than other runs of their
/// class, as on a worker that is slow or hangs but still answers polls.
#pragma once

#include "basilchute/clock.h"

#include <optional>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Identifies the tasks of one queue and image, which are expected to take
/// about the same time. The user of this header assigns small numbers.
using TaskClass = int;

/// Settings of a LagDetector.
struct LagDetectorOptions {
  /// Number of completions from which a class has a usual duration.
  int MinCompletions = 8;
  /// Weight of one completion in the moving average of durations.
  double SmoothingFactor = 0.05;
  /// A run lags if its extrapolated duration exceeds the usual duration of its
  /// class by this factor ...
  double ClassFactor = 2.5;
  /// ... and the median duration of its siblings, the other tasks of its step,
  /// by this factor. The durations of \p MinSiblings siblings must be known.
  double SiblingFactor = 2.2;
  size_t MinSiblings = 2;
  /// Time that it takes to stop a run and start it on another worker.
  milliseconds RestartTime{400};
  /// Younger runs are never considered to lag.
  milliseconds MinAge{600};
};

/// Observed progress of a run.
struct RunProgress {
  TaskClass Class = 0;
  /// Time since the run was first observed.
  milliseconds Age{0};
  /// Progress since the run was first observed, in percent of the task.
  int PercentGained = 0;
};

/// Learns the usual duration of each class from completed runs and compares
/// other runs with it.
///
/// Not thread-safe.
class LagDetector {
public:
  explicit LagDetector(LagDetectorOptions Options = {}) : m_options(Options) {}

  /// Records that a run of \p Class completed a whole task in \p Duration.
  void addCompletion(TaskClass Class, milliseconds Duration);
  /// Returns the usual duration, or none while too few runs have completed.
  std::optional<milliseconds> usualDuration(TaskClass Class) const;
  /// Returns true if the run is so slow that it would end sooner if it were
  /// restarted on another worker. \p Siblings are the durations of the other
  /// tasks of the step, extrapolated for those that still run. Siblings are
  /// compared because tasks of one step are alike, while the sizes of tasks of
  /// one class can differ.
  bool isLagging(const RunProgress &Run,
                 std::vector<milliseconds> Siblings) const;
  /// Returns false if isLagging() would return false for any siblings.
  bool couldLag(const RunProgress &Run) const;
  /// Returns the duration of the whole task, extrapolated from the progress so
  /// far, or none if the run has made no progress.
  static std::optional<milliseconds>
  extrapolatedDuration(const RunProgress &Run);

private:
  struct ClassStats {
    int Completions = 0;
    double MeanMs = 0;
  };

  LagDetectorOptions m_options;
  std::vector<ClassStats> m_classes;
};

BASILCHUTE_NAMESPACE_END
