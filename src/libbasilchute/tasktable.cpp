#include "libbasilchute/tasktable.h"

#include <cstdlib>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

TaskClass TaskEntry::taskClass() const {
  if (!Row.service().empty())
    return TaskClass::LatencyCritical;
  return Row.urgent() ? TaskClass::Urgent : TaskClass::Batch;
}

bool TaskEntry::isFinal() const {
  return Row.state() == v1::TASK_DONE || Row.state() == v1::TASK_FAILED ||
         Row.state() == v1::TASK_CANCELLED;
}

namespace {

TaskTable::WaitKey waitKey(const TaskEntry &Entry) {
  return {Entry.taskClass(), Entry.Sequence, Entry.Row.id()};
}

v1::TaskRow newTaskRow(const v1::ShareRow &Share, uint32_t Index) {
  v1::TaskRow Row;
  Row.set_id(fmt::format("{}/{}", Share.job(), Index));
  Row.set_job(Share.job());
  Row.set_team(Share.team());
  Row.set_kind(Share.kind());
  *Row.mutable_demand() = Share.demand();
  Row.set_work_ms(Share.work_ms());
  Row.set_urgent(Share.urgent());
  Row.set_state(v1::TASK_PENDING);
  return Row;
}

} // namespace

std::vector<std::string> TaskTable::load(const std::vector<Row> &Shares,
                                         const std::vector<Row> &Tasks,
                                         TimePoint Now) {
  for (const Row &StoredRow : Tasks) {
    Result<v1::TaskRow> Task = decodeRow<v1::TaskRow>(StoredRow);
    if (!Task.has_value())
      continue;
    addRow(StoredRow, Task.value(), Now);
  }
  return updateShares(Shares, Now);
}

std::vector<std::string> TaskTable::updateShares(const std::vector<Row> &Shares,
                                                 TimePoint Now) {
  std::vector<std::string> Unwanted;
  for (const Row &StoredRow : Shares) {
    Result<v1::ShareRow> Decoded = decodeRow<v1::ShareRow>(StoredRow);
    if (!Decoded.has_value())
      continue;
    std::string Name =
        shareName(Decoded.value().job(), Decoded.value().first());
    if (hasEnded(Name, StoredRow))
      continue;
    m_endedShares.erase(Name);
    if (Decoded.value().finished())
      continue;
    ShareEntry &Share = m_shares[Name];
    // While a change of the share is being committed, a read may return the
    // change before the commit's reply arrives.
    if (Share.Version >= StoredRow.Version || Share.IsWriting)
      continue;
    bool IsNew = Share.Version == 0;
    Share.Row = Decoded.value();
    Share.Version = StoredRow.Version;
    if (IsNew)
      addTasks(Share, Now);
    if (!Share.Row.cancelled())
      continue;
    for (uint32_t I = 0; I < Share.Row.count(); ++I)
      Unwanted.push_back(
          fmt::format("{}/{}", Share.Row.job(), Share.Row.first() + I));
  }
  return Unwanted;
}

void TaskTable::addRow(const Row &StoredRow, const v1::TaskRow &Task,
                       TimePoint Now) {
  TaskEntry &Entry = add(Task, Now);
  Entry.Version = StoredRow.Version;
  // The previous owner may already have sent the Start order of a placed task.
  Entry.IsStartSent = Entry.isPlaced();
  requeue(Entry, Now);
}

// The reply to a read that was sent before the share ended may arrive after the
// end; its rows must not add the share again.
bool TaskTable::hasEnded(const std::string &Share, const Row &StoredRow) const {
  auto It = m_endedShares.find(Share);
  return It != m_endedShares.end() && StoredRow.Version <= It->second;
}

std::vector<v1::ShareRow>
TaskTable::sharesToAdopt(const std::vector<Row> &Shares) const {
  std::vector<v1::ShareRow> Out;
  for (const Row &StoredRow : Shares) {
    Result<v1::ShareRow> Share = decodeRow<v1::ShareRow>(StoredRow);
    if (!Share.has_value() || Share.value().finished() ||
        !Share.value().has_rows())
      continue;
    std::string Name = shareName(Share.value().job(), Share.value().first());
    if (m_shares.contains(Name) || hasEnded(Name, StoredRow))
      continue;
    Out.push_back(Share.value());
  }
  return Out;
}

void TaskTable::adopt(const std::vector<v1::ShareRow> &Shares,
                      const std::vector<Row> &Tasks, TimePoint Now) {
  std::set<std::string> Ids;
  for (const v1::ShareRow &Share : Shares)
    for (const std::string &Id : tasksOf({.Row = Share}))
      Ids.insert(Id);
  for (const Row &StoredRow : Tasks) {
    Result<v1::TaskRow> Task = decodeRow<v1::TaskRow>(StoredRow);
    bool ShouldAdopt = Task.has_value() && Ids.contains(Task.value().id()) &&
                       !find(Task.value().id());
    if (ShouldAdopt)
      addRow(StoredRow, Task.value(), Now);
  }
}

void TaskTable::addTasks(ShareEntry &Share, TimePoint Now) {
  for (uint32_t I = 0; I < Share.Row.count(); ++I) {
    v1::TaskRow NewTask = newTaskRow(Share.Row, Share.Row.first() + I);
    TaskEntry *Existing = find(NewTask.id());
    if (!Existing)
      requeue(add(std::move(NewTask), Now), Now);
    else if (Existing->isFinal())
      ++Share.FinalTasks;
  }
}

std::vector<std::string>
TaskTable::updateReplicas(const std::vector<v1::TaskRow> &Wanted,
                          TimePoint Now) {
  std::set<std::string> Ids;
  for (const v1::TaskRow &Replica : Wanted) {
    Ids.insert(Replica.id());
    TaskEntry *Existing = find(Replica.id());
    if (Existing && Existing->isFinal() && !Existing->IsWriting)
      resetReplica(*Existing, Replica, Now);
    if (!Existing)
      requeue(add(Replica, Now), Now);
  }
  std::vector<std::string> Unwanted;
  for (auto &[Id, Entry] : m_tasks) {
    if (Entry.Row.service().empty() || Ids.contains(Id) || Entry.isFinal())
      continue;
    Unwanted.push_back(Id);
  }
  return Unwanted;
}

void TaskTable::resetReplica(TaskEntry &Entry, const v1::TaskRow &Wanted,
                             TimePoint Now) {
  uint32_t Attempt = Entry.Row.attempt();
  Entry.Row = Wanted;
  Entry.Row.set_attempt(Attempt);
  Entry.IsWanted = true;
  Entry.Phase = StopPhase::None;
  requeue(Entry, Now);
}

TaskEntry &TaskTable::add(v1::TaskRow Row, TimePoint Now) {
  std::string Id = Row.id();
  TaskEntry &Entry = m_tasks[Id];
  Entry.Row = std::move(Row);
  Entry.Sequence = ++m_lastSequence;
  Entry.WaitingSince = Now;
  return Entry;
}

TaskEntry *TaskTable::find(const std::string &Task) {
  auto It = m_tasks.find(Task);
  return It == m_tasks.end() ? nullptr : &It->second;
}

void TaskTable::requeue(TaskEntry &Entry, TimePoint Now) {
  removeFromQueue(Entry);
  if (Entry.Row.state() != v1::TASK_PENDING || !Entry.IsWanted ||
      Entry.IsWriting)
    return;
  Entry.WaitingSince = Now;
  m_waiting.insert(waitKey(Entry));
}

void TaskTable::removeFromQueue(const TaskEntry &Entry) {
  m_waiting.erase(waitKey(Entry));
}

void TaskTable::erase(const std::string &Task) {
  auto It = m_tasks.find(Task);
  if (It == m_tasks.end())
    return;
  removeFromQueue(It->second);
  m_tasks.erase(It);
}

ShareEntry *TaskTable::shareOf(const TaskEntry &Entry) {
  const std::string &Id = Entry.Row.id();
  if (Entry.Row.job().empty())
    return nullptr;
  auto Index = static_cast<uint32_t>(
      std::strtoul(Id.c_str() + Id.rfind('/') + 1, nullptr, 10));
  std::string Prefix = Entry.Row.job() + ".";
  for (auto It = m_shares.lower_bound(Prefix);
       It != m_shares.end() && It->first.starts_with(Prefix); ++It) {
    const v1::ShareRow &Row = It->second.Row;
    if (Index >= Row.first() && Index < Row.first() + Row.count())
      return &It->second;
  }
  return nullptr;
}

ShareEntry *TaskTable::countFinal(const TaskEntry &Entry) {
  ShareEntry *Share = shareOf(Entry);
  if (!Share)
    return nullptr;
  ++Share->FinalTasks;
  return Share->FinalTasks >= Share->Row.count() ? Share : nullptr;
}

std::vector<std::string> TaskTable::tasksOf(const ShareEntry &Share) {
  std::vector<std::string> Out;
  for (uint32_t I = 0; I < Share.Row.count(); ++I)
    Out.push_back(fmt::format("{}/{}", Share.Row.job(), Share.Row.first() + I));
  return Out;
}

MovableTail TaskTable::movableTail(const TaskEntry &Entry, size_t Limit) {
  MovableTail Tail;
  ShareEntry *Share = shareOf(Entry);
  if (!Share || Share->IsWriting || Share->Row.cancelled())
    return Tail;
  Tail.Share = Share->name();
  std::vector<std::string> Remaining = tasksOf(*Share);
  while (!Remaining.empty() && Tail.Tasks.size() < Limit) {
    const TaskEntry *Last = find(Remaining.back());
    bool IsWaiting = Last && Last->Row.state() == v1::TASK_PENDING &&
                     !Last->IsWriting && Last->IsWanted;
    if (!IsWaiting)
      break;
    Tail.Tasks.push_back(std::move(Remaining.back()));
    Remaining.pop_back();
  }
  return Tail;
}

void TaskTable::eraseShare(const std::string &Share, uint64_t Version) {
  auto It = m_shares.find(Share);
  if (It == m_shares.end())
    return;
  m_endedShares[Share] = Version;
  for (const std::string &Task : tasksOf(It->second))
    erase(Task);
  m_shares.erase(It);
}

void TaskTable::shrinkShare(const std::string &Share, uint32_t Count,
                            uint64_t Version) {
  ShareEntry &Entry = m_shares.at(Share);
  std::vector<std::string> Ids = tasksOf(Entry);
  for (uint32_t I = 0; I < Count; ++I)
    erase(Ids[Ids.size() - 1 - I]);
  Entry.Row.set_count(Entry.Row.count() - Count);
  Entry.Version = Version;
  Entry.IsWriting = false;
}

BASILCHUTE_NAMESPACE_END
