/// \file
/// Implementation of EndpointPort with libcurl.
#pragma once

#include "basilchute/endpointport.h"
#include "libutil/httpclient.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Response header in which an endpoint reports to an entry process, and the
/// entry process to its caller, that the request was not run.
inline constexpr std::string_view OutcomeHeader = "Basilchute-Outcome";
inline constexpr std::string_view OutcomeNotRun = "not-run";

/// Sends requests to endpoints over unencrypted HTTP/1.1.
class CurlEndpointPort final : public EndpointPort {
public:
  explicit CurlEndpointPort(HttpClient &Client) : m_client(Client) {}

  void send(EndpointRequest Request, SendDone Done) override;

private:
  HttpClient &m_client;
};

BASILCHUTE_NAMESPACE_END
