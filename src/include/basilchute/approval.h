/// \file
/// Approvals: a queue's policy may allow only some workers to run a step, and
/// only an outside service knows which.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Names one step of one occurrence of a job.
struct StepName {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;

  auto operator<=>(const StepName &) const = default;
};

/// A worker that may run a step, with the ticket that it wants to see.
struct Approval {
  std::string Worker;
  std::string Ticket;
};

/// The service that approves workers. A call returns at once; the callback runs
/// later on the caller's loop, exactly once.
class ApprovalService {
public:
  /// The approved ones of the workers that were named. Fails with Overloaded if
  /// too many calls wait, or with Unavailable.
  using Done = std::function<void(Result<std::vector<Approval>>)>;

  virtual ~ApprovalService() = default;
  /// Asks for at most `MaxWorkersPerApproval` workers.
  virtual void ask(const StepName &Step, std::vector<std::string> Workers,
                   Done Answer) = 0;
};

/// Most workers that one call may name.
constexpr size_t MaxWorkersPerApproval = 100;

/// Settings of an ApprovalBook.
struct ApprovalBookOptions {
  /// Workers that one call names for each task that waits, and the least and
  /// the most of one call. Each worker named takes the service some time.
  size_t PerTask = 3;
  size_t Least = 8;
  size_t Most = 30;
  /// Time after a failed call before the next.
  milliseconds RetryPause{250};
  /// A ticket is not used when it ends sooner than this.
  milliseconds Margin{200};
};

/// A worker that could run a step if it were approved.
struct ApprovalCandidate {
  std::string Worker;
  /// Start of the worker's life; a ticket is good for one life.
  milliseconds Born{0};
};

/// Keeps tickets by step and life of the worker, and asks for those that are
/// missing, one call at a time, since the service answers a caller's calls one
/// after the other.
///
/// Not safe for several threads.
class ApprovalBook {
public:
  ApprovalBook(ApprovalBookOptions Options, ApprovalService *Service,
               const Clock &Time);
  ~ApprovalBook();
  ApprovalBook(const ApprovalBook &) = delete;
  ApprovalBook &operator=(const ApprovalBook &) = delete;

  /// Returns the ticket for \p Step on \p Of's life, or null if there is none
  /// that still holds.
  const std::string *ticket(const StepName &Step,
                            const ApprovalCandidate &Of) const;
  /// Sees to it that \p Tasks waiting tasks of \p Step find an approved worker:
  /// asks for the first of \p Candidates, best first, about which nothing is
  /// known. \p Validity is the time that a ticket holds. Calls that come while
  /// one is under way do nothing; call again when work waits.
  void want(const StepName &Step, size_t Tasks, milliseconds Validity,
            const std::vector<ApprovalCandidate> &Candidates);
  /// Takes back a ticket that a worker did not accept.
  void reject(const StepName &Step, const ApprovalCandidate &Of);
  /// Forgets all steps of a job.
  void forget(const std::string &Job);
  /// Calls that were made.
  uint64_t calls() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
