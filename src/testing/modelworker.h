/// \file
/// Model of a worker that runs tasks under leases, and the oracle that checks
/// the invariants over all workers.
#pragma once

#include "basilchute/approval.h"
#include "basilchute/taskworker.h"
#include "testing/modelstore.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A submitted job as the oracle tracks it.
struct ModelJob {
  Job Spec;
  int MaxAttempts = 3;
  /// When the cancellation was acknowledged to the caller; zero if it was not.
  TimePoint CancelledAt{};
  /// Every task fits on a worker of the installation.
  bool CanRun = true;
};

/// A task that crashes each worker that starts it.
struct DeadlyTask {
  /// Time from a start to the crash. Zero if the worker crashes before it
  /// answers the order.
  milliseconds CrashAfter{10};
  /// Number of starts.
  int Starts = 0;
  /// Number of crashes of workers that the task has caused.
  int Crashes = 0;
  /// Number of crashes of workers, for any cause, while the task ran on them.
  int CrashesBeside = 0;
  /// Number of starts after crash number JobOracle::CrashesUntilLimit.
  int LateStarts = 0;
};

/// One run of a gang.
struct GangRun {
  /// Indexes of the members that run.
  std::set<int> Present;
  /// When all members ran together for the first time; zero if never.
  TimePoint WholeAt{};
  /// A member has ended as done, which represents all of them.
  bool IsDone = false;
};

/// Checks every start and completion of a run against the invariants.
class JobOracle {
public:
  /// Time for which a cancelled job may still start tasks.
  static constexpr milliseconds CancelTime{3000};
  /// Number of crashes under a task after which its job may be failed.
  static constexpr int CrashesUntilFailed = 2;
  /// Number of crashes that a task has caused after which it may be started
  /// MaxLateStarts times more.
  static constexpr int CrashesUntilLimit = 3;
  static constexpr int MaxLateStarts = 2;

  void addJob(const ModelJob &Job) { m_jobs[Job.Spec.Id] = Job; }
  void cancelled(const std::string &Job, TimePoint Now);
  const ModelJob *job(const std::string &Id) const;
  /// Lets \p Task crash each worker that starts it, \p CrashAfter after the
  /// start.
  void setDeadly(const TaskName &Task,
                 milliseconds CrashAfter = milliseconds(10));
  /// Returns null if \p Task is not deadly.
  const DeadlyTask *deadly(const TaskName &Task) const;
  /// Returns true if the job has a deadly task under which enough workers have
  /// crashed for the job to be failed.
  bool mayGiveUp(const std::string &Job) const;

  /// Called at each start of a deadly task, if set.
  std::function<void()> OnDeadlyStart;

  void onStart(const std::string &Worker, const TaskName &Task, int Run,
               TimePoint Now);
  void onEnd(const std::string &Worker, const TaskName &Task, int Run,
             RunOutcome End);
  /// Called when a worker crashes while \p Tasks run on it. \p Cause is the
  /// deadly task that crashed it, or null.
  void onCrash(const std::vector<TaskName> &Tasks, const TaskName *Cause);
  /// Called when a host acknowledged the completion to the worker.
  void onAcknowledged(const TaskName &Task, int Run, RunOutcome End);
  void onCapacity(const std::string &Worker, const Resources &Used,
                  const Resources &Capacity);
  /// Checks a job state that a host reported.
  void onState(const std::string &Job, JobState State);

  /// Returns the run \p Run of the gang that \p Task belongs to.
  const GangRun &gangRun(const TaskName &Task, int Run) const;

  /// Records a violation that another check found.
  void report(std::string Violation) {
    m_violations.push_back(std::move(Violation));
  }

  const std::vector<std::string> &violations() const { return m_violations; }
  /// Number of starts of all tasks so far.
  int starts() const { return m_starts; }
  /// Number of runs that are currently on a worker.
  size_t running() const;
  /// Tasks that run, with one worker on which each of them does.
  std::map<TaskName, std::string> runs() const;
  /// Worker on which \p Task runs; empty if it does not run.
  std::string workerOf(const TaskName &Task) const;
  /// Tasks that run on \p Worker.
  std::vector<TaskName> tasksOn(const std::string &Worker) const;
  bool allDone(const std::string &Job) const;

private:
  void violate(const TaskName &Task, int Run, std::string Problem);
  void updateGang(const TaskName &Task, int Run, bool IsPresent, TimePoint Now);
  void countDeadlyStart(const TaskName &Task, int Run);
  /// Returns true if a task of \p Job, or the members of a gang together, had
  /// as many failed runs as are allowed.
  bool usedAllAttempts(const ModelJob &Job) const;
  /// Returns the problem with the report that \p Job has failed; empty if there
  /// is none.
  std::string problemOfFailure(const std::string &Job) const;

  std::map<std::string, ModelJob> m_jobs;
  std::map<TaskName, DeadlyTask> m_deadly;
  /// Runs of gangs. The name is that of the gang's first member.
  std::map<std::pair<TaskName, int>, GangRun> m_gangRuns;
  /// Workers on which each task runs.
  std::map<TaskName, std::set<std::string>> m_running;
  std::set<TaskName> m_doneTasks;
  std::set<TaskName> m_acknowledgedDone;
  /// Runs that have ended as done, by task, and those of them after which the
  /// task was started again before they were acknowledged.
  std::map<TaskName, std::set<int>> m_doneRuns;
  std::set<std::pair<TaskName, int>> m_repeatedDone;
  /// Numbers of all failed runs of each task.
  std::map<TaskName, std::set<int>> m_failures;
  /// Numbers of the failed runs of each task that were acknowledged.
  std::map<TaskName, std::set<int>> m_acknowledgedFailures;
  std::vector<std::string> m_violations;
  int m_starts = 0;
};

/// One worker on the virtual clock.
class ModelWorker {
public:
  /// Time for which a member of a gang waits for the others.
  static constexpr milliseconds GangTimeout{3000};

  ModelWorker(WorkerEntry Entry, JobOracle &Oracle,
              std::function<TimePoint()> Now)
      : Entry(std::move(Entry)), m_oracle(Oracle), m_now(std::move(Now)),
        m_incarnation(m_now()) {}

  WorkerEntry Entry;
  /// While set, the worker does not reply.
  bool IsDown = false;
  /// Percentage of start orders that are executed seconds later and get no
  /// reply.
  int DelayedStartPercent = 0;
  /// Delay of these orders; some seconds if it is not set. One that is carried
  /// out before the host's timeout is answered.
  std::optional<milliseconds> StartDelay;
  /// Delayed start orders reach the process that is there by then. If it is not
  /// set, they are lost if the worker restarts.
  bool DelayedStartsOutliveRestart = false;
  /// While set, stop orders are lost.
  bool LosesStops = false;
  /// Number of start orders that are refused as by an unhealthy worker.
  int RefusedStarts = 0;
  /// Longest lease that the worker grants, if it is set.
  std::optional<milliseconds> MaxLease;
  /// Percentage of runs that fail.
  int FailPercent = 0;
  /// While set, runs start only if the worker is approved and the order has the
  /// ticket of the current incarnation of the worker.
  bool NeedsTicket = false;
  bool Approved = true;
  /// While set, runs make no progress.
  bool Hangs = false;
  /// Called at each start of a run, if set.
  std::function<void(const TaskName &)> OnStart;
  /// Changes each answer to a poll, if set.
  std::function<void(PollReply &)> AlterAnswer;
  /// Runs a function after a delay. If it is not set, deadly tasks do not crash
  /// the worker.
  std::function<void(milliseconds, std::function<void()>)> RunAfter;
  /// Time from a crash by a deadly task until the worker is back.
  milliseconds ReturnAfter{3000};
  /// Called when the worker should be back after a crash; calls comeBack() or
  /// starts another worker at its address. Needed with RunAfter.
  std::function<void()> OnReturn;
  /// Percentages of all pace orders that were received, in their order.
  std::vector<int> Paces;
  /// After a crash the worker refuses connections until it is back. If it is
  /// not set, calls get no answer.
  bool RefusesAfterCrash = false;
  /// Worker that has replaced this one at its address; null if none has.
  const ModelWorker *ReplacedBy = nullptr;

  Result<StartReply> start(const StartOrder &Order);
  Status stop(const StopOrder &Order);
  Result<PollReply> poll(const PollOrder &Order);
  /// Decision of the approval service on this worker; the same for every step.
  bool approves(const StepName &) const { return Approved; }
  std::string ticketFor(const StepName &Step) const;
  /// Ends runs whose work is done or whose lease expired.
  void advance();
  /// Returns true if \p Task runs on this worker.
  bool runs(const TaskName &Task) const { return m_runs.count(Task) > 0; }
  /// Maximum number of completions in one answer.
  size_t MaxListedCompletions = 500;
  /// Returns true if there are completions that were not acknowledged.
  bool hasUnacknowledged() const { return !m_ended.empty(); }
  bool hasRuns() const { return !m_runs.empty(); }
  /// Start time of the current incarnation, which identifies it.
  TimePoint incarnation() const { return m_incarnation; }
  /// The same as in answers to polls.
  milliseconds startTime() const {
    return std::chrono::duration_cast<milliseconds>(
        m_incarnation.time_since_epoch());
  }
  /// Ends all runs as failed.
  void failRuns();
  /// Ends all runs, drops all state and starts a new incarnation.
  void crash();
  /// The same as planned work.
  void leave();
  /// Lets the worker crash, if it is up, and be down until it is back as a new
  /// incarnation. Needs RunAfter and OnReturn.
  void crashAndReturn();
  /// Ends the time for which a crashed worker is down: it is a new incarnation.
  void comeBack();
  /// Returns true while the worker is down because a deadly task crashed it.
  bool isDownByTask() const { return IsDown && m_crashedByTask && !ReplacedBy; }
  /// Returns true while the worker is down and refuses connections.
  bool isRefusing() const { return IsDown && m_refuses; }
  /// When the worker last crashed; zero if it never did.
  TimePoint lastCrash() const { return m_lastCrash; }
  /// Ends the run of \p Task as failed. Returns false if there is none.
  bool fail(const TaskName &Task);
  /// Changes the capacity; runs go on. For \p Allowance, starts may still fill
  /// the worker up to the previous capacity, since owners learn of the change
  /// later.
  void setCapacity(const Resources &Capacity, milliseconds Allowance);
  /// Capacity that no run uses.
  Resources freeCapacity() const;

private:
  struct CurrentRun {
    int Run = 0;
    TimePoint StartedAt{};
    TimePoint Ends{};
    bool Fails = false;
  };

  /// Time since the start of the incarnation.
  milliseconds clock() const;
  void extend(milliseconds LeaseUntil);
  /// Returns how the run of \p Task ends now; nothing if it goes on.
  std::optional<RunOutcome> outcomeNow(const TaskName &Task,
                                       const CurrentRun &Run) const;
  std::optional<RunOutcome> gangOutcomeNow(const TaskName &Task,
                                           const CurrentRun &Run) const;
  /// Crashes the worker after \p Delay if the run still goes on.
  void scheduleCrash(const TaskName &Task, int Run, milliseconds Delay);
  void goDown(const TaskName *Cause);
  std::vector<TaskName> tasks() const;
  void end(const TaskName &Task, RunOutcome End);
  Resources used() const;
  /// Reports a start that has brought the worker over its capacity.
  void checkCapacity();

  JobOracle &m_oracle;
  std::function<TimePoint()> m_now;
  TimePoint m_incarnation;
  TimePoint m_lastCrash{};
  bool m_crashedByTask = false;
  bool m_refuses = false;
  /// Number of times that all state was dropped.
  int m_resets = 0;
  uint64_t m_epoch = 0;
  milliseconds m_leaseUntil{0};
  bool m_leaseExpired = false;
  /// Number of times that the lease has expired.
  int m_leaseExpirations = 0;
  /// Value of m_leaseExpirations at each completion, by completion number.
  std::map<uint64_t, int> m_expirationsAtEnd;
  std::map<TaskName, CurrentRun> m_runs;
  /// Highest run number of each task that ended or was stopped; start orders
  /// for it and lower ones are rejected.
  std::map<TaskName, int> m_highestRun;
  std::vector<Completion> m_ended;
  uint64_t m_lastEndNumber = 0;
  /// A capacity up to which the worker may still be filled.
  struct FormerCapacity {
    Resources Capacity;
    TimePoint Until{};
  };
  std::vector<FormerCapacity> m_formerCapacities;
};

BASILCHUTE_NAMESPACE_END
