/// \file
/// Adapter of EndpointPort on libcurl.
#pragma once

#include "basilchute/endpointport.h"
#include "libutil/httpclient.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Header by which an endpoint says that it did not run a request, and by which
/// an entry process says so to its caller.
inline constexpr std::string_view OutcomeHeader = "Basilchute-Outcome";
inline constexpr std::string_view OutcomeNotRun = "not-run";

/// Endpoints behind plain HTTP/1.1.
class CurlEndpointPort final : public EndpointPort {
public:
  explicit CurlEndpointPort(HttpClient &Client) : m_client(Client) {}

  void send(EndpointRequest Request, SendDone Done) override;

private:
  HttpClient &m_client;
};

BASILCHUTE_NAMESPACE_END
