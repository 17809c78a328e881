#include "libbasilchute/taskbook.h"

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

TaskBook::WaitKey waitKey(const TaskEntry &Of) {
  return {Of.taskClass(), Of.Sequence, Of.Row.id()};
}

v1::TaskRow rowOfShare(const v1::ShareRow &Share, uint32_t Index) {
  v1::TaskRow Out;
  Out.set_id(fmt::format("{}/{}", Share.job(), Index));
  Out.set_job(Share.job());
  Out.set_team(Share.team());
  Out.set_kind(Share.kind());
  *Out.mutable_demand() = Share.demand();
  Out.set_work_ms(Share.work_ms());
  Out.set_urgent(Share.urgent());
  Out.set_state(v1::TASK_PENDING);
  return Out;
}

} // namespace

std::vector<std::string> TaskBook::load(const std::vector<Row> &Shares,
                                        const std::vector<Row> &Tasks,
                                        TimePoint Now) {
  for (const Row &Each : Tasks) {
    Result<v1::TaskRow> Decoded = decodeRow<v1::TaskRow>(Each);
    if (!Decoded.has_value())
      continue;
    addRow(Each, Decoded.value(), Now);
  }
  return updateShares(Shares, Now);
}

std::vector<std::string> TaskBook::updateShares(const std::vector<Row> &Shares,
                                                TimePoint Now) {
  std::vector<std::string> Unwanted;
  for (const Row &Each : Shares) {
    Result<v1::ShareRow> Decoded = decodeRow<v1::ShareRow>(Each);
    if (!Decoded.has_value())
      continue;
    std::string Name =
        shareName(Decoded.value().job(), Decoded.value().first());
    if (hasEnded(Name, Each))
      continue;
    m_ended.erase(Name);
    if (Decoded.value().finished())
      continue;
    ShareEntry &Share = m_shares[Name];
    // A share being written may show its own change before the reply does.
    if (Share.Version >= Each.Version || Share.Writing)
      continue;
    bool New = Share.Version == 0;
    Share.Row = Decoded.value();
    Share.Version = Each.Version;
    if (New)
      expand(Share, Now);
    if (!Share.Row.cancelled())
      continue;
    for (uint32_t I = 0; I < Share.Row.count(); ++I)
      Unwanted.push_back(
          fmt::format("{}/{}", Share.Row.job(), Share.Row.first() + I));
  }
  return Unwanted;
}

void TaskBook::addRow(const Row &From, const v1::TaskRow &Task, TimePoint Now) {
  TaskEntry &Entry = add(Task, Now);
  Entry.Version = From.Version;
  // The former owner may have started what its row says is placed.
  Entry.StartSent = Entry.isPlaced();
  requeue(Entry, Now);
}

// A read that was sent before the share ended may arrive after.
bool TaskBook::hasEnded(const std::string &Share, const Row &From) const {
  auto Ended = m_ended.find(Share);
  return Ended != m_ended.end() && From.Version <= Ended->second;
}

std::vector<v1::ShareRow>
TaskBook::sharesToAdopt(const std::vector<Row> &Shares) const {
  std::vector<v1::ShareRow> Out;
  for (const Row &Each : Shares) {
    Result<v1::ShareRow> Share = decodeRow<v1::ShareRow>(Each);
    if (!Share.has_value() || Share.value().finished() ||
        !Share.value().has_rows())
      continue;
    std::string Name = shareName(Share.value().job(), Share.value().first());
    if (m_shares.contains(Name) || hasEnded(Name, Each))
      continue;
    Out.push_back(Share.value());
  }
  return Out;
}

void TaskBook::adopt(const std::vector<v1::ShareRow> &Shares,
                     const std::vector<Row> &Tasks, TimePoint Now) {
  std::set<std::string> Ids;
  for (const v1::ShareRow &Each : Shares)
    for (const std::string &Id : tasksOf({.Row = Each}))
      Ids.insert(Id);
  for (const Row &Each : Tasks) {
    Result<v1::TaskRow> Task = decodeRow<v1::TaskRow>(Each);
    bool Adopted = Task.has_value() && Ids.contains(Task.value().id()) &&
                   !find(Task.value().id());
    if (Adopted)
      addRow(Each, Task.value(), Now);
  }
}

void TaskBook::expand(ShareEntry &Share, TimePoint Now) {
  for (uint32_t I = 0; I < Share.Row.count(); ++I) {
    v1::TaskRow Fresh = rowOfShare(Share.Row, Share.Row.first() + I);
    TaskEntry *Known = find(Fresh.id());
    if (!Known)
      requeue(add(std::move(Fresh), Now), Now);
    else if (Known->isFinal())
      ++Share.FinalTasks;
  }
}

std::vector<std::string>
TaskBook::updateReplicas(const std::vector<v1::TaskRow> &Wanted,
                         TimePoint Now) {
  std::set<std::string> Ids;
  for (const v1::TaskRow &Each : Wanted) {
    Ids.insert(Each.id());
    TaskEntry *Known = find(Each.id());
    if (Known && Known->isFinal() && !Known->Writing)
      revive(*Known, Each, Now);
    if (!Known)
      requeue(add(Each, Now), Now);
  }
  std::vector<std::string> Unwanted;
  for (auto &[Id, Entry] : m_tasks) {
    if (Entry.Row.service().empty() || Ids.contains(Id) || Entry.isFinal())
      continue;
    Unwanted.push_back(Id);
  }
  return Unwanted;
}

void TaskBook::revive(TaskEntry &Entry, const v1::TaskRow &Wanted,
                      TimePoint Now) {
  uint32_t Attempt = Entry.Row.attempt();
  Entry.Row = Wanted;
  Entry.Row.set_attempt(Attempt);
  Entry.Wanted = true;
  Entry.Phase = StopPhase::None;
  requeue(Entry, Now);
}

TaskEntry &TaskBook::add(v1::TaskRow Row, TimePoint Now) {
  std::string Id = Row.id();
  TaskEntry &Entry = m_tasks[Id];
  Entry.Row = std::move(Row);
  Entry.Sequence = ++m_lastSequence;
  Entry.WaitingSince = Now;
  return Entry;
}

TaskEntry *TaskBook::find(const std::string &Task) {
  auto Found = m_tasks.find(Task);
  return Found == m_tasks.end() ? nullptr : &Found->second;
}

void TaskBook::requeue(TaskEntry &Entry, TimePoint Now) {
  unqueue(Entry);
  if (Entry.Row.state() != v1::TASK_PENDING || !Entry.Wanted || Entry.Writing)
    return;
  Entry.WaitingSince = Now;
  m_waiting.insert(waitKey(Entry));
}

void TaskBook::unqueue(const TaskEntry &Entry) {
  m_waiting.erase(waitKey(Entry));
}

void TaskBook::erase(const std::string &Task) {
  auto Found = m_tasks.find(Task);
  if (Found == m_tasks.end())
    return;
  unqueue(Found->second);
  m_tasks.erase(Found);
}

ShareEntry *TaskBook::shareOf(const TaskEntry &Entry) {
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

ShareEntry *TaskBook::noteFinal(const TaskEntry &Entry) {
  ShareEntry *Share = shareOf(Entry);
  if (!Share)
    return nullptr;
  ++Share->FinalTasks;
  return Share->FinalTasks >= Share->Row.count() ? Share : nullptr;
}

std::vector<std::string> TaskBook::tasksOf(const ShareEntry &Share) {
  std::vector<std::string> Out;
  for (uint32_t I = 0; I < Share.Row.count(); ++I)
    Out.push_back(fmt::format("{}/{}", Share.Row.job(), Share.Row.first() + I));
  return Out;
}

MovableTail TaskBook::movableTail(const TaskEntry &Entry, size_t Limit) {
  MovableTail Out;
  ShareEntry *Share = shareOf(Entry);
  if (!Share || Share->Writing || Share->Row.cancelled())
    return Out;
  Out.Share = Share->name();
  std::vector<std::string> All = tasksOf(*Share);
  while (!All.empty() && Out.Tasks.size() < Limit) {
    const TaskEntry *Last = find(All.back());
    bool Waits = Last && Last->Row.state() == v1::TASK_PENDING &&
                 !Last->Writing && Last->Wanted;
    if (!Waits)
      break;
    Out.Tasks.push_back(std::move(All.back()));
    All.pop_back();
  }
  return Out;
}

void TaskBook::eraseShare(const std::string &Share, uint64_t Version) {
  auto Found = m_shares.find(Share);
  if (Found == m_shares.end())
    return;
  m_ended[Share] = Version;
  for (const std::string &Each : tasksOf(Found->second))
    erase(Each);
  m_shares.erase(Found);
}

void TaskBook::cutShare(const std::string &Share, uint32_t Count,
                        uint64_t Version) {
  ShareEntry &Entry = m_shares.at(Share);
  std::vector<std::string> All = tasksOf(Entry);
  for (uint32_t I = 0; I < Count; ++I)
    erase(All[All.size() - 1 - I]);
  Entry.Row.set_count(Entry.Row.count() - Count);
  Entry.Version = Version;
  Entry.Writing = false;
}

BASILCHUTE_NAMESPACE_END
