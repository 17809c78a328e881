// The scheduler daemon: owns shards of workers and runs their tasks.

#include "basilchute-sched/scheddaemon.h"
#include "libdaemon/daemonmain.h"

using namespace basilchute;

int main(int ArgCount, char **Args) {
  ProgramInfo Info{.Name = "basilchute-sched",
                   .Description = "places and keeps tasks on workers"};
  return runDaemon<SchedDaemon>(Info, "sched", schedSettings(), ArgCount, Args);
}
