/// \file
/// Port to one worker: one exchange that renews leases, gives orders and
/// returns what runs there.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/resources.h"
#include "basilchute/result.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One attempt of one task; attempts of a task are numbered from 1.
struct TaskAttempt {
  std::string Task;
  uint32_t Attempt = 0;
  auto operator<=>(const TaskAttempt &) const = default;
};

/// What an order asks of a worker.
enum class OrderKind { Start, Checkpoint, Throttle, Stop, Forget };

/// One order for one attempt.
struct Order {
  OrderKind Kind = OrderKind::Start;
  TaskAttempt Task;
  /// For Start: the room to keep for the task.
  Resources Demand;
  /// For Start: the service that the task answers for, empty for batch.
  std::string Service;
  /// For Start: object to resume from, empty for a first attempt.
  std::string Checkpoint;
  /// For Start: length of the work on an undisturbed worker.
  milliseconds Work{0};
  /// For Start: kind of work, as declared by its owner.
  std::string WorkKind;
  /// For Throttle: share of processor time that the task keeps.
  uint32_t ThrottlePercent = 100;
};

/// One exchange with a worker. Incarnation and stamp echo the worker's last
/// report; without an incarnation the request only installs the epoch and asks
/// for a report. A worker refuses orders of a lower epoch than it has seen, of
/// another incarnation, and with a stamp that is too old or was used before.
struct WorkerSync {
  std::string Worker;
  std::string Shard;
  uint64_t Epoch = 0;
  std::string Incarnation;
  milliseconds Stamp{0};
  /// Lease of every renewed or started task, counted from `Stamp` on the
  /// worker's own clock.
  milliseconds Lease{0};
  std::vector<TaskAttempt> Renewals;
  std::vector<Order> Orders;
};

/// State of an attempt on its worker. All but Running are final and are
/// reported until a Forget order.
enum class AttemptState { Running, Finished, Failed, Stopped };

/// What a worker says of one attempt.
struct TaskReport {
  TaskAttempt Task;
  AttemptState State = AttemptState::Running;
  /// Newest checkpoint, empty if there is none.
  std::string Checkpoint;
  Resources Usage;
  /// Requests that the task is answering now.
  uint32_t InFlight = 0;
  /// True once a Stop order is being carried out.
  bool Stopping = false;
  /// Room that the worker keeps for the task.
  Resources Demand;
  /// Where a service's task takes requests, as HOST:PORT/PATH.
  std::string Address;
};

/// A worker's answer; anything but Ok in `Verdict` means no order was taken.
struct WorkerReport {
  ResultCode Verdict = ResultCode::Ok;
  std::string Incarnation;
  milliseconds Stamp{0};
  uint64_t Epoch = 0;
  std::vector<TaskReport> Tasks;
};

/// Exchanges with workers. Callbacks run as those of TableStore do.
class WorkerPort {
public:
  /// Fails with Unavailable (not delivered) or OutcomeUnknown.
  using SyncDone = std::function<void(Result<WorkerReport>)>;

  virtual ~WorkerPort() = default;
  /// Sends \p Request to the worker at \p Address.
  virtual void sync(const std::string &Address, WorkerSync Request,
                    SyncDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
