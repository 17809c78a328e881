#include "basilchute-sched/scheddaemon.h"

#include "libdaemon/routecodec.h"
#include "libutil/program.h"

#include <fmt/format.h>
#include <future>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds TickInterval{20};
constexpr milliseconds MetricsInterval{500};
constexpr milliseconds WorkerTimeout{2000};
constexpr std::chrono::seconds LeaveTimeout{10};

} // namespace

std::vector<SettingSpec> schedSettings() {
  std::vector<SettingSpec> Specs = commonSettings();
  std::vector<SettingSpec> SchedSpecs = {
      {.Key = "task.lease_ms",
       .Default = int64_t{12000},
       .Help = "Duration of the lease of a running task, in ms.",
       .Min = 1000,
       .Max = 600000},
      {.Key = "task.sync_ms",
       .Default = int64_t{2000},
       .Help = "Interval between sync requests to one worker, in ms.",
       .Min = 50,
       .Max = 60000},
      {.Key = "task.max_failures",
       .Default = int64_t{5},
       .Help = "Number of failed attempts after which a task has failed.",
       .Min = 1,
       .Max = 100},
      {.Key = "owner.grant_horizon_ms",
       .Default = int64_t{3600000},
       .Help = "Maximum time that a scheduler extends leases while the table "
               "store cannot be reached, in ms.",
       .Min = 1000,
       .Max = 86400000},
      {.Key = "worker.slots",
       .Default = int64_t{8},
       .Help = "Requests that one worker serves at the same time, from all "
               "entries together.",
       .Min = 1,
       .Max = 10000},
      {.Key = "credit.lease_ms",
       .Default = int64_t{10000},
       .Help = "Duration of the lease of slots granted to an entry, in ms.",
       .Min = 500,
       .Max = 600000},
      {.Key = "request.attempt_timeout_ms",
       .Default = int64_t{10000},
       .Help = "Maximum time that an entry uses a slot past its lease, in ms; "
               "must equal the entries' setting.",
       .Min = 10,
       .Max = 600000},
      {.Key = "placement.policy",
       .Default = std::string("spread-pack"),
       .Help = "How a worker is chosen for a task: spread-pack, least-loaded "
               "or first-fit."},
  };
  Specs.insert(Specs.end(), SchedSpecs.begin(), SchedSpecs.end());
  return Specs;
}

SchedDaemon::SchedDaemon(const Settings &Values)
    : m_base(Values, "sched"),
      m_workers(WorkerTimeout, m_base.PlatformClient, m_base.Loop) {}

SchedDaemon::~SchedDaemon() {
  m_base.Peers.stop();
  m_base.Loop.stop();
}

SchedulerOptions SchedDaemon::schedulerOptions() const {
  const Settings &Values = m_base.Values;
  SchedulerOptions Out;
  Out.Self = {.Id = m_base.Id,
              .Role = MemberRole::Scheduler,
              .FailureDomain = Values.text("process.failure_domain"),
              .PeerAddress = m_base.PeerAddress,
              .OperatorAddress = m_base.StatusAddress,
              .GrantHorizon = Values.duration("owner.grant_horizon_ms")};
  Out.Partitioning = configuredLayout(Values);
  Out.Membership = membershipOptions(Values, Out.Self);
  Out.ShardScanInterval = Out.Membership.ScanInterval;
  Out.TaskLease = Values.duration("task.lease_ms");
  Out.SyncInterval = Values.duration("task.sync_ms");
  Out.UnreachableAfter = 3 * Out.SyncInterval;
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
  Status PeerStatus =
      m_base.listenPeers([this](std::string Request, PeerReply Reply) {
        m_base.Loop.post(
            [this, Request = std::move(Request), Reply = std::move(Reply)] {
              onPeerCall(Request, Reply);
            });
      });
  if (!PeerStatus.has_value())
    return PeerStatus.error();
  registerCalls();
  Status StatusServerStatus = m_base.listenStatus({.Threads = 1});
  if (!StatusServerStatus.has_value())
    return StatusServerStatus.error();
  Status LayoutStatus = m_base.ensureLayout();
  if (!LayoutStatus.has_value())
    return LayoutStatus.error();
  m_base.Loop.run([this] {
    m_scheduler =
        std::make_unique<Scheduler>(schedulerOptions(), m_base.Store, m_workers,
                                    m_base.HostListClient, m_base.Time);
    m_base.Config.OnChange = [this](const Configuration &Next) {
      m_base.log("config_applied", fmt::format("revision={}", Next.Revision));
      m_scheduler->configure(Next.Revision, Next.Services, Next.Cordons);
    };
  });
  m_base.Loop.runEvery(TickInterval, [this] { tick(); });
  m_base.Loop.runEvery(MetricsInterval, [this] { publishMetrics(); });
  m_base.log("started", fmt::format("id={} peer={} status={}", m_base.Id,
                                    m_base.PeerAddress, m_base.StatusAddress));
  return okStatus();
}

void SchedDaemon::tick() {
  m_scheduler->tick();
  m_base.Config.tick();
  m_base.IsReady = m_scheduler->membership().hasJoined();
}

void SchedDaemon::stop() {
  m_base.IsReady = false;
  m_base.log("draining");
  std::promise<void> ShutDownDone;
  m_base.Loop.post(
      [&] { m_scheduler->shutDown([&] { ShutDownDone.set_value(); }); });
  bool IsComplete = ShutDownDone.get_future().wait_for(LeaveTimeout) ==
                    std::future_status::ready;
  m_base.Peers.stop();
  m_base.Loop.stop();
  m_base.StatusServer->stop();
  m_base.log("stopped", {},
             IsComplete ? ResultCode::Ok : ResultCode::Unavailable);
}

void SchedDaemon::onPeerCall(const std::string &Request,
                             const PeerReply &Reply) {
  v1::PeerRequest Message;
  if (!m_scheduler || !Message.ParseFromString(Request))
    return Reply({});
  v1::PeerResponse Out;
  if (Message.has_route())
    *Out.mutable_route() = handleEntryRequest(Message.route());
  if (Message.has_nudge()) {
    m_scheduler->pollSharesSoon(
        {Message.nudge().shards().begin(), Message.nudge().shards().end()});
    m_base.Config.noteNewerRevision(Message.nudge().config_revision());
  }
  if (Message.has_explain())
    for (const std::string &Reason :
         m_scheduler->explain(Message.explain().task()))
      Out.mutable_explain()->add_reasons(Reason);
  Reply(Out.SerializeAsString());
}

v1::RouteResponse
SchedDaemon::handleEntryRequest(const v1::RouteRequest &Request) {
  m_base.Config.noteNewerRevision(Request.witness().revision());
  v1::RouteResponse Out;
  encodeRoutes(m_scheduler->handleEntryRequest(decodeEntryRequest(Request)),
               Out);
  *Out.mutable_witness() = makeConfigReport(m_base.Id, m_base.Config);
  return Out;
}

void SchedDaemon::registerCalls() {
  m_base.OperatorCalls.add<v1::StatusRequest, v1::StatusResponse>(
      "basilchute.v1.StatusService/Status",
      [this](const v1::StatusRequest &,
             const ConnectRouter::ResponseCallback<v1::StatusResponse> &Reply) {
        m_base.Loop.post([this, Reply] {
          v1::StatusResponse Out;
          Out.set_process(m_base.Id);
          Out.set_config_revision(m_base.Config.current().Revision);
          Out.set_ready(m_base.IsReady);
          if (m_scheduler)
            for (const std::string &Name : m_scheduler->ownedShards()) {
              v1::ShardStatus *Shard = Out.add_shards();
              Shard->set_shard(Name);
              Shard->set_owner(m_base.Id);
            }
          Reply(Out);
        });
      });
}

void SchedDaemon::publishMetrics() {
  SchedulerCounters Counters = m_scheduler->counters();
  auto SetGauge = [&](const char *Name, uint64_t Value) {
    m_base.MetricRegistry.setGauge(Name, static_cast<double>(Value));
  };
  SetGauge("basilchute_sched_placements_total", Counters.Placements);
  SetGauge("basilchute_sched_finished_total", Counters.FinishedTasks);
  SetGauge("basilchute_sched_failed_total", Counters.FailedAttempts);
  SetGauge("basilchute_sched_evictions_total", Counters.Evictions);
  SetGauge("basilchute_sched_lost_total", Counters.LostAttempts);
  SetGauge("basilchute_sched_claims_total", Counters.Claims);
  SetGauge("basilchute_sched_releases_total", Counters.Releases);
  SetGauge("basilchute_sched_fenced_out_total", Counters.LostShards);
  SetGauge("basilchute_sched_worker_syncs_total", Counters.Syncs);
  SetGauge("basilchute_sched_owned_shards", m_scheduler->ownedShards().size());
  SetGauge("basilchute_config_revision", m_base.Config.current().Revision);
}

BASILCHUTE_NAMESPACE_END
