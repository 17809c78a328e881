#include "basilchute/retrybudget.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {
constexpr int64_t OneRetry = 1000;
}

void RetryBudget::deposit() {
  int64_t Saved = m_permille.load(std::memory_order_relaxed);
  if (Saved < m_options.MaxSaved * OneRetry)
    m_permille.fetch_add(m_options.RetriesPermille, std::memory_order_relaxed);
}

bool RetryBudget::withdraw() {
  int64_t Saved = m_permille.load(std::memory_order_relaxed);
  while (Saved >= OneRetry)
    if (m_permille.compare_exchange_weak(Saved, Saved - OneRetry,
                                         std::memory_order_relaxed))
      return true;
  return false;
}

BASILCHUTE_NAMESPACE_END
