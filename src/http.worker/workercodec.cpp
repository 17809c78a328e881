#include "http.worker/workercodec.h"

#include "libbasilchute/rows.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {

v1::TaskAttempt encodeAttempt(const TaskAttempt &From) {
  v1::TaskAttempt Out;
  Out.set_task(From.Task);
  Out.set_attempt(From.Attempt);
  return Out;
}

TaskAttempt decodeAttempt(const v1::TaskAttempt &From) {
  return {.Task = From.task(), .Attempt = From.attempt()};
}

// In the protobuf enumerations 0 means unspecified, so their values are one
// higher than those of the C++ enumerations.
v1::WorkerOrder encodeOrder(const Order &From) {
  v1::WorkerOrder Out;
  Out.set_kind(
      static_cast<v1::WorkerOrder::Kind>(static_cast<int>(From.Kind) + 1));
  *Out.mutable_task() = encodeAttempt(From.Task);
  if (From.Kind == OrderKind::Throttle)
    Out.set_throttle_percent(From.ThrottlePercent);
  if (From.Kind != OrderKind::Start)
    return Out;
  *Out.mutable_demand() = toProto(From.Demand);
  Out.set_service(From.Service);
  Out.set_checkpoint(From.Checkpoint);
  Out.set_work_ms(From.WorkDuration.count());
  Out.set_work_kind(From.WorkKind);
  return Out;
}

Order decodeOrder(const v1::WorkerOrder &From) {
  return {.Kind = static_cast<OrderKind>(From.kind() - 1),
          .Task = decodeAttempt(From.task()),
          .Demand = fromProto(From.demand()),
          .Service = From.service(),
          .Checkpoint = From.checkpoint(),
          .WorkDuration = milliseconds(From.work_ms()),
          .WorkKind = From.work_kind(),
          .ThrottlePercent = From.throttle_percent()};
}

v1::TaskReport encodeTask(const TaskReport &From) {
  v1::TaskReport Out;
  *Out.mutable_task() = encodeAttempt(From.Task);
  Out.set_state(
      static_cast<v1::TaskReport::State>(static_cast<int>(From.State) + 1));
  Out.set_checkpoint(From.Checkpoint);
  *Out.mutable_usage() = toProto(From.Usage);
  Out.set_in_flight(From.InFlight);
  Out.set_stopping(From.IsStopping);
  *Out.mutable_demand() = toProto(From.Demand);
  Out.set_address(From.Address);
  return Out;
}

TaskReport decodeTask(const v1::TaskReport &From) {
  return {.Task = decodeAttempt(From.task()),
          .State = static_cast<AttemptState>(From.state() - 1),
          .Checkpoint = From.checkpoint(),
          .Usage = fromProto(From.usage()),
          .InFlight = From.in_flight(),
          .IsStopping = From.stopping(),
          .Demand = fromProto(From.demand()),
          .Address = From.address()};
}

using SyncResponse = v1::WorkerSyncResponse;

SyncResponse::Verdict encodeVerdict(ResultCode From) {
  switch (From) {
  case ResultCode::Ok:
    return SyncResponse::ACCEPTED;
  case ResultCode::StaleEpoch:
    return SyncResponse::STALE_EPOCH;
  case ResultCode::WrongIncarnation:
    return SyncResponse::WRONG_INCARNATION;
  default:
    return SyncResponse::STALE_STAMP;
  }
}

ResultCode decodeVerdict(SyncResponse::Verdict From) {
  switch (From) {
  case SyncResponse::ACCEPTED:
    return ResultCode::Ok;
  case SyncResponse::STALE_EPOCH:
    return ResultCode::StaleEpoch;
  case SyncResponse::WRONG_INCARNATION:
    return ResultCode::WrongIncarnation;
  default:
    return ResultCode::StaleStamp;
  }
}

} // namespace

v1::WorkerSyncRequest encodeSyncRequest(const SyncRequest &From) {
  v1::WorkerSyncRequest Out;
  Out.set_worker(From.Worker);
  Out.set_shard(From.Shard);
  Out.set_epoch(From.Epoch);
  Out.set_incarnation(From.Incarnation);
  Out.set_stamp_ms(From.Stamp.count());
  Out.set_lease_ms(From.Lease.count());
  for (const TaskAttempt &Renewal : From.Renewals)
    *Out.add_renewals() = encodeAttempt(Renewal);
  for (const Order &WorkerOrder : From.Orders)
    *Out.add_orders() = encodeOrder(WorkerOrder);
  return Out;
}

SyncRequest decodeSyncRequest(const v1::WorkerSyncRequest &From) {
  SyncRequest Out{.Worker = From.worker(),
                  .Shard = From.shard(),
                  .Epoch = From.epoch(),
                  .Incarnation = From.incarnation(),
                  .Stamp = milliseconds(From.stamp_ms()),
                  .Lease = milliseconds(From.lease_ms())};
  for (const v1::TaskAttempt &Renewal : From.renewals())
    Out.Renewals.push_back(decodeAttempt(Renewal));
  for (const v1::WorkerOrder &WorkerOrder : From.orders())
    Out.Orders.push_back(decodeOrder(WorkerOrder));
  return Out;
}

v1::WorkerSyncResponse encodeSyncReply(const SyncReply &From) {
  v1::WorkerSyncResponse Out;
  Out.set_verdict(encodeVerdict(From.Code));
  Out.set_incarnation(From.Incarnation);
  Out.set_stamp_ms(From.Stamp.count());
  Out.set_epoch(From.Epoch);
  for (const TaskReport &Task : From.Tasks)
    *Out.add_tasks() = encodeTask(Task);
  return Out;
}

SyncReply decodeSyncReply(const v1::WorkerSyncResponse &From) {
  SyncReply Out{.Code = decodeVerdict(From.verdict()),
                .Incarnation = From.incarnation(),
                .Stamp = milliseconds(From.stamp_ms()),
                .Epoch = From.epoch()};
  for (const v1::TaskReport &Task : From.tasks())
    Out.Tasks.push_back(decodeTask(Task));
  return Out;
}

BASILCHUTE_NAMESPACE_END
