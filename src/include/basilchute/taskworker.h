/// \file
/// Interface to the workers that run tasks.
#pragma once

#include "basilchute/job.h"
#include "basilchute/result.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A worker as described by the platform's list of workers.
struct WorkerEntry {
  std::string Id;
  std::string Service;
  /// HOST:PORT.
  std::string Address;
  std::string FailureDomain;
  Resources Capacity;
  /// Labels that name the worker's kind and rack.
  std::vector<std::string> Labels;
  /// The worker is about to leave and takes no new work.
  bool IsDraining = false;
  /// The operator evacuates the worker's failure domain: nothing is started
  /// here, and what runs goes on. Set by the host, not by the platform's list.
  bool IsEvacuated = false;
  /// Start time of this incarnation of the worker, since the Unix epoch.
  milliseconds Incarnation{0};

  bool operator==(const WorkerEntry &) const = default;
  bool hasLabel(const std::string &Label) const {
    return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
  }
  /// Returns true if tasks may be started on the worker.
  bool takesTasks() const { return !IsDraining && !IsEvacuated; }
  /// Returns false if the worker's capacity has shrunk to nothing. Such a
  /// worker keeps its runs and takes no others, not even tasks that reserve no
  /// processor time.
  bool hasCapacity() const {
    return Capacity.Millicores > 0 && Capacity.MemoryMib > 0;
  }
  /// Returns true if a task of \p Step fits on the worker while nothing else
  /// runs there.
  bool canHold(const JobStep &Step) const {
    return hasCapacity() && Step.reservation().fits(Capacity);
  }
};

/// How a run ended.
enum class RunOutcome {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  GangMemberEnded,
  GangTimedOut
};

/// Returns the lower-case name of \p Outcome.
std::string_view runOutcomeName(RunOutcome Outcome);

/// Order to start one run of a task. All times are on the clock of the process
/// that the order is for.
///
/// Orders hold for one process of a worker, which is named by the start of its
/// incarnation: the next one under the same id has a clock of its own, and no
/// runs. An order reaches that process or none. If no process is named, the
/// order reaches whichever is there.
struct StartOrder {
  TaskName Task;
  int Run = 0;
  /// Process that the order is for; zero for any.
  milliseconds Incarnation{0};
  std::string Payload;
  /// End of the run's lease: the worker does not start the run after this time
  /// and kills it at this time unless the lease has been extended.
  milliseconds LeaseUntil{0};
  uint64_t Epoch = 0;
  /// Checkpoint to resume from; empty for none.
  std::string Checkpoint;
  /// Ticket of the worker's approval for the task's step; empty if no approval
  /// is needed.
  std::string Ticket;
};

/// Order to stop one run, or to prevent its start if its start order has not
/// reached the worker yet.
struct StopOrder {
  TaskName Task;
  int Run = 0;
  /// As in StartOrder.
  milliseconds Incarnation{0};
  uint64_t Epoch = 0;
};

/// Order that sets the pace of a run: the percentage at which it may work.
struct PaceOrder {
  TaskName Task;
  int Run = 0;
  /// As in StartOrder.
  milliseconds Incarnation{0};
  int Percent = 100;
  uint64_t Epoch = 0;
};

/// Poll of a worker: extends the leases of all its runs and requests its
/// running tasks and completions.
///
/// Leases and acknowledgements hold for the process that has answered the last
/// poll: another one under the same id has a clock and completions of its own.
/// A poll with any of them reaches that process or none.
struct PollOrder {
  /// Returns true if the poll is for the process that answered last only.
  bool isForOneProcess() const {
    return LeaseUntil.has_value() || AcknowledgedCompletions > 0;
  }

  uint64_t Epoch = 0;
  /// Process that leases and acknowledgements are for; zero for the one that
  /// has answered last.
  milliseconds Incarnation{0};
  /// New end of the leases; none leaves the leases unchanged.
  std::optional<milliseconds> LeaseUntil;
  /// Acknowledges the completions up to this number, which the worker may then
  /// drop.
  uint64_t AcknowledgedCompletions = 0;
  /// Maximum time for which the worker waits for a completion before it
  /// answers.
  milliseconds Wait{0};
};

/// A run that is in progress on a worker.
struct RunningTask {
  TaskName Task;
  int Run = 0;
  /// Latest checkpoint; empty for none.
  std::string Checkpoint;
  /// Progress in percent. For a long-running task, 100 once it is operational.
  int Percent = 0;
  /// For a task with a tail-latency target: the tail latency that its users saw
  /// over the last half second, in milliseconds. For other tasks: millicores in
  /// use.
  int64_t Usage = 0;
};

/// A completion that has not been acknowledged yet.
struct Completion {
  /// Sequence number among the completions of this incarnation of the worker,
  /// starting at 1.
  uint64_t Number = 0;
  TaskName Task;
  int Run = 0;
  RunOutcome Outcome = RunOutcome::Done;
  std::string Checkpoint;
};

/// A worker's answer to a poll.
struct PollReply {
  /// Time on the worker's steady clock.
  milliseconds Clock{0};
  milliseconds Incarnation{0};
  std::vector<RunningTask> Running;
  std::vector<Completion> Completions;
  /// The worker may have further completions, later than these. A run that the
  /// answer does not name may have ended.
  bool HasMoreCompletions = false;
};

/// Whether a worker accepted a start order, or why it refused the order.
enum class StartOutcome {
  Started,
  /// The worker knows of another owner with a higher epoch.
  StaleEpoch,
  /// The run number is not higher than that of a run of the same task that was
  /// stopped or ended on this worker.
  StaleRun,
  /// The order arrived after the end of its lease.
  TooLate,
  NoRoom,
  /// The worker is unhealthy; the order had no effect.
  Unhealthy,
  /// Another incarnation of the worker is at its address.
  WrongIncarnation,
  /// The worker could not interpret the order.
  Invalid,
  /// The worker needs an approval for the task's step.
  NoApproval,
};

/// A worker's answer to a start order.
struct StartReply {
  StartOutcome Outcome = StartOutcome::Started;
  milliseconds Clock{0};
  /// Time for which the order waited for a call that showed which process is at
  /// the other end of its connection, and the round trip of that call; zero if
  /// there was none.
  nanoseconds Waited{0};
  nanoseconds ProbeRoundTrip{0};
};

/// Sends orders to workers. Calls return immediately; the callback runs later
/// on the caller's event loop, exactly once. An order that is not answered may
/// still be carried out, even seconds later: its result is OutcomeUnknown, or
/// Unavailable if no byte of it was sent. WrongIncarnation means too that no
/// byte was sent, or that the receiver has refused the call.
class TaskWorkers {
public:
  using StartDone = std::function<void(Result<StartReply>)>;
  /// May also fail with StaleEpoch or WrongIncarnation. Unavailable if the poll
  /// is for one process and that one cannot be reached for certain.
  using PollDone = std::function<void(Result<PollReply>)>;
  /// May also fail with StaleEpoch or WrongIncarnation.
  using OrderDone = std::function<void(Status)>;

  virtual ~TaskWorkers() = default;
  virtual void start(const WorkerEntry &Worker, StartOrder Order,
                     StartDone Done) = 0;
  virtual void stop(const WorkerEntry &Worker, StopOrder Order,
                    OrderDone Done) = 0;
  virtual void pace(const WorkerEntry &Worker, PaceOrder Order,
                    OrderDone Done) = 0;
  virtual void poll(const WorkerEntry &Worker, PollOrder Order,
                    PollDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
