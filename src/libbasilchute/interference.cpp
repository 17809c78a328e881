#include "basilchute/interference.h"

#include <algorithm>
#include <array>
#include <map>
#include <unordered_map>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Number of fill kinds with a slope of their own for each serving kind;
/// further fill kinds share the last column. A bound on the memory of a fit:
/// the users' largest site has 30 kinds.
constexpr size_t MaxFillKinds = 48;
/// Headroom is not extrapolated further ahead than this.
constexpr double MaxForecastSeconds = 2.0;
/// The rate of a trend that was not updated for this long is not used.
constexpr double MaxRateAgeSeconds = 3.0;
constexpr double MaxRateVariance = 0.5;
/// Variance of a rounding error: uniformly distributed, one unit wide.
constexpr double RoundingVariance = 1.0 / 12;

constexpr int NoColumn = -1;
/// Variance that is added to the slopes of a predecessor.
constexpr double RestoredVariance = 0.25;

using Vector = std::array<double, MaxFillKinds>;

double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

/// Headroom of one group: level and rate of change with their covariance
/// matrix, a Kalman filter with two states.
struct Trend {
  double Level = 0;
  double Rate = 0;
  double LevelVariance = 0;
  double Covariance = 0;
  double RateVariance = 0;
  TimePoint UpdatedAt{};

  void advance(TimePoint Now, double RateDrift) {
    double Seconds = std::max(0.0, secondsBetween(UpdatedAt, Now));
    UpdatedAt = std::max(UpdatedAt, Now);
    Level += Rate * std::min(Seconds, MaxForecastSeconds);
    LevelVariance += 2 * Seconds * Covariance +
                     Seconds * Seconds * RateVariance +
                     RateDrift * Seconds * Seconds * Seconds / 3;
    Covariance += Seconds * RateVariance + RateDrift * Seconds * Seconds / 2;
    RateVariance =
        std::min(RateVariance + RateDrift * Seconds, MaxRateVariance);
  }

  void correct(double Innovation, double InnovationVariance) {
    double LevelGain = LevelVariance / InnovationVariance;
    double RateGain = Covariance / InnovationVariance;
    Level += LevelGain * Innovation;
    Rate += RateGain * Innovation;
    RateVariance -= RateGain * Covariance;
    Covariance -= LevelGain * Covariance;
    LevelVariance -= LevelGain * LevelVariance;
  }
};

/// Kalman filter of the slopes of one serving kind.
struct SlopeFit {
  Vector Slopes{};
  std::array<Vector, MaxFillKinds> Covariance{};
  /// Column of each fill kind, or NoColumn.
  std::vector<int> Columns;
  size_t NextColumn = 0;

  SlopeFit(double PriorSlope, double Variance) {
    Slopes.fill(PriorSlope);
    for (size_t Column = 0; Column < MaxFillKinds; ++Column)
      Covariance[Column][Column] = Variance;
  }

  size_t columnOf(TaskKind Fill) {
    auto Index = static_cast<size_t>(Fill);
    if (Index >= Columns.size())
      Columns.resize(Index + 1, NoColumn);
    int &Column = Columns[Index];
    if (Column == NoColumn) {
      Column = static_cast<int>(NextColumn);
      NextColumn = std::min(NextColumn + 1, MaxFillKinds - 1);
    }
    return static_cast<size_t>(Column);
  }

  bool hasColumn(TaskKind Fill) const {
    auto Index = static_cast<size_t>(Fill);
    return Index < Columns.size() && Columns[Index] != NoColumn;
  }

  Vector regressors(const FillShares &Shares) {
    Vector Out{};
    for (const auto &[Fill, Share] : Shares)
      Out[columnOf(Fill)] += Share;
    return Out;
  }

  /// Returns the number of columns that may be in use.
  size_t columns() const { return std::min(NextColumn + 1, MaxFillKinds); }

  Vector timesCovariance(const Vector &X) const {
    Vector Out{};
    for (size_t Column = 0; Column < columns(); ++Column) {
      if (X[Column] == 0)
        continue;
      for (size_t Row = 0; Row < columns(); ++Row)
        Out[Row] += Covariance[Column][Row] * X[Column];
    }
    return Out;
  }

  void correct(const Vector &X, const Vector &CovarianceX, double Innovation,
               double InnovationVariance, double Drift) {
    for (size_t Row = 0; Row < columns(); ++Row) {
      if (X[Row] == 0 && CovarianceX[Row] == 0)
        continue;
      Slopes[Row] += CovarianceX[Row] / InnovationVariance * Innovation;
      for (size_t Column = 0; Column < columns(); ++Column)
        Covariance[Row][Column] -=
            CovarianceX[Row] * CovarianceX[Column] / InnovationVariance;
      if (X[Row] > 0)
        Covariance[Row][Row] += Drift;
    }
  }
};

/// Combined estimates of other models for one pair of kinds: the sum of their
/// inverse variances, and of their slopes weighted by these.
struct PeerEstimate {
  double Information = 0;
  double WeightedSlope = 0;
};

double dot(const Vector &A, const Vector &B) {
  double Out = 0;
  for (size_t Column = 0; Column < MaxFillKinds; ++Column)
    Out += A[Column] * B[Column];
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
    SlopeFit &Fit = fitOf(Sample.Kind);
    Trend &GroupTrend = trendOf(Sample.Group, Now);
    GroupTrend.advance(Now, m_options.RateDrift);
    Vector X = Fit.regressors(Shares);
    Vector CovarianceX = Fit.timesCovariance(X);
    double Measured = Target / Tail;
    double Predicted = GroupTrend.Level - dot(Fit.Slopes, X);
    // Below the minimum the task is overloaded: headroom is no longer linear in
    // the shares, and the tail stays long until the backlog is worked off.
    if (Measured < m_options.MinHeadroom) {
      if (Predicted <= m_options.MinHeadroom)
        return;
      Measured = m_options.MinHeadroom;
    }
    // Change of headroom for one millisecond of tail, the unit of rounding.
    double Rounding = Measured * Measured / Target;
    double NoiseVariance =
        m_options.NoiseVariance + Rounding * Rounding * RoundingVariance;
    double InnovationVariance =
        NoiseVariance + GroupTrend.LevelVariance + dot(X, CovarianceX);
    double Innovation = Measured - Predicted;
    GroupTrend.correct(Innovation, InnovationVariance);
    Fit.correct(X, CovarianceX, -Innovation, InnovationVariance,
                m_options.SlopeDrift);
    if (!m_peerPairs.empty())
      observeCombined(Sample, Now, Shares, Measured, NoiseVariance);
  }

  double slope(TaskKind Serving, TaskKind Fill) const {
    return std::max(0.0, estimate(Serving, Fill).Slope);
  }

  double headroom(LoadGroup Group, TimePoint Now, milliseconds Ahead) const {
    const auto &Trends = m_peerPairs.empty() ? m_trends : m_combinedTrends;
    auto It = Trends.find(Group);
    if (It == Trends.end())
      return m_options.PriorHeadroom;
    const Trend &GroupTrend = It->second;
    double Age = std::max(0.0, secondsBetween(GroupTrend.UpdatedAt, Now));
    if (Age > MaxRateAgeSeconds)
      return GroupTrend.Level;
    double Start =
        GroupTrend.Level + GroupTrend.Rate * std::min(Age, MaxForecastSeconds);
    double AheadSeconds = std::chrono::duration<double>(Ahead).count();
    double End =
        Start + GroupTrend.Rate * std::min(AheadSeconds, MaxForecastSeconds);
    return std::min(Start, End);
  }

  double expectedHeadroom(TaskKind Kind, LoadGroup Group, TimePoint Now,
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
      const SlopeFit &Fit = *m_fits[Serving];
      for (size_t Fill = 0; Fill < Fit.Columns.size(); ++Fill) {
        if (Fit.Columns[Fill] == NoColumn)
          continue;
        auto Column = static_cast<size_t>(Fit.Columns[Fill]);
        Out.push_back({.Serving = static_cast<TaskKind>(Serving),
                       .Fill = static_cast<TaskKind>(Fill),
                       .Slope = Fit.Slopes[Column],
                       .Variance = Fit.Covariance[Column][Column]});
      }
    }
    return Out;
  }

  void restore(const PairSlope &Pair) {
    SlopeFit &Fit = fitOf(Pair.Serving);
    if (Fit.hasColumn(Pair.Fill) || !(Pair.Variance > 0))
      return;
    size_t Column = Fit.columnOf(Pair.Fill);
    Fit.Slopes[Column] = Pair.Slope;
    Fit.Covariance[Column][Column] = std::min(Pair.Variance + RestoredVariance,
                                              m_options.PriorSlopeVariance);
  }

  void setPeerSlopes(int Source, const std::vector<PairSlope> &Pairs) {
    if (m_peerPairs.empty())
      m_combinedTrends = m_trends;
    m_peerPairs[Source] = Pairs;
    m_peerEstimates.clear();
    for (const auto &[Peer, PeerPairs] : m_peerPairs)
      for (const PairSlope &Pair : PeerPairs) {
        // The prior is part of every model's estimate but must count only once,
        // as part of this model's own estimate.
        double Information =
            1 / Pair.Variance - 1 / m_options.PriorSlopeVariance;
        if (!(Pair.Variance > 0) || Information <= 0)
          continue;
        PeerEstimate &Sum = m_peerEstimates[{Pair.Serving, Pair.Fill}];
        Sum.Information += Information;
        Sum.WeightedSlope +=
            Pair.Slope / Pair.Variance -
            m_options.PriorSlope / m_options.PriorSlopeVariance;
      }
  }

  void forget(LoadGroup Group) {
    m_trends.erase(Group);
    m_combinedTrends.erase(Group);
  }

private:
  struct Estimate {
    double Slope = 0;
    double Variance = 0;
  };

  /// Returns the combined estimate of this and the other models for a pair.
  Estimate estimate(TaskKind Serving, TaskKind Fill) const {
    Estimate Local{.Slope = m_options.PriorSlope,
                   .Variance = m_options.PriorSlopeVariance};
    auto Index = static_cast<size_t>(Serving);
    if (Index < m_fits.size() && m_fits[Index] &&
        m_fits[Index]->hasColumn(Fill)) {
      size_t Column = m_fits[Index]->columnOf(Fill);
      Local = {.Slope = m_fits[Index]->Slopes[Column],
               .Variance = m_fits[Index]->Covariance[Column][Column]};
    }
    auto Peers = m_peerEstimates.find({Serving, Fill});
    if (Peers == m_peerEstimates.end())
      return Local;
    double Information = 1 / Local.Variance + Peers->second.Information;
    double WeightedSlope =
        Local.Slope / Local.Variance + Peers->second.WeightedSlope;
    return {.Slope = WeightedSlope / Information, .Variance = 1 / Information};
  }

  // Updates the group's headroom by the combined slopes of all models.
  void observeCombined(const ServingSample &Sample, TimePoint Now,
                       const FillShares &Shares, double Measured,
                       double NoiseVariance) {
    Trend New{.Level = m_options.PriorHeadroom,
              .LevelVariance = m_options.PriorHeadroomVariance,
              .RateVariance = m_options.RateDrift,
              .UpdatedAt = Now};
    Trend &GroupTrend =
        m_combinedTrends.try_emplace(Sample.Group, New).first->second;
    GroupTrend.advance(Now, m_options.RateDrift);
    double Predicted = GroupTrend.Level;
    double InnovationVariance = NoiseVariance + GroupTrend.LevelVariance;
    for (const auto &[Fill, Share] : Shares) {
      Estimate Pair = estimate(Sample.Kind, Fill);
      Predicted -= Pair.Slope * Share;
      InnovationVariance += Pair.Variance * Share * Share;
    }
    GroupTrend.correct(Measured - Predicted, InnovationVariance);
  }

  SlopeFit &fitOf(TaskKind Serving) {
    auto Index = static_cast<size_t>(Serving);
    if (Index >= m_fits.size())
      m_fits.resize(Index + 1);
    if (!m_fits[Index])
      m_fits[Index] = std::make_unique<SlopeFit>(m_options.PriorSlope,
                                                 m_options.PriorSlopeVariance);
    return *m_fits[Index];
  }

  Trend &trendOf(LoadGroup Group, TimePoint Now) {
    Trend New{.Level = m_options.PriorHeadroom,
              .LevelVariance = m_options.PriorHeadroomVariance,
              .RateVariance = m_options.RateDrift,
              .UpdatedAt = Now};
    return m_trends.try_emplace(Group, New).first->second;
  }

  InterferenceOptions m_options;
  /// By serving kind.
  std::vector<std::unique_ptr<SlopeFit>> m_fits;
  std::unordered_map<LoadGroup, Trend> m_trends;
  /// The last slopes of each other model by its source, and their combination.
  std::map<int, std::vector<PairSlope>> m_peerPairs;
  std::map<std::pair<TaskKind, TaskKind>, PeerEstimate> m_peerEstimates;
  /// Headroom of the groups by the combined slopes; unused while there are no
  /// other models.
  std::unordered_map<LoadGroup, Trend> m_combinedTrends;
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
void InterferenceModel::restore(const PairSlope &Pair) {
  m_impl->restore(Pair);
}
void InterferenceModel::setPeerSlopes(int Source,
                                      const std::vector<PairSlope> &Pairs) {
  m_impl->setPeerSlopes(Source, Pairs);
}
void InterferenceModel::forget(LoadGroup Group) { m_impl->forget(Group); }
double InterferenceModel::headroom(LoadGroup Group, TimePoint Now,
                                   milliseconds Ahead) const {
  return m_impl->headroom(Group, Now, Ahead);
}
double InterferenceModel::expectedHeadroom(TaskKind Kind, LoadGroup Group,
                                           TimePoint Now,
                                           const FillShares &Shares) const {
  return m_impl->expectedHeadroom(Kind, Group, Now, Shares);
}

BASILCHUTE_NAMESPACE_END
