/// \file
/// Takes jobs, answers for their state, and cancels them, on any host.
#pragma once

#include "basilchute/job.h"
#include "basilchute/rowstore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a JobDesk.
struct JobDeskOptions {
  /// Returns the shard for a new job; the first one if not set.
  std::function<int(const Job &)> Choose;
  /// Transactions may span parts. If not, all jobs go to the first shard.
  bool SpansParts = true;
  /// Runs a function after a delay.
  std::function<void(milliseconds, std::function<void()>)> After;
  /// Returns the time since 1970.
  std::function<milliseconds()> WallTime;
  /// Returns the state of a job whose shard this host owns; none if unknown.
  std::function<std::optional<JobState>(const std::string &)> LocalState;
};

/// Checks a job before it is stored; fails with InvalidArgument or TooLarge and
/// a message that names the field.
Status checkJob(const Job &Value);

/// The jobs' front desk. An index row for each job says which shard holds it.
/// Every call is answered once; not safe for several threads.
class JobDesk {
public:
  /// Success means that the job is stored. Unavailable and Overloaded mean that
  /// it is not and never will be; OutcomeUnknown that this could not be found
  /// out in time.
  using SubmitDone = std::function<void(Status)>;
  /// Fails with NotFound or Unavailable.
  using StateDone = std::function<void(Result<JobState>)>;
  /// Fails with NotFound, Unavailable or OutcomeUnknown.
  using CancelDone = std::function<void(Status)>;

  JobDesk(JobDeskOptions Options, RowStore &Store, const Clock &Time);
  ~JobDesk();
  JobDesk(const JobDesk &) = delete;
  JobDesk &operator=(const JobDesk &) = delete;

  /// Stores \p Value unless it is stored already.
  void submit(const Job &Value, TimePoint Deadline, SubmitDone Done);
  void state(const std::string &Job, TimePoint Deadline, StateDone Done);
  void cancel(const std::string &Job, TimePoint Deadline, CancelDone Done);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
