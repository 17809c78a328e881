#include "libutil/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <map>
#include <mutex>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

namespace bh = boost::histogram;

constexpr unsigned Bins = 160;
constexpr double LeastSeconds = 1e-5;
constexpr double GreatestSeconds = 1e3;
/// Every this many bins one bucket is written.
constexpr int BinsPerBucket = 10;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;
using Histogram = bh::histogram<std::tuple<LogAxis>, Storage>;

std::string braces(const std::string &Labels) {
  return Labels.empty() ? std::string() : "{" + Labels + "}";
}

} // namespace

class LatencyHistogram::Impl {
public:
  Impl()
      : m_bins(bh::make_histogram_with(
            Storage(), LogAxis(Bins, LeastSeconds, GreatestSeconds))) {}

  void record(nanoseconds Value) {
    double Seconds = std::chrono::duration<double>(Value).count();
    m_bins(std::max(Seconds, LeastSeconds / 2));
    m_sumNanos.fetch_add(
        static_cast<uint64_t>(std::max<int64_t>(Value.count(), 0)),
        std::memory_order_relaxed);
  }

  uint64_t count() const {
    uint64_t Out = 0;
    for (auto &&Each : bh::indexed(m_bins, bh::coverage::all))
      Out += static_cast<uint64_t>(*Each);
    return Out;
  }

  double quantileSeconds(double Q) const {
    auto Target = static_cast<double>(count()) * Q;
    double Seen = 0;
    for (auto &&Each : bh::indexed(m_bins, bh::coverage::all)) {
      Seen += static_cast<double>(static_cast<uint64_t>(*Each));
      if (Seen >= Target && Seen > 0)
        return std::min(Each.bin(0).upper(), GreatestSeconds);
    }
    return 0;
  }

  void write(std::string &Out, const std::string &Name,
             const std::string &Labels) const {
    std::string Prefix = Labels.empty() ? "" : Labels + ",";
    uint64_t Sum = 0;
    for (auto &&Each : bh::indexed(m_bins, bh::coverage::all)) {
      Sum += static_cast<uint64_t>(*Each);
      int Index = Each.index(0);
      bool Written = Index >= 0 && Index < static_cast<int>(Bins) &&
                     (Index + 1) % BinsPerBucket == 0;
      if (Written)
        Out += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {}\n", Name, Prefix,
                           Each.bin(0).upper(), Sum);
    }
    Out += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", Name, Prefix, Sum);
    Out += fmt::format("{}_sum{} {:.9f}\n", Name, braces(Labels),
                       static_cast<double>(m_sumNanos.load()) * 1e-9);
    Out += fmt::format("{}_count{} {}\n", Name, braces(Labels), Sum);
  }

private:
  Histogram m_bins;
  std::atomic<uint64_t> m_sumNanos{0};
};

LatencyHistogram::LatencyHistogram() : m_impl(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
void LatencyHistogram::record(nanoseconds Value) { m_impl->record(Value); }
uint64_t LatencyHistogram::count() const { return m_impl->count(); }
nanoseconds LatencyHistogram::quantile(double Q) const {
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(m_impl->quantileSeconds(Q)));
}
void LatencyHistogram::write(std::string &Out, const std::string &Name,
                             const std::string &Labels) const {
  m_impl->write(Out, Name, Labels);
}

class Metrics::Impl {
public:
  using Key = std::pair<std::string, std::string>;

  mutable std::mutex Lock;
  std::map<Key, std::unique_ptr<Counter>> Counters;
  std::map<Key, std::unique_ptr<LatencyHistogram>> Histograms;
  std::map<Key, double> Gauges;

  template <typename Metric>
  Metric &find(std::map<Key, std::unique_ptr<Metric>> &In, Key At) {
    std::lock_guard Guard(Lock);
    std::unique_ptr<Metric> &Slot = In[std::move(At)];
    if (!Slot)
      Slot = std::make_unique<Metric>();
    return *Slot;
  }
};

Metrics::Metrics() : m_impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

Counter &Metrics::counter(const std::string &Name, const std::string &Labels) {
  return m_impl->find(m_impl->Counters, {Name, Labels});
}

LatencyHistogram &Metrics::histogram(const std::string &Name,
                                     const std::string &Labels) {
  return m_impl->find(m_impl->Histograms, {Name, Labels});
}

void Metrics::setGauge(const std::string &Name, double Value,
                       const std::string &Labels) {
  std::lock_guard Guard(m_impl->Lock);
  m_impl->Gauges[{Name, Labels}] = Value;
}

std::string Metrics::text() const {
  std::lock_guard Guard(m_impl->Lock);
  std::string Out;
  std::string Last;
  auto Type = [&](const std::string &Name, std::string_view Kind) {
    if (Name != Last)
      Out += fmt::format("# TYPE {} {}\n", Name, Kind);
    Last = Name;
  };
  for (const auto &[Key, Each] : m_impl->Counters) {
    Type(Key.first, "counter");
    Out +=
        fmt::format("{}{} {}\n", Key.first, braces(Key.second), Each->value());
  }
  for (const auto &[Key, Each] : m_impl->Gauges) {
    Type(Key.first, "gauge");
    Out += fmt::format("{}{} {}\n", Key.first, braces(Key.second), Each);
  }
  for (const auto &[Key, Each] : m_impl->Histograms) {
    Type(Key.first, "histogram");
    Each->write(Out, Key.first, Key.second);
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
