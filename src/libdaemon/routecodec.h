/// \file
/// Conversions of routes, credits and witnesses to and from the schema's
/// messages.
#pragma once

#include "basilchute/configfeed.h"
#include "basilchute/scheduler.h"
#include "schema/basilchute.pb.h"

BASILCHUTE_NAMESPACE_BEGIN

v1::RouteRequest encodeQuestion(const EntryQuestion &From);
EntryQuestion decodeQuestion(const v1::RouteRequest &From);
void encodeRoutes(const std::vector<ShardRoutes> &From, v1::RouteResponse &To);
std::vector<ShardRoutes> decodeRoutes(const v1::RouteResponse &From);
/// Makes what this process says of its configuration.
v1::Witness makeWitness(const std::string &Member, const ConfigFeed &Feed);
ConfigWitness decodeWitness(const v1::Witness &From);

BASILCHUTE_NAMESPACE_END
