#include "libdaemon/routecodec.h"

BASILCHUTE_NAMESPACE_BEGIN

v1::RouteRequest encodeQuestion(const EntryQuestion &From) {
  v1::RouteRequest Out;
  Out.set_entry(From.Entry);
  for (const CreditDemand &Each : From.Demands) {
    v1::CreditDemand *Demand = Out.add_demands();
    Demand->set_worker(Each.Worker);
    Demand->set_held(Each.Held);
    Demand->set_wanted(Each.Wanted);
  }
  for (const KnownRoutes &Each : From.Known) {
    v1::KnownRoutes *Known = Out.add_known();
    Known->set_shard(Each.Shard);
    Known->set_epoch(Each.Epoch);
    Known->set_version(Each.Version);
  }
  return Out;
}

EntryQuestion decodeQuestion(const v1::RouteRequest &From) {
  EntryQuestion Out{.Entry = From.entry()};
  for (const v1::CreditDemand &Each : From.demands())
    Out.Demands.push_back({.Worker = Each.worker(),
                           .Held = Each.held(),
                           .Wanted = Each.wanted()});
  for (const v1::KnownRoutes &Each : From.known())
    Out.Known.push_back({.Shard = Each.shard(),
                         .Epoch = Each.epoch(),
                         .Version = Each.version()});
  return Out;
}

namespace {

v1::Route encodeRoute(const ReplicaRoute &From) {
  v1::Route Out;
  Out.set_service(From.Service);
  Out.set_team(From.Team);
  Out.set_task(From.Task);
  Out.set_worker(From.Worker);
  Out.set_address(From.Address);
  Out.set_failure_domain(From.FailureDomain);
  return Out;
}

ReplicaRoute decodeRoute(const v1::Route &From) {
  return {.Service = From.service(),
          .Team = From.team(),
          .Task = From.task(),
          .Worker = From.worker(),
          .Address = From.address(),
          .FailureDomain = From.failure_domain()};
}

} // namespace

void encodeRoutes(const std::vector<ShardRoutes> &From, v1::RouteResponse &To) {
  for (const ShardRoutes &Each : From) {
    v1::ShardRoutes *Shard = To.add_shards();
    Shard->set_shard(Each.Shard);
    Shard->set_epoch(Each.Epoch);
    Shard->set_version(Each.Version);
    Shard->set_unchanged(Each.Unchanged);
    for (const ReplicaRoute &Route : Each.Routes)
      *Shard->add_routes() = encodeRoute(Route);
    for (const CreditGrant &Grant : Each.Grants) {
      v1::CreditGrant *Out = Shard->add_grants();
      Out->set_worker(Grant.Worker);
      Out->set_slots(Grant.Slots);
      Out->set_lease_ms(Grant.Lease.count());
    }
  }
}

std::vector<ShardRoutes> decodeRoutes(const v1::RouteResponse &From) {
  std::vector<ShardRoutes> Out;
  for (const v1::ShardRoutes &Each : From.shards()) {
    ShardRoutes Shard{.Shard = Each.shard(),
                      .Epoch = Each.epoch(),
                      .Version = Each.version(),
                      .Unchanged = Each.unchanged()};
    for (const v1::Route &Route : Each.routes())
      Shard.Routes.push_back(decodeRoute(Route));
    for (const v1::CreditGrant &Grant : Each.grants())
      Shard.Grants.push_back({.Worker = Grant.worker(),
                              .Slots = Grant.slots(),
                              .Lease = milliseconds(Grant.lease_ms())});
    Out.push_back(std::move(Shard));
  }
  return Out;
}

v1::Witness makeWitness(const std::string &Member, const ConfigFeed &Feed) {
  v1::Witness Out;
  Out.set_member(Member);
  Out.set_revision(Feed.current().Revision);
  Out.set_age_ms(Feed.proofAge().count());
  return Out;
}

ConfigWitness decodeWitness(const v1::Witness &From) {
  return {.Member = From.member(),
          .Revision = From.revision(),
          .Age = milliseconds(From.age_ms())};
}

BASILCHUTE_NAMESPACE_END
