/// \file
/// Server side of unary calls in the Connect protocol over HTTP.
#pragma once

#include "basilchute/result.h"
#include "libutil/httpserver.h"

#include <functional>
#include <google/protobuf/message.h>
#include <map>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Dispatches POST /PACKAGE.SERVICE/METHOD with a JSON or binary Protobuf body
/// to typed handlers.
class ConnectRouter {
public:
  /// Receives the response or the error of a call.
  template <typename Response>
  using ResponseCallback = std::function<void(Result<Response>)>;

  /// Registers \p Handler for \p Method, a full name such as
  /// "basilchute.v1.StatusService/Status".
  template <typename Request, typename Response>
  void add(const std::string &Method,
           std::function<void(const Request &, ResponseCallback<Response>)>
               Handler) {
    m_methods[Method] = {
        .MakeRequest = [] { return std::make_unique<Request>(); },
        .Invoke =
            [Handler](const google::protobuf::Message &Message,
                      ResultCallback OnDone) {
              Handler(static_cast<const Request &>(Message),
                      [OnDone](Result<Response> Outcome) {
                        if (Outcome.has_value())
                          OnDone(&Outcome.value(), {});
                        else
                          OnDone(nullptr, Outcome.error());
                      });
            }};
  }

  /// Returns true if the path of \p Request is in the package basilchute.v1.
  bool handlesPath(const HttpRequest &Request) const;
  /// Passes \p Request to the handler of its method. Responds with an error if
  /// the method is not registered or the request is malformed.
  void handle(const HttpRequest &Request, Responder Reply) const;

private:
  /// Receives the response, or null and the error.
  using ResultCallback =
      std::function<void(const google::protobuf::Message *, const Error &)>;
  struct Method {
    std::function<std::unique_ptr<google::protobuf::Message>()> MakeRequest;
    std::function<void(const google::protobuf::Message &, ResultCallback)>
        Invoke;
  };

  std::map<std::string, Method> m_methods;
};

/// Returns the Connect protocol's code for \p Code, such as "unavailable".
std::string_view connectCode(ResultCode Code);
/// Returns the HTTP status that the Connect protocol assigns to \p Code.
int connectStatus(ResultCode Code);
/// Builds the Connect error response for \p Cause.
HttpResponse connectError(const Error &Cause);

BASILCHUTE_NAMESPACE_END
