/// \file
/// Keys of the rows in the table store, and conversions between protobuf
/// messages and the library's own types.
#pragma once

#include "basilchute/resources.h"
#include "basilchute/result.h"
#include "basilchute/tablestore.h"
#include "schema/basilchute.pb.h"

#include <string>
#include <string_view>

BASILCHUTE_NAMESPACE_BEGIN

inline constexpr std::string_view LayoutKey = "layout";
inline constexpr std::string_view MemberPrefix = "member/";
inline constexpr std::string_view ShardPrefix = "shard/";
inline constexpr std::string_view ConfigPrefix = "config/";
inline constexpr std::string_view ConfigHeadKey = "config/head";
inline constexpr std::string_view DocumentPrefix = "config/doc/";

/// Key of the membership row of a process.
std::string memberKey(std::string_view Member);
/// Key of the row that names the owner of a shard.
std::string shardKey(std::string_view Shard);
/// Key prefix of the shares of jobs in a shard.
std::string sharePrefix(std::string_view Shard);
/// Name of the share of \p Job whose first task is \p First.
std::string shareName(std::string_view Job, uint32_t First);
/// Key of the row of a share in a shard.
std::string shareKey(std::string_view Shard, std::string_view Share);
/// Key prefix of all shares of a job in a shard.
std::string jobSharePrefix(std::string_view Shard, std::string_view Job);
/// Key prefix of the task rows of a shard.
std::string taskPrefix(std::string_view Shard);
/// Key of the row of a task; \p Task is JOB/INDEX.
std::string taskKey(std::string_view Shard, std::string_view Task);
/// Key of the row of a job.
std::string jobKey(std::string_view Job);
/// Key of the row of a configuration document, such as
/// config/doc/service/orders.
std::string documentKey(std::string_view Kind, std::string_view Name);

/// Returns true if \p Name may be part of a key: 1 to 63 characters from a-z,
/// 0-9 and '-', starting with a letter or a digit.
bool isValidName(std::string_view Name);

Resources fromProto(const v1::Resources &Value);
v1::Resources toProto(const Resources &Value);

/// Decodes the value of \p From; fails with Internal and a message that names
/// the row.
template <typename Message> Result<Message> decodeRow(const Row &From) {
  Message Value;
  if (!Value.ParseFromString(From.Value))
    return makeError(ResultCode::Internal,
                     "row \"" + From.Key + "\" cannot be decoded");
  return Value;
}

BASILCHUTE_NAMESPACE_END
