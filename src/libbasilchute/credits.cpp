#include "basilchute/credits.h"

#include <algorithm>
#include <cmath>

BASILCHUTE_NAMESPACE_BEGIN

void CreditLender::dropLapsed(TimePoint Now) {
  std::erase_if(m_loans,
                [&](const auto &Entry) { return Now >= Entry.second.Over; });
}

uint32_t CreditLender::lent(TimePoint Now) const {
  uint32_t Sum = 0;
  for (const auto &[Borrower, Each] : m_loans)
    if (Now < Each.Over)
      Sum += Each.Slots;
  return Sum;
}

bool CreditLender::settled(TimePoint Now) const {
  return Now >= m_settledAt ||
         (m_holdersKnown &&
          std::includes(m_seen.begin(), m_seen.end(), m_possibleHolders.begin(),
                        m_possibleHolders.end()));
}

void CreditLender::setPossibleHolders(const std::set<std::string> &Borrowers) {
  m_holdersKnown = true;
  m_possibleHolders = Borrowers;
}

uint32_t CreditLender::evenShare() const {
  auto Known = static_cast<uint32_t>(m_possibleHolders.size());
  return std::max<uint32_t>(m_options.Slots / std::max<uint32_t>(Known, 1), 1);
}

// Shares the slots out in turns of one: first up to what each wants, so that
// small wishes are met whole, then the rest evenly, because a slot that nobody
// holds helps nobody when load comes. A known borrower that has not asked yet
// counts as wanting an even share, so that the first to ask does not take all.
uint32_t CreditLender::fairShare(const std::string &Borrower,
                                 TimePoint Now) const {
  std::map<std::string, uint32_t> Wishes;
  for (const std::string &Each : m_possibleHolders)
    if (!m_seen.contains(Each))
      Wishes[Each] = evenShare();
  std::set<std::string> Unwilling;
  for (const auto &[Name, Each] : m_loans) {
    Wishes[Name] = Now < Each.Over ? Each.Wanted : 0;
    if (Wishes[Name] == 0)
      Unwilling.insert(Name);
  }
  std::map<std::string, uint32_t> Shares;
  uint32_t Left = m_options.Slots;
  for (bool BeyondWishes : {false, true}) {
    bool Given = true;
    while (Left > 0 && Given) {
      Given = false;
      for (const auto &[Name, Wish] : Wishes) {
        uint32_t &Share = Shares[Name];
        bool Takes = BeyondWishes ? !Unwilling.contains(Name) : Share < Wish;
        if (Left == 0 || !Takes)
          continue;
        ++Share;
        --Left;
        Given = true;
      }
    }
  }
  return Shares[Borrower];
}

uint32_t CreditLender::lend(const std::string &Borrower, uint32_t Held,
                            uint32_t Wanted, TimePoint Now) {
  dropLapsed(Now);
  m_seen.insert(Borrower);
  nanoseconds Use = m_options.Lease + m_options.MaxUse;
  Loan &Mine = m_loans[Borrower];
  // One question is under way at a time, so what the borrower says it holds
  // replaces whatever earlier answers granted.
  Mine.Slots = Held;
  Mine.Wanted = Wanted;
  Mine.Over = Now + Use + Use * m_options.ClockDriftPermille / 1000;
  uint32_t Share = fairShare(Borrower, Now);
  if (Share <= Held)
    return Share;
  if (!settled(Now))
    return Held;
  uint32_t Lent = lent(Now);
  uint32_t Free = m_options.Slots - std::min(m_options.Slots, Lent);
  uint32_t Granted = std::min(Share, Held + Free);
  Mine.Slots = Granted;
  return Granted;
}

bool CreditPurse::take(TimePoint Now) {
  if (Now.time_since_epoch().count() >=
      m_leaseEnd.load(std::memory_order_acquire))
    return false;
  uint32_t Before = m_inUse.fetch_add(1, std::memory_order_acq_rel);
  if (Before >= m_granted.load(std::memory_order_acquire)) {
    m_inUse.fetch_sub(1, std::memory_order_acq_rel);
    return false;
  }
  uint32_t Peak = m_peak.load(std::memory_order_relaxed);
  while (Peak < Before + 1 &&
         !m_peak.compare_exchange_weak(Peak, Before + 1,
                                       std::memory_order_relaxed)) {
  }
  return true;
}

void CreditPurse::grant(uint32_t Slots, TimePoint AskedAt, milliseconds Lease) {
  m_granted.store(Slots, std::memory_order_release);
  m_leaseEnd.store((AskedAt + Lease).time_since_epoch().count(),
                   std::memory_order_release);
}

uint32_t CreditPurse::inUse() const {
  return m_inUse.load(std::memory_order_acquire);
}

uint32_t CreditPurse::held() const { return std::max(granted(), inUse()); }

uint32_t CreditPurse::demand() {
  // Rises at once and falls slowly, so that a pause between bursts does not
  // give everything away.
  constexpr double Keep = 0.8;
  uint32_t Peak = m_peak.exchange(inUse(), std::memory_order_relaxed);
  uint32_t Shortages = m_shortages.exchange(0, std::memory_order_relaxed);
  double Now = Peak + std::min<uint32_t>(Shortages, 64);
  m_smoothed = std::max(Now, m_smoothed * Keep);
  return static_cast<uint32_t>(std::ceil(m_smoothed)) + 1;
}

BASILCHUTE_NAMESPACE_END
