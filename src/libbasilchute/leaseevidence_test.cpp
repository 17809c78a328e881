#include "libbasilchute/leaseevidence.h"
#include "libbasilchute/workerslot.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <set>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr LeaseTimes Times;
constexpr milliseconds Incarnation{7};
constexpr TimePoint Start{100s};

std::string workerName(int Index) { return fmt::format("w{}", Index); }

/// Evidence of a sole owner that \p Workers workers have answered at Start.
LeaseEvidence evidenceOf(int Workers) {
  LeaseEvidence Out(Times.MaxEvidenceAge,
                    [](const std::string &) { return true; });
  for (int Index = 0; Index < Workers; ++Index)
    Out.onAnswer(workerName(Index), Incarnation, Start, true);
  return Out;
}

} // namespace

TEST_CASE("Evidence needs more than two thirds of the counted workers") {
  for (int Listed = 1; Listed <= 12; ++Listed)
    for (int Accepting = 0; Accepting <= Listed; ++Accepting) {
      CAPTURE(Listed);
      CAPTURE(Accepting);
      CHECK(evidenceOf(Accepting).isSufficient(static_cast<size_t>(Listed),
                                               Start) ==
            (3 * Accepting > 2 * Listed));
    }
  CHECK_FALSE(evidenceOf(0).isSufficient(0, Start));
}

// Guards against evidence of workers of which the next owner can't have heard,
// so that it takes the leases on them for ended.
TEST_CASE("A worker counts as evidence while its name is certainly stored") {
  std::set<std::string> Stored{"w0"};
  LeaseEvidence Evidence(Times.MaxEvidenceAge, [&](const std::string &Worker) {
    return Stored.count(Worker) > 0;
  });
  Evidence.onAnswer("w0", Incarnation, Start, true);
  Evidence.onAnswer("w1", Incarnation, Start, true);
  CHECK(Evidence.isSufficient(1, Start));
  CHECK_FALSE(Evidence.isSufficient(2, Start));
  Stored.insert("w1");
  CHECK(Evidence.isSufficient(2, Start));
  Stored.clear();
  CHECK_FALSE(Evidence.isSufficient(1, Start));
}

// Guards against evidence by the time of the answer: the worker may have
// accepted the epoch at any moment since the poll was sent.
TEST_CASE("Evidence grows too old from the time at which the poll was sent") {
  LeaseEvidence Evidence = evidenceOf(1);
  CHECK(Evidence.isSufficient(1, Start + Times.MaxEvidenceAge));
  CHECK_FALSE(Evidence.isSufficient(1, Start + Times.MaxEvidenceAge + 1ms));
  Evidence.onAnswer("w0", Incarnation, Start + 1s, false);
  CHECK(Evidence.isSufficient(1, Start + 1s + Times.MaxEvidenceAge));
  CHECK_FALSE(
      Evidence.isSufficient(1, Start + 1s + Times.MaxEvidenceAge + 1ms));
}

TEST_CASE("An answer to an earlier poll makes evidence no older") {
  LeaseEvidence Evidence = evidenceOf(1);
  Evidence.onAnswer("w0", Incarnation, Start - 1s, false);
  CHECK(Evidence.isSufficient(1, Start + Times.MaxEvidenceAge));
}

// Guards against evidence of a worker that has restarted and does not know of
// the new owner.
TEST_CASE("An incarnation that has not answered the sole owner is no "
          "evidence") {
  LeaseEvidence Evidence = evidenceOf(1);
  Evidence.onAnswer("w0", Incarnation + 1ms, Start + 1s, false);
  CHECK_FALSE(Evidence.isSufficient(1, Start + 1s));
  Evidence.onAnswer("w0", Incarnation + 1ms, Start + 1s, false);
  CHECK_FALSE(Evidence.isSufficient(1, Start + 1s));
  Evidence.onAnswer("w0", Incarnation + 1ms, Start + 1s, true);
  CHECK(Evidence.isSufficient(1, Start + 1s));
}

TEST_CASE("A worker that has left the list is no evidence until it has "
          "answered the sole owner again") {
  LeaseEvidence Evidence = evidenceOf(1);
  Evidence.forget("w0");
  CHECK_FALSE(Evidence.isSufficient(1, Start));
  Evidence.onAnswer("w0", Incarnation, Start, false);
  CHECK_FALSE(Evidence.isSufficient(1, Start));
}

TEST_CASE("The end of previous leases is unknown while more than a third of "
          "the counted workers are silent") {
  for (size_t Counted = 0; Counted <= 12; ++Counted)
    for (size_t Silent = 0; Silent <= 12; ++Silent) {
      CAPTURE(Counted);
      CAPTURE(Silent);
      PreviousLeases Leases(Times, Start, Counted);
      CHECK_FALSE(Leases.endAt());
      Leases.onFenced(Counted, Silent, Start + 1s);
      CHECK(Leases.endAt().has_value() ==
            (Counted > 0 && 3 * Silent <= Counted));
    }
}

// Guards against a new owner that knows few of the previous owner's workers, so
// that few are silent.
TEST_CASE("Previous leases are not limited before two thirds of the counted "
          "workers are fenced") {
  for (size_t Counted = 1; Counted < 20; ++Counted)
    for (size_t Fenced = 0; Fenced < 20; ++Fenced) {
      CAPTURE(Counted);
      CAPTURE(Fenced);
      PreviousLeases Leases(Times, Start, Counted);
      Leases.onFenced(Fenced, 0, Start + 1s);
      CHECK(Leases.endAt().has_value() == (3 * Fenced >= 2 * Counted));
    }
}

// Guards against a wait for leases on evidence that no owner can have: more
// than two thirds of the counted workers must accept its epoch.
TEST_CASE("Previous leases are limited once at most two thirds of the counted "
          "workers may be evidence") {
  for (size_t Counted = 0; Counted <= 12; ++Counted)
    for (size_t Unfenced = 0; Unfenced <= 12; ++Unfenced) {
      CAPTURE(Counted);
      CAPTURE(Unfenced);
      PreviousLeases Leases(Times, Start, Counted);
      Leases.onUnfenced(Unfenced, Start + 1s);
      CHECK(Leases.endAt().has_value() ==
            (Counted > 0 && 3 * Unfenced <= 2 * Counted));
    }
}

// Guards against a wait for leases on evidence after owners that gave none:
// they crashed, one after the other, before they had reported on the shard.
TEST_CASE("Without a report of any previous owner only the leases of sole "
          "owners are waited for") {
  PreviousLeases Leases(Times, Start, PreviousLeases::NoReports);
  CHECK_FALSE(Leases.endAt());
  Leases.onFenced(0, 5, Start);
  TimePoint LastOnEvidence =
      Start + maxLocalDuration(Times.MaxEvidenceAge + Times.OnEvidence);
  CHECK(Leases.endAt() ==
        std::max(Start + maxLocalDuration(Times.Sole), LastOnEvidence));
}

TEST_CASE("Previous leases have ended after the last order of a sole owner and "
          "the last one on evidence") {
  PreviousLeases Early(Times, Start, 3);
  Early.onFenced(2, 1, Start - 60s);
  CHECK(Early.endAt() == Start + maxLocalDuration(Times.Sole));
  PreviousLeases Late(Times, Start, 3);
  Late.onFenced(1, 2, Start);
  Late.onFenced(2, 1, Start + 60s);
  TimePoint End =
      Start + 60s + maxLocalDuration(Times.MaxEvidenceAge + Times.OnEvidence);
  CHECK(Late.endAt() == End);
  // Workers that answer or fall silent later change nothing.
  Late.onFenced(3, 0, Start + 61s);
  Late.onFenced(0, 3, Start + 62s);
  CHECK(Late.endAt() == End);
}
