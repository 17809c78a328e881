#include "basilchute/lagdetector.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr int FullPercent = 100;

} // namespace

void LagDetector::addCompletion(TaskClass Class, milliseconds Duration) {
  auto Index = static_cast<size_t>(Class);
  if (Index >= m_classes.size())
    m_classes.resize(Index + 1);
  ClassStats &Stats = m_classes[Index];
  ++Stats.Completions;
  // The first completions form a plain mean; with a constant weight the first
  // of them would dominate for long.
  double Weight = std::max(m_options.SmoothingFactor, 1.0 / Stats.Completions);
  Stats.MeanMs +=
      (static_cast<double>(Duration.count()) - Stats.MeanMs) * Weight;
}

std::optional<milliseconds> LagDetector::usualDuration(TaskClass Class) const {
  auto Index = static_cast<size_t>(Class);
  if (Index >= m_classes.size() ||
      m_classes[Index].Completions < m_options.MinCompletions)
    return std::nullopt;
  return milliseconds(static_cast<int64_t>(m_classes[Index].MeanMs));
}

std::optional<milliseconds>
LagDetector::extrapolatedDuration(const RunProgress &Run) {
  if (Run.PercentGained <= 0)
    return std::nullopt;
  return Run.Age * FullPercent / Run.PercentGained;
}

bool LagDetector::couldLag(const RunProgress &Run) const {
  std::optional<milliseconds> Usual = usualDuration(Run.Class);
  if (!Usual || Run.Age < m_options.MinAge)
    return false;
  // Without any progress the speed is unknown: a task that takes longer than
  // usual may not have reached its first percent yet.
  std::optional<milliseconds> Duration = extrapolatedDuration(Run);
  return Duration ? *Duration > *Usual * m_options.ClassFactor
                  : Run.Age > *Usual;
}

bool LagDetector::isLagging(const RunProgress &Run,
                            std::vector<milliseconds> Siblings) const {
  if (!couldLag(Run) || Siblings.size() < m_options.MinSiblings)
    return false;
  auto Median =
      Siblings.begin() + static_cast<std::ptrdiff_t>(Siblings.size() / 2);
  std::nth_element(Siblings.begin(), Median, Siblings.end());
  std::optional<milliseconds> Duration = extrapolatedDuration(Run);
  if (!Duration)
    return Run.Age > *Median;
  bool EndsSoonerElsewhere =
      *Duration - Run.Age > *Median + m_options.RestartTime;
  return EndsSoonerElsewhere && *Duration > *Median * m_options.SiblingFactor;
}

BASILCHUTE_NAMESPACE_END
