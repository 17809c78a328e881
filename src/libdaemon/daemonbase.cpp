#include "libdaemon/daemonbase.h"

#include "libbasilchute/rows.h"
#include "libutil/log.h"

#include <fmt/format.h>
#include <future>
#include <random>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds StoreRetryInterval{500};
/// Number of scans of the membership rows per member time-out.
constexpr int ScansPerTimeout = 5;

} // namespace

std::string makeProcessId(const Settings &Values) {
  std::random_device Source;
  return fmt::format("{}-{:08x}", Values.text("process.id"), Source());
}

Layout configuredLayout(const Settings &Values) {
  return {.Domains = Values.list("cluster.failure_domains"),
          .ShardsPerDomain = static_cast<uint32_t>(
              Values.integer("cluster.shards_per_domain"))};
}

MembershipOptions membershipOptions(const Settings &Values, Member Self) {
  return {.Self = std::move(Self),
          .RenewInterval = Values.duration("member.renew_ms"),
          .Timeout = Values.duration("member.timeout_ms"),
          .ScanInterval =
              Values.duration("member.timeout_ms") / ScansPerTimeout};
}

DaemonBase::DaemonBase(const Settings &Values, std::string Component)
    : Values(Values), Component(std::move(Component)),
      Id(makeProcessId(Values)), PlatformClient(HttpClientOptions{}),
      Store({.Address = Values.text("platform.table_store"),
             .Timeout = Values.duration("platform.timeout_ms")},
            PlatformClient, Loop),
      HostListClient({.Address = Values.text("platform.host_list"),
                      .Timeout = Values.duration("platform.timeout_ms")},
                     PlatformClient, Loop),
      Peers([this](std::function<void()> Action) {
        Loop.post(std::move(Action));
      }),
      Config({.WriterId = Id}, Store, Time) {}

void DaemonBase::log(std::string_view Event, std::string_view Fields,
                     ResultCode Code) const {
  LogLevel Level = Code == ResultCode::Ok ? LogLevel::Info : LogLevel::Warning;
  logEvent(Level, Component, Event, Fields, Code);
}

Status DaemonBase::ensureLayout() {
  Layout Configured = configuredLayout(Values);
  v1::LayoutRow LayoutMessage;
  for (const std::string &Domain : Configured.Domains)
    LayoutMessage.add_domains(Domain);
  LayoutMessage.set_shards_per_domain(Configured.ShardsPerDomain);
  std::string Value = LayoutMessage.SerializeAsString();
  while (true) {
    std::promise<Result<uint64_t>> Written;
    Store.commit({.Writes = {{.Key = std::string(LayoutKey),
                              .Value = Value,
                              .WriteToken = Id + ".layout"}}},
                 [&](Result<uint64_t> Reply) { Written.set_value(Reply); });
    Written.get_future().wait();
    std::promise<Result<std::optional<Row>>> Read;
    Store.get(std::string(LayoutKey), [&](Result<std::optional<Row>> Reply) {
      Read.set_value(std::move(Reply));
    });
    Result<std::optional<Row>> Stored = Read.get_future().get();
    if (!Stored.has_value() || !Stored.value()) {
      log("waiting_for_store", {}, ResultCode::Unavailable);
      std::this_thread::sleep_for(StoreRetryInterval);
      continue;
    }
    if (Stored.value()->Value == Value)
      return okStatus();
    return makeError(ResultCode::SettingsInvalid,
                     "settings cluster.failure_domains and "
                     "cluster.shards_per_domain differ from the layout in the "
                     "store");
  }
}

Status DaemonBase::listenPeers(PeerHandler Handler) {
  Result<std::string> Address =
      Peers.listen(Values.text("peer.listen"), std::move(Handler));
  if (!Address.has_value())
    return Address.error();
  PeerAddress = Address.value();
  return okStatus();
}

Status DaemonBase::listenStatus(HttpServerOptions Options) {
  Options.Listen = Values.text("status.listen");
  Options.Budget = Input;
  Options.OnRefusal = [](int Status, const std::string &Reason) {
    bool TooLarge = Status == 413 || Status == 431;
    return connectError(makeError(
        TooLarge ? ResultCode::TooLarge : ResultCode::InvalidArgument, Reason));
  };
  StatusServer = std::make_unique<HttpServer>(
      std::move(Options), [this](const HttpRequest &Request, Responder Reply) {
        serveStatus(Request, std::move(Reply));
      });
  Result<std::string> Address = StatusServer->start();
  if (!Address.has_value())
    return Address.error();
  StatusAddress = Address.value();
  return okStatus();
}

bool DaemonBase::isAuthorized(const HttpRequest &Request) const {
  if (OperatorToken.empty())
    return true;
  const std::string *Header = findHeader(Request.Headers, "authorization");
  std::string Expected = "Bearer " + OperatorToken;
  if (!Header || Header->size() != Expected.size())
    return false;
  // Compares in constant time, so that the duration does not reveal how much of
  // a guessed token is correct.
  unsigned char Difference = 0;
  for (size_t I = 0; I < Expected.size(); ++I)
    Difference |= static_cast<unsigned char>((*Header)[I] ^ Expected[I]);
  return Difference == 0;
}

void DaemonBase::serveStatus(const HttpRequest &Request, Responder Reply) {
  if (OperatorCalls.handlesPath(Request) && !isAuthorized(Request))
    return Reply.send(connectError(
        makeError(ResultCode::PermissionDenied,
                  "the operator bearer token is missing or wrong")));
  if (OperatorCalls.handlesPath(Request))
    return OperatorCalls.handle(Request, std::move(Reply));
  std::string_view Path = Request.path();
  auto SendText = [&](int Status, std::string Body) {
    Reply.send({.Status = Status,
                .Headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                .Body = std::move(Body)});
  };
  if (Path == "/healthz")
    return SendText(200, "alive\n");
  if (Path == "/readyz")
    return IsReady ? SendText(200, "ready\n") : SendText(503, "not ready\n");
  if (Path == "/metrics")
    return SendText(200, MetricRegistry.text() + Input->metricsText());
  SendText(404, fmt::format("path \"{}\" does not exist\n", Path));
}

BASILCHUTE_NAMESPACE_END
