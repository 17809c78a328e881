/// \file
/// Structured log lines on standard output, one per change of state.
#pragma once

#include "basilchute/result.h"

#include <string_view>

BASILCHUTE_NAMESPACE_BEGIN

/// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// Sets the least severity that is written. Safe from any thread.
void setLogLevel(LogLevel Least);
/// Parses "debug", "info", "warning" or "error".
Result<LogLevel> parseLogLevel(std::string_view Name);
/// Writes one line: time, level, component, event, code and \p Fields, which
/// are already of the form key=value. Safe from any thread.
void logEvent(LogLevel Level, std::string_view Component,
              std::string_view Event, std::string_view Fields = {},
              ResultCode Code = ResultCode::Ok);

BASILCHUTE_NAMESPACE_END
