#include "libbasilchute/runtimes.h"

#include "basilchute/limits.h"

#include <algorithm>
#include <cmath>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// The last values that count: a change of a queue's jobs shows after some
/// dozens of runs.
constexpr double MaxCount = 64;
/// Number of values from which their spread is known.
constexpr double MinCount = 8;
/// A value counts up to this many spreads from the mean. Of a normal
/// distribution, 1 of 80 values is farther off.
constexpr double MaxDeviation = 2.5;
/// Spread before anything is known. Submitters' estimates are off by up to 90%.
constexpr double InitialSpread = 0.5;
/// Least spread: durations are measured by polls and are off by some percent.
constexpr double MinSpread = 0.05;
/// The 90th percentile of a normal distribution, in standard deviations.
constexpr double LateDeviations = 1.2816;
/// Duration that is assumed where nothing is known.
constexpr milliseconds UnknownDuration{1000};
constexpr milliseconds MinRunTime{1};

double logOf(milliseconds Value) {
  return std::log(
      static_cast<double>(std::clamp(Value, MinRunTime, MaxDuration).count()));
}

milliseconds fromLog(double Value) {
  double Longest = static_cast<double>(MaxDuration.count());
  return milliseconds(std::llround(std::clamp(std::exp(Value), 1.0, Longest)));
}

RunTime fromLogs(double Mean, double Spread) {
  return {.Median = fromLog(Mean),
          .Late = fromLog(Mean + LateDeviations * Spread)};
}

bool isValid(const LogMean &Value) {
  return std::isfinite(Value.Count) && std::isfinite(Value.Mean) &&
         std::isfinite(Value.Spread) && Value.Count >= 0 &&
         Value.Count <= MaxCount && Value.Spread >= 0;
}

/// Returns the spread, which is not known while there are few values.
double spreadOf(const LogMean &Value) {
  double Known = std::min(Value.Count / MinCount, 1.0);
  return std::max(Known * Value.Spread + (1 - Known) * InitialSpread,
                  MinSpread);
}

} // namespace

void LogMean::add(double Value) {
  double Bound = MaxDeviation * spreadOf(*this);
  double Off = Count == 0 ? 0 : std::clamp(Value - Mean, -Bound, Bound);
  if (Count == 0)
    Mean = Value;
  Count = std::min(Count + 1, MaxCount);
  double Weight = 1 / Count;
  Mean += Weight * Off;
  double Variance = (1 - Weight) * (Spread * Spread + Weight * Off * Off);
  Spread = std::sqrt(Variance);
}

RunTimes::Known &RunTimes::at(const RunTimeKey &Key) {
  auto It = m_known.find(Key);
  if (It != m_known.end())
    return It->second;
  if (m_known.size() >= MaxKeys)
    m_known.erase(std::min_element(m_known.begin(), m_known.end(),
                                   [](const auto &A, const auto &B) {
                                     return A.second.LastUse < B.second.LastUse;
                                   }));
  return m_known[Key];
}

void RunTimes::add(const RunTimeKey &Key, milliseconds Estimate,
                   milliseconds Duration) {
  if (Duration.count() <= 0)
    return;
  Known &Value = at(Key);
  Value.LastUse = ++m_uses;
  Value.Duration.add(logOf(Duration));
  m_hasChanged = true;
  if (Estimate.count() <= 0)
    return;
  double Ratio = logOf(Duration) - logOf(Estimate);
  Value.Ratio.add(Ratio);
  if (m_queues.size() < MaxKeys || m_queues.count(Key.Queue))
    m_queues[Key.Queue].add(Ratio);
}

// Where jobs of one queue differ in size, the corrected estimate is closer than
// the usual duration; elsewhere the estimates only add noise. The smaller
// spread tells which.
RunTime RunTimes::expected(const RunTimeKey &Key, milliseconds Estimate) const {
  auto It = m_known.find(Key);
  bool HasEstimate = Estimate.count() > 0;
  if (It != m_known.end() && It->second.Duration.Count >= MinCount) {
    const LogMean &Duration = It->second.Duration;
    const LogMean &Ratio = It->second.Ratio;
    if (HasEstimate && Ratio.Count >= MinCount &&
        Ratio.Spread < Duration.Spread)
      return fromLogs(logOf(Estimate) + Ratio.Mean, spreadOf(Ratio));
    return fromLogs(Duration.Mean, spreadOf(Duration));
  }
  if (!HasEstimate && It != m_known.end() && It->second.Duration.Count > 0)
    return fromLogs(It->second.Duration.Mean, spreadOf(It->second.Duration));
  if (!HasEstimate)
    return fromLogs(logOf(UnknownDuration), 2 * InitialSpread);
  auto Queue = m_queues.find(Key.Queue);
  if (Queue == m_queues.end())
    return fromLogs(logOf(Estimate), InitialSpread);
  return fromLogs(logOf(Estimate) + Queue->second.Mean,
                  spreadOf(Queue->second));
}

std::vector<StoredRunTime> RunTimes::stored() const {
  m_hasChanged = false;
  std::vector<StoredRunTime> Out;
  Out.reserve(m_known.size());
  for (const auto &[Key, Value] : m_known)
    Out.push_back(
        {.Key = Key, .Duration = Value.Duration, .Ratio = Value.Ratio});
  return Out;
}

void RunTimes::restore(const std::vector<StoredRunTime> &Values) {
  for (const StoredRunTime &Value : Values) {
    if (!isValid(Value.Duration) || !isValid(Value.Ratio) ||
        Value.Duration.Count < 1 || m_known.count(Value.Key) ||
        m_known.size() >= MaxKeys)
      continue;
    m_known[Value.Key] = {.Duration = Value.Duration, .Ratio = Value.Ratio};
    LogMean &Queue = m_queues[Value.Key.Queue];
    if (Value.Ratio.Count > Queue.Count)
      Queue = Value.Ratio;
  }
}

TimePoint expectedEnd(TimePoint Start, const RunTime &Expected, TimePoint Now) {
  if (Now < Start + Expected.Median)
    return Start + Expected.Median;
  if (Now < Start + Expected.Late)
    return Start + Expected.Late;
  return Now + (Now - Start);
}

BASILCHUTE_NAMESPACE_END
