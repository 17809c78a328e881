/// \file
/// Estimates the processor time of a worker that fill tasks can use.
///
/// Addresses the load in which serving tasks, which reserve about twice what
/// they use on average, change their use by half within some seconds, so that
/// reservations do not tell how fast fill tasks run on a worker.
#pragma once

#include "basilchute/interference.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a ProcessorLeft.
struct ProcessorLeftOptions {
  /// A fill run shows that the worker is full if it uses less than this part of
  /// what its pace allows. Reports are whole millicores over half a second, and
  /// a run that has the processor to itself uses all that it may.
  double SaturatedPart = 0.9;
  /// A run's report tells nothing until the run is this old or its pace has
  /// been in force for this long: a restart takes up to 250 ms and a report
  /// covers the last 500 ms.
  milliseconds SettleTime{750};
  /// Time constant of the mean over reports; the period that one report covers.
  milliseconds SmoothingTime{500};
  /// Time constant of the return to the estimate by reservations: a quarter of
  /// the period of about 10 s in which the load of serving tasks swings, after
  /// which a measurement tells nothing about the present.
  milliseconds DecayTime{2500};
};

/// What a worker reports about one fill run.
struct FillReport {
  /// Millicores that the run may use at its pace.
  int64_t AllowedMillicores = 0;
  /// Millicores in use over about the last half second.
  int64_t UsedMillicores = 0;
  /// Time since the run was started or its pace was last changed.
  milliseconds Age{0};
};

/// Learns how much of what their pace allows runs of each kind use at most,
/// over all workers. A kind that always waits for data must not make every
/// worker look full.
///
/// Not thread-safe.
class FillUsePeaks {
public:
  /// Adds a report about a run of \p Kind; reports of runs that have just
  /// started or changed their pace are ignored.
  void observe(TaskKind Kind, const FillReport &Report, TimePoint Now);
  /// Returns the part, from 0.5 to 1; 1 for an unknown kind.
  double partOf(TaskKind Kind, TimePoint Now) const;

private:
  struct Peak {
    double Part = 1;
    TimePoint SeenAt{};
  };
  std::map<TaskKind, Peak> m_peaks;
};

/// The estimate for one worker. It is held as the difference to the estimate by
/// reservations, so that the start or end of a task with a reservation counts
/// at once.
///
/// Not thread-safe.
class ProcessorLeft {
public:
  explicit ProcessorLeft(ProcessorLeftOptions Options = {})
      : m_options(Options) {}

  /// Adds the reports about all fill runs of the worker of one time.
  /// \p ByReservations are the millicores that reservations leave at that time;
  /// below zero counts as zero.
  void observe(const std::vector<FillReport> &Reports, double ByReservations,
               TimePoint Now);
  /// Returns the millicores that fill tasks can use together, never below zero.
  double millicores(double ByReservations, TimePoint Now) const;

private:
  /// Returns the present difference to the estimate by reservations.
  double difference(TimePoint Now) const;

  ProcessorLeftOptions m_options;
  double m_difference = 0;
  /// When the difference was last measured; none if it never was.
  std::optional<TimePoint> m_measuredAt;
};

BASILCHUTE_NAMESPACE_END
