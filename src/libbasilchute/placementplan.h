/// \file
/// What the owner of a shard plans beyond one round of placement: the workers
/// that are kept for finite tasks, and reservations for tasks that find no
/// room. See docs/design/placement.md.
#pragma once

#include "basilchute/jobshard.h"
#include "libbasilchute/finitedemand.h"
#include "libbasilchute/jobentry.h"
#include "libbasilchute/keptworkers.h"
#include "libbasilchute/placementround.h"
#include "libbasilchute/roomplan.h"
#include "libbasilchute/runtimes.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A task that found no room.
struct UnplacedTask {
  /// Those that should start first have the lowest rank.
  int Rank = 0;
  TimePoint WaitingSince{};
  std::string Job;
  int Position = 0;

  auto operator<=>(const UnplacedTask &) const = default;
};

/// How good the predictions of run times were.
struct PredictionCounts {
  /// Runs that succeeded whose duration was predicted, and those of them that
  /// took longer than their late bound.
  uint64_t Runs = 0;
  uint64_t LateRuns = 0;
  /// Sum of the absolute differences of duration and prediction.
  milliseconds TotalError{0};
};

/// Does nothing unless PlacementOptions::IsPlanned.
///
/// Not thread-safe.
class PlacementPlan {
public:
  /// A task gets a reservation once it has waited for this long. Shorter than
  /// the run time of most finite tasks, after which a large task would have
  /// lost as much time as it needs.
  static constexpr milliseconds ReserveAfter{300};
  /// A long-running task that never ran may go to a kept worker after this
  /// time, since an accepted task must run within 3 s.
  static constexpr milliseconds MaxWaitForOpenWorker{1000};

  explicit PlacementPlan(PlacementOptions Options) : m_options(Options) {}

  bool isOn() const { return m_options.IsPlanned; }
  /// Chooses the kept workers if that is due. \p Workers are all of the shard:
  /// one that takes no starts for a while stays kept.
  void update(const std::map<std::string, WorkerSlot> &Workers, TimePoint Now);
  /// Marks the candidates that are kept.
  void markKept(std::vector<PlacementCandidate> &Candidates) const;
  /// Returns true if the worker is kept for finite tasks.
  bool isKept(const WorkerEntry &Worker) const;
  /// Begins the reservations of a round. Returns the tasks that may get one, in
  /// order: those that found no room in the previous round.
  std::vector<UnplacedTask>
  beginRound(const std::vector<PlacementCandidate> &Candidates, TimePoint Now);
  /// Reserves room for a task on one of the candidates if it is finite.
  void reserve(std::vector<PlacementCandidate> &Candidates,
               const TaskName &Task, const Resources &Demand,
               const std::function<bool(size_t)> &CanRun);
  /// Must be called after the last reservation of the round.
  void endReservations() { m_room.endRound(); }
  /// Records a task that waits for room.
  void addUnplaced(UnplacedTask Task, TimePoint Now);
  void onStarted(const TaskName &Task, TimePoint Now) {
    m_room.onStarted(Task, Now);
  }
  /// Records the duration of a run that was expected to take \p Expected.
  void onRunEnded(const JobEntry &Entry, int Position, const RunTime &Expected,
                  milliseconds Duration);
  /// Adds a task that became ready to the demand.
  void addReady(const JobEntry &Entry, int Position, const std::string &Service,
                TimePoint Now);
  /// Returns the expected duration of a run, zero if that does not matter.
  RunTime expectedTime(const JobEntry &Entry, int Position) const;
  /// Returns the time after which the task surely has ended. The same for all
  /// tasks while the plan is off, since then their ends do not decide about
  /// places. A task with a longer time can use no worker that one with a
  /// shorter time cannot use.
  milliseconds lateTime(const JobEntry &Entry, int Position,
                        TimePoint Now) const;
  /// Returns true if the tasks get reservations with a time.
  bool canReserve(const JobStep &Step) const {
    return isOn() && !Step.LongRunning && !Step.IsFill && !Step.Gang;
  }
  /// Returns true if the worker is kept from the task for finite tasks.
  bool isBarred(const PlacementCandidate &Candidate, const JobEntry &Entry,
                int Position, TimePoint Now) const {
    return Candidate.IsKeptForFinite && isBarredFromKept(Entry, Position, Now);
  }
  /// Returns false if the worker's room is kept or reserved for others.
  bool mayUse(const PlacementCandidate &Candidate, const JobEntry &Entry,
              int Position, TimePoint Now) const;
  /// Records a task that was placed on a worker with a reservation.
  void onBackfilled() { ++m_backfilled; }
  /// Returns the key=value fields of a log line.
  std::string fields() const;
  /// Sets the counters of the plan.
  void report(JobShardCounts &Counts) const;

  FiniteDemand Demand;
  /// Run times are learned whether the plan is on or not.
  RunTimes Times;

private:
  static bool isBarredFromKept(const JobEntry &Entry, int Position,
                               TimePoint Now);
  size_t keptWorkers() const;
  int64_t keptMillicores() const;

  PlacementOptions m_options;
  /// By service.
  std::map<std::string, KeptWorkers> m_kept;
  TimePoint m_nextKeptUpdate{};
  RoomPlan m_room;
  /// Sorted; at most RoomPlan::MaxReservations.
  std::vector<UnplacedTask> m_unplaced;
  PredictionCounts m_predictions;
  uint64_t m_backfilled = 0;
};

BASILCHUTE_NAMESPACE_END
