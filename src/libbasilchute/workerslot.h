/// \file
/// State that the owner of a shard keeps for one worker: the worker's clock,
/// poll state, the runs on it, and its free capacity.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/lagdetector.h"
#include "basilchute/pacing.h"
#include "basilchute/taskworker.h"
#include "libbasilchute/crashhistory.h"
#include "libbasilchute/fillmoves.h"
#include "libbasilchute/fillplacement.h"
#include "libbasilchute/processorleft.h"
#include "libbasilchute/runtimes.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Phase of a run for which capacity is reserved on a worker.
enum class RunPhase {
  /// No start order was sent: the worker is not stored yet, or the order is
  /// about to be sent.
  Reserved,
  /// The start order was sent; its answer is pending.
  Starting,
  /// The start order was not answered and may still be carried out.
  Unconfirmed,
  Running,
  /// A stop order was sent.
  Stopping,
};

/// A run for which capacity is reserved on a worker.
struct ReservedRun {
  RunPhase Phase = RunPhase::Starting;
  Resources Reserved;
  /// The run's demand is not known; it reserves the whole worker, also after
  /// the worker has grown.
  bool ReservesAll = false;
  /// The run has no end of its own; it lasts until its job is cancelled.
  bool LongRunning = false;
  /// Millicores that a fill run uses at full pace; zero for other runs.
  int64_t FullPaceMillicores = 0;
  /// Target of the tail latency of a serving run; zero for other runs.
  milliseconds TailTarget{0};
  /// Time on the worker's clock after which a start order that was not carried
  /// out is not carried out any more.
  milliseconds StartDeadline{0};
  /// When the run was last confirmed to be present on the worker.
  TimePoint ConfirmedAt{};
  /// Progress in percent. For a long-running run: 100 once it has started up.
  int Percent = 0;
  /// Tail latency in milliseconds of a serving run; millicores in use by other
  /// runs.
  int64_t Usage = 0;
  /// Kind of the run's task for the interference model.
  TaskKind Kind = 0;
  /// Class of tasks with whose durations the run's duration is compared.
  TaskClass Class = 0;
  /// Expected duration; zero if it was not predicted.
  RunTime Expected;
  /// When the run was ordered, or first reported by the worker if another owner
  /// ordered it, and its progress at that time.
  TimePoint ObservedSince{};
  int InitialPercent = 0;
  /// Another owner started the run, or a start order that was given up was
  /// carried out late.
  bool IsAdopted = false;
  /// Serving tasks that share the load of the run's users.
  LoadGroup Group = 0;
  /// When the tail was first measured above the target, if all measurements
  /// since have been above it.
  std::optional<TimePoint> OverTargetSince;
  /// Pace that was last ordered, in percent.
  int Pace = 100;
  /// When that pace was ordered.
  TimePoint PacedAt{};
  /// Weight of a fill run in the division of processor time.
  double FillWeight = 1;
  /// Work and progress of a fill run.
  FillRunMeter Meter;
  /// The run is to end, also if no stop order could be sent yet or none was
  /// carried out.
  bool IsStopWanted = false;
  /// When a stop order was last sent.
  TimePoint StopSentAt{};
  /// The start order was sent for a former process of the worker, and the
  /// present one may still carry it out.
  bool IsAstray = false;
  /// When the present process has confirmed a stop order for an astray run.
  std::optional<TimePoint> StopConfirmedAt;
  /// Time on the worker's clock of the first answer that shows the run to have
  /// begun.
  std::optional<milliseconds> SeenAtClock;

  /// Returns true if the start order was sent and may not have arrived yet.
  bool mayBeOnItsWay() const {
    return Phase == RunPhase::Starting || Phase == RunPhase::Unconfirmed;
  }
  /// Returns the time for which the run's tail has been above its target.
  milliseconds timeOverTarget(TimePoint Now) const;
};

/// Identifies a run: its task and the number of the run of that task.
using RunKey = std::pair<TaskName, int>;

/// Returns the maximum time by this host's clock that \p Span takes on the
/// clock of a worker or of another host, with an allowance for the way.
nanoseconds maxLocalDuration(milliseconds Span);

/// A worker of the shard, as its owner sees it.
class WorkerSlot {
public:
  explicit WorkerSlot(WorkerEntry Entry) : Entry(std::move(Entry)) {}

  WorkerEntry Entry;
  /// The worker is still in the platform's list.
  bool IsListed = true;
  /// When the worker left the list; long ago if it had left before the
  /// takeover.
  TimePoint UnlistedSince{};
  /// The worker has answered a poll with this owner's epoch, so that it rejects
  /// orders of previous owners.
  bool IsFenced = false;
  /// The worker is stored as one on which tasks may run. Nothing is started on
  /// it before.
  bool IsStored = false;
  /// A poll is pending.
  bool IsPollPending = false;
  TimePoint NextPollAt{};
  TimePoint LastAnswer{};
  /// Last answer to a poll or start order, by the local clock, and the highest
  /// time on the worker's clock in any of them.
  TimePoint AliveAt{};
  milliseconds AliveClock{0};
  /// First call without an answer since then; zero if there is none.
  TimePoint SilentAt{};
  /// Runs of this incarnation that were given up since their leases were over.
  /// Another incarnation shows that the worker crashed under them.
  std::vector<ExposedRun> LostRuns;
  /// An order has found another process at the worker's address. Nothing is
  /// started until a poll is answered.
  bool IsProcessGone = false;
  /// Consecutive polls without an answer.
  int MissedPolls = 0;
  /// Start of the worker's incarnation.
  milliseconds Incarnation{0};
  /// Start of the incarnation that answered before this one; zero if none did.
  milliseconds FormerIncarnation{0};
  /// Number of the last completion that was processed, ...
  uint64_t LastSeenCompletion = 0;
  /// ... of the last whose result is stored, ...
  uint64_t LastStoredCompletion = 0;
  /// ... and of the last that was acknowledged to the worker.
  uint64_t LastAcknowledgedCompletion = 0;
  /// Tasks of the completions after LastStoredCompletion, by number.
  std::map<uint64_t, TaskName> UnstoredCompletions;
  /// Runs for which capacity is reserved.
  std::map<RunKey, ReservedRun> Runs;
  /// No start order is sent before this time.
  TimePoint NextStartAt{};
  int ConsecutiveFailures = 0;
  /// All runs have ended by this time unless a later poll extends their leases.
  TimePoint LeaseEnd{};
  /// Start orders without an answer, with the time of their sending, also of
  /// former processes.
  std::map<RunKey, TimePoint> UnansweredStarts;
  /// Start orders for former processes may arrive until this time, and extend
  /// leases by a time on another clock, ...
  TimePoint AstrayOrdersUntil{};
  /// ... and the leases by those that have arrived are over by this time.
  TimePoint AstrayLeaseEnd{};
  /// When the pace of any fill run was last changed.
  TimePoint PaceChangedAt{};
  /// Estimate of what fill runs can use.
  ProcessorLeft Left;

  /// Records which incarnation has answered.
  void setIncarnation(milliseconds Answered);
  /// Returns false if the entry is that of an earlier incarnation than the one
  /// that answers. Its capacity and labels may not hold any more.
  bool isEntryCurrent() const;
  /// Records an answer of this incarnation that arrived at \p Now.
  void setAlive(milliseconds Clock, TimePoint Now);
  /// Records a call without an answer.
  void setSilent(TimePoint Now);
  /// Time for which the worker certainly lived after the run began.
  milliseconds knownAge(const ReservedRun &Run) const;
  /// Records that the completions up to \p Number are stored.
  void setStored(uint64_t Number);
  /// Sets the worker's clock from an answer that arrived at \p Now.
  void setClock(milliseconds Clock, TimePoint Now);
  /// Returns the worker's clock at \p Now. The result is ahead of the worker by
  /// at most 2% of the time since the last answer.
  milliseconds clockAt(TimePoint Now) const;
  /// Returns the worker's millicores, at least 1 because callers divide by
  /// them.
  double millicores() const;
  /// Returns true if the capacity counts as usable: the worker is listed, takes
  /// new tasks and answers.
  bool isUsable() const {
    return IsListed && Entry.takesTasks() && MissedPolls == 0;
  }
  /// Capacity that no run reserves.
  Resources freeCapacity() const;
  /// Capacity that no long-running run reserves: it is free or becomes free
  /// when other runs end.
  Resources eventualFreeCapacity() const;
  /// Part of the capacity that all runs are expected to use, fill runs at full
  /// pace.
  double load() const;
  /// Part of the capacity that runs other than fill runs are expected to use.
  double reservedLoad() const;
  /// Adds the last reports about all fill runs to the estimate of what they can
  /// use, and to \p Peaks.
  void observeFillRuns(FillUsePeaks &Peaks, TimePoint Now);
  /// Returns the estimate with what the fill runs ask for.
  FillRoom fillRoom(TimePoint Now) const;
  /// Returns the run as one that may be moved: only its task and job are not
  /// known here. \p Estimate is the estimated work of the task.
  FillMoveRun fillMoveRun(const ReservedRun &Run, double Estimate) const;
  /// Number of runs whose tail is above the target.
  size_t runsOverTarget() const;
  /// Millicores in use by fill runs, as last reported by the worker.
  int64_t usedFillMillicores() const;
  bool hasLabel(const std::string &Label) const;
  /// Returns the serving runs with the headroom that is forecast for them from
  /// \p Now until \p Now + \p Ahead without fill tasks.
  std::vector<ServingLoad> servingLoads(const InterferenceModel &Model,
                                        TimePoint Now,
                                        milliseconds Ahead) const;
  /// Part of the worker that fill runs use, as last reported by the worker.
  FillShares measuredFillShares() const;
  /// Part of the worker that fill runs should use at the ordered pace.
  FillShares plannedFillShares() const;
  /// Resets the state, other than the runs, that belongs to one incarnation of
  /// the worker.
  void resetIncarnation();

private:
  /// Millicores that runs other than fill runs are not expected to use.
  double leftByReservations() const;
  const Resources &reservedBy(const ReservedRun &Run) const {
    return Run.ReservesAll ? Entry.Capacity : Run.Reserved;
  }

  /// The worker's clock at its last answer, and when that answer arrived.
  milliseconds m_workerClock{0};
  TimePoint m_answeredAt{};
};

BASILCHUTE_NAMESPACE_END
