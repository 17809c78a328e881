/// \file
/// Fuzzing sessions of the scheduler core: the commands, their execution on the
/// test bed, and the check of the invariants.
#pragma once

#include "testing/testbed.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Action of one command. Most faults are toggled: the command that starts a
/// fault also ends it.
enum class FuzzKind {
  Submit,
  SubmitUrgent,
  Cancel,
  Configure,
  Cordon,
  KillNode,
  StartNode,
  PauseNode,
  ResumeNode,
  RestartNode,
  RestartWorker,
  KillWorker,
  ReviveWorker,
  CutNodeFromStore,
  CutNodeFromWorker,
  StoreDown,
  StoreSlow,
  LoseReplies,
  LateCommits,
  WorkerFaults,
  HostLeaves,
  HostHidden,
  WorkerFails,
  LoseDomain,
  Wait,
  Count
};

/// One command with two arguments whose meaning depends on its kind.
struct FuzzCommand {
  FuzzKind Kind = FuzzKind::Wait;
  uint32_t FirstArg = 0;
  uint32_t SecondArg = 0;
};

/// Returns the name of \p Kind, such as "kill_node".
std::string_view fuzzKindName(FuzzKind Kind);

/// Result of a session.
struct FuzzOutcome {
  /// First violation of an invariant, if any.
  std::optional<std::string> Violation;
  /// Index of the command after which the violation was detected; the number of
  /// commands if it was detected after all faults had ended.
  size_t Step = 0;
};

/// Called with one line for every command and every event of a session.
using SessionTrace = std::function<void(const std::string &)>;

/// Runs \p Commands on a new test bed, then ends all faults and waits until
/// every job has finished.
FuzzOutcome runSession(const TestBedOptions &Options,
                       const std::vector<FuzzCommand> &Commands,
                       const SessionTrace &Trace = {});

BASILCHUTE_NAMESPACE_END
