/// \file
/// A bound on retries as a share of the traffic.
#pragma once

#include "basilchute/namespace.h"

#include <atomic>
#include <cstdint>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a RetryBudget.
struct RetryBudgetOptions {
  /// Retries allowed for each first attempt, in thousandths.
  int64_t RetriesPermille = 100;
  /// Retries that may be saved up.
  int64_t MaxSaved = 50;
};

/// Keeps retries from multiplying the load of an outage. Use one per tenant.
/// Safe from any thread, without locks.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {})
      : m_options(Options), m_permille(Options.MaxSaved * 1000) {}

  /// Counts a first attempt.
  void deposit();
  /// Takes one retry; returns false if the budget is spent.
  bool withdraw();

private:
  RetryBudgetOptions m_options;
  /// Saved retries in thousandths.
  std::atomic<int64_t> m_permille;
};

BASILCHUTE_NAMESPACE_END
