#include "libdaemon/routecodec.h"

BASILCHUTE_NAMESPACE_BEGIN

v1::RouteRequest encodeEntryRequest(const EntryRequest &Source) {
  v1::RouteRequest Request;
  Request.set_entry(Source.Entry);
  for (const CreditDemand &Demand : Source.Demands) {
    v1::CreditDemand *DemandMessage = Request.add_demands();
    DemandMessage->set_worker(Demand.Worker);
    DemandMessage->set_held(Demand.Held);
    DemandMessage->set_wanted(Demand.Requested);
  }
  for (const KnownRoutes &Known : Source.Known) {
    v1::KnownRoutes *KnownMessage = Request.add_known();
    KnownMessage->set_shard(Known.Shard);
    KnownMessage->set_epoch(Known.Epoch);
    KnownMessage->set_version(Known.Version);
  }
  return Request;
}

EntryRequest decodeEntryRequest(const v1::RouteRequest &Request) {
  EntryRequest Source{.Entry = Request.entry()};
  for (const v1::CreditDemand &Demand : Request.demands())
    Source.Demands.push_back({.Worker = Demand.worker(),
                              .Held = Demand.held(),
                              .Requested = Demand.wanted()});
  for (const v1::KnownRoutes &Known : Request.known())
    Source.Known.push_back({.Shard = Known.shard(),
                            .Epoch = Known.epoch(),
                            .Version = Known.version()});
  return Source;
}

namespace {

v1::Route encodeRoute(const ReplicaRoute &Route) {
  v1::Route Message;
  Message.set_service(Route.Service);
  Message.set_team(Route.Team);
  Message.set_task(Route.Task);
  Message.set_worker(Route.Worker);
  Message.set_address(Route.Address);
  Message.set_failure_domain(Route.FailureDomain);
  return Message;
}

ReplicaRoute decodeRoute(const v1::Route &Message) {
  return {.Service = Message.service(),
          .Team = Message.team(),
          .Task = Message.task(),
          .Worker = Message.worker(),
          .Address = Message.address(),
          .FailureDomain = Message.failure_domain()};
}

} // namespace

void encodeRoutes(const std::vector<ShardRoutes> &Shards,
                  v1::RouteResponse &Response) {
  for (const ShardRoutes &Shard : Shards) {
    v1::ShardRoutes *ShardMessage = Response.add_shards();
    ShardMessage->set_shard(Shard.Shard);
    ShardMessage->set_epoch(Shard.Epoch);
    ShardMessage->set_version(Shard.Version);
    ShardMessage->set_unchanged(Shard.IsUnchanged);
    for (const ReplicaRoute &Route : Shard.Routes)
      *ShardMessage->add_routes() = encodeRoute(Route);
    for (const CreditGrant &Grant : Shard.Grants) {
      v1::CreditGrant *GrantMessage = ShardMessage->add_grants();
      GrantMessage->set_worker(Grant.Worker);
      GrantMessage->set_slots(Grant.Slots);
      GrantMessage->set_lease_ms(Grant.Lease.count());
    }
  }
}

std::vector<ShardRoutes> decodeRoutes(const v1::RouteResponse &Response) {
  std::vector<ShardRoutes> Shards;
  for (const v1::ShardRoutes &Message : Response.shards()) {
    ShardRoutes Shard{.Shard = Message.shard(),
                      .Epoch = Message.epoch(),
                      .Version = Message.version(),
                      .IsUnchanged = Message.unchanged()};
    for (const v1::Route &Route : Message.routes())
      Shard.Routes.push_back(decodeRoute(Route));
    for (const v1::CreditGrant &Grant : Message.grants())
      Shard.Grants.push_back({.Worker = Grant.worker(),
                              .Slots = Grant.slots(),
                              .Lease = milliseconds(Grant.lease_ms())});
    Shards.push_back(std::move(Shard));
  }
  return Shards;
}

v1::Witness makeConfigReport(const std::string &Member,
                             const ConfigFeed &Feed) {
  v1::Witness Message;
  Message.set_member(Member);
  Message.set_revision(Feed.current().Revision);
  Message.set_age_ms(Feed.proofAge().count());
  return Message;
}

PeerConfigReport decodeConfigReport(const v1::Witness &Message) {
  return {.Member = Message.member(),
          .Revision = Message.revision(),
          .ProofAge = milliseconds(Message.age_ms())};
}

BASILCHUTE_NAMESPACE_END
