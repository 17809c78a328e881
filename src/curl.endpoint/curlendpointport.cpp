#include "curl.endpoint/curlendpointport.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds ConnectTimeout{1000};

EndpointAnswer toAnswer(HttpResponse Response) {
  EndpointAnswer Answer{.Status = Response.Status,
                        .Body = std::move(Response.Body)};
  const std::string *Outcome = findHeader(Response.Headers, OutcomeHeader);
  Answer.IsNotRun = Outcome && *Outcome == OutcomeNotRun;
  stripHopByHop(Response.Headers);
  Answer.Headers = std::move(Response.Headers);
  return Answer;
}

} // namespace

void CurlEndpointPort::send(EndpointRequest Request, SendDone Done) {
  ClientRequest HttpRequest{.Method = std::move(Request.Method),
                            .Address = std::move(Request.Address),
                            .Headers = std::move(Request.Headers),
                            .Body = std::move(Request.Body),
                            .ConnectTimeout =
                                std::min(ConnectTimeout, Request.Timeout),
                            .Timeout = Request.Timeout,
                            .IsIdempotent = !Request.MustNotResend,
                            .UseNewConnection = Request.MustNotResend};
  m_client.send(std::move(HttpRequest),
                [Done = std::move(Done)](Result<HttpResponse> Response) {
                  if (!Response.has_value())
                    return Done(Response.error());
                  Done(toAnswer(std::move(Response.value())));
                });
}

BASILCHUTE_NAMESPACE_END
