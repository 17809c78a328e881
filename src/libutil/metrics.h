/// \file
/// Counters, gauges and histograms with labels, written as Prometheus text.
#pragma once

#include "basilchute/clock.h"

#include <atomic>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// A monotonically increasing counter. Thread-safe.
class Counter {
public:
  void add(uint64_t Amount = 1) {
    m_value.fetch_add(Amount, std::memory_order_relaxed);
  }
  uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
  std::atomic<uint64_t> m_value{0};
};

/// A histogram of durations with logarithmic bins from 10 us to 1000 s.
/// Thread-safe.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;

  void record(nanoseconds Value);
  uint64_t count() const;
  /// Returns the upper edge of the bin that contains quantile \p Q (0 to 1), or
  /// zero if nothing was recorded.
  nanoseconds quantile(double Q) const;
  /// Appends the histogram to \p Out as Prometheus text under \p Name and
  /// \p Labels.
  void write(std::string &Out, const std::string &Name,
             const std::string &Labels) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// All metrics of one process, by name and labels. Looking up a metric takes a
/// lock; the reference stays valid, so that hot paths can keep it.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Returns the counter, which is created on first use. \p Labels is of the
  /// form key="value",key="value", or empty.
  Counter &counter(const std::string &Name, const std::string &Labels = {});
  LatencyHistogram &histogram(const std::string &Name,
                              const std::string &Labels = {});
  /// Sets a gauge, a value that may rise and fall.
  void setGauge(const std::string &Name, double Value,
                const std::string &Labels = {});
  /// Returns all metrics as Prometheus text.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
