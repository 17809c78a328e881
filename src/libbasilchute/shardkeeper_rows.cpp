// Changes of a shard's rows.

#include "libbasilchute/shardkeeper.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

void ShardKeeper::commitTask(TaskEntry &Entry, v1::TaskRow Row,
                             std::function<void(TaskEntry &)> OnDone) {
  m_book.unqueue(Entry);
  Entry.Writing = true;
  Write Change{.Key = taskKey(m_claim.Shard, Row.id()),
               .Value = Row.SerializeAsString(),
               .ExpectedVersion = Entry.Version};
  m_committer.commit({std::move(Change)},
                     [Self = weak_from_this(), Row = std::move(Row),
                      OnDone = std::move(OnDone)](Result<uint64_t> Reply) {
                       if (auto Live = Self.lock())
                         Live->onTaskCommitted(Row.id(), Row, std::move(Reply),
                                               OnDone);
                     });
}

void ShardKeeper::onTaskCommitted(
    const std::string &Task, const v1::TaskRow &Row, Result<uint64_t> Reply,
    const std::function<void(TaskEntry &)> &OnDone) {
  // Only a shard's owner writes its task rows, so any conflict means that the
  // ownership is gone.
  if (!Reply.has_value()) {
    m_fencedOut = true;
    return;
  }
  TaskEntry *Entry = m_book.find(Task);
  if (!Entry)
    return;
  Entry->Writing = false;
  Entry->Version = Reply.value();
  Entry->Row = Row;
  Entry->TargetWorker.clear();
  OnDone(*Entry);
}

void ShardKeeper::returnToWaiting(TaskEntry &Entry, v1::TaskRow Row) {
  if (!Entry.Wanted) {
    if (!Row.service().empty())
      return removeReplica(Entry);
    Row.set_state(v1::TASK_CANCELLED);
    return becomeFinal(Entry, std::move(Row));
  }
  Row.set_state(v1::TASK_PENDING);
  Row.clear_worker();
  commitTask(Entry, std::move(Row), [this](TaskEntry &Done) {
    Done.Confirmed = false;
    Done.StartSent = false;
    Done.Phase = StopPhase::None;
    Done.Evicting = false;
    Done.Address.clear();
    m_book.requeue(Done, m_context.Time.now());
    m_placeDirty = true;
    if (!Done.Wanted)
      dropUnwanted(Done);
  });
}

void ShardKeeper::becomeFinal(TaskEntry &Entry, v1::TaskRow Row) {
  commitTask(Entry, std::move(Row), [this](TaskEntry &Done) {
    m_stopping.erase(Done.Row.id());
    onFinal(Done);
  });
}

void ShardKeeper::onFinal(const TaskEntry &Entry) {
  if (ShareEntry *Share = m_book.noteFinal(Entry))
    finishShare(Share->name());
}

void ShardKeeper::removeReplica(TaskEntry &Entry) {
  std::string Id = Entry.Row.id();
  m_stopping.erase(Id);
  if (Entry.Version == 0)
    return m_book.erase(Id);
  // The row stays, so that a replica of that name which is wanted again later
  // goes on with higher attempts.
  v1::TaskRow Row = Entry.Row;
  Row.set_state(v1::TASK_CANCELLED);
  Row.clear_worker();
  commitTask(Entry, std::move(Row), [this](TaskEntry &) {
    // The replica may have been wanted again meanwhile.
    if (m_wantedReplicas)
      updateReplicas(*m_wantedReplicas);
  });
}

void ShardKeeper::finishShare(const std::string &Name) {
  ShareEntry &Share = m_book.shares().at(Name);
  if (Share.Writing)
    return;
  Share.Writing = true;
  v1::ShareRow Row = Share.Row;
  Row.set_finished(true);
  std::vector<Write> Writes(1);
  for (const std::string &Id : TaskBook::tasksOf(Share)) {
    const TaskEntry &Task = *m_book.find(Id);
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
  m_committer.commit(std::move(Writes),
                     [Self = weak_from_this(), Name](Result<uint64_t> Reply) {
                       auto Live = Self.lock();
                       if (!Live)
                         return;
                       if (Reply.has_value())
                         return Live->m_book.eraseShare(Name, Reply.value());
                       Live->onShareConflict(Name, Reply.error());
                     });
}

// An operator's cancellation came between; the share is read again.
void ShardKeeper::onShareConflict(const std::string &Name, const Error &Why) {
  if (Why.Code == ResultCode::StaleEpoch) {
    m_fencedOut = true;
    return;
  }
  m_book.shares().at(Name).Writing = false;
  for (const std::string &Id : TaskBook::tasksOf(m_book.shares().at(Name)))
    if (TaskEntry *Entry = m_book.find(Id); Entry && !Entry->isPlaced())
      m_book.requeue(*Entry, m_context.Time.now());
  pollSharesSoon();
}

BASILCHUTE_NAMESPACE_END
