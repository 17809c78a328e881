#include "basilchute-sched/scheddaemon.h"

#include "libdaemon/routecodec.h"
#include "libutil/program.h"

#include <fmt/format.h>
#include <future>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds TickEvery{20};
constexpr milliseconds NumbersEvery{500};
constexpr milliseconds WorkerTimeout{2000};
constexpr std::chrono::seconds LeavePatience{10};

} // namespace

std::vector<SettingSpec> schedSettings() {
  std::vector<SettingSpec> Out = commonSettings();
  std::vector<SettingSpec> Own = {
      {.Key = "task.lease_ms",
       .Default = int64_t{12000},
       .Help = "Lease of a running task, in ms.",
       .Min = 1000,
       .Max = 600000},
      {.Key = "task.sync_ms",
       .Default = int64_t{2000},
       .Help = "Interval between exchanges with one worker, in ms.",
       .Min = 50,
       .Max = 60000},
      {.Key = "task.max_failures",
       .Default = int64_t{5},
       .Help = "Failed attempts after which a task is given up.",
       .Min = 1,
       .Max = 100},
      {.Key = "owner.grant_horizon_ms",
       .Default = int64_t{3600000},
       .Help = "How long a scheduler extends leases while the table store "
               "cannot be reached, in ms.",
       .Min = 1000,
       .Max = 86400000},
      {.Key = "worker.slots",
       .Default = int64_t{8},
       .Help = "Requests that one worker takes at once from all entries.",
       .Min = 1,
       .Max = 10000},
      {.Key = "credit.lease_ms",
       .Default = int64_t{10000},
       .Help = "Lease of the slots lent to an entry, in ms.",
       .Min = 500,
       .Max = 600000},
      {.Key = "request.attempt_timeout_ms",
       .Default = int64_t{10000},
       .Help = "Longest use of a slot past its lease, in ms; the same as in "
               "the entries' settings.",
       .Min = 10,
       .Max = 600000},
      {.Key = "placement.policy",
       .Default = std::string("spread-pack"),
       .Help = "How workers are chosen: spread-pack, least-loaded or "
               "first-fit."},
  };
  Out.insert(Out.end(), Own.begin(), Own.end());
  return Out;
}

SchedDaemon::SchedDaemon(const Settings &Values)
    : m_base(Values, "sched"),
      m_workers(WorkerTimeout, m_base.Platform, m_base.Loop) {}

SchedDaemon::~SchedDaemon() {
  m_base.Peers.stop();
  m_base.Loop.stop();
}

SchedulerOptions SchedDaemon::coreOptions() const {
  const Settings &Values = m_base.Values;
  SchedulerOptions Out;
  Out.Self = {.Id = m_base.Id,
              .Role = MemberRole::Scheduler,
              .FailureDomain = Values.text("process.failure_domain"),
              .PeerAddress = m_base.PeerAddress,
              .OperatorAddress = m_base.StatusAddress,
              .GrantHorizon = Values.duration("owner.grant_horizon_ms")};
  Out.Division = layoutOf(Values);
  Out.Membership = membershipOptions(Values, Out.Self);
  Out.ShardScanEvery = Out.Membership.ScanEvery;
  Out.TaskLease = Values.duration("task.lease_ms");
  Out.SyncEvery = Values.duration("task.sync_ms");
  Out.UnreachableAfter = 3 * Out.SyncEvery;
  Out.MaxFailures = static_cast<uint32_t>(Values.integer("task.max_failures"));
  Out.Credits = {.Slots = static_cast<uint32_t>(Values.integer("worker.slots")),
                 .Lease = Values.duration("credit.lease_ms"),
                 .MaxUse = Values.duration("request.attempt_timeout_ms")};
  Out.Placement = *placementPolicy(Values.text("placement.policy"));
  Out.OnEvent = [this](std::string_view Event, std::string_view Detail) {
    m_base.log(Event, Detail);
  };
  return Out;
}

Status SchedDaemon::start() {
  if (!placementPolicy(m_base.Values.text("placement.policy")))
    return makeError(ResultCode::SettingsInvalid,
                     fmt::format("setting \"placement.policy\": policy \"{}\" "
                                 "does not exist",
                                 m_base.Values.text("placement.policy")));
  Status Peers =
      m_base.listenPeers([this](std::string Request, PeerReply Reply) {
        m_base.Loop.post(
            [this, Request = std::move(Request), Reply = std::move(Reply)] {
              onPeerCall(Request, Reply);
            });
      });
  if (!Peers.has_value())
    return Peers.error();
  addCalls();
  Status Listening = m_base.listenStatus({.Threads = 1});
  if (!Listening.has_value())
    return Listening.error();
  Status Settled = m_base.settleLayout();
  if (!Settled.has_value())
    return Settled.error();
  m_base.Loop.run([this] {
    m_core = std::make_unique<Scheduler>(coreOptions(), m_base.Store, m_workers,
                                         m_base.Hosts, m_base.Time);
    m_base.Feed.OnChange = [this](const Configuration &Next) {
      m_base.log("config_applied", fmt::format("revision={}", Next.Revision));
      m_core->configure(Next.Revision, Next.Services, Next.Cordons);
    };
  });
  m_base.Loop.every(TickEvery, [this] { tick(); });
  m_base.Loop.every(NumbersEvery, [this] { publishNumbers(); });
  m_base.log("started", fmt::format("id={} peer={} status={}", m_base.Id,
                                    m_base.PeerAddress, m_base.StatusAddress));
  return okStatus();
}

void SchedDaemon::tick() {
  m_core->tick();
  m_base.Feed.tick();
  m_base.Ready = m_core->membership().joined();
}

void SchedDaemon::stop() {
  m_base.Ready = false;
  m_base.log("draining");
  std::promise<void> Left;
  m_base.Loop.post([&] { m_core->shutDown([&] { Left.set_value(); }); });
  bool Clean =
      Left.get_future().wait_for(LeavePatience) == std::future_status::ready;
  m_base.Peers.stop();
  m_base.Loop.stop();
  m_base.StatusServer->stop();
  m_base.log("stopped", {}, Clean ? ResultCode::Ok : ResultCode::Unavailable);
}

void SchedDaemon::onPeerCall(const std::string &Request,
                             const PeerReply &Reply) {
  v1::PeerRequest Message;
  if (!m_core || !Message.ParseFromString(Request))
    return Reply({});
  v1::PeerResponse Out;
  if (Message.has_route())
    *Out.mutable_route() = answerEntry(Message.route());
  if (Message.has_nudge()) {
    m_core->nudge(
        {Message.nudge().shards().begin(), Message.nudge().shards().end()});
    m_base.Feed.hint(Message.nudge().config_revision());
  }
  if (Message.has_explain())
    for (const std::string &Each : m_core->explain(Message.explain().task()))
      Out.mutable_explain()->add_reasons(Each);
  Reply(Out.SerializeAsString());
}

v1::RouteResponse SchedDaemon::answerEntry(const v1::RouteRequest &Request) {
  m_base.Feed.hint(Request.witness().revision());
  v1::RouteResponse Out;
  encodeRoutes(m_core->answerEntry(decodeQuestion(Request)), Out);
  *Out.mutable_witness() = makeWitness(m_base.Id, m_base.Feed);
  return Out;
}

void SchedDaemon::addCalls() {
  m_base.Calls.add<v1::StatusRequest, v1::StatusResponse>(
      "basilchute.v1.StatusService/Status",
      [this](const v1::StatusRequest &,
             const ConnectRouter::Reply<v1::StatusResponse> &Reply) {
        m_base.Loop.post([this, Reply] {
          v1::StatusResponse Out;
          Out.set_process(m_base.Id);
          Out.set_config_revision(m_base.Feed.current().Revision);
          Out.set_ready(m_base.Ready);
          if (m_core)
            for (const std::string &Each : m_core->ownedShards()) {
              v1::ShardStatus *Shard = Out.add_shards();
              Shard->set_shard(Each);
              Shard->set_owner(m_base.Id);
            }
          Reply(Out);
        });
      });
}

void SchedDaemon::publishNumbers() {
  SchedulerCounters Now = m_core->counters();
  auto Set = [&](const char *Name, uint64_t Value) {
    m_base.Numbers.setGauge(Name, static_cast<double>(Value));
  };
  Set("basilchute_sched_placements_total", Now.Placements);
  Set("basilchute_sched_finished_total", Now.Finished);
  Set("basilchute_sched_failed_total", Now.Failed);
  Set("basilchute_sched_evictions_total", Now.Evictions);
  Set("basilchute_sched_lost_total", Now.Lost);
  Set("basilchute_sched_claims_total", Now.Claims);
  Set("basilchute_sched_releases_total", Now.Releases);
  Set("basilchute_sched_fenced_out_total", Now.FencedOut);
  Set("basilchute_sched_worker_syncs_total", Now.Syncs);
  Set("basilchute_sched_owned_shards", m_core->ownedShards().size());
  Set("basilchute_config_revision", m_base.Feed.current().Revision);
}

BASILCHUTE_NAMESPACE_END
