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

/// How a request ended at an endpoint, as routing sees it.
enum class AttemptOutcome { Answered, Refused, Failed };

/// One endpoint with what was learned of it. Shared by all threads.
struct Endpoint {
  std::string Service;
  std::string Team;
  std::string Task;
  std::string Worker;
  std::string Address;
  std::string FailureDomain;
  std::shared_ptr<CreditPurse> Credits;
  /// Smoothed time of an answer.
  std::atomic<int64_t> LatencyNanos{0};
  std::atomic<uint32_t> InFlight{0};
  std::atomic<uint32_t> FailuresInRow{0};
  std::atomic<int64_t> EjectedUntilNanos{0};
};

/// Settings of a Router.
struct RouterOptions {
  std::string FailureDomain;
  /// Added to the expected time of an endpoint in another failure domain.
  milliseconds DistancePenalty{5};
  /// Failures in a row after which an endpoint is left out for a while.
  uint32_t EjectAfter = 5;
  milliseconds EjectFor{3000};
  /// Share of a service's endpoints that may be left out, in percent.
  uint32_t MaxEjectedPercent = 50;
  /// Credits are taken at least this long before their lease ends.
  uint32_t CandidateLimit = 16;
};

/// A chosen endpoint with one slot of its worker, which is given back when
/// this is destroyed.
class EndpointPick {
public:
  EndpointPick(std::shared_ptr<Endpoint> To, TimePoint Since);
  ~EndpointPick();
  EndpointPick(EndpointPick &&) = default;
  EndpointPick &operator=(EndpointPick &&) = delete;
  EndpointPick(const EndpointPick &) = delete;

  const Endpoint &endpoint() const { return *m_to; }
  TimePoint since() const { return m_since; }

private:
  friend class Router;
  std::shared_ptr<Endpoint> m_to;
  TimePoint m_since;
};

/// Knows the endpoints of all services and their credits.
///
/// pick() and finish() are safe from any thread and take no lock; the rest is
/// for one control thread.
class Router {
public:
  Router(RouterOptions Options, const Clock &Time);
  ~Router();
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  /// Returns an endpoint of \p Service with a free slot, none of \p Avoid if
  /// there is another, or none if no slot is free.
  std::optional<EndpointPick> pick(std::string_view Service,
                                   const std::vector<std::string> &Avoid);
  /// Returns true if \p Service exists or has any endpoint.
  bool knows(std::string_view Service) const;
  /// Records how the attempt at \p Of ended.
  void finish(const EndpointPick &Of, AttemptOutcome How);

  /// Takes what an owner answered to a question sent at \p AskedAt. Answers of
  /// a lower epoch than known are dropped. Returns true if the routes changed,
  /// so that credits for new workers can be asked for at once.
  bool update(const std::vector<ShardRoutes> &Answer, TimePoint AskedAt);
  /// States which services exist, so that requests for one that has no endpoint
  /// just now wait for it.
  void setServices(std::set<std::string> Names);
  /// Takes out all endpoints on \p Workers.
  void setLeaving(std::set<std::string> Workers);
  /// What is to be asked for, for workers of the shards last owned by the
  /// member at \p Address, or whose owner is not known.
  EntryQuestion question(const std::string &Entry, const std::string &Address);
  /// Asks for no credits from now on, so that others get them.
  void stopBorrowing();
  /// Notes that \p Address owns the shards of \p Answer.
  void noteOwner(const std::string &Address,
                 const std::vector<ShardRoutes> &Answer);
  /// Endpoints of all services now.
  std::vector<std::shared_ptr<const Endpoint>> endpoints() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
