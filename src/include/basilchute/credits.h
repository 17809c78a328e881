/// \file
/// Slots of a worker, lent to the entry processes that send it requests.
#pragma once

#include "basilchute/clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <set>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a CreditLender.
struct CreditLenderOptions {
  /// Requests that the worker takes at once, from all entries together.
  uint32_t Slots = 8;
  /// Lease of a grant, as the borrower counts it from asking.
  milliseconds Lease{10000};
  /// Longest time that a borrower may still use a slot past its lease.
  milliseconds MaxUse{10000};
  int ClockDriftPermille = 5;
};

/// Lends the slots of one worker; the owner of its shard embeds one for each.
///
/// The sum of all grants never passes the limit: a grant counts until the
/// borrower reports that it holds less, or until its lease and the longest use
/// are over. After a takeover only what borrowers already hold is renewed until
/// all that an earlier owner may have lent is accounted for or over.
class CreditLender {
public:
  /// \p SettledAt is the point at which all earlier owners' grants are over.
  CreditLender(CreditLenderOptions Options, TimePoint SettledAt)
      : m_options(Options), m_settledAt(SettledAt) {}

  /// Answers a borrower that holds \p Held slots and wants \p Wanted in all.
  /// Returns the slots that it may use from now on; it must give the rest back
  /// as its requests end.
  uint32_t lend(const std::string &Borrower, uint32_t Held, uint32_t Wanted,
                TimePoint Now);
  /// States who may hold grants of an earlier owner. Once all of them have
  /// asked here, the rest of the slots is free.
  void setPossibleHolders(const std::set<std::string> &Borrowers);
  /// Slots that may be in use now.
  uint32_t lent(TimePoint Now) const;
  /// Returns true once slots beyond the reported ones may be lent.
  bool settled(TimePoint Now) const;

private:
  /// What one borrower may use.
  struct Loan {
    uint32_t Slots = 0;
    uint32_t Wanted = 0;
    TimePoint Over{};
  };

  uint32_t evenShare() const;
  uint32_t fairShare(const std::string &Borrower, TimePoint Now) const;
  void dropLapsed(TimePoint Now);

  CreditLenderOptions m_options;
  TimePoint m_settledAt;
  std::set<std::string> m_possibleHolders;
  /// Borrowers that have asked here, whatever became of their loans.
  std::set<std::string> m_seen;
  bool m_holdersKnown = false;
  std::map<std::string, Loan> m_loans;
};

/// Slots of one worker that an entry process holds. Taking and returning are
/// safe from any thread and without locks; granting is for one thread.
class CreditPurse {
public:
  /// Takes one slot; returns false if none is free or the lease is over.
  bool take(TimePoint Now);
  /// Returns a taken slot.
  void giveBack() { m_inUse.fetch_sub(1, std::memory_order_acq_rel); }
  /// Records a grant of \p Slots that was asked for at \p AskedAt.
  void grant(uint32_t Slots, TimePoint AskedAt, milliseconds Lease);
  /// Records that a request found no free slot.
  void noteShortage() { m_shortages.fetch_add(1, std::memory_order_relaxed); }
  /// Slots that this process may still use: granted or taken.
  uint32_t held() const;
  /// Slots taken now.
  uint32_t inUse() const;
  /// Slots granted now, whether taken or not.
  uint32_t granted() const { return m_granted.load(std::memory_order_relaxed); }
  /// Slots that the recent load calls for; starts a new interval.
  uint32_t demand();

private:
  std::atomic<uint32_t> m_granted{0};
  std::atomic<uint32_t> m_inUse{0};
  std::atomic<uint32_t> m_peak{0};
  std::atomic<uint32_t> m_shortages{0};
  std::atomic<int64_t> m_leaseEnd{0};
  /// Smoothed demand; belongs to the granting thread.
  double m_smoothed = 0;
};

BASILCHUTE_NAMESPACE_END
