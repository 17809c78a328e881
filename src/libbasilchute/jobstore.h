/// \file
/// Jobs as rows: submission, cancellation and reading.
#pragma once

#include "basilchute/committer.h"
#include "basilchute/layout.h"
#include "basilchute/membership.h"
#include "libbasilchute/rows.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Tasks of a job that one shard is to run.
struct JobShare {
  std::string Shard;
  uint32_t First = 0;
  uint32_t Count = 0;
};

/// Divides \p Tasks tasks of \p Demand over shards by their free room in
/// \p Summaries, and evenly by name where nothing is known.
std::vector<JobShare> divideJob(const std::string &Job, uint32_t Tasks,
                                const Resources &Demand, const Layout &Over,
                                const std::vector<ShardSummary> &Summaries);

/// Writes and reads the rows of jobs. Not safe for use by several threads.
class JobStore {
public:
  using Done = std::function<void(Status)>;
  using StatusDone = std::function<void(Result<v1::JobStatus>)>;
  using ListDone = std::function<void(Result<std::vector<v1::JobRow>>)>;

  JobStore(std::string WriterId, TableStore &Store, const Clock &Time);

  void tick() { m_committer.tick(); }
  /// Writes \p Job divided into \p Shares. A repeat of the same submission
  /// succeeds; another job of that name fails with AlreadyExists.
  void submit(const v1::SubmitJobRequest &Job,
              const std::vector<JobShare> &Shares, Done Finished);
  /// Marks all unfinished shares of \p Job as cancelled; fails with NotFound.
  /// Repeats itself while owners change the rows.
  void cancel(const std::string &Job,
              std::function<void(Result<std::vector<std::string>>)> Finished);
  /// Reads the state of \p Job; fails with NotFound.
  void status(const std::string &Job, StatusDone Finished);
  /// Reads all jobs.
  void list(ListDone Finished);

private:
  /// Rows of one job as a read collects them.
  struct Reading;

  void readJob(const std::string &Job,
               std::function<void(Result<std::shared_ptr<Reading>>)> Finished);
  void
  readShard(const std::shared_ptr<Reading> &Into, size_t Index,
            std::function<void(Result<std::shared_ptr<Reading>>)> Finished);
  void onSubmitted(const v1::JobRow &Wanted, const Result<uint64_t> &Reply,
                   const Done &Finished);

  TableStore &m_store;
  Committer m_committer;
};

BASILCHUTE_NAMESPACE_END
