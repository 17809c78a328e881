#include "libutil/program.h"

#include "libutil/log.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fmt/format.h>
#include <iostream>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

namespace options = boost::program_options;

options::options_description describe(const ProgramInfo &Info) {
  options::options_description Out("Options");
  auto Add = Out.add_options();
  Add("help,h", "print this text and exit");
  Add("version", "print the version and exit");
  Add("config,c", options::value<std::string>(), "read settings from a file");
  Add("set,s", options::value<std::vector<std::string>>()->composing(),
      "override one setting, as KEY=VALUE");
  Add("check", "check the settings, print every fault, and exit");
  Add("print-settings", "print the effective settings and exit");
  Add("settings-table", "print all settings as a Markdown table and exit");
  for (const ExtraOption &Each : Info.Extras) {
    if (Each.TakesValue)
      Add(Each.Name.c_str(),
          options::value<std::vector<std::string>>()->composing(),
          Each.Help.c_str());
    else
      Add(Each.Name.c_str(), Each.Help.c_str());
  }
  return Out;
}

void append(std::vector<SettingError> &To, std::vector<SettingError> From) {
  To.insert(To.end(), From.begin(), From.end());
}

options::variables_map parse(const ProgramInfo &Info, int ArgCount,
                             const char *const *Args,
                             const options::options_description &Known) {
  options::options_description All;
  All.add(Known).add_options()(
      "words", options::value<std::vector<std::string>>()->composing());
  options::positional_options_description Words;
  if (!Info.WordsHelp.empty())
    Words.add("words", -1);
  options::variables_map Out;
  options::store(options::command_line_parser(ArgCount, Args)
                     .options(All)
                     .positional(Words)
                     .run(),
                 Out);
  return Out;
}

ProgramArguments collectRest(const ProgramInfo &Info,
                             const options::variables_map &Given) {
  ProgramArguments Out;
  if (Given.count("words"))
    Out.Words = Given["words"].as<std::vector<std::string>>();
  for (const ExtraOption &Each : Info.Extras) {
    std::string Name = Each.Name.substr(0, Each.Name.find(','));
    if (!Given.count(Name))
      continue;
    Out.Extras[Name] = Each.TakesValue
                           ? Given[Name].as<std::vector<std::string>>()
                           : std::vector<std::string>{"true"};
  }
  return Out;
}

std::vector<SettingError> readSettings(const options::variables_map &Given,
                                       Settings &Values) {
  std::vector<SettingError> Errors;
  if (Given.count("config"))
    append(Errors, Values.loadFile(Given["config"].as<std::string>()));
  if (Given.count("set"))
    for (const std::string &Each : Given["set"].as<std::vector<std::string>>())
      append(Errors, Values.set(Each));
  append(Errors, Values.missing());
  return Errors;
}

void printErrors(const std::vector<SettingError> &Errors) {
  for (const SettingError &Each : Errors)
    fmt::print(stderr, "{}: {}{}{}\n", Each.Where,
               Each.Key.empty() ? "" : "setting \"",
               Each.Key.empty() ? "" : Each.Key + "\" ", Each.Text);
}

} // namespace

std::string ProgramArguments::extra(const std::string &Name,
                                    const std::string &Default) const {
  auto Found = Extras.find(Name);
  return Found == Extras.end() ? Default : Found->second.back();
}

std::string_view versionText() { return "0.1.0"; }

std::optional<ExitCode> readCommandLine(const ProgramInfo &Info, int ArgCount,
                                        const char *const *Args,
                                        Settings &Values,
                                        ProgramArguments *Rest) {
  options::options_description Known = describe(Info);
  options::variables_map Given;
  try {
    Given = parse(Info, ArgCount, Args, Known);
  } catch (const options::error &Fault) {
    fmt::print(stderr, "{}: {}\n", Info.Name, Fault.what());
    return ExitCode::SettingsInvalid;
  }
  if (Given.count("help")) {
    std::cout << Info.Name << ": " << Info.Description << "\n\n"
              << Info.WordsHelp << Known;
    return ExitCode::Success;
  }
  if (Given.count("version")) {
    fmt::print("{} {}\n", Info.Name, versionText());
    return ExitCode::Success;
  }
  if (Given.count("settings-table")) {
    fmt::print("{}", Values.table());
    return ExitCode::Success;
  }
  std::vector<SettingError> Errors = readSettings(Given, Values);
  if (!Errors.empty()) {
    printErrors(Errors);
    return ExitCode::SettingsInvalid;
  }
  Result<LogLevel> Level = parseLogLevel(Values.text("log.level"));
  if (!Level.has_value()) {
    printErrors({{"settings", "log.level", Level.error().Message}});
    return ExitCode::SettingsInvalid;
  }
  setLogLevel(Level.value());
  if (Rest)
    *Rest = collectRest(Info, Given);
  if (Given.count("check"))
    return ExitCode::Success;
  if (Given.count("print-settings")) {
    fmt::print("{}", Values.dump());
    return ExitCode::Success;
  }
  return std::nullopt;
}

ExitCode exitCodeOf(ResultCode Why) {
  if (Why == ResultCode::SettingsInvalid)
    return ExitCode::SettingsInvalid;
  return Why == ResultCode::BindFailed ? ExitCode::BindFailed
                                       : ExitCode::Failure;
}

void blockSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
}

void waitForSignal() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  int Signal = 0;
  sigwait(&Set, &Signal);
}

std::vector<SettingSpec> commonSettings() {
  return {
      {.Key = "log.level",
       .Default = std::string("info"),
       .Help = "Least severity of log lines: debug, info, warning or error."},
      {.Key = "process.id",
       .Default = std::string(),
       .Help = "Name of this process's host; a random suffix makes each start "
               "unique.",
       .Required = true},
      {.Key = "process.failure_domain",
       .Default = std::string(),
       .Help = "Failure domain that this process runs in.",
       .Required = true},
      {.Key = "cluster.failure_domains",
       .Default = std::vector<std::string>(),
       .Help = "All failure domains with workers, the same in every process.",
       .Required = true},
      {.Key = "cluster.shards_per_domain",
       .Default = int64_t{1},
       .Help = "Shards that the workers of one domain are divided into. Fixed "
               "by the first process that ever starts.",
       .Min = 1,
       .Max = 64},
      {.Key = "platform.table_store",
       .Default = std::string(),
       .Help = "HOST:PORT of the platform's table service.",
       .Required = true},
      {.Key = "platform.host_list",
       .Default = std::string(),
       .Help = "HOST:PORT of the platform's host list.",
       .Required = true},
      {.Key = "platform.timeout_ms",
       .Default = int64_t{2000},
       .Help = "Longest wait for one answer of the platform, in ms.",
       .Min = 10,
       .Max = 60000},
      {.Key = "member.renew_ms",
       .Default = int64_t{1500},
       .Help = "Interval of the member row's renewal, in ms.",
       .Min = 50,
       .Max = 60000},
      {.Key = "member.timeout_ms",
       .Default = int64_t{5000},
       .Help = "Age at which an unchanged member row counts as dead, in ms.",
       .Min = 200,
       .Max = 600000},
      {.Key = "peer.listen",
       .Default = std::string("127.0.0.1:0"),
       .Help = "HOST:PORT for streams between processes; port 0 lets the "
               "kernel choose."},
      {.Key = "status.listen",
       .Default = std::string("127.0.0.1:0"),
       .Help = "HOST:PORT for operators' calls, /healthz, /readyz and "
               "/metrics."},
  };
}

BASILCHUTE_NAMESPACE_END
