#include "libbasilchute/jobstore.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Gives each shard the next contiguous range of task numbers.
std::vector<JobShare>
numberShares(const std::map<std::string, uint32_t> &Counts) {
  std::vector<JobShare> Out;
  uint32_t First = 0;
  for (const auto &[Shard, Count] : Counts) {
    Out.push_back({.Shard = Shard, .FirstTask = First, .TaskCount = Count});
    First += Count;
  }
  return Out;
}

std::vector<JobShare> evenShares(const std::string &Job, uint32_t Tasks,
                                 const Layout &FleetLayout) {
  std::map<std::string, uint32_t> Counts;
  for (uint32_t I = 0; I < Tasks; ++I)
    ++Counts[FleetLayout.homeShardOf(Job, I)];
  return numberShares(Counts);
}

v1::ShareRow makeShareRow(const v1::SubmitJobRequest &Job,
                          const JobShare &Share) {
  v1::ShareRow Out;
  Out.set_job(Job.name());
  Out.set_team(Job.team());
  Out.set_kind(Job.kind());
  *Out.mutable_demand() = Job.demand();
  Out.set_work_ms(Job.work_ms());
  Out.set_urgent(Job.urgent());
  Out.set_first(Share.FirstTask);
  Out.set_count(Share.TaskCount);
  return Out;
}

std::string fingerprintOf(const v1::SubmitJobRequest &Job) {
  return fmt::format("{:016x}", stableHash(Job.SerializeAsString()));
}

/// Adds one task in \p State to the counts in \p Status.
void countTask(v1::JobStatus &Status, v1::TaskState State) {
  switch (State) {
  case v1::TASK_PLACED:
    return Status.set_placed(Status.placed() + 1);
  case v1::TASK_DONE:
    return Status.set_done(Status.done() + 1);
  case v1::TASK_FAILED:
    return Status.set_failed(Status.failed() + 1);
  case v1::TASK_CANCELLED:
    return Status.set_cancelled(Status.cancelled() + 1);
  default:
    return Status.set_pending(Status.pending() + 1);
  }
}

} // namespace

std::vector<JobShare> divideJob(const std::string &Job, uint32_t Tasks,
                                const Resources &Demand,
                                const Layout &FleetLayout,
                                const std::vector<ShardSummary> &Summaries) {
  std::map<std::string, int64_t> Free;
  // Assumes that each waiting task will use one core.
  for (const ShardSummary &Summary : Summaries)
    if (Demand.fits(Summary.LargestFree))
      Free[Summary.Shard] =
          Summary.Free.Millicores - 1000 * Summary.WaitingTasks;
  if (Free.empty())
    return evenShares(Job, Tasks, FleetLayout);
  std::map<std::string, uint32_t> Counts;
  for (uint32_t I = 0; I < Tasks; ++I) {
    auto Best = std::max_element(
        Free.begin(), Free.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    Best->second -= Demand.Millicores;
    ++Counts[Best->first];
  }
  return numberShares(Counts);
}

struct JobStore::CollectedRows {
  v1::JobRow Job;
  std::vector<v1::ShareRow> Shares;
  /// Key and version of the row of each entry of `Shares`.
  std::vector<RowVersionCheck> ShareRows;
  std::vector<v1::TaskRow> Tasks;
};

JobStore::JobStore(std::string WriterId, TableStore &Store, const Clock &Time)
    : m_store(Store),
      m_committer({.WriterId = std::move(WriterId) + ".jobs"}, Store, Time) {}

void JobStore::submit(const v1::SubmitJobRequest &Job,
                      const std::vector<JobShare> &Shares, Done OnDone) {
  v1::JobRow Row;
  Row.set_name(Job.name());
  Row.set_team(Job.team());
  Row.set_kind(Job.kind());
  Row.set_tasks(Job.tasks());
  Row.set_urgent(Job.urgent());
  Row.set_fingerprint(fingerprintOf(Job));
  std::vector<Write> Writes;
  for (const JobShare &Share : Shares)
    Row.add_shards(Share.Shard);
  Writes.push_back(
      {.Key = jobKey(Job.name()), .Value = Row.SerializeAsString()});
  for (const JobShare &Share : Shares)
    Writes.push_back(
        {.Key = shareKey(Share.Shard, shareName(Job.name(), Share.FirstTask)),
         .Value = makeShareRow(Job, Share).SerializeAsString()});
  m_committer.commit(std::move(Writes),
                     [this, Row, OnDone](const Result<uint64_t> &Reply) {
                       onSubmitted(Row, Reply, OnDone);
                     });
}

void JobStore::onSubmitted(const v1::JobRow &Submitted,
                           const Result<uint64_t> &Reply, const Done &OnDone) {
  if (Reply.has_value())
    return OnDone(okStatus());
  m_store.get(
      jobKey(Submitted.name()),
      [Submitted, OnDone](const Result<std::optional<Row>> &Stored) {
        if (!Stored.has_value())
          return OnDone(Stored.error());
        v1::JobRow Existing;
        bool IsSame = Stored.value() &&
                      Existing.ParseFromString(Stored.value()->Value) &&
                      Existing.fingerprint() == Submitted.fingerprint();
        if (IsSame)
          return OnDone(okStatus());
        OnDone(makeError(ResultCode::AlreadyExists,
                         fmt::format("a different job \"{}\" already exists",
                                     Submitted.name())));
      });
}

void JobStore::readJob(
    const std::string &Job,
    std::function<void(Result<std::shared_ptr<CollectedRows>>)> OnDone) {
  m_store.get(jobKey(Job), [this, Job, OnDone = std::move(OnDone)](
                               const Result<std::optional<Row>> &Stored) {
    if (!Stored.has_value())
      return OnDone(Stored.error());
    if (!Stored.value())
      return OnDone(makeError(ResultCode::NotFound,
                              fmt::format("job \"{}\" does not exist", Job)));
    auto Collected = std::make_shared<CollectedRows>();
    Result<v1::JobRow> Decoded = decodeRow<v1::JobRow>(*Stored.value());
    if (!Decoded.has_value())
      return OnDone(Decoded.error());
    Collected->Job = Decoded.value();
    readShard(Collected, 0, OnDone);
  });
}

void JobStore::readShard(
    const std::shared_ptr<CollectedRows> &Collected, size_t Index,
    std::function<void(Result<std::shared_ptr<CollectedRows>>)> OnDone) {
  if (static_cast<int>(Index) >= Collected->Job.shards_size())
    return OnDone(Collected);
  const std::string &Shard = Collected->Job.shards(static_cast<int>(Index));
  std::string Prefix = taskKey(Shard, Collected->Job.name() + "/");
  auto OnTasks = [this, Collected, Index,
                  OnDone](const Result<std::vector<Row>> &Rows) {
    if (!Rows.has_value())
      return OnDone(Rows.error());
    for (const Row &TableRow : Rows.value())
      if (auto Task = decodeRow<v1::TaskRow>(TableRow); Task.has_value())
        Collected->Tasks.push_back(Task.value());
    readShard(Collected, Index + 1, OnDone);
  };
  m_store.scan(
      jobSharePrefix(Shard, Collected->Job.name()),
      [this, Collected, Prefix, OnDone,
       OnTasks](const Result<std::vector<Row>> &Rows) {
        if (!Rows.has_value())
          return OnDone(Rows.error());
        for (const Row &TableRow : Rows.value()) {
          auto Share = decodeRow<v1::ShareRow>(TableRow);
          if (!Share.has_value())
            continue;
          Collected->Shares.push_back(Share.value());
          Collected->ShareRows.push_back(
              {.Key = TableRow.Key, .ExpectedVersion = TableRow.Version});
        }
        m_store.scan(Prefix, OnTasks);
      });
}

void JobStore::status(const std::string &Job, StatusDone OnDone) {
  readJob(Job, [OnDone = std::move(OnDone)](
                   const Result<std::shared_ptr<CollectedRows>> &Read) {
    if (!Read.has_value())
      return OnDone(Read.error());
    const CollectedRows &Collected = *Read.value();
    v1::JobStatus Out;
    Out.set_name(Collected.Job.name());
    Out.set_team(Collected.Job.team());
    uint32_t KnownTasks = 0;
    for (const v1::TaskRow &Task : Collected.Tasks) {
      countTask(Out, Task.state());
      Out.set_evictions(Out.evictions() + Task.evictions());
      *Out.add_tasks() = Task;
      ++KnownTasks;
    }
    for (const v1::ShareRow &Share : Collected.Shares) {
      if (!Share.finished())
        continue;
      Out.set_done(Out.done() + Share.done());
      Out.set_failed(Out.failed() + Share.failed());
      Out.set_evictions(Out.evictions() + Share.evictions());
      uint32_t Cancelled = Share.count() - Share.done() - Share.failed();
      Out.set_cancelled(Out.cancelled() + Cancelled);
      KnownTasks += Share.count();
    }
    // Tasks that were never placed have no row and count as pending.
    Out.set_pending(Out.pending() + Collected.Job.tasks() -
                    std::min(KnownTasks, Collected.Job.tasks()));
    OnDone(Out);
  });
}

void JobStore::cancel(
    const std::string &Job,
    std::function<void(Result<std::vector<std::string>>)> OnDone) {
  readJob(Job, [this, Job, OnDone = std::move(OnDone)](
                   const Result<std::shared_ptr<CollectedRows>> &Read) {
    if (!Read.has_value())
      return OnDone(Read.error());
    const CollectedRows &Collected = *Read.value();
    std::vector<std::string> Shards(Collected.Job.shards().begin(),
                                    Collected.Job.shards().end());
    std::vector<Write> Writes;
    for (size_t I = 0; I < Collected.Shares.size(); ++I) {
      v1::ShareRow Share = Collected.Shares[I];
      if (Share.finished() || Share.cancelled())
        continue;
      Share.set_cancelled(true);
      Writes.push_back(
          {.Key = Collected.ShareRows[I].Key,
           .Value = Share.SerializeAsString(),
           .ExpectedVersion = Collected.ShareRows[I].ExpectedVersion});
    }
    if (Writes.empty())
      return OnDone(Shards);
    m_committer.commit(std::move(Writes), [this, Job, Shards, OnDone](
                                              const Result<uint64_t> &Reply) {
      if (Reply.has_value())
        return OnDone(Shards);
      cancel(Job, OnDone);
    });
  });
}

void JobStore::list(ListDone OnDone) {
  m_store.scan("job/", [OnDone = std::move(OnDone)](
                           const Result<std::vector<Row>> &Rows) {
    if (!Rows.has_value())
      return OnDone(Rows.error());
    std::vector<v1::JobRow> Out;
    for (const Row &JobRow : Rows.value())
      if (auto Job = decodeRow<v1::JobRow>(JobRow); Job.has_value())
        Out.push_back(Job.value());
    OnDone(Out);
  });
}

BASILCHUTE_NAMESPACE_END
