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

/// Serves OperatorService and StatusService. Everything runs on the base's
/// loop.
class OperatorApi {
public:
  /// Adds the calls to \p Base, which outlives this object.
  explicit OperatorApi(DaemonBase &Base);
  ~OperatorApi();

  /// Begins to answer calls; before that they fail with NotReady.
  void start(Membership &Members);
  void tick();
  /// Takes the workers that jobs are checked against.
  void setHosts(std::vector<Host> Hosts);
  /// Returns the first line of \p File, empty without a file, or
  /// SettingsInvalid if the file cannot be read or is empty.
  static Result<std::string> readToken(const std::string &File);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
