/// \file
/// Port to the workers that run tasks.
#pragma once

#include "basilchute/job.h"
#include "basilchute/result.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A worker as the platform's list describes it.
struct WorkerEntry {
  std::string Id;
  std::string Service;
  /// HOST:PORT.
  std::string Address;
  std::string FailureDomain;
  Resources Capacity;
  /// Kind and rack.
  std::vector<std::string> Labels;
  /// It leaves and takes no new work.
  bool Draining = false;
  /// Start of this life of the worker, since 1970.
  milliseconds Born{0};

  bool operator==(const WorkerEntry &) const = default;
  bool hasLabel(const std::string &Label) const {
    return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
  }
};

/// How a run ended.
enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

/// Returns the end's lower-case name.
std::string_view runEndName(RunEnd End);

/// Starts one run. All times are on the worker's clock.
struct StartOrder {
  TaskName Task;
  int Run = 0;
  std::string Payload;
  /// The run may not start after this and is killed then unless extended.
  milliseconds LeaseUntil{0};
  uint64_t Epoch = 0;
  /// Saved progress to resume from; empty for none.
  std::string Checkpoint;
  /// Approval of the worker for the task's step; empty where none is needed.
  std::string Ticket;
};

/// Stops one run, or bars it if it is not there yet.
struct StopOrder {
  TaskName Task;
  int Run = 0;
  uint64_t Epoch = 0;
};

/// Sets the share at which a run works.
struct PaceOrder {
  TaskName Task;
  int Run = 0;
  int Percent = 100;
  uint64_t Epoch = 0;
};

/// Extends the lease of all runs on a worker and asks for its lists.
struct LookOrder {
  uint64_t Epoch = 0;
  /// None extends nothing.
  std::optional<milliseconds> LeaseUntil;
  /// Ends up to this number may be forgotten by the worker.
  uint64_t NotedEnds = 0;
  /// The worker waits this long for an end before it answers.
  milliseconds Wait{0};
};

/// A run that is present on a worker.
struct RunningTask {
  TaskName Task;
  int Run = 0;
  /// Newest checkpoint, empty for none.
  std::string Checkpoint;
  /// Progress in percent. Of a long-running task: 100 once it is at work.
  int Percent = 0;
  /// Of a task with a tail target: its users' tail latency in milliseconds
  /// over the last half second. Of others: millicores in use.
  int64_t Usage = 0;
};

/// A run that ended and whose end was not noted yet.
struct EndedTask {
  /// Counts the ends of this life of the worker from 1.
  uint64_t Number = 0;
  TaskName Task;
  int Run = 0;
  RunEnd End = RunEnd::Done;
  std::string Checkpoint;
};

/// A worker's answer to a look.
struct LookReply {
  /// The worker's steady clock.
  milliseconds Clock{0};
  milliseconds Born{0};
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
};

/// Why a worker refused a start, or that it took it.
enum class StartOutcome {
  Started,
  /// Another owner with a higher epoch exists.
  Fenced,
  /// The run number is not higher than one that was stopped or ended there.
  OldRun,
  /// The order came after its own lease.
  TooLate,
  NoRoom,
  /// The worker is unhealthy and has done nothing.
  Unhealthy,
  /// Another life of the worker answered.
  WrongLife,
  /// The worker does not understand the order.
  Invalid,
  /// It needs an approval for this step.
  NoApproval,
};

/// A worker's answer to a start.
struct StartReply {
  StartOutcome Outcome = StartOutcome::Started;
  milliseconds Clock{0};
};

/// Sends orders to workers. Calls return at once; the callback runs later on
/// the caller's loop, exactly once. Without an answer the order may be carried
/// out, even seconds later: the result is then OutcomeUnknown, or Unavailable
/// if no byte was sent.
class TaskWorkers {
public:
  using StartDone = std::function<void(Result<StartReply>)>;
  /// Fails with StaleEpoch or WrongIncarnation, too.
  using LookDone = std::function<void(Result<LookReply>)>;
  /// Fails with StaleEpoch or WrongIncarnation, too.
  using OrderDone = std::function<void(Status)>;

  virtual ~TaskWorkers() = default;
  virtual void start(const WorkerEntry &To, StartOrder Order,
                     StartDone Done) = 0;
  virtual void stop(const WorkerEntry &To, StopOrder Order, OrderDone Done) = 0;
  virtual void pace(const WorkerEntry &To, PaceOrder Order, OrderDone Done) = 0;
  virtual void look(const WorkerEntry &To, LookOrder Order, LookDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
