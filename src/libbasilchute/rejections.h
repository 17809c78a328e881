/// \file
/// Tasks that could not be placed in a round, which show that others cannot
/// either.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/interference.h"
#include "basilchute/resources.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Service, required label and kind of a task.
using RejectionKey = std::tuple<std::string, std::string, TaskKind>;

/// If a task could not be placed, no other task of the same key with at least
/// the same demand that surely ends no earlier can be placed in the round.
/// Without this check a backlog of unplaceable tasks would use up the round,
/// and tasks behind the backlog would wait although cores are idle.
///
/// Not thread-safe.
class Rejections {
public:
  /// \p LateTime is the time after which the task surely has ended; the same
  /// for all tasks if it does not decide about their place.
  void add(const RejectionKey &Key, const Resources &Demand,
           milliseconds LateTime) {
    m_rejected[Key].emplace_back(Demand, LateTime);
  }
  /// Returns true if such a task cannot be placed.
  bool matches(const RejectionKey &Key, const Resources &Demand,
               milliseconds LateTime) const;

private:
  std::map<RejectionKey, std::vector<std::pair<Resources, milliseconds>>>
      m_rejected;
};

BASILCHUTE_NAMESPACE_END
