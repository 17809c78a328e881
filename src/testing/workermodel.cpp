#include "testing/workermodel.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

ResultCode WorkerModel::validate(const SyncRequest &Request,
                                 milliseconds Now) const {
  if (Request.Epoch < m_epoch)
    return ResultCode::StaleEpoch;
  if (Request.Incarnation.empty())
    return ResultCode::Ok;
  if (Request.Incarnation != m_incarnation)
    return ResultCode::WrongIncarnation;
  // A stamp is accepted once, so that a duplicated or delayed request cannot
  // repeat orders that were superseded in the meantime.
  bool IsUsed = Request.Stamp <= m_lastAcceptedStamp;
  if (IsUsed || Now - Request.Stamp > MaxStampAge)
    return ResultCode::StaleStamp;
  return ResultCode::Ok;
}

SyncReply WorkerModel::sync(const SyncRequest &Request, milliseconds Now) {
  advance(Now);
  SyncReply Out{.Code = validate(Request, Now),
                .Incarnation = m_incarnation,
                .Stamp = std::max(Now, m_lastReportedStamp + milliseconds(1))};
  m_lastReportedStamp = Out.Stamp;
  if (Out.Code != ResultCode::StaleEpoch)
    m_epoch = Request.Epoch;
  Out.Epoch = m_epoch;
  if (Out.Code == ResultCode::Ok && !Request.Incarnation.empty()) {
    m_lastAcceptedStamp = Request.Stamp;
    milliseconds LeaseEnd = Request.Stamp + Request.Lease;
    for (const TaskAttempt &Renewed : Request.Renewals) {
      auto It = m_tasks.find(Renewed.Task);
      if (It != m_tasks.end() && It->second.Id == Renewed)
        It->second.LeaseEnd = std::max(It->second.LeaseEnd, LeaseEnd);
    }
    for (const Order &NewOrder : Request.Orders)
      execute(NewOrder, LeaseEnd, Now);
  }
  advance(Now);
  for (const auto &[Name, Task] : m_tasks)
    Out.Tasks.push_back({.Task = Task.Id,
                         .State = Task.State,
                         .Checkpoint = Task.Checkpoint,
                         .Usage = Task.Demand,
                         .InFlight = Task.InFlight,
                         .IsStopping = Task.IsStopping,
                         .Demand = Task.Demand,
                         .Address = AddressOf && !Task.Service.empty()
                                        ? AddressOf(Task)
                                        : std::string()});
  return Out;
}

void WorkerModel::execute(const Order &NewOrder, milliseconds LeaseEnd,
                          milliseconds) {
  if (NewOrder.Kind == OrderKind::Start)
    return start(NewOrder, LeaseEnd);
  auto It = m_tasks.find(NewOrder.Task.Task);
  if (It == m_tasks.end() || It->second.Id != NewOrder.Task)
    return;
  ModelTask &Task = It->second;
  if (NewOrder.Kind == OrderKind::Forget) {
    if (Task.State != AttemptState::Running)
      m_tasks.erase(It);
    return;
  }
  if (Task.State != AttemptState::Running)
    return;
  if (NewOrder.Kind == OrderKind::Checkpoint)
    checkpoint(Task);
  if (NewOrder.Kind == OrderKind::Stop)
    Task.IsStopping = true;
}

void WorkerModel::start(const Order &NewOrder, milliseconds LeaseEnd) {
  auto It = m_tasks.find(NewOrder.Task.Task);
  if (It != m_tasks.end() && It->second.Id.Attempt >= NewOrder.Task.Attempt) {
    if (It->second.Id == NewOrder.Task)
      It->second.LeaseEnd = std::max(It->second.LeaseEnd, LeaseEnd);
    return;
  }
  ModelTask NewTask{.Id = NewOrder.Task,
                    .Demand = NewOrder.Demand,
                    .Service = NewOrder.Service,
                    .Checkpoint = NewOrder.Checkpoint,
                    .ResumedFrom = NewOrder.Checkpoint,
                    .Work = NewOrder.WorkDuration,
                    .LeaseEnd = LeaseEnd};
  size_t Slash = NewOrder.Checkpoint.rfind('/');
  if (Slash != std::string::npos)
    NewTask.Progress = milliseconds(
        std::strtoll(NewOrder.Checkpoint.c_str() + Slash + 1, nullptr, 10));
  ModelTask &Task = m_tasks[NewOrder.Task.Task] = std::move(NewTask);
  if (OnStart)
    OnStart(Task);
  if (ShouldFailOnStart && ShouldFailOnStart(Task))
    end(Task, AttemptState::Failed);
}

void WorkerModel::checkpoint(ModelTask &Task) {
  if (!Task.Service.empty())
    return;
  Task.Checkpoint = fmt::format("checkpoint/{}/{}/{}", Task.Id.Task,
                                Task.Id.Attempt, Task.Progress.count());
}

void WorkerModel::end(ModelTask &Task, AttemptState State) {
  Task.State = State;
  if (OnEnd)
    OnEnd(Task);
}

void WorkerModel::advance(milliseconds Now) {
  milliseconds Elapsed = Now - m_now;
  m_now = Now;
  for (auto &[Name, Task] : m_tasks) {
    if (Task.State != AttemptState::Running)
      continue;
    bool LeaseExpired = Now >= Task.LeaseEnd;
    Task.Progress += Elapsed;
    if (Task.Service.empty() && Task.Progress >= Task.Work && !LeaseExpired) {
      end(Task, AttemptState::Finished);
      continue;
    }
    bool IsDrained = Task.IsStopping && Task.InFlight == 0;
    if (!LeaseExpired && !IsDrained)
      continue;
    if (!LeaseExpired)
      checkpoint(Task);
    end(Task, AttemptState::Stopped);
  }
}

void WorkerModel::restart(std::string Incarnation) {
  for (auto &[Name, Task] : m_tasks)
    if (Task.State == AttemptState::Running)
      end(Task, AttemptState::Stopped);
  m_tasks.clear();
  m_epoch = 0;
  m_lastAcceptedStamp = milliseconds(-1);
  m_incarnation = std::move(Incarnation);
}

Resources WorkerModel::used() const {
  Resources Out;
  for (const auto &[Name, Task] : m_tasks)
    if (Task.State == AttemptState::Running)
      Out += Task.Demand;
  return Out;
}

BASILCHUTE_NAMESPACE_END
