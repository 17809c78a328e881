/// \file
/// The request path and the operators' calls with their adapters.
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

/// One entry process. Requests run on the server's and the client's threads;
/// all else runs on the base's loop.
class EntryDaemon {
public:
  explicit EntryDaemon(const Settings &Values);
  ~EntryDaemon();

  /// Listens and joins; fails with BindFailed or SettingsInvalid.
  Status start();
  /// Refuses new requests, finishes those under way, and leaves.
  void stop();

private:
  Member self() const;
  Status listenCallers();
  void tick();
  void pollPeers();
  void pollPeer(const Member &Peer);
  void onRoutes(const Member &Peer, TimePoint AskedAt,
                const Result<std::string> &Reply);
  void pollHosts();
  void onPeerCall(const std::string &Request, const PeerReply &Reply);
  void publishNumbers();
  bool finishRequests(milliseconds Limit);

  DaemonBase m_base;
  HttpClient m_endpointClient;
  CurlEndpointPort m_endpoints;
  Router m_router;
  Dispatcher m_dispatcher;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<OperatorApi> m_operators;
  std::unique_ptr<CallerApi> m_callers;
  std::unique_ptr<HttpServer> m_callerServer;
  std::string m_callerAddress;
  /// Peers that a question is under way to.
  std::set<std::string> m_asking;
  bool m_routesKnown = false;
  bool m_pollingHosts = false;
  std::atomic<bool> m_draining{false};
};

BASILCHUTE_NAMESPACE_END
