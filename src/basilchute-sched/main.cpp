// The scheduler daemon: owns shards of workers and places tasks on them.

#include "basilchute-sched/scheddaemon.h"
#include "libdaemon/daemonmain.h"

using namespace basilchute;

int main(int ArgCount, char **Args) {
  ProgramInfo Info{.Name = "basilchute-sched",
                   .Description =
                       "places tasks on workers and keeps them running"};
  return runDaemon<SchedDaemon>(Info, "sched", schedSettings(), ArgCount, Args);
}
