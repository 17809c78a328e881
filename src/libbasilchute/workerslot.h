/// \file
/// One worker of a shard: its clock, its lists, and the room on it.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/pacing.h"
#include "basilchute/progress.h"
#include "basilchute/taskworker.h"

#include <map>
#include <optional>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

/// What is known of a run that takes room on a worker.
enum class RunPhase {
  /// Ordered, not answered.
  Starting,
  /// The order had no answer; it may still be carried out.
  Unsure,
  Running,
  Stopping,
};

/// A run that takes room on a worker.
struct HeldRun {
  RunPhase Phase = RunPhase::Starting;
  Resources Reserved;
  /// It runs until its job is cancelled.
  bool LongRunning = false;
  /// Millicores that the run takes from what others leave; zero for others.
  int64_t FillMillicores = 0;
  /// Bound on its users' tail latency; zero for none.
  milliseconds TailTarget{0};
  /// On the worker's clock: an order not carried out by then never is.
  milliseconds StartUntil{0};
  /// When the run was last known to be there.
  TimePoint Confirmed{};
  int Percent = 0;
  int64_t Usage = 0;
  /// Kind of the run's task.
  TaskKind Kind = 0;
  /// What the run's time is compared with.
  TaskClass Class = 0;
  /// When it was ordered, or first seen if another owner ordered it, and its
  /// progress at that time.
  TimePoint Began{};
  int BeganPercent = 0;
  bool Adopted = false;
  /// Serving tasks that share the run's users.
  LoadGroup Group = 0;
  /// When its tail was first seen above the target, if it has been so since.
  std::optional<TimePoint> OverSince;
  /// Share at which it was told to work.
  int Pace = 100;
  /// When it was told to work at that share.
  TimePoint PacedAt{};
  /// When a stop was last sent.
  TimePoint StopSent{};

  /// Time for which the run's tail has been above its target.
  milliseconds overFor(TimePoint Now) const;
};

/// Name and number of a run.
using RunKey = std::pair<TaskName, int>;

/// A worker of the shard.
class WorkerSlot {
public:
  explicit WorkerSlot(WorkerEntry Entry) : Entry(std::move(Entry)) {}

  WorkerEntry Entry;
  /// Still in the platform's list.
  bool Listed = true;
  /// It has answered a look with this owner's epoch.
  bool Fenced = false;
  bool Looking = false;
  TimePoint NextLook{};
  TimePoint LastAnswer{};
  /// Looks in a row that had no answer.
  int MissedLooks = 0;
  milliseconds Born{0};
  /// Ends up to this number were taken into account ...
  uint64_t SeenEnds = 0;
  /// ... and up to this one are stored.
  uint64_t StoredEnds = 0;
  /// ... and were told to the worker.
  uint64_t NotedEnds = 0;
  std::map<RunKey, HeldRun> Held;
  /// No starts before this.
  TimePoint NoStartBefore{};
  int FailuresInARow = 0;
  /// No run can outlive this unless a later look extends it.
  TimePoint LeaseEnd{};
  /// When fill runs were last slowed or sped up.
  TimePoint PaceChanged{};

  /// Takes the worker's clock from an answer that arrived at \p Now.
  void setClock(milliseconds Clock, TimePoint Now);
  /// Returns the worker's clock at \p Now; at most 2% of the time since the
  /// last answer ahead.
  milliseconds clockAt(TimePoint Now) const;
  /// Room that no held run takes.
  Resources room() const;
  /// Room that no long-running run takes: it is or becomes free.
  Resources movableRoom() const;
  /// Part of the capacity that held runs are expected to use.
  double load() const;
  /// The same without fill runs.
  double reservedLoad() const;
  /// Runs whose tail is above its target.
  size_t runsOverTarget() const;
  /// Millicores that fill runs use, by the last measurement.
  int64_t usedMillicores() const;
  bool hasLabel(const std::string &Label) const;
  /// Serving runs that are at work, with what is expected of them for the next
  /// \p Ahead if there were no fill tasks.
  std::vector<ServingLoad> serving(const InterferenceModel &Model,
                                   TimePoint Now, milliseconds Ahead) const;
  /// Part of the worker that fill runs use, by the last measurement.
  FillShares fillShares() const;
  /// Part of the worker that fill runs are meant to use at their pace.
  FillShares plannedShares() const;
  /// Forgets everything that belongs to one life of the worker.
  void forgetLife();

private:
  /// The capacity, never zero.
  double millicores() const;

  milliseconds m_clock{0};
  TimePoint m_clockAt{};
};

BASILCHUTE_NAMESPACE_END
