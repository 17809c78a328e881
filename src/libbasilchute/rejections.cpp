#include "libbasilchute/rejections.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

bool Rejections::matches(const RejectionKey &Key, const Resources &Demand,
                         milliseconds LateTime) const {
  auto It = m_rejected.find(Key);
  if (It == m_rejected.end())
    return false;
  return std::any_of(
      It->second.begin(), It->second.end(), [&](const auto &Rejected) {
        return Rejected.first.fits(Demand) && Rejected.second <= LateTime;
      });
}

BASILCHUTE_NAMESPACE_END
