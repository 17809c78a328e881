/// \file
/// For how long an owner that may have lost its shard may go on giving orders,
/// and when a new owner knows that the leases from such orders have ended.
///
/// A sole owner, whose renewal is so young that no other host can have claimed
/// the shard, gives orders freely. Any other owner gives orders only with
/// evidence: most of the shard's workers have accepted its epoch within the
/// last moments. The new owner's first answered poll of a worker ends that
/// worker's evidence for all previous owners. Once it has fenced so many
/// workers that any evidence would need one of them, previous owners give no
/// more orders, except on evidence that is about to grow too old.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/leasetimes.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

/// What an owner knows of the workers that still accept its epoch.
class LeaseEvidence {
public:
  /// \p IsStored returns whether a worker is certainly named in the row that
  /// the next owner reads. No other worker counts.
  LeaseEvidence(milliseconds MaxAge,
                std::function<bool(const std::string &)> IsStored)
      : m_maxAge(MaxAge), m_isStored(std::move(IsStored)) {}

  /// Records that \p Worker has answered a poll that was sent at \p Sent. The
  /// answer counts only if the same incarnation has answered while this host
  /// was the sole owner: a later one may not know of a newer owner.
  void onAnswer(const std::string &Worker, milliseconds Incarnation,
                TimePoint Sent, bool IsSoleOwner);
  /// The worker has left the list. Must be called then: the new owner may never
  /// have heard of the worker.
  void forget(const std::string &Worker) { m_workers.erase(Worker); }
  /// Returns true if more than two thirds of \p Counted workers have accepted
  /// this owner's epoch lately.
  bool isSufficient(size_t Counted, TimePoint Now) const;

private:
  struct Acceptance {
    /// Incarnation that has answered the sole owner.
    milliseconds Incarnation{0};
    /// When the last poll that it answered was sent.
    TimePoint Sent{};
  };

  milliseconds m_maxAge;
  std::function<bool(const std::string &)> m_isStored;
  std::map<std::string, Acceptance> m_workers;
};

/// What a new owner knows of the leases that previous owners gave.
class PreviousLeases {
public:
  /// Stands for the number of counted workers if no previous owner can give
  /// leases on evidence, since other hosts may have no report of any of them.
  static constexpr size_t NoReports = std::numeric_limits<uint32_t>::max();

  /// \p SoleUntil is the time by which no previous owner was a sole owner any
  /// more. \p Counted is a number of workers that every previous owner counts
  /// at least, or NoReports; zero if that is not known.
  PreviousLeases(LeaseTimes Times, TimePoint SoleUntil, size_t Counted)
      : m_times(Times), m_soleUntil(SoleUntil), m_counted(Counted) {}

  /// Records that at \p Now, of the workers in the list and those that left it
  /// lately, \p Fenced have accepted the new owner's epoch and \p Silent have
  /// not.
  void onFenced(size_t Fenced, size_t Silent, TimePoint Now);
  /// Records that at \p Now, of all workers that may be evidence to a previous
  /// owner, \p Unfenced have not accepted the new owner's epoch.
  void onUnfenced(size_t Unfenced, TimePoint Now);
  /// Returns the time by which all leases that previous owners gave to workers
  /// that have not accepted the new epoch have ended; none if that cannot be
  /// concluded from the workers that have.
  std::optional<TimePoint> endAt() const;

private:
  LeaseTimes m_times;
  TimePoint m_soleUntil;
  size_t m_counted;
  /// When enough workers had accepted the new epoch.
  std::optional<TimePoint> m_noEvidenceFrom;
};

BASILCHUTE_NAMESPACE_END
