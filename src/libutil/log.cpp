#include "libutil/log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};
std::atomic<LogLevel> MinLevel{LogLevel::Info};

} // namespace

void setLogLevel(LogLevel Min) { MinLevel = Min; }

Result<LogLevel> parseLogLevel(std::string_view Name) {
  for (size_t Index = 0; Index < LevelNames.size(); ++Index)
    if (LevelNames[Index] == Name)
      return static_cast<LogLevel>(Index);
  return makeError(ResultCode::InvalidArgument,
                   fmt::format("log level \"{}\" is not one of debug, info, "
                               "warning, error",
                               Name));
}

void logEvent(LogLevel Level, std::string_view Component,
              std::string_view Event, std::string_view Fields,
              ResultCode Code) {
  if (Level < MinLevel.load(std::memory_order_relaxed))
    return;
  auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  auto Millis = Now.time_since_epoch().count() % 1000;
  fmt::print(stdout,
             "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} component={} event={} "
             "code={}{}{}\n",
             fmt::gmtime(std::chrono::system_clock::to_time_t(Now)), Millis,
             LevelNames[static_cast<size_t>(Level)], Component, Event,
             resultCodeName(Code), Fields.empty() ? "" : " ", Fields);
  // Output to a pipe is buffered; the flush keeps lines from being lost when
  // the process is killed.
  std::fflush(stdout);
}

BASILCHUTE_NAMESPACE_END
