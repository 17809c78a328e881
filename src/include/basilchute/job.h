/// \file
/// Jobs as graphs of steps, and the queues that they are submitted to.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/resources.h"

#include <compare>
#include <map>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Where a job is in its life. Completed, Failed and Cancelled are final.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// Returns true if \p State never changes again.
inline bool isFinal(JobState State) {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

/// Returns the state's lower-case name.
std::string_view jobStateName(JobState State);

/// One step: a number of equal tasks.
struct JobStep {
  int Count = 1;
  Resources Demand;
  /// The submitter's guess of one task's run time; zero if none was given.
  milliseconds Estimate{0};
  /// Earlier steps, by index, whose tasks must all be done first.
  std::vector<int> After;
  /// Tasks save their progress and can resume from it.
  bool Checkpointing = false;
  /// Tasks run only together and end together.
  bool Gang = false;
  /// Tasks run slower if they are spread over several racks.
  bool RackSensitive = false;
  /// Copies of one task may run at the same time.
  bool Speculative = false;
  /// Tasks run until the job is cancelled.
  bool LongRunning = false;
  /// Tasks use only the processor that others leave idle.
  bool Fills = false;
  /// Label that a worker must have; empty for any.
  std::string RequiredLabel;
  /// Rack that holds the input; empty for none.
  std::string DataRack;
  /// What the tasks run. Tasks of one image behave alike.
  std::string Image;
  /// Most tasks of the step on one worker; zero for no limit.
  int MaxPerWorker = 0;
  /// Bound on the tail latency of the task's own users; zero for none.
  milliseconds TailTarget{0};
  /// Tasks that the scheduler may have away at the same time.
  int MissBudget = 0;

  /// What the task takes from a worker's room.
  Resources reserved() const {
    Resources Out = Demand;
    if (Fills)
      Out.Millicores = 0;
    return Out;
  }
};

/// A submitted job.
struct Job {
  /// Chosen by the submitter; unique.
  std::string Id;
  /// Name of the queue that it was submitted to.
  std::string Queue;
  /// Handed to every task as it is.
  std::string Payload;
  std::vector<JobStep> Steps;
  /// Times that the steps run; zero for a job that runs once, without a time.
  int Repetitions = 0;
  /// Due time of the first occurrence, since 1970.
  milliseconds FirstRun{0};
  /// Time between two occurrences.
  milliseconds Interval{0};
  /// When the job was taken, since 1970; by a clock that may jump, so only good
  /// for an order.
  milliseconds Accepted{0};
  /// Time that it had waited when it was handed to its present shard.
  milliseconds Waited{0};
  /// It had begun then.
  bool Begun = false;

  /// Returns how often the steps run.
  int occurrences() const { return Repetitions > 0 ? Repetitions : 1; }
};

/// Names one task of a job.
struct TaskName {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;
  int Index = 0;

  auto operator<=>(const TaskName &) const = default;
};

/// One queue of the configuration.
struct JobQueue {
  std::string Name;
  /// Service whose workers run the queue's tasks.
  std::string Service;
  /// Zero comes first.
  int Priority = 0;
  /// Failed runs after which a task is given up.
  int MaxAttempts = 1;
  /// Objective: this many times the job's longest chain of work, plus
  /// TargetDuration.
  double SlackFactor = 1;
  milliseconds TargetDuration{0};
  /// Time that an approval holds; zero if the queue's steps need none.
  milliseconds ApprovalValidity{0};

  bool needsApproval() const { return ApprovalValidity.count() > 0; }
};

/// All queues by name.
using JobQueues = std::map<std::string, JobQueue>;

BASILCHUTE_NAMESPACE_END
