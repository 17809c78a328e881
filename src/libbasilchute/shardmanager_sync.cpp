// Syncs of a shard's owner with the workers of the shard.

#include "libbasilchute/shardmanager.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

void ShardManager::syncDueWorkers(TimePoint Now) {
  for (auto &[Id, Link] : m_workers) {
    if (Link.IsSyncInFlight || Link.info().Address.empty())
      continue;
    if (!Link.ShouldSyncNow && Now < Link.NextSyncAt)
      continue;
    sync(Link, Now);
  }
}

void ShardManager::sync(WorkerRecord &Link, TimePoint Now) {
  const SchedulerOptions &Options = m_context.Options;
  SyncRequest Request{.Worker = Link.info().Worker,
                      .Shard = m_claim.Shard,
                      .Epoch = Options.Faults.SkipFence ? 1 : m_claim.Epoch};
  if (Link.IsEpochInstalled && m_context.CanExtendGrants())
    addOrders(Request, Link, Now);
  Link.IsSyncInFlight = true;
  Link.ShouldSyncNow = false;
  Link.NextSyncAt = Now + Options.SyncInterval;
  ++m_context.Counters.Syncs;
  m_context.Workers.sync(Link.info().Address, std::move(Request),
                         [Self = weak_from_this(), Worker = Link.info().Worker](
                             Result<SyncReply> Reply) {
                           if (auto Keeper = Self.lock())
                             Keeper->onSync(Worker, std::move(Reply));
                         });
}

void ShardManager::addOrders(SyncRequest &Request, WorkerRecord &Link,
                             TimePoint) {
  const SchedulerOptions &Options = m_context.Options;
  Request.Incarnation = Link.incarnation();
  Request.Stamp = Link.stamp();
  Request.Lease = Options.TaskLease;
  for (const auto &[Id, Demand] : Link.reservations()) {
    TaskEntry *Entry = m_tasks.find(Id);
    if (Entry && Entry->belongsTo(Request.Worker))
      addTaskOrders(Request, *Entry);
  }
  if (Options.Faults.ReleaseAtStopOrder)
    for (const Order &TaskOrder : Request.Orders)
      if (TaskOrder.Kind == OrderKind::Stop)
        Link.release(TaskOrder.Task.Task);
  for (const TaskAttempt &Attempt : Link.UnplacedAttempts)
    Request.Orders.push_back({.Kind = OrderKind::Stop, .Task = Attempt});
  for (const TaskAttempt &Attempt : Link.AttemptsToForget)
    Request.Orders.push_back({.Kind = OrderKind::Forget, .Task = Attempt});
  if (!Options.Faults.ForgetGrants)
    Link.recordGrant(Options.TaskLease, Options.ClockDriftPermille);
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
    if (!m_context.CanStart())
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
  if (Entry.Phase == StopPhase::Checkpoint)
    Request.Orders.push_back({.Kind = OrderKind::Checkpoint, .Task = Task});
  if (Entry.Phase != StopPhase::Stop)
    return;
  Request.Orders.push_back({.Kind = OrderKind::Stop, .Task = Task});
}

void ShardManager::onSync(const std::string &Worker, Result<SyncReply> Reply) {
  WorkerRecord *Link = findWorker(Worker);
  if (!Link)
    return;
  Link->IsSyncInFlight = false;
  if (!Reply.has_value())
    return;
  const SyncReply &Report = Reply.value();
  if (Report.Code == ResultCode::StaleEpoch || Report.Epoch > m_claim.Epoch) {
    m_isFencedOut = true;
    reportEvent("fenced_out", fmt::format("shard={} epoch={} worker={} seen={}",
                                          m_claim.Shard, m_claim.Epoch, Worker,
                                          Report.Epoch));
    return;
  }
  if (m_isReleasing)
    return;
  onReport(*Link, Report);
}

void ShardManager::onReport(WorkerRecord &Link, const SyncReply &Report) {
  TimePoint Now = m_context.Time.now();
  bool IsFirstReport = !Link.IsEpochInstalled;
  bool HasRestarted = Link.recordReport(Report, Now);
  Link.IsReachable = true;
  if (IsFirstReport)
    Link.recordEpochInstalled(Now, m_context.Options.TaskLease,
                              m_context.Options.ClockDriftPermille);
  if (IsFirstReport || Report.Code != ResultCode::Ok)
    Link.ShouldSyncNow = true;
  std::set<std::string> ReportedTasks;
  Link.UnplacedAttempts.clear();
  Link.AttemptsToForget.clear();
  for (const TaskReport &Task : Report.Tasks) {
    ReportedTasks.insert(Task.Task.Task);
    onTaskReport(Link, Task);
  }
  std::vector<std::string> MissingTasks;
  for (const auto &[Id, Demand] : Link.reservations())
    if (!ReportedTasks.contains(Id))
      MissingTasks.push_back(Id);
  for (const std::string &Id : MissingTasks) {
    TaskEntry *Entry = m_tasks.find(Id);
    if (!Entry || !Entry->belongsTo(Link.info().Worker)) {
      Link.release(Id);
      m_shouldPlace = true;
      continue;
    }
    // A rejected request started no task, so a missing task does not count as
    // lost then. A task that an accepted request started is in the report.
    bool IsRejected = Report.Code != ResultCode::Ok && !HasRestarted;
    if (Entry->isPlaced() && !Entry->IsWriting && Entry->IsStartSent &&
        !IsRejected)
      onAttemptMissing(Link, *Entry);
  }
  if (IsFirstReport)
    m_shouldPlace = true;
}

void ShardManager::onTaskReport(WorkerRecord &Link, const TaskReport &Report) {
  TaskEntry *Entry = m_tasks.find(Report.Task.Task);
  bool IsCurrent = Entry && Entry->isPlaced() &&
                   Entry->Row.worker() == Link.info().Worker &&
                   Entry->Row.attempt() == Report.Task.Attempt;
  if (!IsCurrent)
    return onUnplacedAttempt(Link, Report);
  if (!Report.Checkpoint.empty())
    Entry->Checkpoint = Report.Checkpoint;
  if (Report.State != AttemptState::Running)
    return onAttemptEnded(*Entry, Report);
  if (!Entry->IsConfirmed)
    reportEvent("task_running",
                fmt::format("task={} attempt={} worker={}", Report.Task.Task,
                            Report.Task.Attempt, Link.info().Worker));
  Entry->IsConfirmed = true;
  Entry->IsStartSent = true;
  Entry->Address = Report.Address;
  Entry->Usage = Report.Usage;
}

void ShardManager::onUnplacedAttempt(WorkerRecord &Link,
                                     const TaskReport &Report) {
  const std::string &Id = Report.Task.Task;
  if (Report.State == AttemptState::Running) {
    Link.UnplacedAttempts.insert(Report.Task);
    Link.ShouldSyncNow |= !Report.IsStopping;
    if (!Link.reservations().contains(Id))
      Link.reserve(Id, Report.Demand, !Report.Address.empty());
    return;
  }
  Link.AttemptsToForget.insert(Report.Task);
  Link.ShouldSyncNow = true;
  TaskEntry *Entry = m_tasks.find(Id);
  if (Entry && Entry->belongsTo(Link.info().Worker))
    return;
  Link.release(Id);
  m_shouldPlace = true;
}

// The attempt is missing from the worker's report, because its Start order did
// not arrive or because it ended with an earlier incarnation of the worker, or
// all leases on an unreachable worker have expired. In each case the attempt
// does not run there.
void ShardManager::onAttemptMissing(WorkerRecord &Link, TaskEntry &Entry) {
  ++m_context.Counters.LostAttempts;
  Link.release(Entry.Row.id());
  v1::TaskRow Row = Entry.Row;
  Row.set_reason("lost on worker " + Link.info().Worker);
  if (!Entry.Checkpoint.empty())
    Row.set_checkpoint(Entry.Checkpoint);
  reportEvent("task_lost", fmt::format("task={} attempt={} worker={}", Row.id(),
                                       Row.attempt(), Link.info().Worker));
  returnToWaiting(Entry, std::move(Row));
}

void ShardManager::onAttemptEnded(TaskEntry &Entry, const TaskReport &Report) {
  if (Entry.IsWriting)
    return;
  WorkerRecord *Link = findWorker(Entry.Row.worker());
  Link->release(Entry.Row.id());
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
  for (auto &[Id, Link] : m_workers) {
    if (Link.IsReachable &&
        Now - Link.LastReportAt > Options.UnreachableAfter) {
      Link.IsReachable = false;
      reportEvent("worker_unreachable",
                  fmt::format("worker={} shard={}", Id, m_claim.Shard));
    }
    if (Link.IsReachable || Link.reservations().empty())
      continue;
    bool HaveExpired =
        Link.haveLeasesExpired(Now) || (Options.Faults.IgnoreLeases);
    if (!HaveExpired)
      continue;
    std::vector<std::string> Tasks;
    for (const auto &[Task, Demand] : Link.reservations())
      Tasks.push_back(Task);
    for (const std::string &Task : Tasks) {
      TaskEntry *Entry = m_tasks.find(Task);
      if (!Entry || !Entry->belongsTo(Id))
        Link.release(Task);
      else if (Entry->isPlaced() && !Entry->IsWriting)
        onAttemptMissing(Link, *Entry);
    }
    m_shouldPlace = true;
  }
}

BASILCHUTE_NAMESPACE_END
