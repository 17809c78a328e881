/// \file
/// Port for sending requests to endpoints, the replicas of services.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/header.h"
#include "basilchute/result.h"

#include <functional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One attempt of a request at one endpoint.
struct EndpointRequest {
  /// HOST:PORT/PATH of the endpoint, followed by the path of the request.
  std::string Address;
  std::string Method;
  std::vector<HttpHeader> Headers;
  std::string Body;
  milliseconds Timeout{0};
  /// True if the request must not be sent twice, as it is not idempotent.
  bool MustNotResend = false;
};

/// A complete answer of an endpoint.
struct EndpointAnswer {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// True if the endpoint states that it did not run the request.
  bool IsNotRun = false;
};

/// Sends attempts to endpoints. Implementations are safe to call from any
/// thread.
class EndpointPort {
public:
  /// Called exactly once, on any thread. Fails with Unavailable (no byte was
  /// sent), OutcomeUnknown or AnswerCut (the answer was truncated).
  using SendDone = std::function<void(Result<EndpointAnswer>)>;

  virtual ~EndpointPort() = default;
  virtual void send(EndpointRequest Request, SendDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
