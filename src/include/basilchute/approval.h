/// \file
/// Approvals: the policy of a queue may restrict the workers that run a step to
/// those that an external service approves.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Identifies one step of one occurrence of a job.
struct StepName {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;

  auto operator<=>(const StepName &) const = default;
};

/// A worker that is approved to run a step, and the ticket to present to it.
struct Approval {
  std::string Worker;
  std::string Ticket;
};

/// The service that approves workers. A call returns at once; the callback runs
/// later on the caller's loop, exactly once.
class ApprovalService {
public:
  /// Receives those of the named workers that are approved. Fails with
  /// Overloaded if too many calls are pending, or with Unavailable.
  using Done = std::function<void(Result<std::vector<Approval>>)>;

  virtual ~ApprovalService() = default;
  /// Asks for the approval of at most `MaxWorkersPerApproval` workers.
  virtual void ask(const StepName &Step, std::vector<std::string> Workers,
                   Done Answer) = 0;
};

/// Maximum number of workers in one call.
constexpr size_t MaxWorkersPerApproval = 100;

/// Settings of an ApprovalCache.
struct ApprovalCacheOptions {
  /// Workers to name in a call for each waiting task, and the bounds on their
  /// number in one call. The service takes some time for each named worker.
  size_t WorkersPerTask = 3;
  size_t MinWorkersPerCall = 8;
  size_t MaxWorkersPerCall = 30;
  /// Time from a failed call to the next call.
  milliseconds RetryInterval{250};
  /// A ticket that expires sooner than this is not used.
  milliseconds ExpiryMargin{200};
};

/// A worker that could run a step if it were approved.
struct ApprovalCandidate {
  std::string Worker;
  /// Start of the worker's incarnation; a ticket is valid for one incarnation.
  milliseconds Incarnation{0};
};

/// Caches tickets by step and incarnation of the worker, and asks for missing
/// tickets, one call at a time because the service answers the calls of one
/// client one after the other.
///
/// Not thread-safe.
class ApprovalCache {
public:
  ApprovalCache(ApprovalCacheOptions Options, ApprovalService *Service,
                const Clock &Time);
  ~ApprovalCache();
  ApprovalCache(const ApprovalCache &) = delete;
  ApprovalCache &operator=(const ApprovalCache &) = delete;

  /// Returns the ticket for \p Step on the incarnation of \p Candidate, or null
  /// if there is none that is still valid.
  const std::string *ticket(const StepName &Step,
                            const ApprovalCandidate &Candidate) const;
  /// Asks the service for approved workers for \p Tasks waiting tasks of
  /// \p Step. The call names the first of \p Candidates, sorted best first, for
  /// which no answer is cached. \p Validity is the lifetime of a ticket.
  /// Does nothing while another call is pending or shortly after a failed one;
  /// the user of this class repeats it while tasks wait.
  void request(const StepName &Step, size_t Tasks, milliseconds Validity,
               const std::vector<ApprovalCandidate> &Candidates);
  /// Removes a ticket that the worker did not accept.
  void removeTicket(const StepName &Step, const ApprovalCandidate &Candidate);
  /// Removes the answers for all steps of a job.
  void forget(const std::string &Job);
  /// Number of calls that were made.
  uint64_t calls() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
