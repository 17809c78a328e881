/// \file
/// Limit of the work that one round of placing spends on steps that no worker
/// can take.
#pragma once

#include "basilchute/namespace.h"

#include <cstddef>
#include <set>
#include <string>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

/// Counts the steps that could not be placed in a round. There are two kinds:
/// - a step whose tasks lack room excludes all others of its kind that need as
///   much, so that few such steps use up a round only if the round can place
///   little else;
/// - a step with a limit of tasks per worker, or a gang, excludes no other. Any
///   number of these can wait, so they have turns, and end no round.
///
/// Not thread-safe.
class UnplacedSteps {
public:
  /// Maximum number of steps of each kind that could not be placed in a round.
  static constexpr size_t MaxPerRound = 40;

  /// Must be called before each round.
  void beginRound();
  /// Returns true if a step of the second kind may be tried in this round.
  bool mayTry(const std::string &Job, int Step) const {
    return m_limitedInRound < MaxPerRound && !m_tried.count({Job, Step});
  }
  /// Records a step of the first kind that could not be placed.
  void addPlain() { ++m_plainInRound; }
  /// Records a step of the second kind that could not be placed. It is tried
  /// again once all others have had their turn.
  void addLimited(const std::string &Job, int Step) {
    ++m_limitedInRound;
    m_tried.insert({Job, Step});
  }
  /// Records a step whose tasks no worker can hold. It takes no turn.
  void addWithoutWorker() { m_hasWithoutWorker = true; }
  /// Returns true if the round must end.
  bool isRoundOver() const { return m_plainInRound >= MaxPerRound; }
  /// Returns true if the round could not try all steps.
  bool hasReachedLimit() const {
    return isRoundOver() || m_limitedInRound >= MaxPerRound;
  }
  /// Returns true if any step could not be placed in the round.
  bool any() const {
    return m_plainInRound + m_limitedInRound > 0 || m_hasWithoutWorker;
  }

private:
  size_t m_plainInRound = 0;
  size_t m_limitedInRound = 0;
  bool m_hasWithoutWorker = false;
  /// Steps of the second kind that have had their turn, by job.
  std::set<std::pair<std::string, int>> m_tried;
};

BASILCHUTE_NAMESPACE_END
