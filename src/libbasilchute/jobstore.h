/// \file
/// Submission, cancellation and reading of jobs that are stored as rows.
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

/// Contiguous range of a job's tasks that one shard runs.
struct JobShare {
  std::string Shard;
  uint32_t FirstTask = 0;
  uint32_t TaskCount = 0;
};

/// Divides the \p Tasks tasks of \p Job, each with \p Demand, over shards by
/// their free resources in \p Summaries. If no summary shows a worker that
/// could hold a task, spreads the tasks evenly by a hash of the job's name.
std::vector<JobShare> divideJob(const std::string &Job, uint32_t Tasks,
                                const Resources &Demand,
                                const Layout &FleetLayout,
                                const std::vector<ShardSummary> &Summaries);

/// Writes and reads the rows of jobs. Not thread-safe.
class JobStore {
public:
  using Done = std::function<void(Status)>;
  using StatusDone = std::function<void(Result<v1::JobStatus>)>;
  using ListDone = std::function<void(Result<std::vector<v1::JobRow>>)>;

  JobStore(std::string WriterId, TableStore &Store, const Clock &Time);

  void tick() { m_committer.tick(); }
  /// Writes \p Job divided into \p Shares. Repeating the same submission
  /// succeeds; a different job of the same name fails with AlreadyExists.
  void submit(const v1::SubmitJobRequest &Job,
              const std::vector<JobShare> &Shares, Done OnDone);
  /// Marks all unfinished shares of \p Job as cancelled and returns the job's
  /// shards; fails with NotFound. Retries if the owner of a shard changed a row
  /// in the meantime.
  void cancel(const std::string &Job,
              std::function<void(Result<std::vector<std::string>>)> OnDone);
  /// Reads the state of \p Job; fails with NotFound.
  void status(const std::string &Job, StatusDone OnDone);
  /// Reads all jobs.
  void list(ListDone OnDone);

private:
  /// Rows of one job, collected by a read.
  struct CollectedRows;

  void
  readJob(const std::string &Job,
          std::function<void(Result<std::shared_ptr<CollectedRows>>)> OnDone);
  void
  readShard(const std::shared_ptr<CollectedRows> &Collected, size_t Index,
            std::function<void(Result<std::shared_ptr<CollectedRows>>)> OnDone);
  void onSubmitted(const v1::JobRow &Submitted, const Result<uint64_t> &Reply,
                   const Done &OnDone);

  TableStore &m_store;
  Committer m_committer;
};

BASILCHUTE_NAMESPACE_END
