#include "libbasilchute/keptworkers.h"

#include <algorithm>
#include <cmath>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Finite tasks wait little while they use at most this part of their room.
constexpr double TargetUtilization = 0.7;
constexpr double MinPart = 0.06;
constexpr double MaxPart = 0.25;
/// A worker is released only if the others have this many times the room that
/// is needed.
constexpr double ReleaseFactor = 1.25;
/// A worker gives way to another one with this many times its room.
constexpr int64_t ReplaceFactor = 2;

int64_t reservedOn(const KeepableWorker &Worker) {
  return Worker.CapacityMillicores - Worker.RoomMillicores;
}

} // namespace

int64_t roomForFinite(int64_t CapacityMillicores, double DemandMillicores) {
  auto Capacity = static_cast<double>(CapacityMillicores);
  return std::llround(std::clamp(DemandMillicores / TargetUtilization,
                                 MinPart * Capacity, MaxPart * Capacity));
}

void KeptWorkers::update(std::vector<KeepableWorker> Workers,
                         int64_t RoomMillicores) {
  std::erase_if(Workers,
                [](const auto &Worker) { return Worker.RoomMillicores <= 0; });
  auto Others = std::stable_partition(
      Workers.begin(), Workers.end(),
      [this](const auto &Worker) { return isKept(Worker.Id); });
  std::sort(Workers.begin(), Others, [](const auto &A, const auto &B) {
    return A.RoomMillicores > B.RoomMillicores;
  });
  std::sort(Others, Workers.end(), [](const auto &A, const auto &B) {
    return std::pair(reservedOn(A), -A.RoomMillicores) <
           std::pair(reservedOn(B), -B.RoomMillicores);
  });
  m_ids.clear();
  m_millicores = 0;
  auto Choose = [this](const KeepableWorker &Worker) {
    m_ids.insert(Worker.Id);
    m_millicores += Worker.RoomMillicores;
  };
  auto ReleaseAt =
      static_cast<int64_t>(static_cast<double>(RoomMillicores) * ReleaseFactor);
  auto Other = Others;
  for (auto Kept = Workers.begin(); Kept != Others; ++Kept) {
    if (m_millicores >= ReleaseAt)
      return;
    bool IsReplaced =
        Other != Workers.end() &&
        Other->RoomMillicores > ReplaceFactor * Kept->RoomMillicores;
    Choose(IsReplaced ? *Other++ : *Kept);
  }
  for (; Other != Workers.end() && m_millicores < RoomMillicores; ++Other)
    Choose(*Other);
}

BASILCHUTE_NAMESPACE_END
