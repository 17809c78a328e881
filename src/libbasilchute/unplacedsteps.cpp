#include "libbasilchute/unplacedsteps.h"

BASILCHUTE_NAMESPACE_BEGIN

// All that a round can reach have had their turn if it did not stop at their
// limit. The steps that exclude others say nothing of that: under overload each
// round ends at their limit.
void UnplacedSteps::beginRound() {
  if (m_limitedInRound < MaxPerRound)
    m_tried.clear();
  m_plainInRound = 0;
  m_limitedInRound = 0;
}

BASILCHUTE_NAMESPACE_END
