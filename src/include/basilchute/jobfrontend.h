/// \file
/// Submission, state queries and cancellation of jobs, on any host.
#pragma once

#include "basilchute/job.h"
#include "basilchute/rowstore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a JobFrontend.
struct JobFrontendOptions {
  /// Returns the shard for a new job. If not set, new jobs go to the first
  /// shard.
  std::function<int(const Job &)> ChooseShard;
  /// Fails if a job would be stored and not start on the fleet as it is known.
  /// If not set, every job is stored.
  std::function<Status(const Job &)> CheckRoom;
  /// Fails if a job is refused for the load; called after CheckRoom. Unless an
  /// earlier call has stored the job, the refusal is stored, so that no such
  /// call takes effect later. If not set, no job is refused so.
  std::function<Status(const Job &)> Admit;
  /// Returns a version that the store had reached. A submission replaces a
  /// refusal only if that was stored before the submission began.
  std::function<uint64_t()> KnownVersion;
  /// True if a transaction of the store may span several partitions. If false,
  /// all jobs go to the first shard.
  bool CanSpanPartitions = true;
  /// Runs a function after a delay.
  std::function<void(milliseconds, std::function<void()>)> RunAfter;
  /// Returns the wall-clock time since the Unix epoch.
  std::function<milliseconds()> WallTime;
  /// Returns the state of a job in a shard that this host owns; none if this
  /// host does not know the job.
  std::function<std::optional<JobState>(const std::string &)> FindLocalState;
};

/// Validates a job before it is stored. Fails with InvalidArgument or TooLarge
/// and a message that names the invalid field.
Status checkJob(const Job &Value);

/// Accepts jobs, answers queries for their state, and cancels them. An index
/// row for each job names the shard that holds the job. Each call invokes its
/// callback once. Not thread-safe.
class JobFrontend {
public:
  /// Success means that the job is stored. Unavailable, Overloaded and the
  /// errors of JobFrontendOptions::CheckRoom and Admit mean that this call has
  /// not stored the job and never will, and that no earlier call on any host
  /// had stored it. NotFound means that the job was cancelled before it could
  /// be stored, and never will be. OutcomeUnknown means that none of these
  /// could be established before the deadline.
  using SubmitDone = std::function<void(Status)>;
  /// Fails with NotFound or Unavailable.
  using StateDone = std::function<void(Result<JobState>)>;
  /// Fails with NotFound, Unavailable or OutcomeUnknown.
  using CancelDone = std::function<void(Status)>;

  JobFrontend(JobFrontendOptions Options, RowStore &Store, const Clock &Time);
  ~JobFrontend();
  JobFrontend(const JobFrontend &) = delete;
  JobFrontend &operator=(const JobFrontend &) = delete;

  /// Stores \p Value unless a job with its id is already stored.
  void submit(const Job &Value, TimePoint Deadline, SubmitDone Done);
  /// Determines the state of the job \p Id.
  void state(const std::string &Id, TimePoint Deadline, StateDone Done);
  /// Stores a cancellation of the job \p Id. NotFound also means that the job
  /// is not stored later, by a submission that is on its way.
  void cancel(const std::string &Id, TimePoint Deadline, CancelDone Done);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
