/// \file
/// Common parts of both daemons: the control loop, the platform adapters, the
/// connections to peers, the configuration and the status server.
#pragma once

#include "basilchute/configfeed.h"
#include "basilchute/membership.h"
#include "http.hostlist/httphostlist.h"
#include "http.tablestore/httptablestore.h"
#include "libutil/connect.h"
#include "libutil/eventloop.h"
#include "libutil/httpclient.h"
#include "libutil/httpserver.h"
#include "libutil/metrics.h"
#include "libutil/settings.h"
#include "nghttp2.peer/peertransport.h"
#include "schema/basilchute.pb.h"

#include <atomic>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Returns an id for this process: the setting process.id with a random suffix,
/// so that every start of the process is a new member.
std::string makeProcessId(const Settings &Values);
/// Returns the shard layout that the settings describe.
Layout configuredLayout(const Settings &Values);
/// Returns the membership options of the process \p Self.
MembershipOptions membershipOptions(const Settings &Values, Member Self);

/// Common parts of a daemon. Members are declared after the members that they
/// depend on.
struct DaemonBase {
  /// \p Component is the name of the daemon in log lines.
  DaemonBase(const Settings &Values, std::string Component);

  const Settings &Values;
  std::string Component;
  std::string Id;
  SystemClock Time;
  Metrics MetricRegistry;
  EventLoop Loop;
  HttpClient PlatformClient;
  HttpTableStore Store;
  HttpHostList HostListClient;
  PeerTransport Peers;
  ConfigFeed Config;
  ConnectRouter OperatorCalls;
  /// Shared by all servers of the process; without limits.
  std::shared_ptr<InputBudget> Input =
      std::make_shared<InputBudget>(InputBudgetOptions{});
  std::unique_ptr<HttpServer> StatusServer;
  std::string PeerAddress;
  std::string StatusAddress;
  /// Bearer token that operator calls must carry; if empty, none is required.
  std::string OperatorToken;
  std::atomic<bool> IsReady{false};

  /// Writes the layout row if it is absent and checks that it matches the
  /// settings. Retries until the store responds; fails with SettingsInvalid if
  /// the stored layout differs.
  Status ensureLayout();
  /// Starts the server for connections from peers.
  Status listenPeers(PeerHandler Handler);
  /// Starts the HTTP server for /healthz, /readyz, /metrics and the calls
  /// registered in OperatorCalls.
  Status listenStatus(HttpServerOptions Options);
  void log(std::string_view Event, std::string_view Fields = {},
           ResultCode Code = ResultCode::Ok) const;

private:
  bool isAuthorized(const HttpRequest &Request) const;
  void serveStatus(const HttpRequest &Request, Responder Reply);
};

BASILCHUTE_NAMESPACE_END
