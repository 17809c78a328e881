/// \file
/// Limit on retries as a share of the traffic.
#pragma once

#include "basilchute/namespace.h"

#include <atomic>
#include <cstdint>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a RetryBudget.
struct RetryBudgetOptions {
  /// Retries granted for each first attempt, in thousandths.
  int64_t RetriesPermille = 100;
  /// Maximum number of unused retries that may accumulate.
  int64_t MaxSaved = 50;
};

/// Token bucket that keeps retries from multiplying the load during an outage.
/// Use one instance per tenant. Thread-safe and lock-free.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {})
      : m_options(Options), m_savedPermille(Options.MaxSaved * 1000) {}

  /// Counts a first attempt, which adds a fraction of a retry to the budget.
  void deposit();
  /// Takes one retry from the budget; returns false if the budget is exhausted.
  bool withdraw();

private:
  RetryBudgetOptions m_options;
  /// Unused retries in thousandths.
  std::atomic<int64_t> m_savedPermille;
};

BASILCHUTE_NAMESPACE_END
