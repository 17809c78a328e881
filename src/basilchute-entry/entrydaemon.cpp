#include "basilchute-entry/entrydaemon.h"

#include "libdaemon/routecodec.h"
#include "libutil/program.h"

#include <fmt/format.h>
#include <future>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds TickInterval{10};
constexpr milliseconds PeerPollInterval{100};
constexpr milliseconds PeerTimeout{1000};
constexpr milliseconds HostPollInterval{1000};
constexpr milliseconds MetricsInterval{500};
constexpr milliseconds DrainPollInterval{20};
constexpr milliseconds MinIdleBeforeClose{500};
constexpr std::chrono::seconds LeaveTimeout{5};

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
  std::vector<SettingSpec> Specs = commonSettings();
  std::vector<SettingSpec> EntrySpecs = {
      {.Key = "caller.listen",
       .Default = std::string("127.0.0.1:0"),
       .Help = "HOST:PORT that listens for callers' requests."},
      {.Key = "caller.threads",
       .Default = int64_t{2},
       .Help = "HTTP server threads for callers' requests.",
       .Min = 1,
       .Max = 256},
      {.Key = "caller.max_body_bytes",
       .Default = int64_t{16777216},
       .Help = "Maximum size of a request's body, in bytes.",
       .Min = 1024,
       .Max = 1073741824},
      {.Key = "caller.max_head_bytes",
       .Default = int64_t{16384},
       .Help = "Maximum size of a request's line and headers, in bytes.",
       .Min = 1024,
       .Max = 1048576},
      {.Key = "caller.max_connections",
       .Default = int64_t{4096},
       .Help = "Maximum number of open connections of callers.",
       .Min = 1,
       .Max = 1000000},
      {.Key = "caller.receive_timeout_ms",
       .Default = int64_t{20000},
       .Help = "Maximum time to receive a whole request, in ms.",
       .Min = 100,
       .Max = 600000},
      {.Key = "endpoint.threads",
       .Default = int64_t{2},
       .Help = "HTTP client threads for requests to endpoints.",
       .Min = 1,
       .Max = 256},
      {.Key = "endpoint.max_body_bytes",
       .Default = int64_t{67108864},
       .Help = "Maximum size of the body of an endpoint's answer, in bytes.",
       .Min = 1024,
       .Max = 1073741824},
      {.Key = "endpoint.distance_penalty_ms",
       .Default = int64_t{5},
       .Help = "Added to the expected latency of an endpoint in another "
               "failure domain, in ms.",
       .Max = 10000},
      {.Key = "request.default_deadline_ms",
       .Default = int64_t{15000},
       .Help = "Deadline of a request without a deadline header, in ms.",
       .Min = 10,
       .Max = 600000},
      {.Key = "request.attempt_timeout_ms",
       .Default = int64_t{10000},
       .Help = "Maximum time that one attempt waits for an answer, in ms.",
       .Min = 10,
       .Max = 600000},
      {.Key = "request.max_attempts",
       .Default = int64_t{3},
       .Help = "Maximum number of attempts for one request.",
       .Min = 1,
       .Max = 10},
      {.Key = "request.retry_permille",
       .Default = int64_t{100},
       .Help = "Retries allowed per request of a tenant, in thousandths.",
       .Max = 1000},
      {.Key = "queue.max",
       .Default = int64_t{2000},
       .Help = "Maximum number of requests that wait for a slot.",
       .Min = 1,
       .Max = 1000000},
      {.Key = "queue.max_per_service",
       .Default = int64_t{500},
       .Help =
           "Maximum number of requests of one service that wait for a slot.",
       .Min = 1,
       .Max = 1000000},
      {.Key = "config.fresh_ms",
       .Default = int64_t{6000},
       .Help = "Maximum time since the configuration was last confirmed to be "
               "the newest, in ms; after that, new requests are refused.",
       .Min = 500,
       .Max = 600000},
      {.Key = "drain.delay_ms",
       .Default = int64_t{1000},
       .Help = "Time after SIGTERM in which requests are refused as not run so "
               "that the load balancer stops sending them, in ms.",
       .Max = 600000},
      {.Key = "operator.max_body_bytes",
       .Default = int64_t{4194304},
       .Help = "Maximum size of the body of an operator's call, in bytes.",
       .Min = 1024,
       .Max = 67108864},
      {.Key = "operator.token_file",
       .Default = std::string(),
       .Help = "File whose first line is the bearer token that every "
               "operator's call must carry; empty requires no token."},
  };
  Specs.insert(Specs.end(), EntrySpecs.begin(), EntrySpecs.end());
  return Specs;
}

EntryDaemon::EntryDaemon(const Settings &Values)
    : m_base(Values, "entry"),
      m_endpointClient(
          {.Threads = static_cast<int>(Values.integer("endpoint.threads")),
           .MaxBodyBytes =
               static_cast<size_t>(Values.integer("endpoint.max_body_bytes"))}),
      m_endpoints(m_endpointClient),
      m_router({.FailureDomain = Values.text("process.failure_domain"),
                .CrossDomainPenalty =
                    Values.duration("endpoint.distance_penalty_ms")},
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
  Status PeerStatus =
      m_base.listenPeers([this](std::string Request, PeerReply Reply) {
        m_base.Loop.post(
            [this, Request = std::move(Request), Reply = std::move(Reply)] {
              onPeerCall(Request, Reply);
            });
      });
  if (!PeerStatus.has_value())
    return PeerStatus.error();
  m_operatorApi = std::make_unique<OperatorApi>(m_base);
  Result<std::string> Token =
      OperatorApi::readToken(m_base.Values.text("operator.token_file"));
  if (!Token.has_value())
    return Token.error();
  m_base.OperatorToken = Token.value();
  RequestLimits Limits{.MaxBodyBytes = static_cast<size_t>(
                           m_base.Values.integer("operator.max_body_bytes"))};
  Status OperatorStatus = m_base.listenStatus({.Threads = 1, .Limits = Limits});
  if (!OperatorStatus.has_value())
    return OperatorStatus.error();
  Status LayoutStatus = m_base.ensureLayout();
  if (!LayoutStatus.has_value())
    return LayoutStatus.error();
  Status CallerStatus = listenCallers();
  if (!CallerStatus.has_value())
    return CallerStatus.error();
  m_base.Loop.run([this] {
    m_membership = std::make_unique<Membership>(
        membershipOptions(m_base.Values, self()), m_base.Store, m_base.Time);
    m_operatorApi->start(*m_membership);
    m_base.Config.OnChange = [this](const Configuration &Next) {
      m_base.log("config_applied", fmt::format("revision={}", Next.Revision));
      std::set<std::string> Names;
      for (const ServiceSpec &Service : Next.Services)
        Names.insert(Service.Name);
      m_router.setServices(std::move(Names));
    };
  });
  m_base.Loop.runEvery(TickInterval, [this] { tick(); });
  m_base.Loop.runEvery(PeerPollInterval, [this] { pollPeers(); });
  m_base.Loop.runEvery(HostPollInterval, [this] { pollHosts(); });
  m_base.Loop.runEvery(MetricsInterval, [this] { publishMetrics(); });
  m_base.log("started", fmt::format("id={} callers={} operators={} peer={}",
                                    m_base.Id, m_callerAddress,
                                    m_base.StatusAddress, m_base.PeerAddress));
  return okStatus();
}

Status EntryDaemon::listenCallers() {
  const Settings &Values = m_base.Values;
  m_callerApi = std::make_unique<CallerApi>(
      CallerApiOptions{.DefaultDeadline =
                           Values.duration("request.default_deadline_ms")},
      m_dispatcher, m_router, m_base.MetricRegistry, m_base.Time,
      m_base.IsReady);
  HttpServerOptions Options{
      .Listen = Values.text("caller.listen"),
      .Threads = static_cast<int>(Values.integer("caller.threads")),
      .Limits = {.MaxHeadBytes = static_cast<size_t>(
                     Values.integer("caller.max_head_bytes")),
                 .MaxBodyBytes = static_cast<size_t>(
                     Values.integer("caller.max_body_bytes"))},
      .MaxConnections =
          static_cast<size_t>(Values.integer("caller.max_connections")),
      .ReceiveTimeout = Values.duration("caller.receive_timeout_ms"),
      .Budget = m_base.Input};
  m_callerServer = std::make_unique<HttpServer>(
      std::move(Options), [this](HttpRequest Request, Responder Answer) {
        m_callerApi->handle(std::move(Request), std::move(Answer));
      });
  Result<std::string> Address = m_callerServer->start();
  if (!Address.has_value())
    return Address.error();
  m_callerAddress = Address.value();
  return okStatus();
}

void EntryDaemon::tick() {
  m_membership->tick();
  m_base.Config.tick();
  m_operatorApi->tick();
  m_dispatcher.tick();
  std::vector<std::string> Peers;
  for (const Member &Peer : m_membership->liveMembers())
    if (Peer.Id != m_base.Id)
      Peers.push_back(Peer.Id);
  bool IsReady = !m_isDraining && m_hasRoutes && m_base.Config.isFresh(Peers);
  if (IsReady != m_base.IsReady.exchange(IsReady))
    m_base.log(IsReady ? "ready" : "not_ready", {},
               IsReady ? ResultCode::Ok : ResultCode::NotReady);
}

void EntryDaemon::pollPeers() {
  m_membership->publish(m_base.Config.current().Revision, {});
  if (!m_membership->hasJoined())
    return;
  for (const Member &Peer : m_membership->liveMembers()) {
    if (Peer.Id == m_base.Id || m_polledPeers.contains(Peer.Id))
      continue;
    pollPeer(Peer);
  }
}

void EntryDaemon::pollPeer(const Member &Peer) {
  TimePoint AskedAt = m_base.Time.now();
  v1::PeerRequest Request;
  if (Peer.Role == MemberRole::Scheduler)
    *Request.mutable_route() =
        encodeEntryRequest(m_router.buildRequest(m_base.Id, Peer.PeerAddress));
  else
    Request.mutable_route()->set_entry(m_base.Id);
  *Request.mutable_route()->mutable_witness() =
      makeConfigReport(m_base.Id, m_base.Config);
  m_polledPeers.insert(Peer.Id);
  m_base.Peers.call(Peer.PeerAddress, Request.SerializeAsString(), PeerTimeout,
                    [this, Peer, AskedAt](const Result<std::string> &Reply) {
                      m_polledPeers.erase(Peer.Id);
                      onRouteReply(Peer, AskedAt, Reply);
                    });
}

void EntryDaemon::onRouteReply(const Member &Peer, TimePoint AskedAt,
                               const Result<std::string> &Reply) {
  v1::PeerResponse Message;
  if (!Reply.has_value() || !Message.ParseFromString(Reply.value()) ||
      !Message.has_route())
    return;
  m_base.Config.recordPeerReport(decodeConfigReport(Message.route().witness()),
                                 AskedAt);
  if (Peer.Role != MemberRole::Scheduler)
    return;
  std::vector<ShardRoutes> Routes = decodeRoutes(Message.route());
  bool HasChanged = m_router.applyRoutes(Routes, AskedAt);
  m_router.setShardOwner(Peer.PeerAddress, Routes);
  m_hasRoutes = true;
  if (HasChanged)
    pollPeer(Peer);
}

void EntryDaemon::pollHosts() {
  if (std::exchange(m_isPollingHosts, true))
    return;
  m_base.HostListClient.snapshot([this](const Result<HostSnapshot> &Reply) {
    m_isPollingHosts = false;
    if (!Reply.has_value())
      return;
    std::set<std::string> LeavingWorkers;
    for (const Host &Worker : Reply.value().Hosts)
      if (Worker.IsLeaving)
        LeavingWorkers.insert(Worker.Worker);
    m_router.setLeavingWorkers(std::move(LeavingWorkers));
    m_operatorApi->setHosts(Reply.value().Hosts);
  });
}

void EntryDaemon::onPeerCall(const std::string &Request,
                             const PeerReply &Reply) {
  v1::PeerRequest Message;
  v1::PeerResponse Out;
  if (Message.ParseFromString(Request)) {
    if (Message.has_route())
      m_base.Config.noteNewerRevision(Message.route().witness().revision());
    if (Message.has_nudge())
      m_base.Config.noteNewerRevision(Message.nudge().config_revision());
  }
  *Out.mutable_route()->mutable_witness() =
      makeConfigReport(m_base.Id, m_base.Config);
  Reply(Out.SerializeAsString());
}

void EntryDaemon::publishMetrics() {
  DispatcherCounters Counters = m_dispatcher.counters();
  auto SetGauge = [&](const char *Name, uint64_t Value) {
    m_base.MetricRegistry.setGauge(Name, static_cast<double>(Value));
  };
  SetGauge("basilchute_entry_requests_total", Counters.Requests);
  SetGauge("basilchute_entry_answered_total", Counters.Answered);
  SetGauge("basilchute_entry_not_run_total", Counters.NotRun);
  SetGauge("basilchute_entry_unknown_total", Counters.MaybeRun);
  SetGauge("basilchute_entry_retries_total", Counters.Retries);
  SetGauge("basilchute_entry_retries_denied_total", Counters.RetriesDenied);
  SetGauge("basilchute_entry_shed_total", Counters.Shed);
  SetGauge("basilchute_entry_queued", m_dispatcher.queued());
  SetGauge("basilchute_entry_connections", m_callerServer->connections());
  auto Endpoints = m_router.endpoints();
  SetGauge("basilchute_entry_endpoints", Endpoints.size());
  // The endpoints of one worker share its credits.
  std::map<std::string, uint32_t> SlotsByWorker;
  for (const auto &Endpoint : Endpoints)
    SlotsByWorker[Endpoint->Worker] = Endpoint->Credits->granted();
  uint64_t GrantedSlots = 0;
  for (const auto &[Worker, Slots] : SlotsByWorker)
    GrantedSlots += Slots;
  SetGauge("basilchute_entry_granted_slots", GrantedSlots);
  SetGauge("basilchute_config_revision", m_base.Config.current().Revision);
}

bool EntryDaemon::waitForRequests(milliseconds Timeout) {
  TimePoint Deadline = m_base.Time.now() + Timeout;
  while (m_base.Time.now() < Deadline) {
    // A request that arrives while the port closes would be cut off, so the
    // port stays open until the load balancer has sent none for some time.
    bool IsIdle = m_callerServer->idleTime() > MinIdleBeforeClose;
    if (IsIdle && m_callerServer->pendingRequests() == 0 &&
        m_dispatcher.pending() == 0)
      return true;
    std::this_thread::sleep_for(DrainPollInterval);
  }
  return false;
}

void EntryDaemon::stop() {
  m_isDraining = true;
  m_base.IsReady = false;
  m_base.log("draining");
  m_base.Loop.post([this] {
    m_membership->drain();
    m_router.stopRequestingCredits();
  });
  m_callerServer->drain();
  std::this_thread::sleep_for(m_base.Values.duration("drain.delay_ms"));
  bool AllAnswered =
      waitForRequests(m_base.Values.duration("request.default_deadline_ms") +
                      m_base.Values.duration("request.attempt_timeout_ms"));
  std::promise<void> LeaveDone;
  m_base.Loop.post(
      [&] { m_membership->leave([&] { LeaveDone.set_value(); }); });
  LeaveDone.get_future().wait_for(LeaveTimeout);
  m_callerServer->stop();
  m_base.Peers.stop();
  m_base.Loop.stop();
  m_base.StatusServer->stop();
  m_base.log("stopped", {},
             AllAnswered ? ResultCode::Ok : ResultCode::OutcomeUnknown);
}

BASILCHUTE_NAMESPACE_END
