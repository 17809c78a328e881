/// \file
/// The scheduler core with its adapters.
#pragma once

#include "basilchute/scheduler.h"
#include "http.worker/httpworkerport.h"
#include "libdaemon/daemonbase.h"

BASILCHUTE_NAMESPACE_BEGIN

/// All settings of basilchute-sched.
std::vector<SettingSpec> schedSettings();

/// One scheduler process. The core runs on the base's loop alone.
class SchedDaemon {
public:
  explicit SchedDaemon(const Settings &Values);
  ~SchedDaemon();

  /// Listens and joins; fails with BindFailed or SettingsInvalid.
  Status start();
  /// Hands all shards over and leaves.
  void stop();

private:
  SchedulerOptions coreOptions() const;
  void onPeerCall(const std::string &Request, const PeerReply &Reply);
  v1::RouteResponse answerEntry(const v1::RouteRequest &Request);
  void addCalls();
  void tick();
  void publishNumbers();

  DaemonBase m_base;
  HttpWorkerPort m_workers;
  std::unique_ptr<Scheduler> m_core;
};

BASILCHUTE_NAMESPACE_END
