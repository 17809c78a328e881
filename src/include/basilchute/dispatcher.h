/// \file
/// Dispatch of callers' requests to endpoints: queueing, attempts and retries.
#pragma once

#include "basilchute/endpointport.h"
#include "basilchute/retrybudget.h"
#include "basilchute/router.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A request received from a caller.
struct CallerRequest {
  std::string Service;
  std::string Tenant;
  std::string Method;
  /// Path and query for the endpoint, starting with '/'.
  std::string Path;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// True if the request may safely run more than once.
  bool Idempotent = false;
  TimePoint Deadline{};
};

/// The only answer to a request. If Code is Ok, Status, Headers and Body come
/// from the endpoint.
struct CallerAnswer {
  ResultCode Code = ResultCode::Ok;
  std::string Message;
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// Total time spent waiting for a slot.
  nanoseconds QueueTime{0};
  /// Total duration of the attempts.
  nanoseconds EndpointTime{0};
  uint32_t Attempts = 0;
};

/// Returns true if \p Code promises that the request did not run.
bool meansNotRun(ResultCode Code);

/// Settings of a Dispatcher.
struct DispatcherOptions {
  /// Max requests of all services that wait for a slot.
  size_t MaxQueued = 2000;
  /// Max requests of one service that wait for a slot.
  size_t MaxQueuedPerService = 500;
  uint32_t MaxAttempts = 3;
  /// Max wait for the answer to one attempt.
  milliseconds AttemptTimeout{10000};
  /// A queued request fails this long before its deadline.
  milliseconds ShedMargin{2};
  RetryBudgetOptions Retries;
};

/// Counters of a Dispatcher since its start.
struct DispatcherCounters {
  uint64_t Requests = 0;
  uint64_t Answered = 0;
  /// Failed requests that surely did not run.
  uint64_t NotRun = 0;
  /// Failed requests that may have run.
  uint64_t MaybeRun = 0;
  uint64_t Retries = 0;
  /// Retries that the tenant's retry budget did not allow.
  uint64_t RetriesDenied = 0;
  /// Requests refused by a full queue or expired in the queue.
  uint64_t Shed = 0;
};

/// Sends each request to endpoints until it has one answer. Safe from any
/// thread; while no request is queued, one that finds a free slot takes no
/// lock.
class Dispatcher {
public:
  using AnswerDone = std::function<void(CallerAnswer)>;

  Dispatcher(DispatcherOptions Options, Router &Routes, EndpointPort &Endpoints,
             const Clock &Time);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Dispatches \p Request and calls \p Done exactly once, on any thread. Codes
  /// for which meansNotRun() holds are used only if no attempt can have run.
  void submit(CallerRequest Request, AnswerDone Done);
  /// Starts queued requests for which a slot is free and fails those that reach
  /// their deadline. Call it every few milliseconds.
  void tick();
  /// Requests that wait for a slot.
  size_t queued() const;
  /// Requests that are not answered yet.
  size_t pending() const;
  DispatcherCounters counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
