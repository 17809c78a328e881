#include "basilchute-standin/platform.h"

#include "curl.endpoint/curlendpointport.h"
#include "http.worker/workercodec.h"
#include "libbasilchute/rows.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time after which a leaving worker may get no new requests.
constexpr milliseconds LeavingLimit{3000};
constexpr std::string_view RequestIdHeader = "Basilchute-Request-Id";

HttpResponse protoAnswer(const google::protobuf::Message &From) {
  return {.Headers = {{"Content-Type", "application/proto"}},
          .Body = From.SerializeAsString()};
}

HttpResponse textAnswer(int Status, std::string Text) {
  return {.Status = Status,
          .Headers = {{"Content-Type", "text/plain"}},
          .Body = std::move(Text)};
}

/// Returns the value of \p Name in a query such as "a=1&b=2", or nothing.
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

std::string_view queryOf(const HttpRequest &From) {
  size_t Mark = From.Target.find('?');
  return Mark == std::string::npos
             ? std::string_view()
             : std::string_view(From.Target).substr(Mark + 1);
}

} // namespace

Platform::Platform(PlatformOptions Options)
    : m_options(std::move(Options)), m_start(m_time.now()) {
  for (const std::string &Domain : m_options.Domains)
    for (uint32_t I = 0; I < m_options.WorkersPerDomain; ++I)
      addWorker(Domain, I);
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
  auto [Found, New] = m_workers.try_emplace(
      Name, std::move(Info), fmt::format("i{}", ++m_incarnations));
  WorkerModel &Model = Found->second.Model;
  Model.OnStart = [this, Name](const ModelTask &Task) {
    noteStart(Name, Task);
  };
  Model.OnEnd = [this, Name](const ModelTask &Task) { noteEnd(Name, Task); };
  Model.AddressOf = [this, Name](const ModelTask &Task) {
    return fmt::format("{}/w/{}/task/{}", m_address, Name, Task.Id.Task);
  };
}

void Platform::violate(std::string What) {
  fmt::print(stderr, "standin violation: {}\n", What);
  m_record.Violations.push_back(std::move(What));
}

void Platform::noteStart(const std::string &Name, const ModelTask &Task) {
  ++m_record.TaskStarts;
  std::set<std::string> &Running = m_running[Task.Id.Task];
  if (!Running.empty())
    violate(fmt::format("task {} starts on {} while running on {}",
                        Task.Id.Task, Name, *Running.begin()));
  Running.insert(Name);
  if (!m_started.insert(Task.Id).second)
    violate(fmt::format("attempt {} of task {} starts a second time",
                        Task.Id.Attempt, Task.Id.Task));
  const WorkerModel &Model = m_workers.at(Name).Model;
  if (!Model.used().fits(Model.info().Capacity))
    violate(fmt::format("worker {} is overfilled", Name));
}

void Platform::noteEnd(const std::string &Name, const ModelTask &Task) {
  m_running[Task.Id.Task].erase(Name);
  if (Task.State == AttemptState::Finished)
    ++m_record.TaskFinishes;
  else
    ++m_record.TaskStops;
}

void Platform::advance() {
  std::lock_guard Guard(m_lock);
  for (auto &[Name, Each] : m_workers)
    Each.Model.advance(now());
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
    Out = textAnswer(404, "no such path\n");
  Guard.unlock();
  Answer.send(std::move(Out));
}

HttpResponse Platform::scan(const HttpRequest &Request) {
  if (m_storeDown)
    return textAnswer(503, "the store is down\n");
  ++m_record.Reads;
  v1::StoreScanRequest Message;
  Message.ParseFromString(Request.Body);
  std::vector<Row> Rows;
  if (!Message.exact())
    Rows = m_tables.scan(Message.prefix());
  else if (std::optional<Row> Found = m_tables.get(Message.prefix()))
    Rows.push_back(std::move(*Found));
  v1::StoreScanResponse Out;
  for (const Row &Each : Rows) {
    v1::StoreRow *To = Out.add_rows();
    To->set_key(Each.Key);
    To->set_value(Each.Value);
    To->set_version(Each.Version);
    To->set_writer(Each.Writer);
  }
  return protoAnswer(Out);
}

HttpResponse Platform::commit(const HttpRequest &Request) {
  if (m_storeDown)
    return textAnswer(503, "the store is down\n");
  ++m_record.Commits;
  v1::StoreCommitRequest Message;
  Message.ParseFromString(Request.Body);
  Transaction Tx;
  for (const v1::StoreWrite &Each : Message.writes())
    Tx.Writes.push_back({.Key = Each.key(),
                         .Value = Each.value(),
                         .Remove = Each.remove(),
                         .ExpectedVersion = Each.expected_version(),
                         .Writer = Each.writer()});
  for (const v1::StoreCheck &Each : Message.checks())
    Tx.Checks.push_back(
        {.Key = Each.key(), .ExpectedVersion = Each.expected_version()});
  Result<uint64_t> Done = m_tables.commit(Tx);
  v1::StoreCommitResponse Out;
  if (Done.has_value())
    Out.set_version(Done.value());
  else {
    Out.set_conflict(true);
    // The message names the row in quotes.
    const std::string &Text = Done.error().Message;
    size_t First = Text.find('"') + 1;
    Out.set_conflict_key(Text.substr(First, Text.rfind('"') - First));
  }
  return protoAnswer(Out);
}

HttpResponse Platform::hosts() {
  v1::HostListResponse Out;
  for (const auto &[Name, Each] : m_workers) {
    const Host &Info = Each.Model.info();
    v1::HostEntry *To = Out.add_hosts();
    To->set_worker(Name);
    To->set_address(fmt::format("{}/w/{}", m_address, Name));
    To->set_failure_domain(Info.FailureDomain);
    To->set_rack(Info.Rack);
    *To->mutable_capacity() = toProto(Info.Capacity);
    To->set_leaving(m_leaving.contains(Name));
  }
  return protoAnswer(Out);
}

HttpResponse Platform::control(const std::string &Query) {
  std::string Action = queryValue(Query, "action");
  std::string Name = queryValue(Query, "worker");
  if (Action == "store-down" || Action == "store-up") {
    m_storeDown = Action == "store-down";
    return textAnswer(200, "done\n");
  }
  auto Found = m_workers.find(Name);
  if (Found == m_workers.end())
    return textAnswer(404, fmt::format("worker \"{}\" does not exist\n", Name));
  if (Action == "leave")
    m_leaving.emplace(Name, now());
  else if (Action == "stay")
    m_leaving.erase(Name);
  else if (Action == "die" || Action == "restart")
    Found->second.Model.restart(fmt::format("i{}", ++m_incarnations));
  else if (Action != "revive")
    return textAnswer(400, fmt::format("action \"{}\" is unknown\n", Action));
  if (Action == "die" || Action == "revive")
    Found->second.Dead = Action == "die";
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

// Paths are /w/WORKER/sync and /w/WORKER/task/JOB/INDEX/REST.
void Platform::handleWorker(HttpRequest Request, Responder Answer) {
  std::string Path(Request.path());
  size_t NameEnd = Path.find('/', 3);
  std::string Name = Path.substr(3, NameEnd - 3);
  std::string Rest = NameEnd == std::string::npos ? "" : Path.substr(NameEnd);
  std::unique_lock Guard(m_lock);
  auto Found = m_workers.find(Name);
  if (Found == m_workers.end() || Found->second.Dead) {
    Guard.unlock();
    return Answer.send(textAnswer(500, "no such worker\n"));
  }
  if (Rest == "/sync") {
    HttpResponse Out = sync(Found->second, Request);
    Guard.unlock();
    return Answer.send(std::move(Out));
  }
  constexpr std::string_view TaskPath = "/task/";
  std::string Task = Rest.substr(std::min(Rest.size(), TaskPath.size()));
  size_t Index = Task.find('/');
  size_t End = Index == std::string::npos ? Index : Task.find('/', Index + 1);
  Guard.unlock();
  serveTask(Name, Task.substr(0, End), std::move(Request), std::move(Answer));
}

HttpResponse Platform::sync(Worker &Of, const HttpRequest &Request) {
  v1::WorkerSyncRequest Message;
  Message.ParseFromString(Request.Body);
  for (auto &[Task, Each] : Of.Model.tasks())
    Each.InFlight = std::min(Each.InFlight, Of.InFlight);
  return protoAnswer(encodeReport(Of.Model.sync(decodeSync(Message), now())));
}

void Platform::serveTask(const std::string &Name, const std::string &Task,
                         HttpRequest Request, Responder Answer) {
  std::unique_lock Guard(m_lock);
  Worker &Of = m_workers.at(Name);
  auto Found = Of.Model.tasks().find(Task);
  bool Runs = Found != Of.Model.tasks().end() &&
              Found->second.State == AttemptState::Running;
  if (!Runs) {
    Guard.unlock();
    HttpResponse Out = textAnswer(503, "the task does not run here\n");
    Out.Headers.push_back(
        {std::string(OutcomeHeader), std::string(OutcomeNotRun)});
    return Answer.send(std::move(Out));
  }
  ++Found->second.InFlight;
  ++Of.InFlight;
  m_record.MostRequestsAtOnce =
      std::max(m_record.MostRequestsAtOnce, Of.InFlight);
  if (Of.InFlight > m_options.Slots)
    violate(fmt::format("worker {} answers {} requests at once", Name,
                        Of.InFlight));
  ++m_record.Requests;
  auto Leaving = m_leaving.find(Name);
  if (Leaving != m_leaving.end() && now() - Leaving->second >= LeavingLimit)
    ++m_record.RequestsAtLeaving;
  if (const std::string *Id = findHeader(Request.Headers, RequestIdHeader)) {
    uint32_t Times = ++m_requestIds[*Id];
    const std::string *Mark =
        findHeader(Request.Headers, "Basilchute-Idempotent");
    if (Times > 1 && Mark && *Mark == "false") {
      ++m_record.Doubled;
      violate(fmt::format("request {} ran {} times", *Id, Times));
    }
  }
  Guard.unlock();
  std::string Delay = queryValue(queryOf(Request), "ms");
  auto To = std::make_shared<Responder>(std::move(Answer));
  if (Delay.empty())
    return finishTask(Name, Task, std::move(Request), To);
  m_loop.after(milliseconds(std::strtoll(Delay.c_str(), nullptr, 10)),
               [this, Name, Task, Request = std::move(Request), To]() mutable {
                 finishTask(Name, Task, std::move(Request), To);
               });
}

// The slot is free before the caller hears of it, as it must be for the sum
// over callers to hold.
void Platform::finishTask(const std::string &Name, const std::string &Task,
                          HttpRequest Request,
                          const std::shared_ptr<Responder> &To) {
  {
    std::lock_guard Guard(m_lock);
    Worker &Of = m_workers.at(Name);
    --Of.InFlight;
    auto Found = Of.Model.tasks().find(Task);
    if (Found != Of.Model.tasks().end() && Found->second.InFlight > 0)
      --Found->second.InFlight;
  }
  HttpResponse Out{.Headers = {{"Content-Type", "application/octet-stream"},
                               {"Standin-Task", Task}},
                   .Body = std::move(Request.Body)};
  if (const std::string *Id = findHeader(Request.Headers, RequestIdHeader))
    Out.Headers.push_back({std::string(RequestIdHeader), *Id});
  To->send(std::move(Out));
}

BASILCHUTE_NAMESPACE_END
