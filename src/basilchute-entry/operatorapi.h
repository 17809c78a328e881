/// \file
/// Operators' remote procedure calls.
#pragma once

#include "basilchute/committer.h"
#include "basilchute/hostlist.h"
#include "basilchute/membership.h"
#include "libdaemon/daemonbase.h"

#include <memory>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Serves OperatorService and StatusService. All calls are handled on the event
/// loop of the DaemonBase.
class OperatorApi {
public:
  /// Registers the calls with \p Base, which must outlive this object.
  explicit OperatorApi(DaemonBase &Base);
  ~OperatorApi();

  /// Enables the calls; until then they fail with NotReady.
  void start(Membership &Members);
  void tick();
  /// Sets the workers whose capacity submitted jobs are checked against.
  void setHosts(std::vector<Host> Hosts);
  /// Returns the first line of \p File, or an empty token if \p File is empty.
  /// Fails with SettingsInvalid if the file cannot be read or its first line is
  /// empty.
  static Result<std::string> readToken(const std::string &File);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
