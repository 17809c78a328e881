#include "http.hostlist/httphostlist.h"

#include "libbasilchute/rows.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

Result<HostSnapshot> decode(const Result<HttpResponse> &Answer) {
  if (!Answer.has_value())
    return makeError(ResultCode::Unavailable, Answer.error().Message);
  v1::HostListResponse Message;
  if (Answer.value().Status != 200 ||
      !Message.ParseFromString(Answer.value().Body))
    return makeError(
        ResultCode::Unavailable,
        fmt::format("host list answered status {}", Answer.value().Status));
  HostSnapshot Out{.Age = milliseconds(Message.age_ms())};
  for (const v1::HostEntry &Each : Message.hosts())
    Out.Hosts.push_back({.Worker = Each.worker(),
                         .Address = Each.address(),
                         .FailureDomain = Each.failure_domain(),
                         .Rack = Each.rack(),
                         .Capacity = fromProto(Each.capacity()),
                         .Leaving = Each.leaving()});
  return Out;
}

} // namespace

void HttpHostList::snapshot(SnapshotDone Done) {
  m_client.send({.Method = "GET",
                 .Address = m_options.Address + "/hosts",
                 .ConnectTimeout = m_options.Timeout,
                 .Timeout = m_options.Timeout},
                [this, Done = std::move(Done)](Result<HttpResponse> Answer) {
                  m_loop.post([Done, Hosts = decode(Answer)] { Done(Hosts); });
                });
}

BASILCHUTE_NAMESPACE_END
