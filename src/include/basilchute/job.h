/// \file
/// Jobs, which are acyclic graphs of steps, and the queues that they are
/// submitted to.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/resources.h"

#include <compare>
#include <map>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// State of a job. Completed, Failed and Cancelled are final.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// Returns true if a job in \p State cannot change its state any more.
inline bool isFinal(JobState State) {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

/// Returns the lower-case name of \p State.
std::string_view jobStateName(JobState State);

/// A step of a job: \c Count identical tasks.
struct JobStep {
  int Count = 1;
  Resources Demand;
  /// Run time of one task as estimated by the submitter; zero if unknown.
  milliseconds EstimatedRunTime{0};
  /// Indexes of the earlier steps whose tasks must all complete before this
  /// step starts.
  std::vector<int> Predecessors;
  /// Tasks write checkpoints and can resume from them.
  bool Checkpointing = false;
  /// Tasks run only all together and end together (gang scheduling).
  bool Gang = false;
  /// Tasks run more slowly if they are spread over several racks.
  bool RackSensitive = false;
  /// Several copies of one task may run concurrently (speculative execution).
  bool Speculative = false;
  /// Tasks run until the job is cancelled.
  bool LongRunning = false;
  /// Tasks are fill tasks: they use only processor time that other tasks leave
  /// idle.
  bool IsFill = false;
  /// Label that a worker must have to run the tasks; empty if any worker may.
  std::string RequiredLabel;
  /// Rack that holds the input data; empty if no rack does.
  std::string DataRack;
  /// Image that the tasks run. Tasks of the same image are assumed to perform
  /// alike.
  std::string Image;
  /// Maximum number of the step's tasks on one worker; zero for no limit.
  int MaxPerWorker = 0;
  /// Target for the tail latency that the users of a serving task see; zero for
  /// a task without such a target.
  milliseconds TailTarget{0};
  /// Maximum number of the step's tasks that the scheduler may keep
  /// interrupted at the same time.
  int MaxUnavailable = 0;

  /// Returns the resources that one task reserves on a worker. A fill task
  /// reserves no processor time.
  Resources reservation() const {
    Resources Out = Demand;
    if (IsFill)
      Out.Millicores = 0;
    return Out;
  }
};

/// Specification of a submitted job.
struct Job {
  /// Unique id, chosen by the submitter.
  std::string Id;
  /// Name of the queue that the job was submitted to.
  std::string Queue;
  /// Opaque data that every task receives unchanged.
  std::string Payload;
  std::vector<JobStep> Steps;
  /// Number of scheduled occurrences; zero for a job that runs once and has no
  /// due time.
  int Repetitions = 0;
  /// Due time of the first occurrence, since the Unix epoch.
  milliseconds FirstRun{0};
  /// Time between the due times of consecutive occurrences.
  milliseconds Interval{0};
  /// Time at which the job was accepted, since the Unix epoch. The wall clock
  /// may jump, so the value is only suitable for ordering jobs.
  milliseconds AcceptedAt{0};
  /// Time that the job had waited when it was transferred to its present shard.
  milliseconds WaitedBeforeTransfer{0};
  /// True if tasks of the job had started before that transfer.
  bool HadStarted = false;

  /// Returns the number of times that the steps run.
  int occurrences() const { return Repetitions > 0 ? Repetitions : 1; }
  /// Returns true if any step is long-running. Such a job never completes.
  bool hasLongRunningStep() const;
};

/// Identifies one task of a job.
struct TaskName {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;
  int Index = 0;

  auto operator<=>(const TaskName &) const = default;
};

/// Configuration of one queue.
struct JobQueue {
  std::string Name;
  /// Service whose workers run the queue's tasks.
  std::string Service;
  /// Zero is the highest priority.
  int Priority = 0;
  /// Number of failed runs after which a task is not retried any more.
  int MaxAttempts = 1;
  /// A job should complete within SlackFactor times the work of its longest
  /// chain of steps (its critical path), plus TargetDuration.
  double SlackFactor = 1;
  milliseconds TargetDuration{0};
  /// Time for which an approval is valid; zero if the queue's steps need no
  /// approval.
  milliseconds ApprovalValidity{0};
  /// Part of the resources that the queue is due, relative to other queues.
  double Weight = 1;

  bool needsApproval() const { return ApprovalValidity.count() > 0; }
};

/// All queues by name.
using JobQueues = std::map<std::string, JobQueue>;

BASILCHUTE_NAMESPACE_END
