// Syncs of a shard's owner with the workers of the shard.

#include "libbasilchute/shardmanager.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

void ShardManager::syncDueWorkers(TimePoint Now) {
  for (auto &[Id, Record] : m_workers) {
    if (Record.IsSyncInFlight || Record.info().Address.empty())
      continue;
    if (!Record.ShouldSyncNow && Now < Record.NextSyncAt)
      continue;
    sync(Record, Now);
  }
}

void ShardManager::sync(WorkerRecord &Record, TimePoint Now) {
  const SchedulerOptions &Options = m_context.Options;
  SyncRequest Request{.Worker = Record.info().Worker,
                      .Shard = m_claim.Shard,
                      .Epoch = Options.Faults.SkipFence ? 1 : m_claim.Epoch};
  if (Record.IsEpochInstalled && canExtendGrants())
    addOrders(Request, Record, Now);
  Record.IsSyncInFlight = true;
  Record.ShouldSyncNow = false;
  Record.NextSyncAt = Now + Options.SyncInterval;
  ++m_context.Counters.Syncs;
  m_context.Workers.sync(
      Record.info().Address, std::move(Request),
      [Self = weak_from_this(),
       Worker = Record.info().Worker](Result<SyncReply> Reply) {
        if (auto Manager = Self.lock())
          Manager->onSync(Worker, std::move(Reply));
      });
}

void ShardManager::addOrders(SyncRequest &Request, WorkerRecord &Record,
                             TimePoint) {
  const SchedulerOptions &Options = m_context.Options;
  Request.Incarnation = Record.incarnation();
  Request.Stamp = Record.stamp();
  Request.Lease = Options.TaskLease;
  for (const auto &[Id, Demand] : Record.reservations()) {
    TaskEntry *Entry = m_tasks.find(Id);
    if (Entry && Entry->belongsTo(Request.Worker))
      addTaskOrders(Request, *Entry);
  }
  if (Options.Faults.ReleaseAtStopOrder)
    for (const Order &TaskOrder : Request.Orders)
      if (TaskOrder.Kind == OrderKind::Stop)
        Record.release(TaskOrder.Task.Task);
  if (!isHandingOver())
    addUnplacedOrders(Request, Record);
  if (!Options.Faults.ForgetGrants)
    Record.recordGrant(Options.TaskLease, Options.ClockDriftPermille);
}

void ShardManager::addUnplacedOrders(SyncRequest &Request,
                                     const WorkerRecord &Record) {
  for (const TaskAttempt &Attempt : Record.UnplacedAttempts)
    Request.Orders.push_back({.Kind = OrderKind::Stop, .Task = Attempt});
  for (const TaskAttempt &Attempt : Record.AttemptsToForget)
    Request.Orders.push_back({.Kind = OrderKind::Forget, .Task = Attempt});
}

// Derives the orders from the task's state at every sync, so that the orders of
// a lost request are repeated without being stored.
void ShardManager::addTaskOrders(SyncRequest &Request, TaskEntry &Entry) {
  bool CanStart =
      Entry.isPlaced() || m_context.Options.Faults.StartBeforeCommit;
  if (!CanStart)
    return;
  TaskAttempt Task{.Task = Entry.Row.id(), .Attempt = Entry.Row.attempt()};
  // An attempt that the previous owner may have started is never started again:
  // the worker's first report to this owner comes before any order and shows
  // whether the attempt runs.
  if (!Entry.IsConfirmed) {
    if (isHandingOver() || !m_context.CanStart())
      return;
    Entry.IsStartSent = true;
    Request.Orders.push_back({.Kind = OrderKind::Start,
                              .Task = Task,
                              .Demand = Entry.demand(),
                              .Service = Entry.Row.service(),
                              .Checkpoint = Entry.Row.checkpoint(),
                              .WorkDuration = milliseconds(Entry.Row.work_ms()),
                              .WorkKind = Entry.Row.kind()});
    return;
  }
  Request.Renewals.push_back(Task);
  if (isHandingOver())
    return;
  if (Entry.Phase == StopPhase::Checkpoint)
    Request.Orders.push_back({.Kind = OrderKind::Checkpoint, .Task = Task});
  if (Entry.Phase != StopPhase::Stop)
    return;
  Request.Orders.push_back({.Kind = OrderKind::Stop, .Task = Task});
}

void ShardManager::onSync(const std::string &Worker, Result<SyncReply> Reply) {
  WorkerRecord *Record = findWorker(Worker);
  if (!Record)
    return;
  Record->IsSyncInFlight = false;
  if (!Reply.has_value())
    return;
  const SyncReply &Report = Reply.value();
  if (Report.Code == ResultCode::StaleEpoch || Report.Epoch > m_claim.Epoch) {
    m_isFencedOut = true;
    // A new owner is what a handover waits for.
    if (!isHandingOver())
      reportEvent("fenced_out",
                  fmt::format("shard={} epoch={} worker={} seen={}",
                              m_claim.Shard, m_claim.Epoch, Worker,
                              Report.Epoch));
    return;
  }
  if (m_isReleasing)
    return onReportWhileReleasing(*Record, Report);
  onReport(*Record, Report);
}

// Keeps only what the next extension of leases needs. The report after a
// release that was called off shows the tasks again.
void ShardManager::onReportWhileReleasing(WorkerRecord &Record,
                                          const SyncReply &Report) {
  Record.recordReport(Report, m_context.Time.now());
  Record.ShouldSyncNow |= Report.Code != ResultCode::Ok;
}

void ShardManager::onReport(WorkerRecord &Record, const SyncReply &Report) {
  TimePoint Now = m_context.Time.now();
  bool IsFirstReport = !Record.IsEpochInstalled;
  bool HasRestarted = Record.recordReport(Report, Now);
  Record.IsReachable = true;
  if (IsFirstReport)
    Record.recordEpochInstalled(Now, m_context.Options.TaskLease,
                                m_context.Options.ClockDriftPermille);
  if (IsFirstReport || Report.Code != ResultCode::Ok)
    Record.ShouldSyncNow = true;
  std::set<std::string> ReportedTasks;
  Record.UnplacedAttempts.clear();
  Record.AttemptsToForget.clear();
  for (const TaskReport &Task : Report.Tasks) {
    ReportedTasks.insert(Task.Task.Task);
    onTaskReport(Record, Task);
  }
  std::vector<std::string> MissingTasks;
  for (const auto &[Id, Demand] : Record.reservations())
    if (!ReportedTasks.contains(Id))
      MissingTasks.push_back(Id);
  for (const std::string &Id : MissingTasks) {
    TaskEntry *Entry = m_tasks.find(Id);
    if (!Entry || !Entry->belongsTo(Record.info().Worker)) {
      Record.release(Id);
      m_shouldPlace = true;
      continue;
    }
    // A rejected request started no task, so a missing task does not count as
    // lost then. A task that an accepted request started is in the report.
    bool IsRejected = Report.Code != ResultCode::Ok && !HasRestarted;
    if (Entry->isPlaced() && !Entry->IsWriting && Entry->IsStartSent &&
        !IsRejected)
      onAttemptMissing(Record, *Entry);
  }
  if (IsFirstReport)
    m_shouldPlace = true;
}

void ShardManager::onTaskReport(WorkerRecord &Record,
                                const TaskReport &Report) {
  TaskEntry *Entry = m_tasks.find(Report.Task.Task);
  bool IsCurrent = Entry && Entry->isPlaced() &&
                   Entry->Row.worker() == Record.info().Worker &&
                   Entry->Row.attempt() == Report.Task.Attempt;
  if (!IsCurrent)
    return onUnplacedAttempt(Record, Report);
  if (!Report.Checkpoint.empty())
    Entry->Checkpoint = Report.Checkpoint;
  if (Report.State != AttemptState::Running)
    return onAttemptEnded(*Entry, Report);
  if (!Entry->IsConfirmed)
    reportEvent("task_running",
                fmt::format("task={} attempt={} worker={}", Report.Task.Task,
                            Report.Task.Attempt, Record.info().Worker));
  Entry->IsConfirmed = true;
  Entry->IsStartSent = true;
  Entry->Address = Report.Address;
  Entry->Usage = Report.Usage;
}

void ShardManager::onUnplacedAttempt(WorkerRecord &Record,
                                     const TaskReport &Report) {
  const std::string &Id = Report.Task.Task;
  if (Report.State == AttemptState::Running) {
    Record.UnplacedAttempts.insert(Report.Task);
    Record.ShouldSyncNow |= !Report.IsStopping;
    if (!Record.reservations().contains(Id))
      Record.reserve(Id, Report.Demand, !Report.Address.empty());
    return;
  }
  Record.AttemptsToForget.insert(Report.Task);
  Record.ShouldSyncNow = true;
  TaskEntry *Entry = m_tasks.find(Id);
  if (Entry && Entry->belongsTo(Record.info().Worker))
    return;
  Record.release(Id);
  m_shouldPlace = true;
}

// The attempt is missing from the worker's report, because its Start order did
// not arrive or because it ended with an earlier incarnation of the worker, or
// all leases on an unreachable worker have expired. In each case the attempt
// does not run there.
void ShardManager::onAttemptMissing(WorkerRecord &Record, TaskEntry &Entry) {
  ++m_context.Counters.LostAttempts;
  Record.release(Entry.Row.id());
  v1::TaskRow Row = Entry.Row;
  Row.set_reason("lost on worker " + Record.info().Worker);
  if (!Entry.Checkpoint.empty())
    Row.set_checkpoint(Entry.Checkpoint);
  reportEvent("task_lost", fmt::format("task={} attempt={} worker={}", Row.id(),
                                       Row.attempt(), Record.info().Worker));
  returnToWaiting(Entry, std::move(Row));
}

void ShardManager::onAttemptEnded(TaskEntry &Entry, const TaskReport &Report) {
  if (Entry.IsWriting)
    return;
  WorkerRecord *Record = findWorker(Entry.Row.worker());
  Record->release(Entry.Row.id());
  m_shouldPlace = true;
  m_stoppingTasks.erase(Entry.Row.id());
  v1::TaskRow Row = Entry.Row;
  if (!Report.Checkpoint.empty())
    Row.set_checkpoint(Report.Checkpoint);
  switch (Report.State) {
  case AttemptState::Finished:
    ++m_context.Counters.FinishedTasks;
    Row.set_state(v1::TASK_DONE);
    return commitFinal(Entry, std::move(Row));
  case AttemptState::Failed:
    ++m_context.Counters.FailedAttempts;
    Row.set_failures(Row.failures() + 1);
    Row.set_reason("failed on worker " + Row.worker());
    Entry.NotBefore = m_context.Time.now() +
                      m_context.Options.FailureBackoff * Row.failures();
    if (Row.failures() < m_context.Options.MaxFailures)
      return returnToWaiting(Entry, std::move(Row));
    Row.set_state(v1::TASK_FAILED);
    return commitFinal(Entry, std::move(Row));
  default:
    if (Entry.IsEviction) {
      ++m_context.Counters.Evictions;
      Row.set_evictions(Row.evictions() + 1);
    }
    Row.set_reason("stopped on worker " + Row.worker());
    return returnToWaiting(Entry, std::move(Row));
  }
}

void ShardManager::checkUnreachableWorkers(TimePoint Now) {
  const SchedulerOptions &Options = m_context.Options;
  for (auto &[Id, Record] : m_workers) {
    if (Record.IsReachable &&
        Now - Record.LastReportAt > Options.UnreachableAfter) {
      Record.IsReachable = false;
      reportEvent("worker_unreachable",
                  fmt::format("worker={} shard={}", Id, m_claim.Shard));
    }
    if (Record.IsReachable || Record.reservations().empty())
      continue;
    bool HaveExpired =
        Record.haveLeasesExpired(Now) || (Options.Faults.IgnoreLeases);
    if (!HaveExpired)
      continue;
    std::vector<std::string> Tasks;
    for (const auto &[Task, Demand] : Record.reservations())
      Tasks.push_back(Task);
    for (const std::string &Task : Tasks) {
      TaskEntry *Entry = m_tasks.find(Task);
      if (!Entry || !Entry->belongsTo(Id))
        Record.release(Task);
      else if (Entry->isPlaced() && !Entry->IsWriting)
        onAttemptMissing(Record, *Entry);
    }
    m_shouldPlace = true;
  }
}

BASILCHUTE_NAMESPACE_END
