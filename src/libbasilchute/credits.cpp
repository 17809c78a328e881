#include "basilchute/credits.h"

#include <algorithm>
#include <cmath>

BASILCHUTE_NAMESPACE_BEGIN

void CreditLender::dropExpired(TimePoint Now) {
  std::erase_if(m_grants, [&](const auto &Entry) {
    return Now >= Entry.second.ExpiresAt;
  });
}

uint32_t CreditLender::lentSlots(TimePoint Now) const {
  uint32_t Sum = 0;
  for (const auto &[Borrower, Lent] : m_grants)
    if (Now < Lent.ExpiresAt)
      Sum += Lent.Slots;
  return Sum;
}

bool CreditLender::arePriorGrantsResolved(TimePoint Now) const {
  return Now >= m_priorGrantsEnd ||
         (m_hasPossibleHolders &&
          std::includes(m_reported.begin(), m_reported.end(),
                        m_possibleHolders.begin(), m_possibleHolders.end()));
}

void CreditLender::setPossibleHolders(const std::set<std::string> &Borrowers) {
  m_hasPossibleHolders = true;
  m_possibleHolders = Borrowers;
}

uint32_t CreditLender::evenShare() const {
  auto Holders = static_cast<uint32_t>(m_possibleHolders.size());
  return std::max<uint32_t>(m_options.Slots / std::max<uint32_t>(Holders, 1),
                            1);
}

// Distributes the slots one at a time in turn: first up to the demand of each
// borrower, so that small demands are met in full, then the rest evenly among
// the borrowers with a demand, because a slot that no borrower holds cannot
// serve a sudden load. A possible holder that has not reported yet counts with
// a demand of an even share, so that the first borrower does not get all slots.
uint32_t CreditLender::fairShare(const std::string &Borrower,
                                 TimePoint Now) const {
  std::map<std::string, uint32_t> Demands;
  for (const std::string &Holder : m_possibleHolders)
    if (!m_reported.contains(Holder))
      Demands[Holder] = evenShare();
  std::set<std::string> WithoutDemand;
  for (const auto &[Name, Lent] : m_grants) {
    Demands[Name] = Now < Lent.ExpiresAt ? Lent.Wanted : 0;
    if (Demands[Name] == 0)
      WithoutDemand.insert(Name);
  }
  std::map<std::string, uint32_t> Shares;
  uint32_t Remaining = m_options.Slots;
  for (bool IsDemandMet : {false, true}) {
    bool HasProgress = true;
    while (Remaining > 0 && HasProgress) {
      HasProgress = false;
      for (const auto &[Name, Demand] : Demands) {
        uint32_t &Share = Shares[Name];
        bool IsEligible =
            IsDemandMet ? !WithoutDemand.contains(Name) : Share < Demand;
        if (Remaining == 0 || !IsEligible)
          continue;
        ++Share;
        --Remaining;
        HasProgress = true;
      }
    }
  }
  return Shares[Borrower];
}

uint32_t CreditLender::lend(const std::string &Borrower, uint32_t Held,
                            uint32_t Wanted, TimePoint Now) {
  dropExpired(Now);
  m_reported.insert(Borrower);
  nanoseconds MaxHold = m_options.Lease + m_options.MaxUse;
  Grant &Current = m_grants[Borrower];
  // A borrower has one report in flight at a time, so the slots that it reports
  // replace all that earlier answers granted.
  Current.Slots = Held;
  Current.Wanted = Wanted;
  Current.ExpiresAt =
      Now + MaxHold + MaxHold * m_options.ClockDriftPermille / 1000;
  uint32_t Share = fairShare(Borrower, Now);
  if (Share <= Held)
    return Share;
  if (!arePriorGrantsResolved(Now))
    return Held;
  uint32_t Lent = lentSlots(Now);
  uint32_t Free = m_options.Slots - std::min(m_options.Slots, Lent);
  uint32_t Granted = std::min(Share, Held + Free);
  Current.Slots = Granted;
  return Granted;
}

bool WorkerCredits::take(TimePoint Now) {
  if (Now.time_since_epoch().count() >=
      m_leaseEndNanos.load(std::memory_order_acquire))
    return false;
  uint32_t InUseBefore = m_inUse.fetch_add(1, std::memory_order_acq_rel);
  if (InUseBefore >= m_granted.load(std::memory_order_acquire)) {
    m_inUse.fetch_sub(1, std::memory_order_acq_rel);
    return false;
  }
  uint32_t Peak = m_peakInUse.load(std::memory_order_relaxed);
  while (Peak < InUseBefore + 1 &&
         !m_peakInUse.compare_exchange_weak(Peak, InUseBefore + 1,
                                            std::memory_order_relaxed)) {
  }
  return true;
}

void WorkerCredits::grant(uint32_t Slots, TimePoint AskedAt,
                          milliseconds Lease) {
  m_granted.store(Slots, std::memory_order_release);
  m_leaseEndNanos.store((AskedAt + Lease).time_since_epoch().count(),
                        std::memory_order_release);
}

uint32_t WorkerCredits::inUse() const {
  return m_inUse.load(std::memory_order_acquire);
}

uint32_t WorkerCredits::held() const { return std::max(granted(), inUse()); }

uint32_t WorkerCredits::takeDemand() {
  // The demand rises at once and decays slowly, so that a gap between bursts
  // does not give up all slots.
  constexpr double DecayPerInterval = 0.8;
  uint32_t Peak = m_peakInUse.exchange(inUse(), std::memory_order_relaxed);
  uint32_t Shortages = m_shortages.exchange(0, std::memory_order_relaxed);
  double Latest = Peak + std::min<uint32_t>(Shortages, 64);
  m_smoothedDemand = std::max(Latest, m_smoothedDemand * DecayPerInterval);
  return static_cast<uint32_t>(std::ceil(m_smoothedDemand)) + 1;
}

BASILCHUTE_NAMESPACE_END
