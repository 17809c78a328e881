/// \file
/// HTTP interface for callers: finds the service, the deadline and the
/// idempotency of each request.
#pragma once

#include "basilchute/dispatcher.h"
#include "libutil/httpserver.h"
#include "libutil/metrics.h"

#include <atomic>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a CallerApi.
struct CallerApiOptions {
  milliseconds DefaultDeadline{15000};
  milliseconds MaxDeadline{600000};
};

/// Parses callers' HTTP requests, submits them to the dispatcher and sends the
/// answers. Safe from any thread.
class CallerApi {
public:
  /// New requests are refused with NotReady while \p IsReady is false.
  CallerApi(CallerApiOptions Options, Dispatcher &Requests,
            const Router &Routes, Metrics &Registry, const Clock &Time,
            const std::atomic<bool> &IsReady);
  ~CallerApi();

  void handle(HttpRequest Request, Responder Answer);

private:
  class RequestMetrics;

  Result<CallerRequest> parse(HttpRequest Request) const;
  /// Returns the service that \p Request names and sets \p EndpointPath to the
  /// path and query for the endpoint.
  std::string serviceOf(const HttpRequest &Request,
                        std::string &EndpointPath) const;
  Result<TimePoint> deadlineOf(const HttpRequest &Request) const;

  CallerApiOptions m_options;
  Dispatcher &m_dispatcher;
  const Router &m_router;
  const Clock &m_time;
  const std::atomic<bool> &m_isReady;
  std::unique_ptr<RequestMetrics> m_metrics;
};

BASILCHUTE_NAMESPACE_END
