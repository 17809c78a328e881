/// \file
/// Interface to a worker: a sync renews leases, sends orders and returns the
/// worker's task attempts.
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

/// Kind of an order to a worker.
enum class OrderKind { Start, Checkpoint, Throttle, Stop, Forget };

/// An order to a worker about one attempt.
struct Order {
  OrderKind Kind = OrderKind::Start;
  TaskAttempt Task;
  /// For Start: the resources to reserve for the task.
  Resources Demand;
  /// For Start: the service that the task is a replica of, empty for a batch
  /// task.
  std::string Service;
  /// For Start: checkpoint to resume from, empty if there is none.
  std::string Checkpoint;
  /// For Start: run time of the task on a worker without interference.
  milliseconds WorkDuration{0};
  /// For Start: kind of work, as declared by the owner of the job or service.
  std::string WorkKind;
  /// For Throttle: percentage of processor time that the task may use.
  uint32_t ThrottlePercent = 100;
};

/// Request of one sync with a worker. `Incarnation` and `Stamp` echo the
/// worker's last report; a request without an incarnation only installs the
/// epoch and requests a report. A worker rejects orders that carry a lower
/// epoch than it has seen, another incarnation, or a stamp that is too old or
/// was already used.
struct SyncRequest {
  std::string Worker;
  std::string Shard;
  uint64_t Epoch = 0;
  std::string Incarnation;
  milliseconds Stamp{0};
  /// Lease of all renewed and started tasks; the worker counts it from `Stamp`
  /// on its own clock.
  milliseconds Lease{0};
  std::vector<TaskAttempt> Renewals;
  std::vector<Order> Orders;
};

/// State of an attempt on its worker. All states but Running are final; the
/// worker reports an attempt in a final state until it gets a Forget order.
enum class AttemptState { Running, Finished, Failed, Stopped };

/// A worker's report on one attempt.
struct TaskReport {
  TaskAttempt Task;
  AttemptState State = AttemptState::Running;
  /// Latest checkpoint, empty if there is none.
  std::string Checkpoint;
  Resources Usage;
  /// Number of requests that the task is processing.
  uint32_t InFlight = 0;
  /// True while the worker is stopping the task.
  bool IsStopping = false;
  /// Resources that the worker reserves for the task.
  Resources Demand;
  /// Where a service replica accepts requests, as HOST:PORT/PATH.
  std::string Address;
};

/// A worker's reply to a sync. If `Verdict` is not Ok, the worker executed no
/// order.
struct SyncReply {
  ResultCode Code = ResultCode::Ok;
  std::string Incarnation;
  /// Time on the worker's own clock.
  milliseconds Stamp{0};
  uint64_t Epoch = 0;
  std::vector<TaskReport> Tasks;
};

/// Interface for syncs with workers. The threading rules for callbacks are
/// those of TableStore.
class WorkerPort {
public:
  /// Fails with Unavailable (request not delivered) or OutcomeUnknown (request
  /// possibly delivered).
  using SyncDone = std::function<void(Result<SyncReply>)>;

  virtual ~WorkerPort() = default;
  /// Sends \p Request to the worker at \p Address.
  virtual void sync(const std::string &Address, SyncRequest Request,
                    SyncDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
