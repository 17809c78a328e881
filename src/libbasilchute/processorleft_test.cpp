// Tests of the estimate of the processor time that fill tasks can use.

#include "libbasilchute/processorleft.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr milliseconds ReportInterval{250};

/// Reports of \p Runs fill runs of 3500 millicores each that share \p Left.
std::vector<FillReport> sharing(double Left, int Runs) {
  int64_t Each = std::min<int64_t>(3500, static_cast<int64_t>(Left / Runs));
  return std::vector<FillReport>(
      static_cast<size_t>(Runs),
      {.AllowedMillicores = 3500, .UsedMillicores = Each, .Age = 2s});
}

} // namespace

// Guards against placement by reservations alone: at the peak of the serving
// load the worker leaves half of what reservations suggest, and at its bottom
// half as much again.
TEST_CASE("What swinging serving tasks leave is followed") {
  ProcessorLeft Estimate;
  double ByReservations = 16000;
  double MeanError = 0;
  int Count = 0;
  for (milliseconds At = 0ms; At < 20s; At += ReportInterval) {
    double Seconds = std::chrono::duration<double>(At).count();
    double Left = 16000 + 8000 * std::sin(2 * M_PI * Seconds / 10);
    Estimate.observe(sharing(Left, 8), ByReservations, Start + At);
    MeanError +=
        std::abs(Estimate.millicores(ByReservations, Start + At) - Left);
    ++Count;
  }
  // The estimate by reservations alone is off by 5,100 on average.
  CHECK(MeanError / Count < 2500);
}

TEST_CASE("Without saturation the sum in use is only a lower bound") {
  ProcessorLeft Estimate;
  Estimate.observe(sharing(7000, 2), 16000, Start);
  CHECK(Estimate.millicores(16000, Start) == doctest::Approx(16000));
  // Reservations leave less than is in use.
  Estimate.observe(sharing(7000, 2), 4000, Start);
  CHECK(Estimate.millicores(4000, Start) == doctest::Approx(7000));
}

// Guards against fill tasks that are sent to a worker without free processors
// because its fill runs used some a while ago.
TEST_CASE("A worker full of finite tasks leaves nothing until they end") {
  ProcessorLeft Estimate;
  Estimate.observe(sharing(9000, 4), 12000, Start);
  CHECK(Estimate.millicores(12000, Start) < 10000);
  for (int Report = 1; Report <= 8; ++Report)
    Estimate.observe(sharing(0, 4), 0, Start + Report * ReportInterval);
  TimePoint Now = Start + 2s;
  CHECK(Estimate.millicores(0, Now) < 100);
  CHECK(Estimate.millicores(-4000, Now) < 100);
  // The room counts as soon as the reservations end.
  CHECK(Estimate.millicores(12000, Now) > 11000);
}

// Guards against a worker that looks as if it had room because most of its fill
// runs are small and get all that they ask for.
TEST_CASE("One fill run that starves shows that the worker is full") {
  ProcessorLeft Estimate;
  std::vector<FillReport> Reports = sharing(10500, 3);
  Reports.push_back(
      {.AllowedMillicores = 3500, .UsedMillicores = 200, .Age = 2s});
  for (int Report = 0; Report < 8; ++Report)
    Estimate.observe(Reports, 24000, Start + Report * ReportInterval);
  CHECK(Estimate.millicores(24000, Start + 7 * ReportInterval) ==
        doctest::Approx(10700).epsilon(0.05));
}

// Guards against a worker that counts as full because a run is starting up, or
// has just been allowed a higher pace.
TEST_CASE("A run that has just started does not show saturation") {
  ProcessorLeft Estimate;
  Estimate.observe(
      {{.AllowedMillicores = 3500, .UsedMillicores = 0, .Age = 200ms}}, 16000,
      Start);
  CHECK(Estimate.millicores(16000, Start) == doctest::Approx(16000));
}

// Guards against a worker that is avoided for ever: without fill runs nothing
// new is measured there.
TEST_CASE("The estimate returns to reservations within a few seconds") {
  ProcessorLeft Estimate;
  Estimate.observe(sharing(2000, 4), 16000, Start);
  CHECK(Estimate.millicores(16000, Start) == doctest::Approx(2000));
  CHECK(Estimate.millicores(16000, Start + 2500ms) > 10000);
  CHECK(Estimate.millicores(16000, Start + 7500ms) > 15000);
}

// Guards against workers that all look full because runs of an image use less
// than they ask for wherever they are.
TEST_CASE("The most that runs of a kind use anywhere is learned") {
  FillUsePeaks Peaks;
  auto AddReport = [&](int64_t Used, TimePoint Now, milliseconds Age) {
    Peaks.observe(
        1, {.AllowedMillicores = 1000, .UsedMillicores = Used, .Age = Age},
        Now);
  };
  CHECK(Peaks.partOf(1, Start) == doctest::Approx(1));
  for (int Second = 0; Second < 30; ++Second) {
    AddReport(800, Start + Second * 1s, 2s);
    AddReport(300, Start + Second * 1s, 2s);
  }
  CHECK(Peaks.partOf(1, Start + 29s) == doctest::Approx(0.8).epsilon(0.05));
  // A single run with processors to spare corrects it.
  AddReport(1000, Start + 30s, 100ms);
  CHECK(Peaks.partOf(1, Start + 30s) < 0.9);
  AddReport(1000, Start + 30s, 2s);
  CHECK(Peaks.partOf(1, Start + 30s) == doctest::Approx(1));
  CHECK(Peaks.partOf(2, Start) == doctest::Approx(1));
}
