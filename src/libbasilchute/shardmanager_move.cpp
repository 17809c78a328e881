// Moves waiting tasks to shards with enough free resources.

#include "libbasilchute/shardmanager.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds MoveInterval{1000};

} // namespace

const ShardSummary *
ShardManager::findShardWithRoom(const Resources &Demand) const {
  const ShardSummary *Best = nullptr;
  for (const ShardSummary &Summary : m_summaries) {
    if (Summary.Shard == m_claim.Shard || !Demand.fits(Summary.LargestFree))
      continue;
    if (!Best || Summary.Free.Millicores > Best->Free.Millicores)
      Best = &Summary;
  }
  return Best;
}

void ShardManager::moveWaiting(TimePoint Now) {
  if (Now < m_nextMoveAt || m_isMoving)
    return;
  m_nextMoveAt = Now + MoveInterval;
  for (const auto &[Class, Sequence, Id] : m_tasks.waiting()) {
    const TaskEntry &Entry = *m_tasks.find(Id);
    bool IsTooRecent = Now - Entry.WaitingSince < m_context.Options.MoveAfter;
    if (Class == TaskClass::LatencyCritical || IsTooRecent ||
        Now < Entry.NotBefore)
      continue;
    const ShardSummary *Target = findShardWithRoom(Entry.demand());
    if (!Target)
      continue;
    auto MaxTasks =
        static_cast<size_t>(Target->Free.Millicores /
                            std::max<int64_t>(Entry.demand().Millicores, 1));
    MovableTail Tail =
        m_tasks.movableTail(Entry, std::max<size_t>(MaxTasks, 1));
    if (Tail.Tasks.empty())
      continue;
    return beginMove(std::move(Tail), Target->Shard);
  }
}

// The job's row lists the shards that its tasks may be in. It is read here and
// written in the same transaction as the move.
void ShardManager::beginMove(MovableTail Tail, const std::string &TargetShard) {
  m_isMoving = true;
  ShareEntry &Share = m_tasks.shares().at(Tail.Share);
  Share.IsWriting = true;
  for (const std::string &Id : Tail.Tasks) {
    m_tasks.removeFromQueue(*m_tasks.find(Id));
    m_tasks.find(Id)->IsWriting = true;
  }
  m_context.Store.get(
      jobKey(Share.Row.job()), [Self = weak_from_this(), Tail = std::move(Tail),
                                TargetShard](Result<std::optional<Row>> Job) {
        auto Manager = Self.lock();
        if (!Manager)
          return;
        if (Job.has_value())
          return Manager->writeMove(Tail, TargetShard, Job.value());
        Manager->endMove(Tail, Job.error());
      });
}

void ShardManager::writeMove(const MovableTail &Tail,
                             const std::string &TargetShard,
                             const std::optional<Row> &Job) {
  const ShareEntry &Share = m_tasks.shares().at(Tail.Share);
  auto Count = static_cast<uint32_t>(Tail.Tasks.size());
  v1::ShareRow Remaining = Share.Row;
  Remaining.set_count(Share.Row.count() - Count);
  v1::ShareRow Moved = Share.Row;
  Moved.set_first(Share.Row.first() + Remaining.count());
  Moved.set_count(Count);
  for (const std::string &Id : Tail.Tasks)
    Moved.set_has_rows(Moved.has_rows() || m_tasks.find(Id)->Version != 0);
  std::vector<Write> Writes = {
      {.Key = shareKey(TargetShard, shareName(Moved.job(), Moved.first())),
       .Value = Moved.SerializeAsString()},
      {.Key = shareKey(m_claim.Shard, Tail.Share),
       .Value = Remaining.SerializeAsString(),
       .Remove = Remaining.count() == 0,
       .ExpectedVersion = Share.Version}};
  for (const std::string &Id : Tail.Tasks) {
    const TaskEntry &Task = *m_tasks.find(Id);
    if (Task.Version == 0)
      continue;
    Writes.push_back({.Key = taskKey(TargetShard, Id),
                      .Value = Task.Row.SerializeAsString()});
    Writes.push_back({.Key = taskKey(m_claim.Shard, Id),
                      .Remove = true,
                      .ExpectedVersion = Task.Version});
  }
  addJobWrite(Writes, TargetShard, Job);
  m_committer.commit(std::move(Writes), [Self = weak_from_this(), Tail,
                                         TargetShard](Result<uint64_t> Reply) {
    auto Manager = Self.lock();
    if (!Manager)
      return;
    if (Reply.has_value())
      Manager->reportEvent("tasks_moved",
                           fmt::format("share={} tasks={} to={}", Tail.Share,
                                       Tail.Tasks.size(), TargetShard));
    Manager->endMove(Tail, Reply);
  });
}

void ShardManager::addJobWrite(std::vector<Write> &Writes,
                               const std::string &TargetShard,
                               const std::optional<Row> &Job) {
  v1::JobRow Row;
  if (!Job || !Row.ParseFromString(Job->Value))
    return;
  bool IsListed = std::find(Row.shards().begin(), Row.shards().end(),
                            TargetShard) != Row.shards().end();
  if (IsListed)
    return;
  Row.add_shards(TargetShard);
  Writes.push_back({.Key = Job->Key,
                    .Value = Row.SerializeAsString(),
                    .ExpectedVersion = Job->Version});
}

void ShardManager::endMove(const MovableTail &Tail,
                           const Result<uint64_t> &Reply) {
  m_isMoving = false;
  for (const std::string &Id : Tail.Tasks)
    m_tasks.find(Id)->IsWriting = false;
  if (!Reply.has_value())
    return onShareConflict(Tail.Share, Reply.error());
  auto Count = static_cast<uint32_t>(Tail.Tasks.size());
  ShareEntry &Share = m_tasks.shares().at(Tail.Share);
  if (Share.Row.count() == Count)
    return m_tasks.eraseShare(Tail.Share, Reply.value());
  m_tasks.shrinkShare(Tail.Share, Count, Reply.value());
  // The tasks that remain in the share may all be final already.
  if (Share.FinalTasks >= Share.Row.count())
    finishShare(Tail.Share);
}

BASILCHUTE_NAMESPACE_END
