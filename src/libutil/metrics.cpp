#include "libutil/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <map>
#include <mutex>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

namespace bh = boost::histogram;

constexpr unsigned BinCount = 160;
constexpr double MinSeconds = 1e-5;
constexpr double MaxSeconds = 1e3;
/// Number of histogram bins per bucket of the Prometheus text.
constexpr int BinsPerBucket = 10;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;
using Histogram = bh::histogram<std::tuple<LogAxis>, Storage>;

std::string labelBlock(const std::string &Labels) {
  return Labels.empty() ? std::string() : "{" + Labels + "}";
}

} // namespace

class LatencyHistogram::Impl {
public:
  Impl()
      : m_bins(bh::make_histogram_with(
            Storage(), LogAxis(BinCount, MinSeconds, MaxSeconds))) {}

  void record(nanoseconds Value) {
    double Seconds = std::chrono::duration<double>(Value).count();
    m_bins(std::max(Seconds, MinSeconds / 2));
    m_sumNanos.fetch_add(
        static_cast<uint64_t>(std::max<int64_t>(Value.count(), 0)),
        std::memory_order_relaxed);
  }

  uint64_t count() const {
    uint64_t Total = 0;
    for (auto &&Bin : bh::indexed(m_bins, bh::coverage::all))
      Total += static_cast<uint64_t>(*Bin);
    return Total;
  }

  double quantileSeconds(double Q) const {
    auto Target = static_cast<double>(count()) * Q;
    double Cumulative = 0;
    for (auto &&Bin : bh::indexed(m_bins, bh::coverage::all)) {
      Cumulative += static_cast<double>(static_cast<uint64_t>(*Bin));
      if (Cumulative >= Target && Cumulative > 0)
        return std::min(Bin.bin(0).upper(), MaxSeconds);
    }
    return 0;
  }

  void write(std::string &Out, const std::string &Name,
             const std::string &Labels) const {
    std::string Prefix = Labels.empty() ? "" : Labels + ",";
    uint64_t Cumulative = 0;
    for (auto &&Bin : bh::indexed(m_bins, bh::coverage::all)) {
      Cumulative += static_cast<uint64_t>(*Bin);
      int Index = Bin.index(0);
      bool IsBucketEdge = Index >= 0 && Index < static_cast<int>(BinCount) &&
                          (Index + 1) % BinsPerBucket == 0;
      if (IsBucketEdge)
        Out += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {}\n", Name, Prefix,
                           Bin.bin(0).upper(), Cumulative);
    }
    Out += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", Name, Prefix,
                       Cumulative);
    Out += fmt::format("{}_sum{} {:.9f}\n", Name, labelBlock(Labels),
                       static_cast<double>(m_sumNanos.load()) * 1e-9);
    Out += fmt::format("{}_count{} {}\n", Name, labelBlock(Labels), Cumulative);
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
  Metric &findOrCreate(std::map<Key, std::unique_ptr<Metric>> &Family,
                       Key MetricKey) {
    std::lock_guard Guard(Lock);
    std::unique_ptr<Metric> &Slot = Family[std::move(MetricKey)];
    if (!Slot)
      Slot = std::make_unique<Metric>();
    return *Slot;
  }
};

Metrics::Metrics() : m_impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

Counter &Metrics::counter(const std::string &Name, const std::string &Labels) {
  return m_impl->findOrCreate(m_impl->Counters, {Name, Labels});
}

LatencyHistogram &Metrics::histogram(const std::string &Name,
                                     const std::string &Labels) {
  return m_impl->findOrCreate(m_impl->Histograms, {Name, Labels});
}

void Metrics::setGauge(const std::string &Name, double Value,
                       const std::string &Labels) {
  std::lock_guard Guard(m_impl->Lock);
  m_impl->Gauges[{Name, Labels}] = Value;
}

std::string Metrics::text() const {
  std::lock_guard Guard(m_impl->Lock);
  std::string Out;
  std::string LastName;
  auto WriteType = [&](const std::string &Name, std::string_view Type) {
    if (Name != LastName)
      Out += fmt::format("# TYPE {} {}\n", Name, Type);
    LastName = Name;
  };
  for (const auto &[Key, Value] : m_impl->Counters) {
    WriteType(Key.first, "counter");
    Out += fmt::format("{}{} {}\n", Key.first, labelBlock(Key.second),
                       Value->value());
  }
  for (const auto &[Key, Value] : m_impl->Gauges) {
    WriteType(Key.first, "gauge");
    Out += fmt::format("{}{} {}\n", Key.first, labelBlock(Key.second), Value);
  }
  for (const auto &[Key, Value] : m_impl->Histograms) {
    WriteType(Key.first, "histogram");
    Value->write(Out, Key.first, Key.second);
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
