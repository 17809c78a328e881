#include "basilchute/progress.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr int WholeTask = 100;

} // namespace

void ProgressWatch::ended(TaskClass Class, milliseconds Took) {
  auto Index = static_cast<size_t>(Class);
  if (Index >= m_classes.size())
    m_classes.resize(Index + 1);
  Known &Of = m_classes[Index];
  ++Of.Ends;
  // A plain mean at first, so that the first run does not weigh for ever.
  double Weight = std::max(m_options.Gain, 1.0 / Of.Ends);
  Of.MeanMs += (static_cast<double>(Took.count()) - Of.MeanMs) * Weight;
}

std::optional<milliseconds> ProgressWatch::usual(TaskClass Class) const {
  auto Index = static_cast<size_t>(Class);
  if (Index >= m_classes.size() || m_classes[Index].Ends < m_options.LeastEnds)
    return std::nullopt;
  return milliseconds(static_cast<int64_t>(m_classes[Index].MeanMs));
}

std::optional<milliseconds> ProgressWatch::wholeTime(const ProgressSeen &Run) {
  if (Run.Gained <= 0)
    return std::nullopt;
  return Run.Age * WholeTask / Run.Gained;
}

bool ProgressWatch::couldLag(const ProgressSeen &Run) const {
  std::optional<milliseconds> Usual = usual(Run.Class);
  if (!Usual || Run.Age < m_options.LeastAge)
    return false;
  // Without any progress the speed is unknown; a task that takes longer than
  // usual may not have shown its first percent.
  std::optional<milliseconds> Whole = wholeTime(Run);
  return Whole ? *Whole > *Usual * m_options.Factor : Run.Age > *Usual;
}

bool ProgressWatch::isLagging(const ProgressSeen &Run,
                              std::vector<milliseconds> Siblings) const {
  if (!couldLag(Run) || Siblings.size() < m_options.LeastSiblings)
    return false;
  auto Middle =
      Siblings.begin() + static_cast<std::ptrdiff_t>(Siblings.size() / 2);
  std::nth_element(Siblings.begin(), Middle, Siblings.end());
  std::optional<milliseconds> Whole = wholeTime(Run);
  if (!Whole)
    return Run.Age > *Middle;
  bool Sooner = *Whole - Run.Age > *Middle + m_options.MoveTime;
  return Sooner && *Whole > *Middle * m_options.SiblingFactor;
}

BASILCHUTE_NAMESPACE_END
