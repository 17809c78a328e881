/// \file
/// Port to the endpoints: the replicas that answer callers' requests.
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
  /// HOST:PORT/PATH of the endpoint with the request's own path appended.
  std::string Address;
  std::string Method;
  std::vector<HttpHeader> Headers;
  std::string Body;
  milliseconds Timeout{0};
  /// True if a second sending would do harm.
  bool NeverResend = false;
};

/// A whole answer.
struct EndpointAnswer {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// True if the endpoint says itself that it did not run the request.
  bool NotRun = false;
};

/// Sends attempts. Safe from any thread.
class EndpointPort {
public:
  /// Runs exactly once, on any thread. Fails with Unavailable (no byte was
  /// sent), OutcomeUnknown or AnswerCut.
  using SendDone = std::function<void(Result<EndpointAnswer>)>;

  virtual ~EndpointPort() = default;
  virtual void send(EndpointRequest Request, SendDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
