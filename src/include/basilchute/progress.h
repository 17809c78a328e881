/// \file
/// Tells runs that lag behind others of their class, as they do on a worker
/// that is slow or hangs although it answers.
#pragma once

#include "basilchute/clock.h"

#include <optional>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Tasks that are expected to take about the same time: those of one queue and
/// image. A small number that the caller gives to each.
using TaskClass = int;

/// Settings of a ProgressWatch.
struct ProgressOptions {
  /// Ends after which a class has a usual time.
  int LeastEnds = 8;
  /// Weight of one end in the usual time.
  double Gain = 0.05;
  /// A run lags if at its speed a whole task would take this many times the
  /// usual time ...
  double Factor = 2.5;
  /// ... and this many times the time of the other tasks of its step; at least
  /// this many must be known.
  double SiblingFactor = 2.2;
  size_t LeastSiblings = 2;
  /// Time that stopping it and starting it elsewhere takes.
  milliseconds MoveTime{400};
  /// Runs are not judged sooner.
  milliseconds LeastAge{600};
};

/// What was seen of a run's progress.
struct ProgressSeen {
  TaskClass Class = 0;
  /// Time since it was first seen.
  milliseconds Age{0};
  /// Progress since then, in percent of the task.
  int Gained = 0;
};

/// Learns the usual time of each class from runs that ended, and compares.
///
/// Not safe for several threads.
class ProgressWatch {
public:
  explicit ProgressWatch(ProgressOptions Options = {}) : m_options(Options) {}

  /// A run of \p Class did a whole task in \p Took.
  void ended(TaskClass Class, milliseconds Took);
  /// Returns the usual time, or none while too few have ended.
  std::optional<milliseconds> usual(TaskClass Class) const;
  /// Returns true if the run is so slow that it would end sooner elsewhere.
  /// \p Siblings are the whole times of other tasks of the step, those that
  /// run on by their speed so far: tasks of one step are alike, those of a
  /// class need not be.
  bool isLagging(const ProgressSeen &Run,
                 std::vector<milliseconds> Siblings) const;
  /// Returns false if isLagging() is, whatever the siblings.
  bool couldLag(const ProgressSeen &Run) const;
  /// Returns the time that the run needs for a whole task at its speed, or none
  /// if it has shown no progress.
  static std::optional<milliseconds> wholeTime(const ProgressSeen &Run);

private:
  struct Known {
    int Ends = 0;
    double MeanMs = 0;
  };

  ProgressOptions m_options;
  std::vector<Known> m_classes;
};

BASILCHUTE_NAMESPACE_END
