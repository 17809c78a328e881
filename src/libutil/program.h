/// \file
/// What every program does alike: command line, settings, signals, exit codes.
#pragma once

#include "libutil/settings.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Exit codes of every program; docs/ERRORS.md lists them.
enum class ExitCode : int {
  Success = 0,
  Failure = 1,
  SettingsInvalid = 2,
  BindFailed = 3,
  Unavailable = 4,
};

/// An option beyond those that every program has.
struct ExtraOption {
  /// Long name, with an optional one-letter name such as "file,f".
  std::string Name;
  std::string Help;
  bool TakesValue = true;
};

/// A program's name, its one-line description and what else it accepts.
struct ProgramInfo {
  std::string Name;
  std::string Description;
  std::vector<ExtraOption> Extras;
  /// Text on the words that follow the options; empty accepts none.
  std::string WordsHelp;
};

/// What the command line held beyond the settings.
struct ProgramArguments {
  std::vector<std::string> Words;
  /// Values of the extra options by long name.
  std::map<std::string, std::vector<std::string>> Extras;

  /// Returns the last value of an extra option, or \p Default.
  std::string extra(const std::string &Name,
                    const std::string &Default = {}) const;
};

/// Handles --help, --version, --config, --set, --check and --print-settings.
///
/// Returns the exit code if the program is done, and none if it is to run with
/// \p Values. Faults of the settings are printed, one line each. Words and
/// extra options go to \p Rest.
std::optional<ExitCode> readCommandLine(const ProgramInfo &Info, int ArgCount,
                                        const char *const *Args,
                                        Settings &Values,
                                        ProgramArguments *Rest = nullptr);

/// Returns the exit code of a daemon that did not start for \p Why.
ExitCode exitCodeOf(ResultCode Why);

/// Blocks SIGTERM and SIGINT in this and all later threads and ignores SIGPIPE.
/// Call it first.
void blockSignals();
/// Waits for SIGTERM or SIGINT.
void waitForSignal();

/// Settings that all daemons share.
std::vector<SettingSpec> commonSettings();

/// The version of this build.
std::string_view versionText();

BASILCHUTE_NAMESPACE_END
