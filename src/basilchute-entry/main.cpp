// The entry daemon: takes callers' requests and operators' calls.

#include "basilchute-entry/entrydaemon.h"
#include "libdaemon/daemonmain.h"

using namespace basilchute;

int main(int ArgCount, char **Args) {
  ProgramInfo Info{.Name = "basilchute-entry",
                   .Description = "routes requests and serves operators"};
  return runDaemon<EntryDaemon>(Info, "entry", entrySettings(), ArgCount, Args);
}
