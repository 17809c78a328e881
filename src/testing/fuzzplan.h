/// \file
/// Random sessions of the scheduler core: commands, their meaning on the test
/// bed, and the check of what must always hold.
#pragma once

#include "testing/testbed.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What one command does. Faults are switched on and off by the same command.
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
  WorkerFaults,
  HostLeaves,
  HostHidden,
  WorkerFails,
  LoseDomain,
  Wait,
  Count
};

/// One command with two numbers whose meaning depends on its kind.
struct FuzzCommand {
  FuzzKind Kind = FuzzKind::Wait;
  uint32_t A = 0;
  uint32_t B = 0;
};

/// Returns the name of \p Kind, such as "kill_node".
std::string_view fuzzKindName(FuzzKind Kind);

/// How a session ended.
struct FuzzOutcome {
  /// First broken rule, or none.
  std::optional<std::string> Violation;
  /// Index of the command after which it was seen; the number of commands if it
  /// was seen after all faults had stopped.
  size_t Step = 0;
};

/// Gets every command and every event of a session as one line.
using SessionTrace = std::function<void(const std::string &)>;

/// Runs \p Commands on a fresh bed, then ends all faults and waits until every
/// job has finished.
FuzzOutcome runSession(const TestBedOptions &Options,
                       const std::vector<FuzzCommand> &Commands,
                       const SessionTrace &Trace = {});

BASILCHUTE_NAMESPACE_END
