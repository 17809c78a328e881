/// \file
/// Common parts of all programs: command line, settings, signals, exit codes.
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

/// A command line option in addition to those of every program.
struct ExtraOption {
  /// Long name and optional short name, such as "file,f".
  std::string Name;
  std::string Help;
  bool TakesValue = true;
};

/// Name and one-line description of a program, and the arguments that it
/// accepts in addition to the common options.
struct ProgramInfo {
  std::string Name;
  std::string Description;
  std::vector<ExtraOption> Extras;
  /// Help text for the positional arguments; empty if none are accepted.
  std::string PositionalHelp;
};

/// Arguments of the command line other than the common options.
struct ProgramArguments {
  /// Positional arguments.
  std::vector<std::string> Positional;
  /// Values of the extra options by long name.
  std::map<std::string, std::vector<std::string>> Extras;

  /// Returns the last value of the extra option \p Name, or \p Default.
  std::string extra(const std::string &Name,
                    const std::string &Default = {}) const;
};

/// Parses the command line and handles the common options: --help, --version,
/// --config, --set, --check, --print-settings and --settings-table.
///
/// Returns the exit code if the program is to exit, and std::nullopt if it is
/// to run with \p Values. Errors in the settings are printed, one line each. If
/// \p Arguments is not null, it receives the positional arguments and the extra
/// options.
std::optional<ExitCode> readCommandLine(const ProgramInfo &Info, int ArgCount,
                                        const char *const *Args,
                                        Settings &Values,
                                        ProgramArguments *Arguments = nullptr);

/// Returns the exit code of a daemon whose start failed with \p Code.
ExitCode exitCodeOf(ResultCode Code);

/// Blocks SIGTERM and SIGINT in this thread and the threads started from it,
/// and ignores SIGPIPE. Must be called before any thread is started.
void blockSignals();
/// Waits for SIGTERM or SIGINT, which must be blocked by blockSignals().
void waitForSignal();

/// Returns the settings that all daemons have in common.
std::vector<SettingSpec> commonSettings();

/// Returns the version of this build.
std::string_view versionText();

BASILCHUTE_NAMESPACE_END
