/// \file
/// The main function that both daemons share.
#pragma once

#include "libutil/log.h"
#include "libutil/program.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

/// Reads the settings, runs a \p Daemon until SIGTERM or SIGINT, and stops it.
/// Returns the exit code of the process.
template <typename Daemon>
int runDaemon(const ProgramInfo &Info, std::string_view Component,
              std::vector<SettingSpec> Specs, int ArgCount, char **Args) {
  blockSignals();
  Settings Values(std::move(Specs));
  if (auto Code = readCommandLine(Info, ArgCount, Args, Values))
    return static_cast<int>(*Code);
  Daemon Process(Values);
  Status StartStatus = Process.start();
  if (!StartStatus.has_value()) {
    logEvent(LogLevel::Error, Component, "start_failed",
             fmt::format("message=\"{}\"", StartStatus.error().Message),
             StartStatus.error().Code);
    return static_cast<int>(exitCodeOf(StartStatus.error().Code));
  }
  waitForSignal();
  Process.stop();
  return static_cast<int>(ExitCode::Success);
}

BASILCHUTE_NAMESPACE_END
