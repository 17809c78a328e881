/// \file
/// The scheduler daemon: connects a Scheduler to the network and the platform.
#pragma once

#include "basilchute/scheduler.h"
#include "http.worker/httpworkerport.h"
#include "libdaemon/daemonbase.h"

BASILCHUTE_NAMESPACE_BEGIN

/// All settings of basilchute-sched.
std::vector<SettingSpec> schedSettings();

/// One scheduler process. The Scheduler is used only on the event loop of
/// m_base.
class SchedDaemon {
public:
  explicit SchedDaemon(const Settings &Values);
  ~SchedDaemon();

  /// Opens the listeners and joins the membership. Fails with BindFailed or
  /// SettingsInvalid.
  Status start();
  /// Releases all shards and leaves the membership.
  void stop();

private:
  SchedulerOptions schedulerOptions() const;
  void onPeerCall(const std::string &Request, const PeerReply &Reply);
  v1::RouteResponse handleEntryRequest(const v1::RouteRequest &Request);
  void registerCalls();
  void tick();
  void publishMetrics();

  DaemonBase m_base;
  HttpWorkerPort m_workers;
  std::unique_ptr<Scheduler> m_scheduler;
};

BASILCHUTE_NAMESPACE_END
