#include "libbasilchute/unplacedsteps.h"

BASILCHUTE_NAMESPACE_BEGIN

// All have had their turn if the last round had some to spare.
void UnplacedSteps::beginRound() {
  if (!hasReachedLimit())
    m_tried.clear();
  m_plainInRound = 0;
  m_limitedInRound = 0;
}

BASILCHUTE_NAMESPACE_END
