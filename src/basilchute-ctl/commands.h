/// \file
/// The commands of basilchute-ctl.
#pragma once

#include "basilchute-ctl/operatorclient.h"
#include "libutil/program.h"

#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One command with its help text.
struct Command {
  std::string Name;
  std::string Arguments;
  std::string Help;
  /// Number of words after the name that the command accepts.
  size_t MinWords = 0;
  size_t MaxWords = 0;
  ExitCode (*Run)(OperatorClient &, const ProgramArguments &) = nullptr;
};

/// All commands in the order of the help text.
const std::vector<Command> &commands();
/// Runs the command that the first word of \p Arguments names.
ExitCode runCommand(OperatorClient &Client, const ProgramArguments &Arguments);

BASILCHUTE_NAMESPACE_END
