// Stateful fuzzing of the scheduler core against the oracle.
//
// RC_PARAMS sets the seed and the counts, see the documentation of RapidCheck.
// BASILCHUTE_FAULT enables one deliberate fault of the scheduler, with which
// the run must fail. BASILCHUTE_TRACE prints every command and event; use it
// with RC_PARAMS=reproduce=... to follow a failed session.

#include "testing/fuzzplan.h"

#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <rapidcheck.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace basilchute {
inline namespace v0_1 {

/// Prints a command in RapidCheck's counterexamples.
void showValue(const FuzzCommand &Command, std::ostream &Out) {
  Out << fmt::format("{}({},{})", fuzzKindName(Command.Kind), Command.FirstArg,
                     Command.SecondArg);
}

} // namespace v0_1
} // namespace basilchute

namespace rc {

template <> struct Arbitrary<FuzzCommand> {
  static Gen<FuzzCommand> arbitrary() {
    auto Kind =
        gen::map(gen::inRange(0, static_cast<int>(FuzzKind::Count)),
                 [](int Number) { return static_cast<FuzzKind>(Number); });
    return gen::build<FuzzCommand>(
        gen::set(&FuzzCommand::Kind, Kind),
        gen::set(&FuzzCommand::FirstArg, gen::inRange<uint32_t>(0, 60)),
        gen::set(&FuzzCommand::SecondArg, gen::inRange<uint32_t>(0, 60)));
  }
};

} // namespace rc

namespace {

const std::map<std::string, bool SchedulerFaults::*> &faultNames() {
  static const std::map<std::string, bool SchedulerFaults::*> Faults = {
      {"skip_fence", &SchedulerFaults::SkipFence},
      {"ignore_leases", &SchedulerFaults::IgnoreLeases},
      {"release_at_stop_order", &SchedulerFaults::ReleaseAtStopOrder},
      {"start_before_commit", &SchedulerFaults::StartBeforeCommit},
      {"resume_before_stopped", &SchedulerFaults::ResumeBeforeStopped},
      {"skip_store_fence", &SchedulerFaults::SkipStoreFence},
      {"ignore_horizon", &SchedulerFaults::IgnoreHorizon},
      {"skip_fit", &SchedulerFaults::SkipFit},
      {"reuse_attempt", &SchedulerFaults::ReuseAttempt},
      {"forget_grants", &SchedulerFaults::ForgetGrants},
  };
  return Faults;
}

TestBedOptions bedOptions() {
  TestBedOptions Out;
  const char *Fault = std::getenv("BASILCHUTE_FAULT");
  if (!Fault)
    return Out;
  auto It = faultNames().find(Fault);
  if (It == faultNames().end()) {
    fmt::print(stderr, "fault \"{}\" does not exist\n", Fault);
    std::exit(2);
  }
  Out.Faults.*(It->second) = true;
  return Out;
}

} // namespace

int main(int ArgCount, char **Args) {
  if (ArgCount > 1 && std::string(Args[1]) == "--list-faults") {
    for (const auto &[Name, Member] : faultNames())
      fmt::print("{}\n", Name);
    return 0;
  }
  SessionTrace Trace;
  if (std::getenv("BASILCHUTE_TRACE"))
    Trace = [](const std::string &Line) { fmt::print("{}\n", Line); };
  size_t Sessions = 0;
  bool Passed =
      rc::check("the invariants hold under every combination of faults",
                [&](const std::vector<FuzzCommand> &Commands) {
                  ++Sessions;
                  FuzzOutcome Outcome =
                      runSession(bedOptions(), Commands, Trace);
                  if (Outcome.Violation)
                    RC_FAIL(fmt::format("after command {}: {}", Outcome.Step,
                                        *Outcome.Violation));
                });
  fmt::print("{} sessions run\n", Sessions);
  fmt::print("{} passed, {} failed\n", Passed ? 1 : 0, Passed ? 0 : 1);
  return Passed ? 0 : 1;
}
