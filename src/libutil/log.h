/// \file
/// Structured log lines on standard output, one per state change.
#pragma once

#include "basilchute/result.h"

#include <string_view>

BASILCHUTE_NAMESPACE_BEGIN

/// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// Sets the minimum severity that is written. Thread-safe.
void setLogLevel(LogLevel Min);
/// Parses "debug", "info", "warning" or "error".
Result<LogLevel> parseLogLevel(std::string_view Name);
/// Writes one line: time, level, component, event, code and \p Fields, which
/// must be of the form key=value. Thread-safe.
void logEvent(LogLevel Level, std::string_view Component,
              std::string_view Event, std::string_view Fields = {},
              ResultCode Code = ResultCode::Ok);

BASILCHUTE_NAMESPACE_END
