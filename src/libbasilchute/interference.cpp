#include "basilchute/interference.h"

#include <algorithm>
#include <array>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Fill kinds that are told apart; more share places.
constexpr size_t MaxFills = 15;
/// One place for the base, one for each fill kind.
constexpr size_t Places = MaxFills + 1;
constexpr double BaseVariance = 1.0;
constexpr double SlopeVariance = 30.0;
/// Keeps the variance from growing without bound where nothing is measured.
constexpr double MostVariance = 200.0;
constexpr double PriorBase = 0.45;

using Vector = std::array<double, Places>;

/// Recursive least squares of one serving kind.
struct Fit {
  Vector Coefficients{};
  std::array<Vector, Places> Covariance{};

  explicit Fit(double PriorSlope) {
    Coefficients.fill(PriorSlope);
    Coefficients[0] = PriorBase;
    for (size_t Each = 0; Each < Places; ++Each)
      Covariance[Each][Each] = Each == 0 ? BaseVariance : SlopeVariance;
  }

  void update(const Vector &X, double Y, double Forgetting) {
    Vector Gain{};
    double Scale = Forgetting;
    double Predicted = 0;
    for (size_t Row = 0; Row < Places; ++Row) {
      Predicted += Coefficients[Row] * X[Row];
      for (size_t Column = 0; Column < Places; ++Column)
        Gain[Row] += Covariance[Row][Column] * X[Column];
      Scale += X[Row] * Gain[Row];
    }
    for (size_t Row = 0; Row < Places; ++Row)
      Coefficients[Row] += Gain[Row] / Scale * (Y - Predicted);
    for (size_t Row = 0; Row < Places; ++Row)
      for (size_t Column = 0; Column < Places; ++Column) {
        double &Cell = Covariance[Row][Column];
        Cell = (Cell - Gain[Row] * Gain[Column] / Scale) / Forgetting;
        Cell = std::clamp(Cell, -MostVariance, MostVariance);
      }
  }
};

} // namespace

class InterferenceModel::Impl {
public:
  explicit Impl(InterferenceOptions Options) : m_options(Options) {}

  static size_t placeOf(TaskKind Fill) {
    return 1 + static_cast<size_t>(Fill) % MaxFills;
  }

  void observe(TaskKind Serving, double Ratio, const FillShares &Shares) {
    Vector X{};
    X[0] = 1;
    for (const auto &[Fill, Share] : Shares)
      X[placeOf(Fill)] += Share;
    auto Index = static_cast<size_t>(Serving);
    if (Index >= m_fits.size())
      m_fits.resize(Index + 1, Fit(m_options.PriorSlope));
    m_fits[Index].update(X, std::min(Ratio, m_options.HighestRatio),
                         m_options.Forgetting);
  }

  double slope(TaskKind Serving, TaskKind Fill) const {
    auto Index = static_cast<size_t>(Serving);
    if (Index >= m_fits.size())
      return m_options.PriorSlope;
    return std::max(0.0, m_fits[Index].Coefficients[placeOf(Fill)]);
  }

private:
  InterferenceOptions m_options;
  std::vector<Fit> m_fits;
};

InterferenceModel::InterferenceModel(InterferenceOptions Options)
    : m_impl(std::make_unique<Impl>(Options)) {}
InterferenceModel::~InterferenceModel() = default;
void InterferenceModel::observe(TaskKind Serving, double Ratio,
                                const FillShares &Shares) {
  m_impl->observe(Serving, Ratio, Shares);
}
double InterferenceModel::slope(TaskKind Serving, TaskKind Fill) const {
  return m_impl->slope(Serving, Fill);
}

BASILCHUTE_NAMESPACE_END
