#include "basilchute/shardplan.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace basilchute;

namespace {

long owned(const std::vector<std::string> &Plan, const std::string &Host) {
  return std::count(Plan.begin(), Plan.end(), Host);
}

} // namespace

TEST_CASE("Shards without an owner are spread by weight") {
  std::vector<std::string> Plan = planShards({{"a", 10}, {"b", 10}, {"c", 40}},
                                             std::vector<std::string>(12));
  CHECK(owned(Plan, "a") == 2);
  CHECK(owned(Plan, "b") == 2);
  CHECK(owned(Plan, "c") == 8);
}

TEST_CASE("A living owner keeps its shard") {
  std::vector<std::string> Plan =
      planShards({{"a", 1}, {"b", 1}}, {"a", "b", "b"});
  CHECK(Plan == std::vector<std::string>{"a", "b", "b"});
}

TEST_CASE("A new host gets shards from one that has two more") {
  std::vector<std::string> Plan =
      planShards({{"a", 1}, {"b", 1}}, {"a", "a", "a"});
  CHECK(owned(Plan, "b") == 1);
}

TEST_CASE("All hosts compute the same plan") {
  std::vector<std::string> Owners = {"gone", "a", "gone", "b"};
  CHECK(planShards({{"a", 1}, {"b", 1}, {"c", 1}}, Owners) ==
        planShards({{"c", 1}, {"b", 1}, {"a", 1}}, Owners));
}

TEST_CASE("Without hosts there is no plan") {
  CHECK(planShards({}, {"a"}).empty());
}
