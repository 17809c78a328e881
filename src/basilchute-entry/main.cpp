// The entry daemon: routes callers' requests and serves operators' calls.

#include "basilchute-entry/entrydaemon.h"
#include "libdaemon/daemonmain.h"

using namespace basilchute;

int main(int ArgCount, char **Args) {
  ProgramInfo Info{.Name = "basilchute-entry",
                   .Description =
                       "routes callers' requests and serves operators' calls"};
  return runDaemon<EntryDaemon>(Info, "entry", entrySettings(), ArgCount, Args);
}
