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
  options::options_description Description("Options");
  auto AddOption = Description.add_options();
  AddOption("help,h", "print this help and exit");
  AddOption("version", "print the version and exit");
  AddOption("config,c", options::value<std::string>(),
            "read settings from a file");
  AddOption("set,s", options::value<std::vector<std::string>>()->composing(),
            "override one setting, as KEY=VALUE");
  AddOption("check", "check the settings, print all errors, and exit");
  AddOption("print-settings", "print the effective settings and exit");
  AddOption("settings-table",
            "print all settings as a Markdown table and exit");
  for (const ExtraOption &Option : Info.Extras) {
    if (Option.TakesValue)
      AddOption(Option.Name.c_str(),
                options::value<std::vector<std::string>>()->composing(),
                Option.Help.c_str());
    else
      AddOption(Option.Name.c_str(), Option.Help.c_str());
  }
  return Description;
}

void append(std::vector<SettingError> &Errors,
            std::vector<SettingError> Added) {
  Errors.insert(Errors.end(), Added.begin(), Added.end());
}

options::variables_map parse(const ProgramInfo &Info, int ArgCount,
                             const char *const *Args,
                             const options::options_description &Visible) {
  options::options_description All;
  All.add(Visible).add_options()(
      "words", options::value<std::vector<std::string>>()->composing());
  options::positional_options_description Words;
  if (!Info.PositionalHelp.empty())
    Words.add("words", -1);
  options::variables_map Parsed;
  options::store(options::command_line_parser(ArgCount, Args)
                     .options(All)
                     .positional(Words)
                     .run(),
                 Parsed);
  return Parsed;
}

ProgramArguments collectArguments(const ProgramInfo &Info,
                                  const options::variables_map &Parsed) {
  ProgramArguments Arguments;
  if (Parsed.count("words"))
    Arguments.Positional = Parsed["words"].as<std::vector<std::string>>();
  for (const ExtraOption &Option : Info.Extras) {
    std::string Name = Option.Name.substr(0, Option.Name.find(','));
    if (!Parsed.count(Name))
      continue;
    Arguments.Extras[Name] = Option.TakesValue
                                 ? Parsed[Name].as<std::vector<std::string>>()
                                 : std::vector<std::string>{"true"};
  }
  return Arguments;
}

std::vector<SettingError> readSettings(const options::variables_map &Parsed,
                                       Settings &Values) {
  std::vector<SettingError> Errors;
  if (Parsed.count("config"))
    append(Errors, Values.loadFile(Parsed["config"].as<std::string>()));
  if (Parsed.count("set"))
    for (const std::string &Assignment :
         Parsed["set"].as<std::vector<std::string>>())
      append(Errors, Values.set(Assignment));
  append(Errors, Values.missing());
  return Errors;
}

void printErrors(const std::vector<SettingError> &Errors) {
  for (const SettingError &Failure : Errors)
    fmt::print(stderr, "{}: {}{}{}\n", Failure.Location,
               Failure.Key.empty() ? "" : "setting \"",
               Failure.Key.empty() ? "" : Failure.Key + "\" ", Failure.Text);
}

} // namespace

std::string ProgramArguments::extra(const std::string &Name,
                                    const std::string &Default) const {
  auto OptionIt = Extras.find(Name);
  return OptionIt == Extras.end() ? Default : OptionIt->second.back();
}

std::string_view versionText() { return "0.1.0"; }

std::optional<ExitCode> readCommandLine(const ProgramInfo &Info, int ArgCount,
                                        const char *const *Args,
                                        Settings &Values,
                                        ProgramArguments *Arguments) {
  options::options_description Visible = describe(Info);
  options::variables_map Parsed;
  try {
    Parsed = parse(Info, ArgCount, Args, Visible);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "{}: {}\n", Info.Name, Failure.what());
    return ExitCode::SettingsInvalid;
  }
  if (Parsed.count("help")) {
    std::cout << Info.Name << ": " << Info.Description << "\n\n"
              << Info.PositionalHelp << Visible;
    return ExitCode::Success;
  }
  if (Parsed.count("version")) {
    fmt::print("{} {}\n", Info.Name, versionText());
    return ExitCode::Success;
  }
  if (Parsed.count("settings-table")) {
    fmt::print("{}", Values.table());
    return ExitCode::Success;
  }
  std::vector<SettingError> Errors = readSettings(Parsed, Values);
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
  if (Arguments)
    *Arguments = collectArguments(Info, Parsed);
  if (Parsed.count("check"))
    return ExitCode::Success;
  if (Parsed.count("print-settings")) {
    fmt::print("{}", Values.dump());
    return ExitCode::Success;
  }
  return std::nullopt;
}

ExitCode exitCodeOf(ResultCode Code) {
  if (Code == ResultCode::SettingsInvalid)
    return ExitCode::SettingsInvalid;
  return Code == ResultCode::BindFailed ? ExitCode::BindFailed
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
       .Help = "Minimum severity of log lines: debug, info, warning or error."},
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
       .Help = "Number of shards that the workers of one failure domain are "
               "divided into. Fixed when the first process stores the layout.",
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
       .Help = "Time-out of one request to the platform, in ms.",
       .Min = 10,
       .Max = 60000},
      {.Key = "member.renew_ms",
       .Default = int64_t{1500},
       .Help = "Interval between renewals of the membership row, in ms.",
       .Min = 50,
       .Max = 60000},
      {.Key = "member.timeout_ms",
       .Default = int64_t{5000},
       .Help =
           "Time after which a process whose membership row has not changed "
           "counts as dead, in ms.",
       .Min = 200,
       .Max = 600000},
      {.Key = "peer.listen",
       .Default = std::string("127.0.0.1:0"),
       .Help =
           "HOST:PORT to listen on for streams from other processes; port 0 "
           "lets the kernel choose."},
      {.Key = "status.listen",
       .Default = std::string("127.0.0.1:0"),
       .Help = "HOST:PORT to listen on for operator calls, /healthz, /readyz "
               "and /metrics."},
  };
}

BASILCHUTE_NAMESPACE_END
