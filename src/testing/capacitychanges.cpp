#include "testing/capacitychanges.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Steps from no capacity to the full one.
constexpr int Steps = 8;

} // namespace

CapacityChanges::CapacityChanges(JobTestBed &Bed, uint64_t Seed)
    : m_bed(Bed), m_random(~Seed) {}

int CapacityChanges::randomInt(int Min, int End) {
  auto Span = static_cast<uint64_t>(End - Min);
  return Min + static_cast<int>(m_random() % Span);
}

void CapacityChanges::start(milliseconds Duration) {
  m_endsAt = m_bed.now() + Duration;
  scheduleNext();
}

void CapacityChanges::scheduleNext() {
  m_bed.later(milliseconds(randomInt(50, 2500)), [this] {
    if (m_bed.now() >= m_endsAt)
      return;
    changeOne();
    scheduleNext();
  });
}

void CapacityChanges::changeOne() {
  int Worker = randomInt(0, m_bed.workers());
  Resources Capacity = m_bed.options().WorkerCapacity;
  if (randomInt(0, 3) > 0)
    Capacity.Millicores = Capacity.Millicores * randomInt(0, Steps) / Steps;
  if (randomInt(0, 3) == 0)
    Capacity.MemoryMib = Capacity.MemoryMib * randomInt(0, Steps) / Steps;
  m_bed.setCapacity(Worker, Capacity);
}

void CapacityChanges::end() {
  m_endsAt = m_bed.now();
  for (int Worker = 0; Worker < m_bed.workers(); ++Worker)
    m_bed.setCapacity(Worker, m_bed.options().WorkerCapacity);
}

BASILCHUTE_NAMESPACE_END
