#include "basilchute/shardcount.h"

#include <doctest/doctest.h>

using namespace basilchute;

namespace {

/// 300 workers per core, in hosts' weights of a hundredth of a core.
constexpr ShardCountOptions Options{.WorkersPerWeight = 3};

std::vector<int> mixedHosts(size_t Large, size_t Small) {
  std::vector<int> Out(Large, 50);
  Out.insert(Out.end(), Small, 7);
  return Out;
}

} // namespace

TEST_CASE(
    "Without a limit of the hosts there is a shard for each 160 workers") {
  CHECK(shardCountFor(48, {10}, {}) == 1);
  CHECK(shardCountFor(490, {10}, {}) == 3);
  CHECK(shardCountFor(1100, {10}, {}) == 7);
  CHECK(shardCountFor(1100, {}, Options) == 7);
}

TEST_CASE("A fleet of small hosts gets shards that one of them can serve") {
  int Shards = shardCountFor(120, mixedHosts(0, 18), Options);
  CHECK(120.0 / Shards <= 7 * 3);
  CHECK(Shards <= 8);
}

TEST_CASE("Large hosts that suffice keep the shards large") {
  int Shards = shardCountFor(1100, mixedHosts(15, 132), Options);
  CHECK(1100.0 / Shards <= 50 * 3);
  CHECK(Shards <= 10);
}

TEST_CASE("If the hosts do not suffice, the work is spread as evenly as "
          "possible with few shards") {
  int Shards = shardCountFor(1000, {7, 7, 7, 7}, Options);
  CHECK(Shards % 4 == 0);
  CHECK(Shards <= 12);
}

TEST_CASE("There are never more shards than workers or than the maximum") {
  CHECK(shardCountFor(3, std::vector<int>(10, 1), {.WorkersPerWeight = 0.1}) ==
        3);
  CHECK(shardCountFor(5000, std::vector<int>(300, 1), Options) <= 64);
  CHECK(shardCountFor(0, {7}, Options) == 1);
}
