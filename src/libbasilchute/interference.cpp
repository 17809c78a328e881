#include "basilchute/interference.h"

#include <algorithm>
#include <array>
#include <map>
#include <unordered_map>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Fill kinds that are told apart beside one serving kind; later ones share
/// the last place.
constexpr size_t MaxFills = 20;
/// Changes are not foreseen further than this.
constexpr double MostSecondsAhead = 2.0;
/// A rate that was not confirmed for this long is not relied on.
constexpr double MostSecondsStale = 3.0;
constexpr double MostRateVariance = 0.5;
/// Variance of a uniform error one unit wide, as rounding makes it.
constexpr double RoundingVariance = 1.0 / 12;

constexpr int NoPlace = -1;
/// Part by which the variance of what a predecessor knew is raised.
constexpr double RestoredDoubt = 0.25;

using Vector = std::array<double, MaxFills>;

double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

/// Headroom of one group: level and rate, with their covariance.
struct Trend {
  double Level = 0;
  double Rate = 0;
  double LevelVariance = 0;
  double Covariance = 0;
  double RateVariance = 0;
  TimePoint At{};

  void advance(TimePoint Now, double RateDrift) {
    double Step = std::max(0.0, secondsBetween(At, Now));
    At = std::max(At, Now);
    Level += Rate * std::min(Step, MostSecondsAhead);
    LevelVariance += 2 * Step * Covariance + Step * Step * RateVariance +
                     RateDrift * Step * Step * Step / 3;
    Covariance += Step * RateVariance + RateDrift * Step * Step / 2;
    RateVariance = std::min(RateVariance + RateDrift * Step, MostRateVariance);
  }

  void correct(double Innovation, double Scale) {
    double LevelGain = LevelVariance / Scale;
    double RateGain = Covariance / Scale;
    Level += LevelGain * Innovation;
    Rate += RateGain * Innovation;
    RateVariance -= RateGain * Covariance;
    Covariance -= LevelGain * Covariance;
    LevelVariance -= LevelGain * LevelVariance;
  }
};

/// Slopes of one serving kind.
struct Fit {
  Vector Slopes{};
  std::array<Vector, MaxFills> Covariance{};
  /// Place of each fill kind, or NoPlace.
  std::vector<int> Places;
  size_t Taken = 0;

  Fit(double PriorSlope, double Variance) {
    Slopes.fill(PriorSlope);
    for (size_t Each = 0; Each < MaxFills; ++Each)
      Covariance[Each][Each] = Variance;
  }

  size_t placeOf(TaskKind Fill) {
    auto Index = static_cast<size_t>(Fill);
    if (Index >= Places.size())
      Places.resize(Index + 1, NoPlace);
    int &Place = Places[Index];
    if (Place == NoPlace) {
      Place = static_cast<int>(Taken);
      Taken = std::min(Taken + 1, MaxFills - 1);
    }
    return static_cast<size_t>(Place);
  }

  bool knows(TaskKind Fill) const {
    auto Index = static_cast<size_t>(Fill);
    return Index < Places.size() && Places[Index] != NoPlace;
  }

  Vector gather(const FillShares &Shares) {
    Vector Out{};
    for (const auto &[Fill, Share] : Shares)
      Out[placeOf(Fill)] += Share;
    return Out;
  }

  Vector spread(const Vector &X) const {
    Vector Out{};
    for (size_t Row = 0; Row < MaxFills; ++Row)
      for (size_t Column = 0; Column < MaxFills; ++Column)
        Out[Row] += Covariance[Row][Column] * X[Column];
    return Out;
  }

  void correct(const Vector &X, const Vector &Spread, double Innovation,
               double Scale, double Drift) {
    for (size_t Row = 0; Row < MaxFills; ++Row) {
      if (X[Row] == 0 && Spread[Row] == 0)
        continue;
      Slopes[Row] += Spread[Row] / Scale * Innovation;
      for (size_t Column = 0; Column < MaxFills; ++Column)
        Covariance[Row][Column] -= Spread[Row] * Spread[Column] / Scale;
      if (X[Row] > 0)
        Covariance[Row][Row] += Drift;
    }
  }
};

/// What other models know of the slopes beside one serving kind: information,
/// the inverse of a variance, and the slopes weighted by it.
struct Shared {
  double Information = 0;
  double Weighted = 0;
};

double dot(const Vector &A, const Vector &B) {
  double Out = 0;
  for (size_t Each = 0; Each < MaxFills; ++Each)
    Out += A[Each] * B[Each];
  return Out;
}

} // namespace

class InterferenceModel::Impl {
public:
  explicit Impl(InterferenceOptions Options) : m_options(Options) {}

  void observe(const ServingSample &Sample, TimePoint Now,
               const FillShares &Shares) {
    auto Tail = static_cast<double>(Sample.Tail.count());
    auto Target = static_cast<double>(Sample.Target.count());
    if (Tail <= 0 || Target <= 0)
      return;
    Fit &Pairs = fitOf(Sample.Kind);
    Trend &Own = trendOf(Sample.Group, Now);
    Own.advance(Now, m_options.RateDrift);
    Vector X = Pairs.gather(Shares);
    Vector Spread = Pairs.spread(X);
    double Measured = Target / Tail;
    double Foreseen = Own.Level - dot(Pairs.Slopes, X);
    // The queue runs over there, so that the tail is no longer linear, and it
    // stays long until what has piled up is done.
    if (Measured < m_options.LeastHeadroom) {
      if (Foreseen <= m_options.LeastHeadroom)
        return;
      Measured = m_options.LeastHeadroom;
    }
    // One millisecond more or less in the tail.
    double Rounding = Measured * Measured / Target;
    double Noise = m_options.Noise + Rounding * Rounding * RoundingVariance;
    double Scale = Noise + Own.LevelVariance + dot(X, Spread);
    double Innovation = Measured - Foreseen;
    Own.correct(Innovation, Scale);
    Pairs.correct(X, Spread, -Innovation, Scale, m_options.SlopeDrift);
    if (!m_sources.empty())
      observeShared(Sample, Now, Shares, Measured, Noise);
  }

  double slope(TaskKind Serving, TaskKind Fill) const {
    return std::max(0.0, estimate(Serving, Fill).Slope);
  }

  double headroom(LoadGroup Group, TimePoint Now, milliseconds Ahead) const {
    const auto &Trends = m_sources.empty() ? m_trends : m_sharedTrends;
    auto Found = Trends.find(Group);
    if (Found == Trends.end())
      return m_options.PriorHeadroom;
    const Trend &Own = Found->second;
    double Since = std::max(0.0, secondsBetween(Own.At, Now));
    if (Since > MostSecondsStale)
      return Own.Level;
    double Start = Own.Level + Own.Rate * std::min(Since, MostSecondsAhead);
    double Until = std::chrono::duration<double>(Ahead).count();
    double End = Start + Own.Rate * std::min(Until, MostSecondsAhead);
    return std::min(Start, End);
  }

  double expected(TaskKind Kind, LoadGroup Group, TimePoint Now,
                  const FillShares &Shares) const {
    double Out = headroom(Group, Now, milliseconds(0));
    for (const auto &[Fill, Share] : Shares)
      Out -= slope(Kind, Fill) * Share;
    return Out;
  }

  std::vector<PairSlope> pairs() const {
    std::vector<PairSlope> Out;
    for (size_t Serving = 0; Serving < m_fits.size(); ++Serving) {
      if (!m_fits[Serving])
        continue;
      const Fit &Pairs = *m_fits[Serving];
      for (size_t Fill = 0; Fill < Pairs.Places.size(); ++Fill) {
        if (Pairs.Places[Fill] == NoPlace)
          continue;
        auto Place = static_cast<size_t>(Pairs.Places[Fill]);
        Out.push_back({.Serving = static_cast<TaskKind>(Serving),
                       .Fill = static_cast<TaskKind>(Fill),
                       .Slope = Pairs.Slopes[Place],
                       .Variance = Pairs.Covariance[Place][Place]});
      }
    }
    return Out;
  }

  void restore(const PairSlope &Known) {
    Fit &Pairs = fitOf(Known.Serving);
    if (Pairs.knows(Known.Fill) || !(Known.Variance > 0))
      return;
    size_t Place = Pairs.placeOf(Known.Fill);
    Pairs.Slopes[Place] = Known.Slope;
    Pairs.Covariance[Place][Place] =
        std::min(Known.Variance + RestoredDoubt, m_options.SlopeVariance);
  }

  void learnFrom(int Source, const std::vector<PairSlope> &Known) {
    if (m_sources.empty())
      m_sharedTrends = m_trends;
    m_sources[Source] = Known;
    m_shared.clear();
    for (const auto &[From, Pairs] : m_sources)
      for (const PairSlope &Each : Pairs) {
        // What is assumed before any measurement counts once, not once a model.
        double Information = 1 / Each.Variance - 1 / m_options.SlopeVariance;
        if (!(Each.Variance > 0) || Information <= 0)
          continue;
        Shared &To = m_shared[{Each.Serving, Each.Fill}];
        To.Information += Information;
        To.Weighted += Each.Slope / Each.Variance -
                       m_options.PriorSlope / m_options.SlopeVariance;
      }
  }

  void forget(LoadGroup Group) {
    m_trends.erase(Group);
    m_sharedTrends.erase(Group);
  }

private:
  struct Estimate {
    double Slope = 0;
    double Variance = 0;
  };

  /// What is known here and elsewhere of a pair.
  Estimate estimate(TaskKind Serving, TaskKind Fill) const {
    Estimate Own{.Slope = m_options.PriorSlope,
                 .Variance = m_options.SlopeVariance};
    auto Index = static_cast<size_t>(Serving);
    if (Index < m_fits.size() && m_fits[Index] && m_fits[Index]->knows(Fill)) {
      size_t Place = m_fits[Index]->placeOf(Fill);
      Own = {.Slope = m_fits[Index]->Slopes[Place],
             .Variance = m_fits[Index]->Covariance[Place][Place]};
    }
    auto Others = m_shared.find({Serving, Fill});
    if (Others == m_shared.end())
      return Own;
    double Information = 1 / Own.Variance + Others->second.Information;
    double Weighted = Own.Slope / Own.Variance + Others->second.Weighted;
    return {.Slope = Weighted / Information, .Variance = 1 / Information};
  }

  // The group's headroom by the slopes that all models know together.
  void observeShared(const ServingSample &Sample, TimePoint Now,
                     const FillShares &Shares, double Measured, double Noise) {
    Trend New{.Level = m_options.PriorHeadroom,
              .LevelVariance = m_options.HeadroomVariance,
              .RateVariance = m_options.RateDrift,
              .At = Now};
    Trend &Own = m_sharedTrends.try_emplace(Sample.Group, New).first->second;
    Own.advance(Now, m_options.RateDrift);
    double Foreseen = Own.Level;
    double Scale = Noise + Own.LevelVariance;
    for (const auto &[Fill, Share] : Shares) {
      Estimate Pair = estimate(Sample.Kind, Fill);
      Foreseen -= Pair.Slope * Share;
      Scale += Pair.Variance * Share * Share;
    }
    Own.correct(Measured - Foreseen, Scale);
  }

  Fit &fitOf(TaskKind Serving) {
    auto Index = static_cast<size_t>(Serving);
    if (Index >= m_fits.size())
      m_fits.resize(Index + 1);
    if (!m_fits[Index])
      m_fits[Index] =
          std::make_unique<Fit>(m_options.PriorSlope, m_options.SlopeVariance);
    return *m_fits[Index];
  }

  Trend &trendOf(LoadGroup Group, TimePoint Now) {
    Trend New{.Level = m_options.PriorHeadroom,
              .LevelVariance = m_options.HeadroomVariance,
              .RateVariance = m_options.RateDrift,
              .At = Now};
    return m_trends.try_emplace(Group, New).first->second;
  }

  InterferenceOptions m_options;
  /// By serving kind.
  std::vector<std::unique_ptr<Fit>> m_fits;
  std::unordered_map<LoadGroup, Trend> m_trends;
  /// What other models measured, as they told it last, and its sum.
  std::map<int, std::vector<PairSlope>> m_sources;
  std::map<std::pair<TaskKind, TaskKind>, Shared> m_shared;
  /// Headroom of the groups by the shared slopes; unused without other models.
  std::unordered_map<LoadGroup, Trend> m_sharedTrends;
};

InterferenceModel::InterferenceModel(InterferenceOptions Options)
    : m_impl(std::make_unique<Impl>(Options)) {}
InterferenceModel::~InterferenceModel() = default;
void InterferenceModel::observe(const ServingSample &Sample, TimePoint Now,
                                const FillShares &Shares) {
  m_impl->observe(Sample, Now, Shares);
}
double InterferenceModel::slope(TaskKind Serving, TaskKind Fill) const {
  return m_impl->slope(Serving, Fill);
}
std::vector<PairSlope> InterferenceModel::pairs() const {
  return m_impl->pairs();
}
void InterferenceModel::restore(const PairSlope &Known) {
  m_impl->restore(Known);
}
void InterferenceModel::learnFrom(int Source,
                                  const std::vector<PairSlope> &Known) {
  m_impl->learnFrom(Source, Known);
}
void InterferenceModel::forget(LoadGroup Group) { m_impl->forget(Group); }
double InterferenceModel::headroom(LoadGroup Group, TimePoint Now,
                                   milliseconds Ahead) const {
  return m_impl->headroom(Group, Now, Ahead);
}
double InterferenceModel::expected(TaskKind Kind, LoadGroup Group,
                                   TimePoint Now,
                                   const FillShares &Shares) const {
  return m_impl->expected(Kind, Group, Now, Shares);
}

BASILCHUTE_NAMESPACE_END
