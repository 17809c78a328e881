/// \file
/// Conversions between the worker sync structures and their protobuf messages.
#pragma once

#include "basilchute/workerport.h"
#include "schema/basilchute.pb.h"

BASILCHUTE_NAMESPACE_BEGIN

v1::WorkerSyncRequest encodeSync(const SyncRequest &From);
SyncRequest decodeSync(const v1::WorkerSyncRequest &From);
v1::WorkerSyncResponse encodeReport(const SyncReply &From);
SyncReply decodeReport(const v1::WorkerSyncResponse &From);

BASILCHUTE_NAMESPACE_END
