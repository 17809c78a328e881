#include "basilchute/shardplan.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace basilchute;

namespace {

long countOwned(const std::vector<std::string> &Plan, const std::string &Host) {
  return std::count(Plan.begin(), Plan.end(), Host);
}

} // namespace

TEST_CASE("Shards without an owner are distributed by host weight") {
  std::vector<std::string> Plan = planShards({{"a", 10}, {"b", 10}, {"c", 40}},
                                             std::vector<std::string>(12));
  CHECK(countOwned(Plan, "a") == 2);
  CHECK(countOwned(Plan, "b") == 2);
  CHECK(countOwned(Plan, "c") == 8);
}

TEST_CASE("A live owner keeps its shards") {
  std::vector<std::string> Plan =
      planShards({{"a", 1}, {"b", 1}}, {"a", "b", "b"});
  CHECK(Plan == std::vector<std::string>{"a", "b", "b"});
}

TEST_CASE("A new host gets a shard from a host with at least two more shards") {
  std::vector<std::string> Plan =
      planShards({{"a", 1}, {"b", 1}}, {"a", "a", "a"});
  CHECK(countOwned(Plan, "b") == 1);
}

TEST_CASE("All hosts compute the same plan") {
  std::vector<std::string> Owners = {"gone", "a", "gone", "b"};
  CHECK(planShards({{"a", 1}, {"b", 1}, {"c", 1}}, Owners) ==
        planShards({{"c", 1}, {"b", 1}, {"a", 1}}, Owners));
}

TEST_CASE("The plan is empty if there are no hosts") {
  CHECK(planShards({}, {"a"}).empty());
}
