#include "libbasilchute/rows.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {
constexpr size_t MaxNameLength = 63;
}

std::string memberKey(std::string_view Member) {
  return fmt::format("{}{}", MemberPrefix, Member);
}
std::string shardKey(std::string_view Shard) {
  return fmt::format("{}{}", ShardPrefix, Shard);
}
std::string sharePrefix(std::string_view Shard) {
  return fmt::format("share/{}/", Shard);
}
std::string shareName(std::string_view Job, uint32_t First) {
  return fmt::format("{}.{}", Job, First);
}
std::string shareKey(std::string_view Shard, std::string_view Share) {
  return fmt::format("share/{}/{}", Shard, Share);
}
std::string jobSharePrefix(std::string_view Shard, std::string_view Job) {
  return fmt::format("share/{}/{}.", Shard, Job);
}
std::string taskPrefix(std::string_view Shard) {
  return fmt::format("task/{}/", Shard);
}
std::string taskKey(std::string_view Shard, std::string_view Task) {
  return fmt::format("task/{}/{}", Shard, Task);
}
std::string jobKey(std::string_view Job) { return fmt::format("job/{}", Job); }
std::string documentKey(std::string_view Kind, std::string_view Name) {
  return fmt::format("{}{}/{}", DocumentPrefix, Kind, Name);
}

bool isValidName(std::string_view Name) {
  if (Name.empty() || Name.size() > MaxNameLength || Name.front() == '-')
    return false;
  return std::all_of(Name.begin(), Name.end(), [](char Char) {
    return (Char >= 'a' && Char <= 'z') || (Char >= '0' && Char <= '9') ||
           Char == '-';
  });
}

Resources fromProto(const v1::Resources &Value) {
  return {.Millicores = Value.millicores(),
          .MemoryMib = static_cast<int64_t>(Value.memory_mib()),
          .Accelerators = Value.accelerators()};
}

v1::Resources toProto(const Resources &Value) {
  v1::Resources Out;
  Out.set_millicores(
      static_cast<uint32_t>(std::max<int64_t>(Value.Millicores, 0)));
  Out.set_memory_mib(
      static_cast<uint64_t>(std::max<int64_t>(Value.MemoryMib, 0)));
  Out.set_accelerators(
      static_cast<uint32_t>(std::max<int64_t>(Value.Accelerators, 0)));
  return Out;
}

BASILCHUTE_NAMESPACE_END
