/// \file
/// Refusal of a job for the load. Addresses submissions of the same job through
/// other hosts that may still take effect after the refusal.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"
#include "basilchute/rowstore.h"

#include <functional>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// What has become of a job that was to be refused.
enum class RefusalOutcome {
  /// The job is not stored, and no submission that was sent before is.
  Refused,
  /// An earlier submission has stored the job.
  Stored,
  /// The job was cancelled before it was stored.
  Barred,
};

/// Settings of JobRefusals.
struct JobRefusalOptions {
  /// Runs a function after a delay.
  std::function<void(milliseconds, std::function<void()>)> RunAfter;
};

/// Writes the index rows of refused jobs. An earlier submission whose commit is
/// still on its way conflicts with the row; a later one replaces the row under
/// the condition of its version. Not thread-safe.
class JobRefusals : public std::enable_shared_from_this<JobRefusals> {
public:
  /// Fails with OutcomeUnknown if none of the outcomes could be established
  /// before the deadline.
  using Done = std::function<void(Result<RefusalOutcome>)>;

  JobRefusals(JobRefusalOptions Options, RowStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time) {}

  /// Calls \p Answer once.
  void refuse(const std::string &Id, TimePoint Deadline, Done Answer);

private:
  struct Attempt {
    std::string Id;
    TimePoint Deadline;
    Done Answer;

    void finish(Result<RefusalOutcome> Outcome) {
      if (Answer)
        std::exchange(Answer, nullptr)(std::move(Outcome));
    }
  };
  using AttemptRef = std::shared_ptr<Attempt>;

  void read(const AttemptRef &Current);
  void onRead(const AttemptRef &Current, const RowPage &Page);
  void write(const AttemptRef &Current, uint64_t Version);
  void repeat(const AttemptRef &Current);

  JobRefusalOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
};

BASILCHUTE_NAMESPACE_END
