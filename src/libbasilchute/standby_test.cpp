#include "libbasilchute/standby.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;

namespace {

std::vector<PlanHost> hosts(int Large, int Small) {
  std::vector<PlanHost> Out;
  for (int Index = 0; Index < Large; ++Index)
    Out.push_back({.Id = fmt::format("large-{}", Index), .Weight = 50});
  for (int Index = 0; Index < Small; ++Index)
    Out.push_back({.Id = fmt::format("small-{}", Index), .Weight = 7});
  return Out;
}

} // namespace

TEST_CASE("The heaviest hosts without a shard are standbys") {
  std::set<std::string> Chosen =
      chooseStandbys(hosts(3, 100), {"large-0", "large-1", "large-0"});
  CHECK(Chosen.size() == 2);
  CHECK(Chosen.contains("large-2"));
}

TEST_CASE("The number of standbys follows the owners, not the hosts") {
  std::vector<std::string> Owners;
  for (int Index = 0; Index < 16; ++Index)
    Owners.push_back(fmt::format("small-{}", Index));
  CHECK(chooseStandbys(hosts(0, 40), Owners).size() == 4);
  CHECK(chooseStandbys(hosts(0, 400), Owners).size() == 4);
}

TEST_CASE("Leaving hosts and owners are no standbys") {
  std::vector<PlanHost> Hosts = hosts(0, 3);
  Hosts[1].IsLeaving = true;
  CHECK(chooseStandbys(Hosts, {"small-0"}) == std::set<std::string>{"small-2"});
  CHECK(chooseStandbys({}, {"gone"}).empty());
}
