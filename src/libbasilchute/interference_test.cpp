#include "basilchute/interference.h"
#include "basilchute/pacing.h"

#include <doctest/doctest.h>
#include <random>

using namespace basilchute;

namespace {

constexpr TaskKind Serving = 0;
constexpr TaskKind Harmful = 1;
constexpr TaskKind Harmless = 2;

/// Measurements in which only one of two fill kinds does harm.
void teach(InterferenceModel &Model, int Count) {
  std::mt19937_64 Random(7);
  std::uniform_real_distribution<double> Share(0, 0.3);
  std::normal_distribution<double> Noise(0, 0.1);
  for (int Each = 0; Each < Count; ++Each) {
    double Bad = Share(Random);
    double Good = Share(Random);
    Model.observe(Serving, 0.4 + 3.0 * Bad + Noise(Random),
                  {{Harmful, Bad}, {Harmless, Good}});
  }
}

} // namespace

TEST_CASE("The model tells harmful fill tasks from harmless ones") {
  InterferenceModel Model;
  teach(Model, 300);
  CHECK(Model.slope(Serving, Harmful) > 2.0);
  CHECK(Model.slope(Serving, Harmful) < 4.0);
  CHECK(Model.slope(Serving, Harmless) < 0.6);
}

TEST_CASE("A kind that was never seen is assumed to do some harm") {
  InterferenceModel Model;
  CHECK(Model.slope(5, 6) > 0);
}

// A burst of proposals beside watched tasks: most images harm nobody and must
// go on at full pace while the others stop.
TEST_CASE("Only the fill tasks that harm are slowed") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces = planPaces({{.Kind = Serving, .Ratio = 1.2}},
                                     {{.Kind = Harmful, .FullShare = 0.2},
                                      {.Kind = Harmless, .FullShare = 0.01}},
                                     Model);
  CHECK(Paces[0] == 0);
  CHECK(Paces[1] == 100);
}

TEST_CASE("Slowed fill tasks come back when the tail has room") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Ratio = 0.4}},
                {{.Kind = Harmful, .Pace = 0, .FullShare = 0.05}}, Model);
  CHECK(Paces[0] > 50);
}

TEST_CASE("After some measurements over the target all fill tasks stop") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Ratio = 1.5, .Over = 3}},
                {{.Kind = Harmless, .FullShare = 0.01}}, Model);
  CHECK(Paces[0] == 0);
}

// Watched tasks swing by themselves; stopping all proposals at each swing cost
// a quarter of their throughput.
TEST_CASE("Fill tasks go on where the serving task's own load is the cause") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Ratio = 1.6}},
                {{.Kind = Harmful, .FullShare = 0.05}}, Model);
  CHECK(Paces[0] == 100);
}

// After a loss the backlog holds jobs that are worth nothing any more; what
// they do beside a watched task is taken from those that can still end in time.
TEST_CASE("Of two fill tasks that harm alike the one worth less is slowed") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Ratio = 0.95}},
                {{.Kind = Harmful, .FullShare = 0.1},
                 {.Kind = Harmful, .FullShare = 0.1, .Weight = 0.05}},
                Model);
  CHECK(Paces[0] == 100);
  CHECK(Paces[1] < 50);
}
