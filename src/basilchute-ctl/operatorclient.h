/// \file
/// Client for operators' calls that tries the entries in turn.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"
#include "libutil/httpclient.h"

#include <google/protobuf/message.h>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of an OperatorClient.
struct OperatorClientOptions {
  /// HOST:PORT of the entries' operator addresses, tried in order.
  std::vector<std::string> Entries;
  milliseconds Timeout{10000};
  /// Bearer token; empty sends none.
  std::string Token;
};

/// Sends operators' calls and waits for the answers.
class OperatorClient {
public:
  explicit OperatorClient(OperatorClientOptions Options);

  /// Calls \p Method, such as "OperatorService/Apply". Fails with the entry's
  /// error, or with Unavailable if no entry could be reached. If the outcome at
  /// an entry is unknown, no further entry is tried, because the call may have
  /// taken effect.
  template <typename Response>
  Result<Response> call(const std::string &Method,
                        const google::protobuf::Message &Request) {
    Response Out;
    Status CallStatus = callInto(Method, Request, Out);
    if (!CallStatus.has_value())
      return CallStatus.error();
    return Out;
  }

private:
  Status callInto(const std::string &Method,
                  const google::protobuf::Message &Request,
                  google::protobuf::Message &Target);
  Result<HttpResponse> post(const std::string &Entry, const std::string &Method,
                            const std::string &Body);

  OperatorClientOptions m_options;
  HttpClient m_client;
};

BASILCHUTE_NAMESPACE_END
