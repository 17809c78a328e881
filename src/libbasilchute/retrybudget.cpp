#include "basilchute/retrybudget.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {
constexpr int64_t PermillePerRetry = 1000;
}

void RetryBudget::deposit() {
  int64_t Saved = m_savedPermille.load(std::memory_order_relaxed);
  if (Saved < m_options.MaxSaved * PermillePerRetry)
    m_savedPermille.fetch_add(m_options.RetriesPermille,
                              std::memory_order_relaxed);
}

bool RetryBudget::withdraw() {
  int64_t Saved = m_savedPermille.load(std::memory_order_relaxed);
  while (Saved >= PermillePerRetry)
    if (m_savedPermille.compare_exchange_weak(Saved, Saved - PermillePerRetry,
                                              std::memory_order_relaxed))
      return true;
  return false;
}

BASILCHUTE_NAMESPACE_END
