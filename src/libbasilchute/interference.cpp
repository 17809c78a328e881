#include "basilchute/interference.h"

#include <algorithm>
#include <array>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Fill images that are told apart; later ones share the last place.
constexpr size_t MaxFills = 15;
/// One place for the base, one for each fill image.
constexpr size_t Places = MaxFills + 1;
constexpr double BaseVariance = 1.0;
constexpr double SlopeVariance = 30.0;
/// Keeps the variance from growing without bound where nothing is measured.
constexpr double MostVariance = 200.0;
constexpr double PriorBase = 0.45;

using Vector = std::array<double, Places>;

/// Recursive least squares of one serving image.
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

  size_t placeOf(const std::string &Fill) {
    auto Found = m_places.find(Fill);
    if (Found != m_places.end())
      return Found->second;
    size_t Place = std::min(m_places.size() + 1, MaxFills);
    m_places.emplace(Fill, Place);
    return Place;
  }

  void observe(const std::string &Serving, double Ratio,
               const std::map<std::string, double> &FillShares) {
    Vector X{};
    X[0] = 1;
    for (const auto &[Fill, Share] : FillShares)
      X[placeOf(Fill)] += Share;
    Fit &Of = m_fits.try_emplace(Serving, m_options.PriorSlope).first->second;
    Of.update(X, std::min(Ratio, m_options.HighestRatio),
              m_options.Forgetting);
  }

  double slope(const std::string &Serving, const std::string &Fill) const {
    auto Of = m_fits.find(Serving);
    auto Place = m_places.find(Fill);
    if (Of == m_fits.end() || Place == m_places.end())
      return m_options.PriorSlope;
    return std::max(0.0, Of->second.Coefficients[Place->second]);
  }

private:
  InterferenceOptions m_options;
  std::map<std::string, Fit> m_fits;
  std::map<std::string, size_t> m_places;
};

InterferenceModel::InterferenceModel(InterferenceOptions Options)
    : m_impl(std::make_unique<Impl>(Options)) {}
InterferenceModel::~InterferenceModel() = default;
void InterferenceModel::observe(
    const std::string &Serving, double Ratio,
    const std::map<std::string, double> &FillShares) {
  m_impl->observe(Serving, Ratio, FillShares);
}
double InterferenceModel::slope(const std::string &Serving,
                                const std::string &Fill) const {
  return m_impl->slope(Serving, Fill);
}

BASILCHUTE_NAMESPACE_END
