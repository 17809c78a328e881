// Moving waiting tasks to a shard that has room for them.

#include "libbasilchute/shardkeeper.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds MoveEvery{1000};

} // namespace

const ShardSummary *ShardKeeper::roomElsewhere(const Resources &Demand) const {
  const ShardSummary *Best = nullptr;
  for (const ShardSummary &Each : m_summaries) {
    if (Each.Shard == m_claim.Shard || !Demand.fits(Each.LargestFit))
      continue;
    if (!Best || Each.Free.Millicores > Best->Free.Millicores)
      Best = &Each;
  }
  return Best;
}

void ShardKeeper::moveWaiting(TimePoint Now) {
  if (Now < m_moveAt || m_moving)
    return;
  m_moveAt = Now + MoveEvery;
  for (const auto &[Class, Sequence, Id] : m_book.waiting()) {
    const TaskEntry &Entry = *m_book.find(Id);
    bool Patient = Now - Entry.WaitingSince < m_context.Options.MoveAfter;
    if (Class == TaskClass::LatencyCritical || Patient || Now < Entry.NotBefore)
      continue;
    const ShardSummary *To = roomElsewhere(Entry.demand());
    if (!To)
      continue;
    auto Room = static_cast<size_t>(
        To->Free.Millicores / std::max<int64_t>(Entry.demand().Millicores, 1));
    MovableTail Tail = m_book.movableTail(Entry, std::max<size_t>(Room, 1));
    if (Tail.Tasks.empty())
      continue;
    return beginMove(std::move(Tail), To->Shard);
  }
}

// The job's row lists the shards that its tasks may be in, so it changes with
// the move.
void ShardKeeper::beginMove(MovableTail Tail, const std::string &To) {
  m_moving = true;
  ShareEntry &Share = m_book.shares().at(Tail.Share);
  Share.Writing = true;
  for (const std::string &Id : Tail.Tasks) {
    m_book.unqueue(*m_book.find(Id));
    m_book.find(Id)->Writing = true;
  }
  m_context.Store.get(jobKey(Share.Row.job()),
                      [Self = weak_from_this(), Tail = std::move(Tail),
                       To](Result<std::optional<Row>> Job) {
                        auto Live = Self.lock();
                        if (!Live)
                          return;
                        if (Job.has_value())
                          return Live->writeMove(Tail, To, Job.value());
                        Live->endMove(Tail, Job.error());
                      });
}

void ShardKeeper::writeMove(const MovableTail &Tail, const std::string &To,
                            const std::optional<Row> &Job) {
  const ShareEntry &Share = m_book.shares().at(Tail.Share);
  auto Count = static_cast<uint32_t>(Tail.Tasks.size());
  v1::ShareRow Kept = Share.Row;
  Kept.set_count(Share.Row.count() - Count);
  v1::ShareRow Moved = Share.Row;
  Moved.set_first(Share.Row.first() + Kept.count());
  Moved.set_count(Count);
  for (const std::string &Id : Tail.Tasks)
    Moved.set_has_rows(Moved.has_rows() || m_book.find(Id)->Version != 0);
  std::vector<Write> Writes = {
      {.Key = shareKey(To, shareName(Moved.job(), Moved.first())),
       .Value = Moved.SerializeAsString()},
      {.Key = shareKey(m_claim.Shard, Tail.Share),
       .Value = Kept.SerializeAsString(),
       .Remove = Kept.count() == 0,
       .ExpectedVersion = Share.Version}};
  for (const std::string &Id : Tail.Tasks) {
    const TaskEntry &Task = *m_book.find(Id);
    if (Task.Version == 0)
      continue;
    Writes.push_back(
        {.Key = taskKey(To, Id), .Value = Task.Row.SerializeAsString()});
    Writes.push_back({.Key = taskKey(m_claim.Shard, Id),
                      .Remove = true,
                      .ExpectedVersion = Task.Version});
  }
  addJobWrite(Writes, To, Job);
  m_committer.commit(std::move(Writes), [Self = weak_from_this(), Tail,
                                         To](Result<uint64_t> Reply) {
    auto Live = Self.lock();
    if (!Live)
      return;
    if (Reply.has_value())
      Live->event("tasks_moved",
                  fmt::format("share={} tasks={} to={}", Tail.Share,
                              Tail.Tasks.size(), To));
    Live->endMove(Tail, Reply);
  });
}

void ShardKeeper::addJobWrite(std::vector<Write> &Writes, const std::string &To,
                              const std::optional<Row> &Job) {
  v1::JobRow Row;
  if (!Job || !Row.ParseFromString(Job->Value))
    return;
  bool Listed = std::find(Row.shards().begin(), Row.shards().end(), To) !=
                Row.shards().end();
  if (Listed)
    return;
  Row.add_shards(To);
  Writes.push_back({.Key = Job->Key,
                    .Value = Row.SerializeAsString(),
                    .ExpectedVersion = Job->Version});
}

void ShardKeeper::endMove(const MovableTail &Tail,
                          const Result<uint64_t> &Reply) {
  m_moving = false;
  for (const std::string &Id : Tail.Tasks)
    m_book.find(Id)->Writing = false;
  if (!Reply.has_value())
    return onShareConflict(Tail.Share, Reply.error());
  auto Count = static_cast<uint32_t>(Tail.Tasks.size());
  ShareEntry &Share = m_book.shares().at(Tail.Share);
  if (Share.Row.count() == Count)
    return m_book.eraseShare(Tail.Share, Reply.value());
  m_book.cutShare(Tail.Share, Count, Reply.value());
  // What is left may all be final already.
  if (Share.FinalTasks >= Share.Row.count())
    finishShare(Tail.Share);
}

BASILCHUTE_NAMESPACE_END
