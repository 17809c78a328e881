/// \file
/// Credits: request slots of a worker, lent to the entry processes that send
/// requests to it.
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
  /// Max concurrent requests at the worker, from all entry processes together.
  uint32_t Slots = 8;
  /// Lease of a grant; the borrower counts it from when it asked.
  milliseconds Lease{10000};
  /// Max time after the end of the lease for which a slot taken before may
  /// still be in use.
  milliseconds MaxUse{10000};
  /// Allowance for the difference of clock rates, in parts per thousand.
  int ClockDriftPermille = 5;
};

/// Lends the slots of one worker to borrowers (entry processes). The owner of a
/// shard has one lender for each of the shard's workers.
///
/// The sum of all grants never exceeds Slots: a grant counts until the borrower
/// reports that it holds fewer slots, or until Lease plus MaxUse have elapsed.
/// After a takeover only the slots that borrowers already hold are renewed,
/// until all slots that a previous owner may have lent are reported or expired.
class CreditLender {
public:
  /// At \p PriorGrantsEnd all grants of previous owners have expired.
  CreditLender(CreditLenderOptions Options, TimePoint PriorGrantsEnd)
      : m_options(Options), m_priorGrantsEnd(PriorGrantsEnd) {}

  /// Handles the report of \p Borrower that it holds \p Held slots and wants
  /// \p Wanted in total. Returns the slots that it may use from now on; it must
  /// give up the others as its requests end.
  uint32_t lend(const std::string &Borrower, uint32_t Held, uint32_t Wanted,
                TimePoint Now);
  /// Sets the borrowers that may hold grants of a previous owner. Once all of
  /// them have reported here, the slots that they do not hold may be lent.
  void setPossibleHolders(const std::set<std::string> &Borrowers);
  /// Returns the slots of all unexpired grants.
  uint32_t lentSlots(TimePoint Now) const;
  /// Returns true once all grants of previous owners are reported or expired,
  /// so that slots beyond the reported ones may be lent.
  bool arePriorGrantsResolved(TimePoint Now) const;

private:
  /// Slots lent to one borrower.
  struct Grant {
    uint32_t Slots = 0;
    uint32_t Wanted = 0;
    TimePoint ExpiresAt{};
  };

  uint32_t evenShare() const;
  uint32_t fairShare(const std::string &Borrower, TimePoint Now) const;
  void dropExpired(TimePoint Now);

  CreditLenderOptions m_options;
  TimePoint m_priorGrantsEnd;
  /// Borrowers that may hold grants of a previous owner.
  std::set<std::string> m_possibleHolders;
  /// Borrowers that have reported here, even if their grants have expired.
  std::set<std::string> m_reported;
  bool m_hasPossibleHolders = false;
  std::map<std::string, Grant> m_grants;
};

/// Slots of one worker that are lent to an entry process. take(), release() and
/// recordShortage() are safe from any thread and take no lock; grant() and
/// takeDemand() must be called from one thread.
class WorkerCredits {
public:
  /// Takes one slot; returns false if none is free or the lease is over.
  bool take(TimePoint Now);
  /// Returns a taken slot.
  void release() { m_inUse.fetch_sub(1, std::memory_order_acq_rel); }
  /// Records a grant of \p Slots. \p Lease counts from \p AskedAt, when the
  /// grant was asked for.
  void grant(uint32_t Slots, TimePoint AskedAt, milliseconds Lease);
  /// Records that a request found no free slot.
  void recordShortage() { m_shortages.fetch_add(1, std::memory_order_relaxed); }
  /// Returns the slots to report as held: granted or still taken, whichever is
  /// more.
  uint32_t held() const;
  /// Returns the slots that are taken now.
  uint32_t inUse() const;
  /// Returns the slots of the last grant, whether taken or not.
  uint32_t granted() const { return m_granted.load(std::memory_order_relaxed); }
  /// Returns the slots that the load since the last call needs, smoothed, and
  /// starts a new interval.
  uint32_t takeDemand();

private:
  std::atomic<uint32_t> m_granted{0};
  std::atomic<uint32_t> m_inUse{0};
  /// Max of m_inUse in the present interval.
  std::atomic<uint32_t> m_peakInUse{0};
  std::atomic<uint32_t> m_shortages{0};
  std::atomic<int64_t> m_leaseEndNanos{0};
  /// Used only by the thread that calls takeDemand().
  double m_smoothedDemand = 0;
};

BASILCHUTE_NAMESPACE_END
