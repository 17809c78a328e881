/// \file
/// Keys of the rows in the table store, and conversions between the schema's
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

/// Row of one process.
std::string memberKey(std::string_view Member);
/// Row of one shard's owner.
std::string shardKey(std::string_view Shard);
/// Prefix of a shard's shares of jobs.
std::string sharePrefix(std::string_view Shard);
/// Name of the share of \p Job that begins with task \p First.
std::string shareName(std::string_view Job, uint32_t First);
/// Row of one share in a shard.
std::string shareKey(std::string_view Shard, std::string_view Share);
/// Prefix of all shares of one job in a shard.
std::string jobSharePrefix(std::string_view Shard, std::string_view Job);
/// Prefix of a shard's task rows.
std::string taskPrefix(std::string_view Shard);
/// Row of one task; \p Task is JOB/INDEX.
std::string taskKey(std::string_view Shard, std::string_view Task);
/// Row of one job.
std::string jobKey(std::string_view Job);
/// Row of one configuration document, such as config/doc/service/orders.
std::string documentKey(std::string_view Kind, std::string_view Name);

/// Returns true for 1 to 63 of a-z, 0-9 and '-', starting with a letter or
/// digit: the names that may stand inside a key.
bool isValidName(std::string_view Name);

Resources fromProto(const v1::Resources &Value);
v1::Resources toProto(const Resources &Value);

/// Decodes the value of \p From; fails with Internal naming the row.
template <typename Message> Result<Message> decodeRow(const Row &From) {
  Message Value;
  if (!Value.ParseFromString(From.Value))
    return makeError(ResultCode::Internal,
                     "row \"" + From.Key + "\" cannot be decoded");
  return Value;
}

BASILCHUTE_NAMESPACE_END
