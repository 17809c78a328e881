#include "basilchute-ctl/commands.h"

#include "basilchute-ctl/documentfile.h"

#include <chrono>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds WaitPollEvery{200};

ExitCode exitCodeOf(const Error &Why) {
  fmt::print(stderr, "basilchute-ctl: {}: {}\n", resultCodeName(Why.Code),
             Why.Message);
  return Why.Code == ResultCode::Unavailable ? ExitCode::Unavailable
                                             : ExitCode::Failure;
}

bool wantsJson(const ProgramArguments &Given) {
  return Given.extra("output", "table") == "json";
}

void printJson(const google::protobuf::Message &From) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.add_whitespace = true;
  Options.always_print_primitive_fields = true;
  std::string Text;
  (void)google::protobuf::util::MessageToJsonString(From, &Text, Options);
  fmt::print("{}", Text);
}

std::string describe(const v1::Resources &From) {
  return fmt::format("{}m/{}Mi/{}", From.millicores(), From.memory_mib(),
                     From.accelerators());
}

uint64_t baseRevision(const ProgramArguments &Given) {
  return std::strtoull(Given.extra("base-revision", "0").c_str(), nullptr, 10);
}

ExitCode sendApply(OperatorClient &Client, const ProgramArguments &Given,
                   v1::ApplyRequest Request) {
  Request.set_base_revision(baseRevision(Given));
  Request.set_dry_run(Given.Extras.contains("dry-run"));
  auto Done = Client.call<v1::ApplyResponse>("OperatorService/Apply", Request);
  if (!Done.has_value())
    return exitCodeOf(Done.error());
  fmt::print("revision {}\n", Done.value().revision());
  return ExitCode::Success;
}

ExitCode runApply(OperatorClient &Client, const ProgramArguments &Given) {
  Result<DocumentFile> File = readDocumentFile(Given.extra("file"));
  if (!File.has_value())
    return exitCodeOf(File.error());
  if (!File.value().Documents.empty()) {
    v1::ApplyRequest Request;
    for (const v1::Document &Each : File.value().Documents)
      *Request.add_documents() = Each;
    ExitCode Code = sendApply(Client, Given, std::move(Request));
    if (Code != ExitCode::Success)
      return Code;
  }
  if (Given.Extras.contains("dry-run"))
    return ExitCode::Success;
  for (const v1::SubmitJobRequest &Each : File.value().Jobs) {
    auto Done =
        Client.call<v1::SubmitJobResponse>("OperatorService/SubmitJob", Each);
    if (!Done.has_value())
      return exitCodeOf(Done.error());
    fmt::print("job {}\n", Done.value().name());
  }
  return ExitCode::Success;
}

ExitCode runDelete(OperatorClient &Client, const ProgramArguments &Given) {
  v1::ApplyRequest Request;
  Request.add_deletions(Given.Words[1] + "/" + Given.Words[2]);
  return sendApply(Client, Given, std::move(Request));
}

void printDocument(const v1::Document &Each) {
  if (Each.has_service())
    fmt::print("service  {:24} replicas={} demand={} revision={}\n",
               Each.service().name(), Each.service().replicas(),
               describe(Each.service().demand()), Each.revision());
  if (Each.has_team())
    fmt::print("team     {:24} quota={} revision={}\n", Each.team().name(),
               describe(Each.team().quota()), Each.revision());
  if (Each.has_policy())
    fmt::print("policy   {:24} placement={} revision={}\n",
               Each.policy().name(), Each.policy().placement(),
               Each.revision());
  if (Each.has_cordon())
    fmt::print("cordon   {:24} drain={} revision={}\n", Each.cordon().worker(),
               Each.cordon().drain(), Each.revision());
}

ExitCode listJobs(OperatorClient &Client, const ProgramArguments &Given) {
  auto Done = Client.call<v1::ListJobsResponse>("OperatorService/ListJobs",
                                                v1::ListJobsRequest());
  if (!Done.has_value())
    return exitCodeOf(Done.error());
  if (wantsJson(Given))
    printJson(Done.value());
  else
    for (const v1::JobRow &Each : Done.value().jobs())
      fmt::print("job      {:24} tasks={} team={}\n", Each.name(), Each.tasks(),
                 Each.team());
  return ExitCode::Success;
}

ExitCode listMembers(OperatorClient &Client, const ProgramArguments &Given) {
  auto Done = Client.call<v1::StatusResponse>("StatusService/Status",
                                              v1::StatusRequest());
  if (!Done.has_value())
    return exitCodeOf(Done.error());
  if (wantsJson(Given)) {
    printJson(Done.value());
    return ExitCode::Success;
  }
  for (const v1::MemberRow &Each : Done.value().members())
    fmt::print("{:9} {:24} domain={} revision={}{}\n",
               Each.role() == v1::MemberRow::ENTRY ? "entry" : "scheduler",
               Each.id(), Each.failure_domain(), Each.config_revision(),
               Each.draining() ? " draining" : "");
  for (const v1::ShardStatus &Each : Done.value().shards())
    fmt::print("shard     {:24} owner={}\n", Each.shard(), Each.owner());
  return ExitCode::Success;
}

ExitCode runGet(OperatorClient &Client, const ProgramArguments &Given) {
  const std::string &Kind = Given.Words[1];
  if (Kind == "jobs")
    return listJobs(Client, Given);
  if (Kind == "members")
    return listMembers(Client, Given);
  v1::ListDocumentsRequest Request;
  if (Kind == "services")
    Request.set_kind("service");
  else if (Kind == "teams")
    Request.set_kind("team");
  else if (Kind == "policies")
    Request.set_kind("policy");
  else if (Kind == "cordons")
    Request.set_kind("cordon");
  else if (Kind != "all")
    return exitCodeOf(
        makeError(ResultCode::InvalidArgument,
                  fmt::format("kind \"{}\" is not one of all, services, teams, "
                              "policies, cordons, jobs, members",
                              Kind)));
  auto Done = Client.call<v1::ListDocumentsResponse>(
      "OperatorService/ListDocuments", Request);
  if (!Done.has_value())
    return exitCodeOf(Done.error());
  if (wantsJson(Given)) {
    printJson(Done.value());
    return ExitCode::Success;
  }
  for (const v1::Document &Each : Done.value().documents())
    printDocument(Each);
  return ExitCode::Success;
}

Result<v1::JobStatus> readJob(OperatorClient &Client, const std::string &Name) {
  v1::GetJobRequest Request;
  Request.set_name(Name);
  return Client.call<v1::JobStatus>("OperatorService/GetJob", Request);
}

void printJob(const v1::JobStatus &From) {
  fmt::print("job {} pending={} placed={} done={} failed={} cancelled={} "
             "evictions={}\n",
             From.name(), From.pending(), From.placed(), From.done(),
             From.failed(), From.cancelled(), From.evictions());
}

ExitCode runDescribe(OperatorClient &Client, const ProgramArguments &Given) {
  Result<v1::JobStatus> Done = readJob(Client, Given.Words[2]);
  if (!Done.has_value())
    return exitCodeOf(Done.error());
  if (wantsJson(Given)) {
    printJson(Done.value());
    return ExitCode::Success;
  }
  printJob(Done.value());
  for (const v1::TaskRow &Each : Done.value().tasks())
    fmt::print("task {:24} {} attempt={} worker={} {}\n", Each.id(),
               v1::TaskState_Name(Each.state()), Each.attempt(), Each.worker(),
               Each.reason());
  return ExitCode::Success;
}

ExitCode runWait(OperatorClient &Client, const ProgramArguments &Given) {
  auto Seconds =
      std::strtoll(Given.extra("timeout", "60").c_str(), nullptr, 10);
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (true) {
    Result<v1::JobStatus> Done = readJob(Client, Given.Words[2]);
    bool Over = Done.has_value() && Done.value().pending() == 0 &&
                Done.value().placed() == 0;
    bool Late = std::chrono::steady_clock::now() > End;
    if (Over) {
      printJob(Done.value());
      return Done.value().failed() == 0 ? ExitCode::Success : ExitCode::Failure;
    }
    if (Late && !Done.has_value())
      return exitCodeOf(Done.error());
    if (Late) {
      printJob(Done.value());
      return exitCodeOf(makeError(
          ResultCode::DeadlineExceeded,
          fmt::format("job \"{}\" did not finish in time", Given.Words[2])));
    }
    std::this_thread::sleep_for(WaitPollEvery);
  }
}

ExitCode runCancel(OperatorClient &Client, const ProgramArguments &Given) {
  v1::CancelJobRequest Request;
  Request.set_name(Given.Words[2]);
  auto Done =
      Client.call<v1::CancelJobResponse>("OperatorService/CancelJob", Request);
  if (!Done.has_value())
    return exitCodeOf(Done.error());
  fmt::print("job {} is cancelled\n", Given.Words[2]);
  return ExitCode::Success;
}

ExitCode sendCordon(OperatorClient &Client, const ProgramArguments &Given,
                    bool Drain) {
  v1::ApplyRequest Request;
  v1::Cordon *Cordon = Request.add_documents()->mutable_cordon();
  Cordon->set_worker(Given.Words[1]);
  Cordon->set_drain(Drain);
  return sendApply(Client, Given, std::move(Request));
}

ExitCode runCordon(OperatorClient &Client, const ProgramArguments &Given) {
  return sendCordon(Client, Given, false);
}

ExitCode runDrain(OperatorClient &Client, const ProgramArguments &Given) {
  return sendCordon(Client, Given, true);
}

ExitCode runUncordon(OperatorClient &Client, const ProgramArguments &Given) {
  v1::ApplyRequest Request;
  Request.add_deletions("cordon/" + Given.Words[1]);
  return sendApply(Client, Given, std::move(Request));
}

ExitCode runExplain(OperatorClient &Client, const ProgramArguments &Given) {
  v1::ExplainRequest Request;
  Request.set_task(Given.Words[1]);
  auto Done =
      Client.call<v1::ExplainResponse>("OperatorService/Explain", Request);
  if (!Done.has_value())
    return exitCodeOf(Done.error());
  for (const std::string &Each : Done.value().reasons())
    fmt::print("{}\n", Each);
  return ExitCode::Success;
}

} // namespace

const std::vector<Command> &commands() {
  static const std::vector<Command> All = {
      {"apply", "-f FILE", "apply documents and submit jobs of a TOML file", 0,
       0, runApply},
      {"get", "KIND",
       "list all, services, teams, policies, cordons, jobs or members", 1, 1,
       runGet},
      {"describe", "job NAME", "show a job with its tasks", 2, 2, runDescribe},
      {"wait", "job NAME", "wait until a job is over (--timeout seconds)", 2, 2,
       runWait},
      {"cancel", "job NAME", "cancel a job", 2, 2, runCancel},
      {"delete", "KIND NAME", "remove a document", 2, 2, runDelete},
      {"cordon", "WORKER", "give a worker no new tasks", 1, 1, runCordon},
      {"uncordon", "WORKER", "end a cordon or drain", 1, 1, runUncordon},
      {"drain", "WORKER", "move a worker's tasks elsewhere", 1, 1, runDrain},
      {"explain", "TASK", "say why a task is where it is", 1, 1, runExplain},
  };
  return All;
}

ExitCode runCommand(OperatorClient &Client, const ProgramArguments &Given) {
  if (Given.Words.empty()) {
    fmt::print(stderr, "basilchute-ctl: a command is required; see --help\n");
    return ExitCode::SettingsInvalid;
  }
  for (const Command &Each : commands()) {
    if (Each.Name != Given.Words[0])
      continue;
    size_t Count = Given.Words.size() - 1;
    if (Count >= Each.MinWords && Count <= Each.MaxWords)
      return Each.Run(Client, Given);
    fmt::print(stderr, "usage: basilchute-ctl {} {}\n", Each.Name,
               Each.Arguments);
    return ExitCode::SettingsInvalid;
  }
  fmt::print(stderr, "basilchute-ctl: command \"{}\" does not exist\n",
             Given.Words[0]);
  return ExitCode::SettingsInvalid;
}

BASILCHUTE_NAMESPACE_END
