#include "libbasilchute/standby.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr size_t MinStandbys = 2;
constexpr size_t OwnersPerStandby = 4;

} // namespace

std::set<std::string> chooseStandbys(const std::vector<PlanHost> &Hosts,
                                     const std::vector<std::string> &Owners) {
  std::set<std::string> Owning(Owners.begin(), Owners.end());
  std::vector<std::tuple<int, uint64_t, std::string>> Idle;
  for (const PlanHost &Host : Hosts) {
    if (Host.IsLeaving || Owning.contains(Host.Id))
      continue;
    Idle.push_back(
        {-Host.Weight, XXH64(Host.Id.data(), Host.Id.size(), 0), Host.Id});
  }
  std::sort(Idle.begin(), Idle.end());
  size_t Count =
      std::min(Idle.size(),
               std::max(MinStandbys, (Owning.size() + OwnersPerStandby - 1) /
                                         OwnersPerStandby));
  std::set<std::string> Out;
  for (size_t Index = 0; Index < Count; ++Index)
    Out.insert(std::get<std::string>(Idle[Index]));
  return Out;
}

BASILCHUTE_NAMESPACE_END
