// The scheduler daemon: owns shards of workers and runs their tasks.

#include "basilchute-sched/scheddaemon.h"
#include "libutil/log.h"
#include "libutil/program.h"

#include <fmt/format.h>

using namespace basilchute;

int main(int ArgCount, char **Args) {
  blockSignals();
  Settings Values(schedSettings());
  ProgramInfo Info{.Name = "basilchute-sched",
                   .Description = "places and keeps tasks on workers"};
  if (auto Code = readCommandLine(Info, ArgCount, Args, Values))
    return static_cast<int>(*Code);
  SchedDaemon Daemon(Values);
  Status Started = Daemon.start();
  if (!Started.has_value()) {
    logEvent(LogLevel::Error, "sched", "start_failed",
             fmt::format("message=\"{}\"", Started.error().Message),
             Started.error().Code);
    return static_cast<int>(exitCodeOf(Started.error().Code));
  }
  waitForSignal();
  Daemon.stop();
  return static_cast<int>(ExitCode::Success);
}
