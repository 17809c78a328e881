// The operators' command line.

#include "basilchute-ctl/commands.h"

#include <fmt/format.h>
#include <fstream>

using namespace basilchute;

namespace {

std::vector<SettingSpec> ctlSettings() {
  return {
      {.Key = "log.level",
       .Default = std::string("warning"),
       .Help = "Least severity of log lines."},
      {.Key = "ctl.entries",
       .Default = std::vector<std::string>(),
       .Help = "HOST:PORT of the entries' operator addresses.",
       .Required = true},
      {.Key = "ctl.timeout_ms",
       .Default = int64_t{10000},
       .Help = "Longest wait for one answer, in ms.",
       .Min = 1,
       .Max = 600000},
      {.Key = "ctl.token_file",
       .Default = std::string(),
       .Help = "File with the operators' bearer token."},
  };
}

std::string wordsHelp() {
  std::string Out = "Commands:\n";
  for (const Command &Each : commands())
    Out +=
        fmt::format("  {:9} {:10} {}\n", Each.Name, Each.Arguments, Each.Help);
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
      .Description = "drives basilchute through its remote procedure calls",
      .Extras = {{"file,f", "file with documents and jobs"},
                 {"output,o", "table or json"},
                 {"base-revision", "refuse the change on a newer revision"},
                 {"timeout", "seconds that wait may take"},
                 {"dry-run", "check only", false}},
      .WordsHelp = wordsHelp()};
  ProgramArguments Given;
  if (auto Code = readCommandLine(Info, ArgCount, Args, Values, &Given))
    return static_cast<int>(*Code);
  OperatorClient Client({.Entries = Values.list("ctl.entries"),
                         .Timeout = Values.duration("ctl.timeout_ms"),
                         .Token = readToken(Values.text("ctl.token_file"))});
  return static_cast<int>(runCommand(Client, Given));
}
