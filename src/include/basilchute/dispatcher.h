/// \file
/// The life of a caller's request: queue, attempts, retries, one answer.
#pragma once

#include "basilchute/endpointport.h"
#include "basilchute/retrybudget.h"
#include "basilchute/router.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A request as a caller sent it.
struct CallerRequest {
  std::string Service;
  std::string Tenant;
  std::string Method;
  /// Path and query that the endpoint gets, starting with '/'.
  std::string Path;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// True if running it twice does no harm.
  bool Idempotent = false;
  TimePoint Deadline{};
};

/// The one answer to a request. With Code Ok it is the endpoint's own.
struct CallerAnswer {
  ResultCode Code = ResultCode::Ok;
  std::string Message;
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// Time waited for a slot, and time at endpoints.
  nanoseconds Queued{0};
  nanoseconds AtEndpoints{0};
  uint32_t Attempts = 0;
};

/// Returns true if \p Code promises that the request did not run.
bool meansNotRun(ResultCode Code);

/// Settings of a Dispatcher.
struct DispatcherOptions {
  /// Requests that may wait for a slot, over all services.
  size_t MaxQueued = 2000;
  /// Requests of one service that may wait for a slot.
  size_t MaxQueuedPerService = 500;
  uint32_t MaxAttempts = 3;
  /// Longest wait for one attempt's answer.
  milliseconds AttemptTimeout{10000};
  /// Time before a deadline at which a waiting request is given up.
  milliseconds ShedMargin{2};
  RetryBudgetOptions Retries;
};

/// Numbers of a Dispatcher since its start.
struct DispatcherCounters {
  uint64_t Requests = 0;
  uint64_t Answered = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  uint64_t Retries = 0;
  uint64_t RetriesDenied = 0;
  uint64_t Shed = 0;
};

/// Carries each request to one answer. Safe from any thread; a request that
/// finds a free slot meets no lock.
class Dispatcher {
public:
  using AnswerDone = std::function<void(CallerAnswer)>;

  Dispatcher(DispatcherOptions Options, Router &Routes, EndpointPort &Endpoints,
             const Clock &Time);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Answers \p Request through \p Done, exactly once and on any thread. Codes
  /// for which meansNotRun() holds are used only if no attempt can have run.
  void submit(CallerRequest Request, AnswerDone Done);
  /// Starts what waits and gives up what is late. Call it every few
  /// milliseconds.
  void tick();
  size_t queued() const;
  /// Requests that are not answered yet.
  size_t pending() const;
  DispatcherCounters counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
