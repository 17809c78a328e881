/// \file
/// The entry daemon: routes callers' requests and serves operators' calls.
#pragma once

#include "basilchute-entry/callerapi.h"
#include "basilchute-entry/operatorapi.h"
#include "basilchute/dispatcher.h"
#include "basilchute/membership.h"
#include "basilchute/router.h"
#include "curl.endpoint/curlendpointport.h"
#include "libdaemon/daemonbase.h"

#include <map>
#include <memory>
#include <set>

BASILCHUTE_NAMESPACE_BEGIN

/// All settings of basilchute-entry.
std::vector<SettingSpec> entrySettings();

/// One entry process. Callers' requests are handled on the threads of the HTTP
/// server and the HTTP client, everything else on the event loop of m_base.
class EntryDaemon {
public:
  explicit EntryDaemon(const Settings &Values);
  ~EntryDaemon();

  /// Opens the listeners and joins the membership. Fails with BindFailed or
  /// SettingsInvalid.
  Status start();
  /// Refuses new requests, waits for the pending ones and leaves the
  /// membership.
  void stop();

private:
  /// Describes this process for the membership.
  Member self() const;
  Status listenCallers();
  void tick();
  /// Sends a route request to every live peer without an unanswered one.
  void pollPeers();
  void pollPeer(const Member &Peer);
  void onRouteReply(const Member &Peer, TimePoint AskedAt,
                    const Result<std::string> &Reply);
  void pollHosts();
  void onPeerCall(const std::string &Request, const PeerReply &Reply);
  void publishMetrics();
  /// Waits at most \p Timeout until no requests are pending or arriving;
  /// returns false on a time-out.
  bool waitForRequests(milliseconds Timeout);

  DaemonBase m_base;
  HttpClient m_endpointClient;
  CurlEndpointPort m_endpoints;
  Router m_router;
  Dispatcher m_dispatcher;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<OperatorApi> m_operatorApi;
  std::unique_ptr<CallerApi> m_callerApi;
  std::unique_ptr<HttpServer> m_callerServer;
  std::string m_callerAddress;
  /// Ids of the peers with an unanswered route request.
  std::set<std::string> m_polledPeers;
  bool m_hasRoutes = false;
  bool m_isPollingHosts = false;
  std::atomic<bool> m_isDraining{false};
};

BASILCHUTE_NAMESPACE_END
