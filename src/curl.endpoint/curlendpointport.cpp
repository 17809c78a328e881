#include "curl.endpoint/curlendpointport.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds ConnectTimeout{1000};

EndpointAnswer toAnswer(HttpResponse From) {
  EndpointAnswer Out{.Status = From.Status, .Body = std::move(From.Body)};
  const std::string *Outcome = findHeader(From.Headers, OutcomeHeader);
  Out.NotRun = Outcome && *Outcome == OutcomeNotRun;
  stripHopByHop(From.Headers);
  Out.Headers = std::move(From.Headers);
  return Out;
}

} // namespace

void CurlEndpointPort::send(EndpointRequest Request, SendDone Done) {
  ClientRequest Out{.Method = std::move(Request.Method),
                    .Address = std::move(Request.Address),
                    .Headers = std::move(Request.Headers),
                    .Body = std::move(Request.Body),
                    .ConnectTimeout = std::min(ConnectTimeout, Request.Timeout),
                    .Timeout = Request.Timeout,
                    .NeverResend = Request.NeverResend};
  m_client.send(std::move(Out),
                [Done = std::move(Done)](Result<HttpResponse> Reply) {
                  if (!Reply.has_value())
                    return Done(Reply.error());
                  Done(toAnswer(std::move(Reply.value())));
                });
}

BASILCHUTE_NAMESPACE_END
