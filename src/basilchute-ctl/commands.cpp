#include "basilchute-ctl/commands.h"

#include "basilchute-ctl/documentfile.h"

#include <chrono>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds WaitPollInterval{200};

/// Prints \p Failure and returns the exit code for it.
ExitCode reportError(const Error &Failure) {
  fmt::print(stderr, "basilchute-ctl: {}: {}\n", resultCodeName(Failure.Code),
             Failure.Message);
  return Failure.Code == ResultCode::Unavailable ? ExitCode::Unavailable
                                                 : ExitCode::Failure;
}

bool wantsJson(const ProgramArguments &Arguments) {
  return Arguments.extra("output", "table") == "json";
}

void printJson(const google::protobuf::Message &Message) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.add_whitespace = true;
  Options.always_print_primitive_fields = true;
  std::string Text;
  (void)google::protobuf::util::MessageToJsonString(Message, &Text, Options);
  fmt::print("{}", Text);
}

std::string formatResources(const v1::Resources &Amount) {
  return fmt::format("{}m/{}Mi/{}", Amount.millicores(), Amount.memory_mib(),
                     Amount.accelerators());
}

uint64_t baseRevision(const ProgramArguments &Arguments) {
  return std::strtoull(Arguments.extra("base-revision", "0").c_str(), nullptr,
                       10);
}

ExitCode sendApply(OperatorClient &Client, const ProgramArguments &Arguments,
                   v1::ApplyRequest Request) {
  Request.set_base_revision(baseRevision(Arguments));
  Request.set_dry_run(Arguments.Extras.contains("dry-run"));
  auto Reply = Client.call<v1::ApplyResponse>("OperatorService/Apply", Request);
  if (!Reply.has_value())
    return reportError(Reply.error());
  fmt::print("revision {}\n", Reply.value().revision());
  return ExitCode::Success;
}

ExitCode runApply(OperatorClient &Client, const ProgramArguments &Arguments) {
  Result<DocumentFile> File = readDocumentFile(Arguments.extra("file"));
  if (!File.has_value())
    return reportError(File.error());
  if (!File.value().Documents.empty()) {
    v1::ApplyRequest Request;
    for (const v1::Document &Document : File.value().Documents)
      *Request.add_documents() = Document;
    ExitCode Code = sendApply(Client, Arguments, std::move(Request));
    if (Code != ExitCode::Success)
      return Code;
  }
  if (Arguments.Extras.contains("dry-run"))
    return ExitCode::Success;
  for (const v1::SubmitJobRequest &Job : File.value().Jobs) {
    auto Reply =
        Client.call<v1::SubmitJobResponse>("OperatorService/SubmitJob", Job);
    if (!Reply.has_value())
      return reportError(Reply.error());
    fmt::print("job {}\n", Reply.value().name());
  }
  return ExitCode::Success;
}

ExitCode runDelete(OperatorClient &Client, const ProgramArguments &Arguments) {
  v1::ApplyRequest Request;
  Request.add_deletions(Arguments.Positional[1] + "/" +
                        Arguments.Positional[2]);
  return sendApply(Client, Arguments, std::move(Request));
}

void printDocument(const v1::Document &Document) {
  if (Document.has_service())
    fmt::print("service  {:24} replicas={} demand={} revision={}\n",
               Document.service().name(), Document.service().replicas(),
               formatResources(Document.service().demand()),
               Document.revision());
  if (Document.has_team())
    fmt::print("team     {:24} quota={} revision={}\n", Document.team().name(),
               formatResources(Document.team().quota()), Document.revision());
  if (Document.has_policy())
    fmt::print("policy   {:24} placement={} revision={}\n",
               Document.policy().name(), Document.policy().placement(),
               Document.revision());
  if (Document.has_cordon())
    fmt::print("cordon   {:24} drain={} revision={}\n",
               Document.cordon().worker(), Document.cordon().drain(),
               Document.revision());
}

ExitCode listJobs(OperatorClient &Client, const ProgramArguments &Arguments) {
  auto Reply = Client.call<v1::ListJobsResponse>("OperatorService/ListJobs",
                                                 v1::ListJobsRequest());
  if (!Reply.has_value())
    return reportError(Reply.error());
  if (wantsJson(Arguments))
    printJson(Reply.value());
  else
    for (const v1::JobRow &Job : Reply.value().jobs())
      fmt::print("job      {:24} tasks={} team={}\n", Job.name(), Job.tasks(),
                 Job.team());
  return ExitCode::Success;
}

ExitCode listMembers(OperatorClient &Client,
                     const ProgramArguments &Arguments) {
  auto Reply = Client.call<v1::StatusResponse>("StatusService/Status",
                                               v1::StatusRequest());
  if (!Reply.has_value())
    return reportError(Reply.error());
  if (wantsJson(Arguments)) {
    printJson(Reply.value());
    return ExitCode::Success;
  }
  for (const v1::MemberRow &Row : Reply.value().members())
    fmt::print("{:9} {:24} domain={} revision={}{}\n",
               Row.role() == v1::MemberRow::ENTRY ? "entry" : "scheduler",
               Row.id(), Row.failure_domain(), Row.config_revision(),
               Row.draining() ? " draining" : "");
  for (const v1::ShardStatus &Shard : Reply.value().shards())
    fmt::print("shard     {:24} owner={}\n", Shard.shard(), Shard.owner());
  return ExitCode::Success;
}

ExitCode runGet(OperatorClient &Client, const ProgramArguments &Arguments) {
  const std::string &Kind = Arguments.Positional[1];
  if (Kind == "jobs")
    return listJobs(Client, Arguments);
  if (Kind == "members")
    return listMembers(Client, Arguments);
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
    return reportError(
        makeError(ResultCode::InvalidArgument,
                  fmt::format("kind \"{}\" is not one of all, services, teams, "
                              "policies, cordons, jobs, members",
                              Kind)));
  auto Reply = Client.call<v1::ListDocumentsResponse>(
      "OperatorService/ListDocuments", Request);
  if (!Reply.has_value())
    return reportError(Reply.error());
  if (wantsJson(Arguments)) {
    printJson(Reply.value());
    return ExitCode::Success;
  }
  for (const v1::Document &Document : Reply.value().documents())
    printDocument(Document);
  return ExitCode::Success;
}

Result<v1::JobStatus> readJob(OperatorClient &Client, const std::string &Name) {
  v1::GetJobRequest Request;
  Request.set_name(Name);
  return Client.call<v1::JobStatus>("OperatorService/GetJob", Request);
}

void printJob(const v1::JobStatus &Job) {
  fmt::print("job {} pending={} placed={} done={} failed={} cancelled={} "
             "evictions={}\n",
             Job.name(), Job.pending(), Job.placed(), Job.done(), Job.failed(),
             Job.cancelled(), Job.evictions());
}

ExitCode runDescribe(OperatorClient &Client,
                     const ProgramArguments &Arguments) {
  Result<v1::JobStatus> Reply = readJob(Client, Arguments.Positional[2]);
  if (!Reply.has_value())
    return reportError(Reply.error());
  if (wantsJson(Arguments)) {
    printJson(Reply.value());
    return ExitCode::Success;
  }
  printJob(Reply.value());
  for (const v1::TaskRow &Task : Reply.value().tasks())
    fmt::print("task {:24} {} attempt={} worker={} {}\n", Task.id(),
               v1::TaskState_Name(Task.state()), Task.attempt(), Task.worker(),
               Task.reason());
  return ExitCode::Success;
}

ExitCode runWait(OperatorClient &Client, const ProgramArguments &Arguments) {
  auto Seconds =
      std::strtoll(Arguments.extra("timeout", "60").c_str(), nullptr, 10);
  auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (true) {
    Result<v1::JobStatus> Reply = readJob(Client, Arguments.Positional[2]);
    bool IsFinished = Reply.has_value() && Reply.value().pending() == 0 &&
                      Reply.value().placed() == 0;
    bool IsTimedOut = std::chrono::steady_clock::now() > Deadline;
    if (IsFinished) {
      printJob(Reply.value());
      return Reply.value().failed() == 0 ? ExitCode::Success
                                         : ExitCode::Failure;
    }
    if (IsTimedOut && !Reply.has_value())
      return reportError(Reply.error());
    if (IsTimedOut) {
      printJob(Reply.value());
      return reportError(
          makeError(ResultCode::DeadlineExceeded,
                    fmt::format("job \"{}\" did not finish within the time-out",
                                Arguments.Positional[2])));
    }
    std::this_thread::sleep_for(WaitPollInterval);
  }
}

ExitCode runCancel(OperatorClient &Client, const ProgramArguments &Arguments) {
  v1::CancelJobRequest Request;
  Request.set_name(Arguments.Positional[2]);
  auto Reply =
      Client.call<v1::CancelJobResponse>("OperatorService/CancelJob", Request);
  if (!Reply.has_value())
    return reportError(Reply.error());
  fmt::print("job {} is cancelled\n", Arguments.Positional[2]);
  return ExitCode::Success;
}

ExitCode sendCordon(OperatorClient &Client, const ProgramArguments &Arguments,
                    bool Drain) {
  v1::ApplyRequest Request;
  v1::Cordon *Cordon = Request.add_documents()->mutable_cordon();
  Cordon->set_worker(Arguments.Positional[1]);
  Cordon->set_drain(Drain);
  return sendApply(Client, Arguments, std::move(Request));
}

ExitCode runCordon(OperatorClient &Client, const ProgramArguments &Arguments) {
  return sendCordon(Client, Arguments, false);
}

ExitCode runDrain(OperatorClient &Client, const ProgramArguments &Arguments) {
  return sendCordon(Client, Arguments, true);
}

ExitCode runUncordon(OperatorClient &Client,
                     const ProgramArguments &Arguments) {
  v1::ApplyRequest Request;
  Request.add_deletions("cordon/" + Arguments.Positional[1]);
  return sendApply(Client, Arguments, std::move(Request));
}

ExitCode runExplain(OperatorClient &Client, const ProgramArguments &Arguments) {
  v1::ExplainRequest Request;
  Request.set_task(Arguments.Positional[1]);
  auto Reply =
      Client.call<v1::ExplainResponse>("OperatorService/Explain", Request);
  if (!Reply.has_value())
    return reportError(Reply.error());
  for (const std::string &Reason : Reply.value().reasons())
    fmt::print("{}\n", Reason);
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
      {"wait", "job NAME", "wait until a job has finished (--timeout seconds)",
       2, 2, runWait},
      {"cancel", "job NAME", "cancel a job", 2, 2, runCancel},
      {"delete", "KIND NAME", "remove a document", 2, 2, runDelete},
      {"cordon", "WORKER", "place no new tasks on a worker", 1, 1, runCordon},
      {"uncordon", "WORKER", "end a cordon or drain", 1, 1, runUncordon},
      {"drain", "WORKER", "move a worker's tasks to other workers", 1, 1,
       runDrain},
      {"explain", "TASK", "show the reasons for a task's placement", 1, 1,
       runExplain},
  };
  return All;
}

ExitCode runCommand(OperatorClient &Client, const ProgramArguments &Arguments) {
  if (Arguments.Positional.empty()) {
    fmt::print(stderr, "basilchute-ctl: a command is required; see --help\n");
    return ExitCode::SettingsInvalid;
  }
  for (const Command &Spec : commands()) {
    if (Spec.Name != Arguments.Positional[0])
      continue;
    size_t Count = Arguments.Positional.size() - 1;
    if (Count >= Spec.MinWords && Count <= Spec.MaxWords)
      return Spec.Run(Client, Arguments);
    fmt::print(stderr, "usage: basilchute-ctl {} {}\n", Spec.Name,
               Spec.Arguments);
    return ExitCode::SettingsInvalid;
  }
  fmt::print(stderr, "basilchute-ctl: command \"{}\" does not exist\n",
             Arguments.Positional[0]);
  return ExitCode::SettingsInvalid;
}

BASILCHUTE_NAMESPACE_END
