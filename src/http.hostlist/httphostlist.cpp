#include "http.hostlist/httphostlist.h"

#include "libbasilchute/rows.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

Result<HostSnapshot> decodeHostList(const Result<HttpResponse> &Response) {
  if (!Response.has_value())
    return makeError(ResultCode::Unavailable, Response.error().Message);
  v1::HostListResponse Message;
  if (Response.value().Status != 200 ||
      !Message.ParseFromString(Response.value().Body))
    return makeError(ResultCode::Unavailable,
                     fmt::format("invalid host list response, HTTP status {}",
                                 Response.value().Status));
  HostSnapshot Out{.Age = milliseconds(Message.age_ms())};
  for (const v1::HostEntry &Host : Message.hosts())
    Out.Hosts.push_back({.Worker = Host.worker(),
                         .Address = Host.address(),
                         .FailureDomain = Host.failure_domain(),
                         .Rack = Host.rack(),
                         .Capacity = fromProto(Host.capacity()),
                         .IsLeaving = Host.leaving()});
  return Out;
}

} // namespace

void HttpHostList::snapshot(SnapshotDone Done) {
  m_client.send(
      {.Method = "GET",
       .Address = m_options.Address + "/hosts",
       .ConnectTimeout = m_options.Timeout,
       .Timeout = m_options.Timeout},
      [this, Done = std::move(Done)](Result<HttpResponse> Response) {
        m_loop.post([Done, Hosts = decodeHostList(Response)] { Done(Hosts); });
      });
}

BASILCHUTE_NAMESPACE_END
