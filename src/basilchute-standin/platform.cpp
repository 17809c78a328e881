#include "basilchute-standin/platform.h"

#include "curl.endpoint/curlendpointport.h"
#include "http.worker/workercodec.h"
#include "libbasilchute/rows.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time after the listing of a worker as leaving in which it may still get new
/// requests.
constexpr milliseconds LeavingGracePeriod{3000};
constexpr std::string_view RequestIdHeader = "Basilchute-Request-Id";

HttpResponse protoAnswer(const google::protobuf::Message &Message) {
  return {.Headers = {{"Content-Type", "application/proto"}},
          .Body = Message.SerializeAsString()};
}

HttpResponse textAnswer(int Status, std::string Text) {
  return {.Status = Status,
          .Headers = {{"Content-Type", "text/plain"}},
          .Body = std::move(Text)};
}

/// Returns the value of \p Name in a query such as "a=1&b=2", or an empty
/// string if there is none.
std::string queryValue(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    std::string_view Pair = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Pair.size() + 1));
    size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return std::string(Pair.substr(Equals + 1));
  }
  return {};
}

std::string_view queryOf(const HttpRequest &Request) {
  size_t QuestionMark = Request.Target.find('?');
  return QuestionMark == std::string::npos
             ? std::string_view()
             : std::string_view(Request.Target).substr(QuestionMark + 1);
}

} // namespace

Platform::Platform(PlatformOptions Options)
    : m_options(std::move(Options)), m_start(m_time.now()) {
  for (const std::string &Domain : m_options.Domains)
    for (uint32_t Index = 0; Index < m_options.WorkersPerDomain; ++Index)
      addWorker(Domain, Index);
}

Platform::~Platform() { m_loop.stop(); }

milliseconds Platform::now() const {
  return std::chrono::duration_cast<milliseconds>(m_time.now() - m_start);
}

void Platform::addWorker(const std::string &Domain, uint32_t Index) {
  std::string Name = fmt::format("{}-w{}", Domain, Index);
  Host Info{.Worker = Name,
            .FailureDomain = Domain,
            .Rack =
                fmt::format("{}-r{}", Domain, Index / m_options.WorkersPerRack),
            .Capacity = m_options.Capacity};
  auto [It, IsNew] = m_workers.try_emplace(
      Name, std::move(Info), fmt::format("i{}", ++m_incarnations));
  WorkerModel &Model = It->second.Model;
  Model.OnStart = [this, Name](const ModelTask &Task) {
    onTaskStart(Name, Task);
  };
  Model.OnEnd = [this, Name](const ModelTask &Task) { onTaskEnd(Name, Task); };
  Model.AddressOf = [this, Name](const ModelTask &Task) {
    return fmt::format("{}/w/{}/task/{}", m_address, Name, Task.Id.Task);
  };
}

void Platform::recordViolation(std::string Violation) {
  fmt::print(stderr, "standin violation: {}\n", Violation);
  m_record.Violations.push_back(std::move(Violation));
}

void Platform::onTaskStart(const std::string &Name, const ModelTask &Task) {
  ++m_record.TaskStarts;
  std::set<std::string> &Workers = m_workersByTask[Task.Id.Task];
  if (!Workers.empty())
    recordViolation(fmt::format("task {} starts on {} while running on {}",
                                Task.Id.Task, Name, *Workers.begin()));
  Workers.insert(Name);
  if (!m_startedAttempts.insert(Task.Id).second)
    recordViolation(fmt::format("attempt {} of task {} starts a second time",
                                Task.Id.Attempt, Task.Id.Task));
  const WorkerModel &Model = m_workers.at(Name).Model;
  if (!Model.used().fits(Model.info().Capacity))
    recordViolation(
        fmt::format("worker {} runs tasks beyond its capacity", Name));
}

void Platform::onTaskEnd(const std::string &Name, const ModelTask &Task) {
  m_workersByTask[Task.Id.Task].erase(Name);
  if (Task.State == AttemptState::Finished)
    ++m_record.TaskFinishes;
  else
    ++m_record.TaskStops;
}

void Platform::advance() {
  std::lock_guard Guard(m_lock);
  for (auto &[Name, Worker] : m_workers)
    Worker.Model.advance(now());
}

void Platform::handle(HttpRequest Request, Responder Answer) {
  std::string Path(Request.path());
  if (Path.starts_with("/w/"))
    return handleWorker(std::move(Request), std::move(Answer));
  std::unique_lock Guard(m_lock);
  HttpResponse Out;
  if (Path == "/store/scan")
    Out = scan(Request);
  else if (Path == "/store/commit")
    Out = commit(Request);
  else if (Path == "/hosts")
    Out = hosts();
  else if (Path == "/control")
    Out = control(std::string(queryOf(Request)));
  else if (Path == "/record")
    Out = record();
  else
    Out = textAnswer(404, "the path does not exist\n");
  Guard.unlock();
  Answer.send(std::move(Out));
}

HttpResponse Platform::scan(const HttpRequest &Request) {
  if (m_isStoreDown)
    return textAnswer(503, "the store is down\n");
  ++m_record.Reads;
  v1::StoreScanRequest Message;
  Message.ParseFromString(Request.Body);
  std::vector<Row> Rows;
  if (!Message.exact())
    Rows = m_tables.scan(Message.prefix());
  else if (std::optional<Row> SingleRow = m_tables.get(Message.prefix()))
    Rows.push_back(std::move(*SingleRow));
  v1::StoreScanResponse Out;
  for (const Row &StoredRow : Rows) {
    v1::StoreRow *EncodedRow = Out.add_rows();
    EncodedRow->set_key(StoredRow.Key);
    EncodedRow->set_value(StoredRow.Value);
    EncodedRow->set_version(StoredRow.Version);
    EncodedRow->set_writer(StoredRow.WriteToken);
  }
  return protoAnswer(Out);
}

HttpResponse Platform::commit(const HttpRequest &Request) {
  if (m_isStoreDown)
    return textAnswer(503, "the store is down\n");
  ++m_record.Commits;
  v1::StoreCommitRequest Message;
  Message.ParseFromString(Request.Body);
  Transaction Tx;
  for (const v1::StoreWrite &Write : Message.writes())
    Tx.Writes.push_back({.Key = Write.key(),
                         .Value = Write.value(),
                         .Remove = Write.remove(),
                         .ExpectedVersion = Write.expected_version(),
                         .WriteToken = Write.writer()});
  for (const v1::StoreCheck &Check : Message.checks())
    Tx.Checks.push_back(
        {.Key = Check.key(), .ExpectedVersion = Check.expected_version()});
  Result<uint64_t> Version = m_tables.commit(Tx);
  v1::StoreCommitResponse Out;
  if (Version.has_value())
    Out.set_version(Version.value());
  else {
    Out.set_conflict(true);
    // The error message has the key of the conflicting row in quotes.
    const std::string &Text = Version.error().Message;
    size_t First = Text.find('"') + 1;
    Out.set_conflict_key(Text.substr(First, Text.rfind('"') - First));
  }
  return protoAnswer(Out);
}

HttpResponse Platform::hosts() {
  v1::HostListResponse Out;
  for (const auto &[Name, Worker] : m_workers) {
    const Host &Info = Worker.Model.info();
    v1::HostEntry *Entry = Out.add_hosts();
    Entry->set_worker(Name);
    Entry->set_address(fmt::format("{}/w/{}", m_address, Name));
    Entry->set_failure_domain(Info.FailureDomain);
    Entry->set_rack(Info.Rack);
    *Entry->mutable_capacity() = toProto(Info.Capacity);
    Entry->set_leaving(m_leavingSince.contains(Name));
  }
  return protoAnswer(Out);
}

HttpResponse Platform::control(const std::string &Query) {
  std::string Action = queryValue(Query, "action");
  std::string Name = queryValue(Query, "worker");
  if (Action == "store-down" || Action == "store-up") {
    m_isStoreDown = Action == "store-down";
    return textAnswer(200, "done\n");
  }
  auto Target = m_workers.find(Name);
  if (Target == m_workers.end())
    return textAnswer(404, fmt::format("worker \"{}\" does not exist\n", Name));
  if (Action == "leave")
    m_leavingSince.emplace(Name, now());
  else if (Action == "stay")
    m_leavingSince.erase(Name);
  else if (Action == "die" || Action == "restart")
    Target->second.Model.restart(fmt::format("i{}", ++m_incarnations));
  else if (Action != "revive")
    return textAnswer(400, fmt::format("action \"{}\" is unknown\n", Action));
  if (Action == "die" || Action == "revive")
    Target->second.IsDead = Action == "die";
  return textAnswer(200, "done\n");
}

HttpResponse Platform::record() {
  std::string Out = fmt::format(
      "{{\"requests\":{},\"doubled\":{},\"task_starts\":{},"
      "\"task_finishes\":{},\"task_stops\":{},\"commits\":{},\"reads\":{},"
      "\"most_requests_at_once\":{},\"requests_at_leaving\":{},\"violations\":{"
      "}}}\n",
      m_record.Requests, m_record.Doubled, m_record.TaskStarts,
      m_record.TaskFinishes, m_record.TaskStops, m_record.Commits,
      m_record.Reads, m_record.MostRequestsAtOnce, m_record.RequestsAtLeaving,
      m_record.Violations.size());
  return {.Headers = {{"Content-Type", "application/json"}},
          .Body = std::move(Out)};
}

// Handles the paths /w/WORKER/sync and /w/WORKER/task/JOB/INDEX/REST.
void Platform::handleWorker(HttpRequest Request, Responder Answer) {
  std::string Path(Request.path());
  size_t NameEnd = Path.find('/', 3);
  std::string Name = Path.substr(3, NameEnd - 3);
  std::string Rest = NameEnd == std::string::npos ? "" : Path.substr(NameEnd);
  std::unique_lock Guard(m_lock);
  auto Target = m_workers.find(Name);
  if (Target == m_workers.end() || Target->second.IsDead) {
    Guard.unlock();
    return Answer.send(
        textAnswer(500, "the worker does not exist or is dead\n"));
  }
  if (Rest == "/sync") {
    HttpResponse Out = sync(Target->second, Request);
    Guard.unlock();
    return Answer.send(std::move(Out));
  }
  constexpr std::string_view TaskPath = "/task/";
  std::string Task = Rest.substr(std::min(Rest.size(), TaskPath.size()));
  size_t IndexBegin = Task.find('/');
  size_t TaskEnd = IndexBegin == std::string::npos
                       ? IndexBegin
                       : Task.find('/', IndexBegin + 1);
  Guard.unlock();
  serveTask(Name, Task.substr(0, TaskEnd), std::move(Request),
            std::move(Answer));
}

HttpResponse Platform::sync(Worker &Target, const HttpRequest &Request) {
  v1::WorkerSyncRequest Message;
  Message.ParseFromString(Request.Body);
  for (auto &[Id, Task] : Target.Model.tasks())
    Task.InFlight = std::min(Task.InFlight, Target.InFlight);
  return protoAnswer(
      encodeSyncReply(Target.Model.sync(decodeSyncRequest(Message), now())));
}

void Platform::serveTask(const std::string &Name, const std::string &Task,
                         HttpRequest Request, Responder Answer) {
  std::unique_lock Guard(m_lock);
  Worker &Target = m_workers.at(Name);
  auto Attempt = Target.Model.tasks().find(Task);
  bool IsRunning = Attempt != Target.Model.tasks().end() &&
                   Attempt->second.State == AttemptState::Running;
  if (!IsRunning) {
    Guard.unlock();
    HttpResponse Out =
        textAnswer(503, "the task does not run on this worker\n");
    Out.Headers.push_back(
        {std::string(OutcomeHeader), std::string(OutcomeNotRun)});
    return Answer.send(std::move(Out));
  }
  ++Attempt->second.InFlight;
  ++Target.InFlight;
  m_record.MostRequestsAtOnce =
      std::max(m_record.MostRequestsAtOnce, Target.InFlight);
  if (Target.InFlight > m_options.Slots)
    recordViolation(fmt::format(
        "worker {} has {} requests in flight, more than it has slots", Name,
        Target.InFlight));
  ++m_record.Requests;
  auto It = m_leavingSince.find(Name);
  if (It != m_leavingSince.end() && now() - It->second >= LeavingGracePeriod)
    ++m_record.RequestsAtLeaving;
  if (const std::string *Id = findHeader(Request.Headers, RequestIdHeader)) {
    uint32_t Runs = ++m_runsByRequest[*Id];
    const std::string *Idempotent =
        findHeader(Request.Headers, "Basilchute-Idempotent");
    if (Runs > 1 && Idempotent && *Idempotent == "false") {
      ++m_record.Doubled;
      recordViolation(
          fmt::format("non-idempotent request {} ran {} times", *Id, Runs));
    }
  }
  Guard.unlock();
  std::string Delay = queryValue(queryOf(Request), "ms");
  auto SharedAnswer = std::make_shared<Responder>(std::move(Answer));
  if (Delay.empty())
    return finishTask(Name, Task, std::move(Request), SharedAnswer);
  m_loop.runAfter(
      milliseconds(std::strtoll(Delay.c_str(), nullptr, 10)),
      [this, Name, Task, Request = std::move(Request), SharedAnswer]() mutable {
        finishTask(Name, Task, std::move(Request), SharedAnswer);
      });
}

// Frees the worker's slot before sending the answer. The entry may send its
// next request as soon as it has the answer, so a slot freed later could raise
// the sum over all entries above the worker's slots.
void Platform::finishTask(const std::string &Name, const std::string &Task,
                          HttpRequest Request,
                          const std::shared_ptr<Responder> &Answer) {
  {
    std::lock_guard Guard(m_lock);
    Worker &Target = m_workers.at(Name);
    --Target.InFlight;
    auto Attempt = Target.Model.tasks().find(Task);
    if (Attempt != Target.Model.tasks().end() && Attempt->second.InFlight > 0)
      --Attempt->second.InFlight;
  }
  HttpResponse Out{.Headers = {{"Content-Type", "application/octet-stream"},
                               {"Standin-Task", Task}},
                   .Body = std::move(Request.Body)};
  if (const std::string *Id = findHeader(Request.Headers, RequestIdHeader))
    Out.Headers.push_back({std::string(RequestIdHeader), *Id});
  Answer->send(std::move(Out));
}

BASILCHUTE_NAMESPACE_END
