/// \file
/// Choice of an endpoint for each request.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/credits.h"
#include "basilchute/scheduler.h"

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Outcome of one attempt at an endpoint, as far as routing depends on it.
enum class AttemptOutcome { Answered, Refused, Failed };

/// One endpoint with its measured latency and failures. Shared by all threads.
struct Endpoint {
  std::string Service;
  std::string Team;
  std::string Task;
  std::string Worker;
  std::string Address;
  std::string FailureDomain;
  std::shared_ptr<WorkerCredits> Credits;
  /// Exponentially smoothed response time; 0 before the first response.
  std::atomic<int64_t> LatencyNanos{0};
  std::atomic<uint32_t> InFlight{0};
  std::atomic<uint32_t> ConsecutiveFailures{0};
  /// The endpoint is skipped until this point of the router's clock.
  std::atomic<int64_t> EjectedUntilNanos{0};
};

/// Settings of a Router.
struct RouterOptions {
  std::string FailureDomain;
  /// Added to the expected response time of an endpoint in another failure
  /// domain.
  milliseconds CrossDomainPenalty{5};
  /// Consecutive failures after which an endpoint is ejected: skipped by
  /// pick() for EjectionTime.
  uint32_t FailuresToEject = 5;
  milliseconds EjectionTime{3000};
  /// Share of a service's endpoints, in percent, above which ejections are
  /// ignored.
  uint32_t MaxEjectedPercent = 50;
  /// Usable endpoints whose costs are compared in one pick().
  uint32_t CandidateLimit = 16;
};

/// A chosen endpoint with one slot of its worker. The destructor returns the
/// slot.
class EndpointPick {
public:
  EndpointPick(std::shared_ptr<Endpoint> Target, TimePoint PickedAt);
  ~EndpointPick();
  EndpointPick(EndpointPick &&) = default;
  EndpointPick &operator=(EndpointPick &&) = delete;
  EndpointPick(const EndpointPick &) = delete;

  const Endpoint &endpoint() const { return *m_endpoint; }
  TimePoint pickedAt() const { return m_pickedAt; }

private:
  friend class Router;
  std::shared_ptr<Endpoint> m_endpoint;
  TimePoint m_pickedAt;
};

/// Holds the endpoints of all services with the credits for their workers, and
/// picks an endpoint for each request.
///
/// pick(), knows() and recordOutcome() may be called from any thread and take
/// no lock; all other functions must be called from one control thread.
class Router {
public:
  Router(RouterOptions Options, const Clock &Time);
  ~Router();
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  /// Reserves a slot at an endpoint of \p Service; endpoints of the tasks in
  /// \p AvoidedTasks are used only if no other has a free slot. Returns nullopt
  /// if no slot is free.
  std::optional<EndpointPick>
  pick(std::string_view Service, const std::vector<std::string> &AvoidedTasks);
  /// Returns true if \p Service is configured or has an endpoint.
  bool hasService(std::string_view Service) const;
  /// Records the outcome of the attempt made with \p Pick.
  void recordOutcome(const EndpointPick &Pick, AttemptOutcome Outcome);

  /// Applies the answer of a shard owner to a question sent at \p AskedAt.
  /// Shards with a lower epoch than the known one are ignored. Returns true if
  /// the routes changed, so that the caller can ask for credits for new workers
  /// at once.
  bool applyRoutes(const std::vector<ShardRoutes> &Answer, TimePoint AskedAt);
  /// Sets the configured services, so that requests for a service that has no
  /// endpoint at the moment are queued instead of failing with NotFound.
  void setServices(std::set<std::string> Names);
  /// Excludes all endpoints on \p Workers, which are about to leave.
  void setLeavingWorkers(std::set<std::string> Workers);
  /// Builds the question to the member at \p OwnerAddress: the known versions
  /// and the credit demand for the shards that it owned last and for those
  /// without a known owner.
  EntryRequest buildRequest(const std::string &EntryId,
                            const std::string &OwnerAddress);
  /// Makes all later questions ask for no credits, so that other entry
  /// processes get the slots.
  void stopRequestingCredits();
  /// Records that the member at \p OwnerAddress owns the shards of \p Answer
  /// and no others.
  void setShardOwner(const std::string &OwnerAddress,
                     const std::vector<ShardRoutes> &Answer);
  /// Returns the present endpoints of all services.
  std::vector<std::shared_ptr<const Endpoint>> endpoints() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
