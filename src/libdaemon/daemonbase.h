/// \file
/// What both daemons hold alike: the control loop, the platform's adapters, the
/// peer links, the configuration and the status server.
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
#include "nghttp2.peer/peerlinks.h"
#include "schema/basilchute.pb.h"

#include <atomic>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Returns the id of this process: the host's name from the settings with a
/// random suffix, so that each start is a new member.
std::string makeProcessId(const Settings &Values);
/// Returns the division into shards that the settings ask for.
Layout layoutOf(const Settings &Values);
/// Returns the membership's settings for \p Self.
MembershipOptions membershipOptions(const Settings &Values, Member Self);

/// Common parts of a daemon. The members are declared in the order in which
/// they depend on each other.
struct DaemonBase {
  /// \p Component names the daemon in its logs.
  DaemonBase(const Settings &Values, std::string Component);

  const Settings &Values;
  std::string Component;
  std::string Id;
  SystemClock Time;
  Metrics Numbers;
  EventLoop Loop;
  HttpClient Platform;
  HttpTableStore Store;
  HttpHostList Hosts;
  PeerLinks Peers;
  ConfigFeed Feed;
  ConnectRouter Calls;
  std::unique_ptr<HttpServer> StatusServer;
  std::string PeerAddress;
  std::string StatusAddress;
  /// Bearer token that operators' calls must carry; empty asks for none.
  std::string OperatorToken;
  std::atomic<bool> Ready{false};

  /// Writes the layout row if it is absent and checks that it agrees with the
  /// settings. Waits for the store; fails with SettingsInvalid on a difference.
  Status settleLayout();
  /// Starts the peer links' server.
  Status listenPeers(PeerHandler Handler);
  /// Starts the server of /healthz, /readyz, /metrics and the calls.
  Status listenStatus(HttpServerOptions Options);
  void log(std::string_view Event, std::string_view Fields = {},
           ResultCode Code = ResultCode::Ok) const;

private:
  bool isAuthorized(const HttpRequest &Request) const;
  void serveStatus(const HttpRequest &Request, Responder Answer);
};

BASILCHUTE_NAMESPACE_END
