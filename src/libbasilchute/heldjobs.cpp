#include "libbasilchute/heldjobs.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Memory of the id of a released job in bytes.
constexpr size_t BytesPerReleased = 100;

} // namespace

std::vector<std::string> HeldJobs::takeDue(milliseconds WallTime) {
  std::vector<std::string> Out;
  while (!m_later.empty() && m_later.begin()->first <= WallTime) {
    Out.push_back(m_later.begin()->second);
    m_later.erase(m_later.begin());
  }
  return Out;
}

void HeldJobs::release(const std::string &Id, std::optional<JobState> State) {
  PartlyQueued.erase(Id);
  Ended.erase(Id);
  m_released[Id] = State;
}

std::optional<JobState> HeldJobs::releasedState(const std::string &Id) const {
  auto It = m_released.find(Id);
  return It == m_released.end() ? std::nullopt : It->second;
}

size_t HeldJobs::releasedBytes() const {
  return m_released.size() * BytesPerReleased;
}

BASILCHUTE_NAMESPACE_END
