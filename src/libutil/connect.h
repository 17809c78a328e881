/// \file
/// Server side of the Connect protocol's unary calls over HTTP.
#pragma once

#include "basilchute/result.h"
#include "libutil/httpserver.h"

#include <functional>
#include <google/protobuf/message.h>
#include <map>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Dispatches POST /PACKAGE.SERVICE/METHOD with a JSON or binary body to typed
/// handlers.
class ConnectRouter {
public:
  template <typename Response>
  using Reply = std::function<void(Result<Response>)>;

  /// Serves \p Method, a full name such as
  /// "basilchute.v1.StatusService/Status".
  template <typename Request, typename Response>
  void add(const std::string &Method,
           std::function<void(const Request &, Reply<Response>)> Handler) {
    m_methods[Method] = {
        .MakeRequest = [] { return std::make_unique<Request>(); },
        .Call =
            [Handler](const google::protobuf::Message &Body, Finish Done) {
              Handler(static_cast<const Request &>(Body),
                      [Done](Result<Response> Answer) {
                        if (Answer.has_value())
                          Done(&Answer.value(), {});
                        else
                          Done(nullptr, Answer.error());
                      });
            }};
  }

  /// Returns true if the target of \p Request lies in a served package.
  bool serves(const HttpRequest &Request) const;
  /// Answers \p Request through its handler, or with an error of its own.
  void handle(const HttpRequest &Request, Responder Answer) const;

private:
  using Finish =
      std::function<void(const google::protobuf::Message *, const Error &)>;
  struct Method {
    std::function<std::unique_ptr<google::protobuf::Message>()> MakeRequest;
    std::function<void(const google::protobuf::Message &, Finish)> Call;
  };

  std::map<std::string, Method> m_methods;
};

/// Returns the Connect protocol's code for \p Code, such as "unavailable".
std::string_view connectCode(ResultCode Code);
/// Returns the HTTP status that goes with \p Code.
int connectStatus(ResultCode Code);
/// Makes the Connect error answer for \p Fault.
HttpResponse connectError(const Error &Fault);

BASILCHUTE_NAMESPACE_END
