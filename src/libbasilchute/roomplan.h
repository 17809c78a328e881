/// \file
/// Reservations with a time for tasks that find no room. Addresses a load in
/// which small tasks take all room that becomes free, so that larger ones wait
/// although much is free in small pieces.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/job.h"
#include "basilchute/resources.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Room that becomes free when a run ends.
struct RoomRelease {
  TimePoint At;
  Resources Amount;
};

/// A worker on which room can be reserved.
struct PlannedWorker {
  std::string Id;
  /// Room that no run uses and that is not kept. Negative where more is kept
  /// than is free.
  Resources Free;
  /// Expected ends of the runs that end, in any order.
  std::vector<RoomRelease> Releases;
};

/// Room that a task gets on a worker at a time.
struct RoomReservation {
  TimePoint At;
  Resources Demand;
  /// Room at that time beside the reservation, less what later starts use then.
  Resources Beside;

  /// Returns true if a task may use the worker's present room that surely ends
  /// by \p LateEnd, or fits beside the reservation.
  bool admits(const Resources &Other, TimePoint LateEnd) const {
    return LateEnd <= At || Other.fits(Beside);
  }
  /// Accounts for a task that was started.
  void take(const Resources &Other, TimePoint LateEnd) {
    if (LateEnd > At)
      Beside -= Other;
  }
};

/// Counters of a RoomPlan.
struct RoomPlanCounts {
  /// Tasks that got their first reservation.
  uint64_t Made = 0;
  /// Reservations that went to another worker, where room is free earlier.
  uint64_t Moved = 0;
  /// Tasks that started about when their first reservation said, or earlier.
  uint64_t Met = 0;
  /// Other tasks that started.
  uint64_t Missed = 0;
};

/// The reservations of a shard. Each round plans them anew from the expected
/// ends of runs, with at most one for each worker. A reservation stays on its
/// worker unless room is free clearly earlier on another one.
///
/// Not thread-safe.
class RoomPlan {
public:
  /// Maximum number of reservations. Bounds the work of a round, and the room
  /// that waits for large tasks.
  static constexpr size_t MaxReservations = 8;

  /// Begins a round. Reservations that it does not repeat are dropped at its
  /// end.
  void beginRound(std::vector<PlannedWorker> Workers, TimePoint Now);
  /// Sets the free room of the worker with an index, after tasks were started.
  void setFree(size_t Index, const Resources &Free) {
    m_workers[Index].Free = Free;
  }
  /// Reserves room for a task on the worker where it is free first. \p CanRun
  /// tells whether the task may run on the worker with an index. Returns the
  /// index and the reservation; none if no worker will have the room, or too
  /// many have a reservation. Must be called in the order of precedence.
  std::optional<std::pair<size_t, RoomReservation>>
  reserve(const TaskName &Task, const Resources &Demand,
          const std::function<bool(size_t)> &CanRun);
  void endRound();
  /// Records that a task was started.
  void onStarted(const TaskName &Task, TimePoint Now);
  const RoomPlanCounts &counts() const { return m_counts; }
  size_t reservations() const { return m_reserved.size(); }

private:
  struct Reserved {
    std::string Worker;
    /// Time of the first reservation.
    TimePoint FirstAt;
    uint64_t Round = 0;
  };
  struct Found {
    size_t Index = 0;
    RoomReservation Room;
  };
  std::optional<RoomReservation> earliest(const PlannedWorker &Worker,
                                          const Resources &Demand) const;

  std::vector<PlannedWorker> m_workers;
  /// By worker: it has a reservation in this round.
  std::vector<bool> m_isTaken;
  std::map<TaskName, Reserved> m_reserved;
  size_t m_inRound = 0;
  uint64_t m_round = 0;
  TimePoint m_now{};
  RoomPlanCounts m_counts;
};

BASILCHUTE_NAMESPACE_END
