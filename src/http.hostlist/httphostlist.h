/// \file
/// Implementation of HostList over HTTP.
#pragma once

#include "basilchute/hostlist.h"
#include "libutil/eventloop.h"
#include "libutil/httpclient.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of an HttpHostList.
struct HttpHostListOptions {
  /// HOST:PORT of the platform's host list service.
  std::string Address;
  milliseconds Timeout{2000};
};

/// Reads the host list with GET /hosts.
class HttpHostList final : public HostList {
public:
  /// Callbacks run on \p Loop.
  HttpHostList(HttpHostListOptions Options, HttpClient &Client, EventLoop &Loop)
      : m_options(std::move(Options)), m_client(Client), m_loop(Loop) {}

  void snapshot(SnapshotDone Done) override;

private:
  HttpHostListOptions m_options;
  HttpClient &m_client;
  EventLoop &m_loop;
};

BASILCHUTE_NAMESPACE_END
