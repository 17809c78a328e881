/// \file
/// The verbs of the operators' command line.
#pragma once

#include "basilchute-ctl/operatorclient.h"
#include "libutil/program.h"

#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One verb.
struct Command {
  std::string Name;
  std::string Arguments;
  std::string Help;
  size_t MinWords = 0;
  size_t MaxWords = 0;
  ExitCode (*Run)(OperatorClient &, const ProgramArguments &) = nullptr;
};

/// All verbs in the order of the help text.
const std::vector<Command> &commands();
/// Runs the verb that \p Given names.
ExitCode runCommand(OperatorClient &Client, const ProgramArguments &Given);

BASILCHUTE_NAMESPACE_END
