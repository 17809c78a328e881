#include "libbasilchute/jobstore.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Gives each shard the next run of task numbers.
std::vector<JobShare> numbered(const std::map<std::string, uint32_t> &Counts) {
  std::vector<JobShare> Out;
  uint32_t First = 0;
  for (const auto &[Shard, Count] : Counts) {
    Out.push_back({.Shard = Shard, .First = First, .Count = Count});
    First += Count;
  }
  return Out;
}

std::vector<JobShare> evenShares(const std::string &Job, uint32_t Tasks,
                                 const Layout &Over) {
  std::map<std::string, uint32_t> Counts;
  for (uint32_t I = 0; I < Tasks; ++I)
    ++Counts[Over.homeOf(Job, I)];
  return numbered(Counts);
}

v1::ShareRow shareOf(const v1::SubmitJobRequest &Job, const JobShare &Part) {
  v1::ShareRow Out;
  Out.set_job(Job.name());
  Out.set_team(Job.team());
  Out.set_kind(Job.kind());
  *Out.mutable_demand() = Job.demand();
  Out.set_work_ms(Job.work_ms());
  Out.set_urgent(Job.urgent());
  Out.set_first(Part.First);
  Out.set_count(Part.Count);
  return Out;
}

std::string fingerprintOf(const v1::SubmitJobRequest &Job) {
  return fmt::format("{:016x}", stableHash(Job.SerializeAsString()));
}

void count(v1::JobStatus &Into, v1::TaskState State) {
  switch (State) {
  case v1::TASK_PLACED:
    return Into.set_placed(Into.placed() + 1);
  case v1::TASK_DONE:
    return Into.set_done(Into.done() + 1);
  case v1::TASK_FAILED:
    return Into.set_failed(Into.failed() + 1);
  case v1::TASK_CANCELLED:
    return Into.set_cancelled(Into.cancelled() + 1);
  default:
    return Into.set_pending(Into.pending() + 1);
  }
}

} // namespace

std::vector<JobShare> divideJob(const std::string &Job, uint32_t Tasks,
                                const Resources &Demand, const Layout &Over,
                                const std::vector<ShardSummary> &Summaries) {
  std::map<std::string, int64_t> Free;
  for (const ShardSummary &Each : Summaries)
    if (Demand.fits(Each.LargestFit))
      Free[Each.Shard] = Each.Free.Millicores - 1000 * Each.Waiting;
  if (Free.empty())
    return evenShares(Job, Tasks, Over);
  std::map<std::string, uint32_t> Counts;
  for (uint32_t I = 0; I < Tasks; ++I) {
    auto Best = std::max_element(
        Free.begin(), Free.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    Best->second -= Demand.Millicores;
    ++Counts[Best->first];
  }
  return numbered(Counts);
}

struct JobStore::Reading {
  v1::JobRow Job;
  std::vector<v1::ShareRow> Shares;
  /// Key and version of each share's row.
  std::vector<Check> ShareRows;
  std::vector<v1::TaskRow> Tasks;
};

JobStore::JobStore(std::string WriterId, TableStore &Store, const Clock &Time)
    : m_store(Store),
      m_committer({.WriterId = std::move(WriterId) + ".jobs"}, Store, Time) {}

void JobStore::submit(const v1::SubmitJobRequest &Job,
                      const std::vector<JobShare> &Shares, Done Finished) {
  v1::JobRow Row;
  Row.set_name(Job.name());
  Row.set_team(Job.team());
  Row.set_kind(Job.kind());
  Row.set_tasks(Job.tasks());
  Row.set_urgent(Job.urgent());
  Row.set_fingerprint(fingerprintOf(Job));
  std::vector<Write> Writes;
  for (const JobShare &Each : Shares)
    Row.add_shards(Each.Shard);
  Writes.push_back(
      {.Key = jobKey(Job.name()), .Value = Row.SerializeAsString()});
  for (const JobShare &Each : Shares)
    Writes.push_back(
        {.Key = shareKey(Each.Shard, shareName(Job.name(), Each.First)),
         .Value = shareOf(Job, Each).SerializeAsString()});
  m_committer.commit(std::move(Writes),
                     [this, Row, Finished](const Result<uint64_t> &Reply) {
                       onSubmitted(Row, Reply, Finished);
                     });
}

void JobStore::onSubmitted(const v1::JobRow &Wanted,
                           const Result<uint64_t> &Reply,
                           const Done &Finished) {
  if (Reply.has_value())
    return Finished(okStatus());
  m_store.get(jobKey(Wanted.name()),
              [Wanted, Finished](const Result<std::optional<Row>> &Found) {
                if (!Found.has_value())
                  return Finished(Found.error());
                v1::JobRow Known;
                bool Same = Found.value() &&
                            Known.ParseFromString(Found.value()->Value) &&
                            Known.fingerprint() == Wanted.fingerprint();
                if (Same)
                  return Finished(okStatus());
                Finished(makeError(
                    ResultCode::AlreadyExists,
                    fmt::format("another job \"{}\" exists", Wanted.name())));
              });
}

void JobStore::readJob(
    const std::string &Job,
    std::function<void(Result<std::shared_ptr<Reading>>)> Finished) {
  m_store.get(jobKey(Job), [this, Job, Finished = std::move(Finished)](
                               const Result<std::optional<Row>> &Found) {
    if (!Found.has_value())
      return Finished(Found.error());
    if (!Found.value())
      return Finished(makeError(ResultCode::NotFound,
                                fmt::format("job \"{}\" does not exist", Job)));
    auto Into = std::make_shared<Reading>();
    Result<v1::JobRow> Decoded = decodeRow<v1::JobRow>(*Found.value());
    if (!Decoded.has_value())
      return Finished(Decoded.error());
    Into->Job = Decoded.value();
    readShard(Into, 0, Finished);
  });
}

void JobStore::readShard(
    const std::shared_ptr<Reading> &Into, size_t Index,
    std::function<void(Result<std::shared_ptr<Reading>>)> Finished) {
  if (static_cast<int>(Index) >= Into->Job.shards_size())
    return Finished(Into);
  const std::string &Shard = Into->Job.shards(static_cast<int>(Index));
  std::string Prefix = taskKey(Shard, Into->Job.name() + "/");
  auto OnTasks = [this, Into, Index,
                  Finished](const Result<std::vector<Row>> &Rows) {
    if (!Rows.has_value())
      return Finished(Rows.error());
    for (const Row &Each : Rows.value())
      if (auto Task = decodeRow<v1::TaskRow>(Each); Task.has_value())
        Into->Tasks.push_back(Task.value());
    readShard(Into, Index + 1, Finished);
  };
  m_store.scan(jobSharePrefix(Shard, Into->Job.name()),
               [this, Into, Prefix, Finished,
                OnTasks](const Result<std::vector<Row>> &Rows) {
                 if (!Rows.has_value())
                   return Finished(Rows.error());
                 for (const Row &Each : Rows.value()) {
                   auto Share = decodeRow<v1::ShareRow>(Each);
                   if (!Share.has_value())
                     continue;
                   Into->Shares.push_back(Share.value());
                   Into->ShareRows.push_back(
                       {.Key = Each.Key, .ExpectedVersion = Each.Version});
                 }
                 m_store.scan(Prefix, OnTasks);
               });
}

void JobStore::status(const std::string &Job, StatusDone Finished) {
  readJob(Job, [Finished = std::move(Finished)](
                   const Result<std::shared_ptr<Reading>> &Read) {
    if (!Read.has_value())
      return Finished(Read.error());
    const Reading &From = *Read.value();
    v1::JobStatus Out;
    Out.set_name(From.Job.name());
    Out.set_team(From.Job.team());
    uint32_t Known = 0;
    for (const v1::TaskRow &Each : From.Tasks) {
      count(Out, Each.state());
      Out.set_evictions(Out.evictions() + Each.evictions());
      *Out.add_tasks() = Each;
      ++Known;
    }
    for (const v1::ShareRow &Each : From.Shares) {
      if (!Each.finished())
        continue;
      Out.set_done(Out.done() + Each.done());
      Out.set_failed(Out.failed() + Each.failed());
      Out.set_evictions(Out.evictions() + Each.evictions());
      uint32_t Others = Each.count() - Each.done() - Each.failed();
      Out.set_cancelled(Out.cancelled() + Others);
      Known += Each.count();
    }
    // Tasks that were never placed have no row.
    Out.set_pending(Out.pending() + From.Job.tasks() -
                    std::min(Known, From.Job.tasks()));
    Finished(Out);
  });
}

void JobStore::cancel(
    const std::string &Job,
    std::function<void(Result<std::vector<std::string>>)> Finished) {
  readJob(Job, [this, Job, Finished = std::move(Finished)](
                   const Result<std::shared_ptr<Reading>> &Read) {
    if (!Read.has_value())
      return Finished(Read.error());
    const Reading &From = *Read.value();
    std::vector<std::string> Shards(From.Job.shards().begin(),
                                    From.Job.shards().end());
    std::vector<Write> Writes;
    for (size_t I = 0; I < From.Shares.size(); ++I) {
      v1::ShareRow Share = From.Shares[I];
      if (Share.finished() || Share.cancelled())
        continue;
      Share.set_cancelled(true);
      Writes.push_back({.Key = From.ShareRows[I].Key,
                        .Value = Share.SerializeAsString(),
                        .ExpectedVersion = From.ShareRows[I].ExpectedVersion});
    }
    if (Writes.empty())
      return Finished(Shards);
    m_committer.commit(std::move(Writes), [this, Job, Shards, Finished](
                                              const Result<uint64_t> &Reply) {
      if (Reply.has_value())
        return Finished(Shards);
      cancel(Job, Finished);
    });
  });
}

void JobStore::list(ListDone Finished) {
  m_store.scan("job/", [Finished = std::move(Finished)](
                           const Result<std::vector<Row>> &Rows) {
    if (!Rows.has_value())
      return Finished(Rows.error());
    std::vector<v1::JobRow> Out;
    for (const Row &Each : Rows.value())
      if (auto Job = decodeRow<v1::JobRow>(Each); Job.has_value())
        Out.push_back(Job.value());
    Finished(Out);
  });
}

BASILCHUTE_NAMESPACE_END
