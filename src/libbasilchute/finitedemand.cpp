#include "libbasilchute/finitedemand.h"

#include <algorithm>
#include <cmath>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time constant of the moving mean: some jobs of a queue arrive within it, and
/// it follows a burst before the queue's jobs are late.
constexpr double MeanSeconds = 10;
/// A service without finite tasks for this time needs no room for any. Longer
/// than the pauses between the bursts of a queue.
constexpr std::chrono::seconds InUseTime{60};

} // namespace

double FiniteDemand::millicores(const Mean &Value, TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - Value.At).count();
  return Value.Work * std::exp(-std::max(Age, 0.0) / MeanSeconds) / MeanSeconds;
}

void FiniteDemand::addReady(const std::string &Service, double Work,
                            TimePoint Now) {
  Mean &Value = m_services[Service];
  Value.Work = millicores(Value, Now) * MeanSeconds + std::max(Work, 0.0);
  Value.At = Now;
}

double FiniteDemand::millicores(const std::string &Service,
                                TimePoint Now) const {
  auto It = m_services.find(Service);
  return It == m_services.end() ? 0 : millicores(It->second, Now);
}

double FiniteDemand::millicores(TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Service, Value] : m_services)
    Sum += millicores(Value, Now);
  return Sum;
}

bool FiniteDemand::isInUse(const std::string &Service, TimePoint Now) const {
  if (m_services.empty())
    return true;
  auto It = m_services.find(Service);
  return It != m_services.end() && It->second.At != TimePoint{} &&
         Now - It->second.At <= InUseTime;
}

BASILCHUTE_NAMESPACE_END
