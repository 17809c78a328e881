#include "basilchute-entry/entrydaemon.h"

#include "libdaemon/routecodec.h"
#include "libutil/program.h"

#include <fmt/format.h>
#include <future>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds TickEvery{10};
constexpr milliseconds PeerPollEvery{100};
constexpr milliseconds PeerTimeout{1000};
constexpr milliseconds HostPollEvery{1000};
constexpr milliseconds NumbersEvery{500};
constexpr milliseconds DrainPollEvery{20};
constexpr milliseconds QuietBeforeClose{500};
constexpr std::chrono::seconds LeavePatience{5};

DispatcherOptions dispatcherOptions(const Settings &Values) {
  return {
      .MaxQueued = static_cast<size_t>(Values.integer("queue.max")),
      .MaxQueuedPerService =
          static_cast<size_t>(Values.integer("queue.max_per_service")),
      .MaxAttempts =
          static_cast<uint32_t>(Values.integer("request.max_attempts")),
      .AttemptTimeout = Values.duration("request.attempt_timeout_ms"),
      .Retries = {.RetriesPermille = Values.integer("request.retry_permille")}};
}

} // namespace

std::vector<SettingSpec> entrySettings() {
  std::vector<SettingSpec> Out = commonSettings();
  std::vector<SettingSpec> Own = {
      {.Key = "caller.listen",
       .Default = std::string("127.0.0.1:0"),
       .Help = "HOST:PORT for callers' requests."},
      {.Key = "caller.threads",
       .Default = int64_t{2},
       .Help = "Threads that read and answer callers.",
       .Min = 1,
       .Max = 256},
      {.Key = "caller.max_body_bytes",
       .Default = int64_t{16777216},
       .Help = "Longest body of a request, in bytes.",
       .Min = 1024,
       .Max = 1073741824},
      {.Key = "caller.max_head_bytes",
       .Default = int64_t{16384},
       .Help = "Longest head of a request, in bytes.",
       .Min = 1024,
       .Max = 1048576},
      {.Key = "caller.max_connections",
       .Default = int64_t{4096},
       .Help = "Open connections of callers.",
       .Min = 1,
       .Max = 1000000},
      {.Key = "caller.receive_timeout_ms",
       .Default = int64_t{20000},
       .Help = "Longest time that a request may take to arrive, in ms.",
       .Min = 100,
       .Max = 600000},
      {.Key = "endpoint.threads",
       .Default = int64_t{2},
       .Help = "Threads that talk to endpoints.",
       .Min = 1,
       .Max = 256},
      {.Key = "endpoint.max_body_bytes",
       .Default = int64_t{67108864},
       .Help = "Longest body of an answer, in bytes.",
       .Min = 1024,
       .Max = 1073741824},
      {.Key = "endpoint.distance_penalty_ms",
       .Default = int64_t{5},
       .Help = "Expected extra time of an endpoint in another failure domain, "
               "in ms.",
       .Max = 10000},
      {.Key = "request.default_deadline_ms",
       .Default = int64_t{15000},
       .Help = "Deadline of a request that names none, in ms.",
       .Min = 10,
       .Max = 600000},
      {.Key = "request.attempt_timeout_ms",
       .Default = int64_t{10000},
       .Help = "Longest wait for one attempt's answer, in ms.",
       .Min = 10,
       .Max = 600000},
      {.Key = "request.max_attempts",
       .Default = int64_t{3},
       .Help = "Attempts of one request at most.",
       .Min = 1,
       .Max = 10},
      {.Key = "request.retry_permille",
       .Default = int64_t{100},
       .Help = "Retries as a share of a tenant's requests, in thousandths.",
       .Max = 1000},
      {.Key = "queue.max",
       .Default = int64_t{2000},
       .Help = "Requests that may wait for a slot.",
       .Min = 1,
       .Max = 1000000},
      {.Key = "queue.max_per_service",
       .Default = int64_t{500},
       .Help = "Requests of one service that may wait for a slot.",
       .Min = 1,
       .Max = 1000000},
      {.Key = "config.fresh_ms",
       .Default = int64_t{6000},
       .Help = "Age of the last proof that the configuration is the newest at "
               "which new requests are refused, in ms.",
       .Min = 500,
       .Max = 600000},
      {.Key = "drain.delay_ms",
       .Default = int64_t{1000},
       .Help = "Time after SIGTERM in which the balancer notices and requests "
               "are refused as not run, in ms.",
       .Max = 600000},
      {.Key = "operator.max_body_bytes",
       .Default = int64_t{4194304},
       .Help = "Longest body of an operator's call, in bytes.",
       .Min = 1024,
       .Max = 67108864},
      {.Key = "operator.token_file",
       .Default = std::string(),
       .Help = "File whose first line every operator's call must carry as a "
               "bearer token; empty asks for none."},
  };
  Out.insert(Out.end(), Own.begin(), Own.end());
  return Out;
}

EntryDaemon::EntryDaemon(const Settings &Values)
    : m_base(Values, "entry"),
      m_endpointClient(
          {.Threads = static_cast<int>(Values.integer("endpoint.threads")),
           .MaxBodyBytes =
               static_cast<size_t>(Values.integer("endpoint.max_body_bytes"))}),
      m_endpoints(m_endpointClient),
      m_router(
          {.FailureDomain = Values.text("process.failure_domain"),
           .DistancePenalty = Values.duration("endpoint.distance_penalty_ms")},
          m_base.Time),
      m_dispatcher(dispatcherOptions(Values), m_router, m_endpoints,
                   m_base.Time) {}

EntryDaemon::~EntryDaemon() {
  m_base.Peers.stop();
  m_base.Loop.stop();
}

Member EntryDaemon::self() const {
  return {.Id = m_base.Id,
          .Role = MemberRole::Entry,
          .FailureDomain = m_base.Values.text("process.failure_domain"),
          .PeerAddress = m_base.PeerAddress,
          .OperatorAddress = m_base.StatusAddress,
          .GrantHorizon = milliseconds(0)};
}

Status EntryDaemon::start() {
  Status Peers =
      m_base.listenPeers([this](std::string Request, PeerReply Reply) {
        m_base.Loop.post(
            [this, Request = std::move(Request), Reply = std::move(Reply)] {
              onPeerCall(Request, Reply);
            });
      });
  if (!Peers.has_value())
    return Peers.error();
  m_operators = std::make_unique<OperatorApi>(m_base);
  Result<std::string> Token =
      OperatorApi::readToken(m_base.Values.text("operator.token_file"));
  if (!Token.has_value())
    return Token.error();
  m_base.OperatorToken = Token.value();
  RequestLimits Limits{.MaxBodyBytes = static_cast<size_t>(
                           m_base.Values.integer("operator.max_body_bytes"))};
  Status Listening = m_base.listenStatus({.Threads = 1, .Limits = Limits});
  if (!Listening.has_value())
    return Listening.error();
  Status Settled = m_base.settleLayout();
  if (!Settled.has_value())
    return Settled.error();
  Status Callers = listenCallers();
  if (!Callers.has_value())
    return Callers.error();
  m_base.Loop.run([this] {
    m_membership = std::make_unique<Membership>(
        membershipOptions(m_base.Values, self()), m_base.Store, m_base.Time);
    m_operators->start(*m_membership);
    m_base.Feed.OnChange = [this](const Configuration &Next) {
      m_base.log("config_applied", fmt::format("revision={}", Next.Revision));
      std::set<std::string> Names;
      for (const ServiceSpec &Each : Next.Services)
        Names.insert(Each.Name);
      m_router.setServices(std::move(Names));
    };
  });
  m_base.Loop.every(TickEvery, [this] { tick(); });
  m_base.Loop.every(PeerPollEvery, [this] { pollPeers(); });
  m_base.Loop.every(HostPollEvery, [this] { pollHosts(); });
  m_base.Loop.every(NumbersEvery, [this] { publishNumbers(); });
  m_base.log("started", fmt::format("id={} callers={} operators={} peer={}",
                                    m_base.Id, m_callerAddress,
                                    m_base.StatusAddress, m_base.PeerAddress));
  return okStatus();
}

Status EntryDaemon::listenCallers() {
  const Settings &Values = m_base.Values;
  m_callers = std::make_unique<CallerApi>(
      CallerApiOptions{.DefaultDeadline =
                           Values.duration("request.default_deadline_ms")},
      m_dispatcher, m_router, m_base.Numbers, m_base.Time, m_base.Ready);
  HttpServerOptions Options{
      .Listen = Values.text("caller.listen"),
      .Threads = static_cast<int>(Values.integer("caller.threads")),
      .Limits = {.MaxHeadBytes = static_cast<size_t>(
                     Values.integer("caller.max_head_bytes")),
                 .MaxBodyBytes = static_cast<size_t>(
                     Values.integer("caller.max_body_bytes"))},
      .MaxConnections =
          static_cast<size_t>(Values.integer("caller.max_connections")),
      .ReceiveTimeout = Values.duration("caller.receive_timeout_ms")};
  m_callerServer = std::make_unique<HttpServer>(
      std::move(Options), [this](HttpRequest Request, Responder Answer) {
        m_callers->handle(std::move(Request), std::move(Answer));
      });
  Result<std::string> Address = m_callerServer->start();
  if (!Address.has_value())
    return Address.error();
  m_callerAddress = Address.value();
  return okStatus();
}

void EntryDaemon::tick() {
  m_membership->tick();
  m_base.Feed.tick();
  m_operators->tick();
  m_dispatcher.tick();
  std::vector<std::string> Others;
  for (const Member &Each : m_membership->live())
    if (Each.Id != m_base.Id)
      Others.push_back(Each.Id);
  bool Ready = !m_draining && m_routesKnown && m_base.Feed.fresh(Others);
  if (Ready != m_base.Ready.exchange(Ready))
    m_base.log(Ready ? "ready" : "not_ready", {},
               Ready ? ResultCode::Ok : ResultCode::NotReady);
}

void EntryDaemon::pollPeers() {
  m_membership->publish(m_base.Feed.current().Revision, {});
  if (!m_membership->joined())
    return;
  for (const Member &Each : m_membership->live()) {
    if (Each.Id == m_base.Id || m_asking.contains(Each.Id))
      continue;
    pollPeer(Each);
  }
}

void EntryDaemon::pollPeer(const Member &Peer) {
  TimePoint AskedAt = m_base.Time.now();
  v1::PeerRequest Request;
  if (Peer.Role == MemberRole::Scheduler)
    *Request.mutable_route() =
        encodeQuestion(m_router.question(m_base.Id, Peer.PeerAddress));
  else
    Request.mutable_route()->set_entry(m_base.Id);
  *Request.mutable_route()->mutable_witness() =
      makeWitness(m_base.Id, m_base.Feed);
  m_asking.insert(Peer.Id);
  m_base.Peers.call(Peer.PeerAddress, Request.SerializeAsString(), PeerTimeout,
                    [this, Peer, AskedAt](const Result<std::string> &Reply) {
                      m_asking.erase(Peer.Id);
                      onRoutes(Peer, AskedAt, Reply);
                    });
}

void EntryDaemon::onRoutes(const Member &Peer, TimePoint AskedAt,
                           const Result<std::string> &Reply) {
  v1::PeerResponse Message;
  if (!Reply.has_value() || !Message.ParseFromString(Reply.value()) ||
      !Message.has_route())
    return;
  m_base.Feed.noteWitness(decodeWitness(Message.route().witness()), AskedAt);
  if (Peer.Role != MemberRole::Scheduler)
    return;
  std::vector<ShardRoutes> Routes = decodeRoutes(Message.route());
  bool Changed = m_router.update(Routes, AskedAt);
  m_router.noteOwner(Peer.PeerAddress, Routes);
  m_routesKnown = true;
  if (Changed)
    pollPeer(Peer);
}

void EntryDaemon::pollHosts() {
  if (std::exchange(m_pollingHosts, true))
    return;
  m_base.Hosts.snapshot([this](const Result<HostSnapshot> &Reply) {
    m_pollingHosts = false;
    if (!Reply.has_value())
      return;
    std::set<std::string> Leaving;
    for (const Host &Each : Reply.value().Hosts)
      if (Each.Leaving)
        Leaving.insert(Each.Worker);
    m_router.setLeaving(std::move(Leaving));
    m_operators->setHosts(Reply.value().Hosts);
  });
}

void EntryDaemon::onPeerCall(const std::string &Request,
                             const PeerReply &Reply) {
  v1::PeerRequest Message;
  v1::PeerResponse Out;
  if (Message.ParseFromString(Request)) {
    if (Message.has_route())
      m_base.Feed.hint(Message.route().witness().revision());
    if (Message.has_nudge())
      m_base.Feed.hint(Message.nudge().config_revision());
  }
  *Out.mutable_route()->mutable_witness() = makeWitness(m_base.Id, m_base.Feed);
  Reply(Out.SerializeAsString());
}

void EntryDaemon::publishNumbers() {
  DispatcherCounters Now = m_dispatcher.counters();
  auto Set = [&](const char *Name, uint64_t Value) {
    m_base.Numbers.setGauge(Name, static_cast<double>(Value));
  };
  Set("basilchute_entry_requests_total", Now.Requests);
  Set("basilchute_entry_answered_total", Now.Answered);
  Set("basilchute_entry_not_run_total", Now.NotRun);
  Set("basilchute_entry_unknown_total", Now.Unknown);
  Set("basilchute_entry_retries_total", Now.Retries);
  Set("basilchute_entry_retries_denied_total", Now.RetriesDenied);
  Set("basilchute_entry_shed_total", Now.Shed);
  Set("basilchute_entry_queued", m_dispatcher.queued());
  Set("basilchute_entry_connections", m_callerServer->connections());
  auto Endpoints = m_router.endpoints();
  Set("basilchute_entry_endpoints", Endpoints.size());
  std::map<std::string, uint32_t> Granted;
  for (const auto &Each : Endpoints)
    Granted[Each->Worker] = Each->Credits->granted();
  uint64_t Slots = 0;
  for (const auto &[Worker, Each] : Granted)
    Slots += Each;
  Set("basilchute_entry_granted_slots", Slots);
  Set("basilchute_config_revision", m_base.Feed.current().Revision);
}

bool EntryDaemon::finishRequests(milliseconds Limit) {
  TimePoint End = m_base.Time.now() + Limit;
  while (m_base.Time.now() < End) {
    // A request on its way while the port closes would be cut off, so the port
    // closes only after the balancer has been quiet for a while.
    bool Quiet = m_callerServer->quietFor() > QuietBeforeClose;
    if (Quiet && m_callerServer->inFlight() == 0 && m_dispatcher.pending() == 0)
      return true;
    std::this_thread::sleep_for(DrainPollEvery);
  }
  return false;
}

void EntryDaemon::stop() {
  m_draining = true;
  m_base.Ready = false;
  m_base.log("draining");
  m_base.Loop.post([this] {
    m_membership->drain();
    m_router.stopBorrowing();
  });
  m_callerServer->drain();
  std::this_thread::sleep_for(m_base.Values.duration("drain.delay_ms"));
  bool Clean =
      finishRequests(m_base.Values.duration("request.default_deadline_ms") +
                     m_base.Values.duration("request.attempt_timeout_ms"));
  std::promise<void> Left;
  m_base.Loop.post([&] { m_membership->leave([&] { Left.set_value(); }); });
  Left.get_future().wait_for(LeavePatience);
  m_callerServer->stop();
  m_base.Peers.stop();
  m_base.Loop.stop();
  m_base.StatusServer->stop();
  m_base.log("stopped", {},
             Clean ? ResultCode::Ok : ResultCode::OutcomeUnknown);
}

BASILCHUTE_NAMESPACE_END
