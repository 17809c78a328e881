// Writes of the task rows and share rows of a shard.

#include "libbasilchute/shardmanager.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

void ShardManager::commitTask(TaskEntry &Entry, v1::TaskRow Row,
                              std::function<void(TaskEntry &)> OnDone) {
  m_tasks.removeFromQueue(Entry);
  Entry.IsWriting = true;
  Write Change{.Key = taskKey(m_claim.Shard, Row.id()),
               .Value = Row.SerializeAsString(),
               .ExpectedVersion = Entry.Version};
  m_committer.commit({std::move(Change)},
                     [Self = weak_from_this(), Row = std::move(Row),
                      OnDone = std::move(OnDone)](Result<uint64_t> Reply) {
                       if (auto Manager = Self.lock())
                         Manager->onTaskCommitted(Row.id(), Row,
                                                  std::move(Reply), OnDone);
                     });
}

void ShardManager::onTaskCommitted(
    const std::string &Task, const v1::TaskRow &Row, Result<uint64_t> Reply,
    const std::function<void(TaskEntry &)> &OnDone) {
  // Only the owner of a shard writes its task rows, so any conflict means that
  // another scheduler has taken over the shard.
  if (!Reply.has_value()) {
    m_isFencedOut = true;
    return;
  }
  TaskEntry *Entry = m_tasks.find(Task);
  if (!Entry)
    return;
  Entry->IsWriting = false;
  Entry->Version = Reply.value();
  Entry->Row = Row;
  Entry->TargetWorker.clear();
  OnDone(*Entry);
}

void ShardManager::returnToWaiting(TaskEntry &Entry, v1::TaskRow Row) {
  if (!Entry.IsWanted) {
    if (!Row.service().empty())
      return removeReplica(Entry);
    Row.set_state(v1::TASK_CANCELLED);
    return commitFinal(Entry, std::move(Row));
  }
  Row.set_state(v1::TASK_PENDING);
  Row.clear_worker();
  commitTask(Entry, std::move(Row), [this](TaskEntry &Committed) {
    Committed.IsConfirmed = false;
    Committed.IsStartSent = false;
    Committed.Phase = StopPhase::None;
    Committed.IsEviction = false;
    Committed.Address.clear();
    m_tasks.requeue(Committed, m_context.Time.now());
    m_shouldPlace = true;
    if (!Committed.IsWanted)
      cancelUnwanted(Committed);
  });
}

void ShardManager::commitFinal(TaskEntry &Entry, v1::TaskRow Row) {
  commitTask(Entry, std::move(Row), [this](TaskEntry &Committed) {
    m_stoppingTasks.erase(Committed.Row.id());
    onFinal(Committed);
  });
}

void ShardManager::onFinal(const TaskEntry &Entry) {
  if (ShareEntry *Share = m_tasks.countFinal(Entry))
    finishShare(Share->name());
}

void ShardManager::removeReplica(TaskEntry &Entry) {
  std::string Id = Entry.Row.id();
  m_stoppingTasks.erase(Id);
  if (Entry.Version == 0)
    return m_tasks.erase(Id);
  // The row is kept, so that a replica with the same id that is configured
  // again later continues with higher attempt numbers.
  v1::TaskRow Row = Entry.Row;
  Row.set_state(v1::TASK_CANCELLED);
  Row.clear_worker();
  commitTask(Entry, std::move(Row), [this](TaskEntry &) {
    // The replica may have been added to the configuration again during the
    // commit.
    if (m_wantedReplicas)
      updateReplicas(*m_wantedReplicas);
  });
}

void ShardManager::finishShare(const std::string &Name) {
  ShareEntry &Share = m_tasks.shares().at(Name);
  if (Share.IsWriting)
    return;
  Share.IsWriting = true;
  v1::ShareRow Row = Share.Row;
  Row.set_finished(true);
  std::vector<Write> Writes(1);
  for (const std::string &Id : TaskTable::tasksOf(Share)) {
    const TaskEntry &Task = *m_tasks.find(Id);
    Row.set_done(Row.done() + (Task.Row.state() == v1::TASK_DONE));
    Row.set_failed(Row.failed() + (Task.Row.state() == v1::TASK_FAILED));
    Row.set_evictions(Row.evictions() + Task.Row.evictions());
    if (!Task.Row.reason().empty())
      Row.set_reason(Task.Row.reason());
    if (Task.Version == 0)
      continue;
    Writes.push_back({.Key = taskKey(m_claim.Shard, Id),
                      .Remove = true,
                      .ExpectedVersion = Task.Version});
  }
  Writes[0] = {.Key = shareKey(m_claim.Shard, Name),
               .Value = Row.SerializeAsString(),
               .ExpectedVersion = Share.Version};
  m_committer.commit(std::move(Writes), [Self = weak_from_this(),
                                         Name](Result<uint64_t> Reply) {
    auto Manager = Self.lock();
    if (!Manager)
      return;
    if (Reply.has_value())
      return Manager->m_tasks.eraseShare(Name, Reply.value());
    Manager->onShareConflict(Name, Reply.error());
  });
}

// Called when a share could not be finished or moved. Unless the epoch is
// stale, the usual cause is that an operator's cancellation changed the share's
// row in the meantime; the share is read again.
void ShardManager::onShareConflict(const std::string &Name,
                                   const Error &Reason) {
  if (Reason.Code == ResultCode::StaleEpoch) {
    m_isFencedOut = true;
    return;
  }
  m_tasks.shares().at(Name).IsWriting = false;
  for (const std::string &Id : TaskTable::tasksOf(m_tasks.shares().at(Name)))
    if (TaskEntry *Entry = m_tasks.find(Id); Entry && !Entry->isPlaced())
      m_tasks.requeue(*Entry, m_context.Time.now());
  pollSharesSoon();
}

BASILCHUTE_NAMESPACE_END
