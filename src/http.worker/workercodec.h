/// \file
/// Conversions between the worker sync structures and their protobuf messages.
#pragma once

#include "basilchute/workerport.h"
#include "schema/basilchute.pb.h"

BASILCHUTE_NAMESPACE_BEGIN

v1::WorkerSyncRequest encodeSyncRequest(const SyncRequest &From);
SyncRequest decodeSyncRequest(const v1::WorkerSyncRequest &From);
v1::WorkerSyncResponse encodeSyncReply(const SyncReply &From);
SyncReply decodeSyncReply(const v1::WorkerSyncResponse &From);

BASILCHUTE_NAMESPACE_END
