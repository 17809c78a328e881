/// \file
/// Connection and form of the response to one request.
#pragma once

#include "libutil/httpconnection.h"

BASILCHUTE_NAMESPACE_BEGIN

class Responder::Target {
public:
  Target(std::shared_ptr<HttpServerState> Server,
         std::shared_ptr<HttpConnection> Destination, bool KeepAlive,
         bool IsHead)
      : m_server(std::move(Server)), m_connection(std::move(Destination)),
        m_keepAlive(KeepAlive), m_isHead(IsHead) {}

  void send(HttpResponse Response) {
    if (!m_isUsed.exchange(true))
      m_connection->sendResponse(std::move(Response), m_keepAlive, m_isHead);
  }

private:
  /// The connection refers to it.
  std::shared_ptr<HttpServerState> m_server;
  std::shared_ptr<HttpConnection> m_connection;
  bool m_keepAlive;
  bool m_isHead;
  std::atomic<bool> m_isUsed{false};
};

BASILCHUTE_NAMESPACE_END
