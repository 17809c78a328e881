/// \file
/// The main function that both daemons share.
#pragma once

#include "libutil/log.h"
#include "libutil/program.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

/// Reads the settings, runs a \p Daemon until SIGTERM or SIGINT, and stops it.
/// Returns the process's exit code.
template <typename Daemon>
int runDaemon(const ProgramInfo &Info, std::string_view Component,
              std::vector<SettingSpec> Specs, int ArgCount, char **Args) {
  blockSignals();
  Settings Values(std::move(Specs));
  if (auto Code = readCommandLine(Info, ArgCount, Args, Values))
    return static_cast<int>(*Code);
  Daemon Process(Values);
  Status Started = Process.start();
  if (!Started.has_value()) {
    logEvent(LogLevel::Error, Component, "start_failed",
             fmt::format("message=\"{}\"", Started.error().Message),
             Started.error().Code);
    return static_cast<int>(exitCodeOf(Started.error().Code));
  }
  waitForSignal();
  Process.stop();
  return static_cast<int>(ExitCode::Success);
}

BASILCHUTE_NAMESPACE_END
