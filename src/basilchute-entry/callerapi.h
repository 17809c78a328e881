/// \file
/// Callers' requests over HTTP: which service, which deadline, which promise.
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

/// Turns HTTP requests into dispatched ones and answers back into HTTP. Safe
/// from any thread.
class CallerApi {
public:
  /// \p Ready says whether new requests are taken.
  CallerApi(CallerApiOptions Options, Dispatcher &To, const Router &Routes,
            Metrics &Numbers, const Clock &Time,
            const std::atomic<bool> &Ready);
  ~CallerApi();

  void handle(HttpRequest Request, Responder Answer);

private:
  class Numbers;

  Result<CallerRequest> read(HttpRequest From) const;
  std::string serviceOf(const HttpRequest &From, std::string &Path) const;
  Result<TimePoint> deadlineOf(const HttpRequest &From) const;

  CallerApiOptions m_options;
  Dispatcher &m_to;
  const Router &m_routes;
  const Clock &m_time;
  const std::atomic<bool> &m_ready;
  std::unique_ptr<Numbers> m_numbers;
};

BASILCHUTE_NAMESPACE_END
