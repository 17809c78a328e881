#include "libdaemon/daemonbase.h"

#include "libbasilchute/rows.h"
#include "libutil/log.h"

#include <fmt/format.h>
#include <future>
#include <random>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds StoreRetryPause{500};
/// Reads of the member rows within the time after which one counts as dead.
constexpr int ScansPerTimeout = 5;

} // namespace

std::string makeProcessId(const Settings &Values) {
  std::random_device Source;
  return fmt::format("{}-{:08x}", Values.text("process.id"), Source());
}

Layout layoutOf(const Settings &Values) {
  return {.Domains = Values.list("cluster.failure_domains"),
          .ShardsPerDomain = static_cast<uint32_t>(
              Values.integer("cluster.shards_per_domain"))};
}

MembershipOptions membershipOptions(const Settings &Values, Member Self) {
  return {.Self = std::move(Self),
          .RenewEvery = Values.duration("member.renew_ms"),
          .Timeout = Values.duration("member.timeout_ms"),
          .ScanEvery = Values.duration("member.timeout_ms") / ScansPerTimeout};
}

DaemonBase::DaemonBase(const Settings &Values, std::string Component)
    : Values(Values), Component(std::move(Component)),
      Id(makeProcessId(Values)), Platform(HttpClientOptions{}),
      Store({.Address = Values.text("platform.table_store"),
             .Timeout = Values.duration("platform.timeout_ms")},
            Platform, Loop),
      Hosts({.Address = Values.text("platform.host_list"),
             .Timeout = Values.duration("platform.timeout_ms")},
            Platform, Loop),
      Peers([this](std::function<void()> Action) {
        Loop.post(std::move(Action));
      }),
      Feed({.WriterId = Id}, Store, Time) {}

void DaemonBase::log(std::string_view Event, std::string_view Fields,
                     ResultCode Code) const {
  LogLevel Level = Code == ResultCode::Ok ? LogLevel::Info : LogLevel::Warning;
  logEvent(Level, Component, Event, Fields, Code);
}

Status DaemonBase::settleLayout() {
  Layout Wanted = layoutOf(Values);
  v1::LayoutRow Division;
  for (const std::string &Each : Wanted.Domains)
    Division.add_domains(Each);
  Division.set_shards_per_domain(Wanted.ShardsPerDomain);
  std::string Value = Division.SerializeAsString();
  while (true) {
    std::promise<Result<uint64_t>> Written;
    Store.commit({.Writes = {{.Key = std::string(LayoutKey),
                              .Value = Value,
                              .Writer = Id + ".layout"}}},
                 [&](Result<uint64_t> Reply) { Written.set_value(Reply); });
    Written.get_future().wait();
    std::promise<Result<std::optional<Row>>> Read;
    Store.get(std::string(LayoutKey), [&](Result<std::optional<Row>> Got) {
      Read.set_value(std::move(Got));
    });
    Result<std::optional<Row>> Found = Read.get_future().get();
    if (!Found.has_value() || !Found.value()) {
      log("waiting_for_store", {}, ResultCode::Unavailable);
      std::this_thread::sleep_for(StoreRetryPause);
      continue;
    }
    if (Found.value()->Value == Value)
      return okStatus();
    return makeError(ResultCode::SettingsInvalid,
                     "settings cluster.failure_domains and "
                     "cluster.shards_per_domain differ from the layout that "
                     "the system was started with");
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
  Options.OnRefusal = [](int Status, const std::string &Reason) {
    bool TooLarge = Status == 413 || Status == 431;
    return connectError(makeError(
        TooLarge ? ResultCode::TooLarge : ResultCode::InvalidArgument, Reason));
  };
  StatusServer = std::make_unique<HttpServer>(
      std::move(Options), [this](const HttpRequest &Request, Responder Answer) {
        serveStatus(Request, std::move(Answer));
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
  const std::string *Given = findHeader(Request.Headers, "authorization");
  std::string Wanted = "Bearer " + OperatorToken;
  if (!Given || Given->size() != Wanted.size())
    return false;
  // The time of the comparison must not tell how much of a guess was right.
  unsigned char Difference = 0;
  for (size_t I = 0; I < Wanted.size(); ++I)
    Difference |= static_cast<unsigned char>((*Given)[I] ^ Wanted[I]);
  return Difference == 0;
}

void DaemonBase::serveStatus(const HttpRequest &Request, Responder Answer) {
  if (Calls.serves(Request) && !isAuthorized(Request))
    return Answer.send(connectError(
        makeError(ResultCode::PermissionDenied,
                  "the call must carry the operators' bearer token")));
  if (Calls.serves(Request))
    return Calls.handle(Request, std::move(Answer));
  std::string_view Path = Request.path();
  auto Text = [&](int Status, std::string Body) {
    Answer.send({.Status = Status,
                 .Headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                 .Body = std::move(Body)});
  };
  if (Path == "/healthz")
    return Text(200, "alive\n");
  if (Path == "/readyz")
    return Ready ? Text(200, "ready\n") : Text(503, "not ready\n");
  if (Path == "/metrics")
    return Text(200, Numbers.text());
  Text(404, fmt::format("path \"{}\" does not exist\n", Path));
}

BASILCHUTE_NAMESPACE_END
