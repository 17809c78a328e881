/// \file
/// Calls operators' remote procedures at whichever entry host answers.
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
  /// Bearer token, empty for none.
  std::string Token;
};

/// Makes calls and waits for their answers.
class OperatorClient {
public:
  explicit OperatorClient(OperatorClientOptions Options);

  /// Calls \p Method, such as "OperatorService/Apply". Fails with the server's
  /// own error, or with Unavailable if no entry could be reached; an entry that
  /// left the outcome open is not followed by another.
  template <typename Response>
  Result<Response> call(const std::string &Method,
                        const google::protobuf::Message &Request) {
    Response Out;
    Status Done = callInto(Method, Request, Out);
    if (!Done.has_value())
      return Done.error();
    return Out;
  }

private:
  Status callInto(const std::string &Method,
                  const google::protobuf::Message &Request,
                  google::protobuf::Message &Into);
  Result<HttpResponse> post(const std::string &Entry, const std::string &Method,
                            const std::string &Body);

  OperatorClientOptions m_options;
  HttpClient m_client;
};

BASILCHUTE_NAMESPACE_END
