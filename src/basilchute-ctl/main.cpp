// Command-line client for operators.

#include "basilchute-ctl/commands.h"

#include <fmt/format.h>
#include <fstream>

using namespace basilchute;

namespace {

std::vector<SettingSpec> ctlSettings() {
  return {
      {.Key = "log.level",
       .Default = std::string("warning"),
       .Help = "Minimum severity of log lines: debug, info, warning or error."},
      {.Key = "ctl.entries",
       .Default = std::vector<std::string>(),
       .Help = "HOST:PORT of the entries' operator addresses, tried in order.",
       .Required = true},
      {.Key = "ctl.timeout_ms",
       .Default = int64_t{10000},
       .Help = "Maximum time to wait for one answer, in ms.",
       .Min = 1,
       .Max = 600000},
      {.Key = "ctl.token_file",
       .Default = std::string(),
       .Help = "File whose first line is the operators' bearer token."},
  };
}

std::string commandsHelp() {
  std::string Out = "Commands:\n";
  for (const Command &Spec : commands())
    Out +=
        fmt::format("  {:9} {:10} {}\n", Spec.Name, Spec.Arguments, Spec.Help);
  return Out + "\n";
}

std::string readToken(const std::string &File) {
  std::string Token;
  if (std::ifstream In(File); In)
    std::getline(In, Token);
  return Token;
}

} // namespace

int main(int ArgCount, char **Args) {
  Settings Values(ctlSettings());
  ProgramInfo Info{
      .Name = "basilchute-ctl",
      .Description = "manages basilchute through the operators' calls",
      .Extras = {{"file,f", "file with documents and jobs"},
                 {"output,o", "table or json"},
                 {"base-revision",
                  "fail if the configuration has another revision"},
                 {"timeout", "time-out of the wait command, in seconds"},
                 {"dry-run", "validate only, change nothing", false}},
      .PositionalHelp = commandsHelp()};
  ProgramArguments Arguments;
  if (auto Code = readCommandLine(Info, ArgCount, Args, Values, &Arguments))
    return static_cast<int>(*Code);
  OperatorClient Client({.Entries = Values.list("ctl.entries"),
                         .Timeout = Values.duration("ctl.timeout_ms"),
                         .Token = readToken(Values.text("ctl.token_file"))});
  return static_cast<int>(runCommand(Client, Arguments));
}
