// Exchanges of a shard's owner with its workers.

#include "libbasilchute/shardkeeper.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

void ShardKeeper::syncDueWorkers(TimePoint Now) {
  for (auto &[Id, Link] : m_links) {
    if (Link.SyncInFlight || Link.info().Address.empty())
      continue;
    if (!Link.Urgent && Now < Link.NextSyncAt)
      continue;
    sync(Link, Now);
  }
}

void ShardKeeper::sync(WorkerLink &Link, TimePoint Now) {
  const SchedulerOptions &Options = m_context.Options;
  WorkerSync Request{.Worker = Link.info().Worker,
                     .Shard = m_claim.Shard,
                     .Epoch = Options.Faults.SkipFence ? 1 : m_claim.Epoch};
  if (Link.Fenced && m_context.MayExtendGrants())
    addOrders(Request, Link, Now);
  Link.SyncInFlight = true;
  Link.Urgent = false;
  Link.NextSyncAt = Now + Options.SyncEvery;
  ++m_context.Counters.Syncs;
  m_context.Workers.sync(Link.info().Address, std::move(Request),
                         [Self = weak_from_this(), Worker = Link.info().Worker](
                             Result<WorkerReport> Reply) {
                           if (auto Live = Self.lock())
                             Live->onSync(Worker, std::move(Reply));
                         });
}

void ShardKeeper::addOrders(WorkerSync &Request, WorkerLink &Link, TimePoint) {
  const SchedulerOptions &Options = m_context.Options;
  Request.Incarnation = Link.incarnation();
  Request.Stamp = Link.stamp();
  Request.Lease = Options.TaskLease;
  for (const auto &[Id, Demand] : Link.holds()) {
    TaskEntry *Entry = m_book.find(Id);
    if (Entry && Entry->belongsTo(Request.Worker))
      addTaskOrders(Request, *Entry);
  }
  if (Options.Faults.ReleaseAtStopOrder)
    for (const Order &Each : Request.Orders)
      if (Each.Kind == OrderKind::Stop)
        Link.release(Each.Task.Task);
  for (const TaskAttempt &Each : Link.Strays)
    Request.Orders.push_back({.Kind = OrderKind::Stop, .Task = Each});
  for (const TaskAttempt &Each : Link.Forget)
    Request.Orders.push_back({.Kind = OrderKind::Forget, .Task = Each});
  if (!Options.Faults.ForgetGrants)
    Link.noteGrant(Options.TaskLease, Options.ClockDriftPermille);
}

// Orders follow from the task's state each time, so that a lost request needs
// no memory of its own.
void ShardKeeper::addTaskOrders(WorkerSync &Request, TaskEntry &Entry) {
  bool MayStart =
      Entry.isPlaced() || m_context.Options.Faults.StartBeforeCommit;
  if (!MayStart)
    return;
  TaskAttempt Task{.Task = Entry.Row.id(), .Attempt = Entry.Row.attempt()};
  // What a former owner may have started is never started again: its first
  // report tells whether the attempt runs.
  if (!Entry.Confirmed) {
    if (!m_context.MayStart())
      return;
    Entry.StartSent = true;
    Request.Orders.push_back({.Kind = OrderKind::Start,
                              .Task = Task,
                              .Demand = Entry.demand(),
                              .Service = Entry.Row.service(),
                              .Checkpoint = Entry.Row.checkpoint(),
                              .Work = milliseconds(Entry.Row.work_ms()),
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

void ShardKeeper::onSync(const std::string &Worker,
                         Result<WorkerReport> Reply) {
  WorkerLink *Link = linkOf(Worker);
  if (!Link)
    return;
  Link->SyncInFlight = false;
  if (!Reply.has_value())
    return;
  const WorkerReport &Report = Reply.value();
  if (Report.Verdict == ResultCode::StaleEpoch ||
      Report.Epoch > m_claim.Epoch) {
    m_fencedOut = true;
    event("fenced_out",
          fmt::format("shard={} epoch={} worker={} seen={}", m_claim.Shard,
                      m_claim.Epoch, Worker, Report.Epoch));
    return;
  }
  if (m_releasing)
    return;
  onReport(*Link, Report);
}

void ShardKeeper::onReport(WorkerLink &Link, const WorkerReport &Report) {
  TimePoint Now = m_context.Time.now();
  bool FirstContact = !Link.Fenced;
  bool Restarted = Link.noteReport(Report, Now);
  Link.Reachable = true;
  if (FirstContact)
    Link.noteFenced(Now, m_context.Options.TaskLease,
                    m_context.Options.ClockDriftPermille);
  if (FirstContact || Report.Verdict != ResultCode::Ok)
    Link.Urgent = true;
  std::set<std::string> Seen;
  Link.Strays.clear();
  Link.Forget.clear();
  for (const TaskReport &Each : Report.Tasks) {
    Seen.insert(Each.Task.Task);
    onTaskReport(Link, Each);
  }
  std::vector<std::string> Held;
  for (const auto &[Id, Demand] : Link.holds())
    if (!Seen.contains(Id))
      Held.push_back(Id);
  for (const std::string &Id : Held) {
    TaskEntry *Entry = m_book.find(Id);
    if (!Entry || !Entry->belongsTo(Link.info().Worker)) {
      Link.release(Id);
      m_placeDirty = true;
      continue;
    }
    // A start that a refused request carried did not arrive; one that an
    // accepted request carried is reported.
    bool Refused = Report.Verdict != ResultCode::Ok && !Restarted;
    if (Entry->isPlaced() && !Entry->Writing && Entry->StartSent && !Refused)
      onMissing(Link, *Entry);
  }
  if (FirstContact)
    m_placeDirty = true;
}

void ShardKeeper::onTaskReport(WorkerLink &Link, const TaskReport &Report) {
  TaskEntry *Entry = m_book.find(Report.Task.Task);
  bool Current = Entry && Entry->isPlaced() &&
                 Entry->Row.worker() == Link.info().Worker &&
                 Entry->Row.attempt() == Report.Task.Attempt;
  if (!Current)
    return onStray(Link, Report);
  if (!Report.Checkpoint.empty())
    Entry->Checkpoint = Report.Checkpoint;
  if (Report.State != AttemptState::Running)
    return onAttemptEnded(*Entry, Report);
  if (!Entry->Confirmed)
    event("task_running",
          fmt::format("task={} attempt={} worker={}", Report.Task.Task,
                      Report.Task.Attempt, Link.info().Worker));
  Entry->Confirmed = true;
  Entry->StartSent = true;
  Entry->Address = Report.Address;
  Entry->Usage = Report.Usage;
}

void ShardKeeper::onStray(WorkerLink &Link, const TaskReport &Report) {
  const std::string &Id = Report.Task.Task;
  if (Report.State == AttemptState::Running) {
    Link.Strays.insert(Report.Task);
    Link.Urgent |= !Report.Stopping;
    if (!Link.holds().contains(Id))
      Link.hold(Id, Report.Demand, !Report.Address.empty());
    return;
  }
  Link.Forget.insert(Report.Task);
  Link.Urgent = true;
  TaskEntry *Entry = m_book.find(Id);
  if (Entry && Entry->belongsTo(Link.info().Worker))
    return;
  Link.release(Id);
  m_placeDirty = true;
}

// The worker answered without the attempt: it never arrived, or was lost with
// an earlier incarnation. Either way it does not run there.
void ShardKeeper::onMissing(WorkerLink &Link, TaskEntry &Entry) {
  ++m_context.Counters.Lost;
  Link.release(Entry.Row.id());
  v1::TaskRow Row = Entry.Row;
  Row.set_reason("lost on worker " + Link.info().Worker);
  if (!Entry.Checkpoint.empty())
    Row.set_checkpoint(Entry.Checkpoint);
  event("task_lost", fmt::format("task={} attempt={} worker={}", Row.id(),
                                 Row.attempt(), Link.info().Worker));
  returnToWaiting(Entry, std::move(Row));
}

void ShardKeeper::onAttemptEnded(TaskEntry &Entry, const TaskReport &Report) {
  if (Entry.Writing)
    return;
  WorkerLink *Link = linkOf(Entry.Row.worker());
  Link->release(Entry.Row.id());
  m_placeDirty = true;
  m_stopping.erase(Entry.Row.id());
  v1::TaskRow Row = Entry.Row;
  if (!Report.Checkpoint.empty())
    Row.set_checkpoint(Report.Checkpoint);
  switch (Report.State) {
  case AttemptState::Finished:
    ++m_context.Counters.Finished;
    Row.set_state(v1::TASK_DONE);
    return becomeFinal(Entry, std::move(Row));
  case AttemptState::Failed:
    ++m_context.Counters.Failed;
    Row.set_failures(Row.failures() + 1);
    Row.set_reason("failed on worker " + Row.worker());
    Entry.NotBefore = m_context.Time.now() +
                      m_context.Options.FailureBackoff * Row.failures();
    if (Row.failures() < m_context.Options.MaxFailures)
      return returnToWaiting(Entry, std::move(Row));
    Row.set_state(v1::TASK_FAILED);
    return becomeFinal(Entry, std::move(Row));
  default:
    if (Entry.Evicting) {
      ++m_context.Counters.Evictions;
      Row.set_evictions(Row.evictions() + 1);
    }
    Row.set_reason("stopped on worker " + Row.worker());
    return returnToWaiting(Entry, std::move(Row));
  }
}

void ShardKeeper::checkLostWorkers(TimePoint Now) {
  const SchedulerOptions &Options = m_context.Options;
  for (auto &[Id, Link] : m_links) {
    if (Link.Reachable && Now - Link.LastReportAt > Options.UnreachableAfter) {
      Link.Reachable = false;
      event("worker_unreachable",
            fmt::format("worker={} shard={}", Id, m_claim.Shard));
    }
    if (Link.Reachable || Link.holds().empty())
      continue;
    bool Over = Link.leasesOver(Now) || (Options.Faults.IgnoreLeases);
    if (!Over)
      continue;
    std::vector<std::string> Held;
    for (const auto &[Task, Demand] : Link.holds())
      Held.push_back(Task);
    for (const std::string &Task : Held) {
      TaskEntry *Entry = m_book.find(Task);
      if (!Entry || !Entry->belongsTo(Id))
        Link.release(Task);
      else if (Entry->isPlaced() && !Entry->Writing)
        onMissing(Link, *Entry);
    }
    m_placeDirty = true;
  }
}

BASILCHUTE_NAMESPACE_END
