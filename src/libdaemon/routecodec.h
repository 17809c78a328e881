/// \file
/// Conversions of routes, credits and configuration reports to and from the
/// Protobuf messages of the schema.
#pragma once

#include "basilchute/configfeed.h"
#include "basilchute/scheduler.h"
#include "schema/basilchute.pb.h"

BASILCHUTE_NAMESPACE_BEGIN

v1::RouteRequest encodeEntryRequest(const EntryRequest &Source);
EntryRequest decodeEntryRequest(const v1::RouteRequest &Request);
void encodeRoutes(const std::vector<ShardRoutes> &Shards,
                  v1::RouteResponse &Response);
std::vector<ShardRoutes> decodeRoutes(const v1::RouteResponse &Response);
/// Returns a report for other processes about the configuration of the
/// process \p Member: its revision and the age of the last proof that it is
/// current.
v1::Witness makeConfigReport(const std::string &Member, const ConfigFeed &Feed);
PeerConfigReport decodeConfigReport(const v1::Witness &Message);

BASILCHUTE_NAMESPACE_END
