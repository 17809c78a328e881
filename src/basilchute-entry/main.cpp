// The entry daemon: takes callers' requests and operators' calls.

#include "basilchute-entry/entrydaemon.h"
#include "libutil/log.h"
#include "libutil/program.h"

#include <fmt/format.h>

using namespace basilchute;

int main(int ArgCount, char **Args) {
  blockSignals();
  Settings Values(entrySettings());
  ProgramInfo Info{.Name = "basilchute-entry",
                   .Description = "routes requests and serves operators"};
  if (auto Code = readCommandLine(Info, ArgCount, Args, Values))
    return static_cast<int>(*Code);
  EntryDaemon Daemon(Values);
  Status Started = Daemon.start();
  if (!Started.has_value()) {
    logEvent(LogLevel::Error, "entry", "start_failed",
             fmt::format("message=\"{}\"", Started.error().Message),
             Started.error().Code);
    return static_cast<int>(exitCodeOf(Started.error().Code));
  }
  waitForSignal();
  Daemon.stop();
  return static_cast<int>(ExitCode::Success);
}
